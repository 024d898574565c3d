//! Moves hosts between pools, to where the demand is.
//!
//! Demand is what runs, what could run now, and what arrived a moment ago. Hosts without work go to pools that lack
//! room, first from the spare pool; hosts that nobody needs go to the spare pool, where they cost nothing.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;

use super::action::Action;
use super::demand::Balance;
use super::job::Job;
use super::model::{DutyEnd, HostPhase, HostRecord, JobId, Resources};
use super::scheduler::Scheduler;
use crate::clock::{US_PER_MS, US_PER_S};

/// Margin beyond the time that must pass between two holders' orders.
const HOLDER_CHANGE_MARGIN_MS: u64 = 1_000;
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
/// A host without work may go to a pool that needs it after this time.
const LEND_AFTER_MS: u64 = 150;
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
    moves_left: u32,
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
    impossible: HashSet<(Arc<str>, Arc<str>)>,
    /// Jobs whose work is owed or can be done in time.
    pub(super) claims: HashSet<JobId>,
    /// Zones whose workers mostly do not answer.
    pub(super) silent_zones: HashSet<Arc<str>>,
    not_before_us: BTreeMap<Arc<str>, u64>,
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
}

/// A host that could move.
#[derive(Debug)]
struct Donor {
    host: Arc<str>,
    /// It has no work.
    is_free: bool,
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
        self.fill_gaps(now_us, &balances);
        self.rest_idle(now_us, &balances);
    }

    fn repeat_unanswered(&mut self, now_us: u64) {
        let mut again = Vec::new();
        for (host, one) in &mut self.duties.moving {
            if one.again_us.is_some_and(|again_us| now_us >= again_us) {
                one.again_us = None;
                again.push(Action::MoveHost { host: host.clone(), pool: one.pool.clone() });
            }
        }
        self.actions.extend(again);
    }

    /// Brings hosts to pools that lack room: first for work that is in time, then for the rest.
    fn fill_gaps(&mut self, now_us: u64, balances: &BTreeMap<Arc<str>, Balance>) {
        let mut balances = balances.clone();
        let mut taken = BTreeSet::new();
        for firm in [true, false] {
            let mut gaps: Vec<(u64, Arc<str>)> = Vec::new();
            for (pool, balance) in &balances {
                let demand = if firm { balance.demand } else { balance.all_demand() };
                if demand > balance.room {
                    gaps.push((demand - balance.room, pool.clone()));
                }
            }
            gaps.sort_by(|a, b| b.cmp(a));
            for (gap, pool) in gaps {
                self.fill_gap(now_us, &pool, gap, firm, &mut balances, &mut taken);
            }
        }
    }

    fn fill_gap(
        &mut self,
        now_us: u64,
        pool: &Arc<str>,
        mut gap: u64,
        firm: bool,
        balances: &mut BTreeMap<Arc<str>, Balance>,
        taken: &mut BTreeSet<Arc<str>>,
    ) {
        while gap > 0 && self.duties.moves_left > 0 {
            let Some(donor) = self.donor(now_us, pool, firm, balances, taken) else { return };
            taken.insert(donor.host.clone());
            let capacity = self.hosts.get(&donor.host).map_or(0, |record| record.capacity.cpu_milli);
            if let Some(balance) = self.hosts.get(&donor.host).and_then(|record| balances.get_mut(&record.pool)) {
                balance.room = balance.room.saturating_sub(capacity);
            }
            if let Some(balance) = balances.get_mut(pool) {
                balance.room += capacity;
            }
            if donor.is_free {
                self.order_move(now_us, &donor.host, pool);
            } else {
                self.begin_emptying(now_us, &donor.host, pool);
            }
            gap = gap.saturating_sub(capacity.max(1));
        }
    }

    /// A host that another pool can do without.
    fn donor(
        &self,
        now_us: u64,
        pool: &Arc<str>,
        firm: bool,
        balances: &BTreeMap<Arc<str>, Balance>,
        taken: &BTreeSet<Arc<str>>,
    ) -> Option<Donor> {
        let mut best: Option<(Reverse<u64>, bool, u64, &Arc<str>)> = None;
        for (name, host) in &self.hosts {
            if host.pool == *pool || taken.contains(name) || !self.may_move(now_us, name, host, pool) {
                continue;
            }
            let is_spare = self.catalog.pool(&host.pool).is_some_and(|pool| pool.spare);
            let (busy, surplus) = match balances.get(&host.pool) {
                Some(balance) if firm => {
                    let Some(busy) = self.busy_milli(now_us, name) else { continue };
                    (busy, balance.surplus())
                }
                Some(balance) => {
                    if !self.is_idle(now_us, name, LEND_AFTER_MS) {
                        continue;
                    }
                    (0, balance.room.saturating_sub(balance.all_demand()))
                }
                None if is_spare => (0, u64::MAX),
                None => continue,
            };
            if surplus < host.capacity.cpu_milli {
                continue;
            }
            let candidate = (Reverse(busy), is_spare, surplus, name);
            if best.as_ref().is_none_or(|known| candidate > *known) {
                best = Some(candidate);
            }
        }
        best.map(|(Reverse(busy), _, _, name)| Donor { host: name.clone(), is_free: busy == 0 })
    }

    /// Processor in use on a host that could be emptied soon; `None` if it should stay.
    fn busy_milli(&self, now_us: u64, host: &str) -> Option<u64> {
        let worker = self.worker_on(host).and_then(|id| self.workers.get(&id))?;
        if !worker.is_synced || worker.entry.draining || worker.is_cordoned || worker.lasting > 0 {
            return None;
        }
        if worker.tasks.is_empty() {
            return (now_us >= worker.idle_since_us + LEND_AFTER_MS * US_PER_MS).then_some(0);
        }
        // Only hosts whose work is late anyway are emptied for others.
        (self.firm_cpu_milli(worker) == 0).then_some(worker.reserved.cpu_milli.max(1))
    }

    /// Lets a host's work end before it moves.
    fn begin_emptying(&mut self, now_us: u64, host: &Arc<str>, pool: &Arc<str>) {
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

    fn may_move(&self, now_us: u64, name: &Arc<str>, host: &HostRecord, pool: &Arc<str>) -> bool {
        host.phase == HostPhase::Up
            && !self.duties.silent_zones.contains(&host.zone)
            && !self.duties.is_moving(name)
            && self.is_settled(now_us, name)
            && !self.waves.holds(name)
            && !self.duties.impossible.contains(&(name.clone(), pool.clone()))
            && self.duties.not_before_us.get(name).is_none_or(|not_before_us| now_us >= *not_before_us)
    }

    /// Whether a former leader's orders about a host lie far enough back: time has passed, or the host's worker has
    /// been running for longer than that.
    pub(super) fn is_settled(&self, now_us: u64, host: &str) -> bool {
        if now_us >= self.duties.quiet_until_us {
            return true;
        }
        let worker = self.worker_on(host).and_then(|id| self.workers.get(&id));
        let quiet_ms = self.settings.holder_change_ms + HOLDER_CHANGE_MARGIN_MS;
        worker.is_some_and(|worker| worker.is_synced && worker.age_ms() >= quiet_ms)
    }

    /// Whether a host's worker has had no work for so long.
    fn is_idle(&self, now_us: u64, host: &str, wait_ms: u64) -> bool {
        let Some(worker) = self.worker_on(host).and_then(|id| self.workers.get(&id)) else { return false };
        worker.tasks.is_empty()
            && worker.is_synced
            && !worker.entry.draining
            && now_us >= worker.idle_since_us + wait_ms * US_PER_MS
    }

    /// Sends hosts that nobody needs to the spare pool.
    fn rest_idle(&mut self, now_us: u64, balances: &BTreeMap<Arc<str>, Balance>) {
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
            if !self.is_idle(now_us, &name, SPARE_AFTER_MS) {
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

    fn order_move(&mut self, now_us: u64, host: &Arc<str>, pool: &Arc<str>) {
        self.cordon(host, true);
        self.duties.moves_left = self.duties.moves_left.saturating_sub(1);
        let capacity = self.hosts.get(host).map(|record| record.capacity).unwrap_or_default();
        let counts_until_us = now_us + (self.settings.host_move_ms + ARRIVAL_MS) * US_PER_MS;
        let one = Move { pool: pool.clone(), capacity, counts_until_us, is_answered: false, again_us: None };
        self.duties.moving.insert(host.clone(), one);
        log::info!("host={host} pool={pool} outcome=move_ordered");
        self.actions.push(Action::MoveHost { host: host.clone(), pool: pool.clone() });
    }

    /// An order to move a host was answered, or was not.
    pub(crate) fn move_ended(&mut self, now_us: u64, host: &Arc<str>, pool: &Arc<str>, end: DutyEnd) {
        match end {
            DutyEnd::Done => {
                self.host_taken(now_us, host);
                if let Some(record) = self.hosts.get_mut(host) {
                    record.phase = HostPhase::Moving;
                }
                if let Some(one) = self.duties.moving.get_mut(host) {
                    one.is_answered = true;
                }
            }
            DutyEnd::Unanswered => {
                if let Some(one) = self.duties.moving.get_mut(host) {
                    one.again_us = Some(now_us + RETRY_MS * US_PER_MS);
                }
            }
            DutyEnd::Invalid => {
                self.duties.impossible.insert((host.clone(), pool.clone()));
                self.end_move(now_us, host);
            }
            DutyEnd::Busy | DutyEnd::NotOfWave | DutyEnd::Fenced | DutyEnd::Throttled | DutyEnd::NotDone => {
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
