//! Compares what workers report with what was ordered, and handles the results of orders to workers.

use std::collections::HashMap;
use std::sync::Arc;

use super::action::{Action, StartRun};
use super::job::{RunPhase, TaskState, WorkerIncarnation};
use super::model::{
    ActiveRun, EndedRun, HoldAnswer, JobId, JobPhase, OrderOutcome, OrderRefusal, Resources, Step, TaskRef,
};
use super::progress::STOP_RETRY_MS;
use super::scheduler::Scheduler;
use crate::clock::US_PER_MS;

/// Most ended runs that a worker lists in one answer.
const MAX_LISTED_ENDS: usize = 500;
/// How long a worker gets no new tasks after it refused one for lack of room.
const NO_ROOM_PAUSE_MS: u64 = 200;
/// How long a worker gets no new tasks after it could not be reached.
const UNREACHABLE_PAUSE_MS: u64 = 500;
/// How long workers without tasks get `hold` requests more often after a worker stopped answering.
const FAST_HOLD_MS: u64 = 3_000;
/// A worker that answered anything within this time counts as reachable.
const RECENT_ANSWER_MS: u64 = 700;
/// How long a worker gets no new tasks after it refused one as unhealthy.
const UNHEALTHY_PAUSE_MS: u64 = 700;
/// Interval between searches for runs on workers that are no longer known.
const ORPHAN_CHECK_INTERVAL_MS: u64 = 1_000;
/// A run without progress for this long is stopped and placed again.
const STALL_TIMEOUT_MS: u64 = 2_500;

impl Scheduler {
    /// Reserves room for a restored job's placed tasks on their workers, so that the tasks are kept until those workers
    /// answer or their leases end.
    pub(super) fn attach_restored(&mut self, now_us: u64, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let mut placed = Vec::new();
        for (at, task) in job.tasks() {
            if let Some(life) = task.placed_on() {
                placed.push((at, life.clone()));
            }
        }
        let is_final = job.phase.is_final();
        for (at, life) in placed {
            self.attach(&at, &life);
        }
        if is_final {
            self.stop_job_runs(now_us, id);
        }
        self.refresh_job(id);
    }

    /// Reserves room for a task on its worker, if that incarnation of the worker is known.
    pub(super) fn attach(&mut self, at: &TaskRef, life: &WorkerIncarnation) {
        let Some(step) = self.jobs.get(&at.job).and_then(|job| job.spec.steps.get(at.step as usize)) else { return };
        let Some(worker) = self.workers.get_mut(&life.id) else { return };
        if worker.incarnation() == *life {
            worker.attach(at.clone(), step);
        }
    }

