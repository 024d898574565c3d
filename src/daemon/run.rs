//! Lifecycle of a daemon: bind, start, serve, drain, stop.

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::thread;

use futures::channel::mpsc::{unbounded, UnboundedReceiver};
use futures::StreamExt;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use super::{Daemon, Listeners};
use crate::async_platform::AsyncPlatform;
use crate::clock::US_PER_MS;
use crate::daemon_registry::LEASE_PREFIX;
use crate::error::{Error, Result};
use crate::http_platform::HttpPlatform;
use crate::platform::{HostState, Platform, PlatformError};
use crate::plugin::start_plugins;
use crate::reactor::{self, spawn, Listener, Reactor};
use crate::sample_endpoint;
use crate::settings::{PlatformSetting, Settings};
use crate::sheet::Sheet;
use crate::sheet_store::{self, ApplyRequest};
use crate::standin::{EmbeddedPlatform, HostUpdate, StandIn};
use crate::table::{CommitOutcome, Row, Transaction};
use crate::telemetry;

const PLATFORM_THREADS: usize = 4;
/// Interval between checks for requests, closings and connections in progress while stopping.
const DRAIN_POLL_INTERVAL_MS: u64 = 10;
/// The first attempt can meet a conflict with a renewal whose answer was lost, the next one with a renewal that took
/// effect late.
const MAX_RELEASE_ATTEMPTS: u32 = 3;
/// Time limit for closing the remaining claims while stopping.
const CLOSINGS_TIMEOUT_MS: u64 = 5_000;
/// Team, and apply id, of the sheet that is applied to an embedded platform.
const EMBEDDED_TEAM: &str = "embedded";

/// A daemon whose sockets are bound but which does not serve yet.
#[derive(Debug)]
pub struct BoundDaemon {
    settings: Settings,
    callers: TcpListener,
    admin: TcpListener,
    peers: TcpListener,
}

impl BoundDaemon {
    /// Binds the addresses given in the settings.
    ///
    /// # Errors
    /// Fails if settings contradict each other or an address cannot be bound.
    pub fn bind(settings: Settings) -> Result<BoundDaemon> {
        settings.validate()?;
        let bind = |name: &str, address: SocketAddr| {
            TcpListener::bind(address).map_err(Error::io(format!("--{name} {address}")))
        };
        Ok(BoundDaemon {
            callers: bind("listen", settings.listen)?,
            admin: bind("admin-listen", settings.admin_listen)?,
            peers: bind("peer-listen", settings.peer_listen)?,
            settings,
        })
    }

    /// Formats the bound addresses as `callers=A admin=B peers=C`.
    ///
    /// # Errors
    /// Fails if the operating system does not report them.
    pub fn addresses(&self) -> Result<String> {
        let address = |listener: &TcpListener| listener.local_addr().map_err(Error::io("read a listener's address"));
        let (callers, admin, peers) = (address(&self.callers)?, address(&self.admin)?, address(&self.peers)?);
        Ok(format!("callers={callers} admin={admin} peers={peers}"))
    }
}

/// Runs a daemon until SIGTERM or SIGINT, and then until its last request is answered.
///
/// # Errors
/// Fails if the daemon cannot start.
pub fn run(bound: BoundDaemon) -> Result<()> {
    // Installs the metrics recorder before the first metric is recorded.
    let _ = telemetry::metrics_handle();
    let addresses = bound.addresses()?;
    let BoundDaemon { settings, callers, admin, peers } = bound;
    let platform = connect_platform(&settings)?;
    let signals = watch_signals(&[SIGTERM, SIGINT])?;
    let mut reactor = Reactor::new().map_err(Error::io("start the event loop"))?;
    let peer_address = peers.local_addr().map_err(Error::io("read a listener's address"))?;
    let listeners = Listeners {
        callers: Some(callers),
        peers: Some(Listener::new(peers).map_err(Error::io("register the peer listener"))?),
        admin: Some(Listener::new(admin).map_err(Error::io("register the admin listener"))?),
    };
    let pool = AsyncPlatform::start(platform, PLATFORM_THREADS);
    let daemon = Rc::new(Daemon::new(settings, peer_address, pool, listeners));
    start_plugins(&daemon)?;
    log::info!("daemon={} zone={} {addresses} outcome=started", daemon.settings.name, daemon.settings.zone);
    telemetry::print_startup_line(&addresses);
    spawn(stop_on_signal(daemon.clone(), signals));
    reactor.run().map_err(Error::io("run the event loop"))
}

fn connect_platform(settings: &Settings) -> Result<Arc<dyn Platform>> {
    match &settings.platform {
        PlatformSetting::Http(url) => Ok(Arc::new(HttpPlatform::new(url, &settings.zone))),
        PlatformSetting::Embedded => {
            let platform = EmbeddedPlatform::new(StandIn::new(), &settings.zone);
            if let Some(path) = &settings.sheet {
                let body = std::fs::read(path).map_err(Error::io(format!("--sheet {path}")))?;
                let sheet = Sheet::read(&body)?;
                add_sample_hosts(platform.standin(), &sheet)?;
                let request =
                    ApplyRequest { body: &body, base_version: None, apply_id: EMBEDDED_TEAM, team: EMBEDDED_TEAM };
                sheet_store::apply(&platform, &request)?;
            }
            Ok(Arc::new(platform))
        }
    }
}

