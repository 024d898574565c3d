//! Moves hosts between pools to follow demand.
//!
//! Demand counts running tasks, tasks that could start now, and the forecast for arriving jobs. Idle hosts move to pools
//! that lack capacity, first those of the spare pool. Hosts that no pool needs move to the spare pool, where they cost
//! nothing.

use std::collections::BTreeMap;
use std::sync::Arc;

use foldhash::HashSet;

use super::allocation::PoolBalance;
use super::host_orders::HostOrder;
use super::labels::{is_needed_for_label, LabelBalances};
use super::model::{HostList, HostOrderOutcome, HostPhase, HostRecord, JobId};
use super::scheduler::Scheduler;
use crate::clock::{US_PER_MS, US_PER_S};

/// Margin added to [`leader_change_wait_ms`](super::scheduler::SchedSettings::leader_change_wait_ms).
pub(super) const LEADER_CHANGE_MARGIN_MS: u64 = 1_000;
/// Interval between decisions about moves.
const DECISION_INTERVAL_MS: u64 = 100;
/// Decisions about moves wait longer by this multiple of the time by which the leader is behind, up to
/// [`MAX_DECISION_BACKOFF_MS`]: each goes over all workers and their tasks.
const DECISION_BACKOFF_PER_LAG: u64 = 4;
const MAX_DECISION_BACKOFF_MS: u64 = 300;
/// How long a host that its pool does not need must be idle before it moves to the spare pool.
const IDLE_BEFORE_SPARE_MS: u64 = 3_000;
/// Share of the provider's order rate that moves may use; the rest is left for maintenance and retries.
const MOVE_RATE_SHARE: f64 = 0.8;
/// Hosts return to the spare pool only while the moves of this time are left for pools that begin to lack capacity.
const MOVES_RESERVED_FOR_DEMAND_S: f64 = 0.75;
/// Maximum time for which a host is drained before a move.
const MAX_DRAIN_MS: u64 = 2_500;
/// Time for a worker to start after its host has moved. After that, the host no longer counts as incoming capacity.
const WORKER_START_MS: u64 = 4_000;
/// Delay before an order to move a host is repeated, or another one is sent for the host after a refusal.
const MOVE_RETRY_DELAY_MS: u64 = 800;

/// A host that has been ordered to move to a pool.
#[derive(Debug, Clone)]
struct Move {
    pool: Arc<str>,
    /// Until then, the host counts as incoming capacity of the pool.
    incoming_until_us: u64,
    is_acknowledged: bool,
    /// When to repeat an order that got no answer.
    retry_us: Option<u64>,
}

/// Moves of hosts between pools.
#[derive(Debug)]
pub(crate) struct HostMoves {
    /// Until then, no order is sent for a host that a former leader may have sent an order for recently.
    pub(super) former_leader_orders_until_us: u64,
    /// When the provider's latest host list was requested; it shows the hosts as of a later moment.
    pub(super) list_requested_us: u64,
    /// The same, for the latest list of which every entry could be read.
    pub(super) complete_list_requested_us: u64,
    next_decision_us: u64,
    /// Moves that may still be ordered now.
    pub(super) moves_left: u32,
    /// `moves_left` with fractions, as of the latest refill.
    move_allowance: f64,
    refilled_us: u64,
    pub(super) next_report_us: u64,
    /// Balances of the latest decision, for the lab.
    #[cfg(any(test, feature = "lab"))]
    pub(super) latest_balances: BTreeMap<Arc<str>, PoolBalance>,
    moving: BTreeMap<Arc<str>, Move>,
    /// Hosts that are drained before a move, with the target pool and the time at which the drain is given up.
    draining: BTreeMap<Arc<str>, (Arc<str>, u64)>,
    /// Moves that the provider rejected as invalid, as (host, pool).
    pub(super) rejected_moves: HashSet<(Arc<str>, Arc<str>)>,
    /// Jobs that are long-running or can still meet their deadline.
    pub(super) on_time_jobs: HashSet<JobId>,
    /// Zones in which most workers do not answer.
    pub(super) silent_zones: HashSet<Arc<str>>,
    /// Hosts whose move failed, and when they may be ordered to move again.
    pub(super) retry_not_before_us: BTreeMap<Arc<str>, u64>,
}

