//! State and async tasks of the leader: restores the scheduler's state from the store, passes events to the scheduler
//! and executes the actions that it requests.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use foldhash::{HashMap, HashSet};

use super::leader_load::LeaderLoad;
use super::orders::OrderQueues;
use super::stage_metrics::StageMetrics;
use super::term::release_transaction;
use super::worker_fences::WorkerFences;
use super::{
    calls, feeds, job_reads, organisation_metrics, sessions, submissions, writer, ControlDaemon, CANCEL_SUFFIX,
    HOST_TABLE, LEADER_PARTITION, RECORD_TABLE, WAVE_TABLE,
};
use crate::clock::{US_PER_MS, US_PER_S};
use crate::platform::advice::AdviceClient;
use crate::platform::hosts::HostClient;
use crate::platform::workers::{decode_worker_entry, WorkerClient};
use crate::reactor::{spawn, Condvar};
use crate::row_store::{RowStoreCommitOutcome, RowStoreError, StoredRow};
use crate::sched::action::Action;
use crate::sched::copies::CopyCounts;
use crate::sched::model::{Catalog, WaveOrder};
use crate::sched::policies::Policies;
use crate::sched::record::{decode_hosts, decode_spec};
use crate::sched::run_end::RunOver;
use crate::sched::run_stops::StopReason;
use crate::sched::scheduler::{SchedSettings, Scheduler};
use crate::sched::start_orders::StartObstacle;
use crate::sched::worker_loss::{LossCause, LossCounts};

/// Interval of the scheduler's timer.
const TICK_INTERVAL_MS: u64 = 50;
/// The leader steps down if a larger share of the workers is silent for [`STEP_DOWN_AFTER_MS`].
const MAX_SILENT_SHARE: f64 = 0.6;
const STEP_DOWN_AFTER_MS: u64 = 500;
/// Time for which a daemon does not claim leadership after it has stepped down because too few workers answered.
const CLAIM_PAUSE_MS: u64 = 6_000;
/// Interval at which the submissions of finished jobs are removed.
const CLEANUP_INTERVAL_MS: u64 = 600;

/// A successful claim of leadership.
#[derive(Debug, Clone, Copy)]
pub(super) struct Claim {
    /// Version of the owner row; sent with every order.
    pub(super) fencing_token: u64,
    /// Version of the sequence row.
    pub(super) sequence_version: u64,
    /// When the claim was found to be in force.
    pub(super) claimed_us: u64,
}

/// State of one term of leadership, shared by the async tasks that serve it.
pub(super) struct Leader {
    pub(super) daemon: Rc<ControlDaemon>,
    pub(super) fencing_token: u64,
    /// Version of the sequence row that this leader wrote last.
    pub(super) sequence_version: Cell<u64>,
    pub(super) scheduler: RefCell<Scheduler>,
    /// Whether leadership has been lost or given up; the async tasks that serve it then stop.
    pub(super) has_ended: Cell<bool>,
    /// Wakes the writer when there may be something to commit, or when leadership has ended.
    pub(super) writer_condvar: Condvar,
    /// Wake the sessions, by worker ID.
    pub(super) session_condvars: RefCell<HashMap<Arc<str>, Rc<Condvar>>>,
    pub(super) worker_client: WorkerClient,
    pub(super) orders: OrderQueues,
    pub(super) worker_fences: WorkerFences,
    pub(super) host_client: Option<HostClient>,
    pub(super) advice_client: Option<AdviceClient>,
    stage_metrics: StageMetrics,
}

/// Leads until leadership is lost or given up.
pub(super) async fn lead(daemon: &Rc<ControlDaemon>, claim: Claim, catalog: Arc<Catalog>) {
    log::info!("daemon={} token={} outcome=leading", daemon.settings.name, claim.fencing_token);
    metrics::counter!("leaderships_total").increment(1);
    let leader = Rc::new(Leader::new(daemon, claim));
    leader.configure(catalog);
    // The writer renews leadership from the start, since restoring the state may take longer than the time after which
    // other daemons take over.
    let writer_loop = writer::run(&leader);
    spawn(start_scheduling(leader.clone()));
    writer_loop.await;
    leader.has_ended.set(true);
    leader.wake_all_sessions();
    daemon.leader.borrow_mut().take();
    log::warn!("daemon={} token={} outcome=no_longer_leading", daemon.settings.name, claim.fencing_token);
}

