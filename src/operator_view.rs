//! Answers of the leader to operators: a job explained, and lists of organisations, pools and workers.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Maximum number of entries in one answer, so that it stays small on a large fleet.
pub(crate) const MAX_ENTRIES: usize = 1_000;

/// A list of at most 1,000 entries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Listing<T> {
    /// The first entries.
    pub entries: Vec<T>,
    /// Number of further entries that the answer does not contain.
    pub left_out: usize,
}

impl<T> Listing<T> {
    /// Takes the first entries and counts the others.
    pub(crate) fn of(entries: impl IntoIterator<Item = T>) -> Listing<T> {
        let mut budget = MAX_ENTRIES;
        Listing::within(&mut budget, entries)
    }

    /// Takes as many entries as the budget has left, and counts the others.
    pub(crate) fn within(budget: &mut usize, entries: impl IntoIterator<Item = T>) -> Listing<T> {
        let mut listing = Listing { entries: Vec::new(), left_out: 0 };
        for entry in entries {
            if *budget == 0 {
                listing.left_out += 1;
                continue;
            }
            *budget -= 1;
            listing.entries.push(entry);
        }
        listing
    }
}

/// Amounts of CPU, memory and GPUs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourcesView {
    /// Thousandths of a core.
    pub cpu_milli: u64,
    /// Memory in MB.
    pub mem_mb: u64,
    /// Number of GPUs.
    pub gpus: u64,
}

/// Limits on what an organisation may have running; `None` where there is no limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaView {
    /// Thousandths of a core.
    pub cpu_milli: Option<u64>,
    /// Memory in MB.
    pub mem_mb: Option<u64>,
    /// Number of GPUs.
    pub gpus: Option<u64>,
}

/// Whether a job is within the rate of its organisation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ShareClassView {
    /// The job arrived within its organisation's guaranteed rate.
    WithinRate,
    /// The job gets capacity that no job within its organisation's rate can use.
    BeyondRate,
}

impl ShareClassView {
    /// Name in text output.
    pub fn as_str(self) -> &'static str {
        match self {
            ShareClassView::WithinRate => "within its organisation's rate",
            ShareClassView::BeyondRate => "beyond its organisation's rate",
        }
    }
}

/// A job, and what it waits for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobView {
    /// ID of the job.
    pub id: Arc<str>,
    /// Phase, under the name that callers know.
    pub phase: String,
    /// Name of its queue.
    pub queue: Arc<str>,
    /// Pool whose workers run its tasks.
    pub pool: Arc<str>,
    /// Organisation that submitted the job, if any.
    pub organisation: Option<Arc<str>>,
    /// Whether it is within its organisation's rate.
    pub share_class: ShareClassView,
    /// Time left until its deadline, in milliseconds; negative if the deadline has passed.
    pub deadline_in_ms: i64,
    /// Its steps. Empty once the job has finished.
    pub steps: Listing<StepView>,
    /// What the first task that could start waits for; `None` if no task could start.
    pub waiting: Option<WaitView>,
}

/// Progress of a step in one occurrence of a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StepView {
    /// Number of the occurrence; 0 unless the job recurs.
    pub occurrence: u32,
    /// Number of the step.
    pub step: u32,
    /// Whether a step that it depends on has not completed.
    pub blocked: bool,
    /// Number of tasks that are not placed.
    pub waiting: usize,
    /// Number of tasks placed on workers.
    pub placed: usize,
    /// Number of tasks that have completed.
    pub done: usize,
    /// Number of runs that failed.
    pub failures: u64,
    /// Workers on which tasks are placed.
    pub workers: Listing<Arc<str>>,
}

/// What a task waits for: the workers of its pool, each counted under the first cause that keeps the task off it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WaitView {
    /// Number of the occurrence.
    pub occurrence: u32,
    /// Number of the step.
    pub step: u32,
    /// Number of the task.
    pub task: u32,
    /// Number of tasks of this step that wait.
    pub waiting: usize,
    /// Workers of the pool.
    pub workers: u32,
    /// Workers on a host that is about to be moved or maintained.
    pub cordoned: u32,
    /// Workers that are not registered, do not answer, drain or are blocked.
    pub not_usable: u32,
    /// Workers without the label that the step requires.
    pub without_label: u32,
    /// Workers that already run as many tasks of the step as it allows.
    pub at_step_limit: u32,
    /// Workers with too little free capacity.
    pub without_capacity: u32,
    /// Whether the task, or all tasks of its gang, would exceed its organisation's quota.
    pub beyond_quota: bool,
    /// Whether organisations that hold less for their weight come first.
    pub above_share: bool,
    /// The same in words.
    pub explanation: String,
}

/// An organisation and its jobs. Jobs are counted since the leader took over.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OrganisationView {
    /// Name of the organisation.
    pub name: Arc<str>,
    /// Weight of its share; `None` if it is no longer configured and its last jobs run.
    pub weight: Option<f64>,
    /// Its quota; `None` if it has none.
    pub quota: Option<QuotaView>,
    /// What its runs hold.
    pub running: ResourcesView,
    /// Jobs of which no task has started.
    pub jobs_waiting: u64,
    /// Jobs in progress.
    pub jobs_running: u64,
    /// Jobs waiting or in progress that are within its rate.
    pub jobs_within_rate: u64,
    /// Jobs waiting or in progress that are beyond its rate.
    pub jobs_beyond_rate: u64,
    /// Jobs that completed.
    pub completed: u64,
    /// Jobs that completed after their deadline.
    pub late: u64,
}

/// A pool and its workers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerPoolView {
    /// Name of the pool.
    pub name: Arc<str>,
    /// Whether it is the spare pool.
    pub spare: bool,
    /// Registered workers.
    pub workers: u32,
    /// Workers that can get new tasks now.
    pub usable_workers: u32,
    /// CPU of the usable workers, in thousandths of a core.
    pub capacity_milli: u64,
    /// CPU reserved by placed tasks.
    pub reserved_milli: u64,
    /// CPU of tasks that are placed or could start, also by their quota. Short waiting tasks count in proportion to their estimated run time,
    /// because several of them can use the same CPU in turn.
    pub demand_milli: u64,
}

/// State of a worker. Of several states that apply, the first one counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerState {
    /// Not registered any more, and its runs are not known to have ended.
    Unlisted,
    /// Its latest hold request was not answered.
    Silent,
    /// It has not answered this leader yet.
    Unknown,
    /// It drains.
    Draining,
    /// Its host is about to be moved or maintained.
    Cordoned,
    /// It gets no new tasks for a while after failures or refusals.
    Blocked,
    /// It can get new tasks.
    Usable,
}

impl WorkerState {
    /// Name in text output.
    pub fn as_str(self) -> &'static str {
        match self {
            WorkerState::Unlisted => "unlisted",
            WorkerState::Silent => "silent",
            WorkerState::Unknown => "unknown",
            WorkerState::Draining => "draining",
            WorkerState::Cordoned => "cordoned",
            WorkerState::Blocked => "blocked",
            WorkerState::Usable => "usable",
        }
    }
}

/// A worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerView {
    /// ID of the worker.
    pub id: Arc<str>,
    /// Its pool.
    pub pool: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Its state.
    pub state: WorkerState,
    /// Number of tasks placed on it.
    pub tasks: usize,
    /// Moving average of failed runs, from 0 to 1.
    pub failure_average: f64,
}
