//! Compares what workers report with what was ordered, and handles failed requests to workers.

use std::sync::Arc;

use super::action::Action;
use super::job::{RunPhase, TaskState, WorkerIncarnation};
use super::model::{ActiveRun, EndedRun, HoldAnswer, JobPhase, OrderOutcome, OrderRefusal, Resources, Step, TaskRef};
use super::pace::FULL_PACE_PERCENT;
use super::run_end::Observation;
use super::run_stops::StopReason;
use super::scheduler::Scheduler;
use super::work_counts::Work;
use crate::clock::US_PER_MS;

/// How long a worker gets no new tasks after it refused one for lack of capacity.
const INSUFFICIENT_CAPACITY_BLOCK_MS: u64 = 200;
/// How long a worker gets no new tasks after it could not be reached.
pub(super) const UNREACHABLE_BLOCK_MS: u64 = 500;
/// How long a worker gets no new tasks after it refused one as unhealthy.
const UNHEALTHY_BLOCK_MS: u64 = 700;
/// A run that its worker does not list is stopped after this time, whatever the budget of its step.
const UNLISTED_RUN_WAIT_MS: u64 = 5_000;
/// A run without progress for this long is stopped and placed again.
const STALL_TIMEOUT_MS: u64 = 2_500;
/// Progress from which the run time can be told. Percentages are whole numbers, so smaller ones are inexact.
const MIN_PERCENT_TO_MEASURE: u32 = 20;

impl Scheduler {
    /// Handles a worker's answer to a hold request that was sent at `sent_us`: its active and ended runs.
    pub(crate) fn on_hold_answer(&mut self, now_us: u64, sent_us: u64, id: &Arc<str>, answer: &HoldAnswer) {
        self.work_counts.add(Work::HoldAnswers, 1);
        if !self.confirm_incarnation(now_us, sent_us, id, answer) {
            self.schedule_hold(now_us, id, false);
            return;
        }
        self.confirm_fence(now_us, sent_us, id);
        let longest_lease_wait_us = self.longest_lease_wait_us();
        let (has_former_leader, now_unix_ms) = (self.has_former_leader, self.now_unix_ms);
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.record_clock(now_us, answer.clock_ms);
        worker.last_answer_us = now_us;
        worker.acknowledged_cursor = worker.acknowledged_cursor.max(worker.acknowledging_cursor);
        worker.report_requested_us = worker.report_requested_us.max(sent_us);
        worker.is_silent = false;
        let has_acknowledged = std::mem::take(&mut worker.is_acknowledging);
        if worker.superseded_us.is_some_and(|superseded_us| sent_us > superseded_us) {
            worker.superseded_us = None;
        }
        if !worker.is_synced {
            worker.is_synced = true;
            // Until it saw this leader's token, calls of a former leader may have granted leases.
            if has_former_leader && worker.is_young(now_unix_ms) {
                worker.unknown_lease_end_us = now_us + longest_lease_wait_us;
            }
            self.wants_placement = true;
            self.attach_unattached(now_us, id);
        }
        let processed_cursor = self.workers.get(id).map_or(0, |worker| worker.processed_cursor);
        let new_ended_runs: Vec<&EndedRun> = answer.ended.iter().filter(|run| run.number > processed_cursor).collect();
        for ended_run in &new_ended_runs {
            self.run_ended(now_us, id, ended_run);
            self.withhold_acknowledgement(id, ended_run);
            if let Some(worker) = self.workers.get_mut(id) {
                worker.processed_cursor = worker.processed_cursor.max(ended_run.number);
                worker.unstored_ends.push_back((ended_run.number, ended_run.task.job.clone()));
            }
        }
        if !new_ended_runs.is_empty() {
            self.unacknowledged_workers.insert(id.clone());
        }
        self.discard_withheld_ends(id);
        self.reconcile_runs(now_us, sent_us, id, answer);
        self.settle_late_starts(sent_us, id, answer);
        self.schedule_hold(now_us, id, false);
        if has_acknowledged && answer.ended.is_empty() {
            // The worker did not wait for an end, so that the next request does.
            self.hold_now_if_busy(now_us, id);
        }
    }

