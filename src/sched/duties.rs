//! Moves hosts between pools, to where the demand is.
//!
//! Demand is what runs, what could run now, and what arrived a moment ago. Hosts without work go to pools that lack
//! room, first from the spare pool; hosts that nobody needs go to the spare pool, where they cost nothing.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::sync::Arc;

use super::demand::Balance;
use super::host_orders::HostOrder;
use super::job::Job;
use super::labels::{is_needed_for_label, LabelBalances};
use super::model::{HostOrderOutcome, HostPhase, HostRecord, JobId, Resources};
use super::scheduler::Scheduler;
use crate::clock::{US_PER_MS, US_PER_S};

/// Margin beyond the time that must pass between two holders' orders.
pub(super) const HOLDER_CHANGE_MARGIN_MS: u64 = 1_000;
/// Time between two decisions.
const DECIDE_MS: u64 = 100;
/// A pool's demand counts for so long after it was seen.
const DEMAND_KEPT_MS: u64 = 800;
/// Arrivals of this time tell what a pool is about to need: work that arrives in a second keeps so many cores busy.
const ARRIVALS_MS: u64 = 600;
/// Weight of the latest run in a queue's average of true to estimated run time.
const STRETCH_WEIGHT: f64 = 0.05;
/// A host without work and without need goes to the spare pool after this time.
const SPARE_AFTER_MS: u64 = 3_000;
/// Part of the provider's rate of orders that moves may use; the rest is for maintenance and repetitions.
const MOVE_RATE_SHARE: f64 = 0.8;
/// Longest time for which a host's work may end before it moves.
const EMPTY_MS: u64 = 2_500;
/// Time after which a move that brought no worker no longer counts as room on its way.
const ARRIVAL_MS: u64 = 4_000;
/// Pause before an order about the same host is repeated.
const RETRY_MS: u64 = 800;

/// A host on its way to a pool.
#[derive(Debug, Clone)]
struct Move {
    pool: Arc<str>,
    capacity: Resources,
    counts_until_us: u64,
    is_answered: bool,
    /// When an order without an answer is repeated.
    again_us: Option<u64>,
}

/// What is known about demand and moves.
#[derive(Debug)]
pub(crate) struct Duties {
    /// No order about a host before this time: a former leader may have sent one.
    pub(super) quiet_until_us: u64,
    /// When the provider's list was read last.
    pub(super) hosts_read_us: u64,
    decide_at_us: u64,
    /// Moves that may be ordered in this second, and when the next one begins.
    pub(super) moves_left: u32,
    next_second_us: u64,
    pub(super) report_at_us: u64,
    moving: BTreeMap<Arc<str>, Move>,
    /// Hosts whose work may end before they move to a pool, and for how long.
    emptying: BTreeMap<Arc<str>, (Arc<str>, u64)>,
    /// Recent demand of each pool in thousandths of a core, newest last.
    demand: BTreeMap<Arc<str>, VecDeque<(u64, u64)>>,
    /// Work that arrived lately for each pool, in thousandths of a core times milliseconds, newest last.
    arrivals: BTreeMap<Arc<str>, VecDeque<(u64, u64)>>,
    /// True run time of each queue's work items, as a multiple of their estimates.
    run_time_ratio: HashMap<Arc<str>, f64>,
    /// Pools that a host cannot join.
    pub(super) impossible: HashSet<(Arc<str>, Arc<str>)>,
    /// Jobs whose work is owed or can be done in time.
    pub(super) claims: HashSet<JobId>,
    /// Zones whose workers mostly do not answer.
    pub(super) silent_zones: HashSet<Arc<str>>,
    pub(super) not_before_us: BTreeMap<Arc<str>, u64>,
}

impl Duties {
    pub(super) fn new(now_us: u64, holder_change_ms: u64) -> Duties {
        Duties {
            quiet_until_us: now_us + (holder_change_ms + HOLDER_CHANGE_MARGIN_MS) * US_PER_MS,
            hosts_read_us: 0,
            decide_at_us: 0,
            moves_left: 0,
            next_second_us: 0,
            report_at_us: 0,
            moving: BTreeMap::new(),
            emptying: BTreeMap::new(),
            demand: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            run_time_ratio: HashMap::new(),
            impossible: HashSet::new(),
            claims: HashSet::new(),
            silent_zones: HashSet::new(),
            not_before_us: BTreeMap::new(),
        }
    }

    /// Hosts on their way.
    pub(super) fn moving_count(&self) -> usize {
        self.moving.len()
    }

    pub(super) fn is_moving(&self, host: &str) -> bool {
        self.moving.contains_key(host) || self.emptying.contains_key(host)
    }

