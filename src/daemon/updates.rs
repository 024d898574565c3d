//! Applies events from the platform, peers, lanes and operators to the daemon's shared state.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::Daemon;
use crate::fleet::{Departure, FleetChange};
use crate::peer_message::{Gossip, PoolLoad, Snapshot};
use crate::platform::HostChanges;
use crate::sheet_state::SheetRef;

/// Maximum number of departures in one gossip message.
const MAX_GOSSIP_DEPARTURES: usize = 32;
/// Maximum number of pools whose load is in one gossip message.
const MAX_GOSSIP_POOLS: usize = 16;

impl Daemon {
    /// Records that a sheet was accepted. If it is the newest so far, triggers its fetch and a gossip round.
    pub(crate) fn record_sheet_announcement(&self, reference: &SheetRef) {
        if self.sheet.borrow_mut().record_announcement(reference) {
            self.sheet_condvar.notify();
            self.notify_peers();
        }
    }

    /// Handles a sheet that was accepted through this daemon: it is in force here before the operator gets the answer.
    /// Without its body, it is fetched.
    pub(crate) fn sheet_accepted(&self, reference: &SheetRef, body: Option<Vec<u8>>) {
        self.record_sheet_announcement(reference);
        if let Some(body) = body {
            self.put_sheet_in_force(reference, body);
        }
    }

    /// Puts a sheet in force, unless one at least as new is in force already.
    pub(crate) fn put_sheet_in_force(&self, reference: &SheetRef, body: Vec<u8>) {
        let changed = self.sheet.borrow_mut().put_in_force(reference, body);
        match changed {
            Ok(false) => {}
            Ok(true) => {
                metrics::counter!("sheets_in_force_total").increment(1);
                metrics::gauge!("sheet_version").set(reference.version as f64);
                log::info!("sheet_version={} outcome=sheet_in_force", reference.version);
                if let Some(accepted) = self.sheet.borrow().in_force() {
                    self.ingress.set_sheet(accepted.clone());
                }
                self.refresh_endpoints_of_all_pools();
                self.ingress.dispatcher().retain_pools(&self.pools_in_force());
                self.notify_peers();
            }
            Err(error) => {
                metrics::counter!("sheets_unusable_total").increment(1);
                log::error!("error={error} outcome=sheet_unusable");
            }
        }
    }

    /// Applies changes of the platform's host list.
    pub(crate) fn apply_host_changes(&self, changes: HostChanges) {
        let change = self.fleet.borrow_mut().apply_changes(self.now_us(), changes);
        self.apply_fleet_change(&change);
    }

    /// Records that a peer or an endpoint reported that a host is leaving.
    pub(crate) fn record_departure(&self, departure: &Departure) {
        let change = self.fleet.borrow_mut().record_departure(self.now_us(), departure);
        self.apply_fleet_change(&change);
    }

    /// Updates the dispatcher after a change of the fleet, and notifies peers of new departures.
    pub(crate) fn apply_fleet_change(&self, change: &FleetChange) {
        self.refresh_endpoints(&change.pools);
        if !change.departures.is_empty() {
            metrics::counter!("departures_total").increment(change.departures.len() as u64);
            self.notify_peers();
        }
    }

    /// Names of the pools of the sheet in force.
    fn pools_in_force(&self) -> BTreeSet<Arc<str>> {
        let sheet = self.sheet.borrow();
        let Some(accepted) = sheet.in_force() else { return BTreeSet::new() };
        accepted.sheet.pools.iter().map(|pool| pool.name.clone()).collect()
    }

    fn refresh_endpoints_of_all_pools(&self) {
        self.refresh_endpoints(&self.pools_in_force());
    }

