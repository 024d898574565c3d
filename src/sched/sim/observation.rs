//! What a play of the simulation shows from outside: phases of jobs, and the division of hosts.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::super::allocation::PoolBalance;
use super::super::model::{JobId, JobPhase};
use super::Sim;

impl Sim {
    /// Phase of a job, as the leader knows it.
    pub(crate) fn phase(&self, id: &JobId) -> Option<JobPhase> {
        self.scheduler.jobs.get(id).map(|job| job.phase)
    }

    /// CPU that is reserved on the workers of each pool, in thousandths of a core.
    pub(crate) fn reserved_milli_by_pool(&self) -> BTreeMap<Arc<str>, u64> {
        let mut reserved = BTreeMap::new();
        for worker in self.scheduler.workers.values() {
            *reserved.entry(worker.entry.pool.clone()).or_default() += worker.reserved.cpu_milli;
        }
        reserved
    }

    /// Demand of a pool, as the leader counted it last.
    pub(crate) fn latest_balance(&self, pool: &str) -> PoolBalance {
        self.scheduler.host_moves.latest_balances.get(pool).cloned().unwrap_or_default()
    }

    /// Number of hosts in each pool, with those that are moving there.
    pub(crate) fn hosts_by_pool(&self) -> BTreeMap<Arc<str>, u32> {
        let mut counts = BTreeMap::new();
        for host in self.hosts.values() {
            *counts.entry(host.pool.clone()).or_default() += 1;
        }
        counts
    }
}