    /// Counts the work of a job that arrived.
    pub(super) fn note_arrival(&mut self, now_us: u64, pool: &Arc<str>, job: &Job) {
        let mut work = 0;
        for step in &job.spec.steps {
            if !step.long_running {
                work += u64::from(step.count) * step.reserved().cpu_milli * step.estimate_ms;
            }
        }
        let ratio = self.run_time_ratio.get(&job.spec.queue.name).copied().unwrap_or(1.0);
        let recent = self.arrivals.entry(pool.clone()).or_default();
        recent.push_back((now_us, (work as f64 * ratio) as u64));
    }

    /// Takes the true run time of a work item into account.
    pub(super) fn note_run_time(&mut self, queue: &Arc<str>, estimate_ms: u64, run_ms: u64) {
        if estimate_ms == 0 {
            return;
        }
        let ratio = self.run_time_ratio.entry(queue.clone()).or_insert(1.0);
        *ratio += STRETCH_WEIGHT * (run_ms as f64 / estimate_ms as f64 - *ratio);
    }

    /// Processor that a pool's present arrivals keep busy, in thousandths of a core.
    pub(super) fn arriving_work(&mut self, now_us: u64, pool: &str) -> u64 {
        let Some(recent) = self.arrivals.get_mut(pool) else { return 0 };
        while recent.front().is_some_and(|(at_us, _)| now_us > at_us + ARRIVALS_MS * US_PER_MS) {
            recent.pop_front();
        }
        recent.iter().map(|(_, work)| work).sum::<u64>() / ARRIVALS_MS
    }

    /// Highest demand of a pool in the last moments.
    pub(super) fn recent_demand(&self, pool: &str) -> u64 {
        let demand = self.demand.get(pool);
        demand.and_then(|recent| recent.iter().map(|(_, milli)| *milli).max()).unwrap_or(0)
    }

    pub(super) fn note_demand(&mut self, now_us: u64, pool: &Arc<str>, milli: u64) {
        let recent = self.demand.entry(pool.clone()).or_default();
        recent.push_back((now_us, milli));
        while recent.front().is_some_and(|(at_us, _)| now_us > at_us + DEMAND_KEPT_MS * US_PER_MS) {
            recent.pop_front();
        }
    }

    /// Room that is on its way to a pool.
    pub(super) fn arriving(&self, now_us: u64, pool: &str) -> u64 {
        let mut milli = 0;
        for one in self.moving.values() {
            if &*one.pool == pool && now_us < one.counts_until_us {
                milli += one.capacity.cpu_milli;
            }
        }
        milli
    }

    /// Hosts on their way, and the pools that they join.
    pub(super) fn hosts_on_their_way(&self, now_us: u64) -> impl Iterator<Item = (&Arc<str>, &Arc<str>)> {
        let moving = self.moving.iter().filter(move |(_, one)| now_us < one.counts_until_us);
        let emptying = self.emptying.iter().map(|(host, (pool, _))| (host, pool));
        moving.map(|(host, one)| (host, &one.pool)).chain(emptying)
    }
}

impl Scheduler {
    /// Takes a reading of the provider's list.
    pub(crate) fn hosts_listed(&mut self, now_us: u64, hosts: Vec<HostRecord>) {
        self.hosts = hosts.into_iter().map(|host| (host.name.clone(), host)).collect();
        for (name, host) in &self.hosts {
            if let Some(worker) = &host.worker {
                self.on_host.insert(name.clone(), worker.clone());
            }
        }
        self.duties.hosts_read_us = now_us;
        let mut arrived = Vec::new();
        for (host, one) in &self.duties.moving {
            let is_there = self
                .worker_on(host)
                .is_some_and(|id| self.workers.get(&id).is_some_and(|worker| worker.entry.pool == one.pool));
            let is_spare = self.catalog.pool(&one.pool).is_some_and(|pool| pool.spare);
            if one.is_answered && (is_there || is_spare || now_us >= one.counts_until_us) {
                arrived.push(host.clone());
            }
        }
        for host in arrived {
            self.duties.moving.remove(&host);
        }
    }

    /// Decides which hosts change their pools.
    pub(super) fn move_hosts(&mut self, now_us: u64) {
        if now_us < self.duties.decide_at_us {
            return;
        }
        self.duties.decide_at_us = now_us + DECIDE_MS * US_PER_MS;
        let balances = self.balances(now_us);
        self.report_pools(now_us, &balances);
        if !self.may_order_hosts(now_us) {
            return;
        }
        if now_us >= self.duties.next_second_us {
            self.duties.next_second_us = now_us + US_PER_S;
            self.duties.moves_left = (f64::from(self.settings.host_orders_per_s) * MOVE_RATE_SHARE) as u32;
        }
        self.repeat_unanswered(now_us);
        self.move_emptied(now_us);
        let labels = self.label_balances(now_us);
        self.fill_gaps(now_us, &balances, &labels);
        self.rest_idle(now_us, &balances, &labels);
    }

