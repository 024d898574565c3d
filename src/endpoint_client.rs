//! HTTP/1.1 client for endpoints, which keeps idle connections for reuse and has one request in flight on each.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::channel::oneshot;
use futures::future::{select, Either};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};

use crate::buffered_body::{collect_body, BodyError, BufferedBody, ByteBudget};
use crate::call_progress::{CallDeadline, CallProgress};
use crate::reactor::{connect, sleep_until, spawn_with, Priority, Traffic};
use crate::wire;

const CONNECT_TIMEOUT_MS: u64 = 300;
/// Longest idle time of a connection that is reused for a non-idempotent request. An idle connection may have failed
/// unnoticed, and a request that must not run twice cannot be retried once it may have been delivered.
const MAX_IDLE_NON_IDEMPOTENT_MS: u64 = 500;
/// Longest idle time of a connection that is reused for an idempotent request.
const MAX_IDLE_MS: u64 = 5_000;

/// Limit on the bytes that wait in the socket of a connection that is reset on close. A link of 10 Mbit/s takes as many
/// in some 50 ms, which is little beside the times after which a call counts as overdue.
const SEND_BUFFER_BYTES: usize = 64 * 1024;

/// Outcome of a call to an endpoint.
#[derive(Debug)]
pub(crate) enum CallOutcome {
    /// The endpoint's complete response arrived.
    Answered(Response<BufferedBody>),
    /// No byte of the request was written to a connection.
    NotSent(String),
    /// The request may have reached the endpoint, but no complete response arrived.
    Lost {
        /// Whether the connection was opened for this request.
        fresh_connection: bool,
        reason: String,
    },
}

/// A request to an endpoint.
#[derive(Debug)]
pub(crate) struct Call<'a> {
    pub(crate) address: SocketAddr,
    pub(crate) request: Request<Full<Bytes>>,
    /// If the response has the header [`wire::REQUEST_ID`], its value must be this one.
    pub(crate) request_id: &'a str,
    pub(crate) deadline: CallDeadline,
    pub(crate) progress: CallProgress,
    /// Whether the request may run twice and may thus use a connection that has been idle for up to [`MAX_IDLE_MS`].
    pub(crate) idempotent: bool,
    pub(crate) max_response_bytes: usize,
    /// Memory budget for response bodies.
    pub(crate) body_budget: &'a ByteBudget,
}

struct Connection {
    sender: SendRequest<Full<Bytes>>,
    traffic: Rc<Traffic>,
    /// Whether the connection has already carried a request.
    used_before: bool,
    /// Dropping it closes the connection.
    _close: oneshot::Sender<()>,
}

struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
}

/// Client with a pool of idle connections for each endpoint.
#[derive(Default)]
pub(crate) struct EndpointClient {
    /// Whether closing a connection resets it, which discards data that has not been delivered yet.
    reset_on_close: bool,
    /// Endpoint whose connections are served before those to others.
    preferred: Cell<Option<SocketAddr>>,
    /// Idle connections of each endpoint, the most recently used last.
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl EndpointClient {
    /// A client that resets connections on close. This discards requests that have not been delivered yet, so that they
    /// rarely arrive after the client has abandoned them.
    pub(crate) fn with_reset_on_close() -> EndpointClient {
        EndpointClient { reset_on_close: true, ..EndpointClient::default() }
    }

    /// Serves the connections to an endpoint before those to others.
    pub(crate) fn prefer(&self, address: SocketAddr) {
        self.preferred.set(Some(address));
    }

    /// Sends a request and waits for the complete response.
    pub(crate) async fn send(&self, call: Call<'_>) -> CallOutcome {
        let Call { address, mut request, request_id, deadline, progress, idempotent, max_response_bytes, body_budget } =
            call;
        loop {
            let mut connection = match self.acquire_connection(address, deadline.initial(), idempotent).await {
                Ok(connection) => connection,
                Err(reason) => return CallOutcome::NotSent(reason),
            };
            let sent_at = Instant::now();
            progress.begin(connection.traffic.clone());
            let response = send_request(&mut connection.sender, request, request_id);
            let exchange = async {
                let (head, body) = response.await?.into_parts();
                progress.head_received(sent_at);
                let body = collect_body(body, max_response_bytes, body_budget).await?;
                Ok(Response::from_parts(head, body))
            };
            let reason = match timeout_with_progress(&deadline, &progress, exchange).await {
                Some(Ok(response)) => {
                    self.put_idle(address, connection);
                    return CallOutcome::Answered(response);
                }
                // The endpoint has closed the idle connection, so the request goes to another one.
                Some(Err(ExchangeError::NotSent(unsent))) if connection.used_before => {
                    request = *unsent;
                    continue;
                }
                Some(Err(error)) => error.to_string(),
                None => "no complete answer in time".to_owned(),
            };
            return self.fail_call(address, connection, &progress, &reason);
        }
    }

    /// Returns an idle connection that is still open, or opens a new one.
    async fn acquire_connection(
        &self,
        address: SocketAddr,
        deadline: Instant,
        idempotent: bool,
    ) -> Result<Connection, String> {
        while let Some(mut connection) = self.take_idle(address, idempotent) {
            if let Some(Ok(())) = timeout_at(deadline, connection.sender.ready()).await {
                return Ok(connection);
            }
        }
        let priority = if self.preferred.get() == Some(address) { Priority::High } else { Priority::Normal };
        open_connection(address, deadline, self.reset_on_close, priority).await
    }

    /// Ends a call that has no complete response. Drops the connection, which closes it, so that a late response is
    /// discarded.
    fn fail_call(
        &self,
        address: SocketAddr,
        connection: Connection,
        progress: &CallProgress,
        reason: &str,
    ) -> CallOutcome {
        let (sent_bytes, received_bytes) = (progress.sent_bytes(), progress.received_bytes());
        if sent_bytes == 0 {
            return CallOutcome::NotSent(reason.to_owned());
        }
        let reason = format!("{reason}, {sent_bytes} bytes sent and {received_bytes} received");
        if connection.used_before {
            // Whatever broke this connection may also have broken the other idle ones, which are older.
            self.idle.borrow_mut().remove(&address);
        }
        CallOutcome::Lost { fresh_connection: !connection.used_before, reason }
    }

    /// Takes the most recently used idle connection, unless it is closed or has been idle for too long.
    fn take_idle(&self, address: SocketAddr, idempotent: bool) -> Option<Connection> {
        let max_idle_ms = if idempotent { MAX_IDLE_MS } else { MAX_IDLE_NON_IDEMPOTENT_MS };
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        let newest = connections.pop()?;
        if newest.idle_since.elapsed() <= Duration::from_millis(max_idle_ms) && !newest.connection.sender.is_closed() {
            return Some(newest.connection);
        }
        // The others have been idle for longer; those that an idempotent request may still use are kept.
        connections.retain(|other| other.idle_since.elapsed() <= Duration::from_millis(MAX_IDLE_MS));
        None
    }

    fn put_idle(&self, address: SocketAddr, mut connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        connection.used_before = true;
        let idle = IdleConnection { connection, idle_since: Instant::now() };
        self.idle.borrow_mut().entry(address).or_default().push(idle);
    }

    /// Closes the idle connections to an address, so that the next request opens a new one.
    pub(crate) fn close_idle_to(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes connections that have been idle for longer than [`MAX_IDLE_MS`].
    pub(crate) fn close_idle(&self) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|connection| connection.idle_since.elapsed() <= Duration::from_millis(MAX_IDLE_MS));
            !connections.is_empty()
        });
    }
}

