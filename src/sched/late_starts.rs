//! Start orders that a later incarnation of their worker may still carry out: those without an answer, and those of former
//! leaders, whose answers are not known.
//!
//! A worker that has acknowledged a stop of the run refuses its start, but that ends with the incarnation. As long as the
//! order may arrive, the task therefore starts on no other worker: a restart of this one ends the later run before the order
//! can start the earlier one. On the same incarnation, the order is repeated for the same run: if two orders got no answer,
//! one for each of two runs, the next incarnation could carry out both.

use std::sync::Arc;

use foldhash::{HashMap, HashSet};

use super::job::{Task, WorkerIncarnation};
use super::model::{HoldAnswer, TaskRef};
use super::scheduler::Scheduler;

/// A start order without an answer.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct LateStart {
    pub(crate) worker: Arc<str>,
    /// Start time of the incarnation that the order was meant for; `None` for an order of a former leader.
    pub(crate) started_unix_ms: Option<u64>,
    pub(crate) run: u32,
    /// The order is carried out before this time, if ever.
    pub(crate) until_us: u64,
    /// Whether the order may have been sent more than once, so that a run that it has started does not show that nothing
    /// else arrives.
    pub(crate) is_repeated: bool,
}

/// The same in the list of its worker.
#[derive(Debug, Clone, PartialEq)]
struct LateStartOfTask {
    task: TaskRef,
    run: u32,
    until_us: u64,
    is_repeated: bool,
}

impl LateStartOfTask {
    /// Whether a worker lists the run as active.
    fn is_active(&self, answer: &HoldAnswer) -> bool {
        answer.running.iter().any(|active_run| active_run.run == self.run && active_run.task == self.task)
    }

    /// Whether a worker lists the end of the run.
    fn has_ended(&self, answer: &HoldAnswer) -> bool {
        answer.ended.iter().any(|ended_run| ended_run.run == self.run && ended_run.task == self.task)
    }
}

/// The late start orders of all tasks, by the ID of their worker. [`Task::late_starts`] has them by task.
#[derive(Debug, Default)]
pub(super) struct LateStarts(HashMap<Arc<str>, Vec<LateStartOfTask>>);

impl Task {
    /// Until when an order for an earlier run may start it; 0 if none may.
    pub(super) fn late_starts_until_us(&self) -> u64 {
        self.late_starts.iter().map(|late_start| late_start.until_us).max().unwrap_or(0)
    }
}

impl Scheduler {
    /// Whether no start order for a task may still be carried out by another worker than this one, nor one that was meant
    /// for the known incarnation of this one.
    pub(super) fn may_start_on(&self, task: &Task, id: &str) -> bool {
        if task.late_starts.is_empty() {
            return true;
        }
        let Some(worker) = self.workers.get(id) else { return false };
        let WorkerIncarnation { id, started_unix_ms } = worker.incarnation();
        task.late_starts
            .iter()
            .all(|late_start| late_start.worker == id && late_start.started_unix_ms != Some(started_unix_ms))
    }

    /// Notes a start order that has got no answer, or replaces what is known of it. Tasks of steps that allow copies may
    /// start elsewhere all the same.
    pub(super) fn note_late_start(&mut self, task_ref: &TaskRef, late_start: LateStart) {
        let allows_copies = self.step_of(task_ref).is_none_or(|step| step.allows_copies());
        let Some(task) = self.jobs.get_mut(&task_ref.job).and_then(|job| job.task_mut(task_ref)) else { return };
        let LateStart { worker, run, until_us, is_repeated, .. } = late_start.clone();
        if let Some(placed) = task.run_on_mut(&worker).filter(|placed| placed.run == run && is_repeated) {
            placed.report.late_starts_until_us = until_us;
        }
        task.late_starts.retain(|known| known.run != run || known.worker != worker);
        if !allows_copies {
            task.late_starts.push(late_start);
        }
        let of_worker = self.late_starts.0.entry(worker).or_default();
        of_worker.retain(|known| known.run != run || known.task != *task_ref);
        of_worker.push(LateStartOfTask { task: task_ref.clone(), run, until_us, is_repeated });
    }

