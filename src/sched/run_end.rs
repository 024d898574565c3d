//! When a run is over, so that its task may be placed again.

use std::sync::Arc;

use super::copies::log_remaining_run;
use super::model::TaskRef;
use super::scheduler::Scheduler;

/// Evidence that a run is not active, and that its start order cannot take effect any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunOver {
    /// No start order has been sent.
    NeverOrdered,
    /// The start order was not sent, or was refused.
    NotStarted,
    /// The worker has listed the end of the run.
    EndListed,
    /// The worker lists neither the run nor its end.
    NotListed,
    /// Every lease under which the run may have been active has expired.
    LeaseExpired,
    /// The worker's process has ended.
    WorkerGone,
}

impl RunOver {
    pub(crate) const ALL: [RunOver; 6] = [
        RunOver::NeverOrdered,
        RunOver::NotStarted,
        RunOver::EndListed,
        RunOver::NotListed,
        RunOver::LeaseExpired,
        RunOver::WorkerGone,
    ];

    /// Name in logs and metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            RunOver::NeverOrdered => "never_ordered",
            RunOver::NotStarted => "not_started",
            RunOver::EndListed => "end_listed",
            RunOver::NotListed => "not_listed",
            RunOver::LeaseExpired => "lease_expired",
            RunOver::WorkerGone => "worker_gone",
        }
    }
}

/// Number of runs released on each kind of evidence since they were last taken, in the order of [`RunOver::ALL`].
pub(crate) type ReleaseCounts = [u64; RunOver::ALL.len()];

impl Scheduler {
    /// Removes a run of a task from its worker. If no other run is left, the task can be placed again, unless it is
    /// done.
    pub(super) fn release_run(&mut self, now_us: u64, task_ref: &TaskRef, worker: &Arc<str>, over: RunOver) {
        self.log_release(now_us, task_ref, worker, over);
        let Some(job) = self.jobs.get_mut(&task_ref.job) else { return };
        let spec = job.spec.clone();
        let Some(task) = job.task_mut(task_ref) else { return };
        let had_copy = task.copy.is_some();
        let Some(incarnation) = task.remove_run(worker) else { return };
        let is_done = task.is_done;
        if had_copy {
            log_remaining_run(task_ref, task, worker);
        }
        self.release_counts[over as usize] += 1;
        self.count_released(task_ref);
        let step = &spec.steps[task_ref.step as usize];
        if let Some(worker) = self.workers.get_mut(&incarnation.id) {
            if worker.incarnation() == incarnation {
                worker.detach(now_us, task_ref, step);
            }
        }
        if step.gang && !is_done {
            self.stop_gang(now_us, task_ref);
        }
        self.wants_placement = true;
        self.refresh_job(&task_ref.job);
    }

    /// Logs a release that does not follow from a listed end; runs lost with their workers have lines of their own.
    fn log_release(&self, now_us: u64, task_ref: &TaskRef, worker: &Arc<str>, over: RunOver) {
        let is_notable = match over {
            RunOver::NotStarted | RunOver::NotListed => true,
            RunOver::NeverOrdered | RunOver::EndListed | RunOver::LeaseExpired | RunOver::WorkerGone => false,
        };
        let task = self.jobs.get(&task_ref.job).and_then(|job| job.task(task_ref));
        let Some(placed) = task.and_then(|task| task.run_on(worker)).filter(|_| is_notable) else { return };
        log::info!(
            "job={} task={}.{}.{} run={} worker={worker} evidence={} phase={:?} listed={} list_age_ms={} outcome=released",
            task_ref.job,
            task_ref.occurrence,
            task_ref.step,
            task_ref.index,
            placed.run,
            over.label(),
            placed.phase,
            placed.report.is_listed,
            self.list_age_ms(now_us, worker)
        );
    }

    /// Takes the numbers of released runs since the last call.
    pub(crate) fn take_release_counts(&mut self) -> ReleaseCounts {
        std::mem::take(&mut self.release_counts)
    }
}
