//! The daemon in the control role: accepts jobs from callers and reports their state. One of these daemons, the leader,
//! also schedules the jobs on workers.
//!
//! These daemons do not communicate directly. Their shared state is in the platform's store:
//!
//! | table | partition | key | value |
//! |---|---|---|---|
//! | `job` | `j0` to `j7`, by job ID | job ID | submission |
//! | `job` | as above | job ID followed by `/x` | cancellation request |
//! | `over` | `j0` to `j7`, by job ID | job ID | final phase of a job whose submission was removed, or that was cancelled before it was submitted, with its origin |
//! | `record` | `sched` | job ID | progress of the job's tasks |
//! | `phase` | `sched` | sequence version before the transaction | jobs whose phase changed in one transaction, with their origins |
//! | `phase` | `sched` | `/pending` | number of queued jobs of each queue, and the number of rows if there are several |
//! | `phase` | `sched` | `/pending/1` and so on | the same for further queues |
//! | `phase` | `sched` | `/pool-waits` | how long new jobs would wait in each pool; only if there are organisations. Earlier versions had `/admission`, by queue |
//! | `wave` | `sched` | wave number | hosts whose maintenance has begun |
//! | `host` | `sched` | `ordered` | hosts for which an order was sent recently |
//! | `lead` | `sched` | `owner` | current leader; the row's version is the fencing token |
//! | `lead` | `sched` | `sequence` | rewritten by each transaction of the leader; its version is the sequence version |
//!
//! Only the leader writes to the partition `sched`, apart from other daemons' claims of leadership.

mod access;
pub(crate) mod admission;
mod calls;
mod candidacy;
mod configuration;
mod election;
mod feed_health;
mod feeds;
mod http_api;
mod job_reads;
mod leader;
mod leader_load;
mod operator_api;
mod operator_feed;
mod orders;
mod organisation_metrics;
mod ownership;
mod sessions;
mod stage_metrics;
mod status;
mod submissions;
mod term;
mod worker_fences;
mod writer;

use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::channel::mpsc::UnboundedReceiver;
use futures::StreamExt;
use metrics_exporter_prometheus::PrometheusHandle;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use crate::boot_clock::BootClock;
use crate::clock::US_PER_MS;
use crate::daemon::watch_signals;
use crate::error::{Error, Result};
use crate::http_server::{serve, ServerControl, ServerLimits};
use crate::platform::row_store::RowStoreClient;
use crate::platform::settings::load;
use crate::platform::HttpClient;
use crate::reactor::{self, sleep_until, spawn, spawn_with, Listener, Priority, Reactor};
use crate::sched::model::{Catalog, WaveOrder};
use crate::telemetry;
use configuration::Configuration;
use organisation_metrics::OrganisationMetrics;
use status::StatusView;
use submissions::SubmissionQueue;

const LEADER_PARTITION: &str = "sched";
const JOB_TABLE: &str = "job";
const FINISHED_TABLE: &str = "over";
const RECORD_TABLE: &str = "record";
const PHASE_TABLE: &str = "phase";
const WAVE_TABLE: &str = "wave";
const HOST_TABLE: &str = "host";
const ORDERED_HOSTS_KEY: &str = "ordered";
const LEADER_TABLE: &str = "lead";
const PENDING_COUNTS_KEY: &str = "/pending";
const ADMISSION_KEY: &str = "/pool-waits";
/// Appended to a job's ID in the key of its cancellation request.
const CANCEL_SUFFIX: &str = "/x";
/// Number of partitions over which jobs are spread. The store commits about 200 transactions per second in each.
const JOB_PARTITIONS: u32 = 8;

const MAX_CONNECTIONS: usize = 2_000;
const MAX_HEADER_BYTES: usize = 16 * 1024;
/// Caller connections that stay idle for this long are closed.
const IDLE_TIMEOUT_MS: u64 = 30_000;
/// Interval at which idle outgoing connections are closed.
const IDLE_SWEEP_INTERVAL_MS: u64 = 2_000;
/// Interval at which recorded durations are added to their histograms. Until then each of them takes memory, also if
/// nobody reads the metrics.
const METRICS_UPKEEP_INTERVAL_MS: u64 = 5_000;
/// The daemon reports that it is not ready if the store has not answered for this long.
const STORE_UNREACHABLE_AFTER_MS: u64 = 1_600;
/// While the store answers, the configuration is confirmed more often than this; after a suspension of the process or an
/// outage it may be older.
const MAX_CONFIGURATION_AGE_MS: u64 = 2_500;
/// How long requests with keys wait at most for an older configuration to be confirmed.
const CONFIRMATION_TIMEOUT_MS: u64 = 500;
const CONFIRMATION_POLL_MS: u64 = 20;
/// Share of the shutdown grace period within which requests in progress must finish.
const REQUEST_GRACE_SHARE: f64 = 0.75;

