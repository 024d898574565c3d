//! Faults of the simulation, at given times and at random.

use rand::Rng;

use super::{worker_entry, Sim, TICK_US};
use crate::clock::US_PER_MS;

/// Rates at which faults are injected.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Faults {
    /// Share of orders that are carried out but whose answer is lost.
    pub(in crate::sched) answer_loss_rate: f64,
    /// Share of orders that get no answer and are carried out seconds later.
    pub(in crate::sched) order_delay_rate: f64,
    /// Share of hold requests that get no answer and are carried out seconds later.
    pub(in crate::sched) hold_delay_rate: f64,
    /// Share of orders that never arrive.
    pub(in crate::sched) order_loss_rate: f64,
    /// Upper bound of the time for which a start order waits in the leader's queue before it is sent; 0 sends it at once.
    pub(in crate::sched) order_queue_ms: u64,
    /// Share of runs that fail.
    pub(in crate::sched) run_failure_rate: f64,
    /// Worker crashes per second; each worker restarts at once as a new incarnation, see [`Sim::crash`].
    pub(in crate::sched) crashes_per_s: f64,
    /// Network partitions of workers per second, during which their runs continue.
    pub(in crate::sched) partitions_per_s: f64,
    /// Leader failovers per second; the next leader starts from the store.
    pub(in crate::sched) failovers_per_s: f64,
    /// Share of commits that take effect but whose answer is lost.
    pub(in crate::sched) commit_answer_loss_rate: f64,
    /// Additional delay both of a commit and of its answer.
    pub(in crate::sched) commit_delay_ms: u64,
    /// Share of orders about hosts that are carried out but whose answer is lost.
    pub(in crate::sched) host_answer_loss_rate: f64,
}

impl Faults {
    pub(in crate::sched) const NONE: Faults = Faults {
        answer_loss_rate: 0.0,
        order_delay_rate: 0.0,
        hold_delay_rate: 0.0,
        order_loss_rate: 0.0,
        order_queue_ms: 0,
        run_failure_rate: 0.0,
        crashes_per_s: 0.0,
        partitions_per_s: 0.0,
        failovers_per_s: 0.0,
        commit_answer_loss_rate: 0.0,
        commit_delay_ms: 0,
        host_answer_loss_rate: 0.0,
    };
}

impl Sim {
    /// Replaces the random faults from now on.
    pub(in crate::sched) fn set_faults(&mut self, faults: Faults) {
        self.faults = faults;
    }

    /// Stops the leader; the next one starts after `pause_ms`.
    pub(crate) fn stop_leader(&mut self, pause_ms: u64) {
        let until_us = self.now_us + pause_ms * US_PER_MS;
        self.leader_down_until_us = Some(until_us);
        self.last_disturbance_us = self.last_disturbance_us.max(until_us);
        self.leader += 1;
    }

    /// Makes a worker unreachable for `for_ms`; its runs continue.
    pub(in crate::sched) fn partition(&mut self, number: usize, for_ms: u64) {
        let id = worker_entry(number, 0).id;
        let until_us = self.now_us + for_ms * US_PER_MS;
        if let Some(worker) = self.workers.get_mut(&id) {
            worker.partitioned_until_us = until_us;
        }
        self.registry.expire_later(self.now_us, id);
        self.last_disturbance_us = self.last_disturbance_us.max(until_us);
    }

    /// Makes the workers of a zone unreachable for `for_ms`; their runs continue.
    pub(crate) fn partition_zone(&mut self, zone: &str, for_ms: u64) {
        let until_us = self.now_us + for_ms * US_PER_MS;
        for worker in self.workers.values_mut().filter(|worker| &*worker.entry.zone == zone) {
            worker.partitioned_until_us = until_us;
        }
        self.last_disturbance_us = self.last_disturbance_us.max(until_us);
    }

    pub(super) fn inject_faults(&mut self) {
        let tick_s = TICK_US as f64 / 1e6;
        let count = self.workers.len();
        if self.chance(self.faults.crashes_per_s * tick_s) {
            self.crash_any();
        }
        if self.chance(self.faults.partitions_per_s * tick_s) {
            let number = self.rng.random_range(0..count);
            let for_ms = self.rng.random_range(500..9_000);
            self.partition(number, for_ms);
        }
        if self.leader_down_until_us.is_none() && self.chance(self.faults.failovers_per_s * tick_s) {
            let pause_ms = self.rng.random_range(50..6_000);
            self.stop_leader(pause_ms);
        }
        if self.leader_down_until_us.is_some_and(|until_us| self.now_us >= until_us) && !self.is_store_down() {
            self.leader_down_until_us = None;
            self.token += 1;
            self.start_leader();
        }
    }

    pub(super) fn chance(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.random_bool(share.min(1.0))
    }
}
