//! The leader's part: feeds the scheduler and does what it asks.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;

use super::election::{owner_row, sequence_row, RELEASED};
use super::orders::Orders;
use super::{
    calls, feeds, intake, sessions, writer, Node, CANCEL_SUFFIX, HOST_TABLE, JOB_TABLE, LEADER_PARTITION, RECORD_TABLE,
    WAVE_TABLE,
};
use crate::clock::US_PER_MS;
use crate::platform::advice::AdviceClient;
use crate::platform::hosts::HostClient;
use crate::platform::workers::{worker_entry, WorkerClient};
use crate::reactor::{spawn, Signal};
use crate::sched::action::Action;
use crate::sched::model::{Catalog, WaveOrder};
use crate::sched::record::{decode_hosts, decode_spec};
use crate::sched::scheduler::{SchedSettings, Scheduler};
use crate::store::{CommitEnd, StoreError, StoreTransaction, StoredRow};

/// Time between the scheduler's looks at the clock.
const TICK_MS: u64 = 50;
/// Share of workers without an answer at which a leader steps down, after what time, and for how long it does not
/// lead again.
const CUT_OFF_SHARE: f64 = 0.6;
const CUT_OFF_MS: u64 = 500;
const CUT_OFF_PAUSE_MS: u64 = 6_000;
/// Time between removals of submissions of jobs that are over.
const REMOVE_MS: u64 = 600;

/// A successful claim to lead.
#[derive(Debug, Clone, Copy)]
pub(super) struct Claim {
    /// Fencing token of all orders.
    pub(super) token: u64,
    /// Version of the row that each transaction of the leader changes.
    pub(super) sequence: u64,
    pub(super) claimed_us: u64,
}

/// See the module.
pub(super) struct Leader {
    pub(super) node: Rc<Node>,
    pub(super) token: u64,
    pub(super) sequence: Cell<u64>,
    pub(super) scheduler: RefCell<Scheduler>,
    pub(super) is_over: Cell<bool>,
    pub(super) changed: Signal,
    pub(super) session_signals: RefCell<HashMap<Arc<str>, Rc<Signal>>>,
    pub(super) workers: WorkerClient,
    pub(super) orders: Orders,
    pub(super) hosts: Option<HostClient>,
    pub(super) advice: Option<AdviceClient>,
}

/// Leads until another daemon takes over or this one stops.
pub(super) async fn lead(node: &Rc<Node>, claim: Claim) {
    log::info!("daemon={} token={} outcome=leading", node.settings.daemon, claim.token);
    metrics::counter!("leaderships_total").increment(1);
    let Some(catalog) = node.catalog.borrow().clone() else {
        // Without a configuration nothing can be placed; the claim is found again at the next look.
        log::warn!("daemon={} outcome=leading_without_configuration", node.settings.daemon);
        return;
    };
    let leader = Rc::new(Leader::new(node, claim));
    leader.configure(catalog);
    // Leadership is renewed from the start: reading everything may take longer than others wait for a sign.
    let writing = writer::write(&leader);
    spawn(take_over(leader.clone()));
    writing.await;
    leader.is_over.set(true);
    leader.wake_all();
    node.leader.borrow_mut().take();
    log::warn!("daemon={} token={} outcome=no_longer_leading", node.settings.daemon, claim.token);
}

/// Reads what is stored and begins to lead.
async fn take_over(leader: Rc<Leader>) {
    let node = &leader.node;
    let versions = match leader.load().await {
        Ok(versions) => versions,
        Err(error) => {
            log::warn!("daemon={} error={error} outcome=takeover_failed", node.settings.daemon);
            leader.is_over.set(true);
            leader.changed.notify();
            return;
        }
    };
    if leader.is_over.get() {
        return;
    }
    for wave in node.waves.borrow().iter() {
        leader.wave_ordered(wave.clone());
    }
    if let Some(catalog) = node.catalog.borrow().clone() {
        leader.configure(catalog);
    }
    *node.leader.borrow_mut() = Some(leader.clone());
    spawn(feeds::follow_jobs(leader.clone(), versions.jobs));
    spawn(feeds::follow_workers(leader.clone(), versions.workers));
    spawn(feeds::follow_hosts(leader.clone()));
    spawn(remove_over(leader.clone()));
    spawn(tick(leader.clone()));
    leader.pump();
}

