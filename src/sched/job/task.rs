//! State of a task and of its run on a worker.

use std::sync::Arc;

use crate::sched::late_starts::LateStart;
use crate::sched::stages::TaskStages;
use crate::sched::task_runs::{RunReport, TaskCopy};
use crate::sched::worker_loss::WorkerLoss;

/// One incarnation of a worker: a restarted worker keeps its ID but has a new start time.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct WorkerIncarnation {
    pub(crate) id: Arc<str>,
    pub(crate) started_unix_ms: u64,
}

/// Progress of a run that has been placed on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// The run is not committed yet, so no start order has been sent.
    Committing,
    /// The start order has been handed to the leader for sending.
    Ordered,
    /// The start order got no answer; the worker's next list of runs shows whether it arrived.
    Unanswered { since_us: u64 },
    /// The worker has accepted the start order, or lists the run.
    Running { since_us: u64 },
    /// The run must end before the task can be placed again. `acknowledged_us` is when the worker acknowledged the
    /// stop order.
    Stopping { next_retry_us: u64, acknowledged_us: Option<u64> },
    /// The run is restored from the record of a former leader; its worker has not answered this leader yet.
    Restored,
}

/// State of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// Not placed; the task may depend on steps that have not completed.
    Waiting,
    Placed {
        worker: WorkerIncarnation,
        phase: RunPhase,
    },
    Done,
}

/// One task of a step.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Task {
    pub(crate) state: TaskState,
    /// A second run, on another worker; only while `state` is [`TaskState::Placed`].
    pub(crate) copy: Option<Box<TaskCopy>>,
    /// Number of the run in `state`, or of the latest one.
    pub(crate) run: u32,
    /// Highest number of any run, also of a copy that has ended.
    pub(crate) last_run: u32,
    /// Highest run whose end has been processed.
    pub(crate) highest_ended_run: u32,
    /// Whether a run has completed. A later run of the task may still have to be stopped.
    pub(crate) is_done: bool,
    pub(crate) failures: u32,
    pub(crate) checkpoint: Arc<str>,
    /// Workers on which the task failed or made no progress.
    pub(crate) avoided_workers: Vec<Arc<str>>,
    /// Workers that were lost while they had a run of the task.
    pub(crate) losses: Vec<WorkerLoss>,
    /// Start orders without an answer that may still be carried out.
    pub(crate) late_starts: Vec<LateStart>,
    /// Until this time, a suspect starts only on a worker without other tasks.
    pub(crate) isolated_until_us: u64,
    /// Earliest time of the next start.
    pub(crate) not_before_us: u64,
    /// Report about the run in `state`.
    pub(crate) report: RunReport,
    pub(crate) stages: TaskStages,
}

impl Task {
    pub(super) fn new() -> Task {
        Task {
            state: TaskState::Waiting,
            copy: None,
            run: 0,
            last_run: 0,
            highest_ended_run: 0,
            is_done: false,
            failures: 0,
            checkpoint: Arc::from(""),
            avoided_workers: Vec::new(),
            losses: Vec::new(),
            late_starts: Vec::new(),
            isolated_until_us: 0,
            not_before_us: 0,
            report: RunReport::new(0),
            stages: TaskStages::default(),
        }
    }

    /// The worker on which the run in `state` is placed.
    pub(crate) fn placed_on(&self) -> Option<&WorkerIncarnation> {
        match &self.state {
            TaskState::Placed { worker, .. } => Some(worker),
            TaskState::Waiting | TaskState::Done => None,
        }
    }

    /// Whether a run may be at work that no stop order has been sent for.
    pub(crate) fn may_be_at_work(&self) -> bool {
        match self.state {
            TaskState::Waiting | TaskState::Done => false,
            TaskState::Placed { phase, .. } => match phase {
                RunPhase::Committing | RunPhase::Stopping { .. } => false,
                RunPhase::Ordered | RunPhase::Unanswered { .. } | RunPhase::Running { .. } | RunPhase::Restored => true,
            },
        }
    }

    /// Whether a run is in progress and reports 100 percent.
    pub(crate) fn is_fully_running(&self) -> bool {
        matches!(self.state, TaskState::Placed { phase: RunPhase::Running { .. }, .. }) && self.report.percent >= 100
    }
}