    /// Handles a worker's answer to a `hold` request: its running and ended tasks. `asked_us` is when the request was
    /// sent.
    pub(crate) fn on_hold_answer(&mut self, now_us: u64, asked_us: u64, id: &Arc<str>, answer: &HoldAnswer) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if let Some(started_unix_ms) = answer.started_unix_ms {
            if worker.entry.started_unix_ms != started_unix_ms {
                if started_unix_ms < worker.entry.started_unix_ms {
                    return;
                }
                let mut entry = worker.entry.clone();
                entry.started_unix_ms = started_unix_ms;
                self.worker_restarted(now_us, entry);
            }
        }
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.record_clock(now_us, answer.clock_ms);
        worker.last_answer_us = now_us;
        worker.is_silent = false;
        if !worker.is_synced {
            worker.is_synced = true;
            self.wants_placement = true;
        }
        let known_end = worker.last_seen_end;
        let new_ends: Vec<&EndedRun> = answer.ended.iter().filter(|row| row.number > known_end).collect();
        for row in &new_ends {
            self.run_ended(now_us, id, row);
            if let Some(worker) = self.workers.get_mut(id) {
                worker.last_seen_end = worker.last_seen_end.max(row.number);
            }
        }
        let all_ends_listed = answer.ended.len() < MAX_LISTED_ENDS;
        self.compare_runs(now_us, asked_us, id, &answer.running, all_ends_listed);
        self.schedule_hold(now_us, id, false);
    }

    /// Compares a worker's list of running tasks with those placed on it, and stops runs that it should not have.
    fn compare_runs(&mut self, now_us: u64, asked_us: u64, id: &Arc<str>, rows: &[ActiveRun], all_ends_listed: bool) {
        let listed: HashMap<&TaskRef, &ActiveRun> = rows.iter().map(|row| (&row.task, row)).collect();
        let Some(worker) = self.workers.get(id) else { return };
        let life = worker.incarnation();
        let expected: Vec<TaskRef> = worker.tasks.iter().cloned().collect();
        for at in &expected {
            match listed.get(at) {
                Some(row) => self.run_listed(now_us, id, at, row),
                None if all_ends_listed => self.run_not_listed(now_us, asked_us, at),
                None => {}
            }
        }
        let mut stray = Resources::default();
        for row in rows {
            let known = self.jobs.get(&row.task.job).and_then(|job| job.task(&row.task));
            let is_ours = known.is_some_and(|task| task.placed_on() == Some(&life) && task.run == row.run);
            if !is_ours {
                log::warn!("job={} worker={id} run={} outcome=stop_unexpected_run", row.task.job, row.run);
                self.actions.push(Action::Stop { worker: id.clone(), task: row.task.clone(), run: row.run });
                // What a run of an unknown job uses is unknown, so its worker gets no new tasks until it has ended.
                stray.add(&self.step_of(&row.task).map_or(Resources::MAX, Step::reserved));
            }
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.untracked = stray;
        }
    }

    fn run_listed(&mut self, now_us: u64, id: &Arc<str>, at: &TaskRef, row: &ActiveRun) {
        let Some(job) = self.jobs.get_mut(&at.job) else { return };
        let is_final = job.phase.is_final();
        let long_running = job.spec.steps[at.step as usize].long_running;
        if job.phase == JobPhase::Queued {
            job.phase = JobPhase::Running;
            self.mark_dirty(&at.job);
        }
        let Some(job) = self.jobs.get_mut(&at.job) else { return };
        let Some(task) = job.task_mut(at) else { return };
        if task.run != row.run {
            return;
        }
        if !row.checkpoint.is_empty() {
            task.checkpoint = row.checkpoint.clone();
        }
        task.load = row.load;
        if task.percent != row.percent {
            task.percent = row.percent;
            task.percent_since_us = now_us;
        }
        let TaskState::Placed { phase, .. } = &mut task.state else { return };
        match phase {
            RunPhase::Ordered | RunPhase::Unanswered { .. } | RunPhase::Inherited => {
                *phase = RunPhase::Running { since_us: now_us };
                task.percent_since_us = now_us;
            }
            RunPhase::Running { .. } if long_running || is_final => {}
            RunPhase::Running { .. } => {
                if now_us > task.percent_since_us + STALL_TIMEOUT_MS * US_PER_MS {
                    log::warn!("job={} worker={id} run={} percent={} outcome=stalled", at.job, row.run, row.percent);
                    if !task.avoided_workers.contains(id) {
                        task.avoided_workers.push(id.clone());
                    }
                    task.percent_since_us = now_us;
                    self.order_stop(now_us, at);
                    if let Some(worker) = self.workers.get_mut(id) {
                        worker.record_failure(now_us, &at.job);
                    }
                    return;
                }
            }
            RunPhase::Persisting | RunPhase::Stopping { .. } => {}
        }
        if is_final {
            self.order_stop(now_us, at);
        }
    }

    /// Handles a task that its worker neither runs nor lists as ended.
    fn run_not_listed(&mut self, now_us: u64, asked_us: u64, at: &TaskRef) {
        let Some(task) = self.jobs.get(&at.job).and_then(|job| job.task(at)) else { return };
        let TaskState::Placed { phase, .. } = &task.state else { return };
        match *phase {
            RunPhase::Persisting | RunPhase::Ordered => {}
            // An order of the former leader can no longer take effect: the worker has seen a higher fencing token.
            RunPhase::Inherited => self.release_task(now_us, at),
            RunPhase::Unanswered { since_us } | RunPhase::Running { since_us } => {
                if asked_us > since_us {
                    // The start order may still arrive. Stopping the run first makes sure that it never starts.
                    self.order_stop(now_us, at);
                }
            }
            RunPhase::Stopping { acknowledged_us: Some(acknowledged_us), .. } => {
                if asked_us > acknowledged_us {
                    self.release_task(now_us, at);
                }
            }
            RunPhase::Stopping { acknowledged_us: None, .. } => {}
        }
    }

    /// Handles a `hold` request that failed.
    pub(crate) fn on_hold_failure(&mut self, now_us: u64, id: &Arc<str>, end: &OrderOutcome) {
        self.handle_refusal(now_us, id, end);
        let Some(worker) = self.workers.get_mut(id) else { return };
        if !worker.is_silent {
            // Other workers may be behind the same network partition, so they are checked soon as well.
            self.fast_hold_until_us = now_us + FAST_HOLD_MS * US_PER_MS;
        }
        worker.is_silent = true;
        worker.block(now_us, UNREACHABLE_PAUSE_MS);
        log::debug!("worker={id} end={end:?} outcome=hold_failed");
        self.schedule_hold(now_us, id, true);
    }

    fn handle_refusal(&mut self, now_us: u64, id: &Arc<str>, end: &OrderOutcome) {
        let OrderOutcome::Refused(refusal) = end else { return };
        match refusal {
            OrderRefusal::Fenced => self.actions.push(Action::CheckLeadership),
            OrderRefusal::InsufficientCapacity => self.block_worker(now_us, id, NO_ROOM_PAUSE_MS),
            OrderRefusal::Unhealthy => self.block_worker(now_us, id, UNHEALTHY_PAUSE_MS),
            OrderRefusal::WrongWorker => self.block_worker(now_us, id, UNREACHABLE_PAUSE_MS),
            OrderRefusal::StaleRun
            | OrderRefusal::LeaseExpired
            | OrderRefusal::TicketRejected
            | OrderRefusal::Invalid => {}
        }
    }

    fn answered_recently(&self, now_us: u64, id: &Arc<str>) -> bool {
        self.workers.get(id).is_some_and(|worker| now_us < worker.last_answer_us + RECENT_ANSWER_MS * US_PER_MS)
    }

    /// Records that a worker is reachable, as its answer to an order shows, unless another incarnation answered at the
    /// same address.
    fn note_answer(&mut self, now_us: u64, id: &Arc<str>, end: &OrderOutcome) {
        match end {
            OrderOutcome::Accepted { .. } => {}
            OrderOutcome::Refused(refusal) if *refusal != OrderRefusal::WrongWorker => {}
            OrderOutcome::Refused(_) | OrderOutcome::NotSent | OrderOutcome::Unanswered => return,
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.last_answer_us = worker.last_answer_us.max(now_us);
        }
    }

    fn block_worker(&mut self, now_us: u64, id: &Arc<str>, wait_ms: u64) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.block(now_us, wait_ms);
            worker.next_hold_us = worker.next_hold_us.min(now_us);
        }
    }

    /// Handles the result of a start order.
    pub(crate) fn on_start_result(&mut self, now_us: u64, start: &StartRun, end: &OrderOutcome) {
        let at = &start.task;
        if !matches!(end, OrderOutcome::Accepted { .. }) {
            log::info!("job={} worker={} run={} end={end:?} outcome=start_refused", at.job, start.worker, start.run);
        }
        self.note_answer(now_us, &start.worker, end);
        self.handle_refusal(now_us, &start.worker, end);
        let Some(job) = self.jobs.get_mut(&at.job) else { return };
        let was_queued = job.phase == JobPhase::Queued;
        let Some(task) = job.task_mut(at) else { return };
        if task.run != start.run {
            return;
        }
        let TaskState::Placed { worker: life, phase } = &mut task.state else { return };
        if life.id != start.worker {
            return;
        }
        match (end, *phase) {
            (OrderOutcome::Accepted { .. }, RunPhase::Ordered) => {
                *phase = RunPhase::Running { since_us: now_us };
                task.percent_since_us = now_us;
                if was_queued {
                    job.phase = JobPhase::Running;
                    self.mark_dirty(&at.job);
                }
            }
            (OrderOutcome::Unanswered, RunPhase::Ordered) => {
                *phase = RunPhase::Unanswered { since_us: now_us };
                // One lost answer says little about a worker that answers other requests.
                if !self.answered_recently(now_us, &start.worker) {
                    self.block_worker(now_us, &start.worker, UNREACHABLE_PAUSE_MS);
                }
            }
            (OrderOutcome::Refused(_) | OrderOutcome::NotSent, RunPhase::Ordered | RunPhase::Stopping { .. }) => {
                if *end == OrderOutcome::NotSent {
                    self.block_worker(now_us, &start.worker, UNREACHABLE_PAUSE_MS);
                }
                if *end == OrderOutcome::Refused(OrderRefusal::TicketRejected) {
                    self.drop_ticket(at, &start.worker);
                }
                self.release_task(now_us, at);
            }
            _ => {}
        }
    }

    /// Handles the result of a stop order.
    pub(crate) fn on_stop_result(
        &mut self,
        now_us: u64,
        worker: &Arc<str>,
        at: &TaskRef,
        run: u32,
        end: &OrderOutcome,
    ) {
        self.note_answer(now_us, worker, end);
        self.handle_refusal(now_us, worker, end);
        let Some(task) = self.jobs.get_mut(&at.job).and_then(|job| job.task_mut(at)) else { return };
        if task.run != run {
            return;
        }
        let TaskState::Placed { worker: life, phase } = &mut task.state else { return };
        let RunPhase::Stopping { next_retry_us, acknowledged_us } = phase else { return };
        if life.id != *worker {
            return;
        }
        match end {
            OrderOutcome::Accepted { .. } => {
                *acknowledged_us = Some(now_us);
                let grace_us = self.settings.stop_grace_ms * US_PER_MS;
                if let Some(worker) = self.workers.get_mut(worker) {
                    worker.next_hold_us = worker.next_hold_us.min(now_us + grace_us);
                }
            }
            OrderOutcome::Refused(_) | OrderOutcome::NotSent | OrderOutcome::Unanswered => {
                *next_retry_us = now_us + STOP_RETRY_MS * US_PER_MS;
            }
        }
    }

    /// Releases tasks whose leases have certainly ended.
    pub(super) fn expire_leases(&mut self, now_us: u64) {
        let inherited_leases_ended = now_us >= self.inherited_leases_end_us();
        let mut lost = Vec::new();
        for worker in self.workers.values() {
            if worker.tasks.is_empty() {
                continue;
            }
            let never_answered = !worker.is_synced && inherited_leases_ended;
            let long_silent = !worker.is_listed && now_us > worker.last_answer_us + self.lease_expiry_wait_us();
            if worker.lease_certainly_expired(now_us) || never_answered || (long_silent && inherited_leases_ended) {
                lost.push(worker.entry.id.clone());
            }
        }
        for id in lost {
            self.release_lost_tasks(now_us, &id);
        }
        if inherited_leases_ended && now_us >= self.next_orphan_check_us {
            self.next_orphan_check_us = now_us + ORPHAN_CHECK_INTERVAL_MS * US_PER_MS;
            self.release_orphans(now_us);
        }
    }

    /// Releases tasks on workers, or incarnations of workers, that are no longer known.
    fn release_orphans(&mut self, now_us: u64) {
        let mut orphans = Vec::new();
        for job in self.jobs.values() {
            if job.occurrences.is_empty() {
                continue;
            }
            for (at, task) in job.tasks() {
                if task.placed_on().is_some_and(|life| !self.has_incarnation(life)) {
                    orphans.push(at);
                }
            }
        }
        for at in orphans {
            log::warn!("job={} task={}.{} outcome=worker_gone", at.job, at.step, at.index);
            self.release_task(now_us, &at);
            self.mark_dirty(&at.job);
        }
    }

    /// Releases every task on a worker that can no longer be running any, without knowing how they ended.
    pub(super) fn release_lost_tasks(&mut self, now_us: u64, id: &Arc<str>) {
        let Some(worker) = self.workers.get(id) else { return };
        let lost: Vec<TaskRef> = worker.tasks.iter().cloned().collect();
        let silent_ms = now_us.saturating_sub(worker.last_answer_us) / US_PER_MS;
        if !lost.is_empty() {
            log::warn!("worker={id} tasks={} outcome=leases_over", lost.len());
        }
        for at in lost {
            log::info!(
                "job={} task={}.{}.{} worker={id} silent_ms={silent_ms} outcome=lease_over",
                at.job,
                at.occurrence,
                at.step,
                at.index
            );
            self.release_task(now_us, &at);
            self.mark_dirty(&at.job);
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.lease_end_ms = 0;
        }
    }
}
