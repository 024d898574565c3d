//! Starts the lanes that serve callers, and acts on what they report.

use std::rc::Rc;

use futures::channel::mpsc::UnboundedReceiver;
use futures::StreamExt;

use crate::daemon::Daemon;
use crate::error::{Error, Result};
use crate::ingress::Lanes;
use crate::ingress_state::{LaneEvent, PendingForward};
use crate::kernel::{Plugin, Stage};
use crate::peer_message::{PeerReply, PeerRequest};
use crate::reactor::spawn;

inventory::submit! {
    Plugin { name: "callers", stage: Stage::Service, start }
}

fn start(daemon: &Rc<Daemon>) -> Result<()> {
    let not_bound = || Error::io("serve callers")(std::io::Error::other("no listener was bound"));
    let listener = daemon.listeners.borrow_mut().callers.take().ok_or_else(not_bound)?;
    let reports = daemon.reports.borrow_mut().take().ok_or_else(not_bound)?;
    *daemon.lanes.borrow_mut() = Lanes::start(&daemon.ingress, &listener, daemon.settings.lanes)?;
    spawn(follow_reports(daemon.clone(), reports));
    Ok(())
}

async fn follow_reports(daemon: Rc<Daemon>, mut reports: UnboundedReceiver<LaneEvent>) {
    while let Some(report) = reports.next().await {
        match report {
            LaneEvent::HostLeaving(departure) => daemon.depart(&departure),
            LaneEvent::RequestsQueued => spawn(check_waiting(daemon.clone())),
            LaneEvent::ClaimFinished { closing, row_version } => {
                if !daemon.closings.borrow_mut().push(closing, row_version) {
                    metrics::counter!("claim_closings_dropped_total").increment(1);
                }
                daemon.closings_added.notify();
            }
            LaneEvent::ForwardNeeded(order) => spawn(forward(daemon.clone(), order)),
        }
    }
}

/// Checks waiting requests while there are any.
async fn check_waiting(daemon: Rc<Daemon>) {
    let tick_us = daemon.ingress.dispatcher().settings().tick_interval_us;
    loop {
        daemon.sleep_us(tick_us).await;
        daemon.ingress.decide(|dispatcher, now_us| dispatcher.tick(now_us));
        if !daemon.ingress.keep_ticking() {
            return;
        }
    }
}

/// Hands a request to the daemon that issued its ticket, if that run of it can be reached.
async fn forward(daemon: Rc<Daemon>, order: PendingForward) {
    let others = daemon.registry.borrow().known_others();
    let issuer =
        others.iter().find(|other| other.name == order.daemon && other.incarnation == order.incarnation).cloned();
    let mut forwarded = None;
    if let Some(issuer) = issuer {
        metrics::counter!("forwarded_total", "side" => "sender").increment(1);
        let deadline = daemon.ingress.clock.instant(order.deadline_us);
        let message = PeerRequest::Forward(order.message);
        if let Ok(PeerReply::Forward(reply)) =
            daemon.forward_peers.call_until(issuer.peer_address, &message, deadline).await
        {
            forwarded = reply;
        }
    }
    // The request that waits for it is not dropped.
    let _ = order.reply.send(forwarded);
}