    /// Compares a worker's active runs with the tasks placed on it, and stops runs that it should not have.
    fn reconcile_runs(&mut self, now_us: u64, sent_us: u64, id: &Arc<str>, answer: &HoldAnswer) {
        let active_runs = &answer.running;
        let mut listed: Vec<&ActiveRun> = active_runs.iter().collect();
        listed.sort_unstable_by(|a, b| (&a.task, a.run).cmp(&(&b.task, b.run)));
        let Some(worker) = self.workers.get(id) else { return };
        let incarnation = worker.incarnation();
        let expected: Vec<TaskRef> = worker.tasks.iter().cloned().collect();
        for task_ref in &expected {
            // The latest run, should the worker list several of one task.
            let following = listed.partition_point(|active_run| active_run.task <= *task_ref);
            let latest = listed[..following].last().filter(|active_run| active_run.task == *task_ref);
            match latest {
                Some(active_run) => self.run_listed(now_us, id, task_ref, active_run),
                None if answer.is_complete => self.run_not_listed(now_us, sent_us, id, task_ref),
                None => {}
            }
        }
        let mut untracked = Resources::default();
        let mut untracked_usage = Vec::new();
        for active_run in active_runs {
            let task = self.jobs.get(&active_run.task.job).and_then(|job| job.task(&active_run.task));
            let placed = task.and_then(|task| task.run_on(id));
            if placed.is_some_and(|placed| *placed.worker == incarnation && placed.run == active_run.run) {
                continue;
            }
            self.log_unexpected_run(now_us, sent_us, &incarnation, active_run);
            if self.track_unexpected_run(now_us, &incarnation, active_run) {
                continue;
            }
            self.push_stop(id, &active_run.task, active_run.run, StopReason::Unexpected);
            // The needs of a run of an unknown job are not known, so its worker gets no new tasks until it has ended.
            untracked.add(&self.step_of(&active_run.task).map_or(Resources::MAX, Step::reserved));
            untracked_usage.extend(self.untracked_usage(&active_run.task));
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.untracked = untracked;
        }
        self.set_untracked_usage(id, untracked_usage);
    }

    fn log_unexpected_run(
        &self,
        now_us: u64,
        sent_us: u64,
        worker: &WorkerIncarnation,
        ActiveRun { task: task_ref, run, .. }: &ActiveRun,
    ) {
        let task = self.jobs.get(&task_ref.job).and_then(|job| job.task(task_ref));
        log::warn!(
            "job={} task={}.{}.{} run={run} worker={} started_unix_ms={} latest_run={:?} state={:?} list_age_ms={} \
             outcome=stop_unexpected_run",
            task_ref.job,
            task_ref.occurrence,
            task_ref.step,
            task_ref.index,
            worker.id,
            worker.started_unix_ms,
            task.map(|task| task.last_run),
            task.map(|task| &task.state),
            now_us.saturating_sub(sent_us) / US_PER_MS
        );
    }

    /// Places a run that a worker lists unexpectedly on that worker, so that its task does not start before the run is
    /// over, and orders it to stop unless it is the task's latest one or its step's budget forbids that. Returns `false` if
    /// the task needs no other run, or has one that may have started.
    fn track_unexpected_run(&mut self, now_us: u64, worker: &WorkerIncarnation, active_run: &ActiveRun) -> bool {
        let task_ref = &active_run.task;
        let Some(job) = self.jobs.get(&task_ref.job).filter(|job| !job.phase.is_final()) else { return false };
        let Some(task) = job.task(task_ref) else { return false };
        if !job.spec.steps[task_ref.step as usize].allows_copies() {
            for placed_on in task.worker_ids() {
                self.release_if_over(now_us, task_ref, &placed_on, Observation::Withdrawn);
            }
        }
        let task = self.jobs.get(&task_ref.job).and_then(|job| job.task(task_ref));
        if task.is_none_or(|task| task.state != TaskState::Waiting) {
            return false;
        }
        // The latest run of a task may as well go on.
        let is_latest =
            task.is_some_and(|task| task.last_run == active_run.run && task.highest_ended_run < active_run.run);
        let is_gang = self.step_of(task_ref).is_some_and(|step| step.gang);
        self.place_run(now_us, task_ref, worker, active_run.run, RunPhase::Running { since_us: now_us });
        if is_gang || (!is_latest && self.may_disrupt(now_us, task_ref, StopReason::Unexpected)) {
            self.order_stop(now_us, task_ref, &worker.id, StopReason::Unexpected);
        }
        self.mark_dirty(&task_ref.job);
        self.refresh_job(&task_ref.job);
        true
    }

