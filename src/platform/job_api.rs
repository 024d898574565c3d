//! JSON bodies of the daemon's job API: decodes submitted jobs and encodes the responses to callers.

use std::sync::Arc;

use serde::Deserialize;

use super::limits::{bounded_ms, needed_resources};
use crate::row_store::MAX_ROW_BYTES;
use crate::sched::job::MAX_JOB_TASKS;
use crate::sched::model::{JobPhase, JobSpec, Queue, Step};
use crate::sched::record::encode_spec;

/// Length of a job ID, in hexadecimal digits.
const JOB_ID_DIGITS: usize = 16;
const MAX_SPEC_BYTES: usize = 4_000;
/// Header with the time that the caller waits for a response, in milliseconds.
pub(crate) const DEADLINE_HEADER: &str = "x-deadline-ms";

/// JSON form of a [`JobSpec`].
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct JobBody {
    #[serde(default)]
    spec: Arc<str>,
    steps: Vec<StepBody>,
    // Number of scheduled occurrences; 0 means that the steps run once, immediately.
    #[serde(default)]
    times: u32,
    #[serde(default)]
    first_run_ms: u64,
    #[serde(default)]
    interval_ms: u64,
}

/// JSON form of a [`Step`].
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct StepBody {
    count: u32,
    #[serde(default)]
    cpu: f64,
    #[serde(default)]
    mem_mb: f64,
    #[serde(default)]
    gpu: f64,
    #[serde(default)]
    estimate_ms: f64,
    #[serde(default)]
    after: Vec<u32>,
    #[serde(default)]
    checkpoint: bool,
    #[serde(default)]
    gang: bool,
    #[serde(default)]
    same_rack: bool,
    required_label: Option<Arc<str>>,
    data_rack: Option<Arc<str>>,
    // Maximum number of tasks on one worker.
    anti_affinity: Option<u32>,
    #[serde(default)]
    speculative: bool,
    #[serde(default)]
    long_running: bool,
    image: Option<Arc<str>>,
    target_ms: Option<f64>,
    // See `Step::best_effort`.
    #[serde(default)]
    fills: bool,
    // Number of tasks that the scheduler's own actions may take down at the same time.
    optional: Option<u32>,
}

/// Why a submission is refused; the text is sent to the caller.
#[derive(Debug, PartialEq, thiserror::Error)]
pub(crate) enum InvalidJob {
    #[error("the body is not a job: {0}")]
    Syntax(String),
    #[error("spec: at most {MAX_SPEC_BYTES} bytes")]
    SpecTooLong,
    #[error("steps: at least one step with one work item is needed")]
    NoTasks,
    #[error("steps, times: at most {MAX_JOB_TASKS} work items in all occurrences together")]
    TooManyTasks,
    #[error(
        "steps: the stored form of the job has {0} bytes, and may have {MAX_ROW_BYTES}; shorten names and `after`"
    )]
    TooLarge(usize),
    #[error("steps[{0}].after: names a step that is not before it")]
    DependencyNotEarlier(usize),
}

/// Whether `text` has the form of a job ID.
pub(crate) fn is_job_id(text: &str) -> bool {
    text.len() == JOB_ID_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

/// Decodes and validates a submitted job.
pub(crate) fn decode_job(queue: &Arc<Queue>, body: &[u8], accepted_unix_ms: u64) -> Result<JobSpec, InvalidJob> {
    let body: JobBody = serde_json::from_slice(body).map_err(|error| InvalidJob::Syntax(error.to_string()))?;
    if body.spec.len() > MAX_SPEC_BYTES {
        return Err(InvalidJob::SpecTooLong);
    }
    let task_count: u64 = body.steps.iter().map(|step| u64::from(step.count)).sum();
    if task_count == 0 {
        return Err(InvalidJob::NoTasks);
    }
    if task_count.saturating_mul(u64::from(body.times.max(1))) > MAX_JOB_TASKS {
        return Err(InvalidJob::TooManyTasks);
    }
    for (index, step) in body.steps.iter().enumerate() {
        if step.after.iter().any(|after| *after as usize >= index) {
            return Err(InvalidJob::DependencyNotEarlier(index));
        }
    }
    let spec = JobSpec {
        queue: queue.clone(),
        task_spec: body.spec,
        steps: body.steps.into_iter().map(decode_step).collect(),
        recurring_occurrences: body.times,
        first_run_unix_ms: bounded_ms(body.first_run_ms),
        interval_ms: bounded_ms(body.interval_ms),
        accepted_unix_ms,
        organisation: None,
    };
    let bytes = encode_spec(&spec).len();
    if bytes > MAX_ROW_BYTES {
        return Err(InvalidJob::TooLarge(bytes));
    }
    Ok(spec)
}

fn decode_step(body: StepBody) -> Step {
    Step {
        count: body.count,
        needs: needed_resources(body.cpu, body.mem_mb, body.gpu),
        estimate_ms: bounded_ms(body.estimate_ms as u64),
        after: body.after,
        checkpoints: body.checkpoint,
        gang: body.gang,
        same_rack: body.same_rack,
        required_label: body.required_label.filter(|label| !label.is_empty()),
        data_rack: body.data_rack.filter(|rack| !rack.is_empty()),
        max_per_worker: body.anti_affinity.filter(|max| *max > 0),
        speculative: body.speculative,
        long_running: body.long_running,
        image: body.image,
        target_ms: body.target_ms.map(|target_ms| bounded_ms(target_ms as u64)).filter(|target| *target > 0),
        best_effort: body.fills,
        max_unavailable: body.optional.filter(|max| *max > 0),
    }
}

/// Response body of a request for a job's state.
pub(crate) fn job_state_body(phase: JobPhase) -> String {
    let state = match phase {
        JobPhase::Queued => "queued",
        JobPhase::Running => "running",
        JobPhase::Completed => "completed",
        JobPhase::Failed => "failed",
        JobPhase::Cancelled => "cancelled",
    };
    format!("{{\"state\":\"{state}\"}}")
}

/// Response body of a request for the number of a queue's jobs that have not started.
pub(crate) fn pending_count_body(count: u64) -> String {
    format!("{{\"pending\":{count}}}")
}
