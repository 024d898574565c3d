//! Divides hosts between pools.
//!
//! The load that this answers: queues whose demand rises and falls by turns, to more than their pools hold, while hosts
//! take seconds to move and only some of them may be ordered per second. So a host goes first to a pool whose tasks
//! could use it now, whatever other pools expect; what is left goes to pools that expect work by the time at which the
//! host is there, and then to jobs that will miss their deadlines anyway.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use foldhash::HashSet;

use super::labels::{is_last_with_label, is_needed_for_label, LabelBalances};
use super::model::{HostRecord, Resources};

/// Capacity and demand of a pool, in thousandths of a core.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(crate) struct PoolBalance {
    /// Capacity of usable workers, and of hosts that are on their way to the pool.
    pub(crate) capacity: u64,
    /// Demand of on-time jobs (long-running ones, and those that can still meet their deadline) with headroom: their
    /// tasks that run, and those that could start now.
    pub(crate) present_demand: u64,
    /// Demand of on-time jobs when a host that is ordered now can run tasks; at least the present demand.
    pub(crate) expected_demand: u64,
    /// Demand of all other jobs, which only get capacity that no on-time job needs.
    pub(crate) late_demand: u64,
}

impl PoolBalance {
    pub(super) fn total_demand(&self) -> u64 {
        self.expected_demand + self.late_demand
    }

    fn demand(&self, tier: DemandTier) -> u64 {
        match tier {
            DemandTier::Present => self.present_demand,
            DemandTier::Expected => self.expected_demand,
            DemandTier::Late => self.total_demand(),
        }
    }

    fn surplus(&self, tier: DemandTier) -> u64 {
        self.capacity.saturating_sub(self.demand(tier))
    }

    fn shortfall(&self, tier: DemandTier) -> u64 {
        self.demand(tier).saturating_sub(self.capacity)
    }
}

/// Kinds of demand, in the order in which they get hosts. Each includes the ones before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum DemandTier {
    Present,
    Expected,
    Late,
}

/// Why a pool requests a host; this decides which hosts it may get.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestKind {
    /// No worker of the pool can run the tasks. Any host without long-running tasks may be drained.
    Unschedulable,
    /// The pool lacks capacity. Hosts of pools with a surplus are taken: those without tasks, and for on-time jobs also
    /// those whose own tasks all belong to late jobs.
    Shortfall(DemandTier),
}

/// A pool's request for one host.
#[derive(Debug)]
pub(super) struct HostRequest<'a> {
    pub(super) pool: &'a Arc<str>,
    /// Label that the host must have.
    pub(super) label: Option<&'a Arc<str>>,
    pub(super) kind: RequestKind,
    /// Capacity that the host must have.
    pub(super) needs: Resources,
}

/// What runs on a host that may be taken from its pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HostLoad {
    Idle,
    /// Tasks that are not long-running.
    Busy {
        reserved_milli: u64,
        /// Whether any of them belongs to an on-time job.
        has_on_time_tasks: bool,
    },
}

/// A host that may be taken from its pool.
#[derive(Debug, Clone)]
pub(super) struct MovableHost {
    pub(super) record: HostRecord,
    /// Whether it is in the spare pool.
    pub(super) is_spare: bool,
    /// Whether a wave has yet to take it down.
    pub(super) awaits_maintenance: bool,
    pub(super) load: HostLoad,
}

/// A host selected to move to another pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Transfer {
    pub(super) host: Arc<str>,
    pub(super) pool: Arc<str>,
    /// Whether it runs no tasks and can move at once; otherwise it is drained first.
    pub(super) is_idle: bool,
}

/// One division of hosts between pools: the balances after the transfers chosen so far, and the hosts that are left.
#[derive(Debug)]
pub(super) struct Allocation<'a> {
    pub(super) balances: BTreeMap<Arc<str>, PoolBalance>,
    pub(super) hosts: Vec<MovableHost>,
    pub(super) labels: &'a LabelBalances,
    /// Moves, as (host, pool), that the provider does not carry out.
    pub(super) rejected_moves: &'a HashSet<(Arc<str>, Arc<str>)>,
}

