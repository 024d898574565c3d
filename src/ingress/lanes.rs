//! Threads that serve callers.

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use futures::channel::mpsc::{unbounded, UnboundedReceiver, UnboundedSender};
use futures::channel::oneshot;
use futures::StreamExt;

use super::{handle, Lane};
use crate::error::{Error, Result};
use crate::http_server::{serve, ServerControl, ServerLimits};
use crate::ingress_state::IngressState;
use crate::reactor::{sleep_until, spawn, Listener, Reactor};

/// Longest wait for a request's headers, the idle time before them included.
const HEADER_TIMEOUT_MS: u64 = 30_000;
const MAX_HEADER_BYTES: usize = 32 * 1024;
const CLOSE_IDLE_EVERY_MS: u64 = 5_000;

/// What the main thread tells a lane.
#[derive(Debug)]
pub(crate) enum LaneCommand {
    /// Accept nothing more; answer when the last connection is closed.
    Stop(oneshot::Sender<()>),
}

/// The lanes of a daemon.
#[derive(Debug, Default)]
pub(crate) struct Lanes {
    commands: Vec<UnboundedSender<LaneCommand>>,
}

impl Lanes {
    /// Starts `count` threads that accept from one listener. They run as long as the process.
    pub(crate) fn start(path: &Arc<IngressState>, listener: &TcpListener, count: usize) -> Result<Lanes> {
        let mut lanes = Lanes::default();
        let max_connections = path.settings.max_callers.div_ceil(count);
        for _ in 0..count {
            let listener = listener.try_clone().map_err(Error::io("share the callers' listener"))?;
            let (sender, receiver) = unbounded();
            lanes.commands.push(sender);
            let path = path.clone();
            thread::spawn(move || {
                if let Err(error) = run(path, listener, max_connections, receiver) {
                    log::error!("a thread that serves callers ended: {error}");
                }
            });
        }
        Ok(lanes)
    }

    /// Accepts nothing more and waits until every connection is closed.
    pub(crate) async fn stop(&self) {
        let mut stopped = Vec::new();
        for lane in &self.commands {
            let (sender, receiver) = oneshot::channel();
            // A lane that has ended has no connections.
            if lane.unbounded_send(LaneCommand::Stop(sender)).is_ok() {
                stopped.push(receiver);
            }
        }
        for lane in stopped {
            let _ = lane.await;
        }
    }
}

fn run(
    path: Arc<IngressState>,
    listener: TcpListener,
    max_connections: usize,
    commands: UnboundedReceiver<LaneCommand>,
) -> Result<()> {
    let mut reactor = Reactor::new().map_err(Error::io("start an event loop"))?;
    let listener = Listener::new(listener).map_err(Error::io("register the callers' listener"))?;
    let limits =
        ServerLimits { max_connections, header_timeout_ms: HEADER_TIMEOUT_MS, max_header_bytes: MAX_HEADER_BYTES };
    let control = Rc::new(ServerControl::default());
    let lane = Rc::new(Lane::new(path));
    spawn(close_idle(lane.clone()));
    let handler = Rc::new(move |request| {
        let lane = lane.clone();
        Box::pin(handle(lane, request)) as _
    });
    spawn(serve(listener, limits, control.clone(), handler));
    spawn(obey(control, commands));
    reactor.run().map_err(Error::io("run an event loop"))
}

async fn obey(control: Rc<ServerControl>, mut commands: UnboundedReceiver<LaneCommand>) {
    while let Some(command) = commands.next().await {
        match command {
            LaneCommand::Stop(stopped) => {
                control.stop();
                control.stopped().await;
                // The main thread waits for it.
                let _ = stopped.send(());
            }
        }
    }
}

async fn close_idle(lane: Rc<Lane>) {
    loop {
        sleep_until(Instant::now() + Duration::from_millis(CLOSE_IDLE_EVERY_MS)).await;
        lane.close_idle();
    }
}
