//! Which hosts take work, put together from the platform's lagging list and faster signs of departure.

#[cfg(test)]
mod fleet_tests;

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::US_PER_S;
use crate::platform::{HostChanges, HostEntry, HostState};

/// A departure that the list never confirms is forgotten after this time.
const FORGET_DEPARTURE_US: u64 = 600 * US_PER_S;
/// Departures are told to peers for this time.
const TELL_DEPARTURE_US: u64 = 60 * US_PER_S;

/// A host that leaves. A later epoch of the same host is not meant.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Departure {
    /// Host that leaves.
    pub host: Arc<str>,
    /// Epoch that leaves.
    pub epoch: u64,
}

#[derive(Debug, Clone, Copy)]
struct Departed {
    epoch: u64,
    at_us: u64,
}

/// What changed by a call.
#[derive(Debug, Default, PartialEq)]
pub struct FleetChange {
    /// Pools whose endpoints differ from before.
    pub pools: BTreeSet<Arc<str>>,
    /// Departures that were not known before.
    pub departures: Vec<Departure>,
}

/// Hosts known to this daemon.
#[derive(Debug, Default)]
pub struct Fleet {
    hosts: HashMap<Arc<str>, Arc<HostEntry>>,
    /// Names of each pool's hosts.
    by_pool: HashMap<Arc<str>, BTreeSet<Arc<str>>>,
    departed: HashMap<Arc<str>, Departed>,
    cursor: u64,
}

impl Fleet {
    /// No hosts.
    pub fn new() -> Fleet {
        Fleet::default()
    }

    /// Position in the platform's list up to which changes are known.
    pub fn cursor(&self) -> u64 {
        self.cursor
    }

    /// Takes over changes of the platform's list.
    pub fn apply_changes(&mut self, now_us: u64, changes: HostChanges) -> FleetChange {
        let mut change = FleetChange::default();
        self.cursor = changes.cursor;
        for entry in changes.hosts {
            self.apply_entry(now_us, entry, &mut change);
        }
        change
    }

    fn apply_entry(&mut self, now_us: u64, entry: HostEntry, change: &mut FleetChange) {
        let old = self.hosts.get(&entry.name);
        if old.is_some_and(|old| old.epoch > entry.epoch) {
            return;
        }
        change.pools.insert(entry.pool.clone());
        change.pools.extend(old.map(|old| old.pool.clone()));
        if entry.state == HostState::Live {
            if self.departed.get(&entry.name).is_some_and(|departed| departed.epoch < entry.epoch) {
                self.departed.remove(&entry.name);
            }
        } else {
            self.note_departure(now_us, &entry.name, entry.epoch, change);
        }
        self.remove(&entry.name);
        if entry.state != HostState::Gone {
            self.by_pool.entry(entry.pool.clone()).or_default().insert(entry.name.clone());
            self.hosts.insert(entry.name.clone(), Arc::new(entry));
        }
    }

    fn remove(&mut self, name: &str) {
        let Some(host) = self.hosts.remove(name) else { return };
        let Some(names) = self.by_pool.get_mut(&host.pool) else { return };
        names.remove(name);
        if names.is_empty() {
            self.by_pool.remove(&host.pool);
        }
    }

    /// Takes a sign from a peer or an endpoint that a host leaves.
    pub fn depart(&mut self, now_us: u64, departure: &Departure) -> FleetChange {
        let mut change = FleetChange::default();
        if let Some(host) = self.hosts.get(&departure.host) {
            if host.epoch > departure.epoch {
                return change;
            }
            change.pools.insert(host.pool.clone());
        }
        self.note_departure(now_us, &departure.host, departure.epoch, &mut change);
        if change.departures.is_empty() {
            change.pools.clear();
        }
        change
    }

    fn note_departure(&mut self, now_us: u64, host: &Arc<str>, epoch: u64, change: &mut FleetChange) {
        if self.departed.get(host).is_some_and(|known| known.epoch >= epoch) {
            return;
        }
        self.departed.insert(host.clone(), Departed { epoch, at_us: now_us });
        change.departures.push(Departure { host: host.clone(), epoch });
    }

    /// Hosts of a pool that take new work, in the order of names.
    pub fn endpoints(&self, pool: &str) -> Vec<Arc<HostEntry>> {
        let mut found = Vec::new();
        for name in self.by_pool.get(pool).into_iter().flatten() {
            let Some(host) = self.hosts.get(name) else { continue };
            if host.state == HostState::Live && !self.has_departed(host) {
                found.push(host.clone());
            }
        }
        found
    }

    fn has_departed(&self, host: &HostEntry) -> bool {
        self.departed.get(&host.name).is_some_and(|departed| departed.epoch >= host.epoch)
    }

    /// Every host with the state in which this daemon treats it, in the order of names.
    pub fn hosts(&self) -> Vec<HostEntry> {
        let mut all = Vec::new();
        for host in self.hosts.values() {
            let mut entry = HostEntry::clone(host);
            if self.has_departed(host) {
                entry.state = HostState::Leaving;
            }
            all.push(entry);
        }
        all.sort_by(|a, b| a.name.cmp(&b.name));
        all
    }

    /// Departures young enough to be told to peers, at most `limit`, newest first.
    pub fn recent_departures(&self, now_us: u64, limit: usize) -> Vec<Departure> {
        let mut recent: Vec<(u64, Departure)> = Vec::new();
        for (host, departed) in &self.departed {
            if now_us.saturating_sub(departed.at_us) <= TELL_DEPARTURE_US {
                recent.push((departed.at_us, Departure { host: host.clone(), epoch: departed.epoch }));
            }
        }
        recent.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.host.cmp(&b.1.host)));
        recent.truncate(limit);
        recent.into_iter().map(|(_, departure)| departure).collect()
    }

    /// Forgets departures that are settled: of hosts no longer listed, or never confirmed by the list.
    pub fn forget_old(&mut self, now_us: u64) -> FleetChange {
        let mut change = FleetChange::default();
        let mut forgotten = Vec::new();
        for (host, departed) in &self.departed {
            if now_us.saturating_sub(departed.at_us) > FORGET_DEPARTURE_US {
                forgotten.push(host.clone());
            }
        }
        for host in forgotten {
            self.departed.remove(&host);
            change.pools.extend(self.hosts.get(&host).map(|entry| entry.pool.clone()));
        }
        change
    }
}