    /// Notes that the start order for a run is about to be sent again.
    pub(super) fn note_repeated_start(&mut self, task_ref: &TaskRef, id: &Arc<str>, run: u32) {
        let Some(of_worker) = self.late_starts.0.get_mut(id) else { return };
        let mut until_us = 0;
        for late_start in of_worker.iter_mut().filter(|known| known.run == run && known.task == *task_ref) {
            late_start.is_repeated = true;
            until_us = late_start.until_us;
        }
        let Some(task) = self.jobs.get_mut(&task_ref.job).and_then(|job| job.task_mut(task_ref)) else { return };
        for late_start in task.late_starts.iter_mut().filter(|known| known.run == run && known.worker == *id) {
            late_start.is_repeated = true;
        }
        if let Some(placed) = task.run_on_mut(id) {
            placed.report.late_starts_until_us = until_us;
        }
    }

    /// Whether a start order for this run may still be carried out by a later incarnation of the worker.
    pub(super) fn is_late_start(&self, task_ref: &TaskRef, id: &str, run: u32) -> bool {
        let of_worker = self.late_starts.0.get(id);
        of_worker.is_some_and(|known| known.iter().any(|known| known.run == run && known.task == *task_ref))
    }

    /// Settles the late start orders of which a worker's answer, to a request of `sent_us`, tells that they have been carried
    /// out, or will not be any more.
    pub(super) fn settle_late_starts(&mut self, sent_us: u64, id: &Arc<str>, answer: &HoldAnswer) {
        let Some(of_worker) = self.late_starts.0.get(id) else { return };
        // An active run that is being stopped, and is not placed, may still be active when the task starts again.
        let is_placed = |late_start: &&LateStartOfTask| {
            let placed = self.task(&late_start.task).and_then(|task| task.run_on(id));
            placed.is_some_and(|placed| placed.run == late_start.run)
        };
        let placed: HashSet<(TaskRef, u32)> =
            of_worker.iter().filter(is_placed).map(|late_start| (late_start.task.clone(), late_start.run)).collect();
        self.settle_late_starts_if(id, |late_start| {
            let is_placed = placed.contains(&(late_start.task.clone(), late_start.run));
            let is_active = late_start.is_active(answer);
            let was_carried_out = late_start.has_ended(answer) || (is_placed && is_active);
            (was_carried_out && !late_start.is_repeated)
                || (answer.is_complete && sent_us > late_start.until_us && (is_placed || !is_active))
        });
    }

    /// Settles late start orders once no run that they have started can have a lease.
    pub(super) fn expire_late_starts(&mut self, now_us: u64) {
        let longest_lease_wait_us = self.longest_lease_wait_us();
        let workers: Vec<Arc<str>> = self.late_starts.0.keys().cloned().collect();
        for id in workers {
            // Later calls may have prolonged the lease of a run that was started late.
            let later_calls_us =
                self.workers.get(&id).map_or(0, |worker| self.lease_end_on_later_incarnation_us(worker));
            self.settle_late_starts_if(&id, |late_start| {
                now_us > later_calls_us.max(late_start.until_us + longest_lease_wait_us)
            });
        }
    }

    /// Settles the late start orders of workers that have gone for good.
    pub(super) fn settle_late_starts_of_gone_workers(&mut self, is_gone: impl Fn(&Arc<str>) -> bool) {
        let gone: Vec<Arc<str>> = self.late_starts.0.keys().filter(|id| is_gone(id)).cloned().collect();
        for id in gone {
            self.settle_late_starts_if(&id, |_| true);
        }
    }

    /// Whether a start order to a worker may still be carried out by a later incarnation.
    pub(super) fn has_late_start(&self, id: &str) -> bool {
        self.late_starts.0.contains_key(id)
    }

    fn settle_late_starts_if(&mut self, id: &Arc<str>, is_settled: impl Fn(&LateStartOfTask) -> bool) {
        let Some(of_worker) = self.late_starts.0.get_mut(id) else { return };
        let (settled, open) = std::mem::take(of_worker).into_iter().partition(is_settled);
        *of_worker = open;
        if of_worker.is_empty() {
            self.late_starts.0.remove(id);
        }
        let settled: Vec<LateStartOfTask> = settled;
        for LateStartOfTask { task: task_ref, run, .. } in settled {
            let Some(task) = self.jobs.get_mut(&task_ref.job).and_then(|job| job.task_mut(&task_ref)) else { continue };
            task.late_starts.retain(|late_start| late_start.run != run || late_start.worker != *id);
            self.wants_placement = true;
        }
    }
}
