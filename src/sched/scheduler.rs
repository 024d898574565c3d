//! The leader's view of all jobs and workers, and the entry points by which it learns.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use super::action::{Action, Batch, HoldPlan};
use super::duties::Duties;
use super::job::{Job, RunPhase, TaskState, WorkerLife};
use super::model::{Catalog, HostRecord, JobId, JobPhase, JobSpec, Queue, Step, TaskRef, WorkerEntry};
use super::record::{encode_job, restore_job, BadRecord};
use super::waves::Waves;
use super::worker::Worker;
use crate::clock::US_PER_MS;

/// Lease that each order gives. A worker that is cut off keeps its work for that long; a new leader has that long
/// to be heard.
const LEASE_MS: u64 = 4_500;
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
/// Part of the longest lease that a leader gives beyond its last confirmed renewal of leadership.
const LEASE_AFTER_RENEWAL: f64 = 0.85;
/// An order that a former leader sent last is done by then, and the provider's list shows it.
const FORMER_ORDERS_MS: u64 = 1_000;
/// Orders about hosts go out for so long after the latest confirmed renewal of leadership.
const HOST_ORDERS_AFTER_RENEWAL_MS: u64 = 1_200;
/// What a new leader waits beyond the longest lease, for clocks that run 2% slow and errors of reading them.
const INHERITED_FACTOR: f64 = 1.03;
const INHERITED_SLACK_MS: u64 = 300;
/// Jobs written in one transaction, which holds at most 100 entries.
const MAX_BATCH_JOBS: usize = 90;
/// Time between looks at what time alone brings about.
const SWEEP_MS: u64 = 100;
/// Least time between two reports of queue lengths.
const PENDING_REPORT_MS: u64 = 500;

/// Bounds that the deployment sets.
#[derive(Debug, Clone)]
pub(crate) struct SchedSettings {
    /// Longest lease that workers accept.
    pub(crate) max_lease_ms: u64,
    pub(crate) stop_grace_ms: u64,
    /// Time between the last order of one holder and the first of another for the same host.
    pub(crate) holder_change_ms: u64,
    pub(crate) host_move_ms: u64,
    pub(crate) upkeep_ms: u64,
    /// Orders about hosts that the provider takes in a second.
    pub(crate) host_orders_per_s: u32,
}

/// See the module.
pub(crate) struct Scheduler {
    pub(super) settings: SchedSettings,
    pub(super) catalog: Arc<Catalog>,
    pub(super) jobs: HashMap<JobId, Job>,
    pub(super) workers: BTreeMap<Arc<str>, Worker>,
    pub(super) hosts: BTreeMap<Arc<str>, HostRecord>,
    pub(super) actions: Vec<Action>,
    /// Jobs with work items that could start now.
    pub(super) ready: BTreeSet<JobId>,
    /// Cancelled before they were known.
    cancelled_early: HashSet<JobId>,
    dirty: BTreeSet<JobId>,
    /// A batch was taken and is not written yet.
    is_writing: bool,
    intents: Vec<(TaskRef, u32)>,
    /// Jobs that are over, with nothing left to run or stop.
    over: Vec<(JobId, JobPhase)>,
    /// Jobs whose submissions are gone; their records can go.
    forgettable: Vec<JobId>,
    pub(super) duties: Duties,
    pub(super) waves: Waves,
    /// When this leader took over.
    lead_since_us: u64,
    /// When the latest confirmed renewal of leadership was sent.
    pub(super) renewed_us: u64,
    pending_told: Vec<(Arc<str>, u64)>,
    pending_told_us: u64,
    /// A job began to wait or no longer does.
    pending_moved: bool,
    /// Jobs on a timetable that are not over.
    pub(super) timed: BTreeSet<JobId>,
    next_sweep_us: u64,
    pub(super) next_orphans_us: u64,
    /// Worker on each host.
    pub(super) on_host: HashMap<Arc<str>, Arc<str>>,
    pub(super) place_at_us: u64,
    pub(super) alarm_until_us: u64,
    /// Something happened that may let work start.
    pub(super) wants_placement: bool,
}

