//! Orders to the provider about hosts, each of which is recorded before it is sent.
//!
//! Two leaders must not send orders for the same host within a short time. A new leader reads from the record for which
//! hosts the former leader may have sent orders recently, and sends none for these hosts for a while. It may send
//! orders for all other hosts at once.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::action::Action;
use super::model::HostOrderOutcome;
use super::scheduler::Scheduler;
use crate::clock::US_PER_MS;

/// How long a host stays in the record after an order. Orders are sent within little more than a second of being
/// recorded; the rest is the time that must pass between the orders of two leaders.
const RECORD_RETENTION_MS: u64 = 6_000;

/// An order is dropped if it could not be recorded for this long, for example during an outage of the store: what it was
/// decided on has changed.
const MAX_ORDER_AGE_MS: u64 = 1_500;

/// An order to the provider about one host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum HostOrder {
    Move { host: Arc<str>, pool: Arc<str> },
    Maintain { host: Arc<str>, wave: u64 },
}

impl HostOrder {
    fn host(&self) -> &Arc<str> {
        match self {
            HostOrder::Move { host, .. } | HostOrder::Maintain { host, .. } => host,
        }
    }

    fn into_action(self) -> Action {
        match self {
            HostOrder::Move { host, pool } => Action::MoveHost { host, pool },
            HostOrder::Maintain { host, wave } => Action::MaintainHost { host, wave },
        }
    }
}

/// Host orders that are not committed yet, and the record of hosts for which orders were sent recently.
#[derive(Debug)]
pub(super) struct HostOrders {
    /// Hosts with a recent order, and until when each stays in the record.
    recent: BTreeMap<Arc<str>, u64>,
    uncommitted: Vec<HostOrder>,
    /// When the first of the uncommitted orders was decided.
    first_decided_us: Option<u64>,
    /// When the first order of the batch in flight was decided.
    in_flight_decided_us: u64,
    /// Hosts for which a former leader may have sent orders recently; `None` if its record was unreadable, so that it
    /// may be any host.
    former_leader_hosts: Option<BTreeSet<Arc<str>>>,
    has_changed: bool,
}

impl HostOrders {
    pub(super) fn new() -> HostOrders {
        HostOrders {
            recent: BTreeMap::new(),
            uncommitted: Vec::new(),
            first_decided_us: None,
            in_flight_decided_us: 0,
            former_leader_hosts: Some(BTreeSet::new()),
            has_changed: false,
        }
    }

    pub(super) fn push(&mut self, now_us: u64, order: HostOrder) {
        self.recent.insert(order.host().clone(), now_us + RECORD_RETENTION_MS * US_PER_MS);
        self.first_decided_us.get_or_insert(now_us);
        self.uncommitted.push(order);
        self.has_changed = true;
    }

    pub(super) fn wants_commit(&self) -> bool {
        !self.uncommitted.is_empty()
    }

    /// Takes the hosts to record, if they have changed, and the orders that may be sent once the record is committed.
    pub(super) fn take(&mut self, now_us: u64) -> (Option<Vec<Arc<str>>>, Vec<HostOrder>) {
        self.in_flight_decided_us = self.first_decided_us.take().unwrap_or(now_us);
        let previous_count = self.recent.len();
        self.recent.retain(|_, until_us| now_us < *until_us);
        self.has_changed |= self.recent.len() != previous_count;
        let record = std::mem::take(&mut self.has_changed).then(|| self.recent.keys().cloned().collect());
        (record, std::mem::take(&mut self.uncommitted))
    }

    /// Takes back orders that were taken, but whose record was not stored.
    pub(super) fn put_back(&mut self, is_record_unstored: bool, mut orders: Vec<HostOrder>) {
        if !orders.is_empty() {
            self.first_decided_us = Some(self.in_flight_decided_us);
        }
        orders.append(&mut self.uncommitted);
        self.uncommitted = orders;
        self.has_changed |= is_record_unstored;
    }

    /// Whether a former leader may have sent an order for the host recently.
    pub(super) fn may_be_ordered_by_former_leader(&self, host: &str) -> bool {
        self.former_leader_hosts.as_ref().is_none_or(|hosts| hosts.contains(host))
    }
}

impl Scheduler {
    /// Restores a former leader's record of hosts with recent orders; `None` if the record is unreadable.
    pub(crate) fn restore_host_orders(&mut self, hosts: Option<Vec<Arc<str>>>) {
        self.host_orders.former_leader_hosts = hosts.map(|hosts| hosts.into_iter().collect());
    }

    /// Requests the host orders of a committed batch. Drops them if they are too old, or if tasks may run on the host by
    /// now.
    pub(super) fn host_orders_committed(&mut self, now_us: u64, orders: &[HostOrder]) {
        let is_too_old = now_us > self.host_orders.in_flight_decided_us + MAX_ORDER_AGE_MS * US_PER_MS;
        for order in orders {
            let has_tasks = self.may_run_tasks(order.host());
            if !is_too_old && !has_tasks {
                self.actions.push(order.clone().into_action());
                continue;
            }
            let outcome = if is_too_old { "host_order_too_old" } else { "host_order_for_busy_host" };
            log::info!("order={order:?} outcome={outcome}");
            match order {
                HostOrder::Move { host, pool } => self.on_move_outcome(now_us, host, pool, HostOrderOutcome::NotDone),
                HostOrder::Maintain { host, wave } => {
                    self.on_maintenance_outcome(now_us, host, *wave, HostOrderOutcome::NotDone);
                }
            }
        }
    }
}
