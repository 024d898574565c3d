//! The stand-in's table, object store and host list. It does no I/O, and the time is passed in.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::US_PER_MS;
use crate::platform::{HostChanges, HostEntry, HostState};
use crate::standin::tasks::Tasks;
use crate::table::{CommitOutcome, Row, Transaction, ABSENT_VERSION};

/// Properties of a host on the stand-in's list, as set through `PUT /hosts/NAME`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostUpdate {
    /// Listening address of its endpoint.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Pool that the host belongs to.
    pub pool: Arc<str>,
    /// Whether the host accepts work.
    pub state: HostState,
}

/// Number of calls served, by kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Reads of single rows, and scans.
    pub reads: u64,
    /// Committed transactions.
    pub writes: u64,
    /// Transactions rejected because a condition did not hold.
    pub conflicts: u64,
    /// Reads, writes and deletions of objects.
    pub objects: u64,
    /// Reads of the host list.
    pub lists: u64,
}

#[derive(Debug)]
struct StoredRow {
    version: u64,
    value: Arc<str>,
}

#[derive(Debug)]
struct HostChange {
    changed_at_us: u64,
    entry: HostEntry,
}

/// State of the stand-in: rows, objects, hosts and tasks.
#[derive(Debug, Default)]
pub struct StandInState {
    rows: BTreeMap<Arc<str>, StoredRow>,
    last_version: u64,
    objects: HashMap<Arc<str>, Vec<u8>>,
    hosts: HashMap<Arc<str>, HostEntry>,
    /// All changes of the host list, in order. A cursor is the number of changes that a client has read.
    host_log: Vec<HostChange>,
    call_counts: CallCounts,
    /// Tasks on workers.
    pub tasks: Tasks,
}

impl StandInState {
    /// Reads one row.
    pub fn read(&mut self, key: &str) -> Option<Row> {
        self.call_counts.reads += 1;
        let (key, row) = self.rows.get_key_value(key)?;
        Some(Row { key: key.clone(), version: row.version, value: row.value.clone() })
    }

    /// Reads the rows whose keys start with `prefix`.
    pub fn scan(&mut self, prefix: &str) -> Vec<Row> {
        self.call_counts.reads += 1;
        let mut found = Vec::new();
        for (key, row) in self.rows.range(Arc::<str>::from(prefix)..) {
            if !key.starts_with(prefix) {
                break;
            }
            found.push(Row { key: key.clone(), version: row.version, value: row.value.clone() });
        }
        found
    }

    /// Applies a transaction if every condition holds.
    pub fn commit(&mut self, transaction: &Transaction) -> CommitOutcome {
        for condition in &transaction.conditions {
            let version = self.rows.get(&condition.key).map_or(ABSENT_VERSION, |row| row.version);
            if version != condition.version {
                self.call_counts.conflicts += 1;
                return CommitOutcome::Conflict { key: condition.key.clone(), version };
            }
        }
        self.call_counts.writes += 1;
        self.last_version += 1;
        for write in &transaction.writes {
            match &write.value {
                Some(value) => {
                    let row = StoredRow { version: self.last_version, value: value.clone() };
                    self.rows.insert(write.key.clone(), row);
                }
                None => {
                    self.rows.remove(&write.key);
                }
            }
        }
        CommitOutcome::Committed { version: self.last_version }
    }

    /// Stores an object.
    pub fn put_object(&mut self, key: &str, body: &[u8]) {
        self.call_counts.objects += 1;
        self.objects.insert(key.into(), body.to_vec());
    }

    /// Fetches an object.
    pub fn get_object(&mut self, key: &str) -> Option<Vec<u8>> {
        self.call_counts.objects += 1;
        self.objects.get(key).cloned()
    }

    /// Deletes an object, if it exists.
    pub fn delete_object(&mut self, key: &str) {
        self.call_counts.objects += 1;
        self.objects.remove(key);
    }

    /// Number of objects.
    pub fn object_count(&self) -> usize {
        self.objects.len()
    }

    /// Lists the hosts that changed after `cursor`, leaving out the changes of the last `lag_ms` milliseconds.
    pub fn host_changes(&mut self, now_us: u64, lag_ms: u64, cursor: u64) -> HostChanges {
        self.call_counts.lists += 1;
        let visible_until_us = now_us.saturating_sub(lag_ms * US_PER_MS);
        let first = usize::try_from(cursor).unwrap_or(usize::MAX).min(self.host_log.len());
        let mut latest: BTreeMap<Arc<str>, HostEntry> = BTreeMap::new();
        let mut next = first;
        for change in &self.host_log[first..] {
            if change.changed_at_us > visible_until_us {
                break;
            }
            next += 1;
            latest.insert(change.entry.name.clone(), change.entry.clone());
        }
        HostChanges { cursor: next as u64, hosts: latest.into_values().collect() }
    }

    /// Adds or changes a host. Its epoch increases when it becomes live again or changes its address or pool.
    pub fn put_host(&mut self, now_us: u64, name: &str, update: &HostUpdate) -> HostEntry {
        let epoch = match self.hosts.get(name) {
            None => 1,
            Some(old) if needs_new_epoch(old, update) => old.epoch + 1,
            Some(old) => old.epoch,
        };
        let entry = HostEntry {
            name: name.into(),
            address: update.address,
            zone: update.zone.clone(),
            pool: update.pool.clone(),
            state: update.state,
            epoch,
        };
        self.hosts.insert(entry.name.clone(), entry.clone());
        self.host_log.push(HostChange { changed_at_us: now_us, entry: entry.clone() });
        entry
    }

    /// Marks a host as gone; `false` if there is none of this name.
    pub fn remove_host(&mut self, now_us: u64, name: &str) -> bool {
        let Some(old) = self.hosts.get_mut(name) else { return false };
        old.state = HostState::Gone;
        self.host_log.push(HostChange { changed_at_us: now_us, entry: old.clone() });
        true
    }

    /// The present entry of a host, without lag.
    pub fn host(&self, name: &str) -> Option<&HostEntry> {
        self.hosts.get(name)
    }

    /// Number of calls served, by kind.
    pub fn call_counts(&self) -> CallCounts {
        self.call_counts
    }
}

fn needs_new_epoch(old: &HostEntry, update: &HostUpdate) -> bool {
    let becomes_live = old.state != HostState::Live && update.state == HostState::Live;
    becomes_live || old.address != update.address || old.pool != update.pool
}