/// Restores the stored state and starts the async tasks that feed the scheduler.
async fn start_scheduling(leader: Rc<Leader>) {
    let daemon = &leader.daemon;
    let versions = match leader.restore().await {
        Ok(versions) => versions,
        Err(error) => {
            log::warn!("daemon={} error={error} outcome=takeover_failed", daemon.settings.name);
            leader.has_ended.set(true);
            leader.writer_condvar.notify();
            return;
        }
    };
    if leader.has_ended.get() {
        return;
    }
    // Operators may have written waves or a configuration while the state was being restored.
    for wave in daemon.waves.borrow().iter() {
        leader.add_wave(wave.clone());
    }
    if let Some(catalog) = daemon.catalog() {
        leader.configure(catalog);
    }
    *daemon.leader.borrow_mut() = Some(leader.clone());
    spawn(feeds::follow_jobs(leader.clone(), versions.jobs));
    spawn(feeds::follow_workers(leader.clone(), versions.workers));
    spawn(feeds::follow_hosts(leader.clone()));
    spawn(remove_finished_jobs(leader.clone()));
    spawn(organisation_metrics::report(leader.clone()));
    spawn(run_ticks(leader.clone()));
    leader.run_scheduler();
}

/// Periodically removes the submissions of finished jobs, so that the next leader has fewer rows to read.
async fn remove_finished_jobs(leader: Rc<Leader>) {
    while !leader.has_ended.get() {
        leader.daemon.sleep_ms(CLEANUP_INTERVAL_MS).await;
        let jobs = leader.scheduler.borrow_mut().take_finished_jobs();
        if jobs.is_empty() {
            continue;
        }
        let removal = submissions::remove_finished(&leader.daemon, &jobs).await;
        let mut scheduler = leader.scheduler.borrow_mut();
        scheduler.submissions_removed(removal.version, &removal.removed);
        scheduler.requeue_finished_jobs(removal.remaining);
    }
}

/// Gives up leadership and marks it as released, so that another daemon can take over without waiting for a timeout.
pub(super) async fn step_down(daemon: &Rc<ControlDaemon>) {
    let Some(leader) = daemon.leader.borrow().clone() else { return };
    leader.has_ended.set(true);
    leader.writer_condvar.notify();
    leader.wake_all_sessions();
    match daemon.store.commit(&release_transaction(leader.fencing_token)).await {
        Ok(RowStoreCommitOutcome::Applied { .. }) => log::info!("daemon={} outcome=stepped_down", daemon.settings.name),
        Ok(RowStoreCommitOutcome::Conflict { .. }) => {}
        Err(error) => log::warn!("daemon={} error={error} outcome=step_down_failed", daemon.settings.name),
    }
}

/// Store versions after which the feeds continue once the state is restored.
struct FeedVersions {
    jobs: u64,
    workers: u64,
}

impl Leader {
    fn new(daemon: &Rc<ControlDaemon>, claim: Claim) -> Leader {
        let settings = SchedSettings {
            max_lease_ms: daemon.settings.max_lease_ms,
            stop_grace_ms: daemon.settings.stop_grace_ms,
            leader_change_wait_ms: daemon.settings.leader_change_wait_ms,
            host_move_ms: daemon.settings.host_move_ms,
            host_maintenance_ms: daemon.settings.host_maintenance_ms,
            host_orders_per_s: daemon.settings.host_orders_per_s,
            policies: Policies::default(),
        };
        let holder = daemon.settings.name.clone();
        Leader {
            daemon: daemon.clone(),
            fencing_token: claim.fencing_token,
            sequence_version: Cell::new(claim.sequence_version),
            scheduler: RefCell::new(Scheduler::new(claim.claimed_us, settings)),
            has_ended: Cell::new(false),
            writer_condvar: Condvar::default(),
            session_condvars: RefCell::default(),
            worker_client: WorkerClient::new(daemon.http_client.clone()),
            orders: OrderQueues::default(),
            worker_fences: WorkerFences::default(),
            host_client: daemon
                .settings
                .provider
                .map(|address| HostClient::new(daemon.http_client.clone(), address, holder)),
            advice_client: daemon.settings.advice.map(|address| AdviceClient::new(daemon.http_client.clone(), address)),
            stage_metrics: StageMetrics::new(),
        }
    }

    pub(super) fn configure(&self, catalog: Arc<Catalog>) {
        self.scheduler.borrow_mut().configure(catalog);
        self.writer_condvar.notify();
    }

    pub(super) fn add_wave(&self, order: WaveOrder) {
        self.scheduler.borrow_mut().add_wave(self.now_us(), order);
    }

    pub(super) fn now_us(&self) -> u64 {
        self.daemon.now_us()
    }

