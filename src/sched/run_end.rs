//! When a run is over, so that its task may be placed again.
//!
//! A run is over when its worker has listed its end, when every lease under which it may be active has expired, or when
//! its worker's process has ended; or if it never started and never will. All of this is decided here: a run leaves its
//! worker only through [`Scheduler::release_if_over`].

use std::sync::Arc;

use super::copies::log_remaining_run;
use super::job::RunPhase;
use super::model::TaskRef;
use super::scheduler::Scheduler;
use super::task_runs::PlacedRun;
use crate::clock::US_PER_MS;

/// A worker's clock may be slow, so that a stop takes longer than the grace by this factor.
const STOP_GRACE_FACTOR: f64 = 1.03;

/// What has been observed about a run, from which it may follow that the run is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Observation {
    /// The run shall not be started any more.
    Withdrawn,
    /// The start order was not sent, or was refused.
    StartRefused,
    /// The worker has listed the end of the run.
    EndListed,
    /// A complete list that was requested at `requested_us` has neither the run nor its end.
    NotListed { requested_us: u64 },
    /// Every lease granted to the known incarnation of the worker has expired at `now_us`.
    LeasesExpired { now_us: u64 },
    /// A later incarnation of the worker has answered, to a request of `requested_us`, that it does not have the run; or
    /// has only registered so far.
    WorkerRestarted { requested_us: Option<u64> },
    /// The worker's process has ended, and no other one takes orders under its ID.
    WorkerGone,
}

/// Why a run is over: it is not active, and its start order cannot take effect any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunOver {
    /// No start order has been sent.
    NeverOrdered,
    /// The start order was not sent, or was refused.
    NotStarted,
    /// The worker has listed the end of the run.
    EndListed,
    /// The worker has acknowledged a stop order, and no longer lists the run after the time that a stop may take.
    Stopped,
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
        RunOver::Stopped,
        RunOver::LeaseExpired,
        RunOver::WorkerGone,
    ];

    /// Name in logs and metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            RunOver::NeverOrdered => "never_ordered",
            RunOver::NotStarted => "not_started",
            RunOver::EndListed => "end_listed",
            RunOver::Stopped => "stopped",
            RunOver::LeaseExpired => "lease_expired",
            RunOver::WorkerGone => "worker_gone",
        }
    }
}

/// Number of runs released for each reason since they were last taken, in the order of [`RunOver::ALL`].
pub(crate) type ReleaseCounts = [u64; RunOver::ALL.len()];

impl Scheduler {
    /// Why a placed run is over, if that follows from an observation.
    pub(super) fn run_over(&self, placed: &PlacedRun<'_>, observation: Observation) -> Option<RunOver> {
        match (observation, placed.phase) {
            (Observation::EndListed, _) => Some(RunOver::EndListed),
            (Observation::LeasesExpired { now_us }, _) => {
                (now_us >= self.lease_end_of_run_us(placed)).then_some(RunOver::LeaseExpired)
            }
            (Observation::WorkerGone, _) => Some(RunOver::WorkerGone),
            (
                Observation::Withdrawn | Observation::StartRefused | Observation::WorkerRestarted { .. },
                RunPhase::Committing,
            ) => Some(RunOver::NeverOrdered),
            // A run that the worker lists has started, whatever an answer to its order says.
            (Observation::StartRefused, RunPhase::Ordered | RunPhase::Stopping { .. }) => {
                (!placed.report.is_listed).then_some(RunOver::NotStarted)
            }
            // A worker may leave a run out of its list while a stop takes effect.
            (Observation::NotListed { requested_us }, RunPhase::Stopping { acknowledged_us: Some(at_us), .. }) => {
                let has_ended = requested_us > at_us + self.stop_grace_us() && !placed.report.is_start_in_flight;
                has_ended.then_some(RunOver::Stopped)
            }
            // The order may have been accepted by either incarnation, unless the former one has listed the run.
            (Observation::WorkerRestarted { .. }, _) if placed.report.is_listed => Some(RunOver::WorkerGone),
            (Observation::WorkerRestarted { requested_us }, RunPhase::Running { since_us }) => {
                requested_us.is_some_and(|requested_us| requested_us > since_us).then_some(RunOver::WorkerGone)
            }
            (
                Observation::Withdrawn
                | Observation::StartRefused
                | Observation::NotListed { .. }
                | Observation::WorkerRestarted { .. },
                RunPhase::Committing
                | RunPhase::Ordered
                | RunPhase::Unanswered { .. }
                | RunPhase::Running { .. }
                | RunPhase::Stopping { .. }
                | RunPhase::Restored,
            ) => None,
        }
    }

