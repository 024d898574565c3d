//! State shared by the plug-ins of a daemon, all of which run on the event loop of its main thread.

mod run;
mod updates;

#[cfg(test)]
mod daemon_tests;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use futures::channel::mpsc::{unbounded, UnboundedReceiver};
use rand::Rng;

use crate::async_platform::AsyncPlatform;
use crate::clock::US_PER_MS;
use crate::daemon_registry::{DaemonInfo, DaemonRegistry};
use crate::dispatch::{DispatchSettings, Dispatcher};
use crate::fleet::Fleet;
use crate::http_server::ServerControl;
use crate::idempotency::ClosingQueue;
use crate::ingress::{Lane, Lanes};
use crate::ingress_state::{IngressState, LaneEvent};
use crate::peer_client::PeerClient;
use crate::peer_message::PoolLoad;
use crate::reactor::{sleep_until, Condvar, Listener};
use crate::settings::Settings;
use crate::sheet_state::SheetState;

pub(crate) use run::watch_signals;
pub use run::{add_sample_hosts, run, BoundDaemon};

/// Sockets bound before the daemon starts, so that a port in use is reported at once. The plug-ins take them over.
pub(crate) struct Listeners {
    pub(crate) callers: Option<std::net::TcpListener>,
    pub(crate) peers: Option<Listener>,
    pub(crate) admin: Option<Listener>,
}

/// Whether the platform answered the last poll.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PlatformStatus {
    /// It has not been polled yet.
    Unknown,
    Reachable,
    Unreachable,
}

/// State of a running daemon.
pub(crate) struct Daemon {
    pub(crate) settings: Settings,
    /// Shared with the lanes.
    pub(crate) ingress: Arc<IngressState>,
    /// Events from the lanes; taken by the plug-in that handles them.
    pub(crate) lane_events: RefCell<Option<UnboundedReceiver<LaneEvent>>>,
    /// The lanes, which are the threads that serve callers.
    pub(crate) lanes: RefCell<Lanes>,
    /// Serves requests that other daemons forward, on the main thread.
    pub(crate) forward_lane: Lane,
    /// Claims of idempotency keys that must be closed.
    pub(crate) closings: RefCell<ClosingQueue>,
    /// Notified when a closing is added to `closings`.
    pub(crate) closings_condvar: Condvar,
    pub(crate) platform: AsyncPlatform,
    pub(crate) fleet: RefCell<Fleet>,
    pub(crate) sheet: RefCell<SheetState>,
    pub(crate) registry: RefCell<DaemonRegistry>,
    /// Exchanges gossip and snapshots with peers.
    pub(crate) peer_client: PeerClient,
    /// Forwards requests to peers. Uses its own connections, because gossip rounds close those of `peer_client` to all
    /// but the gossip targets.
    pub(crate) forward_client: PeerClient,
    /// Load from the last gossip message of each peer, by daemon name.
    pub(crate) peer_load: RefCell<std::collections::BTreeMap<Arc<str>, Vec<PoolLoad>>>,
    pub(crate) platform_status: Cell<PlatformStatus>,
    /// Whether the daemon is shutting down.
    pub(crate) stopping: Cell<bool>,
    /// Stops the server for peers.
    pub(crate) peer_control: Rc<ServerControl>,
    /// Cloned by each open connection from a peer, so that the reference count gives their number.
    pub(crate) peer_connections: Rc<()>,
    /// Stops the server of the administration API.
    pub(crate) admin_control: Rc<ServerControl>,
    /// Notified when `update_count` grows.
    pub(crate) update_condvar: Condvar,
    /// Number of changes so far that peers must learn of before the next regular gossip round.
    pub(crate) update_count: Cell<u64>,
    /// Notified when a newer sheet is announced.
    pub(crate) sheet_condvar: Condvar,
    pub(crate) listeners: RefCell<Listeners>,
}

impl Daemon {
    pub(crate) fn new(
        settings: Settings,
        peer_address: SocketAddr,
        platform: AsyncPlatform,
        listeners: Listeners,
    ) -> Daemon {
        let incarnation = rand::rng().random::<u32>().into();
        let own = DaemonInfo {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            incarnation,
            peer_address: settings.peer_advertise.unwrap_or(peer_address),
        };
        let dispatch = DispatchSettings {
            default_slots: settings.endpoint_slots,
            endpoint_connections: settings.endpoint_connections,
            max_queued: settings.max_queued,
            max_queue_wait_us: settings.max_queue_wait_ms * US_PER_MS,
            ..DispatchSettings::default()
        };
        let dispatcher = Dispatcher::new(dispatch, &settings.name, &settings.zone, incarnation);
        let (lane_events, receiver) = unbounded();
        let ingress =
            Arc::new(IngressState::new(settings.clone(), dispatcher, incarnation, platform.clone(), lane_events));
        Daemon {
            forward_lane: Lane::new(ingress.clone()),
            ingress,
            lane_events: RefCell::new(Some(receiver)),
            lanes: RefCell::default(),
            closings: RefCell::default(),
            closings_condvar: Condvar::default(),
            fleet: RefCell::new(Fleet::new()),
            sheet: RefCell::new(SheetState::new()),
            registry: RefCell::new(DaemonRegistry::new(own)),
            peer_client: PeerClient::default(),
            forward_client: PeerClient::default(),
            peer_load: RefCell::default(),
            platform_status: Cell::new(PlatformStatus::Unknown),
            stopping: Cell::new(false),
            peer_control: Rc::default(),
            peer_connections: Rc::default(),
            admin_control: Rc::default(),
            update_condvar: Condvar::default(),
            update_count: Cell::new(0),
            sheet_condvar: Condvar::default(),
            listeners: RefCell::new(listeners),
            settings,
            platform,
        }
    }

    pub(crate) fn now_us(&self) -> u64 {
        self.ingress.now_us()
    }

    /// Number of open connections from peers.
    pub(crate) fn peer_connection_count(&self) -> usize {
        Rc::strong_count(&self.peer_connections) - 1
    }

    /// Sleeps without blocking the event loop.
    pub(crate) async fn sleep_ms(&self, wait_ms: u64) {
        self.sleep_us(wait_ms * US_PER_MS).await;
    }

    /// Sleeps without blocking the event loop.
    pub(crate) async fn sleep_us(&self, wait_us: u64) {
        sleep_until(self.ingress.clock.instant(self.now_us() + wait_us)).await;
    }

    /// Whether the daemon is ready to serve callers.
    pub(crate) fn is_ready(&self) -> bool {
        self.sheet.borrow().in_force().is_some() && !self.stopping.get()
    }

    /// Triggers a gossip round, so that peers learn of a change without waiting for the next regular round.
    pub(crate) fn notify_peers(&self) {
        self.update_count.set(self.update_count.get() + 1);
        self.update_condvar.notify();
    }
}
