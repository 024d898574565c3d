//! Registry of the live daemons, based on lease rows in the platform's table.
//!
//! Each daemon decides by its own clock which leases of the others have expired: those whose rows a scan still finds
//! unchanged after the lease duration. Clocks of different hosts are never compared, and no lease expires while the
//! table cannot be read or because it could not be read.

#[cfg(test)]
mod daemon_registry_tests;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::US_PER_S;
use crate::table::{CommitOutcome, Row, Transaction, ABSENT_VERSION};

/// Key prefix of the lease rows; the rest of the key is the daemon's name.
pub(crate) const LEASE_PREFIX: &str = "daemons/";
/// A lease expires when its row has not changed for longer than this.
pub(crate) const LEASE_DURATION_US: u64 = 15 * US_PER_S;
pub(crate) const RENEW_INTERVAL_US: u64 = 5 * US_PER_S;
/// The interval between scans of the lease rows grows by this for each other daemon, so that the number of rows that a
/// daemon reads per second does not grow with the number of daemons.
const SCAN_INTERVAL_PER_DAEMON_US: u64 = US_PER_S / 4;
/// A scan that succeeds is late by less than this: one renewal interval with its jitter, and two calls that take as long
/// as their timeout.
const MAX_SCAN_DELAY_US: u64 = 11 * US_PER_S;
/// A lease row that has not changed for longer than this is deleted.
const EXPIRED_ROW_RETENTION_US: u64 = 10 * LEASE_DURATION_US;

/// Identity and address of a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct DaemonInfo {
    pub(crate) name: Arc<str>,
    pub(crate) zone: Arc<str>,
    /// Random number that identifies one run of the daemon.
    pub(crate) incarnation: u64,
    /// Where the daemon accepts connections from its peers.
    pub(crate) peer_address: SocketAddr,
}

/// Content of a lease row, as JSON.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct LeaseRow {
    #[serde(flatten)]
    daemon: DaemonInfo,
    /// Incremented by each renewal, so that the row changes.
    renewal: u64,
}

/// Lease of another daemon as this one has observed it.
#[derive(Debug)]
struct ObservedLease {
    daemon: DaemonInfo,
    /// Version of the lease row in the last scan, or [`ABSENT_VERSION`] if the row has not been read.
    row_version: u64,
    /// When the row was last found changed, a message from the daemon was received, or the lease began anew after
    /// missed scans, on this daemon's clock.
    last_alive_us: u64,
    expired: bool,
}

/// The leases known to this daemon, including its own.
#[derive(Debug)]
pub(crate) struct DaemonRegistry {
    own: DaemonInfo,
    /// Version of this daemon's lease row, or [`ABSENT_VERSION`] if it holds no lease.
    own_row_version: u64,
    /// Number of this daemon's last renewal; see [`LeaseRow::renewal`].
    last_renewal: u64,
    others: BTreeMap<Arc<str>, ObservedLease>,
    last_scan_us: Option<u64>,
}

impl DaemonRegistry {
    pub(crate) fn new(own: DaemonInfo) -> DaemonRegistry {
        DaemonRegistry {
            own,
            own_row_version: ABSENT_VERSION,
            last_renewal: 0,
            others: BTreeMap::new(),
            last_scan_us: None,
        }
    }

    pub(crate) fn own(&self) -> &DaemonInfo {
        &self.own
    }

    /// Whether this daemon's lease row exists, as of the last commit or scan.
    pub(crate) fn holds_lease(&self) -> bool {
        self.own_row_version != ABSENT_VERSION
    }

    /// Builds the transaction that acquires or renews this daemon's lease.
    pub(crate) fn renewal_transaction(&mut self) -> Transaction {
        self.last_renewal += 1;
        let row = LeaseRow { daemon: self.own.clone(), renewal: self.last_renewal };
        let value = serde_json::to_string(&row).unwrap_or_default();
        let key = self.own_key();
        Transaction::new().require_version(&key, self.own_row_version).put(&key, &value)
    }

    /// Records the result of a renewal. After a conflict, the next [`DaemonRegistry::apply_scan`] adopts the version of
    /// the row in the table, whoever wrote it.
    pub(crate) fn record_renewal(&mut self, commit: &CommitOutcome) {
        if let CommitOutcome::Committed { version } = commit {
            self.own_row_version = *version;
        }
    }

    /// Builds the transaction that releases this daemon's lease, if it holds one.
    pub(crate) fn release_transaction(&self) -> Option<Transaction> {
        let key = self.own_key();
        self.holds_lease().then(|| Transaction::new().require_version(&key, self.own_row_version).delete(&key))
    }

    /// Builds the release again after it met a conflict, from a scan: a renewal whose answer was lost has changed the
    /// row. `None` if the row is gone or another run of the daemon holds the lease.
    pub(crate) fn release_transaction_after_conflict(&self, rows: &[Row]) -> Option<Transaction> {
        let key = self.own_key();
        let row = rows.iter().find(|row| *row.key == *key)?;
        let lease = serde_json::from_str::<LeaseRow>(&row.value).ok()?;
        let is_own = lease.daemon.incarnation == self.own.incarnation;
        is_own.then(|| Transaction::new().require_version(&key, row.version).delete(&key))
    }

    /// Whether the lease rows should be scanned with this renewal. A scan that becomes due within half a renewal
    /// interval is run now, because the next renewal is a full interval away.
    pub(crate) fn is_scan_due(&self, now_us: u64) -> bool {
        let interval_us = self.scan_interval_us();
        self.last_scan_us.is_none_or(|last_scan_us| now_us + RENEW_INTERVAL_US / 2 >= last_scan_us + interval_us)
    }

    fn scan_interval_us(&self) -> u64 {
        (self.others.len() as u64 * SCAN_INTERVAL_PER_DAEMON_US).max(RENEW_INTERVAL_US)
    }

