//! Start orders to workers: whether the run is still wanted and the worker can still take it, which is checked when the
//! order is requested and again right before it is sent.
//!
//! A start order may wait for seconds in the queue of a worker that does not answer. Whatever justified it may have
//! changed by then.

use std::sync::Arc;

use super::action::{Action, StartRun};
use super::job::{RunPhase, WorkerIncarnation};
use super::late_starts::LateStart;
use super::leases::MAX_CALL_DELAY_MS;
use super::model::TaskRef;
use super::run_end::Observation;
use super::scheduler::Scheduler;
use super::stages::Stage;
use super::worker::Worker;
use crate::clock::US_PER_MS;

/// How often the start order for a run is repeated before the run is stopped.
pub(super) const MAX_START_REPEATS: u32 = 4;

/// Why a start order must not be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StartObstacle {
    /// The run has been stopped or released, or its job's phase is final.
    NotWanted,
    /// The worker has left the registry.
    Unlisted,
    /// The worker has restarted, or may have.
    Restarted,
    /// The worker has announced that it leaves.
    Draining,
    /// The worker's host is about to be taken away.
    Cordoned,
    /// The worker does not answer.
    Silent,
    /// The worker's capacity has shrunk below what it runs.
    OverCapacity,
    /// The lease that the order grants has ended.
    LeaseExpired,
}

impl StartObstacle {
    pub(crate) const ALL: [StartObstacle; 8] = [
        StartObstacle::NotWanted,
        StartObstacle::Unlisted,
        StartObstacle::Restarted,
        StartObstacle::Draining,
        StartObstacle::Cordoned,
        StartObstacle::Silent,
        StartObstacle::OverCapacity,
        StartObstacle::LeaseExpired,
    ];

    /// Name in logs and metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            StartObstacle::NotWanted => "not_wanted",
            StartObstacle::Unlisted => "unlisted",
            StartObstacle::Restarted => "restarted",
            StartObstacle::Draining => "draining",
            StartObstacle::Cordoned => "cordoned",
            StartObstacle::Silent => "silent",
            StartObstacle::OverCapacity => "over_capacity",
            StartObstacle::LeaseExpired => "lease_expired",
        }
    }
}

/// Number of start orders that were withdrawn for each reason since they were last taken, in the order of
/// [`StartObstacle::ALL`].
pub(crate) type WithdrawnCounts = [u64; StartObstacle::ALL.len()];

impl Worker {
    /// Why no start order may be sent to this incarnation of the worker now.
    fn start_obstacle(&self, now_us: u64, incarnation: &WorkerIncarnation) -> Option<StartObstacle> {
        if self.incarnation() != *incarnation || self.may_have_restarted() || self.needs_fence {
            Some(StartObstacle::Restarted)
        } else if !self.is_listed {
            Some(StartObstacle::Unlisted)
        } else if self.entry.draining {
            Some(StartObstacle::Draining)
        } else if self.is_cordoned {
            Some(StartObstacle::Cordoned)
        } else if !self.can_receive_start(now_us) {
            Some(StartObstacle::Silent)
        } else if !self.is_within_capacity() {
            Some(StartObstacle::OverCapacity)
        } else {
            None
        }
    }
}

impl Scheduler {
    /// Why a start order must not be sent for a run that was placed on this incarnation.
    fn start_obstacle(
        &self,
        now_us: u64,
        task_ref: &TaskRef,
        incarnation: &WorkerIncarnation,
    ) -> Option<StartObstacle> {
        if self.jobs.get(&task_ref.job).is_none_or(|job| job.phase.is_final()) {
            return Some(StartObstacle::NotWanted);
        }
        let Some(worker) = self.workers.get(&incarnation.id) else { return Some(StartObstacle::Unlisted) };
        worker.start_obstacle(now_us, incarnation)
    }

