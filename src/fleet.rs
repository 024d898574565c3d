//! Tracks which hosts accept requests, from the platform's host list and from departures. The list lags behind the
//! hosts' actual state; endpoints and peers report departures earlier.

#[cfg(test)]
mod fleet_tests;

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::US_PER_S;
use crate::platform::{HostChanges, HostEntry, HostState};

/// Departures are removed after this time. A host that the platform's list still reports as live is then used again.
const DEPARTURE_RETENTION_US: u64 = 600 * US_PER_S;
/// Departures are included in gossip for this time after they are recorded.
const DEPARTURE_GOSSIP_US: u64 = 60 * US_PER_S;

/// Report that a host is leaving. It applies to the given epoch of the host and to earlier ones, not to later ones.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Departure {
    /// Name of the host.
    pub host: Arc<str>,
    /// Epoch of the host that ends.
    pub epoch: u64,
}

/// Latest departure of a host.
#[derive(Debug, Clone, Copy)]
struct DepartureRecord {
    /// Latest epoch of the host that is known to end.
    epoch: u64,
    /// When this daemon recorded the departure.
    recorded_at_us: u64,
}

/// Effects of a change to the [`Fleet`].
#[derive(Debug, Default, PartialEq)]
pub struct FleetChange {
    /// Pools whose endpoints may have changed.
    pub pools: BTreeSet<Arc<str>>,
    /// Departures recorded for the first time.
    pub departures: Vec<Departure>,
}

/// Hosts known to this daemon.
#[derive(Debug, Default)]
pub struct Fleet {
    hosts: HashMap<Arc<str>, Arc<HostEntry>>,
    /// Names of each pool's hosts.
    by_pool: HashMap<Arc<str>, BTreeSet<Arc<str>>>,
    /// Latest departure of each host, by host name.
    departures: HashMap<Arc<str>, DepartureRecord>,
    cursor: u64,
}

impl Fleet {
    /// Creates a fleet without hosts.
    pub fn new() -> Fleet {
        Fleet::default()
    }

    /// Cursor of the last changes applied, to read the next ones from the platform.
    pub fn cursor(&self) -> u64 {
        self.cursor
    }

    /// Applies changes of the platform's host list.
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
            if self.departures.get(&entry.name).is_some_and(|record| record.epoch < entry.epoch) {
                self.departures.remove(&entry.name);
            }
        } else {
            self.insert_departure(now_us, &entry.name, entry.epoch, change);
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

    /// Records a departure reported by a peer or an endpoint. The change is empty if the departure is already known or
    /// if a later epoch of the host is listed.
    pub fn record_departure(&mut self, now_us: u64, departure: &Departure) -> FleetChange {
        let mut change = FleetChange::default();
        if let Some(host) = self.hosts.get(&departure.host) {
            if host.epoch > departure.epoch {
                return change;
            }
            change.pools.insert(host.pool.clone());
        }
        self.insert_departure(now_us, &departure.host, departure.epoch, &mut change);
        if change.departures.is_empty() {
            change.pools.clear();
        }
        change
    }

    fn insert_departure(&mut self, now_us: u64, host: &Arc<str>, epoch: u64, change: &mut FleetChange) {
        if self.departures.get(host).is_some_and(|record| record.epoch >= epoch) {
            return;
        }
        self.departures.insert(host.clone(), DepartureRecord { epoch, recorded_at_us: now_us });
        change.departures.push(Departure { host: host.clone(), epoch });
    }

    /// Hosts of a pool that accept new requests, ordered by name.
    pub fn endpoints(&self, pool: &str) -> Vec<Arc<HostEntry>> {
        let mut found = Vec::new();
        for name in self.by_pool.get(pool).into_iter().flatten() {
            let Some(host) = self.hosts.get(name) else { continue };
            if host.state == HostState::Live && !self.has_known_departure(host) {
                found.push(host.clone());
            }
        }
        found
    }

    fn has_known_departure(&self, host: &HostEntry) -> bool {
        self.departures.get(&host.name).is_some_and(|record| record.epoch >= host.epoch)
    }

    /// All hosts, ordered by name. A host whose departure is known has the state [`HostState::Leaving`], even if the
    /// platform's list still reports it as live.
    pub fn hosts(&self) -> Vec<HostEntry> {
        let mut all = Vec::new();
        for host in self.hosts.values() {
            let mut entry = HostEntry::clone(host);
            if self.has_known_departure(host) {
                entry.state = HostState::Leaving;
            }
            all.push(entry);
        }
        all.sort_by(|a, b| a.name.cmp(&b.name));
        all
    }

    /// At most `limit` departures that are recent enough for gossip, newest first.
    pub fn recent_departures(&self, now_us: u64, limit: usize) -> Vec<Departure> {
        let mut recent: Vec<(u64, Departure)> = Vec::new();
        for (host, record) in &self.departures {
            if now_us.saturating_sub(record.recorded_at_us) <= DEPARTURE_GOSSIP_US {
                recent.push((record.recorded_at_us, Departure { host: host.clone(), epoch: record.epoch }));
            }
        }
        recent.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.host.cmp(&b.1.host)));
        recent.truncate(limit);
        recent.into_iter().map(|(_, departure)| departure).collect()
    }

    /// Removes departures recorded longer than [`DEPARTURE_RETENTION_US`] ago.
    pub fn expire_departures(&mut self, now_us: u64) -> FleetChange {
        let mut change = FleetChange::default();
        let mut expired = Vec::new();
        for (host, record) in &self.departures {
            if now_us.saturating_sub(record.recorded_at_us) > DEPARTURE_RETENTION_US {
                expired.push(host.clone());
            }
        }
        for host in expired {
            self.departures.remove(&host);
            change.pools.extend(self.hosts.get(&host).map(|entry| entry.pool.clone()));
        }
        change
    }
}
