//! Estimates how long a job that arrives now would wait before it starts.
//!
//! The estimate is a lower bound: work is spread evenly over all of a pool's capacity, and over capacity that the pool may
//! get; work of one organisation never waits for more than what its quota lets run.

#[cfg(test)]
mod admission_tests;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::job::ShareClass;

/// Shorter waits are not reported, and all are rounded down to a multiple of this.
const WAIT_UNIT_MS: u64 = 100;
/// A pool has room for a job that arrives now if less than this share of every resource is reserved. Above it, tasks may
/// find no room although some is free on each worker.
pub(super) const FULL_SHARE: f64 = 0.75;

/// Most bytes that the length of a name and the numbers beside it take in a stored report.
const MAX_NUMBERS_BYTES: usize = 40;

/// Work of one organisation's jobs that waits in a pool.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Backlog {
    /// `None` for jobs without an organisation.
    pub(crate) organisation: Option<Arc<str>>,
    pub(crate) class: ShareClass,
    /// Priority of the jobs' queue; lower values are scheduled first.
    pub(crate) priority: u32,
    /// Thousandths of a core times milliseconds, as expected from the estimates and the queue's run times.
    pub(crate) work: u64,
    /// [`Organisation::weight`](super::organisation::Organisation::weight); 0 if the organisation is no longer configured.
    pub(crate) weight: f64,
    /// CPU that the organisation's runs may hold, in thousandths of a core; [`u64::MAX`] if there is no limit.
    pub(crate) cap_milli: u64,
}

/// What waits in a pool, and what can run it.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct PoolLoad {
    pub(crate) backlog: Vec<Backlog>,
    /// CPU of the pool's workers that long-running tasks do not hold, in thousandths of a core.
    pub(crate) capacity_milli: u64,
    /// CPU that the pool may get: hosts on their way to it, spare hosts, and idle hosts of other pools.
    pub(crate) expected_milli: u64,
    /// Highest share of a resource of the pool's workers that is reserved.
    pub(crate) reserved_share: f64,
}

/// How long a job that arrives now would wait in a pool, in a queue of this priority or a less urgent one, up to the
/// priority of the pool's next entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PoolWait {
    pub(crate) pool: Arc<str>,
    /// Lower values are scheduled first.
    pub(crate) priority: u32,
    /// Time until all work within the rate that waits now has started.
    pub(crate) within_rate_ms: u64,
    /// Wait of a job beyond its organisation's rate.
    pub(crate) beyond_rate_ms: u64,
    /// Wait of a job within the rate, for each organisation that has such jobs waiting, by name. A job of another
    /// organisation does not wait, since its organisation has less than its share.
    pub(crate) by_organisation: Vec<(Arc<str>, u64)>,
}

/// What daemons need to know to refuse jobs that would wait for too long.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AdmissionReport {
    /// Pools in which a job would wait, by name and priority.
    pub(crate) waits: Vec<PoolWait>,
    /// Organisations that submit beyond their rate, by name.
    pub(crate) beyond_rate: Vec<Arc<str>>,
}

impl AdmissionReport {
    pub(crate) fn is_empty(&self) -> bool {
        self.waits.is_empty() && self.beyond_rate.is_empty()
    }

    /// How long a job of an organisation would wait in a queue of a pool; 0 if the report does not say.
    pub(crate) fn wait_ms(&self, pool: &str, priority: u32, organisation: Option<&Arc<str>>) -> u64 {
        let following = self.waits.partition_point(|wait| (&*wait.pool, wait.priority) <= (pool, priority));
        let Some(wait) = self.waits[..following].last().filter(|wait| *wait.pool == *pool) else { return 0 };
        let Some(organisation) = organisation else { return wait.within_rate_ms };
        if self.beyond_rate.binary_search(organisation).is_ok() {
            return wait.beyond_rate_ms;
        }
        let own = wait.by_organisation.binary_search_by(|(name, _)| name.cmp(organisation));
        own.map_or(0, |position| wait.by_organisation[position].1)
    }

    /// Leaves out the shortest waits, and then organisations, until the report takes no more than `max_bytes` in a row. Nobody
    /// is refused for what is left out. Returns the number of waits that are left out.
    pub(crate) fn limit_to(&mut self, max_bytes: usize) -> usize {
        let mut bytes = 0;
        let mut fits = |name: &str| {
            bytes += name.len() + MAX_NUMBERS_BYTES;
            bytes <= max_bytes
        };
        self.beyond_rate.retain(|name| fits(name));
        let mut by_length: Vec<usize> = (0..self.waits.len()).collect();
        by_length.sort_by_key(|index| std::cmp::Reverse(self.waits[*index].longest_ms()));
        let mut left_out = BTreeSet::new();
        for index in by_length {
            let wait = &mut self.waits[index];
            if !fits(&wait.pool) {
                left_out.insert(index);
                continue;
            }
            wait.by_organisation.retain(|(name, _)| fits(name));
        }
        let mut index = 0..;
        self.waits.retain(|_| index.next().is_some_and(|index| !left_out.contains(&index)));
        left_out.len()
    }
}

