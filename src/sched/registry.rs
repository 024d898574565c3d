//! The registry of workers, and when the leader sends hold requests to each worker.
//!
//! A hold request renews the worker's lease, acknowledges ended runs, and asks which runs are active and which have
//! ended. It is named after its path on the wire.

use std::sync::Arc;

use foldhash::HashSet;

use super::action::{Action, HoldPlan};
use super::job::{RunPhase, TaskState, WorkerIncarnation};
use super::model::WorkerEntry;
use super::scheduler::Scheduler;
use super::worker::Worker;
use crate::clock::US_PER_MS;

/// How long a worker with tasks may wait for a run to end before it answers a hold request.
const HOLD_WAIT_MS: u64 = 1_000;
/// The same for a worker that runs best-effort tasks beside tasks with a latency target: a high latency must be noticed
/// sooner, so that the best-effort tasks can be slowed down in time.
const HOLD_WAIT_SHARED_MS: u64 = 400;
/// The same for a worker on which a task with a disruption budget is starting: while it is not fully at work, no other task
/// of its step may leave a host that a wave drains.
const HOLD_WAIT_STARTING_MS: u64 = 200;
/// A task that is not fully at work after this time is no longer waited for in this way.
const MAX_STARTING_MS: u64 = 4_000;
/// Delay between the answer of a worker with tasks and the next hold request, so that one answer can report several
/// ended runs.
const HOLD_INTERVAL_MS: u64 = 60;
/// Hold requests to workers with tasks wait longer by this multiple of the time by which the leader is behind, up to
/// [`MAX_HOLD_BACKOFF_MS`]: fewer answers, each with more ended runs, leave it time for starts.
const HOLD_BACKOFF_PER_LAG: u64 = 2;
const MAX_HOLD_BACKOFF_MS: u64 = 340;
/// How long an acknowledgement of ends waits for the answers to start orders in flight. Then the hold request is sent without.
const MAX_START_WAIT_MS: u64 = 100;
/// Interval at which a hold request that acknowledges ends checks whether start orders are still in flight.
const START_CHECK_INTERVAL_MS: u64 = 5;
/// Delay between hold requests to a worker without tasks, which only keep the estimate of its clock current.
const IDLE_HOLD_INTERVAL_MS: u64 = 6_000;
/// Delay from the commit of the ends of an idle worker to their acknowledgement, so that one request can acknowledge
/// several.
const ACKNOWLEDGE_DELAY_MS: u64 = 300;
/// Delay before a failed hold request is repeated.
const HOLD_RETRY_DELAY_MS: u64 = 250;

impl Scheduler {
    /// Adds or updates a worker whose entry in the registry has changed.
    pub(crate) fn worker_listed(&mut self, now_us: u64, entry: WorkerEntry) {
        let id = entry.id.clone();
        let is_renewal = self
            .workers
            .get(&id)
            .is_some_and(|worker| worker.is_listed && worker.entry.started_unix_ms == entry.started_unix_ms);
        self.apply_entry(now_us, entry);
        if let Some(worker) = self.workers.get_mut(&id).filter(|_| is_renewal) {
            worker.has_renewed_entry = true;
        }
    }

    /// Adds or updates a worker from its entry in the registry.
    fn apply_entry(&mut self, now_us: u64, entry: WorkerEntry) {
        self.wants_placement = true;
        let id = entry.id.clone();
        let is_cordoned = self.is_on_leaving_host(&entry);
        let Some(worker) = self.workers.get_mut(&id) else {
            log::info!(
                "worker={id} pool={} zone={} draining={} outcome=listed",
                entry.pool,
                entry.zone,
                entry.draining
            );
            if let Some(host) = &entry.host {
                self.worker_by_host.insert(host.clone(), id.clone());
            }
            let mut worker = Worker::new(now_us, entry);
            worker.note_departure(now_us);
            worker.is_cordoned = is_cordoned;
            self.worker_on_host_registered(now_us, &worker.entry);
            let started_unix_ms = worker.entry.started_unix_ms;
            self.insert_worker(worker);
            self.worker_lives(now_us, &id, started_unix_ms, false);
            self.attach_unattached(now_us, &id);
            self.open_session(&id);
            return;
        };
        if worker.entry.started_unix_ms != entry.started_unix_ms {
            self.other_incarnation_listed(now_us, entry);
            return;
        }
        if !worker.is_listed {
            // The drain of its host may have ended in the meantime.
            worker.is_cordoned = is_cordoned;
        }
        worker.is_listed = true;
        let starts_draining = entry.draining && !worker.entry.draining;
        let started_unix_ms = entry.started_unix_ms;
        if worker.entry.capacity != entry.capacity {
            log::info!(
                "worker={id} capacity={} former={} reserved={} outcome=capacity_changed",
                entry.capacity,
                worker.entry.capacity,
                worker.reserved
            );
        }
        let former = std::mem::replace(&mut worker.entry, entry);
        worker.note_departure(now_us);
        self.note_host_of(&id, former.host.as_ref());
        self.open_session(&id);
        if starts_draining {
            self.log_drain(&id);
            self.worker_drains(now_us, &id, started_unix_ms);
            self.evict_long_running(now_us);
        }
    }