impl HostMoves {
    pub(super) fn new(now_us: u64, leader_change_wait_ms: u64) -> HostMoves {
        HostMoves {
            former_leader_orders_until_us: now_us + (leader_change_wait_ms + LEADER_CHANGE_MARGIN_MS) * US_PER_MS,
            list_requested_us: 0,
            complete_list_requested_us: 0,
            next_decision_us: 0,
            moves_left: 0,
            move_allowance: 0.0,
            refilled_us: now_us,
            next_report_us: 0,
            #[cfg(any(test, feature = "lab"))]
            latest_balances: BTreeMap::new(),
            moving: BTreeMap::new(),
            draining: BTreeMap::new(),
            rejected_moves: HashSet::default(),
            on_time_jobs: HashSet::default(),
            silent_zones: HashSet::default(),
            retry_not_before_us: BTreeMap::new(),
        }
    }

    /// Adds the moves that may be ordered for the time since the last call; at most those of one second add up.
    fn refill_moves(&mut self, now_us: u64, moves_per_s: f64) {
        let elapsed_s = now_us.saturating_sub(self.refilled_us) as f64 / US_PER_S as f64;
        self.refilled_us = now_us;
        let ordered = self.move_allowance.floor() - f64::from(self.moves_left);
        self.move_allowance = (self.move_allowance - ordered + elapsed_s * moves_per_s).min(moves_per_s.max(1.0));
        self.moves_left = self.move_allowance as u32;
    }

    pub(super) fn moving_count(&self) -> usize {
        self.moving.len()
    }

    pub(super) fn is_moving(&self, host: &str) -> bool {
        self.moving.contains_key(host) || self.draining.contains_key(host)
    }

    /// Whether a host is drained for a move, or has been ordered to move and the order is not acknowledged.
    pub(super) fn is_leaving(&self, host: &str) -> bool {
        let is_unacknowledged = self.moving.get(host).is_some_and(|host_move| !host_move.is_acknowledged);
        is_unacknowledged || self.draining.contains_key(host)
    }

    /// Capacity of the hosts that are moving to a pool, or are drained in order to, in thousandths of a core.
    pub(super) fn incoming_capacity_milli(
        &self,
        now_us: u64,
        pool: &str,
        hosts: &BTreeMap<Arc<str>, HostRecord>,
    ) -> u64 {
        let mut milli = 0;
        for (host, target) in self.incoming_hosts(now_us) {
            if &**target == pool {
                milli += hosts.get(host).map_or(0, |record| record.capacity.cpu_milli);
            }
        }
        milli
    }

    /// Hosts that are moving, or are drained in order to move, with their target pools.
    pub(super) fn incoming_hosts(&self, now_us: u64) -> impl Iterator<Item = (&Arc<str>, &Arc<str>)> {
        let moving = self.moving.iter().filter(move |(_, host_move)| now_us < host_move.incoming_until_us);
        let draining = self.draining.iter().map(|(host, (pool, _))| (host, pool));
        moving.map(|(host, host_move)| (host, &host_move.pool)).chain(draining)
    }
}

impl Scheduler {
    /// Applies a list of hosts that was requested at `requested_us`. One that is not complete shows of no host that it is
    /// gone.
    pub(crate) fn host_list_read(&mut self, now_us: u64, requested_us: u64, list: HostList) {
        if list.is_complete {
            self.hosts_listed(now_us, requested_us, list.hosts);
            return;
        }
        let mut hosts = std::mem::take(&mut self.hosts);
        hosts.extend(list.hosts.into_iter().map(|host| (host.name.clone(), host)));
        self.update_hosts(now_us, requested_us, hosts);
    }

