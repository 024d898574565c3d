//! HTTP/1.1 server on the event loop, with bounds on connections and on waiting for headers.

#[cfg(test)]
mod http_server_tests;

use std::cell::Cell;
use std::future::Future;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::future::{select, Either};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};

use crate::reactor::{sleep_until, spawn, Condvar, Listener, ReactorTimer, TcpIo};

const ACCEPT_RETRY_MS: u64 = 50;

/// Body of every answer; held whole, so its length is always announced.
pub(crate) type Body = Full<Bytes>;
type LocalResponse = Pin<Box<dyn Future<Output = Response<Body>>>>;
/// Answers one request.
pub(crate) type Handler = Rc<dyn Fn(Request<Incoming>) -> LocalResponse>;

/// Bounds of a server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ServerLimits {
    /// Connections held at once; further ones wait in the listener's backlog.
    pub(crate) max_connections: usize,
    /// Longest wait for a request's headers, the idle time before them included.
    pub(crate) header_timeout_ms: u64,
    /// Largest size of a request's headers.
    pub(crate) max_header_bytes: usize,
}

/// Shared between a server's connections and whoever stops it.
#[derive(Debug, Default)]
pub(crate) struct ServerControl {
    stopping: Cell<bool>,
    connections: Cell<usize>,
    stop_condvar: Condvar,
    connections_condvar: Condvar,
}

impl ServerControl {
    /// Accepts nothing more, lets requests in progress finish and closes idle connections.
    pub(crate) fn stop(&self) {
        self.stopping.set(true);
        self.stop_condvar.notify();
        self.connections_condvar.notify();
    }

    /// Whether [`ServerControl::stop`] was called.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Completes when [`ServerControl::stop`] is called.
    pub(crate) async fn stop_requested(&self) {
        self.stop_condvar.wait_until(|| self.stopping.get()).await;
    }

    /// Completes once the server was stopped and its last connection is closed.
    pub(crate) async fn stopped(&self) {
        self.connections_condvar.wait_until(|| self.stopping.get() && self.connections.get() == 0).await;
    }

    async fn has_room(&self, max_connections: usize) {
        self.connections_condvar.wait_until(|| self.stopping.get() || self.connections.get() < max_connections).await;
    }
}

/// Counts one connection while it lives.
struct ConnectionCount(Rc<ServerControl>);

impl ConnectionCount {
    fn new(control: &Rc<ServerControl>) -> ConnectionCount {
        control.connections.set(control.connections.get() + 1);
        ConnectionCount(control.clone())
    }
}

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
        self.0.connections_condvar.notify();
    }
}

/// Serves `listener` until `control` is stopped.
pub(crate) async fn serve(listener: Listener, limits: ServerLimits, control: Rc<ServerControl>, handler: Handler) {
    while !control.is_stopping() {
        control.has_room(limits.max_connections).await;
        let accepted = {
            let accept = pin!(listener.accept());
            let stop = pin!(control.stop_requested());
            match select(accept, stop).await {
                Either::Left((accepted, _)) => accepted,
                Either::Right(_) => return,
            }
        };
        match accepted {
            Ok(io) => spawn(serve_connection(io, limits, ConnectionCount::new(&control), handler.clone())),
            Err(_) => {
                // Out of file descriptors, most likely: they come back when connections end.
                metrics::counter!("accept_errors_total").increment(1);
                sleep_until(Instant::now() + Duration::from_millis(ACCEPT_RETRY_MS)).await;
            }
        }
    }
}

async fn serve_connection(io: TcpIo, limits: ServerLimits, count: ConnectionCount, handler: Handler) {
    let control = count.0.clone();
    let service = service_fn(move |request| {
        let response = handler(request);
        async move { Ok::<_, std::convert::Infallible>(response.await) }
    });
    let connection = http1::Builder::new()
        .timer(ReactorTimer)
        .header_read_timeout(Duration::from_millis(limits.header_timeout_ms))
        .max_buf_size(limits.max_header_bytes)
        .half_close(true)
        .serve_connection(io, service);
    let mut connection = pin!(connection);
    let stopped = {
        let stop = pin!(control.stop_requested());
        matches!(select(connection.as_mut(), stop).await, Either::Right(_))
    };
    if stopped {
        connection.as_mut().graceful_shutdown();
        // A connection that fails now has no request that could be answered.
        let _ = connection.await;
    }
}
