//! Outcomes of start orders: accepted, refused, not sent, or without an answer.

use std::sync::Arc;

use super::action::{Action, StartRun};
use super::job::RunPhase;
use super::model::{JobPhase, OrderOutcome, OrderRefusal, TaskRef};
use super::reconcile::UNREACHABLE_BLOCK_MS;
use super::run_end::Observation;
use super::scheduler::Scheduler;
use super::work_counts::Work;
use super::worker::MAX_ANSWER_AGE_MS;
use crate::clock::US_PER_MS;

/// A worker that does not answer a start order still counts as reachable for this long after its latest answer.
const REACHABLE_AFTER_ANSWER_MS: u64 = 700;
/// Delay before a task is placed again after its start order was refused as invalid.
const INVALID_ORDER_DELAY_MS: u64 = 700;

impl Scheduler {
    /// Handles the outcome of a start order.
    pub(crate) fn on_start_outcome(&mut self, now_us: u64, start: &StartRun, outcome: &OrderOutcome) {
        self.work_counts.add(Work::OrderOutcomes, 1);
        let task_ref = &start.task;
        if !matches!(outcome, OrderOutcome::Accepted { .. }) {
            log::info!(
                "job={} worker={} run={} end={outcome:?} outcome=start_refused",
                task_ref.job,
                start.worker,
                start.run
            );
        }
        if let Some(worker) = self.workers.get_mut(&start.worker).filter(|_| *outcome != OrderOutcome::Withdrawn) {
            worker.starts_in_flight = worker.starts_in_flight.saturating_sub(1);
        }
        self.record_answer(now_us, &start.worker, outcome);
        self.handle_refusal(now_us, &start.worker, outcome);
        self.log_other_incarnation(start, outcome);
        if *outcome == OrderOutcome::Unanswered {
            self.note_unanswered_start(now_us, start);
        }
        let is_confirmed = self.is_answer_of_known_incarnation(now_us, &start.worker, outcome);
        let is_late_start = self.is_late_start(task_ref, &start.worker, start.run);
        let Some(job) = self.jobs.get_mut(&task_ref.job) else { return };
        let was_queued = job.phase == JobPhase::Queued;
        let Some(task) = job.task_mut(task_ref) else { return };
        let Some(placed) = task.run_on_mut(&start.worker).filter(|placed| placed.run == start.run) else { return };
        placed.report.is_confirmed |= is_confirmed;
        placed.report.is_start_in_flight = false;
        match (outcome, *placed.phase) {
            (OrderOutcome::Accepted { .. }, RunPhase::Ordered) => {
                *placed.phase = RunPhase::Running { since_us: now_us };
                placed.report.percent_since_us = now_us;
                let is_copy = placed.is_copy;
                if was_queued {
                    job.phase = JobPhase::Running;
                    self.mark_progressed(&task_ref.job);
                }
                if !is_copy {
                    self.run_begun(now_us, task_ref);
                }
            }
            (OrderOutcome::Unanswered, RunPhase::Ordered) => {
                *placed.phase = RunPhase::Unanswered { since_us: now_us };
                self.actions.push(Action::RaiseFence { worker: start.worker.clone() });
                // One lost answer says little about a worker that answers other requests.
                if !self.is_probably_reachable(now_us, &start.worker) {
                    self.block_worker(now_us, &start.worker, UNREACHABLE_BLOCK_MS);
                }
            }
            (
                OrderOutcome::Refused(_) | OrderOutcome::NotSent | OrderOutcome::Withdrawn,
                RunPhase::Ordered | RunPhase::Stopping { .. },
            ) => {
                if *outcome == OrderOutcome::NotSent {
                    self.block_worker(now_us, &start.worker, UNREACHABLE_BLOCK_MS);
                }
                match outcome {
                    OrderOutcome::Refused(OrderRefusal::TicketRejected) => self.drop_ticket(task_ref, &start.worker),
                    OrderOutcome::Refused(OrderRefusal::Invalid) => self.delay_start(now_us, task_ref),
                    _ => {}
                }
                // This one was a repetition: an earlier order may still be carried out.
                if is_late_start && *outcome != OrderOutcome::Refused(OrderRefusal::StaleRun) {
                    self.await_list(now_us, task_ref, &start.worker);
                    return;
                }
                self.release_if_over(now_us, task_ref, &start.worker, Observation::StartRefused);
            }
            _ => {}
        }
    }

    fn is_probably_reachable(&self, now_us: u64, id: &Arc<str>) -> bool {
        self.workers
            .get(id)
            .is_some_and(|worker| now_us < worker.last_answer_us + REACHABLE_AFTER_ANSWER_MS * US_PER_MS)
    }

    /// Has the next list decide about a run whose order got no answer, unless the run is being stopped.
    fn await_list(&mut self, now_us: u64, task_ref: &TaskRef, id: &Arc<str>) {
        let Some(task) = self.jobs.get_mut(&task_ref.job).and_then(|job| job.task_mut(task_ref)) else { return };
        if let Some(placed) = task.run_on_mut(id).filter(|placed| *placed.phase == RunPhase::Ordered) {
            *placed.phase = RunPhase::Unanswered { since_us: now_us };
        }
    }

    /// Whether the incarnation of a worker that has accepted an order is the known one: its clock may be, and that of a later
    /// one, which has started after the latest answered hold request was sent, cannot be as far yet if it started at zero.
    fn is_answer_of_known_incarnation(&self, now_us: u64, id: &Arc<str>, outcome: &OrderOutcome) -> bool {
        let OrderOutcome::Accepted { clock_ms: Some(clock_ms) } = outcome else { return false };
        let Some(worker) = self.workers.get(id).filter(|worker| worker.is_synced) else { return false };
        let max_later_clock_ms = now_us.saturating_sub(worker.report_requested_us) / US_PER_MS;
        *clock_ms > max_later_clock_ms
            && worker.suspected_restart_us.is_none()
            && worker.may_be_own_clock(now_us, *clock_ms)
    }

    /// Logs a start order that a later incarnation of the worker has accepted than the one that it was meant for.
    fn log_other_incarnation(&self, start: &StartRun, outcome: &OrderOutcome) {
        let OrderOutcome::Accepted { clock_ms: Some(clock_ms) } = outcome else { return };
        let Some(worker) = self.workers.get(&start.worker) else { return };
        if clock_ms + MAX_ANSWER_AGE_MS < worker.uptime_ms() {
            log::warn!(
                "job={} task={}.{}.{} run={} worker={} clock_ms={clock_ms} known_clock_ms={} started_unix_ms={} \
                 outcome=started_in_new_incarnation",
                start.task.job,
                start.task.occurrence,
                start.task.step,
                start.task.index,
                start.run,
                start.worker,
                worker.uptime_ms(),
                worker.entry.started_unix_ms
            );
        }
    }

    /// Delays the next start of a task whose order was refused as invalid: other workers are likely to refuse it too.
    fn delay_start(&mut self, now_us: u64, task_ref: &TaskRef) {
        let Some(task) = self.jobs.get_mut(&task_ref.job).and_then(|job| job.task_mut(task_ref)) else { return };
        task.not_before_us = now_us + INVALID_ORDER_DELAY_MS * US_PER_MS;
    }
}
