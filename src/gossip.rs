//! Tells other daemons the news: at once when there is any, else now and then.

use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;

use futures::future::{join_all, select};

use crate::daemon::Daemon;
use crate::daemon_registry::gossip_targets;
use crate::error::Result;
use crate::kernel::{Plugin, Stage};
use crate::peer_message::{PeerReply, PeerRequest};
use crate::reactor::spawn;

/// Time between messages without news.
const QUIET_PERIOD_MS: u64 = 2_000;
/// Shortest time between two rounds, so that a burst of news goes out together.
const MIN_PERIOD_MS: u64 = 20;

inventory::submit! {
    Plugin { name: "gossip", stage: Stage::Membership, start }
}

fn start(daemon: &Rc<Daemon>) -> Result<()> {
    spawn(gossip(daemon.clone()));
    Ok(())
}

async fn gossip(daemon: Rc<Daemon>) {
    let told = Cell::new(0);
    loop {
        told.set(daemon.news_count.get());
        tell_all(&daemon).await;
        daemon.sleep_ms(MIN_PERIOD_MS).await;
        let quiet = pin!(daemon.sleep_ms(QUIET_PERIOD_MS));
        let news = pin!(daemon.news.until(|| daemon.news_count.get() != told.get()));
        select(quiet, news).await;
    }
}

/// Peers known from the platform, and those from the settings until it has told any.
fn targets(daemon: &Daemon) -> Vec<SocketAddr> {
    let others = daemon.registry.borrow().live_others();
    if others.is_empty() {
        return daemon.settings.peers.clone();
    }
    gossip_targets(&daemon.settings.name, &others).iter().map(|peer| peer.peer_address).collect()
}

async fn tell_all(daemon: &Rc<Daemon>) {
    let targets = targets(daemon);
    daemon.peers.keep_only(&targets);
    join_all(targets.into_iter().map(|peer| tell(daemon, peer))).await;
}

async fn tell(daemon: &Rc<Daemon>, peer: SocketAddr) {
    let message = PeerRequest::Gossip(daemon.gossip());
    match daemon.peers.call(peer, &message).await {
        Ok(PeerReply::Gossip(gossip)) => {
            metrics::counter!("gossip_total", "result" => "ok").increment(1);
            daemon.hear(gossip);
        }
        Ok(PeerReply::Snapshot(_) | PeerReply::Forward(_)) => {
            metrics::counter!("gossip_total", "result" => "unexpected").increment(1);
        }
        Err(error) => {
            metrics::counter!("gossip_total", "result" => "failed").increment(1);
            log::debug!("peer {peer}: {error}");
        }
    }
}
