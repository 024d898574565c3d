//! HTTP/1.1 server on the event loop, with limits on connections, header size and the wait for headers.

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

const ACCEPT_RETRY_DELAY_MS: u64 = 50;

/// Response body. It is buffered whole, so every response has a `Content-Length`.
pub(crate) type Body = Full<Bytes>;
type ResponseFuture = Pin<Box<dyn Future<Output = Response<Body>>>>;
/// Handles one request.
pub(crate) type Handler = Rc<dyn Fn(Request<Incoming>) -> ResponseFuture>;

/// Limits of a server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ServerLimits {
    /// Maximum number of open connections; further ones wait in the listener's backlog.
    pub(crate) max_connections: usize,
    /// Maximum wait for the headers of a request, including the idle time before it.
    pub(crate) header_timeout_ms: u64,
    /// Maximum size of the headers of a request.
    pub(crate) max_header_bytes: usize,
}

/// Stops a server and counts its open connections; shared by the connections and the server's owner.
#[derive(Debug, Default)]
pub(crate) struct ServerControl {
    stopping: Cell<bool>,
    connections: Cell<usize>,
    stop_condvar: Condvar,
    connections_condvar: Condvar,
}

impl ServerControl {
    /// Stops accepting connections, lets requests in progress finish and closes idle connections.
    pub(crate) fn stop(&self) {
        self.stopping.set(true);
        self.stop_condvar.notify();
        self.connections_condvar.notify();
    }

    /// Whether [`ServerControl::stop`] was called.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Waits until [`ServerControl::stop`] is called.
    pub(crate) async fn stop_requested(&self) {
        self.stop_condvar.wait_until(|| self.stopping.get()).await;
    }

    /// Waits until [`ServerControl::stop`] has been called and the last connection is closed.
    pub(crate) async fn stopped(&self) {
        self.connections_condvar.wait_until(|| self.stopping.get() && self.connections.get() == 0).await;
    }

    /// Waits until another connection may be accepted, or the server is stopping.
    async fn wait_for_capacity(&self, max_connections: usize) {
        self.connections_condvar.wait_until(|| self.stopping.get() || self.connections.get() < max_connections).await;
    }
}

/// Counts one connection until dropped.
struct ConnectionGuard(Rc<ServerControl>);

impl ConnectionGuard {
    fn new(control: &Rc<ServerControl>) -> ConnectionGuard {
        control.connections.set(control.connections.get() + 1);
        ConnectionGuard(control.clone())
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
        self.0.connections_condvar.notify();
    }
}

/// Serves connections from `listener` until `control` is stopped.
pub(crate) async fn serve(listener: Listener, limits: ServerLimits, control: Rc<ServerControl>, handler: Handler) {
    while !control.is_stopping() {
        control.wait_for_capacity(limits.max_connections).await;
        let accepted = {
            let accept = pin!(listener.accept());
            let stop = pin!(control.stop_requested());
            match select(accept, stop).await {
                Either::Left((accepted, _)) => accepted,
                Either::Right(_) => return,
            }
        };
        match accepted {
            Ok(io) => spawn(serve_connection(io, limits, ConnectionGuard::new(&control), handler.clone())),
            Err(_) => {
                // Most likely out of file descriptors, which become free when connections end.
                metrics::counter!("accept_errors_total").increment(1);
                sleep_until(Instant::now() + Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await;
            }
        }
    }
}

async fn serve_connection(io: TcpIo, limits: ServerLimits, guard: ConnectionGuard, handler: Handler) {
    let control = guard.0.clone();
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
        // After an error, the connection is gone and no response can be sent.
        let _ = connection.await;
    }
}
