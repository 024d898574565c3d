//! The leader's view of all jobs and workers, and the entry points by which it learns.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use super::action::Action;
use super::duties::Duties;
use super::host_orders::HostOrders;
use super::job::{Job, RunPhase, TaskState};
use super::model::{Catalog, HostRecord, JobId, JobPhase, JobSpec, Queue, Step, TaskRef};
use super::record::{restore_job, RecordError};
use super::waves::Waves;
use super::worker::Worker;
use crate::clock::US_PER_MS;

/// Lease that each order gives. A worker that is cut off keeps its work for that long; a new leader has that long
/// to be heard.
const LEASE_MS: u64 = 4_500;
/// Part of the longest lease that a leader gives beyond its last confirmed renewal of leadership.
const LEASE_AFTER_RENEWAL: f64 = 0.85;
/// An order that a former leader sent last is done by then, and the provider's list shows it.
const FORMER_ORDERS_MS: u64 = 1_000;
/// Orders about hosts go out for so long after the latest confirmed renewal of leadership.
const HOST_ORDERS_AFTER_RENEWAL_MS: u64 = 1_200;
/// What a new leader waits beyond the longest lease, for clocks that run 2% slow and errors of reading them.
const INHERITED_FACTOR: f64 = 1.03;
const INHERITED_SLACK_MS: u64 = 300;
/// Time between looks at what time alone brings about.
const SWEEP_MS: u64 = 100;

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
    pub(super) cancelled_early: HashSet<JobId>,
    pub(super) dirty: BTreeSet<JobId>,
    /// A batch was taken and is not written yet.
    pub(super) is_writing: bool,
    pub(super) intents: Vec<(TaskRef, u32)>,
    /// Jobs that are over, with nothing left to run or stop.
    pub(super) over: Vec<(JobId, JobPhase)>,
    /// Jobs whose submissions are gone; their records can go.
    pub(super) forgettable: Vec<JobId>,
    pub(super) duties: Duties,
    pub(super) waves: Waves,
    pub(super) host_orders: HostOrders,
    /// When this leader took over.
    lead_since_us: u64,
    /// When the latest confirmed renewal of leadership was sent.
    pub(super) renewed_us: u64,
    pub(super) pending_told: Vec<(Arc<str>, u64)>,
    pub(super) pending_told_us: u64,
    /// A job began to wait or no longer does.
    pub(super) pending_moved: bool,
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
            host_orders: HostOrders::new(),
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
    ) -> Result<(), RecordError> {
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
        self.retire_if_finished(&id);
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
            job.critical_path_ms(),
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
        self.begin_due_occurrences(now_us, now_unix_ms, &id);
        self.refresh_job(&id);
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
        self.stop_job_runs(now_us, id);
        self.refresh_job(id);
    }

    pub(super) fn order_start(&mut self, now_us: u64, task: &TaskRef, run: u32) {
        let Some(job) = self.jobs.get(&task.job) else { return };
        let Some(state) = job.task(task) else { return };
        let TaskState::Placed { worker: at, phase: RunPhase::Persisting } = &state.state else { return };
        if state.run != run {
            return;
        }
        let at = at.clone();
        let cancelled = job.phase.is_final();
        let lease_until_us = self.lease_until_us(now_us);
        let usable = self.workers.get(&at.id).is_some_and(|worker| {
            worker.incarnation() == at && worker.is_listed && !worker.entry.draining && worker.can_receive_start(now_us)
        });
        if cancelled || !usable || lease_until_us <= now_us {
            self.release_task(now_us, task);
            return;
        }
        let ticket = self.ticket(now_us, task, &at.id);
        let Some(worker) = self.workers.get_mut(&at.id) else { return };
        let lease_end_ms = worker.lease_end_for(lease_until_us).unwrap_or(0);
        worker.lease_end_ms = worker.lease_end_ms.max(lease_end_ms);
        worker.next_hold_us = worker.next_hold_us.min(now_us);
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let spec = job.spec.task_spec.clone();
        let Some(state) = job.task_mut(task) else { return };
        state.state = TaskState::Placed { worker: at.clone(), phase: RunPhase::Ordered };
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

    /// Does what time alone brings about.
    pub(crate) fn tick(&mut self, now_us: u64, now_unix_ms: u64) {
        if now_us >= self.next_sweep_us {
            self.next_sweep_us = now_us + SWEEP_MS * US_PER_MS;
            self.begin_all_due_occurrences(now_us, now_unix_ms);
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
}

/// When a job was accepted, on our clock.
fn accepted_us(now_us: u64, now_unix_ms: u64, job: &Job) -> u64 {
    /// A clock that is further off than that tells nothing about the job's age.
    const MAX_AGE_MS: u64 = 60_000;
    let age_ms = now_unix_ms.saturating_sub(job.spec.accepted_unix_ms).min(MAX_AGE_MS);
    now_us.saturating_sub(age_ms * US_PER_MS)
}
