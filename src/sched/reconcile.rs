//! Compares what workers report with what was ordered, and handles the outcomes of orders to workers.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use super::action::{Action, StartRun};
use super::job::{RunPhase, TaskState, WorkerIncarnation};
use super::model::{
    ActiveRun, EndedRun, HoldAnswer, JobId, JobPhase, OrderOutcome, OrderRefusal, Resources, Step, TaskRef,
};
use super::progress::STOP_RETRY_DELAY_MS;
use super::scheduler::Scheduler;
use super::worker::Worker;
use crate::clock::US_PER_MS;

/// Maximum number of ended runs that a worker lists in one answer.
const MAX_LISTED_ENDED_RUNS: usize = 500;
/// How long a worker gets no new tasks after it refused one for lack of capacity.
const INSUFFICIENT_CAPACITY_BLOCK_MS: u64 = 200;
/// How long a worker gets no new tasks after it could not be reached.
const UNREACHABLE_BLOCK_MS: u64 = 500;
/// A worker that does not answer a start order still counts as reachable for this long after its latest answer.
const REACHABLE_AFTER_ANSWER_MS: u64 = 700;
/// How long a worker gets no new tasks after it refused one as unhealthy.
const UNHEALTHY_BLOCK_MS: u64 = 700;
/// Interval between searches for tasks on workers that are no longer known.
const ORPHAN_CHECK_INTERVAL_MS: u64 = 1_000;
/// A run without progress for this long is stopped and placed again.
const STALL_TIMEOUT_MS: u64 = 2_500;

impl Scheduler {
    /// Reserves capacity for a restored job's placed tasks on their workers, so that the tasks stay there until the
    /// workers answer or their leases expire.
    pub(super) fn attach_restored(&mut self, now_us: u64, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let mut placed = Vec::new();
        for (task_ref, task) in job.tasks() {
            if let Some(incarnation) = task.placed_on() {
                placed.push((task_ref, incarnation.clone()));
            }
        }
        let is_final = job.phase.is_final();
        for (task_ref, incarnation) in placed {
            self.attach_restored_task(&task_ref, &incarnation.id);
        }
        if is_final {
            self.stop_job_runs(now_us, id);
        }
        self.refresh_job(id);
    }

    /// Attaches a restored task to its worker, or keeps it until the worker is registered. If the worker has restarted,
    /// the run has ended, but a delayed start order may have reached the new incarnation. The task is taken to be there
    /// until that incarnation answers.
    pub(super) fn attach_restored_task(&mut self, task_ref: &TaskRef, id: &Arc<str>) {
        let known = self.workers.get(id).map(Worker::incarnation);
        let Some(task) = self.jobs.get_mut(&task_ref.job).and_then(|job| job.task_mut(task_ref)) else { return };
        let TaskState::Placed { worker: recorded, .. } = &mut task.state else { return };
        if recorded.id != *id {
            return;
        }
        // The registry may be behind: a worker's answer tells of its restart first.
        let Some(known) = known.filter(|known| known.started_unix_ms >= recorded.started_unix_ms) else {
            self.unattached_tasks.entry(id.clone()).or_default().push(task_ref.clone());
            return;
        };
        *recorded = known.clone();
        self.attach(task_ref, &known);
    }

    /// Reserves capacity for a task on its worker, if that incarnation of the worker is known.
    pub(super) fn attach(&mut self, task_ref: &TaskRef, incarnation: &WorkerIncarnation) {
        let Some(step) = self.jobs.get(&task_ref.job).and_then(|job| job.spec.steps.get(task_ref.step as usize)) else {
            return;
        };
        let Some(worker) = self.workers.get_mut(&incarnation.id) else { return };
        if worker.incarnation() == *incarnation {
            worker.attach(task_ref.clone(), step);
        }
    }

    /// Handles a worker's answer to a hold request that was sent at `sent_us`: its active and ended runs.
    pub(crate) fn on_hold_answer(&mut self, now_us: u64, sent_us: u64, id: &Arc<str>, answer: &HoldAnswer) {
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
        worker.report_requested_us = worker.report_requested_us.max(sent_us);
        worker.is_silent = false;
        if !worker.is_synced {
            worker.is_synced = true;
            self.wants_placement = true;
        }
        let processed_cursor = worker.processed_cursor;
        let new_ended_runs: Vec<&EndedRun> = answer.ended.iter().filter(|run| run.number > processed_cursor).collect();
        for ended_run in &new_ended_runs {
            self.run_ended(now_us, id, ended_run);
            if let Some(worker) = self.workers.get_mut(id) {
                worker.processed_cursor = worker.processed_cursor.max(ended_run.number);
            }
        }
        let all_ended_runs_listed = answer.ended.len() < MAX_LISTED_ENDED_RUNS;
        self.reconcile_runs(now_us, sent_us, id, &answer.running, all_ended_runs_listed);
        self.schedule_hold(now_us, id, false);
    }