    fn run_listed(&mut self, now_us: u64, id: &Arc<str>, task_ref: &TaskRef, active_run: &ActiveRun) {
        let Some(job) = self.jobs.get_mut(&task_ref.job) else { return };
        let is_final = job.phase.is_final();
        let long_running = job.spec.steps[task_ref.step as usize].long_running;
        if job.phase == JobPhase::Queued {
            job.phase = JobPhase::Running;
            self.mark_progressed(&task_ref.job);
        }
        let Some(job) = self.jobs.get_mut(&task_ref.job) else { return };
        let Some(task) = job.task_mut(task_ref) else { return };
        let Some(placed) = task.run_on_mut(id).filter(|placed| placed.run == active_run.run) else { return };
        let (phase, report) = (placed.phase, placed.report);
        // A checkpoint of a copy may be older than those of the run beside it.
        let checkpoint = Some(&active_run.checkpoint).filter(|text| !text.is_empty() && !placed.is_copy);
        report.is_listed = true;
        report.is_confirmed = true;
        report.load = active_run.load;
        if report.percent != active_run.percent {
            report.percent = active_run.percent;
            report.percent_since_us = now_us;
        }
        let mut has_begun = false;
        let mut run_ms = None;
        match phase {
            RunPhase::Ordered | RunPhase::Unanswered { .. } | RunPhase::Restored => {
                *phase = RunPhase::Running { since_us: now_us };
                report.percent_since_us = now_us;
                has_begun = !placed.is_copy;
            }
            RunPhase::Running { .. } if long_running || is_final => {}
            RunPhase::Running { .. } if report.pace_percent.is_some_and(|percent| percent < FULL_PACE_PERCENT) => {
                // The run is slow because it was told to be.
                report.percent_since_us = now_us;
            }
            RunPhase::Running { since_us } => {
                run_ms = projected_run_ms(now_us.saturating_sub(*since_us), active_run);
                if now_us > report.percent_since_us + STALL_TIMEOUT_MS * US_PER_MS {
                    log::warn!(
                        "job={} worker={id} run={} percent={} outcome=stalled",
                        task_ref.job,
                        active_run.run,
                        active_run.percent
                    );
                    report.percent_since_us = now_us;
                    if let Some(checkpoint) = checkpoint {
                        task.checkpoint = checkpoint.clone();
                    }
                    if !task.avoided_workers.contains(id) {
                        task.avoided_workers.push(id.clone());
                    }
                    self.order_stop(now_us, task_ref, id, StopReason::Stalled);
                    if let Some(worker) = self.workers.get_mut(id) {
                        worker.record_failure(now_us, &task_ref.job);
                    }
                    return;
                }
            }
            RunPhase::Committing | RunPhase::Stopping { .. } => {}
        }
        if let Some(checkpoint) = checkpoint {
            task.checkpoint = checkpoint.clone();
        }
        if let Some(run_ms) = run_ms {
            job.record_run_time(task_ref, run_ms);
        }
        if has_begun {
            self.run_begun(now_us, task_ref);
        }
        if is_final {
            self.order_stop(now_us, task_ref, id, StopReason::JobFinal);
        }
    }

    /// Handles a task on a worker that lists neither an active nor an ended run of it.
    fn run_not_listed(&mut self, now_us: u64, sent_us: u64, id: &Arc<str>, task_ref: &TaskRef) {
        let Some(task) = self.jobs.get(&task_ref.job).and_then(|job| job.task(task_ref)) else { return };
        let Some(placed) = task.run_on(id) else { return };
        match placed.phase {
            RunPhase::Committing | RunPhase::Ordered => {}
            // Its end may not be listed yet if the former leader has stopped it.
            RunPhase::Restored => self.stop_unlisted_run(now_us, self.leader_since_us, task_ref, id),
            RunPhase::Unanswered { since_us } => {
                if sent_us > since_us && !self.repeat_start(now_us, task_ref, id) {
                    self.stop_unlisted_run(now_us, since_us, task_ref, id);
                }
            }
            RunPhase::Running { since_us } => {
                if sent_us > since_us {
                    self.stop_unlisted_run(now_us, since_us, task_ref, id);
                }
            }
            RunPhase::Stopping { .. } => {
                self.release_if_over(now_us, task_ref, id, Observation::NotListed { requested_us: sent_us });
            }
        }
    }

