//! The leader's part: feeds the scheduler and does what it asks.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;

use super::election::{owner_row, sequence_row, RELEASED};
use super::orders::Orders;
use super::{
    intake, sessions, Node, CANCEL_SUFFIX, JOB_TABLE, LEADER_PARTITION, PENDING_KEY, PHASE_TABLE, RECORD_TABLE,
    WAVE_TABLE,
};
use crate::clock::{US_PER_MS, US_PER_S};
use crate::platform::advice::AdviceClient;
use crate::platform::hosts::HostClient;
use crate::platform::workers::{worker_entry, WorkerClient};
use crate::reactor::{spawn, Signal};
use crate::sched::action::{Action, Batch};
use crate::sched::model::{Catalog, DutyEnd, JobId, WaveOrder};
use crate::sched::record::{decode_begun, decode_spec, encode_begun, encode_pending, encode_phases};
use crate::sched::scheduler::{SchedSettings, Scheduler};
use crate::store::{CommitEnd, RowKey, RowPage, StoreError, StoreTransaction, StoredRow};

/// Time between the scheduler's looks at the clock.
const TICK_MS: u64 = 50;
/// Least time between the beginnings of two transactions, in which changes gather.
const COMMIT_GAP_MS: u64 = 12;
/// Longest time without a transaction: each one tells the other daemons that the leader lives.
const RENEW_MS: u64 = 500;
const COMMIT_RETRY_MS: u64 = 40;
/// Longest wait for new jobs or changed workers.
const WATCH_MS: u64 = 1_000;
/// Pause between two looks at new jobs, in which further ones gather.
const JOB_PAUSE_MS: u64 = 10;
/// The same for changes of workers.
const WORKER_PAUSE_MS: u64 = 100;
const WATCH_RETRY_MS: u64 = 100;
/// Share of workers without an answer at which a leader steps down, after what time, and for how long it does not
/// lead again.
const CUT_OFF_SHARE: f64 = 0.6;
const CUT_OFF_MS: u64 = 500;
const CUT_OFF_PAUSE_MS: u64 = 6_000;
/// Time between removals of submissions of jobs that are over.
const REMOVE_MS: u64 = 600;
/// Time between readings of the provider's list of hosts.
const HOSTS_MS: u64 = 500;

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
    sequence: Cell<u64>,
    pub(super) scheduler: RefCell<Scheduler>,
    pub(super) is_over: Cell<bool>,
    changed: Signal,
    pub(super) session_signals: RefCell<HashMap<Arc<str>, Rc<Signal>>>,
    pub(super) workers: WorkerClient,
    pub(super) orders: Orders,
    hosts: Option<HostClient>,
    advice: Option<AdviceClient>,
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
    let writer = write(&leader);
    spawn(take_over(leader.clone()));
    writer.await;
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
    spawn(follow_jobs(leader.clone(), versions.jobs));
    spawn(follow_workers(leader.clone(), versions.workers));
    spawn(follow_hosts(leader.clone()));
    spawn(remove_over(leader.clone()));
    spawn(tick(leader.clone()));
    leader.pump();
}

/// Removes the submissions of jobs that are over, so that a later leader has little to read.
async fn remove_over(leader: Rc<Leader>) {
    while !leader.is_over.get() {
        leader.node.sleep_ms(REMOVE_MS).await;
        let mut jobs = leader.scheduler.borrow_mut().take_over();
        if jobs.is_empty() {
            continue;
        }
        let left = intake::remove_over(&leader.node, &jobs).await;
        jobs.retain(|job| !left.contains(job));
        let mut scheduler = leader.scheduler.borrow_mut();
        scheduler.submissions_removed(&jobs);
        scheduler.keep_over(left);
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
        scheduler.forget_records(records.keys().filter(|id| !stored.contains(id)).cloned().collect());
        scheduler.workers_listed(now_us, workers.rows.iter().filter_map(worker_entry).collect());
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
            match decode_begun(value) {
                Ok(hosts) => scheduler.restore_wave(number, hosts),
                Err(error) => log::error!("wave={number} error={error} outcome=record_unreadable"),
            }
        }
        for row in &jobs {
            take_cancel(&mut scheduler, now_us, row);
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
            Action::AskAdvice { job, occurrence, step, workers } => {
                spawn(ask_advice(self.clone(), job, occurrence, step, workers));
            }
            Action::MoveHost { host, pool } => spawn(move_host(self.clone(), host, pool)),
            Action::MaintainHost { host, wave } => spawn(maintain_host(self.clone(), host, wave)),
            Action::ReportWave { wave, complete } => spawn(report_wave(self.clone(), wave, complete)),
            Action::CheckLeadership => self.changed.notify(),
        }
    }

    pub(super) fn wake_session(&self, worker: &Arc<str>) {
        if let Some(signal) = self.session_signals.borrow().get(worker) {
            signal.notify();
        }
    }

    /// Whether an order about a host may be sent now.
    fn may_order_hosts(&self) -> bool {
        !self.is_over.get() && self.scheduler.borrow().is_lately_confirmed(self.now_us())
    }

    fn wake_all(&self) {
        for signal in self.session_signals.borrow().values() {
            signal.notify();
        }
    }
}