    /// Compares a worker's active runs with the tasks placed on it, and stops runs that it should not have.
    fn reconcile_runs(
        &mut self,
        now_us: u64,
        sent_us: u64,
        id: &Arc<str>,
        active_runs: &[ActiveRun],
        all_ended_runs_listed: bool,
    ) {
        let listed: HashMap<&TaskRef, &ActiveRun> =
            active_runs.iter().map(|active_run| (&active_run.task, active_run)).collect();
        let Some(worker) = self.workers.get(id) else { return };
        let incarnation = worker.incarnation();
        let expected: Vec<TaskRef> = worker.tasks.iter().cloned().collect();
        for task_ref in &expected {
            match listed.get(task_ref) {
                Some(active_run) => self.run_listed(now_us, id, task_ref, active_run),
                None if all_ended_runs_listed => self.run_not_listed(now_us, sent_us, task_ref),
                None => {}
            }
        }
        let mut untracked = Resources::default();
        for active_run in active_runs {
            let known = self.jobs.get(&active_run.task.job).and_then(|job| job.task(&active_run.task));
            let is_expected =
                known.is_some_and(|task| task.placed_on() == Some(&incarnation) && task.run == active_run.run);
            if !is_expected {
                log::warn!(
                    "job={} worker={id} run={} outcome=stop_unexpected_run",
                    active_run.task.job,
                    active_run.run
                );
                self.actions.push(Action::Stop {
                    worker: id.clone(),
                    task: active_run.task.clone(),
                    run: active_run.run,
                });
                // The needs of a run of an unknown job are not known, so its worker gets no new tasks until it has
                // ended.
                untracked.add(&self.step_of(&active_run.task).map_or(Resources::MAX, Step::reserved));
            }
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.untracked = untracked;
        }
    }

    fn run_listed(&mut self, now_us: u64, id: &Arc<str>, task_ref: &TaskRef, active_run: &ActiveRun) {
        let Some(job) = self.jobs.get_mut(&task_ref.job) else { return };
        let is_final = job.phase.is_final();
        let long_running = job.spec.steps[task_ref.step as usize].long_running;
        if job.phase == JobPhase::Queued {
            job.phase = JobPhase::Running;
            self.mark_dirty(&task_ref.job);
        }
        let Some(job) = self.jobs.get_mut(&task_ref.job) else { return };
        let Some(task) = job.task_mut(task_ref) else { return };
        if task.run != active_run.run {
            return;
        }
        if !active_run.checkpoint.is_empty() {
            task.checkpoint = active_run.checkpoint.clone();
        }
        task.load = active_run.load;
        if task.percent != active_run.percent {
            task.percent = active_run.percent;
            task.percent_since_us = now_us;
        }
        let TaskState::Placed { phase, .. } = &mut task.state else { return };
        match phase {
            RunPhase::Ordered | RunPhase::Unanswered { .. } | RunPhase::Restored => {
                *phase = RunPhase::Running { since_us: now_us };
                task.percent_since_us = now_us;
            }
            RunPhase::Running { .. } if long_running || is_final => {}
            RunPhase::Running { .. } => {
                if now_us > task.percent_since_us + STALL_TIMEOUT_MS * US_PER_MS {
                    log::warn!(
                        "job={} worker={id} run={} percent={} outcome=stalled",
                        task_ref.job,
                        active_run.run,
                        active_run.percent
                    );
                    if !task.avoided_workers.contains(id) {
                        task.avoided_workers.push(id.clone());
                    }
                    task.percent_since_us = now_us;
                    self.order_stop(now_us, task_ref);
                    if let Some(worker) = self.workers.get_mut(id) {
                        worker.record_failure(now_us, &task_ref.job);
                    }
                    return;
                }
            }
            RunPhase::Committing | RunPhase::Stopping { .. } => {}
        }
        if is_final {
            self.order_stop(now_us, task_ref);
        }
    }

    /// Handles a task on a worker that lists neither an active nor an ended run of it.
    fn run_not_listed(&mut self, now_us: u64, sent_us: u64, task_ref: &TaskRef) {
        let Some(task) = self.jobs.get(&task_ref.job).and_then(|job| job.task(task_ref)) else { return };
        let TaskState::Placed { phase, .. } = &task.state else { return };
        match *phase {
            RunPhase::Committing | RunPhase::Ordered => {}
            // A start order of the former leader can no longer take effect: the worker has seen a higher fencing token.
            RunPhase::Restored => self.release_task(now_us, task_ref),
            RunPhase::Unanswered { since_us } | RunPhase::Running { since_us } => {
                if sent_us > since_us {
                    // The start order may still arrive. Stopping the run first makes sure that it never starts.
                    self.order_stop(now_us, task_ref);
                }
            }
            RunPhase::Stopping { acknowledged_us: Some(acknowledged_us), .. } => {
                if sent_us > acknowledged_us {
                    self.release_task(now_us, task_ref);
                }
            }
            RunPhase::Stopping { acknowledged_us: None, .. } => {}
        }
    }

