//! Background tasks that keep the daemon's state current: they poll the platform for the current sheet and the host
//! list, maintain the daemon's lease and fetch newer sheets.

use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;

use futures::future::select;
use rand::Rng;

use crate::clock::US_PER_MS;
use crate::daemon::{Daemon, PlatformStatus};
use crate::daemon_registry::{LEASE_PREFIX, RENEW_INTERVAL_US};
use crate::error::Result;
use crate::peer_message::{PeerReply, PeerRequest};
use crate::platform::{HostChanges, Platform, PlatformError};
use crate::plugin::{Plugin, Stage};
use crate::reactor::spawn;
use crate::sheet_state::SheetRef;
use crate::sheet_store;
use crate::table::CommitOutcome;

/// Interval between polls of the current sheet and the host list.
const POLL_INTERVAL_MS: u64 = 1_000;
/// Fraction by which waits vary at random, so that daemons do not call the platform in lockstep.
const JITTER: f64 = 0.2;
/// Delay after the first failed attempt to fetch a sheet; it doubles with each further one.
const FETCH_RETRY_DELAY_MS: u64 = 250;
/// Number of times that the delay doubles.
const MAX_FETCH_RETRY_DOUBLINGS: u32 = 3;
const HOUSEKEEPING_INTERVAL_MS: u64 = 5_000;

inventory::submit! {
    Plugin { name: "membership", stage: Stage::Membership, start }
}

fn start(daemon: &Rc<Daemon>) -> Result<()> {
    spawn(poll_platform(daemon.clone()));
    spawn(maintain_lease(daemon.clone()));
    spawn(fetch_sheets(daemon.clone()));
    spawn(run_housekeeping(daemon.clone()));
    Ok(())
}

/// Sleeps for `wait_ms`, varied at random by up to [`JITTER`].
async fn sleep_jittered_ms(daemon: &Daemon, wait_ms: u64) {
    let jitter = rand::rng().random_range(1.0 - JITTER..1.0 + JITTER);
    daemon.sleep_us(((wait_ms * US_PER_MS) as f64 * jitter) as u64).await;
}

/// Result of one poll of the platform.
struct PlatformPoll {
    sheet: Option<SheetRef>,
    hosts: HostChanges,
}

fn poll(platform: &dyn Platform, cursor: u64) -> Result<PlatformPoll, PlatformError> {
    let sheet = sheet_store::current(platform)?.map(|record| record.reference);
    Ok(PlatformPoll { sheet, hosts: platform.host_changes(cursor)? })
}

async fn poll_platform(daemon: Rc<Daemon>) {
    loop {
        let cursor = daemon.fleet.borrow().cursor();
        let polled = daemon.platform.call("look", move |platform| poll(platform, cursor)).await;
        record_platform_status(&daemon, polled.as_ref().err());
        if let Ok(poll) = polled {
            daemon.apply_host_changes(poll.hosts);
            if let Some(reference) = &poll.sheet {
                daemon.record_sheet_announcement(reference);
            }
        }
        sleep_jittered_ms(&daemon, POLL_INTERVAL_MS).await;
    }
}

/// Records whether the platform answered a poll, and logs when this changes.
fn record_platform_status(daemon: &Daemon, error: Option<&PlatformError>) {
    let status = if error.is_none() { PlatformStatus::Reachable } else { PlatformStatus::Unreachable };
    let changed = daemon.platform_status.replace(status) != status;
    match error {
        None if changed => log::info!("outcome=platform_reachable"),
        None => {}
        Some(error) => {
            metrics::counter!("platform_errors_total").increment(1);
            if changed {
                // The daemon goes on serving from its last known state.
                log::warn!("error={error} outcome=platform_unreachable");
            }
        }
    }
}