impl Scheduler {
    pub(crate) fn new(now_us: u64, settings: SchedSettings) -> Scheduler {
        Scheduler {
            duties: Duties::new(now_us, settings.holder_change_ms),
            waves: Waves::default(),
            settings,
            catalog: Arc::default(),
            jobs: HashMap::new(),
            workers: BTreeMap::new(),
            hosts: BTreeMap::new(),
            actions: Vec::new(),
            ready: BTreeSet::new(),
            cancelled_early: HashSet::new(),
            dirty: BTreeSet::new(),
            is_writing: false,
            intents: Vec::new(),
            over: Vec::new(),
            forgettable: Vec::new(),
            lead_since_us: now_us,
            renewed_us: now_us,
            pending_told: Vec::new(),
            pending_told_us: 0,
            pending_moved: false,
            timed: BTreeSet::new(),
            next_sweep_us: 0,
            next_orphans_us: 0,
            on_host: HashMap::new(),
            place_at_us: 0,
            alarm_until_us: 0,
            wants_placement: true,
        }
    }

    /// Takes what is to be done since the last call.
    pub(crate) fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Takes a configuration; an older one than the present changes nothing.
    pub(crate) fn configure(&mut self, catalog: Arc<Catalog>) {
        if catalog.version < self.catalog.version {
            return;
        }
        self.catalog = catalog;
        self.wants_placement = true;
    }

    /// Rules of a job's queue: those in force, or those under which it was accepted.
    pub(super) fn queue_of(&self, job: &Job) -> Arc<Queue> {
        self.catalog.queue(&job.spec.queue.name).unwrap_or(&job.spec.queue).clone()
    }

    pub(super) fn step_of(&self, task: &TaskRef) -> Option<&Step> {
        self.jobs.get(&task.job)?.spec.steps.get(task.step as usize)
    }

    /// Restores a job of a former leader, before any worker is heard.
    pub(crate) fn restore(
        &mut self,
        now_us: u64,
        now_unix_ms: u64,
        id: JobId,
        spec: JobSpec,
        record: Option<&[u8]>,
    ) -> Result<(), BadRecord> {
        if self.jobs.contains_key(&id) {
            return Ok(());
        }
        let Some(record) = record else {
            self.submit(now_us, now_unix_ms, id, spec);
            return Ok(());
        };
        let mut job = Job::new(id.clone(), Arc::new(spec));
        restore_job(&mut job, record)?;
        self.set_deadline(now_us, now_unix_ms, &mut job);
        if job.is_scheduled() && !job.phase.is_final() {
            self.timed.insert(id.clone());
        }
        self.pending_moved = true;
        self.jobs.insert(id.clone(), job);
        self.after_restore(now_us, &id);
        self.forget_work(&id);
        Ok(())
    }

    /// Takes a job that was accepted. Hearing of it again changes nothing.
    pub(crate) fn submit(&mut self, now_us: u64, now_unix_ms: u64, id: JobId, spec: JobSpec) {
        if self.jobs.contains_key(&id) {
            return;
        }
        let mut job = Job::new(id.clone(), Arc::new(spec));
        self.set_deadline(now_us, now_unix_ms, &mut job);
        if !job.is_scheduled() {
            job.begin_occurrence(0);
        }
        log::info!(
            "job={id} queue={} tasks={} chain_ms={} due_in_ms={} outcome=known",
            job.spec.queue.name,
            job.spec.steps.iter().map(|step| step.count).sum::<u32>(),
            job.chain_ms(),
            job.deadline_us.saturating_sub(now_us) / US_PER_MS
        );
        self.pending_moved = true;
        let pool = self.queue_of(&job).pool.clone();
        self.duties.note_arrival(accepted_us(now_us, now_unix_ms, &job), &pool, &job);
        if job.is_scheduled() {
            self.timed.insert(id.clone());
        }
        self.jobs.insert(id.clone(), job);
        if self.cancelled_early.remove(&id) {
            self.cancel(now_us, &id);
            return;
        }
        self.begin_due(now_us, now_unix_ms, &id);
        self.refresh(&id);
    }

    fn set_deadline(&self, now_us: u64, now_unix_ms: u64, job: &mut Job) {
        let queue = self.queue_of(job);
        job.set_deadline(accepted_us(now_us, now_unix_ms, job), queue.stretch, queue.target_latency_ms);
    }

