//! Access to the daemon's internals for the capacity benchmark.

use std::sync::Arc;

use crate::daemon_registry::{gossip_targets, DaemonInfo, DaemonRegistry};
use crate::fleet::{Departure, Fleet as InnerFleet};
use crate::peer_message::{encode, Gossip, PeerReply, PeerRequest, Snapshot};
use crate::platform::{HostChanges, HostEntry};
use crate::sheet::Sheet;
use crate::sheet_state::SheetRef;
use crate::sheet_store::stored_size;
use crate::table::Row;

/// Maximum number of departures in one gossip message; the same value as in `daemon/updates.rs`.
const MAX_GOSSIP_DEPARTURES: usize = 32;

/// The hosts known to one daemon.
#[derive(Debug)]
pub struct Fleet {
    inner: InnerFleet,
}

impl Fleet {
    /// Creates a fleet from a complete list of hosts.
    pub fn from_list(hosts: Vec<HostEntry>) -> Fleet {
        let mut inner = InnerFleet::new();
        inner.apply_changes(0, HostChanges { cursor: 1, hosts });
        Fleet { inner }
    }

    /// Adds or replaces one host.
    pub fn update_host(&mut self, host: HostEntry) {
        self.inner.apply_changes(0, HostChanges { cursor: 1, hosts: vec![host] });
    }

    /// Hosts of a pool that accept new requests.
    pub fn endpoints(&self, pool: &str) -> Vec<Arc<HostEntry>> {
        self.inner.endpoints(pool)
    }
}

/// Sizes, in bytes, of messages between daemons and of data on the platform, and the number of gossip targets.
#[derive(Debug, Clone, Copy)]
pub struct MessageSizes {
    /// Size of a gossip message without departures and pool load.
    pub min_gossip_bytes: usize,
    /// Size of a gossip message with the maximum number of departures, but without pool load.
    pub max_gossip_bytes: usize,
    /// Size of the snapshot that a starting daemon receives from a peer.
    pub snapshot_bytes: usize,
    /// Number of daemons that one daemon sends gossip to.
    pub gossip_targets: usize,
    /// Size of the sheet in the object store.
    pub stored_sheet_bytes: usize,
    /// Size of the response to a scan of all daemons' lease rows.
    pub lease_scan_bytes: usize,
}

fn daemon_info(number: usize) -> DaemonInfo {
    DaemonInfo {
        name: format!("daemon-{number:03}").into(),
        zone: format!("region-{}-zone-{}", number % 5, number % 18).into(),
        incarnation: 1 << 31,
        peer_address: ([10, 200, (number >> 8) as u8, number as u8], 7082).into(),
    }
}

/// Measures the sizes for a deployment of `daemon_count` daemons with `host_count` hosts, which are those in `fleet`.
pub fn message_sizes(host_count: usize, daemon_count: usize, sheet: &[u8], fleet: &Fleet) -> MessageSizes {
    let daemons: Vec<DaemonInfo> = (0..daemon_count).map(daemon_info).collect();
    let sheet_ref = SheetRef { version: 100_000, digest: Sheet::digest(sheet) };
    let departures: Vec<Departure> = (0..MAX_GOSSIP_DEPARTURES.min(host_count))
        .map(|number| Departure { host: format!("worker-{number:05}").into(), epoch: 100 })
        .collect();
    let gossip_bytes = |departures: Vec<Departure>| {
        let from = daemons[0].clone();
        encoded_size(&PeerRequest::Gossip(Gossip {
            from,
            sheet: Some(sheet_ref.clone()),
            departures,
            load: Vec::new(),
        }))
    };
    let snapshot = Snapshot {
        sheet: Some(sheet_ref.clone()),
        sheet_body: sheet.to_vec(),
        hosts: fleet.inner.hosts(),
        departures: Vec::new(),
        daemons: daemons.clone(),
    };
    let mut rows = Vec::new();
    for info in &daemons {
        let transaction = DaemonRegistry::new(info.clone()).renewal_transaction();
        for write in transaction.writes {
            rows.push(Row { key: write.key, version: 1_000_000, value: write.value.unwrap_or_default() });
        }
    }
    MessageSizes {
        min_gossip_bytes: gossip_bytes(Vec::new()),
        max_gossip_bytes: gossip_bytes(departures),
        snapshot_bytes: encoded_size(&PeerReply::Snapshot(snapshot)),
        stored_sheet_bytes: stored_size(sheet).unwrap_or(0),
        gossip_targets: gossip_targets(&daemons[0].name, &daemons[1..]).len(),
        lease_scan_bytes: serde_json::to_vec(&rows).map_or(0, |bytes| bytes.len()),
    }
}

fn encoded_size(message: &impl serde::Serialize) -> usize {
    encode(message).map_or(0, |bytes| bytes.len())
}