    /// Handles a hold request that failed.
    pub(crate) fn on_hold_failure(&mut self, now_us: u64, id: &Arc<str>, outcome: &OrderOutcome) {
        self.handle_refusal(now_us, id, outcome);
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.is_silent = true;
        worker.block(now_us, UNREACHABLE_BLOCK_MS);
        log::debug!("worker={id} end={outcome:?} outcome=hold_failed");
        self.schedule_hold(now_us, id, true);
    }

    fn handle_refusal(&mut self, now_us: u64, id: &Arc<str>, outcome: &OrderOutcome) {
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

    fn is_probably_reachable(&self, now_us: u64, id: &Arc<str>) -> bool {
        self.workers
            .get(id)
            .is_some_and(|worker| now_us < worker.last_answer_us + REACHABLE_AFTER_ANSWER_MS * US_PER_MS)
    }

    /// Records that a worker is reachable, as its answer to an order shows, unless another incarnation answered at the
    /// same address.
    fn record_answer(&mut self, now_us: u64, id: &Arc<str>, outcome: &OrderOutcome) {
        match outcome {
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

    /// Handles the outcome of a start order.
    pub(crate) fn on_start_outcome(&mut self, now_us: u64, start: &StartRun, outcome: &OrderOutcome) {
        let task_ref = &start.task;
        if !matches!(outcome, OrderOutcome::Accepted { .. }) {
            log::info!(
                "job={} worker={} run={} end={outcome:?} outcome=start_refused",
                task_ref.job,
                start.worker,
                start.run
            );
        }
        self.record_answer(now_us, &start.worker, outcome);
        self.handle_refusal(now_us, &start.worker, outcome);
        let Some(job) = self.jobs.get_mut(&task_ref.job) else { return };
        let was_queued = job.phase == JobPhase::Queued;
        let Some(task) = job.task_mut(task_ref) else { return };
        if task.run != start.run {
            return;
        }
        let TaskState::Placed { worker: incarnation, phase } = &mut task.state else { return };
        if incarnation.id != start.worker {
            return;
        }
        match (outcome, *phase) {
            (OrderOutcome::Accepted { .. }, RunPhase::Ordered) => {
                *phase = RunPhase::Running { since_us: now_us };
                task.percent_since_us = now_us;
                if was_queued {
                    job.phase = JobPhase::Running;
                    self.mark_dirty(&task_ref.job);
                }
            }
            (OrderOutcome::Unanswered, RunPhase::Ordered) => {
                *phase = RunPhase::Unanswered { since_us: now_us };
                // One lost answer says little about a worker that answers other requests.
                if !self.is_probably_reachable(now_us, &start.worker) {
                    self.block_worker(now_us, &start.worker, UNREACHABLE_BLOCK_MS);
                }
            }
            (OrderOutcome::Refused(_) | OrderOutcome::NotSent, RunPhase::Ordered | RunPhase::Stopping { .. }) => {
                if *outcome == OrderOutcome::NotSent {
                    self.block_worker(now_us, &start.worker, UNREACHABLE_BLOCK_MS);
                }
                if *outcome == OrderOutcome::Refused(OrderRefusal::TicketRejected) {
                    self.drop_ticket(task_ref, &start.worker);
                }
                self.release_task(now_us, task_ref);
            }
            _ => {}
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
        let Some(task) = self.jobs.get_mut(&task_ref.job).and_then(|job| job.task_mut(task_ref)) else { return };
        if task.run != run {
            return;
        }
        let TaskState::Placed { worker: incarnation, phase } = &mut task.state else { return };
        let RunPhase::Stopping { next_retry_us, acknowledged_us } = phase else { return };
        if incarnation.id != *worker {
            return;
        }
        match outcome {
            OrderOutcome::Accepted { .. } => {
                *acknowledged_us = Some(now_us);
                let grace_us = self.settings.stop_grace_ms * US_PER_MS;
                if let Some(worker) = self.workers.get_mut(worker) {
                    worker.next_hold_us = worker.next_hold_us.min(now_us + grace_us);
                }
            }
            OrderOutcome::Refused(_) | OrderOutcome::NotSent | OrderOutcome::Unanswered => {
                *next_retry_us = now_us + STOP_RETRY_DELAY_MS * US_PER_MS;
            }
        }
    }

    /// Releases tasks on workers whose leases have certainly expired.
    pub(super) fn expire_leases(&mut self, now_us: u64) {
        let former_leader_leases_ended = now_us >= self.former_leader_leases_end_us();
        let mut lost = Vec::new();
        for worker in self.workers.values() {
            if worker.tasks.is_empty() {
                continue;
            }
            let never_answered = !worker.is_synced && former_leader_leases_ended;
            let long_silent = !worker.is_listed && now_us > worker.last_answer_us + self.lease_expiry_wait_us();
            if worker.lease_certainly_expired(now_us) || never_answered || (long_silent && former_leader_leases_ended) {
                lost.push(worker.entry.id.clone());
            }
        }
        for id in lost {
            self.release_lost_tasks(now_us, &id);
        }
        if former_leader_leases_ended && now_us >= self.next_orphan_check_us {
            self.next_orphan_check_us = now_us + ORPHAN_CHECK_INTERVAL_MS * US_PER_MS;
            let orphans = self.orphans();
            self.release_orphans(now_us, &orphans);
        }
    }

    /// Tasks placed on workers, or incarnations of workers, that are not known.
    pub(crate) fn orphans(&self) -> Vec<TaskRef> {
        let mut orphans = Vec::new();
        for job in self.jobs.values() {
            if job.occurrences.is_empty() {
                continue;
            }
            for (task_ref, task) in job.tasks() {
                if task.placed_on().is_some_and(|incarnation| !self.has_incarnation(incarnation)) {
                    orphans.push(task_ref);
                }
            }
        }
        orphans
    }

    /// Releases those tasks that are still orphans.
    fn release_orphans(&mut self, now_us: u64, orphans: &[TaskRef]) {
        for task_ref in orphans {
            let task = self.jobs.get(&task_ref.job).and_then(|job| job.task(task_ref));
            let Some(worker) = task.and_then(|task| task.placed_on()) else { continue };
            if self.has_incarnation(worker) {
                continue;
            }
            log::warn!(
                "job={} task={}.{} worker={} outcome=worker_gone",
                task_ref.job,
                task_ref.step,
                task_ref.index,
                worker.id
            );
            self.release_task(now_us, task_ref);
            self.mark_dirty(&task_ref.job);
        }
    }

    /// Releases the tasks of workers that have gone, without waiting for their leases: no host runs them according to a
    /// list that was requested at `requested_us`, and they had left the registry by then.
    pub(super) fn release_tasks_of_gone_workers(&mut self, now_us: u64, requested_us: u64) {
        if !self.provider_lists_all_workers() {
            return;
        }
        let on_hosts: HashSet<Arc<str>> = self.hosts.values().filter_map(|host| host.worker.clone()).collect();
        let mut gone = Vec::new();
        for (id, worker) in &self.workers {
            let has_left = !worker.is_listed && worker.unlisted_us < requested_us;
            if has_left && !worker.tasks.is_empty() && !on_hosts.contains(id) {
                gone.push(id.clone());
            }
        }
        for id in gone {
            self.release_lost_tasks(now_us, &id);
        }
        let unattached: Vec<Arc<str>> = self.unattached_tasks.keys().cloned().collect();
        for id in unattached {
            if on_hosts.contains(&id) || self.workers.contains_key(&id) {
                continue;
            }
            let orphans = self.unattached_tasks.remove(&id).unwrap_or_default();
            self.release_orphans(now_us, &orphans);
        }
    }

    /// Whether the provider lists the host of every registered worker. Otherwise, workers may run on hosts that it does
    /// not list.
    fn provider_lists_all_workers(&self) -> bool {
        let mut hosts = self.workers.values().filter(|worker| worker.is_listed).map(|worker| &worker.entry.host);
        let is_on_listed_host =
            |host: &Option<Arc<str>>| host.as_ref().is_some_and(|name| self.hosts.contains_key(name));
        hosts.clone().next().is_some() && hosts.all(is_on_listed_host)
    }

    /// Releases all tasks of a worker on which no run can be active any more. How their runs ended is not known.
    pub(super) fn release_lost_tasks(&mut self, now_us: u64, id: &Arc<str>) {
        let Some(worker) = self.workers.get(id) else { return };
        let lost: Vec<TaskRef> = worker.tasks.iter().cloned().collect();
        let silent_ms = now_us.saturating_sub(worker.last_answer_us) / US_PER_MS;
        if !lost.is_empty() {
            log::warn!("worker={id} tasks={} outcome=leases_over", lost.len());
        }
        for task_ref in lost {
            log::info!(
                "job={} task={}.{}.{} worker={id} silent_ms={silent_ms} outcome=lease_over",
                task_ref.job,
                task_ref.occurrence,
                task_ref.step,
                task_ref.index
            );
            self.release_task(now_us, &task_ref);
            self.mark_dirty(&task_ref.job);
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.lease_end_ms = 0;
        }
    }
}
