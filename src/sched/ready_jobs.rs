//! Jobs with waiting tasks whose dependencies have completed.
//!
//! The load that this answers: a backlog of jobs that cannot be on time any more. They are kept apart from the others, by
//! pool, so that a placement round puts them in order only where the others leave room, and its cost does not grow with
//! the backlog.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use foldhash::HashMap;

use super::model::JobId;

/// Jobs with tasks that could start.
#[derive(Debug, Default)]
pub(super) struct ReadyJobs {
    /// Jobs that may be on time, and late ones that have begun.
    considered: BTreeSet<JobId>,
    /// Jobs that have not begun and cannot be on time, by pool.
    late: BTreeMap<Arc<str>, BTreeSet<JobId>>,
    /// Pool under which each late job is filed.
    late_pools: HashMap<JobId, Arc<str>>,
}

impl ReadyJobs {
    pub(super) fn insert(&mut self, id: &JobId) {
        if !self.late_pools.contains_key(id) && !self.considered.contains(id) {
            self.considered.insert(id.clone());
        }
    }

    pub(super) fn remove(&mut self, id: &JobId) {
        if !self.considered.remove(id) {
            self.remove_late(id);
        }
    }

    /// Sets a job aside that cannot be on time.
    pub(super) fn set_late(&mut self, id: &JobId, pool: &Arc<str>) {
        if self.considered.remove(id) {
            self.late_pools.insert(id.clone(), pool.clone());
            self.late.entry(pool.clone()).or_default().insert(id.clone());
        }
    }

    /// Takes a job back that was set aside, since it has begun.
    pub(super) fn set_begun(&mut self, id: &JobId) {
        if self.remove_late(id) {
            self.considered.insert(id.clone());
        }
    }

    /// Takes all jobs back that were set aside, since the configuration has changed.
    pub(super) fn reconsider_all(&mut self) {
        self.late.clear();
        self.considered.extend(self.late_pools.drain().map(|(id, _)| id));
    }

    fn remove_late(&mut self, id: &JobId) -> bool {
        let Some(pool) = self.late_pools.remove(id) else { return false };
        if let Some(jobs) = self.late.get_mut(&pool) {
            jobs.remove(id);
            if jobs.is_empty() {
                self.late.remove(&pool);
            }
        }
        true
    }

    /// All jobs except those set aside as late.
    pub(super) fn considered(&self) -> impl Iterator<Item = &JobId> {
        self.considered.iter()
    }

    /// Pools with jobs set aside as late.
    pub(super) fn pools_with_late(&self) -> Vec<Arc<str>> {
        self.late.keys().cloned().collect()
    }

    /// Jobs of a pool set aside as late.
    pub(super) fn late_in(&self, pool: &str) -> impl Iterator<Item = &JobId> {
        self.late.get(pool).into_iter().flatten()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &JobId> {
        self.considered.iter().chain(self.late.values().flatten())
    }
}
