//! Starts the lanes that serve callers, and handles the events that they emit.

use std::rc::Rc;

use futures::channel::mpsc::UnboundedReceiver;
use futures::StreamExt;

use crate::daemon::Daemon;
use crate::error::{Error, Result};
use crate::idempotency::queue_closing;
use crate::ingress::Lanes;
use crate::ingress_state::{LaneEvent, PendingForward};
use crate::peer_message::{PeerReply, PeerRequest};
use crate::plugin::{Plugin, Stage};
use crate::reactor::spawn;

inventory::submit! {
    Plugin { name: "callers", stage: Stage::Service, start }
}

fn start(daemon: &Rc<Daemon>) -> Result<()> {
    let already_started = || Error::io("serve callers")(std::io::Error::other("the plug-in has already been started"));
    let listener = daemon.listeners.borrow_mut().callers.take().ok_or_else(already_started)?;
    let lane_events = daemon.lane_events.borrow_mut().take().ok_or_else(already_started)?;
    *daemon.lanes.borrow_mut() = Lanes::start(&daemon.ingress, &listener, daemon.settings.lanes)?;
    spawn(handle_lane_events(daemon.clone(), lane_events));
    Ok(())
}

async fn handle_lane_events(daemon: Rc<Daemon>, mut lane_events: UnboundedReceiver<LaneEvent>) {
    while let Some(event) = lane_events.next().await {
        match event {
            LaneEvent::HostLeaving(departure) => daemon.record_departure(&departure),
            LaneEvent::RequestsQueued => spawn(tick_while_queued(daemon.clone())),
            LaneEvent::ClaimFinished { closing, row_version } => queue_closing(&daemon, closing, row_version),
            LaneEvent::ForwardNeeded(pending) => spawn(forward(daemon.clone(), pending)),
        }
    }
}

/// Ticks the dispatcher as long as requests are queued.
async fn tick_while_queued(daemon: Rc<Daemon>) {
    let tick_us = daemon.ingress.dispatcher().settings().tick_interval_us;
    loop {
        daemon.sleep_us(tick_us).await;
        daemon.ingress.dispatch_event(|dispatcher, now_us| dispatcher.tick(now_us));
        if !daemon.ingress.keep_ticking() {
            return;
        }
    }
}

/// Forwards a request to the daemon that issued its ticket, and passes on the response: `None` if that incarnation of
/// the daemon is not known here or does not reply. No other incarnation may run the request.
async fn forward(daemon: Rc<Daemon>, pending: PendingForward) {
    let others = daemon.registry.borrow().known_others();
    let issuer =
        others.iter().find(|other| other.name == pending.daemon && other.incarnation == pending.incarnation).cloned();
    let mut response = None;
    if let Some(issuer) = issuer {
        metrics::counter!("forwarded_total", "side" => "sender").increment(1);
        let deadline = daemon.ingress.clock.instant(pending.deadline_us);
        let message = PeerRequest::Forward(pending.message);
        if let Ok(PeerReply::Forward(reply)) =
            daemon.forward_client.call_until(issuer.peer_address, &message, deadline).await
        {
            response = reply;
        }
    }
    // Cannot fail: a request runs to completion even if its caller disconnects, so the receiver still exists.
    let _ = pending.reply.send(response);
}
