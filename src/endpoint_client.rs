//! Connections to endpoints, with one request in flight on each.

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
use crate::reactor::{connect, sleep_until, spawn};
use crate::wire;

const CONNECT_TIMEOUT_MS: u64 = 300;
/// An idle connection may have died unnoticed, so a request that must not run twice gets one used more recently.
const MAX_IDLE_ONCE_MS: u64 = 500;
const MAX_IDLE_MS: u64 = 5_000;

/// How a call to an endpoint ended.
#[derive(Debug)]
pub(crate) enum CallEnd {
    /// The whole answer.
    Answered(Response<BufferedBody>),
    /// No byte of the request was handed to a connection.
    NotSent(String),
    /// The request may have reached the endpoint, and there is no whole answer to it.
    Lost {
        /// Whether the connection was made for this request.
        fresh_connection: bool,
        reason: String,
    },
}

/// One request to one endpoint.
#[derive(Debug)]
pub(crate) struct Call<'a> {
    pub(crate) address: SocketAddr,
    pub(crate) request: Request<Full<Bytes>>,
    pub(crate) request_id: &'a str,
    pub(crate) deadline: Instant,
    /// Whether an idle connection of some age is good enough.
    pub(crate) idempotent: bool,
    pub(crate) max_answer_bytes: usize,
    /// Memory for answers.
    pub(crate) held_bytes: &'a ByteBudget,
}

struct Connection {
    sender: SendRequest<Full<Bytes>>,
    sent_bytes: Rc<Cell<u64>>,
    used_before: bool,
    /// Dropping it closes the connection.
    _close: oneshot::Sender<()>,
}

struct IdleConnection {
    connection: Connection,
    since: Instant,
}

/// Idle connections by endpoint.
#[derive(Default)]
pub(crate) struct EndpointClient {
    /// Whether connections end with a reset, so that nothing that is still under way is delivered later.
    resets: bool,
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl EndpointClient {
    /// A client whose requests, once given up on, are not delivered any more as far as that can be prevented.
    pub(crate) fn with_reset_on_close() -> EndpointClient {
        EndpointClient { resets: true, idle: RefCell::default() }
    }

    /// Sends a request and waits for its whole answer.
    pub(crate) async fn send(&self, call: Call<'_>) -> CallEnd {
        let Call { address, mut request, request_id, deadline, idempotent, max_answer_bytes, held_bytes } = call;
        loop {
            let mut connection = match self.connection(address, deadline, idempotent).await {
                Ok(connection) => connection,
                Err(reason) => return CallEnd::NotSent(reason),
            };
            let sent_before = connection.sent_bytes.get();
            let answer = exchange(&mut connection.sender, request, request_id);
            let exchange = async {
                let (head, body) = answer.await?.into_parts();
                let body = collect_body(body, max_answer_bytes, held_bytes).await?;
                Ok(Response::from_parts(head, body))
            };
            match timeout_at(deadline, exchange).await {
                Some(Ok(answer)) => {
                    self.give_back(address, connection);
                    return CallEnd::Answered(answer);
                }
                Some(Err(ExchangeError::Unused(unsent))) if connection.used_before => request = *unsent,
                Some(Err(error)) => return self.failed(address, connection, sent_before, error.to_string()),
                None => return self.failed(address, connection, sent_before, "no answer in time".to_owned()),
            }
        }
    }

    /// An idle connection that still works, or a new one.
    async fn connection(&self, address: SocketAddr, deadline: Instant, idempotent: bool) -> Result<Connection, String> {
        while let Some(mut connection) = self.take_idle(address, idempotent) {
            if let Some(Ok(())) = timeout_at(deadline, connection.sender.ready()).await {
                return Ok(connection);
            }
        }
        open(address, deadline, self.resets).await
    }

    /// The connection is dropped here, which closes it: an answer still under way reaches nobody.
    fn failed(&self, address: SocketAddr, connection: Connection, sent_before: u64, reason: String) -> CallEnd {
        if connection.sent_bytes.get() == sent_before {
            return CallEnd::NotSent(reason);
        }
        if connection.used_before {
            // Whatever lost track of this connection may have lost its older siblings, too.
            self.idle.borrow_mut().remove(&address);
        }
        CallEnd::Lost { fresh_connection: !connection.used_before, reason }
    }

    fn take_idle(&self, address: SocketAddr, idempotent: bool) -> Option<Connection> {
        let max_idle_ms = if idempotent { MAX_IDLE_MS } else { MAX_IDLE_ONCE_MS };
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        let newest = connections.pop()?;
        if newest.since.elapsed() <= Duration::from_millis(max_idle_ms) && !newest.connection.sender.is_closed() {
            return Some(newest.connection);
        }
        // The others have been idle for longer still.
        connections.retain(|other| other.since.elapsed() <= Duration::from_millis(MAX_IDLE_MS));
        None
    }

    fn give_back(&self, address: SocketAddr, mut connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        connection.used_before = true;
        let idle = IdleConnection { connection, since: Instant::now() };
        self.idle.borrow_mut().entry(address).or_default().push(idle);
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn close_idle(&self) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| idle.since.elapsed() <= Duration::from_millis(MAX_IDLE_MS));
            !connections.is_empty()
        });
    }
}

/// Result of `future`, or `None` if `deadline` comes first.
pub(crate) async fn timeout_at<T>(deadline: Instant, future: impl Future<Output = T>) -> Option<T> {
    match select(pin!(future), pin!(sleep_until(deadline))).await {
        Either::Left((result, _)) => Some(result),
        Either::Right(_) => None,
    }
}

async fn open(address: SocketAddr, deadline: Instant, resets: bool) -> Result<Connection, String> {
    let connect_deadline = deadline.min(Instant::now() + Duration::from_millis(CONNECT_TIMEOUT_MS));
    let opened = timeout_at(connect_deadline, connect(address)).await;
    let io = opened.ok_or("no connection in time")?.map_err(|error| error.to_string())?;
    if resets {
        io.reset_on_close().map_err(|error| error.to_string())?;
    }
    let sent_bytes = io.sent_bytes();
    let (sender, driver) = http1::handshake(io).await.map_err(|error| error.to_string())?;
    let (close, closed) = oneshot::channel();
    spawn(async move {
        // Errors reach the request in flight; an idle connection that ends interests nobody.
        let _ = select(pin!(driver), pin!(closed)).await;
    });
    Ok(Connection { sender, sent_bytes, used_before: false, _close: close })
}

/// Why there is no whole answer.
#[derive(Debug, thiserror::Error)]
enum ExchangeError {
    #[error("the connection had ended")]
    Unused(Box<Request<Full<Bytes>>>),
    #[error("{0}")]
    Transport(#[from] hyper::Error),
    #[error("answer: {0}")]
    Body(#[from] BodyError),
    #[error("the answer belongs to another request")]
    Crossed,
}

async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
    request_id: &str,
) -> Result<Response<Incoming>, ExchangeError> {
    let answer: Response<Incoming> = match sender.try_send_request(request).await {
        Ok(answer) => answer,
        Err(mut error) => match error.take_message() {
            Some(unsent) => return Err(ExchangeError::Unused(Box::new(unsent))),
            None => return Err(error.into_error().into()),
        },
    };
    if let Some(echo) = answer.headers().get(wire::REQUEST_ID) {
        if echo.as_bytes() != request_id.as_bytes() {
            return Err(ExchangeError::Crossed);
        }
    }
    Ok(answer)
}