    /// Takes a caller's wish to end a job.
    pub(crate) fn cancel(&mut self, now_us: u64, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            self.cancelled_early.insert(id.clone());
            return;
        };
        if job.phase.is_final() {
            return;
        }
        job.phase = JobPhase::Cancelled;
        log::info!("job={id} outcome=cancelled");
        self.mark_dirty(id);
        self.stop_all(now_us, id);
        self.refresh(id);
    }

    pub(super) fn mark_dirty(&mut self, id: &JobId) {
        self.pending_moved = true;
        if !self.dirty.contains(id) {
            self.dirty.insert(id.clone());
        }
    }

    /// Has a run written, and ordered after that.
    pub(super) fn note_intent(&mut self, at: &TaskRef, run: u32) {
        self.mark_dirty(&at.job);
        self.intents.push((at.clone(), run));
    }

    /// Whether there is something to write.
    pub(crate) fn wants_commit(&self, now_us: u64) -> bool {
        !self.dirty.is_empty()
            || !self.forgettable.is_empty()
            || self.waves.has_changed()
            || self.pending_changed(now_us)
    }

    fn pending_changed(&self, now_us: u64) -> bool {
        self.pending_moved && now_us >= self.pending_told_us + PENDING_REPORT_MS * US_PER_MS
    }

    /// Jobs of each queue that have not begun.
    fn pending(&self) -> Vec<(Arc<str>, u64)> {
        let mut counts: BTreeMap<Arc<str>, u64> = BTreeMap::new();
        for job in self.jobs.values() {
            if job.phase == JobPhase::Queued {
                *counts.entry(job.spec.queue.name.clone()).or_default() += 1;
            }
        }
        counts.into_iter().collect()
    }

    /// Takes the next batch to write; exactly one may be under way.
    pub(crate) fn take_batch(&mut self, now_us: u64) -> Batch {
        self.is_writing = true;
        let mut batch = Batch::default();
        let chosen: Vec<JobId> = self.dirty.iter().take(MAX_BATCH_JOBS).cloned().collect();
        for id in &chosen {
            self.dirty.remove(id);
            let Some(job) = self.jobs.get_mut(id) else { continue };
            batch.records.push((id.clone(), encode_job(job)));
            if job.told != job.phase {
                job.told = job.phase;
                batch.phases.push((id.clone(), job.phase));
            }
        }
        let chosen: HashSet<JobId> = chosen.into_iter().collect();
        let room = MAX_BATCH_JOBS - batch.records.len();
        let forgotten = self.forgettable.len().min(room);
        batch.forgotten = self.forgettable.drain(..forgotten).collect();
        let intents = std::mem::take(&mut self.intents);
        let (now, later) = intents.into_iter().partition(|(task, _)| chosen.contains(&task.job));
        batch.intents = now;
        self.intents = later;
        if self.pending_changed(now_us) {
            self.pending_moved = false;
            self.pending_told_us = now_us;
            let pending = self.pending();
            if pending != self.pending_told {
                self.pending_told.clone_from(&pending);
                batch.pending = Some(pending);
            }
        }
        batch.waves = self.waves.take_changed();
        if self.dirty.is_empty() {
            for worker in self.workers.values() {
                if worker.seen_end > worker.stored_end {
                    let born = worker.entry.born_unix_ms;
                    batch.acknowledged.push((worker.entry.id.clone(), born, worker.seen_end));
                }
            }
        }
        batch
    }

    /// The batch is written: its runs may be ordered and its ends forgotten.
    pub(crate) fn batch_written(&mut self, now_us: u64, sent_us: u64, batch: &Batch) {
        self.is_writing = false;
        self.renewed_us = self.renewed_us.max(sent_us);
        for (id, born_unix_ms, end) in &batch.acknowledged {
            let Some(worker) = self.workers.get_mut(id) else { continue };
            if worker.entry.born_unix_ms == *born_unix_ms {
                worker.stored_end = worker.stored_end.max(*end);
            }
        }
        for (task, run) in &batch.intents {
            self.order_start(now_us, task, *run);
        }
        for (id, _) in &batch.records {
            self.forget_work(id);
        }
    }

    /// Ends that changed nothing need no writing before they are forgotten.
    pub(crate) fn acknowledge_without_writing(&mut self) {
        if self.is_writing || !self.dirty.is_empty() {
            return;
        }
        for worker in self.workers.values_mut() {
            worker.stored_end = worker.seen_end;
        }
    }

    /// A job that needs no more work keeps only its phase, and is put aside.
    fn forget_work(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.phase.is_final() && !job.is_over && !job.has_placed() {
            job.occurrences.clear();
            job.is_over = true;
            self.over.push((id.clone(), job.phase));
        }
    }

    /// Takes the jobs that are over since the last call.
    pub(crate) fn take_over(&mut self) -> Vec<(JobId, JobPhase)> {
        std::mem::take(&mut self.over)
    }

    /// The submissions of these jobs could not be removed yet.
    pub(crate) fn keep_over(&mut self, jobs: Vec<(JobId, JobPhase)>) {
        self.over.extend(jobs);
    }

    /// The submissions of these jobs are removed: nothing reminds a later leader of them.
    pub(crate) fn submissions_removed(&mut self, jobs: &[(JobId, JobPhase)]) {
        for (id, _) in jobs {
            self.jobs.remove(id);
            self.forgettable.push(id.clone());
        }
    }

    /// Records without a submission: a former leader did not come to remove them.
    pub(crate) fn forget_records(&mut self, jobs: Vec<JobId>) {
        self.forgettable.extend(jobs);
    }

    fn order_start(&mut self, now_us: u64, task: &TaskRef, run: u32) {
        let Some(job) = self.jobs.get(&task.job) else { return };
        let Some(state) = job.task(task) else { return };
        let TaskState::Placed { at, phase: RunPhase::Writing } = &state.state else { return };
        if state.run != run {
            return;
        }
        let at = at.clone();
        let cancelled = job.phase.is_final();
        let lease_until_us = self.lease_until_us(now_us);
        let usable = self.workers.get(&at.id).is_some_and(|worker| {
            worker.life() == at && worker.is_listed && !worker.entry.draining && worker.may_be_started(now_us)
        });
        if cancelled || !usable || lease_until_us <= now_us {
            self.release(now_us, task);
            return;
        }
        let ticket = self.ticket(now_us, task, &at.id);
        let Some(worker) = self.workers.get_mut(&at.id) else { return };
        let lease_end_ms = worker.lease_end_for(lease_until_us).unwrap_or(0);
        worker.lease_end_ms = worker.lease_end_ms.max(lease_end_ms);
        worker.next_hold_us = worker.next_hold_us.min(now_us);
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let spec = job.spec.spec.clone();
        let Some(state) = job.task_mut(task) else { return };
        state.state = TaskState::Placed { at: at.clone(), phase: RunPhase::Ordered };
        let checkpoint = state.checkpoint.clone();
        let start =
            super::action::StartRun { worker: at.id, task: task.clone(), run, spec, lease_end_ms, checkpoint, ticket };
        self.actions.push(Action::Start(start));
    }

    /// Until when orders of this moment may give leases.
    pub(super) fn lease_until_us(&self, now_us: u64) -> u64 {
        let by_renewal_us = self.renewed_us + self.longest_lease_ms() * US_PER_MS;
        (now_us + LEASE_MS * US_PER_MS).min(by_renewal_us)
    }

    /// Whether orders about hosts may go out. Another daemon's orders must lie well apart from ours, so they end soon
    /// after leadership can no longer be confirmed.
    pub(super) fn may_order_hosts(&self, now_us: u64) -> bool {
        now_us >= self.lead_since_us + FORMER_ORDERS_MS * US_PER_MS
            && !self.hosts.is_empty()
            && now_us < self.renewed_us + HOST_ORDERS_AFTER_RENEWAL_MS * US_PER_MS
    }

    /// Whether leadership was confirmed so lately that an order about a host may still be sent.
    pub(crate) fn is_lately_confirmed(&self, now_us: u64) -> bool {
        self.may_order_hosts(now_us)
    }

    fn longest_lease_ms(&self) -> u64 {
        (self.settings.max_lease_ms as f64 * LEASE_AFTER_RENEWAL) as u64
    }

    /// When every lease that a former leader gave has ended.
    pub(super) fn inherited_over_us(&self) -> u64 {
        self.lead_since_us + self.longest_silence_us()
    }

    /// A worker that was not heard for so long holds no lease any more.
    pub(super) fn longest_silence_us(&self) -> u64 {
        let wait_ms = (self.longest_lease_ms() as f64 * INHERITED_FACTOR) as u64 + INHERITED_SLACK_MS;
        wait_ms * US_PER_MS
    }

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
        if worker.entry.born_unix_ms != entry.born_unix_ms {
            self.worker_reborn(now_us, entry);
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
    pub(super) fn worker_reborn(&mut self, now_us: u64, entry: WorkerEntry) {
        let id = entry.id.clone();
        log::warn!("worker={id} born_unix_ms={} outcome=new_life", entry.born_unix_ms);
        let open_orders = self.open_orders(&id);
        self.lose_all(now_us, &id);
        let had_session = self.workers.get(&id).is_some_and(|worker| worker.has_session);
        let mut worker = Worker::new(now_us, entry);
        worker.has_session = had_session;
        let life = worker.life();
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
                RunPhase::Writing | RunPhase::Running { .. } | RunPhase::Inherited => {}
            }
        }
        open
    }

    /// Has a work item's latest run stopped in a life of a worker in which it may still begin.
    fn close_on(&mut self, now_us: u64, at: &TaskRef, life: &WorkerLife) {
        let Some(task) = self.jobs.get_mut(&at.job).and_then(|job| job.task_mut(at)) else { return };
        task.state = TaskState::Placed { at: life.clone(), phase: RunPhase::Ordered };
        self.attach(at, life);
        self.order_stop(now_us, at);
        self.refresh(&at.job);
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
    pub(crate) fn workers_listed(&mut self, now_us: u64, entries: Vec<WorkerEntry>) {
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
        if !worker.tasks.is_empty() && lease_until_us > now_us && worker.is_heard(now_us) {
            lease_end_ms = worker.lease_end_for(lease_until_us);
        }
        worker.lease_end_ms = worker.lease_end_ms.max(lease_end_ms.unwrap_or(0));
        worker.told_end = worker.stored_end;
        let wait_ms = match (worker.is_synced, worker.tasks.is_empty()) {
            (false, _) | (_, true) => 0,
            (true, false) if worker.serving > 0 && worker.filling > 0 => HOLD_WAIT_SHARED_MS,
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

    /// Does what time alone brings about.
    pub(crate) fn tick(&mut self, now_us: u64, now_unix_ms: u64) {
        if now_us >= self.next_sweep_us {
            self.next_sweep_us = now_us + SWEEP_MS * US_PER_MS;
            self.begin_all_due(now_us, now_unix_ms);
            self.expire_leases(now_us);
            self.retry_stops(now_us);
            self.pace_fillers(now_us);
            self.run_waves(now_us);
            self.move_hosts(now_us);
        }
        self.place(now_us);
    }

    /// Places what can start now, between two looks at the clock.
    pub(crate) fn place_now(&mut self, now_us: u64) {
        self.place(now_us);
    }

    /// Whether a job is known.
    pub(crate) fn knows(&self, id: &str) -> bool {
        self.jobs.contains_key(id)
    }

    /// Where a worker takes orders.
    pub(crate) fn worker_address(&self, id: &str) -> Option<SocketAddr> {
        self.workers.get(id).map(|worker| worker.entry.address)
    }

    /// Whether any worker of this life is known.
    pub(super) fn has_life(&self, life: &WorkerLife) -> bool {
        self.workers.get(&life.id).is_some_and(|worker| worker.life() == *life)
    }
}

/// When a job was accepted, on our clock.
fn accepted_us(now_us: u64, now_unix_ms: u64, job: &Job) -> u64 {
    /// A clock that is further off than that tells nothing about the job's age.
    const MAX_AGE_MS: u64 = 60_000;
    let age_ms = now_unix_ms.saturating_sub(job.spec.accepted_unix_ms).min(MAX_AGE_MS);
    now_us.saturating_sub(age_ms * US_PER_MS)
}
