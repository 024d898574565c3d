//! Blocking HTTP server for administration and for the stand-in, on a fixed number of worker threads.

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use serde::Serialize;
use socket2::SockRef;
use tiny_http::{Header, Method, Request, Response, Server};

use crate::error::{Error, Result};

/// A connection that sends nothing for this long is closed.
const READ_TIMEOUT_S: u64 = 10;
const JSON: &str = "application/json";

/// One request, read whole.
#[derive(Debug, Clone)]
pub(crate) struct ApiRequest {
    pub(crate) method: Method,
    /// Path without the query.
    pub(crate) path: String,
    /// Query without the question mark.
    pub(crate) query: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

impl ApiRequest {
    /// First value of a header; `name` is compared without regard to case.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Value of a query parameter.
    pub(crate) fn parameter(&self, name: &str) -> Option<&str> {
        for pair in self.query.split('&') {
            let Some((key, value)) = pair.split_once('=') else { continue };
            if key == name {
                return Some(value);
            }
        }
        None
    }
}

/// One answer.
#[derive(Debug, Clone)]
pub(crate) struct ApiReply {
    pub(crate) status: u16,
    pub(crate) content_type: &'static str,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) body: Vec<u8>,
}

#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

impl ApiReply {
    /// A JSON answer.
    pub(crate) fn json(status: u16, body: &impl Serialize) -> ApiReply {
        match serde_json::to_vec(body) {
            Ok(body) => ApiReply { status, content_type: JSON, headers: Vec::new(), body },
            Err(error) => ApiReply::error(500, &format!("cannot encode the answer: {error}")),
        }
    }

    /// A JSON error with a message for the operator.
    pub(crate) fn error(status: u16, message: &str) -> ApiReply {
        let body = serde_json::to_vec(&ErrorBody { error: message }).unwrap_or_default();
        ApiReply { status, content_type: JSON, headers: Vec::new(), body }
    }

    /// Plain bytes.
    pub(crate) fn bytes(content_type: &'static str, body: Vec<u8>) -> ApiReply {
        ApiReply { status: 200, content_type, headers: Vec::new(), body }
    }

    /// Adds a header.
    pub(crate) fn with_header(mut self, name: &'static str, value: String) -> ApiReply {
        self.headers.push((name, value));
        self
    }
}

/// A running server; dropping it ends its threads.
#[derive(Debug)]
pub(crate) struct ApiServer {
    address: SocketAddr,
    stop: StopServer,
    workers: Vec<JoinHandle<()>>,
}

struct StopServer(Arc<Server>);

impl std::fmt::Debug for StopServer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("StopServer")
    }
}

impl ApiServer {
    /// Serves `listener` with `handler` on `worker_count` threads.
    pub(crate) fn start(
        listener: TcpListener,
        worker_count: usize,
        max_body_bytes: usize,
        handler: impl Fn(&ApiRequest) -> ApiReply + Send + Sync + 'static,
    ) -> Result<ApiServer> {
        let address = listener.local_addr().map_err(Error::io("read the listener's address"))?;
        // Linux hands the listener's receive timeout down to accepted connections.
        SockRef::from(&listener)
            .set_read_timeout(Some(Duration::from_secs(READ_TIMEOUT_S)))
            .map_err(Error::io("set the listener's timeout"))?;
        let server = Server::from_listener(listener, None)
            .map_err(|error| Error::Io { what: format!("serve {address}"), source: std::io::Error::other(error) })?;
        let server = Arc::new(server);
        let handler = Arc::new(handler);
        let mut workers = Vec::new();
        for _ in 0..worker_count {
            let server = server.clone();
            let handler = handler.clone();
            workers.push(thread::spawn(move || serve(&server, max_body_bytes, &*handler)));
        }
        Ok(ApiServer { address, stop: StopServer(server), workers })
    }

    /// Address it listens on.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for ApiServer {
    fn drop(&mut self) {
        for _ in &self.workers {
            self.stop.0.unblock();
        }
        for worker in self.workers.drain(..) {
            let _ = worker.join();
        }
    }
}

fn serve(server: &Server, max_body_bytes: usize, handler: &dyn Fn(&ApiRequest) -> ApiReply) {
    // An error here is the signal to stop.
    while let Ok(mut request) = server.recv() {
        let reply = match read_request(&mut request, max_body_bytes) {
            Ok(api_request) => handler(&api_request),
            Err(reply) => reply,
        };
        // A caller that hung up gets no answer; there is nobody to tell.
        let _ = request.respond(into_response(reply));
    }
}

fn read_request(request: &mut Request, max_body_bytes: usize) -> Result<ApiRequest, ApiReply> {
    let too_large = || ApiReply::error(413, &format!("the body is larger than {max_body_bytes} bytes"));
    if request.body_length().is_some_and(|length| length > max_body_bytes) {
        return Err(too_large());
    }
    let mut body = Vec::new();
    let limit = max_body_bytes as u64 + 1;
    request
        .as_reader()
        .take(limit)
        .read_to_end(&mut body)
        .map_err(|error| ApiReply::error(400, &format!("the body ended early: {error}")))?;
    if body.len() > max_body_bytes {
        return Err(too_large());
    }
    let (path, query) = request.url().split_once('?').unwrap_or((request.url(), ""));
    let headers = request.headers().iter();
    Ok(ApiRequest {
        method: request.method().clone(),
        path: path.to_owned(),
        query: query.to_owned(),
        headers: headers.map(|header| (header.field.to_string(), header.value.to_string())).collect(),
        body,
    })
}

fn into_response(reply: ApiReply) -> Response<std::io::Cursor<Vec<u8>>> {
    let mut response = Response::from_data(reply.body).with_status_code(reply.status);
    let content_type = ("Content-Type", reply.content_type.to_owned());
    for (name, value) in reply.headers.into_iter().chain([content_type]) {
        if let Ok(header) = Header::from_bytes(name, value) {
            response.add_header(header);
        }
    }
    response
}
