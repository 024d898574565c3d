//! Views of a daemon's state for the administration API.

use std::rc::Rc;
use std::sync::mpsc::SyncSender;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::daemon::{Daemon, PlatformStatus};
use crate::daemon_registry::DaemonInfo;
use crate::peer_message::PoolLoad;
use crate::platform::HostEntry;
use crate::sheet::{Pool, Wave};
use crate::sheet_state::{AcceptedSheet, SheetRef};

/// A call from a handler thread of the administration API to the daemon's event loop. Queries hold the channel for
/// their reply.
#[derive(Debug)]
pub(crate) enum AdminCall {
    Status(SyncSender<StatusView>),
    Pools(SyncSender<Vec<PoolView>>),
    Hosts(SyncSender<Vec<HostEntry>>),
    Waves(SyncSender<Vec<Wave>>),
    Sheet(SyncSender<Option<Arc<AcceptedSheet>>>),
    /// A sheet was accepted through this daemon. Its body is known unless the request that was accepted held another one.
    /// The reply tells that this daemon has handled it.
    SheetAccepted(SheetRef, Option<Vec<u8>>, SyncSender<()>),
}

/// State of one daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusView {
    /// Name of the daemon.
    pub name: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Whether it is ready to serve callers.
    pub ready: bool,
    /// Whether it is shutting down.
    pub stopping: bool,
    /// Version of the sheet in force, 0 if none.
    pub sheet_version: u64,
    /// Version of the newest accepted sheet that it knows of, 0 if none.
    pub announced_version: u64,
    /// Whether the platform answered the last poll.
    pub platform_reachable: bool,
    /// Whether it holds its lease, as of the last renewal or scan.
    pub leased: bool,
    /// Requests in progress.
    pub requests: usize,
    /// Memory held by the bodies of requests and responses.
    pub held_bytes: usize,
    /// Other daemons whose leases have not expired.
    pub peers: Vec<PeerView>,
}

/// State of another daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerView {
    /// Name of the daemon.
    pub name: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Where it accepts connections from its peers.
    pub peer_address: String,
    /// Attempts in flight at endpoints of its busiest pools, as of its last gossip message.
    pub in_flight: u32,
    /// Requests queued for endpoints of its busiest pools, as of its last gossip message.
    pub queued: u32,
}

impl PeerView {
    fn new(daemon: DaemonInfo, load: &[PoolLoad]) -> PeerView {
        PeerView {
            name: daemon.name,
            zone: daemon.zone,
            peer_address: daemon.peer_address.to_string(),
            in_flight: load.iter().map(|pool| pool.in_flight).sum(),
            queued: load.iter().map(|pool| pool.queued).sum(),
        }
    }
}

/// State of one pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolView {
    /// The pool as defined in the sheet.
    #[serde(flatten)]
    pub pool: Pool,
    /// Number of hosts that accept requests.
    pub live_hosts: usize,
    /// Attempts of this daemon in flight at the pool's endpoints.
    pub in_flight: usize,
    /// Requests of this daemon queued for an endpoint.
    pub queued: usize,
}

impl Daemon {
    /// Handles a call from a handler thread of the administration API.
    pub(crate) fn handle_admin_call(self: &Rc<Daemon>, call: AdminCall) {
        // Sending a reply fails only if the handler thread has stopped waiting for it.
        match call {
            AdminCall::Status(reply) => drop(reply.try_send(self.status_view())),
            AdminCall::Pools(reply) => drop(reply.try_send(self.pool_views())),
            AdminCall::Hosts(reply) => drop(reply.try_send(self.fleet.borrow().hosts())),
            AdminCall::Waves(reply) => drop(reply.try_send(self.waves())),
            AdminCall::Sheet(reply) => drop(reply.try_send(self.sheet.borrow().in_force().cloned())),
            AdminCall::SheetAccepted(reference, body, reply) => {
                self.sheet_accepted(&reference, body);
                let _ = reply.try_send(());
            }
        }
    }

    fn status_view(&self) -> StatusView {
        let sheet = self.sheet.borrow();
        let registry = self.registry.borrow();
        StatusView {
            name: self.settings.name.clone(),
            zone: self.settings.zone.clone(),
            ready: self.is_ready(),
            stopping: self.stopping.get(),
            sheet_version: sheet.version(),
            announced_version: sheet.announced_version(),
            platform_reachable: self.platform_status.get() == PlatformStatus::Reachable,
            leased: registry.holds_lease(),
            requests: self.ingress.requests.len(),
            held_bytes: self.ingress.body_budget.used_bytes(),
            peers: self.peer_views(),
        }
    }

    fn peer_views(&self) -> Vec<PeerView> {
        let loads = self.peer_load.borrow();
        let mut views = Vec::new();
        for peer in self.registry.borrow().live_others() {
            let load = loads.get(&peer.name).map_or(&[][..], Vec::as_slice);
            views.push(PeerView::new(peer, load));
        }
        views
    }

    fn pool_views(&self) -> Vec<PoolView> {
        let sheet = self.sheet.borrow();
        let Some(accepted) = sheet.in_force() else { return Vec::new() };
        let dispatcher = self.ingress.dispatcher();
        let fleet = self.fleet.borrow();
        let mut views = Vec::new();
        for pool in &accepted.sheet.pools {
            views.push(PoolView {
                live_hosts: fleet.endpoints(&pool.name).len(),
                in_flight: dispatcher.in_flight(&pool.name),
                queued: dispatcher.queued(&pool.name),
                pool: pool.clone(),
            });
        }
        views
    }

    fn waves(&self) -> Vec<Wave> {
        self.sheet.borrow().in_force().map(|accepted| accepted.sheet.waves.clone()).unwrap_or_default()
    }
}
