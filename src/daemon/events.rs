//! What happens to the shared state when news arrives.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::Daemon;
use crate::fleet::{Departure, FleetChange};
use crate::peer_message::{Gossip, PoolLoad, Snapshot};
use crate::platform::HostChanges;
use crate::sheet_state::SheetRef;

/// Departures told in one message.
const MAX_TOLD_DEPARTURES: usize = 32;
/// Pools whose load is told in one message.
const MAX_TOLD_POOLS: usize = 16;

impl Daemon {
    /// Hears of an accepted sheet.
    pub(crate) fn hear_of_sheet(&self, reference: &SheetRef) {
        if self.sheet.borrow_mut().announce(reference) {
            self.sheet_wanted.notify();
            self.tell_peers();
        }
    }

    /// Puts a fetched sheet in force.
    pub(crate) fn accept_sheet(&self, reference: &SheetRef, body: Vec<u8>) {
        let accepted = self.sheet.borrow_mut().accept_body(reference, body);
        match accepted {
            Ok(false) => {}
            Ok(true) => {
                metrics::counter!("sheets_in_force_total").increment(1);
                metrics::gauge!("sheet_version").set(reference.version as f64);
                log::info!("sheet version {} in force", reference.version);
                if let Some(accepted) = self.sheet.borrow().in_force() {
                    self.ingress.set_sheet(accepted.clone());
                }
                self.refresh_all_pools();
                self.tell_peers();
            }
            Err(error) => {
                metrics::counter!("sheets_unusable_total").increment(1);
                log::error!("{error}");
            }
        }
    }

    /// Takes changes of the platform's host list.
    pub(crate) fn apply_hosts(&self, changes: HostChanges) {
        let change = self.fleet.borrow_mut().apply_changes(self.now_us(), changes);
        self.apply_fleet_change(&change);
    }

    /// Takes a sign that a host leaves.
    pub(crate) fn depart(&self, departure: &Departure) {
        let change = self.fleet.borrow_mut().depart(self.now_us(), departure);
        self.apply_fleet_change(&change);
    }

    pub(crate) fn apply_fleet_change(&self, change: &FleetChange) {
        self.refresh_pools(&change.pools);
        if !change.departures.is_empty() {
            metrics::counter!("departures_total").increment(change.departures.len() as u64);
            self.tell_peers();
        }
    }

    fn refresh_all_pools(&self) {
        let Some(accepted) = self.sheet.borrow().in_force().cloned() else { return };
        let pools: BTreeSet<Arc<str>> = accepted.sheet.pools.iter().map(|pool| pool.name.clone()).collect();
        self.refresh_pools(&pools);
    }

    fn refresh_pools(&self, pools: &BTreeSet<Arc<str>>) {
        for pool in pools {
            let endpoints = self.fleet.borrow().endpoints(pool);
            self.ingress.decide(|dispatcher, now_us| dispatcher.set_endpoints(now_us, pool, &endpoints));
        }
    }

    /// Recounts the daemons that share the endpoints.
    pub(crate) fn recount_daemons(&self) {
        let count = self.registry.borrow().live_others().len() + 1;
        if self.ingress.dispatcher().set_daemon_count(count) {
            metrics::gauge!("daemons").set(count as f64);
            self.refresh_all_pools();
        }
    }

    /// This daemon's news.
    pub(crate) fn gossip(&self) -> Gossip {
        let sheet = self.sheet.borrow();
        Gossip {
            from: self.registry.borrow().own().clone(),
            sheet: sheet.announced().cloned(),
            departures: self.fleet.borrow().recent_departures(self.now_us(), MAX_TOLD_DEPARTURES),
            load: self.pool_load(),
        }
    }

    fn pool_load(&self) -> Vec<PoolLoad> {
        let mut load = Vec::new();
        for (pool, in_flight, queued) in self.ingress.dispatcher().busy_pools() {
            let in_flight = u32::try_from(in_flight).unwrap_or(u32::MAX);
            let queued = u32::try_from(queued).unwrap_or(u32::MAX);
            load.push(PoolLoad { pool, in_flight, queued });
        }
        load.sort_by_key(|pool| std::cmp::Reverse(pool.in_flight + pool.queued));
        load.truncate(MAX_TOLD_POOLS);
        load
    }

    /// Takes a peer's news.
    pub(crate) fn hear(&self, gossip: Gossip) {
        if let Some(reference) = &gossip.sheet {
            self.hear_of_sheet(reference);
        }
        for departure in &gossip.departures {
            self.depart(departure);
        }
        self.registry.borrow_mut().heard_from(self.now_us(), &gossip.from);
        self.peer_load.borrow_mut().insert(gossip.from.name, gossip.load);
    }

    /// Everything that a starting peer needs.
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

    /// Takes a peer's snapshot. The host list's cursor stays, so that the platform's list is read from the start.
    pub(crate) fn apply_snapshot(&self, snapshot: Snapshot) {
        self.registry.borrow_mut().introduce(self.now_us(), &snapshot.daemons);
        if let Some(reference) = &snapshot.sheet {
            self.accept_sheet(reference, snapshot.sheet_body);
        }
        let cursor = self.fleet.borrow().cursor();
        self.apply_hosts(HostChanges { cursor, hosts: snapshot.hosts });
        for departure in &snapshot.departures {
            self.depart(departure);
        }
    }
}
