//! Jobs, as callers hand them in.

use std::thread;
use std::time::Duration;

use rand::Rng;
use sardineseam::{Error, JobClient, JobState, JobSubmission, Result};

use crate::job_args::{Job, JobCmd, Submit};
use crate::output::Output;

const DEFAULT_FRONT: &str = "127.0.0.1:7080";
const DEFAULT_QUEUE: &str = "print.example/jobs/";
const DEFAULT_CPU_MILLI: u64 = 1_000;
const DEFAULT_MEM_MB: u64 = 256;
const DEFAULT_ESTIMATE_MS: u64 = 500;
/// Pause between two questions for a job's state.
const ASK_PAUSE_MS: u64 = 250;
const NOT_FOUND: u16 = 410;

/// Runs one command about jobs.
pub(crate) fn run(job: Job) -> Result<()> {
    let output = &Output::new(job.json);
    let front = job.front.as_deref().unwrap_or(DEFAULT_FRONT);
    let client = JobClient::new(front, job.queue.as_deref().unwrap_or(DEFAULT_QUEUE))?;
    match job.subcommand {
        JobCmd::Submit(submit) => hand_in(&client, output, submit),
        JobCmd::Show(show) => output.job(&show.id, state(&client, &show.id)?),
        JobCmd::Cancel(cancel) => {
            if !client.cancel(&cancel.id)? {
                return Err(unknown(&cancel.id));
            }
            output.job(&cancel.id, JobState::Cancelled)
        }
        JobCmd::List(_) => output.waiting(client.pending_jobs()?),
    }
}

fn hand_in(client: &JobClient, output: &Output, submit: Submit) -> Result<()> {
    let id = submit.id.unwrap_or_else(|| format!("{:016x}", rand::rng().random::<u64>()));
    let order = JobSubmission {
        spec: submit.spec.unwrap_or_default(),
        tasks: submit.tasks.unwrap_or(1),
        cpu_milli: submit.cpu_milli.unwrap_or(DEFAULT_CPU_MILLI),
        mem_mb: submit.mem_mb.unwrap_or(DEFAULT_MEM_MB),
        estimate_ms: submit.estimate_ms.unwrap_or(DEFAULT_ESTIMATE_MS),
    };
    client.submit(&id, &order)?;
    let mut shown = JobState::Queued;
    output.job(&id, shown)?;
    while submit.wait && !shown.is_final() {
        thread::sleep(Duration::from_millis(ASK_PAUSE_MS));
        let now = state(client, &id)?;
        if now != shown {
            output.job(&id, now)?;
        }
        shown = now;
    }
    match shown {
        JobState::Failed | JobState::Cancelled => {
            Err(Error::Refused { status: 200, message: format!("job {id} is {}", shown.as_str()) })
        }
        JobState::Queued | JobState::Running | JobState::Completed => Ok(()),
    }
}

fn state(client: &JobClient, id: &str) -> Result<JobState> {
    client.state(id)?.ok_or_else(|| unknown(id))
}

fn unknown(id: &str) -> Error {
    Error::Refused { status: NOT_FOUND, message: format!("there is no job {id} in this queue") }
}
