//! Takes hosts down for their maintenance, in waves.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::model::{DutyEnd, WaveOrder};
use super::scheduler::Scheduler;

/// Waves that operators ordered.
#[derive(Debug, Default)]
pub(crate) struct Waves {
    pub(super) orders: BTreeMap<u64, WaveOrder>,
}

impl Scheduler {
    /// Takes an operator's order. Hearing of it again changes nothing.
    pub(crate) fn wave_ordered(&mut self, order: WaveOrder) {
        self.waves.orders.entry(order.number).or_insert(order);
    }

    /// Decides which hosts go down now.
    pub(super) fn run_waves(&mut self, _now_us: u64) {}

    /// An order to maintain a host was answered, or was not.
    pub(crate) fn maintenance_ended(&mut self, _now_us: u64, _host: &Arc<str>, _wave: u64, _end: DutyEnd) {}

    /// A report about a wave was written, or was not.
    pub(crate) fn wave_reported(&mut self, _now_us: u64, _wave: u64, _complete: bool, _written: bool) {}
}