    /// Restores the scheduler's state from submissions, cancellations, the registry of workers and former leaders'
    /// records.
    async fn restore(&self) -> Result<FeedVersions, RowStoreError> {
        let store = &self.daemon.store;
        let workers = store.worker_rows().await?;
        let records = store.read_partition(RECORD_TABLE, LEADER_PARTITION).await?;
        let records: HashMap<Arc<str>, Vec<u8>> =
            records.rows.into_iter().filter_map(|row| Some((row.id.key, row.value?))).collect();
        let waves = store.read_partition(WAVE_TABLE, LEADER_PARTITION).await?;
        let ordered_hosts = store.read_partition(HOST_TABLE, LEADER_PARTITION).await?;
        let mut jobs: Vec<StoredRow> = Vec::new();
        let jobs_version = job_reads::read_jobs(&self.daemon, |page| jobs.extend(page.rows)).await?;
        let now_us = self.now_us();
        let unix_ms = self.daemon.clock.unix_ms();
        let mut scheduler = self.scheduler.borrow_mut();
        let stored: HashSet<&Arc<str>> = jobs.iter().map(|row| &row.id.key).collect();
        // A former leader did not get to remove these records after it had removed their submissions.
        scheduler.remove_orphaned_records(records.keys().filter(|id| !stored.contains(id)).cloned().collect());
        scheduler.replace_registry(now_us, workers.rows.iter().filter_map(decode_worker_entry).collect());
        for row in &jobs {
            if row.id.key.ends_with(CANCEL_SUFFIX) {
                continue;
            }
            let Some(value) = &row.value else { continue };
            let restored = match decode_spec(value) {
                Ok(spec) => {
                    let record = records.get(&row.id.key).map(Vec::as_slice);
                    scheduler.restore(now_us, unix_ms, row.id.key.clone(), spec, record)
                }
                Err(error) => Err(error),
            };
            if let Err(error) = restored {
                log::error!("job={} error={error} outcome=record_unreadable", row.id.key);
            }
        }
        scheduler.classify_restored(now_us, unix_ms);
        for row in &waves.rows {
            let (Ok(number), Some(value)) = (row.id.key.parse(), &row.value) else { continue };
            match decode_hosts(value) {
                Ok(hosts) => scheduler.restore_wave(number, hosts),
                Err(error) => log::error!("wave={number} error={error} outcome=record_unreadable"),
            }
        }
        for row in &ordered_hosts.rows {
            let Some(value) = &row.value else { continue };
            match decode_hosts(value) {
                Ok(hosts) => scheduler.restore_host_orders(Some(hosts)),
                Err(error) => {
                    log::error!("key={} error={error} outcome=record_unreadable", row.id.key);
                    scheduler.restore_host_orders(None);
                }
            }
        }
        for row in &jobs {
            feeds::apply_cancellation(&mut scheduler, now_us, row);
        }
        log::info!(
            "jobs={} records={} workers={} runs_on_unknown_workers={} outcome=restored",
            jobs.len(),
            records.len(),
            workers.rows.len(),
            scheduler.orphans().len()
        );
        Ok(FeedVersions { jobs: jobs_version, workers: workers.version })
    }

    /// Lets the scheduler place tasks, executes its actions and wakes the writer if there is something to commit.
    pub(super) fn run_scheduler(self: &Rc<Self>) {
        if self.has_ended.get() {
            return;
        }
        let now_us = self.now_us();
        let actions = {
            let mut scheduler = self.scheduler.borrow_mut();
            scheduler.place_now(now_us);
            self.stage_metrics.record(scheduler.passed_stages());
            scheduler.take_actions()
        };
        for action in actions {
            self.execute(action);
        }
        if self.scheduler.borrow().wants_commit(now_us) {
            self.writer_condvar.notify();
        }
    }

    fn execute(self: &Rc<Self>, action: Action) {
        match action {
            Action::OpenSession { worker } => {
                let condvar = Rc::new(Condvar::default());
                self.session_condvars.borrow_mut().insert(worker.clone(), condvar.clone());
                spawn(sessions::run(self.clone(), worker, condvar));
            }
            Action::WakeSession { worker } => self.wake_session(&worker),
            Action::RaiseFence { worker } => {
                self.worker_fences.request(worker);
                self.raise_fences();
            }
            Action::Start(_) | Action::Stop { .. } | Action::Pace { .. } => self.orders.push(self, action),
            Action::RequestAdvice { job, occurrence, step, workers } => {
                spawn(calls::request_advice(self.clone(), job, occurrence, step, workers));
            }
            Action::MoveHost { host, pool } => spawn(calls::move_host(self.clone(), host, pool)),
            Action::MaintainHost { host, wave } => spawn(calls::maintain_host(self.clone(), host, wave)),
            Action::ReportWave { wave, complete } => spawn(calls::report_wave(self.clone(), wave, complete)),
            Action::CheckLeadership => self.writer_condvar.notify(),
        }
    }