/// Acquires and renews the daemon's lease, and scans the leases of the other daemons when a scan is due.
async fn maintain_lease(daemon: Rc<Daemon>) {
    while !daemon.stopping.get() {
        let renewal = daemon.registry.borrow_mut().renewal_transaction();
        let requested_at_us = daemon.now_us();
        let scan_due = daemon.registry.borrow().is_scan_due(requested_at_us);
        let renewal_call = daemon.platform.call("lease", move |platform| {
            let commit = platform.commit(&renewal)?;
            // After a conflict, a scan is needed to learn the current version of the daemon's lease row.
            let scan = scan_due || matches!(commit, CommitOutcome::Conflict { .. });
            let rows = if scan { Some(platform.scan(LEASE_PREFIX)?) } else { None };
            Ok((commit, rows))
        });
        let renewed = renewal_call.await;
        count_renewal(renewed.as_ref().ok().map(|(commit, _)| commit));
        if let Ok((commit, rows)) = renewed {
            daemon.registry.borrow_mut().record_renewal(&commit);
            let now_us = daemon.now_us();
            let cleanup = rows.and_then(|rows| daemon.registry.borrow_mut().apply_scan(requested_at_us, now_us, &rows));
            if let Some(cleanup) = cleanup {
                // Fails if another daemon has deleted one of the rows; the next scan retries the rest.
                let _ = daemon.platform.call("tidy", move |platform| platform.commit(&cleanup)).await;
            }
        }
        daemon.update_daemon_count();
        sleep_jittered_ms(&daemon, RENEW_INTERVAL_US / US_PER_MS).await;
    }
}

/// Counts a renewal by its result, which is `None` if the call failed.
fn count_renewal(commit: Option<&CommitOutcome>) {
    let result = match commit {
        Some(CommitOutcome::Committed { .. }) => "committed",
        Some(CommitOutcome::Conflict { .. }) => "conflict",
        None => "failed",
    };
    metrics::counter!("lease_renewals_total", "result" => result).increment(1);
}

/// Fetches each newer sheet that is announced: from the object store or, if it has no intact copy, from a peer. A daemon
/// that starts while the platform is down learns of the sheet from the peers in its settings.
async fn fetch_sheets(daemon: Rc<Daemon>) {
    let mut failures = 0;
    loop {
        daemon.sheet_condvar.wait_until(|| daemon.sheet.borrow().sheet_to_fetch().is_some()).await;
        let Some(reference) = daemon.sheet.borrow().sheet_to_fetch().cloned() else { continue };
        let digest = reference.digest.clone();
        let body = daemon.platform.call("fetch sheet", move |platform| sheet_store::fetch(platform, &digest)).await;
        if let Ok(Some(body)) = body {
            daemon.put_sheet_in_force(&reference, body);
        }
        if daemon.sheet.borrow().sheet_to_fetch() == Some(&reference) {
            fetch_snapshot_from_random_peer(&daemon).await;
        }
        if daemon.sheet.borrow().sheet_to_fetch() != Some(&reference) {
            failures = 0;
            continue;
        }
        let retry = pin!(sleep_jittered_ms(&daemon, FETCH_RETRY_DELAY_MS << failures));
        let is_replaced = || daemon.sheet.borrow().sheet_to_fetch() != Some(&reference);
        select(retry, daemon.sheet_condvar.wait_until(is_replaced)).await;
        failures = MAX_FETCH_RETRY_DOUBLINGS.min(failures + 1);
    }
}

fn peer_addresses(daemon: &Daemon) -> Vec<SocketAddr> {
    let others = daemon.registry.borrow().live_others();
    let mut peers: Vec<SocketAddr> = others.iter().map(|peer| peer.peer_address).collect();
    peers.extend(&daemon.settings.peers);
    peers
}

async fn fetch_snapshot_from_random_peer(daemon: &Daemon) {
    let peers = peer_addresses(daemon);
    if peers.is_empty() {
        return;
    }
    let peer = peers[rand::rng().random_range(0..peers.len())];
    if let Ok(PeerReply::Snapshot(snapshot)) = daemon.peer_client.call(peer, &PeerRequest::Snapshot).await {
        daemon.apply_snapshot(snapshot);
    }
}

/// Closes idle endpoint connections, expires departures and updates gauges.
async fn run_housekeeping(daemon: Rc<Daemon>) {
    loop {
        sleep_jittered_ms(&daemon, HOUSEKEEPING_INTERVAL_MS).await;
        daemon.forward_lane.close_idle();
        let change = daemon.fleet.borrow_mut().expire_departures(daemon.now_us());
        daemon.apply_fleet_change(&change);
        metrics::gauge!("requests_in_progress").set(daemon.ingress.requests.len() as f64);
        metrics::gauge!("held_bytes").set(daemon.ingress.body_budget.used_bytes() as f64);
        metrics::gauge!("peer_connections").set(daemon.peer_client.connection_count() as f64);
        // Without this, histograms keep every sample until the metrics are read.
        crate::telemetry::metrics_handle().run_upkeep();
    }
}