    /// Requests the start order for a run whose record is committed. Releases the task if the job's phase is final by
    /// now or the worker cannot take the task now.
    pub(super) fn order_start(&mut self, now_us: u64, task_ref: &TaskRef, run: u32) {
        let Some(job) = self.jobs.get(&task_ref.job) else { return };
        let Some(task) = job.task(task_ref) else { return };
        let Some(placed) = task.placed_runs().find(|placed| placed.run == run) else { return };
        if placed.phase != RunPhase::Committing {
            return;
        }
        let incarnation = placed.worker.clone();
        let lease_until_us = self.lease_until_us(now_us);
        let obstacle = self
            .start_obstacle(now_us, task_ref, &incarnation)
            .or_else(|| (lease_until_us <= now_us).then_some(StartObstacle::LeaseExpired));
        if let Some(obstacle) = obstacle {
            self.count_withdrawn_start(task_ref, run, &incarnation.id, obstacle);
            self.release_if_over(now_us, task_ref, &incarnation.id, Observation::Withdrawn);
            return;
        }
        self.push_start(now_us, task_ref, incarnation, run);
    }

    /// Requests the start order for a run again that has got no answer, under the same run, unless the worker cannot take
    /// the task now or has got the order often enough. Returns whether it did.
    pub(super) fn repeat_start(&mut self, now_us: u64, task_ref: &TaskRef, id: &Arc<str>) -> bool {
        let Some(placed) = self.task(task_ref).and_then(|task| task.run_on(id)) else { return false };
        let (incarnation, run) = (placed.worker.clone(), placed.run);
        let may_repeat = placed.report.start_repeats < MAX_START_REPEATS
            && self.start_obstacle(now_us, task_ref, &incarnation).is_none()
            && self.lease_until_us(now_us) > now_us;
        if !may_repeat {
            return false;
        }
        self.note_repeated_start(task_ref, id, run);
        self.mark_dirty(&task_ref.job);
        let task = self.jobs.get_mut(&task_ref.job).and_then(|job| job.task_mut(task_ref));
        if let Some(placed) = task.and_then(|task| task.run_on_mut(id)) {
            placed.report.start_repeats += 1;
        }
        self.start_repeat_count += 1;
        self.push_start(now_us, task_ref, incarnation, run);
        true
    }

    fn push_start(&mut self, now_us: u64, task_ref: &TaskRef, incarnation: WorkerIncarnation, run: u32) {
        let lease_until_us = self.lease_until_us(now_us);
        let ticket = self.ticket(now_us, task_ref, &incarnation.id);
        let Some(worker) = self.workers.get_mut(&incarnation.id) else { return };
        let lease_end_ms = worker.lease_end_for(lease_until_us).unwrap_or(0);
        worker.lease_end_ms = worker.lease_end_ms.max(lease_end_ms);
        self.hold_after_start(now_us, &incarnation.id);
        let Some(job) = self.jobs.get_mut(&task_ref.job) else { return };
        let spec = job.spec.task_spec.clone();
        let Some(task) = job.task_mut(task_ref) else { return };
        if let Some(placed) = task.run_on_mut(&incarnation.id) {
            *placed.phase = RunPhase::Ordered;
        }
        if task.run == run {
            task.stages.pass(Stage::Committed, now_us);
        }
        let checkpoint = task.checkpoint.clone();
        let start = StartRun {
            worker: incarnation.id,
            started_unix_ms: incarnation.started_unix_ms,
            task: task_ref.clone(),
            run,
            spec,
            lease_end_ms,
            checkpoint,
            ticket,
        };
        self.actions.push(Action::Start(start));
    }