/// Settings of a daemon in the control role.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// Unique name of this daemon.
    pub name: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Listen address for callers.
    pub callers_listen: SocketAddr,
    /// Listen address for the platform's readiness checks.
    pub readiness_listen: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address of the provider's API for hosts, if there is one.
    pub provider: Option<SocketAddr>,
    /// Address of the advice service, which decides which workers may run a step, if there is one.
    pub advice: Option<SocketAddr>,
    /// Whether workers fetch orders with their heartbeats instead of receiving calls. Unsupported: [`run`] rejects it.
    pub orders_by_heartbeat: bool,
    /// CPU limit of this daemon, in cores.
    pub cpu_share: f64,
    /// Longest lease that a worker accepts, in milliseconds.
    pub max_lease_ms: u64,
    /// Longest time that a worker takes to stop a run, in milliseconds.
    pub stop_grace_ms: u64,
    /// Minimum time between the orders of two leaders for the same host, in milliseconds.
    pub leader_change_wait_ms: u64,
    /// Time for which a host is unavailable while it moves to another pool, in milliseconds.
    pub host_move_ms: u64,
    /// Time for which a host is unavailable during maintenance, in milliseconds.
    pub host_maintenance_ms: u64,
    /// Maximum number of host orders that the provider accepts per second.
    pub host_orders_per_s: u32,
    /// Time between the stop signal and SIGKILL, in milliseconds.
    pub shutdown_grace_ms: u64,
    /// Whether no key is accepted while the configuration may have changed without this daemon's knowledge.
    pub revokes_strictly: bool,
    /// Time after the store's latest confirmation of the configuration until which keys are accepted if `revokes_strictly`
    /// is set, in milliseconds.
    pub revocation_ms: u64,
}

/// State of this daemon, shared by its async tasks, which all run on one thread.
struct ControlDaemon {
    settings: ControlSettings,
    clock: BootClock,
    http_client: Rc<HttpClient>,
    store: RowStoreClient,
    configuration: RefCell<Configuration>,
    /// Maintenance waves that operators ordered.
    waves: RefCell<Vec<WaveOrder>>,
    /// View of the jobs' phases, from which callers' status requests are answered.
    status: RefCell<StatusView>,
    submissions: SubmissionQueue,
    /// Present while this daemon leads and has restored the stored state.
    leader: RefCell<Option<Rc<leader::Leader>>>,
    is_stopping: Cell<bool>,
    /// Name of the leader, as last read from the store; `None` if it has stepped down or none has been read.
    known_leader: RefCell<Option<Arc<str>>>,
    organisation_metrics: RefCell<OrganisationMetrics>,
    /// This daemon does not claim leadership before this time. Set when it steps down because too few workers answer.
    no_claim_until_us: Cell<u64>,
    /// Stops the server for callers.
    api_server: Rc<ServerControl>,
}

impl ControlDaemon {
    fn now_us(&self) -> u64 {
        self.clock.now_us()
    }

    /// The queues, pools and organisations in force; `None` until they have been read.
    fn catalog(&self) -> Option<Arc<Catalog>> {
        self.configuration.borrow().catalog().cloned()
    }

    /// Whether callers' keys can be accepted by the configuration in force.
    fn may_accept_keys(&self) -> bool {
        !self.settings.revokes_strictly
            || self.configuration.borrow().is_confirmed(self.now_us(), self.settings.revocation_ms)
    }

    /// Waits briefly until the configuration has been confirmed lately, so that a key is not accepted that was withdrawn
    /// while this process was suspended or cut off. Without organisations, or if the store does not answer, does not wait.
    async fn refresh_configuration(&self) {
        let give_up_us = self.now_us() + CONFIRMATION_TIMEOUT_MS * US_PER_MS;
        while self.is_configuration_outdated() && self.store.is_reachable() && self.now_us() < give_up_us {
            self.sleep_ms(CONFIRMATION_POLL_MS).await;
        }
    }

    fn is_configuration_outdated(&self) -> bool {
        let configuration = self.configuration.borrow();
        configuration.catalog().is_some_and(|catalog| !catalog.organisations.is_empty())
            && !configuration.is_confirmed(self.now_us(), MAX_CONFIGURATION_AGE_MS)
    }

    /// Whether the store answers. While it does not, no job can be accepted.
    fn is_store_reachable(&self) -> bool {
        self.store.is_reachable() && self.now_us() < self.store.answered_us() + STORE_UNREACHABLE_AFTER_MS * US_PER_MS
    }

    async fn sleep_ms(&self, wait_ms: u64) {
        sleep_until(Instant::now() + Duration::from_millis(wait_ms)).await;
    }
}

/// Partition of a job's rows, chosen by the first digit of its ID.
fn job_partition(job: &str) -> String {
    let digit = job.chars().next().and_then(|first| first.to_digit(16)).unwrap_or(0);
    format!("j{}", digit % JOB_PARTITIONS)
}

/// Key of a part of the numbers of queued jobs, which are counted from 0.
fn pending_counts_key(part: usize) -> String {
    match part {
        0 => PENDING_COUNTS_KEY.to_owned(),
        _ => format!("{PENDING_COUNTS_KEY}/{part}"),
    }
}

