//! The daemon on the users' platform: takes jobs from callers, answers for their state, and, on one daemon at a time,
//! leads the scheduler.
//!
//! Daemons do not talk to each other. What they share is in the platform's store:
//!
//! | table | partition | key | value |
//! |---|---|---|---|
//! | `job` | by the job's name | job | submission |
//! | `job` | by the job's name | job, `/x` | wish to cancel it |
//! | `over` | by the job's name | job | final phase of a job whose submission was removed |
//! | `record` | `sched` | job | its work items, written by the leader |
//! | `phase` | `sched` | number of a transaction | jobs whose callers are told something new by it |
//! | `phase` | `sched` | `/pending` | jobs of each queue that have not begun |
//! | `wave` | `sched` | wave | hosts whose maintenance has begun |
//! | `lead` | `sched` | `owner` | leader; its version is the fencing token |
//! | `lead` | `sched` | `sequence` | changes with each of the leader's transactions |

mod boot_clock;
mod calls;
mod election;
mod feeds;
mod front;
mod intake;
mod leader;
mod orders;
mod sessions;
mod status;
mod watch;
mod writer;

use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::channel::mpsc::UnboundedReceiver;
use futures::StreamExt;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use crate::daemon::watch_signals;
use crate::error::{Error, Result};
use crate::http_server::{serve, ServerControl, ServerLimits};
use crate::platform::settings::load;
use crate::platform::store::StoreClient;
use crate::platform::Caller;
use crate::reactor::{self, sleep_until, spawn, Listener, Reactor};
use crate::sched::model::Catalog;
use crate::telemetry;
use boot_clock::BootClock;
use intake::Intake;
use status::StatusView;

/// Partition that only the leader writes.
const LEADER_PARTITION: &str = "sched";
const JOB_TABLE: &str = "job";
const OVER_TABLE: &str = "over";
const RECORD_TABLE: &str = "record";
const PHASE_TABLE: &str = "phase";
const WAVE_TABLE: &str = "wave";
/// Hosts about which orders went out lately.
const HOST_TABLE: &str = "host";
const ORDERED_KEY: &str = "ordered";
const LEAD_TABLE: &str = "lead";
const PENDING_KEY: &str = "/pending";
/// Ending of the key under which a wish to cancel a job is kept.
const CANCEL_SUFFIX: &str = "/x";
/// Partitions over which submissions are spread; each takes some two hundred transactions a second.
const JOB_PARTITIONS: u32 = 8;

const MAX_CONNECTIONS: usize = 2_000;
const MAX_HEADER_BYTES: usize = 16 * 1024;
/// Idle time after which a caller's connection is closed.
const IDLE_TIMEOUT_MS: u64 = 30_000;
/// Time between sweeps of idle connections to workers and services.
const SWEEP_MS: u64 = 2_000;
/// A daemon that has had no answer from the store for so long takes no new connections.
const STORE_LOST_AFTER_MS: u64 = 1_600;
/// Part of the time that the platform grants for a stop in which answers are finished.
const STOP_SHARE: f64 = 0.75;

/// Settings of the daemon on the users' platform.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// Unique name of this daemon.
    pub name: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Address for callers.
    pub callers_listen: SocketAddr,
    /// Address at which the platform asks whether this daemon takes new connections.
    pub readiness_listen: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address of the provider's interface to hosts.
    pub provider: Option<SocketAddr>,
    /// Address of the service that says which workers may run a step.
    pub advice: Option<SocketAddr>,
    /// Whether workers fetch their orders with their heartbeats instead of being called.
    pub orders_by_heartbeat: bool,
    /// Share of a processor core that this daemon may use.
    pub cpu_share: f64,
    /// Longest lease that workers accept, in milliseconds.
    pub max_lease_ms: u64,
    /// Longest time that a stop of a run takes, in milliseconds.
    pub stop_grace_ms: u64,
    /// Time between two holders' orders for the same host, in milliseconds.
    pub holder_change_ms: u64,
    /// Time that a host is away when it changes its pool, in milliseconds.
    pub host_move_ms: u64,
    /// Time that a host is away for maintenance, in milliseconds.
    pub host_maintenance_ms: u64,
    /// Orders about hosts that the provider takes in a second.
    pub host_orders_per_s: u32,
    /// Time between a stop signal and the kill, in milliseconds.
    pub shutdown_grace_ms: u64,
}

/// State that the daemon's parts share, all on one thread.
struct Node {
    settings: ControlSettings,
    clock: BootClock,
    caller: Rc<Caller>,
    store: StoreClient,
    catalog: RefCell<Option<Arc<Catalog>>>,
    waves: RefCell<Vec<crate::sched::model::WaveOrder>>,
    status: RefCell<StatusView>,
    intake: Intake,
    leader: RefCell<Option<Rc<leader::Leader>>>,
    is_stopping: Cell<bool>,
    store_answered_us: Cell<u64>,
    /// A leader that reached too few workers lets others lead until then.
    no_claim_until_us: Cell<u64>,
    front_control: Rc<ServerControl>,
}

