//! Starts the lanes that serve callers, and acts on what they report.

use std::rc::Rc;

use futures::channel::mpsc::UnboundedReceiver;
use futures::StreamExt;

use crate::daemon::Daemon;
use crate::entry::Lanes;
use crate::error::{Error, Result};
use crate::kernel::{Plugin, Stage};
use crate::reactor::{sleep_until, spawn};
use crate::request_path::Report;

inventory::submit! {
    Plugin { name: "callers", stage: Stage::Service, start }
}

fn start(daemon: &Rc<Daemon>) -> Result<()> {
    let not_bound = || Error::io("serve callers")(std::io::Error::other("no listener was bound"));
    let listener = daemon.listeners.borrow_mut().callers.take().ok_or_else(not_bound)?;
    let reports = daemon.reports.borrow_mut().take().ok_or_else(not_bound)?;
    *daemon.lanes.borrow_mut() = Lanes::start(&daemon.path, &listener, daemon.settings.lanes)?;
    spawn(follow_reports(daemon.clone(), reports));
    Ok(())
}

async fn follow_reports(daemon: Rc<Daemon>, mut reports: UnboundedReceiver<Report>) {
    while let Some(report) = reports.next().await {
        match report {
            Report::Departed(departure) => daemon.depart(&departure),
            Report::Waiting => spawn(check_waiting(daemon.clone())),
        }
    }
}

/// Checks waiting requests while there are any.
async fn check_waiting(daemon: Rc<Daemon>) {
    let tick_us = daemon.path.dispatcher().settings().tick_us;
    loop {
        sleep_until(daemon.path.clock.instant(daemon.now_us() + tick_us)).await;
        daemon.path.decide(|dispatcher, now_us| dispatcher.tick(now_us));
        if !daemon.path.still_waiting() {
            return;
        }
    }
}