/// Removes the submissions of jobs that are over, so that a later leader has little to read.
async fn remove_over(leader: Rc<Leader>) {
    while !leader.is_over.get() {
        leader.node.sleep_ms(REMOVE_MS).await;
        let mut jobs = leader.scheduler.borrow_mut().take_retired();
        if jobs.is_empty() {
            continue;
        }
        let left = intake::remove_over(&leader.node, &jobs).await;
        jobs.retain(|job| !left.contains(job));
        let mut scheduler = leader.scheduler.borrow_mut();
        scheduler.submissions_removed(&jobs);
        scheduler.requeue_retired(left);
    }
}

/// Steps down at once, so that another daemon need not wait for silence.
pub(super) async fn resign(node: &Rc<Node>) {
    let Some(leader) = node.leader.borrow().clone() else { return };
    leader.is_over.set(true);
    leader.changed.notify();
    leader.wake_all();
    let transaction = StoreTransaction {
        expected: vec![(owner_row(), leader.token)],
        writes: vec![(sequence_row(), RELEASED.to_vec())],
        removals: Vec::new(),
    };
    match node.store.commit(&transaction).await {
        Ok(CommitEnd::Applied { .. }) => log::info!("daemon={} outcome=stepped_down", node.settings.daemon),
        Ok(CommitEnd::Conflict { .. }) => {}
        Err(error) => log::warn!("daemon={} error={error} outcome=step_down_failed", node.settings.daemon),
    }
}

/// From where to follow changes after the first reading.
struct Versions {
    jobs: u64,
    workers: u64,
}

impl Leader {
    fn new(node: &Rc<Node>, claim: Claim) -> Leader {
        let settings = SchedSettings {
            max_lease_ms: node.settings.max_lease_ms,
            stop_grace_ms: node.settings.stop_grace_ms,
            holder_change_ms: node.settings.holder_change_ms,
            host_move_ms: node.settings.host_move_ms,
            upkeep_ms: node.settings.upkeep_ms,
            host_orders_per_s: node.settings.host_orders_per_s,
        };
        let holder = node.settings.daemon.clone();
        Leader {
            node: node.clone(),
            token: claim.token,
            sequence: Cell::new(claim.sequence),
            scheduler: RefCell::new(Scheduler::new(claim.claimed_us, settings)),
            is_over: Cell::new(false),
            changed: Signal::default(),
            session_signals: RefCell::default(),
            workers: WorkerClient::new(node.caller.clone()),
            orders: Orders::default(),
            hosts: node.settings.provider.map(|address| HostClient::new(node.caller.clone(), address, holder)),
            advice: node.settings.advice.map(|address| AdviceClient::new(node.caller.clone(), address)),
        }
    }

    pub(super) fn configure(&self, catalog: Arc<Catalog>) {
        self.scheduler.borrow_mut().configure(catalog);
        self.changed.notify();
    }

    pub(super) fn wave_ordered(&self, order: WaveOrder) {
        self.scheduler.borrow_mut().wave_ordered(order);
    }

    pub(super) fn now_us(&self) -> u64 {
        self.node.now_us()
    }