    /// Replaces the list of hosts by a new one from the provider, which was requested at `requested_us`. Drops moves that
    /// are complete, and releases the tasks of workers that have gone.
    pub(crate) fn hosts_listed(&mut self, now_us: u64, requested_us: u64, hosts: Vec<HostRecord>) {
        let hosts = hosts.into_iter().map(|host| (host.name.clone(), host)).collect();
        self.update_hosts(now_us, requested_us, hosts);
        self.host_moves.complete_list_requested_us = requested_us;
        self.release_tasks_of_gone_workers(now_us, requested_us);
    }

    fn update_hosts(&mut self, now_us: u64, requested_us: u64, hosts: BTreeMap<Arc<str>, HostRecord>) {
        self.hosts = hosts;
        for (name, host) in &self.hosts {
            if let Some(worker) = &host.worker {
                self.worker_by_host.insert(name.clone(), worker.clone());
            }
        }
        self.host_moves.list_requested_us = requested_us;
        let mut completed = Vec::new();
        for (host, host_move) in &self.host_moves.moving {
            let worker_has_joined = self
                .worker_on(host)
                .is_some_and(|id| self.workers.get(&id).is_some_and(|worker| worker.entry.pool == host_move.pool));
            let is_spare = self.catalog.pool(&host_move.pool).is_some_and(|pool| pool.spare);
            if host_move.is_acknowledged && (worker_has_joined || is_spare || now_us >= host_move.incoming_until_us) {
                completed.push(host.clone());
            }
        }
        for host in completed {
            self.host_moves.moving.remove(&host);
            self.set_cordoned(&host, false);
        }
    }

    /// Decides which hosts move to which pools.
    pub(super) fn move_hosts(&mut self, now_us: u64) {
        if now_us < self.host_moves.next_decision_us {
            return;
        }
        let interval_ms = DECISION_INTERVAL_MS + (DECISION_BACKOFF_PER_LAG * self.lag_ms).min(MAX_DECISION_BACKOFF_MS);
        self.host_moves.next_decision_us = now_us + interval_ms * US_PER_MS;
        let balances = self.pool_balances(now_us);
        self.report_pools(now_us, &balances);
        if !self.may_order_hosts(now_us) {
            return;
        }
        self.host_moves.refill_moves(now_us, f64::from(self.settings.host_orders_per_s) * MOVE_RATE_SHARE);
        self.retry_unanswered_moves(now_us);
        self.move_drained(now_us);
        let labels = self.label_balances(now_us);
        self.cover_shortfalls(now_us, &balances, &labels);
        self.return_idle_hosts(now_us, &balances, &labels);
        #[cfg(any(test, feature = "lab"))]
        {
            self.host_moves.latest_balances = balances;
        }
    }

    fn retry_unanswered_moves(&mut self, now_us: u64) {
        let mut retries = Vec::new();
        for (host, host_move) in &mut self.host_moves.moving {
            if host_move.retry_us.is_some_and(|retry_us| now_us >= retry_us) {
                host_move.retry_us = None;
                retries.push(HostOrder::Move { host: host.clone(), pool: host_move.pool.clone() });
            }
        }
        for order in retries {
            self.host_orders.push(now_us, order);
        }
    }

    /// Keeps new tasks off a host, so that it can move once its tasks have ended.
    pub(super) fn begin_drain(&mut self, now_us: u64, host: &Arc<str>, pool: &Arc<str>) {
        self.set_cordoned(host, true);
        self.host_moves.draining.insert(host.clone(), (pool.clone(), now_us + MAX_DRAIN_MS * US_PER_MS));
    }

    /// Moves hosts that are drained, and gives up on those whose tasks did not end in time.
    fn move_drained(&mut self, now_us: u64) {
        let draining: Vec<(Arc<str>, Arc<str>, u64)> =
            self.host_moves.draining.iter().map(|(host, (pool, until))| (host.clone(), pool.clone(), *until)).collect();
        for (host, pool, until_us) in draining {
            let worker = self.worker_on(&host).and_then(|id| self.workers.get(&id));
            let is_drained = worker.is_some_and(|worker| worker.tasks.is_empty());
            if !is_drained && worker.is_some() && now_us < until_us {
                continue;
            }
            self.host_moves.draining.remove(&host);
            if is_drained {
                self.order_move(now_us, &host, &pool);
            } else {
                self.set_cordoned(&host, false);
            }
        }
    }