    /// Fencing token for a call to a worker.
    pub(super) fn fence_for(&self, worker: &str) -> u64 {
        self.worker_fences.token_for(worker, self.fencing_token)
    }

    /// Raises the requested fencing tokens, as far as a transaction has been committed since.
    pub(super) fn raise_fences(&self) {
        let version = self.sequence_version.get();
        for worker in self.worker_fences.raise(self.fencing_token, version) {
            metrics::counter!("worker_fences_raised_total").increment(1);
            log::info!("worker={worker} token={version} outcome=fence_raised");
            self.scheduler.borrow_mut().fence_raised(self.now_us(), &worker);
        }
    }

    pub(super) fn wake_session(&self, worker: &Arc<str>) {
        if let Some(condvar) = self.session_condvars.borrow().get(worker) {
            condvar.notify();
        }
    }

    /// Whether this daemon still leads and the scheduler allows a host order to be sent now.
    pub(super) fn may_order_hosts(&self) -> bool {
        !self.has_ended.get() && self.scheduler.borrow().may_send_host_order(self.now_us())
    }

    fn wake_all_sessions(&self) {
        for condvar in self.session_condvars.borrow().values() {
            condvar.notify();
        }
    }
}

/// Drives the scheduler's timer, and steps down if too few workers answer.
async fn run_ticks(leader: Rc<Leader>) {
    let mut mostly_silent_since_us = None;
    let mut load = LeaderLoad::new(leader.now_us());
    while !leader.has_ended.get() {
        let now_us = leader.now_us();
        let unix_ms = leader.daemon.clock.unix_ms();
        leader.scheduler.borrow_mut().tick(now_us, unix_ms);
        leader.run_scheduler();
        if leader.scheduler.borrow().silent_share() <= MAX_SILENT_SHARE {
            mostly_silent_since_us = None;
        } else if now_us > *mostly_silent_since_us.get_or_insert(now_us) + STEP_DOWN_AFTER_MS * US_PER_MS {
            // This daemon may be cut off from the workers; another one may reach more of them.
            log::warn!("daemon={} outcome=cut_off_from_workers", leader.daemon.settings.name);
            leader.daemon.no_claim_until_us.set(now_us + CLAIM_PAUSE_MS * US_PER_MS);
            step_down(&leader.daemon).await;
        }
        let due_us = leader.now_us() + TICK_INTERVAL_MS * US_PER_MS;
        leader.daemon.sleep_ms(TICK_INTERVAL_MS).await;
        let late_us = leader.now_us().saturating_sub(due_us);
        metrics::histogram!("leader_lag_seconds").record(late_us as f64 / US_PER_S as f64);
        record_copy_counts(leader.scheduler.borrow_mut().take_copy_counts());
        let (lost_runs, given_up) = leader.scheduler.borrow_mut().take_loss_counts();
        record_loss_counts(lost_runs, given_up);
        record_run_counts(&mut leader.scheduler.borrow_mut());
        leader.scheduler.borrow_mut().record_lag(late_us);
        load.record_tick(late_us);
        load.report(leader.now_us(), leader.scheduler.borrow().work_counts());
    }
}

fn record_copy_counts(counts: CopyCounts) {
    let CopyCounts { started, first, late, over_budget } = counts;
    for (event, count) in [("started", started), ("first", first), ("late", late), ("over_budget", over_budget)] {
        if count > 0 {
            metrics::counter!("task_copies_total", "event" => event).increment(count);
        }
    }
}

fn record_run_counts(scheduler: &mut Scheduler) {
    for (reason, count) in StopReason::ALL.into_iter().zip(scheduler.take_stop_counts()) {
        if count > 0 {
            metrics::counter!("run_stops_total", "reason" => reason.label()).increment(count);
        }
    }
    let start_repeats = scheduler.take_start_repeat_count();
    if start_repeats > 0 {
        metrics::counter!("starts_repeated_total").increment(start_repeats);
    }
    for (obstacle, count) in StartObstacle::ALL.into_iter().zip(scheduler.take_withdrawn_counts()) {
        if count > 0 {
            metrics::counter!("starts_withdrawn_total", "reason" => obstacle.label()).increment(count);
        }
    }
    for (over, count) in RunOver::ALL.into_iter().zip(scheduler.take_release_counts()) {
        if count > 0 {
            metrics::counter!("runs_released_total", "evidence" => over.label()).increment(count);
        }
    }
}

fn record_loss_counts(lost_runs: LossCounts, given_up: u64) {
    if given_up > 0 {
        metrics::counter!("tasks_given_up_total").increment(given_up);
    }
    for (cause, count) in LossCause::ALL.into_iter().zip(lost_runs) {
        if count > 0 {
            metrics::counter!("runs_lost_total", "cause" => cause.label()).increment(count);
        }
    }
}
