//! Blocking HTTP server of the stand-in, with a fixed number of handler threads.
//!
//! tiny_http starts a thread for every connection and has no timeouts, so it is used only where all clients are known,
//! as those of the stand-in are.

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use http::Method;
use tiny_http::{Header, Request, Response, Server};

use crate::api::{ApiRequest, ApiResponse};
use crate::error::{Error, Result};

/// A running server. Dropping it stops its threads and waits for them.
#[derive(Debug)]
pub(crate) struct ApiServer {
    address: SocketAddr,
    server: ServerHandle,
    threads: Vec<JoinHandle<()>>,
}

struct ServerHandle(Arc<Server>);

impl std::fmt::Debug for ServerHandle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ServerHandle")
    }
}

impl ApiServer {
    /// Serves `listener` with `handler` on `thread_count` threads.
    pub(crate) fn start(
        listener: TcpListener,
        thread_count: usize,
        max_body_bytes: usize,
        handler: impl Fn(&ApiRequest) -> ApiResponse + Send + Sync + 'static,
    ) -> Result<ApiServer> {
        let address = listener.local_addr().map_err(Error::io("read the listener's address"))?;
        let server = Server::from_listener(listener, None).map_err(|error| Error::Io {
            operation: format!("serve {address}"),
            source: std::io::Error::other(error),
        })?;
        let server = Arc::new(server);
        let handler = Arc::new(handler);
        let mut threads = Vec::new();
        for _ in 0..thread_count {
            let server = server.clone();
            let handler = handler.clone();
            threads.push(thread::spawn(move || serve(&server, max_body_bytes, &*handler)));
        }
        Ok(ApiServer { address, server: ServerHandle(server), threads })
    }

    /// Listening address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for ApiServer {
    fn drop(&mut self) {
        for _ in &self.threads {
            self.server.0.unblock();
        }
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

fn serve(server: &Server, max_body_bytes: usize, handler: &dyn Fn(&ApiRequest) -> ApiResponse) {
    // `recv` fails after a call of `unblock`, which tells this thread to stop.
    while let Ok(mut request) = server.recv() {
        let api_response = match read_request(&mut request, max_body_bytes) {
            Ok(api_request) => handler(&api_request),
            Err(api_response) => api_response,
        };
        // Responding fails if the client has disconnected; nobody needs the response then.
        let _ = request.respond(encode_response(api_response));
    }
}

fn read_request(request: &mut Request, max_body_bytes: usize) -> Result<ApiRequest, ApiResponse> {
    let too_large = || ApiResponse::error(413, &format!("the body is larger than {max_body_bytes} bytes"));
    if request.body_length().is_some_and(|length| length > max_body_bytes) {
        return Err(too_large());
    }
    let mut body = Vec::new();
    let limit = max_body_bytes as u64 + 1;
    request
        .as_reader()
        .take(limit)
        .read_to_end(&mut body)
        .map_err(|error| ApiResponse::error(400, &format!("the body ended early: {error}")))?;
    if body.len() > max_body_bytes {
        return Err(too_large());
    }
    let method = Method::from_bytes(request.method().as_str().as_bytes())
        .map_err(|_| ApiResponse::error(400, "the method is not a valid one"))?;
    let (path, query) = request.url().split_once('?').unwrap_or((request.url(), ""));
    let headers = request.headers().iter();
    Ok(ApiRequest {
        method,
        path: path.to_owned(),
        query: query.to_owned(),
        headers: headers.map(|header| (header.field.to_string(), header.value.to_string())).collect(),
        body,
    })
}

fn encode_response(api_response: ApiResponse) -> Response<std::io::Cursor<Vec<u8>>> {
    let mut response = Response::from_data(api_response.body).with_status_code(api_response.status);
    let content_type = ("Content-Type", api_response.content_type.to_owned());
    for (name, value) in api_response.headers.into_iter().chain([content_type]) {
        if let Ok(header) = Header::from_bytes(name, value) {
            response.add_header(header);
        }
    }
    response
}
