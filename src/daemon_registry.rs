//! The daemons that share the work, by lease rows in the platform's table.
//!
//! A lease is judged by the observer's own clock, when it looks at the rows: one that has not changed since an
//! earlier look at least a lease's length ago has lapsed. Clocks of different hosts are never compared, and nothing
//! lapses while the table cannot be read.

#[cfg(test)]
mod daemon_registry_tests;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::US_PER_S;
use crate::table::{Commit, Row, Transaction, ABSENT};

/// Prefix of the lease rows.
pub(crate) const LEASE_PREFIX: &str = "daemons/";
/// A lease lapses when its row has not changed for this time.
pub(crate) const LEASE_US: u64 = 15 * US_PER_S;
/// Leases are renewed this often.
pub(crate) const RENEW_EVERY_US: u64 = 5 * US_PER_S;
/// Time between two looks for each daemon, so that looking costs the same however many there are.
const LOOK_EVERY_US_PER_DAEMON: u64 = US_PER_S / 4;
/// Rows of lapsed leases are deleted after this time.
const DELETE_AFTER_US: u64 = 10 * LEASE_US;

/// One daemon, as its lease row tells.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct DaemonInfo {
    pub(crate) name: Arc<str>,
    pub(crate) zone: Arc<str>,
    /// Differs from run to run.
    pub(crate) incarnation: u64,
    pub(crate) peer_address: SocketAddr,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct LeaseRow {
    #[serde(flatten)]
    daemon: DaemonInfo,
    /// Grows with each renewal.
    renewal: u64,
}

#[derive(Debug)]
struct Observed {
    daemon: DaemonInfo,
    row_version: u64,
    changed_at_us: u64,
    lapsed: bool,
}

/// Leases as this daemon sees them, its own among them.
#[derive(Debug)]
pub(crate) struct DaemonRegistry {
    own: DaemonInfo,
    own_row_version: u64,
    renewal: u64,
    others: BTreeMap<Arc<str>, Observed>,
    looked_us: Option<u64>,
}

impl DaemonRegistry {
    pub(crate) fn new(own: DaemonInfo) -> DaemonRegistry {
        DaemonRegistry { own, own_row_version: ABSENT, renewal: 0, others: BTreeMap::new(), looked_us: None }
    }

    pub(crate) fn own(&self) -> &DaemonInfo {
        &self.own
    }

    /// Whether this daemon's lease row exists, as far as it knows.
    pub(crate) fn is_leased(&self) -> bool {
        self.own_row_version != ABSENT
    }

    /// Transaction that takes or renews this daemon's lease.
    pub(crate) fn renewal_transaction(&mut self) -> Transaction {
        self.renewal += 1;
        let row = LeaseRow { daemon: self.own.clone(), renewal: self.renewal };
        let value = serde_json::to_string(&row).unwrap_or_default();
        let key = self.own_key();
        Transaction::new().expect(&key, self.own_row_version).put(&key, &value)
    }

    /// Takes the answer to a renewal. After a conflict, the next [`DaemonRegistry::observe`] settles who holds the name.
    pub(crate) fn renewed(&mut self, commit: &Commit) {
        if let Commit::Committed { version } = commit {
            self.own_row_version = *version;
        }
    }

    /// Transaction that hands the lease back.
    pub(crate) fn release(&self) -> Option<Transaction> {
        let key = self.own_key();
        self.is_leased().then(|| Transaction::new().expect(&key, self.own_row_version).delete(&key))
    }

    /// Whether the lease rows should be read again.
    pub(crate) fn look_is_due(&self, now_us: u64) -> bool {
        let wait_us = (self.others.len() as u64 * LOOK_EVERY_US_PER_DAEMON).max(RENEW_EVERY_US);
        self.looked_us.is_none_or(|looked_us| now_us + RENEW_EVERY_US / 2 >= looked_us + wait_us)
    }

    /// Takes the lease rows just read from the table; returns the transaction that tidies up, if any is due.
    pub(crate) fn observe(&mut self, now_us: u64, rows: &[Row]) -> Option<Transaction> {
        let mut tidy: Option<Transaction> = None;
        let mut seen = BTreeMap::new();
        self.looked_us = Some(now_us);
        for row in rows {
            let Ok(lease) = serde_json::from_str::<LeaseRow>(&row.value) else { continue };
            if lease.daemon.name == self.own.name {
                self.observe_own(row, &lease);
                continue;
            }
            let known = self.others.remove(&lease.daemon.name);
            let changed_at_us = match known {
                Some(known) if known.row_version == row.version => known.changed_at_us,
                _ => now_us,
            };
            let unchanged_us = now_us.saturating_sub(changed_at_us);
            if unchanged_us > DELETE_AFTER_US {
                let transaction = tidy.unwrap_or_default();
                tidy = Some(transaction.expect(&row.key, row.version).delete(&row.key));
            }
            let lapsed = unchanged_us > LEASE_US;
            let observed = Observed { daemon: lease.daemon, row_version: row.version, changed_at_us, lapsed };
            seen.insert(observed.daemon.name.clone(), observed);
        }
        self.others = seen;
        if !rows.iter().any(|row| *row.key == *self.own_key()) {
            self.own_row_version = ABSENT;
        }
        tidy
    }

    /// An earlier run's row is taken over; so is one written by a renewal whose answer was lost.
    fn observe_own(&mut self, row: &Row, lease: &LeaseRow) {
        self.own_row_version = row.version;
        self.renewal = self.renewal.max(lease.renewal);
    }

    /// Hears from a daemon itself, which proves that it lives.
    pub(crate) fn heard_from(&mut self, now_us: u64, daemon: &DaemonInfo) {
        if daemon.name == self.own.name {
            return;
        }
        let row_version = self.others.get(&daemon.name).map_or(ABSENT, |known| known.row_version);
        let observed = Observed { daemon: daemon.clone(), row_version, changed_at_us: now_us, lapsed: false };
        self.others.insert(daemon.name.clone(), observed);
    }

    /// Hears of daemons from another one; those known already stay as they are.
    pub(crate) fn introduce(&mut self, now_us: u64, daemons: &[DaemonInfo]) {
        for daemon in daemons {
            if !self.others.contains_key(&daemon.name) {
                self.heard_from(now_us, daemon);
            }
        }
    }

    /// Other daemons whose leases have not lapsed, in the order of names.
    pub(crate) fn live_others(&self) -> Vec<DaemonInfo> {
        let live = self.others.values().filter(|observed| !observed.lapsed);
        live.map(|observed| observed.daemon.clone()).collect()
    }

    /// Other daemons, whether their leases have lapsed or not.
    pub(crate) fn known_others(&self) -> Vec<DaemonInfo> {
        self.others.values().map(|observed| observed.daemon.clone()).collect()
    }

    fn own_key(&self) -> String {
        format!("{LEASE_PREFIX}{}", self.own.name)
    }
}

/// The daemons that `own` tells news to: those one, two, four, ... places after it in the circle of names, so
/// that news reaches all of n daemons within log2(n) steps over log2(n) connections of each.
pub(crate) fn gossip_targets(own: &str, others: &[DaemonInfo]) -> Vec<DaemonInfo> {
    let mut circle: Vec<&DaemonInfo> = others.iter().collect();
    circle.sort_by(|a, b| a.name.cmp(&b.name));
    let start = circle.iter().position(|daemon| &*daemon.name > own).unwrap_or(0);
    let mut targets = Vec::new();
    let mut step = 1;
    while step <= circle.len() {
        targets.push(circle[(start + step - 1) % circle.len()].clone());
        step *= 2;
    }
    targets
}