impl Node {
    fn now_us(&self) -> u64 {
        self.clock.now_us()
    }

    /// Notes that the store has answered.
    fn store_answered(&self) {
        self.store_answered_us.set(self.now_us());
    }

    /// Whether the store has answered lately; without it nothing can be accepted.
    fn store_is_near(&self) -> bool {
        self.now_us() < self.store_answered_us.get() + STORE_LOST_AFTER_MS * crate::clock::US_PER_MS
    }

    async fn sleep_ms(&self, wait_ms: u64) {
        sleep_until(Instant::now() + Duration::from_millis(wait_ms)).await;
    }
}

/// Partition of a job's submission.
fn job_partition(job: &str) -> String {
    let digit = job.chars().next().and_then(|digit| digit.to_digit(16)).unwrap_or(0);
    format!("j{}", digit % JOB_PARTITIONS)
}

/// Runs the daemon until SIGTERM or SIGINT, and then until its last request is answered.
///
/// # Errors
/// Fails if an address is taken or the event loop cannot start.
pub fn run(settings: ControlSettings, metrics_port: Option<u16>) -> Result<()> {
    // Installed before anything is counted.
    let metrics = telemetry::metrics_handle();
    if settings.orders_by_heartbeat {
        let fix = "heartbeat is not supported; must be call".to_owned();
        return Err(Error::DeploymentSetting { field: "orders".to_owned(), fix });
    }
    let signals = watch_signals(&[SIGTERM, SIGINT, SIGHUP])?;
    let mut reactor = Reactor::new().map_err(Error::io("start the event loop"))?;
    let callers = bind(settings.callers_listen)?;
    let readiness = bind(settings.readiness_listen)?;
    let metrics_listener = match metrics_port {
        Some(port) => Some(bind(SocketAddr::new(settings.callers_listen.ip(), port))?),
        None => None,
    };
    let caller = Rc::new(Caller::new());
    let clock = BootClock::new();
    let node = Rc::new(Node {
        store: StoreClient::new(caller.clone(), settings.store),
        caller,
        catalog: RefCell::default(),
        waves: RefCell::default(),
        status: RefCell::default(),
        intake: Intake::default(),
        leader: RefCell::default(),
        is_stopping: Cell::new(false),
        store_answered_us: Cell::new(0),
        no_claim_until_us: Cell::new(0),
        front_control: Rc::default(),
        clock,
        settings,
    });
    log::info!("daemon={} zone={} outcome=started", node.settings.name, node.settings.zone);
    let limits = ServerLimits {
        max_connections: MAX_CONNECTIONS,
        header_timeout_ms: IDLE_TIMEOUT_MS,
        max_header_bytes: MAX_HEADER_BYTES,
    };
    spawn(serve(callers, limits, node.front_control.clone(), front::handler(&node)));
    spawn(serve(readiness, limits, Rc::default(), front::readiness_handler(&node)));
    if let Some(listener) = metrics_listener {
        spawn(serve(listener, limits, Rc::default(), front::metrics_handler(metrics)));
    }
    spawn(watch::follow_operator(node.clone()));
    spawn(status::follow(node.clone()));
    spawn(election::take_part(node.clone()));
    spawn(sweep(node.clone()));
    spawn(stop_on_signal(node.clone(), signals));
    intake::start(&node);
    let ended = reactor.run().map_err(Error::io("run the event loop"));
    telemetry::flush_logs();
    ended
}

fn bind(address: SocketAddr) -> Result<Listener> {
    let listener = TcpListener::bind(address).map_err(Error::io(format!("listen on {address}")))?;
    Listener::new(listener).map_err(Error::io(format!("register the listener of {address}")))
}

async fn sweep(node: Rc<Node>) {
    loop {
        node.sleep_ms(SWEEP_MS).await;
        node.caller.close_idle();
    }
}

async fn stop_on_signal(node: Rc<Node>, mut signals: UnboundedReceiver<i32>) {
    while let Some(signal) = signals.next().await {
        if signal != SIGHUP {
            break;
        }
        match load() {
            Ok(_) => log::info!("daemon={} outcome=settings_read", node.settings.name),
            Err(error) => log::warn!("daemon={} error={error} outcome=settings_kept", node.settings.name),
        }
    }
    log::info!("daemon={} outcome=stopping", node.settings.name);
    node.is_stopping.set(true);
    let latest = Instant::now() + Duration::from_millis((node.settings.shutdown_grace_ms as f64 * STOP_SHARE) as u64);
    leader::resign(&node).await;
    node.front_control.stop();
    let stopped = crate::endpoint_client::before(latest, node.front_control.stopped()).await;
    if stopped.is_none() {
        log::warn!("daemon={} outcome=stopped_with_open_connections", node.settings.name);
    }
    log::info!("daemon={} outcome=stopped", node.settings.name);
    reactor::stop();
}
