//! Workers as they register themselves, and when each is looked at.

use std::collections::HashSet;
use std::sync::Arc;

use super::action::{Action, HoldPlan};
use super::job::{RunPhase, TaskState, WorkerIncarnation};
use super::model::{TaskRef, WorkerEntry};
use super::scheduler::Scheduler;
use super::worker::Worker;
use crate::clock::US_PER_MS;

/// How long a worker with work may wait for an end before it answers.
const HOLD_WAIT_MS: u64 = 1_000;
/// The same where work items serve users beside others that must be slowed down in time.
const HOLD_WAIT_SHARED_MS: u64 = 400;
/// Pause between two looks at a worker, in which further ends gather.
const HOLD_PAUSE_MS: u64 = 60;
/// Pause between looks at a worker without work, which only keep its clock known.
const IDLE_HOLD_PAUSE_MS: u64 = 6_000;
/// The same after another worker fell silent.
const ALARM_HOLD_PAUSE_MS: u64 = 900;
/// Pause after a look that failed.
const HOLD_RETRY_MS: u64 = 250;

impl Scheduler {
    /// Takes a worker's entry in the registry.
    pub(crate) fn worker_listed(&mut self, now_us: u64, entry: WorkerEntry) {
        self.wants_placement = true;
        let id = entry.id.clone();
        let Some(worker) = self.workers.get_mut(&id) else {
            log::info!(
                "worker={id} pool={} zone={} draining={} outcome=listed",
                entry.pool,
                entry.zone,
                entry.draining
            );
            if let Some(host) = &entry.host {
                self.on_host.insert(host.clone(), id.clone());
            }
            self.workers.insert(id.clone(), Worker::new(now_us, entry));
            self.open_session(&id);
            return;
        };
        if worker.entry.started_unix_ms != entry.started_unix_ms {
            self.worker_restarted(now_us, entry);
            return;
        }
        worker.is_listed = true;
        let begins_draining = entry.draining && !worker.entry.draining;
        worker.entry = entry;
        self.open_session(&id);
        if begins_draining {
            log::info!("worker={id} outcome=draining");
            self.evacuate(now_us, &id);
        }
    }

    /// A new life of a worker: whatever ran in the former one is over. Orders that were not answered may still arrive
    /// in the new one, so their runs are stopped there before they go elsewhere.
    pub(super) fn worker_restarted(&mut self, now_us: u64, entry: WorkerEntry) {
        let id = entry.id.clone();
        log::warn!("worker={id} born_unix_ms={} outcome=new_life", entry.started_unix_ms);
        let open_orders = self.open_orders(&id);
        self.lose_all(now_us, &id);
        let had_session = self.workers.get(&id).is_some_and(|worker| worker.has_session);
        let mut worker = Worker::new(now_us, entry);
        worker.has_session = had_session;
        let life = worker.incarnation();
        self.workers.insert(id.clone(), worker);
        for at in open_orders {
            self.close_on(now_us, &at, &life);
        }
        self.open_session(&id);
    }

    /// Work items on a worker whose order to start may not have arrived yet.
    fn open_orders(&self, id: &Arc<str>) -> Vec<TaskRef> {
        let Some(worker) = self.workers.get(id) else { return Vec::new() };
        let mut open = Vec::new();
        for at in &worker.tasks {
            let Some(task) = self.jobs.get(&at.job).and_then(|job| job.task(at)) else { continue };
            let TaskState::Placed { phase, .. } = &task.state else { continue };
            match phase {
                RunPhase::Ordered | RunPhase::Unanswered { .. } | RunPhase::Stopping { .. } => open.push(at.clone()),
                RunPhase::Persisting | RunPhase::Running { .. } | RunPhase::Inherited => {}
            }
        }
        open
    }

    /// Has a work item's latest run stopped in a life of a worker in which it may still begin.
    fn close_on(&mut self, now_us: u64, at: &TaskRef, life: &WorkerIncarnation) {
        let Some(task) = self.jobs.get_mut(&at.job).and_then(|job| job.task_mut(at)) else { return };
        task.state = TaskState::Placed { worker: life.clone(), phase: RunPhase::Ordered };
        self.attach(at, life);
        self.order_stop(now_us, at);
        self.refresh_job(&at.job);
    }