/// Waits for `future` until `deadline`; `None` if it has not completed by then.
pub(crate) async fn timeout_at<T>(deadline: Instant, future: impl Future<Output = T>) -> Option<T> {
    match select(pin!(future), pin!(sleep_until(deadline))).await {
        Either::Left((result, _)) => Some(result),
        Either::Right(_) => None,
    }
}

/// Waits for `future`, which carries out a call, until the call's deadline; `None` if it has not completed by then.
async fn timeout_with_progress<T>(
    deadline: &CallDeadline,
    progress: &CallProgress,
    future: impl Future<Output = T>,
) -> Option<T> {
    let mut future = pin!(future);
    loop {
        let ends_at = deadline.after(progress);
        if let Some(result) = timeout_at(ends_at, future.as_mut()).await {
            return Some(result);
        }
        if deadline.after(progress) <= ends_at {
            return None;
        }
    }
}

async fn open_connection(
    address: SocketAddr,
    deadline: Instant,
    reset_on_close: bool,
    priority: Priority,
) -> Result<Connection, String> {
    let connect_deadline = deadline.min(Instant::now() + Duration::from_millis(CONNECT_TIMEOUT_MS));
    let opened = timeout_at(connect_deadline, connect(address)).await;
    let io = opened.ok_or("no connection in time")?.map_err(|error| error.to_string())?;
    if reset_on_close {
        io.reset_on_close().map_err(|error| error.to_string())?;
        io.limit_send_buffer(SEND_BUFFER_BYTES).map_err(|error| error.to_string())?;
    }
    let traffic = io.traffic();
    let (sender, driver) = http1::handshake(io).await.map_err(|error| error.to_string())?;
    let (close, closed) = oneshot::channel();
    spawn_with(priority, async move {
        // The request in flight, if there is one, gets the error as well.
        let _ = select(pin!(driver), pin!(closed)).await;
    });
    Ok(Connection { sender, traffic, used_before: false, _close: close })
}

/// Why there is no complete response.
#[derive(Debug, thiserror::Error)]
enum ExchangeError {
    /// The request was not written; it is returned for another connection.
    #[error("the connection had ended")]
    NotSent(Box<Request<Full<Bytes>>>),
    #[error("{0}")]
    Transport(#[from] hyper::Error),
    #[error("answer: {0}")]
    Body(#[from] BodyError),
    #[error("the answer belongs to another request")]
    RequestIdMismatch,
}

/// Sends a request and waits for the head of the response.
async fn send_request(
    sender: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
    request_id: &str,
) -> Result<Response<Incoming>, ExchangeError> {
    let response: Response<Incoming> = match sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => match error.take_message() {
            Some(unsent) => return Err(ExchangeError::NotSent(Box::new(unsent))),
            None => return Err(error.into_error().into()),
        },
    };
    if let Some(echo) = response.headers().get(wire::REQUEST_ID) {
        if echo.as_bytes() != request_id.as_bytes() {
            return Err(ExchangeError::RequestIdMismatch);
        }
    }
    Ok(response)
}
