//! Sample endpoints: HTTP/1.1 servers with a fixed number of slots that echo the request's body.
//!
//! The query parameter `work_ms=N` sets how long a request runs, `status=N` sets the status of the response.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::sync_channel;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;

use crate::error::{Error, Result};
use crate::http_server::{serve, Body, ServerControl, ServerLimits};
use crate::reactor::{sleep_until, spawn, Condvar, Listener, Reactor};
use crate::wire::{self, Outcome};

/// Number of requests that an endpoint runs concurrently.
pub const SLOTS: u32 = 8;
/// Maximum number of open connections of an endpoint.
pub const MAX_CONNECTIONS: usize = 64;
const HEADER_TIMEOUT_MS: u64 = 60_000;
const MAX_HEADER_BYTES: usize = 32 * 1024;
const MAX_BODY_BYTES: usize = 16 << 20;
const MAX_WORK_MS: u64 = 600_000;

/// State of an endpoint that other threads can read and change.
#[derive(Debug, Default)]
pub struct EndpointState {
    runs: AtomicU64,
    leaving: AtomicBool,
}

impl EndpointState {
    /// Number of requests that have started to run.
    pub fn runs(&self) -> u64 {
        self.runs.load(Ordering::Acquire)
    }

    /// Makes the endpoint refuse new requests and report that it is leaving.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
    }
}

/// A running sample endpoint.
#[derive(Debug, Clone)]
pub struct SampleEndpoint {
    /// Name of the endpoint's host.
    pub name: Arc<str>,
    /// Listening address.
    pub address: SocketAddr,
    /// State of the endpoint.
    pub state: Arc<EndpointState>,
}

/// Starts one endpoint for each name, on free ports of 127.0.0.1. They share one thread, which runs until the process
/// ends.
///
/// # Errors
/// Fails if no port is free.
pub fn start(names: &[Arc<str>]) -> Result<Vec<SampleEndpoint>> {
    let mut bound = Vec::new();
    let mut endpoints = Vec::new();
    for name in names {
        let listener = TcpListener::bind(("127.0.0.1", 0)).map_err(Error::io("listen as sample endpoint"))?;
        let address = listener.local_addr().map_err(Error::io("read the sample endpoint's address"))?;
        let endpoint = SampleEndpoint { name: name.clone(), address, state: Arc::default() };
        endpoints.push(endpoint.clone());
        bound.push((listener, endpoint));
    }
    let (sender, started) = sync_channel(1);
    thread::spawn(move || {
        let result = run(bound, &sender);
        if let Err(error) = result {
            log::error!("error={error} outcome=sample_endpoints_failed");
        }
    });
    started.recv().map_err(|_| Error::io("start sample endpoints")(std::io::Error::other("the thread ended")))?;
    Ok(endpoints)
}

fn run(bound: Vec<(TcpListener, SampleEndpoint)>, started: &std::sync::mpsc::SyncSender<()>) -> Result<()> {
    let mut reactor = Reactor::new().map_err(Error::io("start the event loop"))?;
    let limits = ServerLimits {
        max_connections: MAX_CONNECTIONS,
        header_timeout_ms: HEADER_TIMEOUT_MS,
        max_header_bytes: MAX_HEADER_BYTES,
    };
    for (listener, endpoint) in bound {
        let listener = Listener::new(listener).map_err(Error::io("register the sample endpoint"))?;
        let endpoint = Rc::new(Endpoint { name: endpoint.name, state: endpoint.state, slots: Slots::default() });
        let handler = Rc::new(move |request| {
            let endpoint = endpoint.clone();
            Box::pin(async move { endpoint.handle(request).await }) as _
        });
        spawn(serve(listener, limits, Rc::<ServerControl>::default(), handler));
    }
    // Fails only if `start` no longer waits.
    let _ = started.send(());
    reactor.run().map_err(Error::io("run the event loop"))
}

/// Semaphore that grants slots in the order of arrival.
#[derive(Default)]
struct Slots {
    in_use: Cell<u32>,
    last_ticket: Cell<u64>,
    /// Tickets of the waiting requests, in the order of arrival.
    waiting: RefCell<VecDeque<u64>>,
    freed: Condvar,
}

impl Slots {
    async fn acquire(&self) {
        if self.in_use.get() < SLOTS && self.waiting.borrow().is_empty() {
            self.in_use.set(self.in_use.get() + 1);
            return;
        }
        let ticket = self.last_ticket.get() + 1;
        self.last_ticket.set(ticket);
        self.waiting.borrow_mut().push_back(ticket);
        let is_granted = || self.in_use.get() < SLOTS && self.waiting.borrow().front() == Some(&ticket);
        self.freed.wait_until(is_granted).await;
        self.waiting.borrow_mut().pop_front();
        self.in_use.set(self.in_use.get() + 1);
        self.freed.notify();
    }

    fn release(&self) {
        self.in_use.set(self.in_use.get() - 1);
        if !self.waiting.borrow().is_empty() {
            self.freed.notify();
        }
    }

    /// Requests that hold a slot or wait for one.
    fn in_flight(&self) -> u32 {
        self.in_use.get() + u32::try_from(self.waiting.borrow().len()).unwrap_or(u32::MAX)
    }
}

struct Endpoint {
    name: Arc<str>,
    state: Arc<EndpointState>,
    slots: Slots,
}

impl Endpoint {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        if self.state.leaving.load(Ordering::Acquire) {
            return self.refusal();
        }
        let (head, body) = request.into_parts();
        let query = head.uri.query().unwrap_or("");
        let work_ms = numeric_parameter(query, "work_ms").unwrap_or(0).min(MAX_WORK_MS);
        let status = numeric_parameter(query, "status").and_then(|status| u16::try_from(status).ok());
        // A request whose body is incomplete or too large does not run.
        let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
            return self.refusal();
        };
        self.slots.acquire().await;
        self.state.runs.fetch_add(1, Ordering::AcqRel);
        if work_ms > 0 {
            sleep_until(Instant::now() + Duration::from_millis(work_ms)).await;
        }
        self.slots.release();
        let mut body = body.to_bytes();
        if body.is_empty() {
            body = Bytes::from(format!("{} {} at {}\n", head.method, head.uri, self.name));
        }
        let mut response = Response::new(Full::new(body));
        if let Some(status) = status.and_then(|status| StatusCode::from_u16(status).ok()) {
            *response.status_mut() = status;
        }
        if let Some(request_id) = head.headers.get(wire::REQUEST_ID) {
            response.headers_mut().insert(wire::REQUEST_ID, request_id.clone());
        }
        self.with_load(response)
    }

    /// Response to a request that is not run.
    fn refusal(&self) -> Response<Body> {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        let headers = response.headers_mut();
        headers.insert(wire::OUTCOME, HeaderValue::from_static(Outcome::NotRun.name()));
        if self.state.leaving.load(Ordering::Acquire) {
            headers.insert(wire::STATE, HeaderValue::from_static(wire::LEAVING));
        }
        self.with_load(response)
    }

    /// Adds the header with the endpoint's load.
    fn with_load(&self, mut response: Response<Body>) -> Response<Body> {
        let load = format!("{}/{SLOTS}", self.slots.in_flight());
        if let Ok(load) = HeaderValue::from_str(&load) {
            response.headers_mut().insert(wire::LOAD, load);
        }
        response
    }
}

fn numeric_parameter(query: &str, name: &str) -> Option<u64> {
    for pair in query.split('&') {
        let Some((key, value)) = pair.split_once('=') else { continue };
        if key == name {
            return value.parse().ok();
        }
    }
    None
}