    /// Updates the endpoints of pools; those that are neither in the sheet in force nor known to the dispatcher get no
    /// requests and are left out.
    fn refresh_endpoints(&self, pools: &BTreeSet<Arc<str>>) {
        let in_force = self.pools_in_force();
        for pool in pools {
            if !in_force.contains(pool) && !self.ingress.dispatcher().has_pool(pool) {
                continue;
            }
            let endpoints = self.fleet.borrow().endpoints(pool);
            self.ingress.dispatch_event(|dispatcher, now_us| dispatcher.set_endpoints(now_us, pool, &endpoints));
        }
    }

    /// Updates the number of live daemons, which share the slots of the endpoints, and drops the load that unknown ones
    /// reported.
    pub(crate) fn update_daemon_count(&self) {
        let known = self.registry.borrow().known_others();
        self.peer_load.borrow_mut().retain(|name, _| known.iter().any(|other| other.name == *name));
        let count = self.registry.borrow().live_others().len() + 1;
        if self.ingress.dispatcher().set_daemon_count(count) {
            metrics::gauge!("daemons").set(count as f64);
            log::info!("daemons={count} outcome=daemon_count_changed");
            self.refresh_endpoints_of_all_pools();
        }
    }

    /// Builds a gossip message from this daemon's state.
    pub(crate) fn gossip_message(&self) -> Gossip {
        let sheet = self.sheet.borrow();
        Gossip {
            from: self.registry.borrow().own().clone(),
            sheet: sheet.announced().cloned(),
            departures: self.fleet.borrow().recent_departures(self.now_us(), MAX_GOSSIP_DEPARTURES),
            load: self.pool_load(),
        }
    }

    /// Load that this daemon puts on its busiest pools, in descending order.
    fn pool_load(&self) -> Vec<PoolLoad> {
        let mut load = Vec::new();
        for (pool, in_flight, queued) in self.ingress.dispatcher().busy_pools() {
            let in_flight = u32::try_from(in_flight).unwrap_or(u32::MAX);
            let queued = u32::try_from(queued).unwrap_or(u32::MAX);
            load.push(PoolLoad { pool, in_flight, queued });
        }
        load.sort_by_key(|pool| std::cmp::Reverse(pool.in_flight + pool.queued));
        load.truncate(MAX_GOSSIP_POOLS);
        load
    }

    /// Applies a peer's gossip message.
    pub(crate) fn apply_gossip(&self, gossip: Gossip) {
        if let Some(reference) = &gossip.sheet {
            self.record_sheet_announcement(reference);
        }
        for departure in &gossip.departures {
            self.record_departure(departure);
        }
        self.registry.borrow_mut().record_contact(self.now_us(), &gossip.from);
        self.peer_load.borrow_mut().insert(gossip.from.name, gossip.load);
    }

    /// Builds a snapshot of this daemon's state for a peer.
    pub(crate) fn snapshot(&self) -> Snapshot {
        let sheet = self.sheet.borrow();
        let in_force = sheet.in_force();
        let registry = self.registry.borrow();
        let mut daemons = registry.live_others();
        daemons.push(registry.own().clone());
        Snapshot {
            sheet: in_force.map(|accepted| accepted.reference.clone()),
            sheet_body: in_force.map(|accepted| accepted.body.clone()).unwrap_or_default(),
            hosts: self.fleet.borrow().hosts(),
            departures: self.fleet.borrow().recent_departures(self.now_us(), usize::MAX),
            daemons,
        }
    }

    /// Applies a peer's snapshot. The cursor of the host list does not advance, so that changes are still read from the
    /// platform as if there had been no snapshot.
    pub(crate) fn apply_snapshot(&self, snapshot: Snapshot) {
        self.registry.borrow_mut().add_unknown(self.now_us(), &snapshot.daemons);
        if let Some(reference) = &snapshot.sheet {
            self.put_sheet_in_force(reference, snapshot.sheet_body);
        }
        let cursor = self.fleet.borrow().cursor();
        self.apply_host_changes(HostChanges { cursor, hosts: snapshot.hosts });
        for departure in &snapshot.departures {
            self.record_departure(departure);
        }
    }
}