    fn open_session(&mut self, id: &Arc<str>) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.has_session {
            return;
        }
        worker.has_session = true;
        self.actions.push(Action::OpenSession { worker: id.clone() });
    }

    /// A worker's entry is gone from the registry. Its work may go on until its leases end.
    pub(crate) fn worker_unlisted(&mut self, id: &Arc<str>) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.is_listed {
            log::info!("worker={id} tasks={} outcome=unlisted", worker.tasks.len());
        }
        worker.is_listed = false;
    }

    /// Replaces the registry by a whole reading of it.
    pub(crate) fn replace_registry(&mut self, now_us: u64, entries: Vec<WorkerEntry>) {
        let present: HashSet<Arc<str>> = entries.iter().map(|entry| entry.id.clone()).collect();
        let gone: Vec<Arc<str>> = self.workers.keys().filter(|id| !present.contains(*id)).cloned().collect();
        for id in gone {
            self.worker_unlisted(&id);
        }
        for entry in entries {
            self.worker_listed(now_us, entry);
        }
    }

    /// Tells the worker's session what to do next.
    pub(crate) fn plan_hold(&mut self, now_us: u64, id: &Arc<str>) -> HoldPlan {
        let lease_until_us = self.lease_until_us(now_us);
        let Some(worker) = self.workers.get_mut(id) else { return HoldPlan::Close };
        if !worker.is_listed && worker.tasks.is_empty() {
            self.workers.remove(id);
            return HoldPlan::Close;
        }
        let mut hold_at_us = worker.next_hold_us;
        if now_us < self.alarm_until_us && !worker.is_silent {
            hold_at_us = hold_at_us.min(worker.last_answer_us + ALARM_HOLD_PAUSE_MS * US_PER_MS);
        }
        if now_us < hold_at_us && worker.is_synced {
            // An alarm may bring the time forward.
            return HoldPlan::WaitUntil { at_us: hold_at_us.min(now_us + ALARM_HOLD_PAUSE_MS * US_PER_MS) };
        }
        if now_us < worker.next_hold_us {
            return HoldPlan::WaitUntil { at_us: worker.next_hold_us };
        }
        let mut lease_end_ms = None;
        // A worker that does not answer gets no longer lease: its work can go elsewhere once the last one is over.
        if !worker.tasks.is_empty() && lease_until_us > now_us && worker.has_answered_recently(now_us) {
            lease_end_ms = worker.lease_end_for(lease_until_us);
        }
        worker.lease_end_ms = worker.lease_end_ms.max(lease_end_ms.unwrap_or(0));
        worker.told_end = worker.stored_end;
        let wait_ms = match (worker.is_synced, worker.tasks.is_empty()) {
            (false, _) | (_, true) => 0,
            (true, false) if worker.serving_count > 0 && worker.best_effort_count > 0 => HOLD_WAIT_SHARED_MS,
            (true, false) => HOLD_WAIT_MS,
        };
        let acknowledged = worker.stored_end;
        HoldPlan::Send { address: worker.entry.address, lease_end_ms, acknowledged, wait_ms }
    }

    /// Sets when a worker is looked at next.
    pub(super) fn schedule_hold(&mut self, now_us: u64, id: &Arc<str>, failed: bool) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let pause_ms = match (failed, worker.tasks.is_empty() && worker.stored_end == worker.told_end) {
            (true, _) => HOLD_RETRY_MS,
            (false, true) => IDLE_HOLD_PAUSE_MS,
            (false, false) => HOLD_PAUSE_MS,
        };
        worker.next_hold_us = now_us + pause_ms * US_PER_MS;
    }

    /// Whether any worker of this life is known.
    pub(super) fn has_incarnation(&self, life: &WorkerIncarnation) -> bool {
        self.workers.get(&life.id).is_some_and(|worker| worker.incarnation() == *life)
    }
}
