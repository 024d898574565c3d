//! Stop orders for runs, and why they are given.

use std::fmt;
use std::sync::Arc;

use super::action::Action;
use super::job::{RunPhase, Task};
use super::model::{JobId, OrderOutcome, TaskRef};
use super::run_end::Observation;
use super::scheduler::Scheduler;
use super::worker_loss::ran_for_ms;
use crate::clock::US_PER_MS;

/// Delay before an unacknowledged stop order is repeated.
const STOP_RETRY_DELAY_MS: u64 = 400;

/// Why a run is ordered to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StopReason {
    /// The job's phase is final: it was cancelled, or has failed.
    JobFinal,
    /// Another run of the task has completed.
    TaskDone,
    /// Another member of the gang is missing.
    GangIncomplete,
    /// The run has made no progress for long.
    Stalled,
    /// The worker does not list the run, whose start order may still arrive.
    NotListed,
    /// The worker lists a run that was not ordered there, or was taken to be over.
    Unexpected,
    /// The worker has restarted; the start order may still reach its new incarnation.
    Restarted,
    /// The host is drained for maintenance or a move.
    HostDrained,
    /// The worker has announced that it leaves.
    WorkerDraining,
}

impl StopReason {
    pub(crate) const ALL: [StopReason; 9] = [
        StopReason::JobFinal,
        StopReason::TaskDone,
        StopReason::GangIncomplete,
        StopReason::Stalled,
        StopReason::NotListed,
        StopReason::Unexpected,
        StopReason::Restarted,
        StopReason::HostDrained,
        StopReason::WorkerDraining,
    ];

    /// Name in logs and metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            StopReason::JobFinal => "job_final",
            StopReason::TaskDone => "task_done",
            StopReason::GangIncomplete => "gang_incomplete",
            StopReason::Stalled => "stalled",
            StopReason::NotListed => "not_listed",
            StopReason::Unexpected => "unexpected",
            StopReason::Restarted => "restarted",
            StopReason::HostDrained => "host_drained",
            StopReason::WorkerDraining => "worker_draining",
        }
    }
}

/// Number of stop orders for each reason since they were last taken, in the order of [`StopReason::ALL`].
pub(crate) type StopCounts = [u64; StopReason::ALL.len()];

/// Time since a worker's latest list of runs was requested. Written in log lines as milliseconds, or as `none`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ListAge {
    /// The worker has sent no list.
    NoList,
    Ms(u64),
}

impl ListAge {
    /// The age of a list that was requested at `requested_us`; 0 stands for no list.
    pub(super) fn at(now_us: u64, requested_us: u64) -> ListAge {
        match requested_us {
            0 => ListAge::NoList,
            _ => ListAge::Ms(now_us.saturating_sub(requested_us) / US_PER_MS),
        }
    }
}

impl fmt::Display for ListAge {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ListAge::NoList => f.write_str("none"),
            ListAge::Ms(age_ms) => write!(f, "{age_ms}"),
        }
    }
}

impl Scheduler {
    /// Orders all runs of a job to stop.
    pub(super) fn stop_job_runs(&mut self, now_us: u64, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let placed: Vec<TaskRef> =
            job.tasks().filter(|(_, task)| task.placed_on().is_some()).map(|(task_ref, _)| task_ref).collect();
        for task_ref in placed {
            self.stop_task_runs(now_us, &task_ref, StopReason::JobFinal);
        }
    }

    /// Orders all runs of a task to stop.
    pub(super) fn stop_task_runs(&mut self, now_us: u64, task_ref: &TaskRef, reason: StopReason) {
        let task = self.task(task_ref);
        for worker in task.map(Task::worker_ids).unwrap_or_default() {
            self.order_stop(now_us, task_ref, &worker, reason);
        }
    }