/// Part of the numbers of queued jobs that a row holds, if it does.
fn pending_counts_part(key: &str) -> Option<usize> {
    let suffix = key.strip_prefix(PENDING_COUNTS_KEY)?;
    if suffix.is_empty() {
        return Some(0);
    }
    suffix.strip_prefix('/')?.parse().ok()
}

/// Runs the daemon until SIGTERM or SIGINT, then finishes requests in progress within the shutdown grace period.
///
/// # Errors
/// Fails if a setting is not supported, an address is in use or the event loop cannot start.
pub fn run(settings: ControlSettings, metrics_port: Option<u16>) -> Result<()> {
    // The recorder must be installed before the first metric is recorded.
    let metrics = telemetry::metrics_handle();
    if settings.orders_by_heartbeat {
        let fix = "heartbeat is not supported; must be call".to_owned();
        return Err(Error::SettingsFile { field: "orders".to_owned(), fix });
    }
    let signals = watch_signals(&[SIGTERM, SIGINT, SIGHUP])?;
    let mut reactor = Reactor::new().map_err(Error::io("start the event loop"))?;
    let callers_listener = bind(settings.callers_listen)?;
    let readiness_listener = bind(settings.readiness_listen)?;
    let metrics_listener = match metrics_port {
        Some(port) => Some(bind(SocketAddr::new(settings.callers_listen.ip(), port))?),
        None => None,
    };
    let http_client = Rc::new(HttpClient::new());
    let clock = BootClock::new();
    let daemon = Rc::new(ControlDaemon {
        store: RowStoreClient::new(http_client.clone(), settings.store, clock),
        http_client,
        configuration: RefCell::default(),
        waves: RefCell::default(),
        status: RefCell::default(),
        submissions: SubmissionQueue::default(),
        leader: RefCell::default(),
        known_leader: RefCell::default(),
        organisation_metrics: RefCell::default(),
        is_stopping: Cell::new(false),
        no_claim_until_us: Cell::new(0),
        api_server: Rc::default(),
        clock,
        settings,
    });
    log::info!("daemon={} zone={} outcome=started", daemon.settings.name, daemon.settings.zone);
    let limits = ServerLimits {
        max_connections: MAX_CONNECTIONS,
        header_timeout_ms: IDLE_TIMEOUT_MS,
        max_header_bytes: MAX_HEADER_BYTES,
    };
    spawn(serve(callers_listener, limits, daemon.api_server.clone(), http_api::job_handler(&daemon)));
    spawn(serve(readiness_listener, limits, Rc::default(), http_api::readiness_handler(&daemon)));
    if let Some(listener) = metrics_listener {
        spawn(serve(listener, limits, Rc::default(), operator_api::handler(&daemon, metrics.clone())));
    }
    spawn(operator_feed::follow(daemon.clone()));
    spawn(status::follow(daemon.clone()));
    // The leader commits its decisions in this future.
    spawn_with(Priority::High, election::run(daemon.clone()));
    spawn(close_idle_connections(daemon.clone()));
    spawn(bound_metrics(daemon.clone(), metrics));
    spawn(handle_signals(daemon.clone(), signals));
    submissions::start_writers(&daemon);
    let result = reactor.run().map_err(Error::io("run the event loop"));
    telemetry::flush_logs();
    result
}

fn bind(address: SocketAddr) -> Result<Listener> {
    let listener = TcpListener::bind(address).map_err(Error::io(format!("listen on {address}")))?;
    Listener::new(listener).map_err(Error::io(format!("register the listener of {address}")))
}

async fn close_idle_connections(daemon: Rc<ControlDaemon>) {
    loop {
        daemon.sleep_ms(IDLE_SWEEP_INTERVAL_MS).await;
        daemon.http_client.close_idle();
    }
}

async fn bound_metrics(daemon: Rc<ControlDaemon>, metrics: PrometheusHandle) {
    loop {
        daemon.sleep_ms(METRICS_UPKEEP_INTERVAL_MS).await;
        metrics.run_upkeep();
    }
}

async fn handle_signals(daemon: Rc<ControlDaemon>, mut signals: UnboundedReceiver<i32>) {
    while let Some(signal) = signals.next().await {
        if signal != SIGHUP {
            break;
        }
        // The settings file is only validated; the daemon keeps the settings it was started with.
        match load() {
            Ok(_) => log::info!("daemon={} outcome=settings_valid", daemon.settings.name),
            Err(error) => log::warn!("daemon={} error={error} outcome=settings_invalid", daemon.settings.name),
        }
    }
    log::info!("daemon={} outcome=stopping", daemon.settings.name);
    daemon.is_stopping.set(true);
    let deadline =
        Instant::now() + Duration::from_millis((daemon.settings.shutdown_grace_ms as f64 * REQUEST_GRACE_SHARE) as u64);
    leader::step_down(&daemon).await;
    daemon.api_server.stop();
    let closed = crate::endpoint_client::timeout_at(deadline, daemon.api_server.stopped()).await;
    if closed.is_none() {
        log::warn!("daemon={} outcome=stopped_with_open_connections", daemon.settings.name);
    }
    log::info!("daemon={} outcome=stopped", daemon.settings.name);
    reactor::stop();
}
