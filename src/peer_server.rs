//! Serves calls from other daemons over HTTP/2.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::future::{select, Either};
use h2::server::SendResponse;
use h2::RecvStream;
use http::{Request, Response, StatusCode};

use crate::daemon::Daemon;
use crate::endpoint_client::timeout_at;
use crate::error::{Error, Result};
use crate::ingress::serve_forwarded;
use crate::peer_client::{read_message, PeerError};
use crate::peer_message::{decode, encode, PeerReply, PeerRequest};
use crate::plugin::{Plugin, Stage};
use crate::reactor::{sleep_until, spawn, Listener, TcpIo};

/// A connection on which no message arrives for this long is closed.
const IDLE_TIMEOUT_MS: u64 = 30_000;
/// Time limit for the HTTP/2 handshake, and for receiving the body of a message.
const MESSAGE_TIMEOUT_MS: u64 = 2_000;
/// Time that the messages in progress get to complete when a connection is closed.
const CLOSE_TIMEOUT_MS: u64 = 2_000;
const ACCEPT_RETRY_DELAY_MS: u64 = 50;
const MAX_CONNECTIONS: usize = 512;
const MAX_CONCURRENT_STREAMS: u32 = 16;
const MAX_HEADER_LIST_BYTES: u32 = 4_096;
const FLOW_CONTROL_WINDOW_BYTES: u32 = 1 << 20;

inventory::submit! {
    Plugin { name: "peer_server", stage: Stage::Service, start }
}

fn start(daemon: &Rc<Daemon>) -> Result<()> {
    let listener = daemon.listeners.borrow_mut().peers.take();
    let listener = listener
        .ok_or_else(|| Error::io("serve peers")(std::io::Error::other("the plug-in has already been started")))?;
    spawn(accept_connections(daemon.clone(), listener));
    Ok(())
}

async fn accept_connections(daemon: Rc<Daemon>, listener: Listener) {
    loop {
        match listener.accept().await {
            Ok(io) if !daemon.peer_control.is_stopping() && daemon.peer_connection_count() < MAX_CONNECTIONS => {
                let connection_guard = daemon.peer_connections.clone();
                let daemon = daemon.clone();
                spawn(async move {
                    if let Err(error) = serve_connection(&daemon, io).await {
                        metrics::counter!("peer_connection_errors_total").increment(1);
                        log::debug!("error={error} outcome=peer_connection_failed");
                    }
                    drop(connection_guard);
                });
            }
            Ok(_) => metrics::counter!("peer_connections_refused_total").increment(1),
            Err(_) => {
                metrics::counter!("accept_errors_total").increment(1);
                sleep_until(Instant::now() + Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await;
            }
        }
    }
}

async fn serve_connection(daemon: &Rc<Daemon>, io: TcpIo) -> std::result::Result<(), PeerError> {
    let deadline = Instant::now() + Duration::from_millis(MESSAGE_TIMEOUT_MS);
    let handshake = h2::server::Builder::new()
        .max_concurrent_streams(MAX_CONCURRENT_STREAMS)
        .max_header_list_size(MAX_HEADER_LIST_BYTES)
        .initial_window_size(FLOW_CONTROL_WINDOW_BYTES)
        .initial_connection_window_size(FLOW_CONTROL_WINDOW_BYTES)
        .handshake::<_, Bytes>(io);
    let mut connection = timeout_at(deadline, handshake).await.ok_or(PeerError::Timeout)??;
    loop {
        let idle_deadline = Instant::now() + Duration::from_millis(IDLE_TIMEOUT_MS);
        let accepted = Box::pin(timeout_at(idle_deadline, connection.accept()));
        let stopping = Box::pin(daemon.peer_control.stop_requested());
        let accepted = match select(accepted, stopping).await {
            Either::Left((accepted, _)) => accepted,
            Either::Right(_) => None,
        };
        let Some(Some(stream)) = accepted else { break };
        let (request, respond) = stream?;
        spawn(handle_stream(daemon.clone(), request, respond));
    }
    // Completes the streams in progress and tells the peer to open no new streams on this connection.
    connection.graceful_shutdown();
    let deadline = Instant::now() + Duration::from_millis(CLOSE_TIMEOUT_MS);
    while let Some(Some(stream)) = timeout_at(deadline, connection.accept()).await {
        let (request, respond) = stream?;
        spawn(handle_stream(daemon.clone(), request, respond));
    }
    Ok(())
}

async fn handle_stream(daemon: Rc<Daemon>, request: Request<RecvStream>, respond: SendResponse<Bytes>) {
    if let Err(error) = serve_stream(&daemon, request, respond).await {
        metrics::counter!("peer_message_errors_total").increment(1);
        log::debug!("error={error} outcome=peer_message_failed");
    }
}

async fn serve_stream(
    daemon: &Daemon,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) -> std::result::Result<(), PeerError> {
    let deadline = Instant::now() + Duration::from_millis(MESSAGE_TIMEOUT_MS);
    let message = timeout_at(deadline, read_message(request.into_body())).await.unwrap_or(Err(PeerError::Timeout));
    let reply = match message.and_then(|message| Ok(decode(&message)?)) {
        Ok(request) => handle_request(daemon, request).await,
        Err(error) => {
            let mut refusal = Response::new(());
            *refusal.status_mut() = StatusCode::BAD_REQUEST;
            respond.send_response(refusal, true)?;
            return Err(error);
        }
    };
    let mut stream = respond.send_response(Response::new(()), false)?;
    stream.send_data(encode(&reply)?.into(), true)?;
    Ok(())
}

async fn handle_request(daemon: &Daemon, request: PeerRequest) -> PeerReply {
    match request {
        PeerRequest::Gossip(gossip) => {
            daemon.apply_gossip(gossip);
            PeerReply::Gossip(daemon.gossip_message())
        }
        PeerRequest::Snapshot => PeerReply::Snapshot(daemon.snapshot()),
        PeerRequest::Forward(forward) => {
            metrics::counter!("forwarded_total", "side" => "issuer").increment(1);
            if daemon.stopping.get() {
                return PeerReply::Forward(None);
            }
            PeerReply::Forward(serve_forwarded(&daemon.forward_lane, forward).await)
        }
    }
}