    /// Reads everything that former leaders and callers left.
    async fn load(&self) -> Result<Versions, StoreError> {
        let store = &self.node.store;
        let workers = store.worker_rows().await?;
        let records = store.read_all(RECORD_TABLE, LEADER_PARTITION).await?;
        let records: HashMap<Arc<str>, Vec<u8>> =
            records.rows.into_iter().filter_map(|row| Some((row.at.key, row.value?))).collect();
        let waves = store.read_all(WAVE_TABLE, LEADER_PARTITION).await?;
        let ordered = store.read_all(HOST_TABLE, LEADER_PARTITION).await?;
        let mut jobs: Vec<StoredRow> = Vec::new();
        let mut version = u64::MAX;
        for partition in store.partitions(JOB_TABLE).await? {
            let page = store.read_all(JOB_TABLE, &partition).await?;
            version = version.min(page.version);
            jobs.extend(page.rows);
        }
        let now_us = self.now_us();
        let unix_ms = self.node.clock.unix_ms();
        let mut scheduler = self.scheduler.borrow_mut();
        let stored: HashSet<&Arc<str>> = jobs.iter().map(|row| &row.at.key).collect();
        scheduler.remove_orphaned_records(records.keys().filter(|id| !stored.contains(id)).cloned().collect());
        scheduler.replace_registry(now_us, workers.rows.iter().filter_map(worker_entry).collect());
        for row in &jobs {
            if row.at.key.ends_with(CANCEL_SUFFIX) {
                continue;
            }
            let Some(value) = &row.value else { continue };
            let restored = match decode_spec(value) {
                Ok(spec) => {
                    let record = records.get(&row.at.key).map(Vec::as_slice);
                    scheduler.restore(now_us, unix_ms, row.at.key.clone(), spec, record)
                }
                Err(error) => Err(error),
            };
            if let Err(error) = restored {
                log::error!("job={} error={error} outcome=record_unreadable", row.at.key);
            }
        }
        for row in &waves.rows {
            let (Ok(number), Some(value)) = (row.at.key.parse(), &row.value) else { continue };
            match decode_hosts(value) {
                Ok(hosts) => scheduler.restore_wave(number, hosts),
                Err(error) => log::error!("wave={number} error={error} outcome=record_unreadable"),
            }
        }
        for row in &ordered.rows {
            let Some(value) = &row.value else { continue };
            match decode_hosts(value) {
                Ok(hosts) => scheduler.restore_host_orders(Some(hosts)),
                Err(error) => {
                    log::error!("key={} error={error} outcome=record_unreadable", row.at.key);
                    scheduler.restore_host_orders(None);
                }
            }
        }
        for row in &jobs {
            feeds::take_cancel(&mut scheduler, now_us, row);
        }
        log::info!("jobs={} records={} workers={} outcome=restored", jobs.len(), records.len(), workers.rows.len());
        let from = if version == u64::MAX { workers.version } else { version };
        Ok(Versions { jobs: from.min(workers.version), workers: workers.version })
    }

    /// Does what the scheduler asks.
    pub(super) fn pump(self: &Rc<Self>) {
        if self.is_over.get() {
            return;
        }
        let now_us = self.now_us();
        let actions = {
            let mut scheduler = self.scheduler.borrow_mut();
            scheduler.place_now(now_us);
            scheduler.take_actions()
        };
        for action in actions {
            self.perform(action);
        }
        if self.scheduler.borrow().wants_commit(now_us) {
            self.changed.notify();
        }
    }

    fn perform(self: &Rc<Self>, action: Action) {
        match action {
            Action::OpenSession { worker } => {
                let signal = Rc::new(Signal::default());
                self.session_signals.borrow_mut().insert(worker.clone(), signal.clone());
                spawn(sessions::keep(self.clone(), worker, signal));
            }
            Action::Start(_) | Action::Stop { .. } | Action::Pace { .. } => self.orders.push(self, action),
            Action::RequestAdvice { job, occurrence, step, workers } => {
                spawn(calls::ask_advice(self.clone(), job, occurrence, step, workers));
            }
            Action::MoveHost { host, pool } => spawn(calls::move_host(self.clone(), host, pool)),
            Action::MaintainHost { host, wave } => spawn(calls::maintain_host(self.clone(), host, wave)),
            Action::ReportWave { wave, complete } => spawn(calls::report_wave(self.clone(), wave, complete)),
            Action::CheckLeadership => self.changed.notify(),
        }
    }

    pub(super) fn wake_session(&self, worker: &Arc<str>) {
        if let Some(signal) = self.session_signals.borrow().get(worker) {
            signal.notify();
        }
    }

    /// Whether an order about a host may be sent now.
    pub(super) fn may_order_hosts(&self) -> bool {
        !self.is_over.get() && self.scheduler.borrow().is_lately_confirmed(self.now_us())
    }

    fn wake_all(&self) {
        for signal in self.session_signals.borrow().values() {
            signal.notify();
        }
    }
}

async fn tick(leader: Rc<Leader>) {
    let mut cut_off_since_us = None;
    while !leader.is_over.get() {
        let now_us = leader.now_us();
        let unix_ms = leader.node.clock.unix_ms();
        leader.scheduler.borrow_mut().tick(now_us, unix_ms);
        leader.pump();
        if leader.scheduler.borrow().silent_share() <= CUT_OFF_SHARE {
            cut_off_since_us = None;
        } else if now_us > *cut_off_since_us.get_or_insert(now_us) + CUT_OFF_MS * US_PER_MS {
            // Another daemon may reach more workers.
            log::warn!("daemon={} outcome=cut_off_from_workers", leader.node.settings.daemon);
            leader.node.no_claim_until_us.set(now_us + CUT_OFF_PAUSE_MS * US_PER_MS);
            resign(&leader.node).await;
        }
        leader.node.sleep_ms(TICK_MS).await;
    }
}
