//! Decodes what callers send and encodes what they are told.

use std::sync::Arc;

use serde::Deserialize;

use crate::sched::model::{JobPhase, JobSpec, Queue, Resources, Step};

/// Length of a job's name, in hexadecimal digits.
const JOB_ID_DIGITS: usize = 16;
/// Largest number of work items of one job; the pages name no bound.
const MAX_TASKS: u64 = 10_000;
const MAX_SPEC_BYTES: usize = 4_000;
/// Header that says how long the caller waits.
pub(crate) const DEADLINE_MS: &str = "x-deadline-ms";

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct JobBody {
    #[serde(default)]
    spec: Arc<str>,
    steps: Vec<StepBody>,
    // How often the steps run on a timetable.
    #[serde(default)]
    times: u32,
    #[serde(default)]
    first_run_ms: u64,
    #[serde(default)]
    interval_ms: u64,
}

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
    anti_affinity: Option<u32>,
    #[serde(default)]
    speculative: bool,
    #[serde(default)]
    long_running: bool,
    image: Option<Arc<str>>,
    target_ms: Option<f64>,
    #[serde(default)]
    fills: bool,
    // Work items that may be away at once by our own doing.
    optional: Option<u32>,
}

/// Why a submission is refused.
#[derive(Debug, PartialEq, thiserror::Error)]
pub(crate) enum BadJob {
    #[error("the body is not a job: {0}")]
    Syntax(String),
    #[error("spec: at most {MAX_SPEC_BYTES} bytes")]
    SpecTooLong,
    #[error("steps: at least one step with one work item is needed")]
    Empty,
    #[error("steps: at most {MAX_TASKS} work items")]
    TooLarge,
    #[error("steps[{0}].after: names a step that is not before it")]
    AfterLater(usize),
}

/// Whether a text can be a job's name.
pub(crate) fn is_job_id(text: &str) -> bool {
    text.len() == JOB_ID_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

/// Decodes a submission.
pub(crate) fn job_spec(queue: &Arc<Queue>, body: &[u8], accepted_unix_ms: u64) -> Result<JobSpec, BadJob> {
    let body: JobBody = serde_json::from_slice(body).map_err(|error| BadJob::Syntax(error.to_string()))?;
    if body.spec.len() > MAX_SPEC_BYTES {
        return Err(BadJob::SpecTooLong);
    }
    let count: u64 = body.steps.iter().map(|step| u64::from(step.count)).sum();
    if count == 0 {
        return Err(BadJob::Empty);
    }
    if count > MAX_TASKS {
        return Err(BadJob::TooLarge);
    }
    for (index, step) in body.steps.iter().enumerate() {
        if step.after.iter().any(|after| *after as usize >= index) {
            return Err(BadJob::AfterLater(index));
        }
    }
    Ok(JobSpec {
        queue: queue.clone(),
        task_spec: body.spec,
        steps: body.steps.into_iter().map(step).collect(),
        recurring_occurrences: body.times,
        first_run_unix_ms: body.first_run_ms,
        interval_ms: body.interval_ms,
        accepted_unix_ms,
    })
}

fn step(body: StepBody) -> Step {
    Step {
        count: body.count,
        needs: Resources { cpu_milli: body.cpu as u64, mem_mb: body.mem_mb as u64, gpus: body.gpu as u64 },
        estimate_ms: body.estimate_ms as u64,
        after: body.after,
        checkpoints: body.checkpoint,
        gang: body.gang,
        same_rack: body.same_rack,
        required_label: body.required_label.filter(|label| !label.is_empty()),
        data_rack: body.data_rack.filter(|rack| !rack.is_empty()),
        max_per_worker: body.anti_affinity.filter(|most| *most > 0),
        speculative: body.speculative,
        long_running: body.long_running,
        image: body.image,
        target_ms: body.target_ms.map(|target| target as u64).filter(|target| *target > 0),
        best_effort: body.fills,
        max_unavailable: body.optional.filter(|most| *most > 0),
    }
}

/// Body of the answer to a question for a job's state.
pub(crate) fn phase_body(phase: JobPhase) -> String {
    let state = match phase {
        JobPhase::Queued => "queued",
        JobPhase::Running => "running",
        JobPhase::Completed => "completed",
        JobPhase::Failed => "failed",
        JobPhase::Cancelled => "cancelled",
    };
    format!("{{\"state\":\"{state}\"}}")
}

/// Body of the answer to a question for the jobs of a queue that have not begun.
pub(crate) fn pending_body(count: u64) -> String {
    format!("{{\"pending\":{count}}}")
}
