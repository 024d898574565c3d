//! Follows the platform: the current sheet, the host list and the daemons' leases.

use std::net::SocketAddr;
use std::rc::Rc;

use rand::Rng;

use crate::clock::US_PER_MS;
use crate::daemon::{Daemon, PlatformLink};
use crate::daemon_registry::{LEASE_PREFIX, RENEW_EVERY_US};
use crate::error::Result;
use crate::kernel::{Plugin, Stage};
use crate::peer_message::{PeerReply, PeerRequest};
use crate::platform::{HostChanges, Platform, PlatformError};
use crate::reactor::spawn;
use crate::sheet_state::SheetRef;
use crate::sheet_store;
use crate::table::Commit;

/// Time between two looks at the sheet and the host list.
const POLL_MS: u64 = 1_000;
/// Waits differ by up to this share, so that daemons do not ask in step.
const JITTER: f64 = 0.2;
/// Time between tries to fetch a sheet or a snapshot.
const FETCH_RETRY_MS: u64 = 250;
const HOUSEKEEPING_MS: u64 = 5_000;

inventory::submit! {
    Plugin { name: "membership", stage: Stage::Membership, start }
}

fn start(daemon: &Rc<Daemon>) -> Result<()> {
    spawn(follow_platform(daemon.clone()));
    spawn(follow_leases(daemon.clone()));
    spawn(fetch_sheets(daemon.clone()));
    spawn(keep_house(daemon.clone()));
    Ok(())
}

/// Waits about as long as said.
async fn sleep_about_ms(daemon: &Daemon, wait_ms: u64) {
    let jitter = rand::rng().random_range(1.0 - JITTER..1.0 + JITTER);
    daemon.sleep_us(((wait_ms * US_PER_MS) as f64 * jitter) as u64).await;
}

/// One look at the platform.
struct Look {
    sheet: Option<SheetRef>,
    hosts: HostChanges,
}

fn look(platform: &dyn Platform, cursor: u64) -> Result<Look, PlatformError> {
    let sheet = sheet_store::current(platform)?.map(|record| record.reference);
    Ok(Look { sheet, hosts: platform.hosts(cursor)? })
}

async fn follow_platform(daemon: Rc<Daemon>) {
    loop {
        let cursor = daemon.fleet.borrow().cursor();
        let looked = daemon.platform.call("look", move |platform| look(platform, cursor)).await;
        note_reachable(&daemon, looked.as_ref().err());
        if let Ok(look) = looked {
            daemon.apply_hosts(look.hosts);
            if let Some(reference) = &look.sheet {
                daemon.hear_of_sheet(reference);
            }
        }
        sleep_about_ms(&daemon, POLL_MS).await;
    }
}

fn note_reachable(daemon: &Daemon, error: Option<&PlatformError>) {
    let link = if error.is_none() { PlatformLink::Reachable } else { PlatformLink::Unreachable };
    let changed = daemon.platform_link.replace(link) != link;
    match error {
        None if changed => log::info!("the platform answers"),
        None => {}
        Some(error) => {
            metrics::counter!("platform_errors_total").increment(1);
            if changed {
                log::warn!("{error}; serving what is known");
            }
        }
    }
}

async fn follow_leases(daemon: Rc<Daemon>) {
    while !daemon.stopping.get() {
        let renewal = daemon.registry.borrow_mut().renewal_transaction();
        let look = daemon.registry.borrow().look_is_due(daemon.now_us());
        let renewed = daemon.platform.call("lease", move |platform| {
            let commit = platform.commit(&renewal)?;
            // Renewing fails only if the row is not as expected, and only a look tells how it is.
            let look = look || matches!(commit, Commit::Conflict { .. });
            let rows = if look { Some(platform.scan(LEASE_PREFIX)?) } else { None };
            Ok((commit, rows))
        });
        if let Ok((commit, rows)) = renewed.await {
            daemon.registry.borrow_mut().renewed(&commit);
            let tidy = rows.and_then(|rows| daemon.registry.borrow_mut().observe(daemon.now_us(), &rows));
            if let Some(tidy) = tidy {
                // Another daemon may tidy up at the same time; one of them succeeds.
                let _ = daemon.platform.call("tidy", move |platform| platform.commit(&tidy)).await;
            }
        }
        daemon.recount_daemons();
        sleep_about_ms(&daemon, RENEW_EVERY_US / US_PER_MS).await;
    }
}

/// Fetches a newer sheet when one was heard of: from the object store, or else from a peer. A daemon that starts
/// while the platform is down hears of the sheet from the peers in its settings.
async fn fetch_sheets(daemon: Rc<Daemon>) {
    loop {
        daemon.sheet_wanted.until(|| daemon.sheet.borrow().wanted().is_some()).await;
        let Some(reference) = daemon.sheet.borrow().wanted().cloned() else { continue };
        let digest = reference.digest.clone();
        let body = daemon.platform.call("fetch sheet", move |platform| sheet_store::fetch(platform, &digest)).await;
        match body {
            Ok(Some(body)) => daemon.accept_sheet(&reference, body),
            Ok(None) | Err(_) => ask_any_peer(&daemon).await,
        }
        if daemon.sheet.borrow().wanted().is_some() {
            sleep_about_ms(&daemon, FETCH_RETRY_MS).await;
        }
    }
}

fn known_peers(daemon: &Daemon) -> Vec<SocketAddr> {
    let others = daemon.registry.borrow().live_others();
    let mut peers: Vec<SocketAddr> = others.iter().map(|peer| peer.peer_address).collect();
    peers.extend(&daemon.settings.peers);
    peers
}

async fn ask_any_peer(daemon: &Daemon) {
    let peers = known_peers(daemon);
    if peers.is_empty() {
        return;
    }
    let peer = peers[rand::rng().random_range(0..peers.len())];
    if let Ok(PeerReply::Snapshot(snapshot)) = daemon.peers.call(peer, &PeerRequest::Snapshot).await {
        daemon.apply_snapshot(snapshot);
    }
}

async fn keep_house(daemon: Rc<Daemon>) {
    loop {
        sleep_about_ms(&daemon, HOUSEKEEPING_MS).await;
        daemon.forward_lane.close_idle();
        let change = daemon.fleet.borrow_mut().forget_old(daemon.now_us());
        daemon.apply_fleet_change(&change);
        metrics::gauge!("requests_in_progress").set(daemon.ingress.requests.len() as f64);
        metrics::gauge!("held_bytes").set(daemon.ingress.held_bytes.used_bytes() as f64);
        metrics::gauge!("peer_connections").set(daemon.peers.link_count() as f64);
        // Without upkeep, histograms keep every sample until somebody reads them.
        crate::telemetry::metrics_handle().run_upkeep();
    }
}