    /// Moves hosts that their pools do not need to the spare pool.
    fn return_idle_hosts(&mut self, now_us: u64, balances: &BTreeMap<Arc<str>, PoolBalance>, labels: &LabelBalances) {
        let Some(spare) = self.catalog.pools.iter().find(|pool| pool.spare).map(|pool| pool.name.clone()) else {
            return;
        };
        let moves_per_s = f64::from(self.settings.host_orders_per_s) * MOVE_RATE_SHARE;
        // A provider that accepts few orders per second would otherwise never get one for the spare pool.
        let reserved_moves = (moves_per_s * MOVES_RESERVED_FOR_DEMAND_S).min(moves_per_s - 1.0).max(0.0) as u32;
        let mut balances = balances.clone();
        let names: Vec<Arc<str>> = self.hosts.keys().cloned().collect();
        for name in names {
            if self.host_moves.moves_left <= reserved_moves {
                return;
            }
            let host = &self.hosts[&name];
            let capacity = host.capacity.cpu_milli;
            if host.pool == spare || !self.may_move(now_us, &name, host, &spare) {
                continue;
            }
            if !self.is_idle(now_us, &name, IDLE_BEFORE_SPARE_MS) || is_needed_for_label(host, labels) {
                continue;
            }
            let Some(balance) = balances.get_mut(&host.pool) else { continue };
            // The rest covers the demand, and one host always stays, so that the pool's next job finds a worker at once.
            if balance.capacity < balance.total_demand() + capacity || balance.capacity <= capacity {
                continue;
            }
            balance.capacity -= capacity;
            self.order_move(now_us, &name, &spare);
        }
    }

    pub(super) fn order_move(&mut self, now_us: u64, host: &Arc<str>, pool: &Arc<str>) {
        self.set_cordoned(host, true);
        self.host_moves.moves_left = self.host_moves.moves_left.saturating_sub(1);
        let incoming_until_us = now_us + (self.settings.host_move_ms + WORKER_START_MS) * US_PER_MS;
        let host_move = Move { pool: pool.clone(), incoming_until_us, is_acknowledged: false, retry_us: None };
        self.host_moves.moving.insert(host.clone(), host_move);
        log::info!("host={host} pool={pool} outcome=move_ordered");
        self.host_orders.push(now_us, HostOrder::Move { host: host.clone(), pool: pool.clone() });
    }

    /// Handles the outcome of an order to move a host.
    pub(crate) fn on_move_outcome(&mut self, now_us: u64, host: &Arc<str>, pool: &Arc<str>, outcome: HostOrderOutcome) {
        match outcome {
            HostOrderOutcome::Done => {
                self.host_removed(now_us, host);
                if let Some(record) = self.hosts.get_mut(host) {
                    record.phase = HostPhase::Moving;
                }
                if let Some(host_move) = self.host_moves.moving.get_mut(host) {
                    host_move.is_acknowledged = true;
                }
            }
            HostOrderOutcome::Unanswered => {
                if let Some(host_move) = self.host_moves.moving.get_mut(host) {
                    host_move.retry_us = Some(now_us + MOVE_RETRY_DELAY_MS * US_PER_MS);
                }
            }
            HostOrderOutcome::Invalid => {
                self.host_moves.rejected_moves.insert((host.clone(), pool.clone()));
                self.abort_move(now_us, host);
            }
            HostOrderOutcome::Busy
            | HostOrderOutcome::NotInWave
            | HostOrderOutcome::Fenced
            | HostOrderOutcome::Throttled
            | HostOrderOutcome::NotDone => {
                self.abort_move(now_us, host);
            }
        }
    }

    fn abort_move(&mut self, now_us: u64, host: &Arc<str>) {
        self.host_moves.moving.remove(host);
        self.host_moves.retry_not_before_us.insert(host.clone(), now_us + MOVE_RETRY_DELAY_MS * US_PER_MS);
        self.set_cordoned(host, false);
    }
}
