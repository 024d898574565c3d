//! Lanes: the threads that serve callers.

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

/// Longest wait for a request's headers, including the idle time of a kept-alive connection before them.
const HEADER_TIMEOUT_MS: u64 = 30_000;
const MAX_HEADER_BYTES: usize = 32 * 1024;
const CLOSE_IDLE_INTERVAL_MS: u64 = 5_000;

/// A command from the main thread to a lane.
#[derive(Debug)]
pub(crate) enum LaneCommand {
    /// Stop accepting connections, and acknowledge once the last open connection is closed.
    Stop(oneshot::Sender<()>),
}

/// Handle to the lanes of a daemon, by which the main thread controls them.
#[derive(Debug, Default)]
pub(crate) struct Lanes {
    commands: Vec<UnboundedSender<LaneCommand>>,
}

impl Lanes {
    /// Starts `count` lanes that accept from the same listener. Their threads run until the process exits.
    pub(crate) fn start(shared: &Arc<IngressState>, listener: &TcpListener, count: usize) -> Result<Lanes> {
        let mut lanes = Lanes::default();
        let max_connections = shared.settings.max_callers.div_ceil(count);
        for _ in 0..count {
            let listener = listener.try_clone().map_err(Error::io("duplicate the callers' listener"))?;
            let (sender, receiver) = unbounded();
            lanes.commands.push(sender);
            let shared = shared.clone();
            thread::spawn(move || {
                if let Err(error) = run(shared, listener, max_connections, receiver) {
                    log::error!("error={error} outcome=lane_stopped");
                }
            });
        }
        Ok(lanes)
    }

    /// Stops accepting connections and waits until all open ones are closed.
    pub(crate) async fn stop(&self) {
        let mut acknowledgements = Vec::new();
        for commands in &self.commands {
            let (sender, receiver) = oneshot::channel();
            // Sending fails only if the lane's thread has ended; then it has no connections left.
            if commands.unbounded_send(LaneCommand::Stop(sender)).is_ok() {
                acknowledgements.push(receiver);
            }
        }
        for acknowledgement in acknowledgements {
            let _ = acknowledgement.await;
        }
    }
}

fn run(
    shared: Arc<IngressState>,
    listener: TcpListener,
    max_connections: usize,
    commands: UnboundedReceiver<LaneCommand>,
) -> Result<()> {
    let mut reactor = Reactor::new().map_err(Error::io("start an event loop"))?;
    let listener = Listener::new(listener).map_err(Error::io("register the callers' listener"))?;
    let limits =
        ServerLimits { max_connections, header_timeout_ms: HEADER_TIMEOUT_MS, max_header_bytes: MAX_HEADER_BYTES };
    let control = Rc::new(ServerControl::default());
    let lane = Rc::new(Lane::new(shared));
    spawn(close_idle_connections(lane.clone()));
    let handler = Rc::new(move |request| {
        let lane = lane.clone();
        Box::pin(handle(lane, request)) as _
    });
    spawn(serve(listener, limits, control.clone(), handler));
    spawn(handle_commands(control, commands));
    reactor.run().map_err(Error::io("run an event loop"))
}

async fn handle_commands(control: Rc<ServerControl>, mut commands: UnboundedReceiver<LaneCommand>) {
    while let Some(command) = commands.next().await {
        match command {
            LaneCommand::Stop(acknowledgement) => {
                control.stop();
                control.stopped().await;
                // Sending fails only if the main thread no longer waits for the acknowledgement.
                let _ = acknowledgement.send(());
            }
        }
    }
}

async fn close_idle_connections(lane: Rc<Lane>) {
    loop {
        sleep_until(Instant::now() + Duration::from_millis(CLOSE_IDLE_INTERVAL_MS)).await;
        lane.close_idle();
    }
}