    fn repeat_unanswered(&mut self, now_us: u64) {
        let mut again = Vec::new();
        for (host, one) in &mut self.duties.moving {
            if one.again_us.is_some_and(|again_us| now_us >= again_us) {
                one.again_us = None;
                again.push(HostOrder::Move { host: host.clone(), pool: one.pool.clone() });
            }
        }
        for order in again {
            self.host_orders.push(now_us, order);
        }
    }

    /// Lets a host's work end before it moves.
    pub(super) fn begin_emptying(&mut self, now_us: u64, host: &Arc<str>, pool: &Arc<str>) {
        self.cordon(host, true);
        self.duties.emptying.insert(host.clone(), (pool.clone(), now_us + EMPTY_MS * US_PER_MS));
    }

    /// Moves hosts whose work has ended, and gives up on those whose work goes on.
    fn move_emptied(&mut self, now_us: u64) {
        let emptying: Vec<(Arc<str>, Arc<str>, u64)> =
            self.duties.emptying.iter().map(|(host, (pool, until))| (host.clone(), pool.clone(), *until)).collect();
        for (host, pool, until_us) in emptying {
            let worker = self.worker_on(&host).and_then(|id| self.workers.get(&id));
            let is_empty = worker.is_some_and(|worker| worker.tasks.is_empty());
            if !is_empty && worker.is_some() && now_us < until_us {
                continue;
            }
            self.duties.emptying.remove(&host);
            if is_empty {
                self.order_move(now_us, &host, &pool);
            } else {
                self.cordon(&host, false);
            }
        }
    }

    /// Sends hosts that nobody needs to the spare pool.
    fn rest_idle(&mut self, now_us: u64, balances: &BTreeMap<Arc<str>, Balance>, labels: &LabelBalances) {
        let Some(spare) = self.catalog.pools.iter().find(|pool| pool.spare).map(|pool| pool.name.clone()) else {
            return;
        };
        let mut balances = balances.clone();
        let names: Vec<Arc<str>> = self.hosts.keys().cloned().collect();
        for name in names {
            if self.duties.moves_left == 0 {
                return;
            }
            let host = &self.hosts[&name];
            let capacity = host.capacity.cpu_milli;
            if host.pool == spare || !self.may_move(now_us, &name, host, &spare) {
                continue;
            }
            if !self.is_idle(now_us, &name, SPARE_AFTER_MS) || is_needed_for_label(host, labels) {
                continue;
            }
            let Some(balance) = balances.get_mut(&host.pool) else { continue };
            // One host stays, so that the pool's next job finds a worker at once.
            if balance.room < balance.all_demand() + capacity || balance.room <= capacity {
                continue;
            }
            balance.room -= capacity;
            self.order_move(now_us, &name, &spare);
        }
    }

    pub(super) fn order_move(&mut self, now_us: u64, host: &Arc<str>, pool: &Arc<str>) {
        self.cordon(host, true);
        self.duties.moves_left = self.duties.moves_left.saturating_sub(1);
        let capacity = self.hosts.get(host).map(|record| record.capacity).unwrap_or_default();
        let counts_until_us = now_us + (self.settings.host_move_ms + ARRIVAL_MS) * US_PER_MS;
        let one = Move { pool: pool.clone(), capacity, counts_until_us, is_answered: false, again_us: None };
        self.duties.moving.insert(host.clone(), one);
        log::info!("host={host} pool={pool} outcome=move_ordered");
        self.host_orders.push(now_us, HostOrder::Move { host: host.clone(), pool: pool.clone() });
    }

    /// An order to move a host was answered, or was not.
    pub(crate) fn move_ended(&mut self, now_us: u64, host: &Arc<str>, pool: &Arc<str>, end: HostOrderOutcome) {
        match end {
            HostOrderOutcome::Done => {
                self.host_taken(now_us, host);
                if let Some(record) = self.hosts.get_mut(host) {
                    record.phase = HostPhase::Moving;
                }
                if let Some(one) = self.duties.moving.get_mut(host) {
                    one.is_answered = true;
                }
            }
            HostOrderOutcome::Unanswered => {
                if let Some(one) = self.duties.moving.get_mut(host) {
                    one.again_us = Some(now_us + RETRY_MS * US_PER_MS);
                }
            }
            HostOrderOutcome::Invalid => {
                self.duties.impossible.insert((host.clone(), pool.clone()));
                self.end_move(now_us, host);
            }
            HostOrderOutcome::Busy
            | HostOrderOutcome::NotInWave
            | HostOrderOutcome::Fenced
            | HostOrderOutcome::Throttled
            | HostOrderOutcome::NotDone => {
                self.end_move(now_us, host);
            }
        }
    }

    fn end_move(&mut self, now_us: u64, host: &Arc<str>) {
        self.duties.moving.remove(host);
        self.duties.not_before_us.insert(host.clone(), now_us + RETRY_MS * US_PER_MS);
        self.cordon(host, false);
    }
}