    /// When every lease has ended under which a run may be active on the incarnation that is known or on a later one, once
    /// the lease of the known one has expired. The registry does not tell of a later one that was cut off before it could
    /// register.
    fn lease_end_of_run_us(&self, placed: &PlacedRun<'_>) -> u64 {
        let Some(worker) = self.workers.get(&placed.worker.id) else { return self.lease_end_on_unknown_worker_us() };
        let late_starts_until_us = placed.report.late_starts_until_us;
        if placed.report.is_confirmed && late_starts_until_us == 0 {
            return worker.unknown_lease_end_us;
        }
        let late_start_lease_end_us = match late_starts_until_us {
            0 => 0,
            until_us => until_us + self.longest_lease_wait_us(),
        };
        let later_incarnation_us = self.lease_end_on_later_incarnation_us(worker);
        worker.unknown_lease_end_us.max(later_incarnation_us).max(late_start_lease_end_us)
    }

    /// Upper bound for the time from the acknowledgement of a stop order to the end of the run.
    pub(super) fn stop_grace_us(&self) -> u64 {
        (self.settings.stop_grace_ms as f64 * STOP_GRACE_FACTOR * US_PER_MS as f64) as u64
    }

    /// Removes a run of a task from its worker if an observation shows that it is over. If no other run is left, the task
    /// can be placed again, unless it is done. Returns whether the run was removed.
    pub(super) fn release_if_over(
        &mut self,
        now_us: u64,
        task_ref: &TaskRef,
        worker: &Arc<str>,
        observation: Observation,
    ) -> bool {
        let task = self.jobs.get(&task_ref.job).and_then(|job| job.task(task_ref));
        let Some(placed) = task.and_then(|task| task.run_on(worker)) else { return false };
        let Some(over) = self.run_over(&placed, observation) else { return false };
        self.log_release(now_us, task_ref, &placed, over);
        self.release_counts[over as usize] += 1;
        self.remove_run(now_us, task_ref, worker);
        true
    }

    fn remove_run(&mut self, now_us: u64, task_ref: &TaskRef, worker: &Arc<str>) {
        let Some(job) = self.jobs.get_mut(&task_ref.job) else { return };
        let spec = job.spec.clone();
        let Some(task) = job.task_mut(task_ref) else { return };
        let had_copy = task.copy.is_some();
        let Some(incarnation) = task.remove_run(worker) else { return };
        let is_done = task.is_done;
        if had_copy {
            log_remaining_run(task_ref, task, worker);
        }
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
    fn log_release(&self, now_us: u64, task_ref: &TaskRef, placed: &PlacedRun<'_>, over: RunOver) {
        match over {
            RunOver::NotStarted | RunOver::Stopped => {}
            RunOver::NeverOrdered | RunOver::EndListed | RunOver::LeaseExpired | RunOver::WorkerGone => return,
        }
        log::info!(
            "job={} task={}.{}.{} run={} worker={} evidence={} phase={:?} listed={} list_age_ms={} outcome=released",
            task_ref.job,
            task_ref.occurrence,
            task_ref.step,
            task_ref.index,
            placed.run,
            placed.worker.id,
            over.label(),
            placed.phase,
            placed.report.is_listed,
            self.list_age_ms(now_us, &placed.worker.id)
        );
    }

    /// Takes the numbers of released runs since the last call.
    pub(crate) fn take_release_counts(&mut self) -> ReleaseCounts {
        std::mem::take(&mut self.release_counts)
    }
}
