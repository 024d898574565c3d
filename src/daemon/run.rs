//! Life of a daemon: bind, start, serve, drain, stop.

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::thread;

use futures::channel::mpsc::{unbounded, UnboundedReceiver};
use futures::StreamExt;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use super::{Daemon, Listeners};
use crate::clock::US_PER_MS;
use crate::error::{Error, Result};
use crate::kernel::start_plugins;
use crate::platform::{HostState, Platform};
use crate::platform_client::HttpPlatform;
use crate::platform_pool::PlatformPool;
use crate::reactor::{self, spawn, Listener, Reactor};
use crate::sample_endpoint;
use crate::settings::{PlatformSetting, Settings};
use crate::sheet::Sheet;
use crate::sheet_store::{self, ApplyRequest};
use crate::standin::{EmbeddedPlatform, HostUpdate, StandIn};
use crate::telemetry;

const PLATFORM_THREADS: usize = 4;
/// Time between looks at the requests that are still in progress while stopping.
const DRAIN_CHECK_MS: u64 = 10;
/// Longest time to write the ends of claims while stopping.
const MAX_CLOSING_MS: u64 = 5_000;
const EMBEDDED_TEAM: &str = "embedded";

/// A daemon whose sockets are bound.
#[derive(Debug)]
pub struct BoundDaemon {
    settings: Settings,
    callers: TcpListener,
    admin: TcpListener,
    peers: TcpListener,
}

impl BoundDaemon {
    /// Binds the sockets that the settings name.
    ///
    /// # Errors
    /// Fails on settings that do not fit together and on addresses that are taken.
    pub fn bind(settings: Settings) -> Result<BoundDaemon> {
        settings.check()?;
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

    /// Addresses as `callers=A admin=B peers=C`.
    ///
    /// # Errors
    /// Fails if the operating system does not tell them.
    pub fn addresses(&self) -> Result<String> {
        let address = |listener: &TcpListener| listener.local_addr().map_err(Error::io("read a listener's address"));
        let (callers, admin, peers) = (address(&self.callers)?, address(&self.admin)?, address(&self.peers)?);
        Ok(format!("callers={callers} admin={admin} peers={peers}"))
    }
}

/// Runs a daemon until SIGTERM or SIGINT, and then until its last request is answered.
///
/// # Errors
/// Fails if a part of the daemon cannot start.
pub fn run(bound: BoundDaemon) -> Result<()> {
    // Installed before anything is counted.
    let _ = telemetry::metrics_handle();
    let addresses = bound.addresses()?;
    let BoundDaemon { settings, callers, admin, peers } = bound;
    let platform = connect_platform(&settings)?;
    let signals = watch_signals(&[SIGTERM, SIGINT])?;
    let mut reactor = Reactor::new().map_err(Error::io("start the event loop"))?;
    let peer_address = peers.local_addr().map_err(Error::io("read a listener's address"))?;
    let listeners = Listeners {
        callers: Some(callers),
        peers: Some(Listener::new(peers).map_err(Error::io("register the peers' listener"))?),
        admin: Some(Listener::new(admin).map_err(Error::io("register the administration's listener"))?),
    };
    let pool = PlatformPool::start(platform, PLATFORM_THREADS);
    let daemon = Rc::new(Daemon::new(settings, peer_address, pool, listeners));
    start_plugins(&daemon)?;
    log::info!("{} in zone {} serves {addresses}", daemon.settings.name, daemon.settings.zone);
    telemetry::announce(&addresses);
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
                populate(platform.standin(), &sheet)?;
                let apply =
                    ApplyRequest { body: &body, base_version: None, apply_id: EMBEDDED_TEAM, team: EMBEDDED_TEAM };
                sheet_store::apply(&platform, &apply)?;
            }
            Ok(Arc::new(platform))
        }
    }
}

/// Starts a sample endpoint for every host of the sheet and lists it in the stand-in.
///
/// # Errors
/// Fails if no port is free.
pub fn populate(standin: &StandIn, sheet: &Sheet) -> Result<()> {
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
            standin.store().put_host(now_us, &endpoint.name, &update);
        }
    }
    Ok(())
}

/// Delivers these signals to the event loop.
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
    log::info!("stopping: no new work, {} requests in progress", daemon.ingress.requests.len());
    daemon.stopping.set(true);
    spawn(report_further_signals(daemon.clone(), signals));
    let lanes = std::mem::take(&mut *daemon.lanes.borrow_mut());
    lanes.stop().await;
    // Requests whose callers hung up run on without a connection.
    while daemon.ingress.requests.len() > 0 {
        daemon.sleep_ms(DRAIN_CHECK_MS).await;
    }
    write_closings(&daemon).await;
    hand_back_lease(&daemon).await;
    daemon.peer_control.stop();
    // The server bounds the time that each of them takes to close.
    while daemon.peer_connection_count() > 0 {
        daemon.sleep_ms(DRAIN_CHECK_MS).await;
    }
    log::info!("stopped");
    reactor::stop();
}

/// A planned stop cuts nothing, however often it is asked for.
async fn report_further_signals(daemon: Rc<Daemon>, mut signals: UnboundedReceiver<i32>) {
    while signals.next().await.is_some() {
        let names = daemon.ingress.requests.request_ids();
        log::warn!("still stopping; a kill would cut {} requests: {}", names.len(), names.join(", "));
    }
}

/// Gives the ends of claims some time to be written.
async fn write_closings(daemon: &Daemon) {
    let latest_us = daemon.now_us() + MAX_CLOSING_MS * US_PER_MS;
    while daemon.closings.borrow().len() > 0 && daemon.now_us() < latest_us {
        daemon.sleep_ms(DRAIN_CHECK_MS).await;
    }
    let left = daemon.closings.borrow().len();
    if left > 0 {
        log::warn!("the ends of {left} keyed requests were not written; resends will be told unknown");
    }
}

async fn hand_back_lease(daemon: &Daemon) {
    let Some(release) = daemon.registry.borrow().release() else { return };
    let released = daemon.platform.call("release", move |platform| platform.commit(&release)).await;
    if let Err(error) = released {
        log::warn!("the lease was not handed back and will lapse: {error}");
    }
}
