//! Which hosts go to pools that lack room.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::demand::Balance;
use super::duties::HOLDER_CHANGE_MARGIN_MS;
use super::labels::{is_last_with_label, is_needed_for_label, LabelBalances};
use super::model::{HostPhase, HostRecord};
use super::scheduler::Scheduler;
use crate::clock::US_PER_MS;

/// A host without work may go to a pool that needs it after this time.
const LEND_AFTER_MS: u64 = 150;

/// A host that could move.
#[derive(Debug)]
struct Donor {
    host: Arc<str>,
    /// It has no work.
    is_free: bool,
}

/// How much a pool wants a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Urge {
    /// For work that is late anyway; only hosts without work are taken.
    Late,
    /// For work that is owed or can be in time; hosts whose own work is late may be emptied for it.
    Firm,
    /// No worker of the pool could run the work; any host without work that lasts may be emptied for it.
    Barred,
}

/// What a pool wants.
#[derive(Debug)]
struct Wish<'a> {
    pool: &'a Arc<str>,
    /// Label that the host must have.
    label: Option<&'a Arc<str>>,
    urge: Urge,
}

/// What one search for hosts has taken so far.
#[derive(Debug)]
struct Search<'a> {
    balances: BTreeMap<Arc<str>, Balance>,
    labels: &'a LabelBalances,
    taken: BTreeSet<Arc<str>>,
}

impl Scheduler {
    /// Brings hosts to pools that lack room: first for work that is in time, then for the rest.
    pub(super) fn fill_gaps(&mut self, now_us: u64, balances: &BTreeMap<Arc<str>, Balance>, labels: &LabelBalances) {
        let mut search = Search { balances: balances.clone(), labels, taken: BTreeSet::new() };
        for ((pool, label), balance) in labels {
            let urge = if balance.has_no_room() { Urge::Barred } else { Urge::Firm };
            let wish = Wish { pool, label: Some(label), urge };
            self.fill_gap(now_us, &wish, balance.gap(), &mut search);
        }
        for urge in [Urge::Firm, Urge::Late] {
            let mut gaps: Vec<(u64, Arc<str>)> = Vec::new();
            for (pool, balance) in &search.balances {
                let demand = if urge == Urge::Firm { balance.demand } else { balance.all_demand() };
                if demand > balance.room {
                    gaps.push((demand - balance.room, pool.clone()));
                }
            }
            gaps.sort_by(|a, b| b.cmp(a));
            for (gap, pool) in gaps {
                let wish = Wish { pool: &pool, label: None, urge };
                self.fill_gap(now_us, &wish, gap, &mut search);
            }
        }
    }

    fn fill_gap(&mut self, now_us: u64, wish: &Wish<'_>, mut gap: u64, search: &mut Search<'_>) {
        while gap > 0 && self.duties.moves_left > 0 {
            let Some(donor) = self.donor(now_us, wish, search) else { return };
            search.taken.insert(donor.host.clone());
            let capacity = self.hosts.get(&donor.host).map_or(0, |record| record.capacity.cpu_milli);
            if let Some(balance) = self.hosts.get(&donor.host).and_then(|record| search.balances.get_mut(&record.pool))
            {
                balance.room = balance.room.saturating_sub(capacity);
            }
            if let Some(balance) = search.balances.get_mut(wish.pool) {
                balance.room += capacity;
            }
            if donor.is_free {
                self.order_move(now_us, &donor.host, wish.pool);
            } else {
                self.begin_emptying(now_us, &donor.host, wish.pool);
            }
            gap = gap.saturating_sub(capacity.max(1));
        }
    }

    /// A host that another pool can do without.
    fn donor(&self, now_us: u64, wish: &Wish<'_>, search: &Search<'_>) -> Option<Donor> {
        let mut best: Option<(Reverse<u64>, bool, u64, &Arc<str>)> = None;
        for (name, host) in &self.hosts {
            if host.pool == *wish.pool || wish.label.is_some_and(|label| !host.labels.contains(label)) {
                continue;
            }
            if search.taken.contains(name) || !self.may_move(now_us, name, host, wish.pool) {
                continue;
            }
            let is_kept = match wish.urge {
                Urge::Barred => is_last_with_label(host, search.labels),
                Urge::Firm | Urge::Late => is_needed_for_label(host, search.labels),
            };
            if is_kept {
                continue;
            }
            let is_spare = self.catalog.pool(&host.pool).is_some_and(|pool| pool.spare);
            let (busy, surplus) = match search.balances.get(&host.pool) {
                Some(_) if wish.urge == Urge::Barred => {
                    let Some(busy) = self.busy_milli(now_us, name, wish.urge) else { continue };
                    (busy, u64::MAX)
                }
                Some(balance) if wish.urge == Urge::Firm => {
                    let Some(busy) = self.busy_milli(now_us, name, wish.urge) else { continue };
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
    fn busy_milli(&self, now_us: u64, host: &str, urge: Urge) -> Option<u64> {
        let worker = self.worker_on(host).and_then(|id| self.workers.get(&id))?;
        if !worker.is_synced || worker.entry.draining || worker.is_cordoned || worker.long_running_count > 0 {
            return None;
        }
        if worker.tasks.is_empty() {
            return (now_us >= worker.idle_since_us + LEND_AFTER_MS * US_PER_MS).then_some(0);
        }
        // Only hosts whose work is late anyway are emptied for others.
        (urge == Urge::Barred || self.firm_cpu_milli(worker) == 0).then_some(worker.reserved.cpu_milli.max(1))
    }

    pub(super) fn may_move(&self, now_us: u64, name: &Arc<str>, host: &HostRecord, pool: &Arc<str>) -> bool {
        host.phase == HostPhase::Up
            && !self.duties.silent_zones.contains(&host.zone)
            && !self.duties.is_moving(name)
            && self.is_settled(now_us, name)
            && !self.waves.holds(name)
            && !self.duties.impossible.contains(&(name.clone(), pool.clone()))
            && self.duties.not_before_us.get(name).is_none_or(|not_before_us| now_us >= *not_before_us)
    }

    /// Whether a former leader's orders about a host lie far enough back: it recorded none, time has passed, or the
    /// host's worker has been running for longer than that.
    pub(super) fn is_settled(&self, now_us: u64, host: &str) -> bool {
        if !self.host_orders.is_inherited(host) || now_us >= self.duties.quiet_until_us {
            return true;
        }
        let worker = self.worker_on(host).and_then(|id| self.workers.get(&id));
        let quiet_ms = self.settings.holder_change_ms + HOLDER_CHANGE_MARGIN_MS;
        worker.is_some_and(|worker| worker.is_synced && worker.uptime_ms() >= quiet_ms)
    }

    /// Whether a host's worker has had no work for so long.
    pub(super) fn is_idle(&self, now_us: u64, host: &str, wait_ms: u64) -> bool {
        let Some(worker) = self.worker_on(host).and_then(|id| self.workers.get(&id)) else { return false };
        worker.tasks.is_empty()
            && worker.is_synced
            && !worker.entry.draining
            && now_us >= worker.idle_since_us + wait_ms * US_PER_MS
    }
}