    /// Requests a stop order for a task's run on a worker, unless that has been done already. If no start order has been
    /// sent, releases the run instead.
    pub(super) fn order_stop(&mut self, now_us: u64, task_ref: &TaskRef, worker: &Arc<str>, reason: StopReason) {
        let list_age_ms = self.list_age_ms(now_us, worker);
        let Some(task) = self.jobs.get_mut(&task_ref.job).and_then(|job| job.task_mut(task_ref)) else { return };
        let Some(placed) = task.run_on_mut(worker) else { return };
        match placed.phase {
            RunPhase::Stopping { .. } => return,
            RunPhase::Committing => {
                self.release_if_over(now_us, task_ref, worker, Observation::Withdrawn);
                return;
            }
            RunPhase::Ordered | RunPhase::Unanswered { .. } | RunPhase::Running { .. } | RunPhase::Restored => {}
        }
        let run = placed.run;
        log::info!(
            "job={} task={}.{}.{} run={run} worker={worker} reason={} phase={:?} ran_ms={} listed={} \
             list_age_ms={list_age_ms} outcome=stop_ordered",
            task_ref.job,
            task_ref.occurrence,
            task_ref.step,
            task_ref.index,
            reason.label(),
            placed.phase,
            ran_for_ms(now_us, *placed.phase),
            placed.report.is_listed
        );
        *placed.phase =
            RunPhase::Stopping { next_retry_us: now_us + STOP_RETRY_DELAY_MS * US_PER_MS, acknowledged_us: None };
        self.push_stop(worker, task_ref, run, reason);
    }

    /// Requests a stop order for a run of which the leader keeps no state on that worker.
    pub(super) fn push_stop(&mut self, worker: &Arc<str>, task_ref: &TaskRef, run: u32, reason: StopReason) {
        self.stop_counts[reason as usize] += 1;
        self.actions.push(Action::Stop { worker: worker.clone(), task: task_ref.clone(), run });
    }

    /// Repeats unacknowledged stop orders.
    pub(super) fn retry_stops(&mut self, now_us: u64) {
        let mut due = Vec::new();
        for worker in self.workers.values() {
            for task_ref in &worker.tasks {
                let Some(task) = self.task(task_ref) else { continue };
                let Some(placed) = task.run_on(&worker.entry.id) else { continue };
                let RunPhase::Stopping { next_retry_us, acknowledged_us: None } = placed.phase else { continue };
                if now_us >= next_retry_us {
                    due.push((worker.entry.id.clone(), task_ref.clone(), placed.run));
                }
            }
        }
        for (worker, task_ref, run) in due {
            let Some(task) = self.jobs.get_mut(&task_ref.job).and_then(|job| job.task_mut(&task_ref)) else { continue };
            if let Some(RunPhase::Stopping { next_retry_us, .. }) = task.run_on_mut(&worker).map(|placed| placed.phase)
            {
                *next_retry_us = now_us + STOP_RETRY_DELAY_MS * US_PER_MS;
            }
            self.actions.push(Action::Stop { worker, task: task_ref, run });
        }
    }

    /// Handles the outcome of a stop order.
    pub(crate) fn on_stop_outcome(
        &mut self,
        now_us: u64,
        worker: &Arc<str>,
        task_ref: &TaskRef,
        run: u32,
        outcome: &OrderOutcome,
    ) {
        self.record_answer(now_us, worker, outcome);
        self.handle_refusal(now_us, worker, outcome);
        if self.is_answer_of_former_incarnation(now_us, worker, outcome) {
            return;
        }
        let Some(task) = self.jobs.get_mut(&task_ref.job).and_then(|job| job.task_mut(task_ref)) else { return };
        let Some(placed) = task.run_on_mut(worker).filter(|placed| placed.run == run) else { return };
        let RunPhase::Stopping { next_retry_us, acknowledged_us } = placed.phase else { return };
        match outcome {
            OrderOutcome::Accepted { .. } => {
                *acknowledged_us = Some(now_us);
                let effective_us = now_us + self.stop_grace_us() + 1;
                if let Some(worker) = self.workers.get_mut(worker) {
                    worker.next_hold_us = worker.next_hold_us.min(effective_us);
                }
            }
            OrderOutcome::Refused(_) | OrderOutcome::NotSent | OrderOutcome::Withdrawn | OrderOutcome::Unanswered => {
                *next_retry_us = now_us + STOP_RETRY_DELAY_MS * US_PER_MS;
            }
        }
    }

    fn is_answer_of_former_incarnation(&self, now_us: u64, id: &Arc<str>, outcome: &OrderOutcome) -> bool {
        let OrderOutcome::Accepted { clock_ms: Some(clock_ms) } = outcome else { return false };
        self.workers.get(id).is_some_and(|worker| worker.is_clock_of_former_incarnation(now_us, *clock_ms))
    }

    /// Age of the latest list of runs from a worker, for log lines.
    pub(super) fn list_age_ms(&self, now_us: u64, worker: &str) -> ListAge {
        ListAge::at(now_us, self.workers.get(worker).map_or(0, |worker| worker.report_requested_us))
    }

    /// Takes the numbers of stop orders since the last call.
    pub(crate) fn take_stop_counts(&mut self) -> StopCounts {
        std::mem::take(&mut self.stop_counts)
    }
}
