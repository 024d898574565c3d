//! Exchanges state with other daemons in rounds: soon after each change, and at regular intervals otherwise.

use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;

use futures::future::{join_all, select};

use crate::daemon::Daemon;
use crate::error::Result;
use crate::peer_message::{PeerReply, PeerRequest};
use crate::plugin::{Plugin, Stage};
use crate::reactor::spawn;

/// Maximum interval between rounds, while nothing changes.
const IDLE_ROUND_INTERVAL_MS: u64 = 2_000;
/// Minimum interval between rounds, so that changes in quick succession are sent together.
const MIN_ROUND_INTERVAL_MS: u64 = 20;

inventory::submit! {
    Plugin { name: "gossip", stage: Stage::Membership, start }
}

fn start(daemon: &Rc<Daemon>) -> Result<()> {
    spawn(run_gossip(daemon.clone()));
    Ok(())
}

async fn run_gossip(daemon: Rc<Daemon>) {
    let sent_update_count = Cell::new(0);
    loop {
        sent_update_count.set(daemon.update_count.get());
        run_round(&daemon).await;
        daemon.sleep_ms(MIN_ROUND_INTERVAL_MS).await;
        let idle_timeout = pin!(daemon.sleep_ms(IDLE_ROUND_INTERVAL_MS));
        let updated = pin!(daemon.update_condvar.wait_until(|| daemon.update_count.get() != sent_update_count.get()));
        select(idle_timeout, updated).await;
    }
}

/// Exchanges gossip messages with all targets of a round.
async fn run_round(daemon: &Rc<Daemon>) {
    let targets = daemon.registry.borrow().gossip_addresses(&daemon.settings.peers);
    daemon.peer_client.close_all_except(&targets);
    join_all(targets.into_iter().map(|peer| exchange(daemon, peer))).await;
}

async fn exchange(daemon: &Rc<Daemon>, peer: SocketAddr) {
    let message = PeerRequest::Gossip(daemon.gossip_message());
    match daemon.peer_client.call(peer, &message).await {
        Ok(PeerReply::Gossip(gossip)) => {
            metrics::counter!("gossip_total", "result" => "ok").increment(1);
            daemon.apply_gossip(gossip);
        }
        Ok(PeerReply::Snapshot(_) | PeerReply::Forward(_)) => {
            metrics::counter!("gossip_total", "result" => "unexpected").increment(1);
        }
        Err(error) => {
            metrics::counter!("gossip_total", "result" => "failed").increment(1);
            log::debug!("peer={peer} error={error} outcome=gossip_failed");
        }
    }
}
