//! State that the parts of a daemon share, all on one thread.

mod events;
mod run;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use futures::channel::mpsc::{unbounded, UnboundedReceiver};
use rand::Rng;

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
use crate::platform_pool::PlatformPool;
use crate::reactor::{sleep_until, Listener, Signal};
use crate::settings::Settings;
use crate::sheet_state::SheetState;

pub(crate) use run::watch_signals;
pub use run::{populate, run, BoundDaemon};

/// Sockets taken before the daemon starts, so that a taken port is reported at once.
pub(crate) struct Listeners {
    pub(crate) callers: Option<std::net::TcpListener>,
    pub(crate) peers: Option<Listener>,
    pub(crate) admin: Option<Listener>,
}

/// Whether the last call to the platform was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PlatformLink {
    /// There was no call yet.
    Unknown,
    Reachable,
    Unreachable,
}

/// See the module.
pub(crate) struct Daemon {
    pub(crate) settings: Settings,
    /// Shared with the threads that serve callers.
    pub(crate) ingress: Arc<IngressState>,
    pub(crate) reports: RefCell<Option<UnboundedReceiver<LaneEvent>>>,
    pub(crate) lanes: RefCell<Lanes>,
    /// Serves requests that other daemons forward.
    pub(crate) forward_lane: Lane,
    /// Ends of claims to be written.
    pub(crate) closings: RefCell<ClosingQueue>,
    pub(crate) closings_added: Signal,
    pub(crate) platform: PlatformPool,
    pub(crate) fleet: RefCell<Fleet>,
    pub(crate) sheet: RefCell<SheetState>,
    pub(crate) registry: RefCell<DaemonRegistry>,
    pub(crate) peers: PeerClient,
    /// Connections over which requests are forwarded.
    pub(crate) forward_peers: PeerClient,
    pub(crate) peer_load: RefCell<std::collections::BTreeMap<Arc<str>, Vec<PoolLoad>>>,
    pub(crate) platform_link: Cell<PlatformLink>,
    /// The daemon finishes its work to stop.
    pub(crate) stopping: Cell<bool>,
    pub(crate) peer_control: Rc<ServerControl>,
    /// Each open connection of a peer holds a clone.
    pub(crate) peer_connections: Rc<()>,
    pub(crate) admin_control: Rc<ServerControl>,
    /// There is news for peers.
    pub(crate) news: Signal,
    pub(crate) news_count: Cell<u64>,
    /// A newer sheet was heard of.
    pub(crate) sheet_wanted: Signal,
    pub(crate) listeners: RefCell<Listeners>,
}

impl Daemon {
    pub(crate) fn new(
        settings: Settings,
        peer_address: SocketAddr,
        platform: PlatformPool,
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
        let (reports, receiver) = unbounded();
        let ingress = Arc::new(IngressState::new(settings.clone(), dispatcher, incarnation, platform.clone(), reports));
        Daemon {
            forward_lane: Lane::new(ingress.clone()),
            ingress,
            reports: RefCell::new(Some(receiver)),
            lanes: RefCell::default(),
            closings: RefCell::default(),
            closings_added: Signal::default(),
            fleet: RefCell::new(Fleet::new()),
            sheet: RefCell::new(SheetState::new()),
            registry: RefCell::new(DaemonRegistry::new(own)),
            peers: PeerClient::default(),
            forward_peers: PeerClient::default(),
            peer_load: RefCell::default(),
            platform_link: Cell::new(PlatformLink::Unknown),
            stopping: Cell::new(false),
            peer_control: Rc::default(),
            peer_connections: Rc::default(),
            admin_control: Rc::default(),
            news: Signal::default(),
            news_count: Cell::new(0),
            sheet_wanted: Signal::default(),
            listeners: RefCell::new(listeners),
            settings,
            platform,
        }
    }

    pub(crate) fn now_us(&self) -> u64 {
        self.ingress.now_us()
    }

    /// Open connections of peers.
    pub(crate) fn peer_connection_count(&self) -> usize {
        Rc::strong_count(&self.peer_connections) - 1
    }

    /// Waits on the event loop.
    pub(crate) async fn sleep_ms(&self, wait_ms: u64) {
        self.sleep_us(wait_ms * US_PER_MS).await;
    }

    /// Waits on the event loop.
    pub(crate) async fn sleep_us(&self, wait_us: u64) {
        sleep_until(self.ingress.clock.instant(self.now_us() + wait_us)).await;
    }

    /// Whether callers should be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        self.sheet.borrow().in_force().is_some() && !self.stopping.get()
    }

    /// Makes the gossip task tell peers at once.
    pub(crate) fn tell_peers(&self) {
        self.news_count.set(self.news_count.get() + 1);
        self.news.notify();
    }
}