    /// Whether the last scan is so long ago that scans must have failed or this daemon was stopped. The other daemons
    /// may not have been able to renew their leases either.
    fn has_missed_scans(&self, now_us: u64) -> bool {
        let latest_after_us = self.scan_interval_us() + MAX_SCAN_DELAY_US;
        self.last_scan_us.is_some_and(|last_scan_us| now_us > last_scan_us + latest_after_us)
    }

    /// Updates the registry from a scan of all lease rows that was requested at `requested_at_us`. Returns a transaction
    /// that deletes rows of leases that expired long ago, if there are any. After missed scans, each lease that has not
    /// expired begins anew.
    pub(crate) fn apply_scan(&mut self, requested_at_us: u64, now_us: u64, rows: &[Row]) -> Option<Transaction> {
        let mut cleanup: Option<Transaction> = None;
        let mut scanned = BTreeMap::new();
        let missed_scans = self.has_missed_scans(now_us);
        self.last_scan_us = Some(now_us);
        for row in rows {
            let Ok(lease) = serde_json::from_str::<LeaseRow>(&row.value) else { continue };
            if lease.daemon.name == self.own.name {
                self.adopt_own_row(row, &lease);
                continue;
            }
            let known = self.others.remove(&lease.daemon.name);
            let last_alive_us = match known {
                Some(known) if known.row_version == row.version && (known.expired || !missed_scans) => {
                    known.last_alive_us
                }
                _ => now_us,
            };
            // A row found unchanged may have changed since the request, however long the answer took.
            let since_alive_us = requested_at_us.saturating_sub(last_alive_us);
            if since_alive_us > EXPIRED_ROW_RETENTION_US {
                let transaction = cleanup.unwrap_or_default();
                cleanup = Some(transaction.require_version(&row.key, row.version).delete(&row.key));
            }
            let expired = since_alive_us > LEASE_DURATION_US;
            let observed = ObservedLease { daemon: lease.daemon, row_version: row.version, last_alive_us, expired };
            scanned.insert(observed.daemon.name.clone(), observed);
        }
        self.others = scanned;
        if !rows.iter().any(|row| *row.key == *self.own_key()) {
            self.own_row_version = ABSENT_VERSION;
        }
        cleanup
    }

    /// Continues from the version and the renewal number of this daemon's row, which may be left from an earlier run or
    /// from a renewal whose answer was lost.
    fn adopt_own_row(&mut self, row: &Row, lease: &LeaseRow) {
        self.own_row_version = row.version;
        self.last_renewal = self.last_renewal.max(lease.renewal);
    }

    /// Records that a message from a daemon was received, which proves that it is alive.
    pub(crate) fn record_contact(&mut self, now_us: u64, daemon: &DaemonInfo) {
        if daemon.name == self.own.name {
            return;
        }
        let row_version = self.others.get(&daemon.name).map_or(ABSENT_VERSION, |known| known.row_version);
        let observed = ObservedLease { daemon: daemon.clone(), row_version, last_alive_us: now_us, expired: false };
        self.others.insert(daemon.name.clone(), observed);
    }

    /// Adds daemons that a peer reported, as if they were alive at `now_us`. Entries of known daemons are not changed,
    /// because the report does not prove that they are alive.
    pub(crate) fn add_unknown(&mut self, now_us: u64, daemons: &[DaemonInfo]) {
        for daemon in daemons {
            if !self.others.contains_key(&daemon.name) {
                self.record_contact(now_us, daemon);
            }
        }
    }

    /// Other daemons whose leases have not expired, ordered by name.
    pub(crate) fn live_others(&self) -> Vec<DaemonInfo> {
        let live = self.others.values().filter(|observed| !observed.expired);
        live.map(|observed| observed.daemon.clone()).collect()
    }

    /// All other daemons, including those whose leases have expired, ordered by name.
    pub(crate) fn known_others(&self) -> Vec<DaemonInfo> {
        self.others.values().map(|observed| observed.daemon.clone()).collect()
    }

    /// Addresses to which this daemon sends gossip. If it knows no live daemon, these are the peers from its settings,
    /// `configured`, and daemons whose leases have expired: after both were frozen, two daemons may each have expired
    /// the other's lease, and while the table is unavailable only a message shows that the other is alive.
    pub(crate) fn gossip_addresses(&self, configured: &[SocketAddr]) -> Vec<SocketAddr> {
        let live = self.live_others();
        if !live.is_empty() {
            return addresses(&gossip_targets(&self.own.name, &live));
        }
        let mut targets = addresses(&gossip_targets(&self.own.name, &self.known_others()));
        targets.extend(configured);
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    fn own_key(&self) -> String {
        format!("{LEASE_PREFIX}{}", self.own.name)
    }
}

fn addresses(daemons: &[DaemonInfo]) -> Vec<SocketAddr> {
    daemons.iter().map(|daemon| daemon.peer_address).collect()
}

/// Returns the daemons to which `own` sends gossip: those 1, 2, 4, ... positions after it in the ring of names in
/// ascending order. Updates reach all of n daemons in about log2(n) rounds, and each daemon keeps about log2(n)
/// connections.
pub(crate) fn gossip_targets(own: &str, others: &[DaemonInfo]) -> Vec<DaemonInfo> {
    let mut ring: Vec<&DaemonInfo> = others.iter().collect();
    ring.sort_by(|a, b| a.name.cmp(&b.name));
    let start = ring.iter().position(|daemon| &*daemon.name > own).unwrap_or(0);
    let mut targets = Vec::new();
    let mut step = 1;
    while step <= ring.len() {
        targets.push(ring[(start + step - 1) % ring.len()].clone());
        step *= 2;
    }
    targets
}