impl PoolWait {
    fn longest_ms(&self) -> u64 {
        self.within_rate_ms.max(self.beyond_rate_ms)
    }
}

/// Estimates the wait in each pool. Leaves out pools in which a job would not wait.
pub(crate) fn pool_waits(pools: &BTreeMap<Arc<str>, PoolLoad>) -> Vec<PoolWait> {
    let mut waits: Vec<PoolWait> = Vec::new();
    for (pool, load) in pools {
        // Between two priorities of waiting jobs, the wait is the same.
        let mut priorities: BTreeSet<u32> = load.backlog.iter().map(|backlog| backlog.priority).collect();
        priorities.insert(0);
        for priority in priorities {
            let within_rate_ms = wait_ms(load, ShareClass::WithinRate, priority);
            let wait = PoolWait {
                pool: pool.clone(),
                priority,
                within_rate_ms,
                beyond_rate_ms: wait_ms(load, ShareClass::BeyondRate, priority),
                by_organisation: waits_by_organisation(load, priority, within_rate_ms),
            };
            let follows_another = waits.last().is_some_and(|last| last.pool == *pool);
            if wait.longest_ms() > 0 || follows_another {
                waits.push(wait);
            }
        }
    }
    waits
}

/// Time until a job of a class and priority can start, rounded down.
fn wait_ms(load: &PoolLoad, class: ShareClass, priority: u32) -> u64 {
    // A pool without known workers may just not have been heard of yet.
    if load.capacity_milli == 0 || load.reserved_share < FULL_SHARE {
        return 0;
    }
    let mut ahead: BTreeMap<Option<&Arc<str>>, (u64, u64)> = BTreeMap::new();
    for backlog in &load.backlog {
        let is_ahead = backlog.class < class || (backlog.class == class && backlog.priority <= priority);
        if !is_ahead || backlog.work == 0 || backlog.cap_milli == 0 {
            continue;
        }
        let (work, cap_milli) = ahead.entry(backlog.organisation.as_ref()).or_default();
        *work = work.saturating_add(backlog.work);
        *cap_milli = backlog.cap_milli;
    }
    let capacity_milli = load.capacity_milli.saturating_add(load.expected_milli);
    rounded(time_until_room_ms(ahead.into_values().collect(), capacity_milli as f64))
}

fn rounded(wait_ms: f64) -> u64 {
    let ms = wait_ms as u64;
    ms - ms % WAIT_UNIT_MS
}

/// Wait of a job within the rate of each organisation that has such jobs waiting: the time in which its share of the
/// capacity does its own work, but no longer than `all_ms`, after which everybody's is done.
fn waits_by_organisation(load: &PoolLoad, priority: u32, all_ms: u64) -> Vec<(Arc<str>, u64)> {
    let mut own: BTreeMap<&Arc<str>, (f64, f64)> = BTreeMap::new();
    for backlog in &load.backlog {
        let Some(organisation) = &backlog.organisation else { continue };
        if backlog.class != ShareClass::WithinRate || backlog.priority > priority {
            continue;
        }
        let (work, weight) = own.entry(organisation).or_default();
        *work += backlog.work as f64;
        *weight = backlog.weight;
    }
    let all_weights: f64 = own.values().map(|(_, weight)| weight).sum();
    let capacity_milli = load.capacity_milli.saturating_add(load.expected_milli) as f64;
    let mut waits = Vec::new();
    for (organisation, (work, weight)) in own {
        let share_milli = capacity_milli * weight / all_weights;
        // Without a weight, an organisation gets only what the others leave.
        let own_ms = if share_milli > 0.0 { rounded(work / share_milli) } else { all_ms };
        let wait_ms = own_ms.min(all_ms);
        if wait_ms > 0 {
            waits.push((organisation.clone(), wait_ms));
        }
    }
    waits
}

/// Time until less than all capacity is in use, if each organisation, given as (work, cap), uses up to its cap until its
/// work is done.
fn time_until_room_ms(organisations: Vec<(u64, u64)>, capacity_milli: f64) -> f64 {
    let mut by_end: Vec<(f64, f64, f64)> = Vec::with_capacity(organisations.len());
    for (work, cap_milli) in organisations {
        let (work, rate) = (work as f64, (cap_milli as f64).min(capacity_milli));
        by_end.push((work / rate, work, rate));
    }
    by_end.sort_by(|left, right| left.0.total_cmp(&right.0));
    let mut rate: f64 = by_end.iter().map(|(_, _, rate)| rate).sum();
    let mut done_work = 0.0;
    for (end_ms, work, own_rate) in by_end {
        // By this time the pool has done `capacity * time`; the organisations can have used `done_work + rate * time`.
        let room_ms = done_work / (capacity_milli - rate);
        if rate < capacity_milli && room_ms <= end_ms {
            return room_ms;
        }
        done_work += work;
        rate -= own_rate;
    }
    done_work / capacity_milli
}
