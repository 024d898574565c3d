//! Moves hosts between pools, to where the demand is.

use std::sync::Arc;

use super::job::Job;
use super::model::{DutyEnd, HostRecord};
use super::scheduler::Scheduler;
use crate::clock::US_PER_MS;

/// What is known about moves in progress.
#[derive(Debug)]
pub(crate) struct Duties {
    /// No order about a host before this time: a former leader may have sent one.
    pub(super) quiet_until_us: u64,
}

/// Margin beyond the time that must pass between two holders' orders.
const HOLDER_CHANGE_MARGIN_MS: u64 = 1_000;

impl Duties {
    pub(super) fn new(now_us: u64, holder_change_ms: u64) -> Duties {
        Duties { quiet_until_us: now_us + (holder_change_ms + HOLDER_CHANGE_MARGIN_MS) * US_PER_MS }
    }

    /// Counts a job towards its queue's demand.
    pub(super) fn note_arrival(&mut self, _now_us: u64, _job: &Job) {}
}

impl Scheduler {
    /// Takes a reading of the provider's list.
    pub(crate) fn hosts_listed(&mut self, _now_us: u64, hosts: Vec<HostRecord>) {
        self.hosts = hosts.into_iter().map(|host| (host.name.clone(), host)).collect();
    }

    /// Decides which hosts change their pools.
    pub(super) fn move_hosts(&mut self, _now_us: u64) {}

    /// An order to move a host was answered, or was not.
    pub(crate) fn move_ended(&mut self, _now_us: u64, _host: &Arc<str>, _pool: &Arc<str>, _end: DutyEnd) {}
}
