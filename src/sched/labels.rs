//! Capacity and demand of each worker label that tasks require.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::allocation::{DemandTier, RequestKind};
use super::job::{ShareClass, TaskState};
use super::model::HostRecord;
use super::scheduler::Scheduler;

/// Balance of a label in one pool: its capacity and demand, in thousandths of a core.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(super) struct LabelBalance {
    /// CPU of running tasks that require the label, and of waiting ones of on-time jobs.
    demand: u64,
    capacity: u64,
    /// Whether running tasks require the label, or waiting ones within the rate of their organisation.
    is_required_within_rate: bool,
}

impl LabelBalance {
    /// Why the pool requests hosts with the label: it has none at all, or too few. Tasks beyond the rate of their
    /// organisation get only hosts that are idle.
    pub(super) fn request_kind(&self) -> RequestKind {
        match (self.capacity, self.is_required_within_rate) {
            (_, false) => RequestKind::Shortfall(DemandTier::Late),
            (0, true) => RequestKind::Unschedulable,
            (_, true) => RequestKind::Shortfall(DemandTier::Expected),
        }
    }

    /// Capacity that is missing. Any demand at all needs at least one worker with the label.
    pub(super) fn shortfall(&self) -> u64 {
        match self.capacity {
            0 => self.demand.max(1),
            capacity => self.demand.saturating_sub(capacity),
        }
    }
}

/// Balances by (pool, label), for labels that tasks require.
pub(super) type LabelBalances = BTreeMap<(Arc<str>, Arc<str>), LabelBalance>;

impl Scheduler {
    /// Balances of all labels that tasks require.
    pub(super) fn label_balances(&self, now_us: u64) -> LabelBalances {
        let mut balances = LabelBalances::new();
        let mut quotas = self.quota_budget();
        for job in self.ready_jobs_on_time_first() {
            let queue = &job.queue;
            let is_on_time = self.host_moves.on_time_jobs.contains(&job.id);
            for (number, occurrence) in &job.occurrences {
                for (index, state) in occurrence.steps.iter().enumerate() {
                    let step = &job.spec.steps[index];
                    let Some(label) = &step.required_label else { continue };
                    if !job.is_step_unblocked(*number, index) {
                        continue;
                    }
                    let waiting = state.tasks.iter().filter(|task| task.state == TaskState::Waiting).count() as u32;
                    let waiting = u64::from(quotas.take(job.spec.organisation.as_ref(), step, waiting));
                    if waiting == 0 {
                        continue;
                    }
                    let balance = balances.entry((queue.pool.clone(), label.clone())).or_default();
                    balance.is_required_within_rate |= job.share_class == ShareClass::WithinRate;
                    if is_on_time {
                        balance.demand += waiting * step.reserved().cpu_milli;
                    }
                }
            }
        }
        for worker in self.workers.values() {
            for task_ref in &worker.tasks {
                let Some(step) = self.step_of(task_ref) else { continue };
                let Some(label) = &step.required_label else { continue };
                if step.allows_copies() && self.is_copy_on(task_ref, worker) {
                    continue;
                }
                let key = (worker.entry.pool.clone(), label.clone());
                let balance = balances.entry(key).or_default();
                balance.is_required_within_rate = true;
                balance.demand += step.reserved().cpu_milli;
            }
        }
        self.add_label_capacity(now_us, &mut balances);
        balances
    }

    /// Adds the capacity of usable workers and of incoming hosts.
    fn add_label_capacity(&self, now_us: u64, balances: &mut LabelBalances) {
        for worker in self.workers.values() {
            if !worker.is_usable() {
                continue;
            }
            for label in worker.entry.labels.iter() {
                let Some(balance) = balances.get_mut(&(worker.entry.pool.clone(), label.clone())) else { continue };
                balance.capacity += worker.entry.capacity.cpu_milli;
            }
        }
        for (name, pool) in self.host_moves.incoming_hosts(now_us) {
            let Some(host) = self.hosts.get(name) else { continue };
            for label in host.labels.iter() {
                let Some(balance) = balances.get_mut(&(pool.clone(), label.clone())) else { continue };
                balance.capacity += host.capacity.cpu_milli;
            }
        }
    }
}

/// Whether a pool could not cover the demand for one of a host's labels without the host.
pub(super) fn is_needed_for_label(host: &HostRecord, balances: &LabelBalances) -> bool {
    let milli = host.capacity.cpu_milli;
    host.labels
        .iter()
        .any(|label| label_balance(host, label, balances).is_some_and(|known| known.demand + milli > known.capacity))
}

/// Whether a host is the last of its pool with a label that tasks there require.
pub(super) fn is_last_with_label(host: &HostRecord, balances: &LabelBalances) -> bool {
    let milli = host.capacity.cpu_milli;
    host.labels.iter().any(|label| label_balance(host, label, balances).is_some_and(|known| known.capacity <= milli))
}

fn label_balance<'a>(host: &HostRecord, label: &Arc<str>, balances: &'a LabelBalances) -> Option<&'a LabelBalance> {
    balances.get(&(host.pool.clone(), label.clone()))
}