fn take_cancel(scheduler: &mut Scheduler, now_us: u64, row: &StoredRow) {
    if row.value.is_none() {
        return;
    }
    if let Some(id) = row.at.key.strip_suffix(CANCEL_SUFFIX) {
        scheduler.cancel(now_us, &JobId::from(id));
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

async fn follow_jobs(leader: Rc<Leader>, mut version: u64) {
    while !leader.is_over.get() {
        match leader.node.store.changes(JOB_TABLE, version, WATCH_MS).await {
            Ok(page) => {
                version = version.max(page.version);
                take_jobs(&leader, &page);
                leader.node.sleep_ms(JOB_PAUSE_MS).await;
            }
            Err(StoreError::HistoryGone) => match read_jobs(&leader).await {
                Ok(read) => version = read,
                Err(error) => log::warn!("error={error} outcome=jobs_unread"),
            },
            Err(error) => {
                log::debug!("error={error} outcome=jobs_unread");
                leader.node.sleep_ms(WATCH_RETRY_MS).await;
            }
        }
    }
}

/// Reads all submissions again, where the history of their changes was dropped.
async fn read_jobs(leader: &Rc<Leader>) -> Result<u64, StoreError> {
    let mut version = u64::MAX;
    for partition in leader.node.store.partitions(JOB_TABLE).await? {
        let page = leader.node.store.read_all(JOB_TABLE, &partition).await?;
        version = version.min(page.version);
        take_jobs(leader, &page);
    }
    Ok(if version == u64::MAX { 0 } else { version })
}

fn take_jobs(leader: &Rc<Leader>, page: &RowPage) {
    if leader.is_over.get() {
        return;
    }
    let now_us = leader.now_us();
    let unix_ms = leader.node.clock.unix_ms();
    {
        let mut scheduler = leader.scheduler.borrow_mut();
        for row in &page.rows {
            if row.at.key.ends_with(CANCEL_SUFFIX) {
                take_cancel(&mut scheduler, now_us, row);
                continue;
            }
            let Some(value) = &row.value else { continue };
            if scheduler.knows(&row.at.key) {
                continue;
            }
            match decode_spec(value) {
                Ok(spec) => scheduler.submit(now_us, unix_ms, row.at.key.clone(), spec),
                Err(error) => log::error!("job={} error={error} outcome=submission_unreadable", row.at.key),
            }
        }
    }
    leader.pump();
}

async fn follow_workers(leader: Rc<Leader>, version: u64) {
    let mut version = Some(version);
    while !leader.is_over.get() {
        let store = &leader.node.store;
        let read = match version {
            Some(after) => store.worker_changes(after, WATCH_MS).await,
            None => store.worker_rows().await,
        };
        match read {
            Ok(page) => {
                take_workers(&leader, &page, version.is_none());
                version = Some(page.version.max(version.unwrap_or(0)));
                leader.pump();
                leader.node.sleep_ms(WORKER_PAUSE_MS).await;
            }
            Err(StoreError::HistoryGone) => version = None,
            Err(error) => {
                log::debug!("error={error} outcome=workers_unread");
                leader.node.sleep_ms(WATCH_RETRY_MS).await;
            }
        }
    }
}

fn take_workers(leader: &Rc<Leader>, page: &RowPage, is_whole: bool) {
    let now_us = leader.now_us();
    let mut scheduler = leader.scheduler.borrow_mut();
    if is_whole {
        scheduler.workers_listed(now_us, page.rows.iter().filter_map(worker_entry).collect());
        return;
    }
    for row in &page.rows {
        match worker_entry(row) {
            Some(entry) => scheduler.worker_listed(now_us, entry),
            None => scheduler.worker_unlisted(&row.at.key),
        }
    }
}

async fn follow_hosts(leader: Rc<Leader>) {
    let Some(client) = leader.hosts.clone() else { return };
    while !leader.is_over.get() {
        match client.list().await {
            Ok(hosts) => leader.scheduler.borrow_mut().hosts_listed(leader.now_us(), hosts),
            Err(reason) => log::debug!("error={reason} outcome=hosts_unread"),
        }
        leader.pump();
        leader.node.sleep_ms(HOSTS_MS).await;
    }
}

async fn ask_advice(leader: Rc<Leader>, job: JobId, occurrence: u32, step: u32, workers: Vec<Arc<str>>) {
    let answer = match &leader.advice {
        Some(client) => client.ask(&job, occurrence, step, &workers).await,
        None => Err("the settings name no advice service".to_owned()),
    };
    if let Err(reason) = &answer {
        log::info!("job={job} step={step} error={reason} outcome=no_advice");
    }
    let answer = answer.ok();
    let now_us = leader.now_us();
    leader.scheduler.borrow_mut().advice_ended(now_us, (&job, occurrence, step), &workers, answer.as_ref());
    leader.pump();
}

async fn move_host(leader: Rc<Leader>, host: Arc<str>, pool: Arc<str>) {
    let end = match &leader.hosts {
        Some(client) if leader.may_order_hosts() => client.move_to(&host, &pool, leader.token).await,
        _ => DutyEnd::NotDone,
    };
    log::info!("host={host} pool={pool} end={end:?} outcome=move_ended");
    metrics::counter!("host_orders_total", "kind" => "move", "done" => (end == DutyEnd::Done).to_string()).increment(1);
    leader.scheduler.borrow_mut().move_ended(leader.now_us(), &host, &pool, end);
    leader.pump();
}

async fn maintain_host(leader: Rc<Leader>, host: Arc<str>, wave: u64) {
    let end = match &leader.hosts {
        Some(client) if leader.may_order_hosts() => client.maintain(&host, wave, leader.token).await,
        _ => DutyEnd::NotDone,
    };
    log::info!("host={host} wave={wave} end={end:?} outcome=maintenance_ended");
    metrics::counter!("host_orders_total", "kind" => "maintain", "done" => (end == DutyEnd::Done).to_string())
        .increment(1);
    leader.scheduler.borrow_mut().maintenance_ended(leader.now_us(), &host, wave, end);
    leader.pump();
}

async fn report_wave(leader: Rc<Leader>, wave: u64, complete: bool) {
    let written = match leader.node.store.report_wave(wave, complete).await {
        Ok(CommitEnd::Applied { .. }) => true,
        Ok(CommitEnd::Conflict { .. }) => false,
        Err(error) => {
            log::warn!("wave={wave} error={error} outcome=wave_report_failed");
            false
        }
    };
    leader.scheduler.borrow_mut().wave_reported(leader.now_us(), wave, complete, written);
}

/// Writes the scheduler's batches one after the other, until leadership is lost.
async fn write(leader: &Rc<Leader>) {
    let mut last_begun_us = 0;
    loop {
        wait_for_work(leader, last_begun_us).await;
        if leader.is_over.get() {
            return;
        }
        let now_us = leader.now_us();
        let batch = leader.scheduler.borrow_mut().take_batch(now_us);
        last_begun_us = now_us;
        if !write_batch(leader, &batch).await {
            return;
        }
        leader.pump();
    }
}

async fn wait_for_work(leader: &Rc<Leader>, last_begun_us: u64) {
    let renew_at_us = last_begun_us + RENEW_MS * US_PER_MS;
    loop {
        let now_us = leader.now_us();
        if leader.is_over.get() || now_us >= renew_at_us {
            return;
        }
        leader.scheduler.borrow_mut().acknowledge_without_writing();
        if leader.scheduler.borrow().wants_commit(now_us) {
            let earliest_us = last_begun_us + COMMIT_GAP_MS * US_PER_MS;
            if now_us < earliest_us {
                leader.node.sleep_ms((earliest_us - now_us).div_ceil(US_PER_MS)).await;
            }
            return;
        }
        let wait_ms = (renew_at_us - now_us).div_ceil(US_PER_MS);
        let deadline = std::time::Instant::now() + std::time::Duration::from_millis(wait_ms);
        let woken =
            leader.changed.until(|| leader.is_over.get() || leader.scheduler.borrow().wants_commit(leader.now_us()));
        let _ = crate::endpoint_client::before(deadline, woken).await;
    }
}

/// Repeats one batch until it is written; `false` if leadership is lost.
async fn write_batch(leader: &Rc<Leader>, batch: &Batch) -> bool {
    let transaction = transaction(leader, batch);
    for attempts in 0_u64.. {
        if leader.is_over.get() {
            return false;
        }
        let sent_us = leader.now_us();
        match leader.node.store.commit(&transaction).await {
            Ok(CommitEnd::Applied { version }) => {
                let taken_us = leader.now_us() - sent_us;
                metrics::histogram!("leader_commit_seconds").record(taken_us as f64 / US_PER_S as f64);
                leader.sequence.set(version);
                leader.scheduler.borrow_mut().batch_written(leader.now_us(), sent_us, batch);
                return true;
            }
            Ok(CommitEnd::Conflict { current }) => {
                let Some(sequence) = unanswered_success(leader, &current) else { return false };
                // Only this batch's own attempts are unaccounted for, so one of them was applied.
                leader.sequence.set(sequence);
                leader.scheduler.borrow_mut().batch_written(leader.now_us(), sent_us, batch);
                return true;
            }
            Err(StoreError::AnswerLost(reason)) => {
                // One line for each batch: a store that resets connections does so many times a second.
                let level = if attempts == 0 { log::Level::Warn } else { log::Level::Debug };
                log::log!(level, "error={reason} outcome=batch_unanswered");
                leader.node.sleep_ms(COMMIT_RETRY_MS).await;
            }
            Err(error) => {
                log::debug!("error={error} outcome=batch_not_written");
                leader.node.sleep_ms(COMMIT_RETRY_MS).await;
            }
        }
    }
    false
}

/// The new version of the sequence row, if this daemon still leads.
fn unanswered_success(leader: &Rc<Leader>, current: &[StoredRow]) -> Option<u64> {
    let mut sequence = None;
    for row in current {
        if row.at == owner_row() && row.version != leader.token {
            return None;
        }
        if row.at == sequence_row() && row.version > leader.sequence.get() {
            sequence = Some(row.version);
        }
    }
    sequence
}

fn transaction(leader: &Rc<Leader>, batch: &Batch) -> StoreTransaction {
    let mut transaction = StoreTransaction {
        expected: vec![(owner_row(), leader.token), (sequence_row(), leader.sequence.get())],
        writes: vec![(sequence_row(), Vec::new())],
        removals: Vec::new(),
    };
    for id in &batch.forgotten {
        transaction.removals.push(RowKey::new(RECORD_TABLE, LEADER_PARTITION, id));
    }
    for (id, record) in &batch.records {
        transaction.writes.push((RowKey::new(RECORD_TABLE, LEADER_PARTITION, id), record.clone()));
    }
    if !batch.phases.is_empty() {
        // The row before this transaction's was written by this leader or the last one, so the number is new.
        let key = format!("{:016x}", leader.sequence.get());
        transaction.writes.push((RowKey::new(PHASE_TABLE, LEADER_PARTITION, &key), encode_phases(&batch.phases)));
    }
    for (wave, hosts) in &batch.waves {
        let at = RowKey::new(WAVE_TABLE, LEADER_PARTITION, &wave.to_string());
        transaction.writes.push((at, encode_begun(hosts)));
    }
    if let Some(pending) = &batch.pending {
        let at = RowKey::new(PHASE_TABLE, LEADER_PARTITION, PENDING_KEY);
        transaction.writes.push((at, encode_pending(pending)));
    }
    transaction
}