/// Starts a sample endpoint for every host of the sheet and adds it to the stand-in's host list.
///
/// # Errors
/// Fails if no port is free.
pub fn add_sample_hosts(standin: &StandIn, sheet: &Sheet) -> Result<()> {
    let mut names: Vec<Arc<str>> = Vec::new();
    for pool in &sheet.pools {
        for number in 1..=pool.host_count {
            names.push(format!("{}-{number}", pool.name).into());
        }
    }
    let mut endpoints = sample_endpoint::start(&names)?.into_iter();
    for pool in &sheet.pools {
        for (index, endpoint) in endpoints.by_ref().take(pool.host_count as usize).enumerate() {
            let update = HostUpdate {
                address: endpoint.address,
                zone: pool.zones[index % pool.zones.len()].clone(),
                pool: pool.name.clone(),
                state: HostState::Live,
            };
            let now_us = standin.now_us();
            standin.state().put_host(now_us, &endpoint.name, &update);
        }
    }
    Ok(())
}

/// Returns a stream of the given Unix signals, which a new thread receives.
pub(crate) fn watch_signals(signals: &[i32]) -> Result<UnboundedReceiver<i32>> {
    let mut signals = Signals::new(signals).map_err(Error::io("watch signals"))?;
    let (sender, receiver) = unbounded();
    thread::spawn(move || {
        for signal in signals.forever() {
            if sender.unbounded_send(signal).is_err() {
                return;
            }
        }
    });
    Ok(receiver)
}

async fn stop_on_signal(daemon: Rc<Daemon>, mut signals: UnboundedReceiver<i32>) {
    let _ = signals.next().await;
    log::info!("requests_in_progress={} outcome=stopping", daemon.ingress.requests.len());
    daemon.stopping.set(true);
    spawn(log_further_signals(daemon.clone(), signals));
    let lanes = std::mem::take(&mut *daemon.lanes.borrow_mut());
    lanes.stop().await;
    // The lanes wait only for their connections. A request whose caller has disconnected may still be running.
    while daemon.ingress.requests.len() > 0 {
        daemon.sleep_ms(DRAIN_POLL_INTERVAL_MS).await;
    }
    wait_for_closings(&daemon).await;
    release_lease(&daemon).await;
    daemon.peer_control.stop();
    // The peer server limits the time that each connection takes to close.
    while daemon.peer_connection_count() > 0 {
        daemon.sleep_ms(DRAIN_POLL_INTERVAL_MS).await;
    }
    log::info!("outcome=stopped");
    reactor::stop();
}

/// Logs further signals, which do not shorten the shutdown, with the requests that a SIGKILL would abort.
async fn log_further_signals(daemon: Rc<Daemon>, mut signals: UnboundedReceiver<i32>) {
    while signals.next().await.is_some() {
        let request_ids = daemon.ingress.requests.request_ids();
        log::warn!("still stopping; a kill would cut {} requests: {}", request_ids.len(), request_ids.join(", "));
    }
}

/// Waits until all claims are closed, but no longer than [`CLOSINGS_TIMEOUT_MS`]. A caller that retries with the
/// idempotency key of a claim that was not closed is told that the outcome is unknown.
async fn wait_for_closings(daemon: &Daemon) {
    let deadline_us = daemon.now_us() + CLOSINGS_TIMEOUT_MS * US_PER_MS;
    while daemon.closings.borrow().len() > 0 && daemon.now_us() < deadline_us {
        daemon.sleep_ms(DRAIN_POLL_INTERVAL_MS).await;
    }
    let unclosed = daemon.closings.borrow().len();
    if unclosed > 0 {
        log::warn!("claims={unclosed} outcome=claims_not_closed");
    }
}

/// Releases the lease, so that other daemons do not count this one as live until the lease expires.
async fn release_lease(daemon: &Daemon) {
    let Some(mut release) = daemon.registry.borrow().release_transaction() else { return };
    for _ in 0..MAX_RELEASE_ATTEMPTS {
        let rows = match daemon.platform.call("release", move |platform| release_or_scan(platform, &release)).await {
            Ok(Some(rows)) => rows,
            Ok(None) => return,
            Err(error) => {
                log::warn!("error={error} outcome=lease_not_released");
                return;
            }
        };
        match daemon.registry.borrow().release_transaction_after_conflict(&rows) {
            Some(repeated) => release = repeated,
            None => return,
        }
    }
    log::warn!("attempts={MAX_RELEASE_ATTEMPTS} outcome=lease_not_released");
}

/// Commits the release of a lease. If it meets a conflict, returns the lease rows.
fn release_or_scan(
    platform: &dyn Platform,
    release: &Transaction,
) -> std::result::Result<Option<Vec<Row>>, PlatformError> {
    match platform.commit(release)? {
        CommitOutcome::Committed { .. } => Ok(None),
        CommitOutcome::Conflict { .. } => platform.scan(LEASE_PREFIX).map(Some),
    }
}
