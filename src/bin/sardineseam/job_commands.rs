//! Commands that submit, show and cancel jobs, through the daemon's address for callers.

use std::thread;
use std::time::Duration;

use rand::Rng;
use sardineseam::{Error, JobClient, JobState, JobSubmission, Result, KEY_VARIABLE};

use crate::daemon_commands;
use crate::job_args::{Job, JobCmd, Submit};
use crate::output::Output;

const DEFAULT_ADDRESS: &str = "127.0.0.1:7080";
const DEFAULT_QUEUE: &str = "print.example/jobs/";
const DEFAULT_CPU_MILLI: u64 = 1_000;
const DEFAULT_MEM_MB: u64 = 256;
const DEFAULT_ESTIMATE_MS: u64 = 500;
/// Time between two requests for the state of a job.
const POLL_INTERVAL_MS: u64 = 250;
/// HTTP status of the daemon for a job that does not exist.
const GONE: u16 = 410;

/// Runs the job command that the arguments select.
pub(crate) fn run(job: Job) -> Result<()> {
    let output = &Output::new(job.json);
    let address = job.front.as_deref().unwrap_or(DEFAULT_ADDRESS);
    let mut client = JobClient::new(address, job.queue.as_deref().unwrap_or(DEFAULT_QUEUE))?;
    if let Some(key) = std::env::var_os(KEY_VARIABLE).filter(|key| !key.is_empty()) {
        client = client.with_key(&key.to_string_lossy())?;
    }
    match job.subcommand {
        JobCmd::Submit(submit) => submit_job(&client, output, submit),
        JobCmd::Show(show) => output.job(&show.id, job_state(&client, &show.id)?),
        JobCmd::Explain(explain) => daemon_commands::explain_job(explain.daemon, output, &explain.id),
        JobCmd::Cancel(cancel) => {
            if !client.cancel(&cancel.id)? {
                return Err(unknown_job(&cancel.id));
            }
            output.job(&cancel.id, JobState::Cancelled)
        }
        JobCmd::List(_) => output.pending_jobs(client.pending_jobs()?),
    }
}

fn submit_job(client: &JobClient, output: &Output, submit: Submit) -> Result<()> {
    let id = submit.id.unwrap_or_else(|| format!("{:016x}", rand::rng().random::<u64>()));
    let submission = JobSubmission {
        spec: submit.spec.unwrap_or_default(),
        tasks: submit.tasks.unwrap_or(1),
        cpu_milli: submit.cpu_milli.unwrap_or(DEFAULT_CPU_MILLI),
        mem_mb: submit.mem_mb.unwrap_or(DEFAULT_MEM_MB),
        estimate_ms: submit.estimate_ms.unwrap_or(DEFAULT_ESTIMATE_MS),
    };
    client.submit(&id, &submission)?;
    let mut printed_state = JobState::Queued;
    output.job(&id, printed_state)?;
    while submit.wait && !printed_state.is_final() {
        thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
        let current_state = job_state(client, &id)?;
        if current_state != printed_state {
            output.job(&id, current_state)?;
        }
        printed_state = current_state;
    }
    match printed_state {
        JobState::Failed | JobState::Cancelled => {
            Err(Error::Refused { status: 200, message: format!("job {id} is {}", printed_state.as_str()) })
        }
        JobState::Queued | JobState::Running | JobState::Completed => Ok(()),
    }
}

fn job_state(client: &JobClient, id: &str) -> Result<JobState> {
    client.state(id)?.ok_or_else(|| unknown_job(id))
}

fn unknown_job(id: &str) -> Error {
    Error::Refused { status: GONE, message: format!("there is no job {id} in this queue") }
}