    /// Stops a run that its worker does not list. Its start order may still arrive, and stopping the run first makes sure
    /// that it never starts. But it may also have begun by the time when the stop arrives, so the stop has to wait until the
    /// step's budget allows it, or until the order is unlikely to arrive.
    fn stop_unlisted_run(&mut self, now_us: u64, since_us: u64, task_ref: &TaskRef, id: &Arc<str>) {
        let has_waited = now_us >= since_us + UNLISTED_RUN_WAIT_MS * US_PER_MS;
        let placed = self.jobs.get(&task_ref.job).and_then(|job| job.task(task_ref)).and_then(|task| task.run_on(id));
        let has_ended = placed.is_some_and(|placed| placed.report.is_listed);
        if has_ended || has_waited || self.may_disrupt(now_us, task_ref, StopReason::NotListed) {
            self.order_stop(now_us, task_ref, id, StopReason::NotListed);
        }
    }

    /// Handles a hold request that failed.
    pub(crate) fn on_hold_failure(&mut self, now_us: u64, id: &Arc<str>, outcome: &OrderOutcome) {
        self.handle_refusal(now_us, id, outcome);
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.is_silent = true;
        worker.block(now_us, UNREACHABLE_BLOCK_MS);
        let has_acknowledged = std::mem::take(&mut worker.is_acknowledging);
        if *outcome == OrderOutcome::Unanswered {
            // A later incarnation must not carry out a start order before this request, and forget the end of its run.
            if has_acknowledged {
                worker.needs_fence = true;
                worker.fence_raised_us = None;
            }
            self.actions.push(Action::RaiseFence { worker: id.clone() });
        }
        log::debug!("worker={id} end={outcome:?} outcome=hold_failed");
        self.schedule_hold(now_us, id, true);
    }

    pub(super) fn handle_refusal(&mut self, now_us: u64, id: &Arc<str>, outcome: &OrderOutcome) {
        let OrderOutcome::Refused(refusal) = outcome else { return };
        match refusal {
            OrderRefusal::Fenced => self.actions.push(Action::CheckLeadership),
            OrderRefusal::InsufficientCapacity => self.block_worker(now_us, id, INSUFFICIENT_CAPACITY_BLOCK_MS),
            OrderRefusal::Unhealthy => self.block_worker(now_us, id, UNHEALTHY_BLOCK_MS),
            OrderRefusal::WrongWorker => self.block_worker(now_us, id, UNREACHABLE_BLOCK_MS),
            OrderRefusal::StaleRun
            | OrderRefusal::LeaseExpired
            | OrderRefusal::TicketRejected
            | OrderRefusal::Invalid => {}
        }
    }

    /// Records that a worker is reachable, as its answer to an order shows, unless another incarnation answered at the
    /// same address.
    pub(super) fn record_answer(&mut self, now_us: u64, id: &Arc<str>, outcome: &OrderOutcome) {
        match outcome {
            OrderOutcome::Accepted { .. } => {}
            OrderOutcome::Refused(refusal) if *refusal != OrderRefusal::WrongWorker => {}
            OrderOutcome::Refused(_) | OrderOutcome::NotSent | OrderOutcome::Withdrawn | OrderOutcome::Unanswered => {
                return
            }
        }
        self.note_clock(now_us, id, outcome);
        if let Some(worker) = self.workers.get_mut(id).filter(|worker| worker.suspected_restart_us.is_none()) {
            worker.last_answer_us = worker.last_answer_us.max(now_us);
        }
    }

    pub(super) fn block_worker(&mut self, now_us: u64, id: &Arc<str>, wait_ms: u64) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.block(now_us, wait_ms);
            worker.next_hold_us = worker.next_hold_us.min(now_us);
        }
    }
}

/// Run time of a first run, projected from its progress. A later run may resume from a checkpoint, so that its progress
/// does not tell its run time.
fn projected_run_ms(age_us: u64, active_run: &ActiveRun) -> Option<u64> {
    if active_run.run != 1 || !(MIN_PERCENT_TO_MEASURE..100).contains(&active_run.percent) {
        return None;
    }
    Some(age_us * 100 / u64::from(active_run.percent) / US_PER_MS)
}