    /// Records that a start order is being sent. Returns `false` if the order must not be sent, since the run has been
    /// stopped or released meanwhile, or the worker cannot take it any more.
    #[must_use]
    pub(crate) fn on_start_sent(&mut self, now_us: u64, start: &StartRun) -> bool {
        let task = self.jobs.get(&start.task.job).and_then(|job| job.task(&start.task));
        let placed = task.and_then(|task| task.run_on(&start.worker)).filter(|placed| placed.run == start.run);
        let obstacle = match placed {
            Some(placed) if placed.worker.started_unix_ms != start.started_unix_ms => Some(StartObstacle::Restarted),
            Some(placed) if placed.phase == RunPhase::Ordered => {
                let has_expired = self.has_lease_ended(now_us, start).then_some(StartObstacle::LeaseExpired);
                self.start_obstacle(now_us, &start.task, placed.worker).or(has_expired)
            }
            _ => Some(StartObstacle::NotWanted),
        };
        if let Some(obstacle) = obstacle {
            self.count_withdrawn_start(&start.task, start.run, &start.worker, obstacle);
            return false;
        }
        let Some(task) = self.jobs.get_mut(&start.task.job).and_then(|job| job.task_mut(&start.task)) else {
            return false;
        };
        if task.run == start.run {
            task.stages.pass(Stage::Ordered, now_us);
        }
        if let Some(worker) = self.workers.get_mut(&start.worker) {
            worker.last_lease_call_us = now_us;
            worker.starts_in_flight += 1;
        }
        let task = self.jobs.get_mut(&start.task.job).and_then(|job| job.task_mut(&start.task));
        if let Some(placed) = task.and_then(|task| task.run_on_mut(&start.worker)) {
            placed.report.is_start_in_flight = true;
        }
        true
    }

    /// Whether start orders to a worker have to wait: it is about to acknowledge ends, and a later incarnation must not carry
    /// out a start order before the acknowledgement, which would make it forget the end of that run unread.
    pub(crate) fn must_wait_to_start(&self, id: &str) -> bool {
        self.workers.get(id).is_some_and(|worker| worker.is_acknowledging)
    }

    /// Notes that a start order has got no answer, and may be carried out later.
    pub(super) fn note_unanswered_start(&mut self, now_us: u64, start: &StartRun) {
        let Some(task) = self.task(&start.task) else { return };
        let placed = task.run_on(&start.worker).filter(|placed| placed.run == start.run);
        let has_begun = task.highest_ended_run >= start.run || placed.is_some_and(|placed| placed.report.is_listed);
        let is_repeated = self.is_late_start(&start.task, &start.worker, start.run);
        if has_begun && !is_repeated {
            return;
        }
        let late_start = LateStart {
            worker: start.worker.clone(),
            started_unix_ms: Some(start.started_unix_ms),
            run: start.run,
            until_us: now_us + MAX_CALL_DELAY_MS * US_PER_MS,
            is_repeated,
        };
        self.note_late_start(&start.task, late_start);
    }

    /// Whether the lease that a start order grants has ended on the worker's clock.
    fn has_lease_ended(&self, now_us: u64, start: &StartRun) -> bool {
        let worker = self.workers.get(&start.worker);
        worker.and_then(|worker| worker.lease_end_for(now_us)).is_some_and(|clock_ms| clock_ms >= start.lease_end_ms)
    }

    fn count_withdrawn_start(&mut self, task_ref: &TaskRef, run: u32, worker: &Arc<str>, obstacle: StartObstacle) {
        self.withdrawn_counts[obstacle as usize] += 1;
        log::debug!(
            "job={} task={}.{}.{} run={run} worker={worker} reason={} outcome=start_withdrawn",
            task_ref.job,
            task_ref.occurrence,
            task_ref.step,
            task_ref.index,
            obstacle.label()
        );
    }

    /// Takes the number of repeated start orders since the last call.
    pub(crate) fn take_start_repeat_count(&mut self) -> u64 {
        std::mem::take(&mut self.start_repeat_count)
    }

    /// Takes the numbers of withdrawn start orders since the last call.
    pub(crate) fn take_withdrawn_counts(&mut self) -> WithdrawnCounts {
        std::mem::take(&mut self.withdrawn_counts)
    }
}