impl Allocation<'_> {
    /// Selects the best host for a request: the least busy one. Among equals, one that need not be maintained soon comes
    /// first, then one of the spare pool, then one of the pool with the largest surplus.
    pub(super) fn take_host(&mut self, request: &HostRequest<'_>) -> Option<Transfer> {
        let mut best: Option<(Reverse<u64>, bool, bool, u64, usize)> = None;
        for (index, host) in self.hosts.iter().enumerate() {
            let Some((busy_milli, surplus)) = self.offer(host, request) else { continue };
            let candidate = (Reverse(busy_milli), !host.awaits_maintenance, host.is_spare, surplus, index);
            if best.as_ref().is_none_or(|known| candidate > *known) {
                best = Some(candidate);
            }
        }
        let (Reverse(busy_milli), .., index) = best?;
        let host = self.hosts.swap_remove(index);
        let milli = host.record.capacity.cpu_milli;
        if let Some(balance) = self.balances.get_mut(&host.record.pool) {
            balance.capacity = balance.capacity.saturating_sub(milli);
        }
        if let Some(balance) = self.balances.get_mut(request.pool) {
            balance.capacity += milli;
        }
        Some(Transfer { host: host.record.name, pool: request.pool.clone(), is_idle: busy_milli == 0 })
    }

    /// How busy a host is and the surplus of its pool, if it may be taken for the request.
    fn offer(&self, host: &MovableHost, request: &HostRequest<'_>) -> Option<(u64, u64)> {
        let busy_milli = match (host.load, request.kind) {
            (HostLoad::Idle, _) => 0,
            (HostLoad::Busy { reserved_milli, .. }, RequestKind::Unschedulable) => reserved_milli.max(1),
            (HostLoad::Busy { .. }, RequestKind::Shortfall(DemandTier::Late)) => return None,
            (HostLoad::Busy { has_on_time_tasks: true, .. }, RequestKind::Shortfall(_)) => return None,
            (HostLoad::Busy { reserved_milli, .. }, RequestKind::Shortfall(_)) => reserved_milli.max(1),
        };
        let surplus = match (self.balances.get(&host.record.pool), request.kind) {
            (Some(_), RequestKind::Unschedulable) => u64::MAX,
            (Some(balance), RequestKind::Shortfall(tier)) => balance.surplus(tier),
            (None, _) if host.is_spare => u64::MAX,
            (None, _) => return None,
        };
        let record = &host.record;
        if record.pool == *request.pool || surplus < record.capacity.cpu_milli {
            return None;
        }
        if !record.offers(request.label, &request.needs) || self.must_stay(record, request.kind) {
            return None;
        }
        let is_rejected = !self.rejected_moves.is_empty()
            && self.rejected_moves.contains(&(record.name.clone(), request.pool.clone()));
        (!is_rejected).then_some((busy_milli, surplus))
    }

    /// Whether tasks in the host's pool need one of its labels.
    fn must_stay(&self, record: &HostRecord, kind: RequestKind) -> bool {
        if self.labels.is_empty() {
            return false;
        }
        match kind {
            RequestKind::Unschedulable => is_last_with_label(record, self.labels),
            RequestKind::Shortfall(_) => is_needed_for_label(record, self.labels),
        }
    }

    /// Selects up to `max_moves` hosts without tasks, and any number of hosts to drain, for pools that lack capacity. The
    /// pool that lacks the largest part of its demand comes first, so that a shortage is shared by all of them.
    pub(super) fn cover_shortfalls(&mut self, tier: DemandTier, mut max_moves: u32) -> Vec<Transfer> {
        let mut transfers = Vec::new();
        let mut unserved: BTreeSet<Arc<str>> = BTreeSet::new();
        while max_moves > 0 {
            let Some(pool) = self.neediest_pool(tier, &unserved) else { break };
            let kind = RequestKind::Shortfall(tier);
            let request = HostRequest { pool: &pool, label: None, kind, needs: Resources::default() };
            let Some(transfer) = self.take_host(&request) else {
                unserved.insert(pool);
                continue;
            };
            max_moves -= u32::from(transfer.is_idle);
            transfers.push(transfer);
        }
        transfers
    }

    /// The pool that lacks the largest part of its demand.
    fn neediest_pool(&self, tier: DemandTier, unserved: &BTreeSet<Arc<str>>) -> Option<Arc<str>> {
        let mut neediest: Option<(f64, &Arc<str>)> = None;
        for (pool, balance) in &self.balances {
            let shortfall = balance.shortfall(tier);
            if shortfall == 0 || unserved.contains(pool) {
                continue;
            }
            let lacking_share = shortfall as f64 / balance.demand(tier) as f64;
            if neediest.is_none_or(|(known, _)| lacking_share > known) {
                neediest = Some((lacking_share, pool));
            }
        }
        neediest.map(|(_, pool)| pool.clone())
    }
}
