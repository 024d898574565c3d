//! What the capacity benchmark needs of the daemon's inner parts.

use std::sync::Arc;

use crate::daemon_registry::{gossip_targets, DaemonInfo, DaemonRegistry};
use crate::fleet::{Departure, Fleet as InnerFleet};
use crate::peer_message::{encode, Gossip, PeerReply, PeerRequest, Snapshot};
use crate::platform::{HostChanges, HostEntry};
use crate::sheet::Sheet;
use crate::sheet_state::SheetRef;
use crate::sheet_store::stored_size;
use crate::table::Row;

const TOLD_DEPARTURES: usize = 32;

/// The hosts that one daemon knows.
#[derive(Debug)]
pub struct Fleet {
    inner: InnerFleet,
}

impl Fleet {
    /// Takes a whole host list.
    pub fn from_list(hosts: Vec<HostEntry>) -> Fleet {
        let mut inner = InnerFleet::new();
        inner.apply_changes(0, HostChanges { cursor: 1, hosts });
        Fleet { inner }
    }

    /// Takes the change of one host.
    pub fn change(&mut self, host: HostEntry) {
        self.inner.apply_changes(0, HostChanges { cursor: 1, hosts: vec![host] });
    }

    /// Hosts of a pool that take work.
    pub fn endpoints(&self, pool: &str) -> Vec<Arc<HostEntry>> {
        self.inner.endpoints(pool)
    }
}

/// Sizes of messages between daemons and with the platform.
#[derive(Debug, Clone, Copy)]
pub struct MessageSizes {
    /// News without departures.
    pub quiet_gossip_bytes: usize,
    /// News with as many departures as one message tells.
    pub busy_gossip_bytes: usize,
    /// Everything a starting daemon needs.
    pub snapshot_bytes: usize,
    /// Daemons that one daemon tells news to.
    pub links: usize,
    /// The sheet as the object store keeps it.
    pub stored_sheet_bytes: usize,
    /// The lease rows of all daemons, as the table answers them.
    pub lease_scan_bytes: usize,
}

fn daemon(number: usize) -> DaemonInfo {
    DaemonInfo {
        name: format!("daemon-{number:03}").into(),
        zone: format!("region-{}-zone-{}", number % 5, number % 18).into(),
        incarnation: 1 << 31,
        peer_address: ([10, 200, (number >> 8) as u8, number as u8], 7082).into(),
    }
}

/// Encodes each kind of message for a fleet of this size.
pub fn message_sizes(workers: usize, daemon_count: usize, sheet: &[u8], fleet: &Fleet) -> MessageSizes {
    let daemons: Vec<DaemonInfo> = (0..daemon_count).map(daemon).collect();
    let sheet_ref = SheetRef { version: 100_000, digest: Sheet::digest(sheet) };
    let departures: Vec<Departure> = (0..TOLD_DEPARTURES.min(workers))
        .map(|number| Departure { host: format!("worker-{number:05}").into(), epoch: 100 })
        .collect();
    let gossip = |departures: Vec<Departure>| {
        let from = daemons[0].clone();
        size(&PeerRequest::Gossip(Gossip { from, sheet: Some(sheet_ref.clone()), departures, load: Vec::new() }))
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
        quiet_gossip_bytes: gossip(Vec::new()),
        busy_gossip_bytes: gossip(departures),
        snapshot_bytes: size(&PeerReply::Snapshot(snapshot)),
        stored_sheet_bytes: stored_size(sheet).unwrap_or(0),
        links: gossip_targets(&daemons[0].name, &daemons[1..]).len(),
        lease_scan_bytes: serde_json::to_vec(&rows).map_or(0, |bytes| bytes.len()),
    }
}

fn size(message: &impl serde::Serialize) -> usize {
    encode(message).map_or(0, |bytes| bytes.len())
}
