//! HTTP client that the clients of the services and workers of the users' platform share.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST};
use http::{HeaderName, HeaderValue, Request};
use http_body_util::Full;
use percent_encoding::{utf8_percent_encode, NON_ALPHANUMERIC};

use crate::buffered_body::ByteBudget;
use crate::call_progress::{CallDeadline, CallProgress};
use crate::endpoint_client::{Call, CallOutcome, EndpointClient};

/// Limit on the body of one response. A page of rows is at most 1 MB before it is encoded.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Limit on the bodies of all responses that are held in memory at the same time.
const MAX_HELD_BYTES: usize = 48 << 20;

/// A complete response.
#[derive(Debug)]
pub(super) struct HttpResponse {
    pub(super) status: u16,
    pub(super) body: Bytes,
}

/// A request, and when it ends if there is no complete response.
#[derive(Debug)]
pub(super) struct HttpCall<'a> {
    pub(super) address: SocketAddr,
    pub(super) method: &'a str,
    pub(super) path: &'a str,
    pub(super) headers: &'a [(&'static str, &'a str)],
    pub(super) body: Bytes,
    pub(super) deadline: CallDeadline,
    pub(super) progress: CallProgress,
}

impl<'a> HttpCall<'a> {
    /// A request without a body and headers, which may take `timeout_ms`, and longer while its response arrives.
    pub(super) fn get(address: SocketAddr, path: &'a str, timeout_ms: u64) -> HttpCall<'a> {
        HttpCall {
            address,
            method: "GET",
            path,
            headers: &[],
            body: Bytes::new(),
            deadline: CallDeadline::ExtendedByProgress(in_ms(timeout_ms)),
            progress: CallProgress::default(),
        }
    }

    /// A request that may take `timeout_ms` in all.
    pub(super) fn post(
        address: SocketAddr,
        path: &'a str,
        headers: &'a [(&'static str, &'a str)],
        body: Bytes,
        timeout_ms: u64,
    ) -> HttpCall<'a> {
        let deadline = CallDeadline::Fixed(in_ms(timeout_ms));
        HttpCall { address, method: "POST", path, headers, body, deadline, progress: CallProgress::default() }
    }
}

fn in_ms(timeout_ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(timeout_ms)
}

/// Sends requests over pooled connections, with limits on response sizes.
pub(crate) struct HttpClient {
    client: EndpointClient,
    held_bytes: ByteBudget,
}

impl HttpClient {
    pub(crate) fn new() -> HttpClient {
        HttpClient { client: EndpointClient::with_reset_on_close(), held_bytes: ByteBudget::new(MAX_HELD_BYTES) }
    }

    /// Serves the connections to an address before those to others.
    pub(super) fn prefer(&self, address: SocketAddr) {
        self.client.prefer(address);
    }

    /// Closes the pooled connections to an address, so that the next request opens a new one.
    pub(super) fn close_idle_to(&self, address: SocketAddr) {
        self.client.close_idle_to(address);
    }

    /// Closes pooled connections that have exceeded the idle timeout.
    pub(crate) fn close_idle(&self) {
        self.client.close_idle();
    }

    /// Sends a request and returns the complete response, or why there is none.
    pub(super) async fn send(&self, call: HttpCall<'_>) -> Result<HttpResponse, CallOutcome> {
        let HttpCall { address, method, path, headers, body, deadline, progress } = call;
        let request = match build_request(address, method, path, headers, body) {
            Ok(request) => request,
            Err(error) => return Err(CallOutcome::NotSent(error.to_string())),
        };
        let call = Call {
            address,
            request,
            request_id: "",
            deadline,
            progress,
            idempotent: true,
            max_response_bytes: MAX_RESPONSE_BYTES,
            body_budget: &self.held_bytes,
        };
        match self.client.send(call).await {
            CallOutcome::Answered(response) => {
                let (head, body) = response.into_parts();
                Ok(HttpResponse { status: head.status.as_u16(), body: body.into_bytes() })
            }
            failure => Err(failure),
        }
    }
}

/// A path with a query. Any text can be the value of a parameter: keys and page tokens come from other writers.
pub(super) fn path_with_query(path: &str, parameters: &[(&str, &str)]) -> String {
    let mut text = path.to_owned();
    for (index, (name, value)) in parameters.iter().enumerate() {
        text.push(if index == 0 { '?' } else { '&' });
        text.push_str(name);
        text.push('=');
        text.extend(utf8_percent_encode(value, NON_ALPHANUMERIC));
    }
    text
}

fn build_request(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&'static str, &str)],
    body: Bytes,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let mut request = Request::builder().method(method).uri(path).header(HOST, address.to_string());
    if !body.is_empty() {
        request = request.header(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    }
    for (name, value) in headers {
        request = request.header(HeaderName::from_static(name), HeaderValue::from_str(value)?);
    }
    request.body(Full::new(body))
}
