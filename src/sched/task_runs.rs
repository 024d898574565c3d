//! The runs of a task: the one in its state and, for a while, a speculative copy beside it.
//!
//! The two are always on different workers, so that a task and a worker's ID identify a run. A copy exists only while
//! the task is placed: if the other run ends first, the copy becomes the run in the task's state.

use std::sync::Arc;

use super::job::{RunPhase, Task, TaskState, WorkerIncarnation};
use super::pace::FULL_PACE_PERCENT;

/// What a worker has reported about a run, and the pace that it was ordered to keep.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct RunReport {
    /// Whether the worker has listed the run as active.
    pub(crate) is_listed: bool,
    /// Whether it is certain that no later incarnation of the worker than the known one has the run.
    pub(crate) is_confirmed: bool,
    /// Whether the start order has been sent, and neither an answer nor its absence is known.
    pub(crate) is_start_in_flight: bool,
    /// Until when an order for an earlier run, or an earlier order for this one, may start it on a later incarnation of the
    /// worker; 0 if none may.
    pub(crate) late_starts_until_us: u64,
    /// How often the start order has been repeated.
    pub(crate) start_repeats: u32,
    /// Latest reported progress in percent. A long-running task at 100 is fully in service.
    pub(crate) percent: u32,
    /// When `percent` last changed, or the run started.
    pub(crate) percent_since_us: u64,
    /// Latest reported load, see [`ActiveRun::load`](super::model::ActiveRun::load).
    pub(crate) load: Option<u64>,
    /// Percentage of its CPU time that the run may use; `None` if it is not known, after a former leader or an order
    /// without an answer.
    pub(crate) pace_percent: Option<u32>,
    /// When the pace was last ordered; 0 if it never was.
    pub(crate) pace_ordered_us: u64,
}

impl RunReport {
    pub(crate) fn new(now_us: u64) -> RunReport {
        RunReport {
            is_listed: false,
            is_confirmed: false,
            is_start_in_flight: false,
            late_starts_until_us: 0,
            start_repeats: 0,
            percent: 0,
            percent_since_us: now_us,
            load: None,
            pace_percent: Some(FULL_PACE_PERCENT),
            pace_ordered_us: 0,
        }
    }
}

/// A second run of a task, started because the other one is expected to take longer than a fresh one.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct TaskCopy {
    pub(crate) worker: WorkerIncarnation,
    pub(crate) phase: RunPhase,
    pub(crate) run: u32,
    pub(crate) report: RunReport,
}

/// One of the placed runs of a task.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlacedRun<'a> {
    pub(crate) worker: &'a WorkerIncarnation,
    pub(crate) phase: RunPhase,
    pub(crate) run: u32,
    pub(crate) report: &'a RunReport,
    pub(crate) is_copy: bool,
}

/// The same, to be changed.
#[derive(Debug)]
pub(crate) struct PlacedRunMut<'a> {
    pub(crate) worker: &'a mut WorkerIncarnation,
    pub(crate) phase: &'a mut RunPhase,
    pub(crate) run: u32,
    pub(crate) report: &'a mut RunReport,
    pub(crate) is_copy: bool,
}

impl Task {
    /// The placed runs, the copy last.
    pub(crate) fn placed_runs(&self) -> impl Iterator<Item = PlacedRun<'_>> {
        let in_state = match &self.state {
            TaskState::Placed { worker, phase } => {
                Some(PlacedRun { worker, phase: *phase, run: self.run, report: &self.report, is_copy: false })
            }
            TaskState::Waiting | TaskState::Done => None,
        };
        let copy = self.copy.as_deref().map(|copy| PlacedRun {
            worker: &copy.worker,
            phase: copy.phase,
            run: copy.run,
            report: &copy.report,
            is_copy: true,
        });
        in_state.into_iter().chain(copy)
    }

    /// The run that is placed on a worker.
    pub(crate) fn run_on(&self, worker: &str) -> Option<PlacedRun<'_>> {
        self.placed_runs().find(|placed| &*placed.worker.id == worker)
    }

    pub(crate) fn run_on_mut(&mut self, worker: &str) -> Option<PlacedRunMut<'_>> {
        if let Some(copy) = self.copy.as_deref_mut().filter(|copy| &*copy.worker.id == worker) {
            let TaskCopy { worker, phase, run, report } = copy;
            return Some(PlacedRunMut { worker, phase, run: *run, report, is_copy: true });
        }
        match &mut self.state {
            TaskState::Placed { worker: incarnation, phase } if &*incarnation.id == worker => {
                let (run, report) = (self.run, &mut self.report);
                Some(PlacedRunMut { worker: incarnation, phase, run, report, is_copy: false })
            }
            TaskState::Placed { .. } | TaskState::Waiting | TaskState::Done => None,
        }
    }

    /// IDs of the workers on which runs are placed.
    pub(crate) fn worker_ids(&self) -> Vec<Arc<str>> {
        self.placed_runs().map(|placed| placed.worker.id.clone()).collect()
    }

    /// Adds a run: the only one of the task, or a copy of the one that it has.
    pub(crate) fn add_run(&mut self, now_us: u64, worker: WorkerIncarnation, run: u32, phase: RunPhase) {
        self.last_run = self.last_run.max(run);
        let report = RunReport { late_starts_until_us: self.late_starts_until_us(), ..RunReport::new(now_us) };
        if self.placed_on().is_some() {
            self.copy = Some(Box::new(TaskCopy { worker, phase, run, report }));
            return;
        }
        self.run = run;
        self.report = report;
        self.state = TaskState::Placed { worker, phase };
    }

    /// Removes the run that is placed on a worker, and returns the worker's incarnation. A remaining copy becomes the
    /// run in the task's state.
    pub(crate) fn remove_run(&mut self, worker: &str) -> Option<WorkerIncarnation> {
        let removed = self.run_on(worker)?;
        let (incarnation, is_copy) = (removed.worker.clone(), removed.is_copy);
        let copy = self.copy.take();
        if is_copy {
            return Some(incarnation);
        }
        match copy {
            Some(copy) => {
                self.run = copy.run;
                self.report = copy.report;
                self.state = TaskState::Placed { worker: copy.worker, phase: copy.phase };
            }
            None => {
                self.state = if self.is_done { TaskState::Done } else { TaskState::Waiting };
                self.report = RunReport { percent_since_us: self.report.percent_since_us, ..RunReport::new(0) };
            }
        }
        Some(incarnation)
    }
}