    fn log_drain(&self, id: &Arc<str>) {
        let Some(worker) = self.workers.get(id) else { return };
        log::info!(
            "worker={id} remaining_ms={} tasks={} long_running={} outcome=draining",
            worker.entry.remaining_ms,
            worker.tasks.len(),
            worker.long_running_count
        );
    }

    /// Whether new tasks must be kept off a worker because its host is about to be taken away.
    pub(super) fn is_on_leaving_host(&self, entry: &WorkerEntry) -> bool {
        entry.host.as_ref().is_some_and(|host| self.is_host_leaving(host))
    }

    /// Reserves capacity for restored tasks on a worker that has been registered only now.
    pub(super) fn attach_unattached(&mut self, now_us: u64, id: &Arc<str>) {
        for task_ref in self.unattached_tasks.remove(id).into_iter().flatten() {
            self.attach_restored_task(now_us, &task_ref, id);
            self.give_up_if_exhausted(now_us, &task_ref);
        }
    }

    /// Has the session plan its next hold request anew, which is due earlier than it knows.
    pub(super) fn wake_session(&mut self, worker: Arc<str>) {
        self.actions.push(Action::WakeSession { worker });
    }

    pub(super) fn open_session(&mut self, id: &Arc<str>) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.has_session {
            return;
        }
        worker.has_session = true;
        self.actions.push(Action::OpenSession { worker: id.clone() });
    }

    /// Handles the removal of a worker's entry from the registry. Its runs may continue until its lease expires.
    pub(crate) fn worker_unlisted(&mut self, now_us: u64, id: &Arc<str>) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.is_listed {
            log::info!("worker={id} tasks={} outcome=unlisted", worker.tasks.len());
            worker.unlisted_us = now_us;
        }
        worker.is_listed = false;
    }

    /// Applies a complete copy of the registry: workers that it does not contain count as removed.
    pub(crate) fn replace_registry(&mut self, now_us: u64, entries: Vec<WorkerEntry>) {
        let present: HashSet<Arc<str>> = entries.iter().map(|entry| entry.id.clone()).collect();
        let removed: Vec<Arc<str>> = self.workers.keys().filter(|id| !present.contains(*id)).cloned().collect();
        for id in removed {
            self.worker_unlisted(now_us, &id);
        }
        for entry in entries {
            self.apply_entry(now_us, entry);
        }
    }

    /// Decides what the worker's session does next.
    pub(crate) fn plan_hold(&mut self, now_us: u64, id: &Arc<str>) -> HoldPlan {
        let lease_until_us = self.lease_until_us(now_us);
        let has_untracked = self.usage.has_untracked(id);
        let is_starting = self.has_starting_budgeted_task(now_us, id);
        let has_late_start = self.has_late_start(id);
        let Some(worker) = self.workers.get_mut(id) else { return HoldPlan::Close };
        if !worker.is_listed && worker.tasks.is_empty() && !has_untracked {
            self.remove_worker(id);
            return HoldPlan::Close;
        }
        if now_us < worker.next_hold_us {
            return HoldPlan::WaitUntil { at_us: worker.next_hold_us };
        }
        let mut acknowledged = if has_late_start { 0 } else { worker.cursor_to_acknowledge() };
        if acknowledged > 0 && worker.starts_in_flight > 0 {
            let latest_us = *worker.acknowledge_by_us.get_or_insert(now_us + MAX_START_WAIT_MS * US_PER_MS);
            worker.is_acknowledging = now_us < latest_us;
            if worker.is_acknowledging {
                return HoldPlan::WaitUntil { at_us: now_us + START_CHECK_INTERVAL_MS * US_PER_MS };
            }
            acknowledged = 0;
        } else {
            worker.acknowledge_by_us = None;
        }
        worker.is_acknowledging = acknowledged > 0;
        let mut lease_end_ms = None;
        // The lease of a worker that does not answer is not extended, so that its tasks can be placed elsewhere soon.
        // Neither is that of a worker which may have restarted: on another clock, the lease would be longer than known.
        let may_renew = worker.has_answered_recently(now_us) && !worker.is_silent && !worker.may_have_restarted();
        if !worker.tasks.is_empty() && lease_until_us > now_us && may_renew {
            lease_end_ms = worker.lease_end_for(lease_until_us);
        }
        if let Some(lease_end_ms) = lease_end_ms {
            worker.lease_end_ms = worker.lease_end_ms.max(lease_end_ms);
            worker.last_lease_call_us = now_us;
        }
        worker.acknowledging_cursor = acknowledged;
        let wait_ms = match (worker.is_synced, worker.tasks.is_empty()) {
            (false, _) | (_, true) => 0,
            // Start orders wait for the answer.
            _ if worker.is_acknowledging => 0,
            _ if worker.is_silent || worker.may_have_restarted() => 0,
            (true, false) if worker.latency_target_count > 0 && worker.best_effort_count > 0 => HOLD_WAIT_SHARED_MS,
            (true, false) if is_starting => HOLD_WAIT_STARTING_MS,
            (true, false) => HOLD_WAIT_MS,
        };
        HoldPlan::Send { address: worker.next_hold_address(), lease_end_ms, acknowledged, wait_ms }
    }

    /// Whether a worker with long-running tasks runs one that has a disruption budget and started a short time ago, but is
    /// not fully at work yet.
    fn has_starting_budgeted_task(&self, now_us: u64, id: &Arc<str>) -> bool {
        let Some(worker) = self.workers.get(id) else { return false };
        if worker.long_running_count == 0 || now_us < worker.next_hold_us {
            return false;
        }
        for task_ref in &worker.tasks {
            if self.step_of(task_ref).is_none_or(|step| !step.long_running || step.max_unavailable.is_none()) {
                continue;
            }
            let Some(task) = self.jobs.get(&task_ref.job).and_then(|job| job.task(task_ref)) else { continue };
            let TaskState::Placed { phase: RunPhase::Running { since_us }, .. } = task.state else { continue };
            if !task.is_fully_running() && now_us < since_us + MAX_STARTING_MS * US_PER_MS {
                return true;
            }
        }
        false
    }

    /// Sets the time of the next hold request to a worker.
    pub(super) fn schedule_hold(&mut self, now_us: u64, id: &Arc<str>, failed: bool) {
        let hold_interval_ms = HOLD_INTERVAL_MS + self.hold_backoff_ms();
        let has_untracked = self.usage.has_untracked(id);
        let has_late_start = self.has_late_start(id);
        let Some(worker) = self.workers.get_mut(id) else { return };
        // The next answer tells whether the untracked runs still count towards quotas.
        let has_runs = has_untracked || !worker.tasks.is_empty();
        let delay_ms = match (failed, !has_runs && worker.stored_cursor == worker.acknowledged_cursor) {
            (true, _) => HOLD_RETRY_DELAY_MS,
            // The worker lists the same ends again, and does not wait for others.
            (false, false) if has_late_start && worker.cursor_to_acknowledge() > 0 => HOLD_RETRY_DELAY_MS,
            (false, true) => IDLE_HOLD_INTERVAL_MS,
            (false, false) => hold_interval_ms,
        };
        worker.next_hold_us = now_us + delay_ms * US_PER_MS;
    }

    /// Has a worker with tasks asked for its runs at once.
    pub(super) fn hold_now_if_busy(&mut self, now_us: u64, id: &Arc<str>) {
        if let Some(worker) = self.workers.get_mut(id).filter(|worker| !worker.tasks.is_empty()) {
            worker.next_hold_us = now_us;
        }
    }

    /// Makes sure that the ends of an idle worker are acknowledged soon after they are stored.
    pub(super) fn hold_after_commit(&mut self, now_us: u64, id: &Arc<str>) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let acknowledge_us = now_us + ACKNOWLEDGE_DELAY_MS * US_PER_MS;
        if worker.cursor_to_acknowledge() == 0 || worker.next_hold_us <= acknowledge_us {
            return;
        }
        worker.next_hold_us = acknowledge_us;
        self.wake_session(id.clone());
    }

    /// Makes sure that a worker is asked for its runs after a start, also if it had no tasks before.
    pub(super) fn hold_after_start(&mut self, now_us: u64, id: &Arc<str>) {
        let soon_us = now_us + self.hold_backoff_ms() * US_PER_MS;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.next_hold_us = worker.next_hold_us.min(soon_us);
        }
    }

    /// By how much hold requests to workers with tasks are delayed, so that a leader that is behind can catch up.
    fn hold_backoff_ms(&self) -> u64 {
        (HOLD_BACKOFF_PER_LAG * self.lag_ms).min(MAX_HOLD_BACKOFF_MS)
    }

    /// Whether this incarnation of a worker is known.
    pub(super) fn has_incarnation(&self, incarnation: &WorkerIncarnation) -> bool {
        self.workers.get(&incarnation.id).is_some_and(|worker| worker.incarnation() == *incarnation)
    }
}
