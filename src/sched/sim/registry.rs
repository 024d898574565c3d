//! The simulated registry of workers: entries expire while the store is down, and come back after its return.

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::Rng;

use super::super::model::WorkerEntry;
use super::Sim;
use crate::clock::US_PER_MS;

/// Entries of workers that live are back within this time after the store's return.
const MAX_ENTRY_RETURN_US: u64 = 2_000 * US_PER_MS;
/// An entry is removed when its worker has not renewed it for this long.
const ENTRY_EXPIRY_US: u64 = 4_500 * US_PER_MS;
/// Interval at which the leader reads changes of the registry.
const READ_INTERVAL_US: u64 = 100 * US_PER_MS;

/// A change of the registry: the new entry, or `None` if it was removed.
#[derive(Debug)]
struct RegistryChange {
    id: Arc<str>,
    entry: Option<WorkerEntry>,
}

#[derive(Debug)]
pub(in crate::sched) struct SimRegistry {
    entries: BTreeMap<Arc<str>, WorkerEntry>,
    /// Changes that the leader has not read.
    unread: Vec<RegistryChange>,
    next_read_us: u64,
    /// Workers that write their entry again, and when.
    returning: Vec<(u64, Arc<str>)>,
    /// Whether a partition also keeps a worker from writing its entry, which then expires.
    pub(in crate::sched) is_cut_by_partitions: bool,
    /// When the entries of partitioned workers expire.
    expiring: Vec<(u64, Arc<str>)>,
}

impl SimRegistry {
    pub(super) fn new(entries: impl Iterator<Item = WorkerEntry>) -> SimRegistry {
        let entries = entries.map(|entry| (entry.id.clone(), entry)).collect();
        SimRegistry {
            entries,
            unread: Vec::new(),
            next_read_us: 0,
            returning: Vec::new(),
            is_cut_by_partitions: false,
            expiring: Vec::new(),
        }
    }

    pub(super) fn insert(&mut self, entry: WorkerEntry) {
        self.entries.insert(entry.id.clone(), entry.clone());
        self.unread.push(RegistryChange { id: entry.id.clone(), entry: Some(entry) });
    }

    pub(super) fn remove(&mut self, id: &Arc<str>) {
        if self.entries.remove(id).is_some() {
            self.unread.push(RegistryChange { id: id.clone(), entry: None });
        }
    }

    /// Makes a worker write its entry at this time.
    pub(super) fn write_later(&mut self, at_us: u64, id: Arc<str>) {
        self.returning.push((at_us, id));
    }

    /// Lets the entry of a worker expire that is partitioned from now on.
    pub(super) fn expire_later(&mut self, now_us: u64, id: Arc<str>) {
        if self.is_cut_by_partitions {
            self.expiring.push((now_us + ENTRY_EXPIRY_US, id));
        }
    }

    /// Reads all entries, as a new leader does.
    pub(super) fn read_all(&mut self) -> Vec<WorkerEntry> {
        self.unread.clear();
        self.entries.values().cloned().collect()
    }
}

impl Sim {
    /// Takes the store away for `for_ms`. At its return, the entries of this share of the workers have expired.
    pub(crate) fn stop_store(&mut self, for_ms: u64, expired_share: f64) {
        self.store_down_until_us = self.now_us + for_ms * US_PER_MS;
        self.last_disturbance_us = self.last_disturbance_us.max(self.store_down_until_us);
        self.expire_entries(self.store_down_until_us, expired_share);
    }

    /// Removes entries of a share of the workers. They are written again within two seconds from `from_us`.
    pub(in crate::sched) fn expire_entries(&mut self, from_us: u64, share: f64) {
        let ids: Vec<Arc<str>> = self.registry.entries.keys().cloned().collect();
        for id in ids {
            if !self.chance(share) {
                continue;
            }
            self.registry.remove(&id);
            let return_us = from_us + self.rng.random_range(0..MAX_ENTRY_RETURN_US);
            self.registry.returning.push((return_us, id));
        }
        self.last_disturbance_us = self.last_disturbance_us.max(from_us);
    }

    /// Writes the entries that are due again, if their workers still live.
    pub(super) fn return_entries(&mut self) {
        if self.is_store_down() {
            return;
        }
        let now_us = self.now_us;
        let (due, later) =
            std::mem::take(&mut self.registry.returning).into_iter().partition(|(at_us, _)| *at_us <= now_us);
        self.registry.returning = later;
        let due: Vec<(u64, Arc<str>)> = due;
        for (_, id) in due {
            if let Some(until_us) = self.cut_from_registry_until_us(&id) {
                self.registry.write_later(until_us + self.rng.random_range(0..1_500 * US_PER_MS), id);
                continue;
            }
            if let Some(worker) = self.workers.get(&id).filter(|worker| worker.is_up) {
                self.registry.insert(worker.entry.clone());
            }
        }
    }

    /// Until when a worker cannot write its entry.
    fn cut_from_registry_until_us(&self, id: &Arc<str>) -> Option<u64> {
        let worker = self.workers.get(id).filter(|_| self.registry.is_cut_by_partitions)?;
        (self.now_us < worker.partitioned_until_us).then_some(worker.partitioned_until_us)
    }

    /// Removes entries that their workers could not renew.
    pub(super) fn expire_partitioned_entries(&mut self) {
        let now_us = self.now_us;
        let (due, later) =
            std::mem::take(&mut self.registry.expiring).into_iter().partition(|(at_us, _)| *at_us <= now_us);
        self.registry.expiring = later;
        let due: Vec<(u64, Arc<str>)> = due;
        for (_, id) in due {
            let Some(until_us) = self.cut_from_registry_until_us(&id) else { continue };
            self.registry.remove(&id);
            self.registry.write_later(until_us, id);
        }
    }

    /// Passes changes of the registry to the leader.
    pub(super) fn read_registry(&mut self) {
        if self.is_store_down() || self.now_us < self.registry.next_read_us || self.registry.unread.is_empty() {
            return;
        }
        self.registry.next_read_us = self.now_us + READ_INTERVAL_US;
        for change in std::mem::take(&mut self.registry.unread) {
            match change.entry {
                Some(entry) => self.scheduler.worker_listed(self.now_us, entry),
                None => self.scheduler.worker_unlisted(self.now_us, &change.id),
            }
        }
    }

    /// Makes a worker report that it drains. It continues to run its tasks.
    pub(in crate::sched) fn drain_worker(&mut self, number: usize) {
        let id: Arc<str> = format!("w{number}").into();
        let Some(worker) = self.workers.get_mut(&id) else { return };
        worker.entry.draining = true;
        let entry = worker.entry.clone();
        self.registry.insert(entry);
    }
}
