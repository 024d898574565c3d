//! Room for work that only workers with a certain label may run.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::job::TaskState;
use super::model::HostRecord;
use super::scheduler::Scheduler;

/// Need and room of one label in one pool, in thousandths of a core.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(super) struct LabelBalance {
    /// What runs there, and what waits and can be in time.
    need: u64,
    room: u64,
}

impl LabelBalance {
    /// Whether no worker there could run the work.
    pub(super) fn has_no_room(&self) -> bool {
        self.room == 0
    }

    /// Room that is missing. Any work at all needs at least one worker with the label.
    pub(super) fn gap(&self) -> u64 {
        match self.room {
            0 => self.need.max(1),
            room => self.need.saturating_sub(room),
        }
    }
}

/// Pools and labels that work asks for.
pub(super) type LabelBalances = BTreeMap<(Arc<str>, Arc<str>), LabelBalance>;

impl Scheduler {
    /// Need and room of each label that work asks for.
    pub(super) fn label_balances(&self, now_us: u64) -> LabelBalances {
        let mut balances = LabelBalances::new();
        for id in &self.ready {
            let Some(job) = self.jobs.get(id) else { continue };
            let queue = self.queue_of(job);
            let claims = self.duties.claims.contains(id);
            for (number, occurrence) in &job.occurrences {
                for (index, state) in occurrence.steps.iter().enumerate() {
                    let step = &job.spec.steps[index];
                    let Some(label) = &step.required_label else { continue };
                    if !job.is_step_unblocked(*number, index) {
                        continue;
                    }
                    let waiting = state.tasks.iter().filter(|task| task.state == TaskState::Waiting).count() as u64;
                    if waiting == 0 {
                        continue;
                    }
                    let balance = balances.entry((queue.pool.clone(), label.clone())).or_default();
                    if claims {
                        balance.need += waiting * step.reserved().cpu_milli;
                    }
                }
            }
        }
        for worker in self.workers.values() {
            for at in &worker.tasks {
                let Some(step) = self.step_of(at) else { continue };
                let Some(label) = &step.required_label else { continue };
                let key = (worker.entry.pool.clone(), label.clone());
                balances.entry(key).or_default().need += step.reserved().cpu_milli;
            }
        }
        self.add_label_room(now_us, &mut balances);
        balances
    }

    /// Adds what is there and what is on its way.
    fn add_label_room(&self, now_us: u64, balances: &mut LabelBalances) {
        for worker in self.workers.values() {
            if !worker.is_usable() {
                continue;
            }
            for label in &worker.entry.labels {
                let Some(balance) = balances.get_mut(&(worker.entry.pool.clone(), label.clone())) else { continue };
                balance.room += worker.entry.capacity.cpu_milli;
            }
        }
        for (name, pool) in self.duties.hosts_on_their_way(now_us) {
            let Some(host) = self.hosts.get(name) else { continue };
            for label in &host.labels {
                let Some(balance) = balances.get_mut(&(pool.clone(), label.clone())) else { continue };
                balance.room += host.capacity.cpu_milli;
            }
        }
    }
}

/// Whether a host's pool cannot do without it, as too few others there have one of its labels.
pub(super) fn is_needed_for_label(host: &HostRecord, balances: &LabelBalances) -> bool {
    let milli = host.capacity.cpu_milli;
    host.labels.iter().any(|label| balance(host, label, balances).is_some_and(|known| known.need + milli > known.room))
}

/// Whether it is the last host of its pool with a label that work there asks for.
pub(super) fn is_last_with_label(host: &HostRecord, balances: &LabelBalances) -> bool {
    let milli = host.capacity.cpu_milli;
    host.labels.iter().any(|label| balance(host, label, balances).is_some_and(|known| known.room <= milli))
}

fn balance<'a>(host: &HostRecord, label: &Arc<str>, balances: &'a LabelBalances) -> Option<&'a LabelBalance> {
    balances.get(&(host.pool.clone(), label.clone()))
}
