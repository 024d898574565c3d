//! Serves callers' requests: reads and dispatches each one, sends it to an endpoint and replies to the caller.
//!
//! Callers are served by several threads, called lanes. Each lane has its own event loop and its own connections. All
//! lanes share the dispatcher and the other state in [`IngressState`].

mod active_requests;
mod attempt;
mod keyed_requests;
mod lanes;
mod parsed_request;
mod reply;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use futures::channel::{mpsc, oneshot};
use futures::StreamExt;
use http::Method;
use hyper::body::Incoming;
use hyper::{Request, Response};

use crate::buffered_body::{collect_body, BufferedBody};
use crate::clock::US_PER_MS;
use crate::dispatch::{Arrival, LocalRequestId, Verdict};
use crate::endpoint_client::{timeout_at, EndpointClient};
use crate::http_server::Body;
use crate::ingress_state::IngressState;
use crate::peer_message::{ForwardedRequest, ForwardedResponse};
use crate::reactor::spawn;
use crate::trace::{Span, SpanKind, TraceContext};
use crate::wire;

use parsed_request::ParsedRequest;
use reply::{CallerReply, RequestError};

pub(crate) use active_requests::{ActiveRequests, AttemptCommand, Step};
pub(crate) use lanes::Lanes;

/// Longest wait for a request's body, even if the request's deadline is later.
const BODY_TIMEOUT_MS: u64 = 10_000;

/// Path at which callers get tickets. No service can be named `-`.
const TICKET_PATH: &str = "/-/ticket";

/// State of one lane: its endpoint connections, and the state shared with the others. The main thread has a `Lane` too,
/// for requests that other daemons forward.
pub(crate) struct Lane {
    shared: Arc<IngressState>,
    endpoints: EndpointClient,
}

impl Lane {
    pub(crate) fn new(shared: Arc<IngressState>) -> Lane {
        Lane { shared, endpoints: EndpointClient::default() }
    }

    /// Closes endpoint connections that have been idle for too long.
    pub(crate) fn close_idle(&self) {
        self.endpoints.close_idle();
    }
}

/// Serves one request in a task of its own, so that it runs to completion even if its caller disconnects: an endpoint
/// may already be processing it.
async fn handle(lane: Rc<Lane>, request: Request<Incoming>) -> Response<Body> {
    let (sender, receiver) = oneshot::channel();
    spawn(async move {
        let response = respond(&lane, request).await;
        // The caller may have disconnected.
        let _ = sender.send(response);
    });
    receiver.await.unwrap_or_default()
}

/// Identifiers of one request.
struct RequestIds {
    /// Identifies the request within this daemon.
    local_id: LocalRequestId,
    /// Value of the header [`wire::REQUEST_ID`].
    request_id: String,
    trace: TraceContext,
}

impl RequestIds {
    fn new(lane: &Lane, parent: Option<&TraceContext>) -> RequestIds {
        let local_id = lane.shared.requests.next_id();
        let trace = parent.map_or_else(TraceContext::root, TraceContext::child);
        RequestIds { local_id, request_id: lane.shared.requests.request_id(local_id), trace }
    }
}

/// Serves one request, and records its outcome in metrics and a span.
async fn respond(lane: &Lane, request: Request<Incoming>) -> Response<Body> {
    let started = Instant::now();
    let start_ns = lane.shared.spans.now_ns();
    let parent = parsed_request::parse_traceparent(request.headers());
    let has_key = request.headers().contains_key(wire::IDEMPOTENCY_KEY);
    let ids = RequestIds::new(lane, parent.as_ref());
    let reply = match serve_request(lane, request, &ids).await {
        Ok(reply) => reply,
        Err(error) => CallerReply::request_error(&error, has_key, &ids.request_id),
    };
    lane.shared.metrics.record_request(reply.outcome, started.elapsed().as_secs_f64());
    if lane.shared.spans.is_enabled() {
        lane.shared.spans.export(Span {
            context: ids.trace,
            parent_span_id: parent.map(|parent| parent.span_id),
            name: "request",
            kind: SpanKind::Server,
            start_ns,
            end_ns: lane.shared.spans.now_ns(),
            attributes: vec![("request.id", ids.request_id.clone()), ("outcome", reply.outcome.name().to_owned())],
        });
    }
    reply.into_response(&ids.request_id)
}

async fn serve_request(lane: &Lane, request: Request<Incoming>, ids: &RequestIds) -> Result<CallerReply, RequestError> {
    if request.uri().path() == TICKET_PATH && request.method() == Method::POST {
        let ticket = lane.shared.tickets().issue();
        return Ok(CallerReply::ticket(&ticket));
    }
    let now_us = lane.shared.now_us();
    let (head, body) = request.into_parts();
    let accepted = lane.shared.sheet().ok_or(RequestError::NotReady)?;
    let parsed = ParsedRequest::new(head, &accepted, now_us, lane.shared.settings.default_deadline_ms)?;
    let body = read_body(lane, body, &parsed).await?;
    let reply = serve_parsed(lane, &parsed, body.bytes.clone(), ids).await;
    drop(body.reserved);
    Ok(reply)
}

async fn serve_parsed(lane: &Lane, parsed: &ParsedRequest, body: Bytes, ids: &RequestIds) -> CallerReply {
    match &parsed.key {
        Some(key) => keyed_requests::serve(lane, parsed, key, body, ids).await,
        None => dispatch(lane, parsed, body, ids).await,
    }
}

/// Serves a request forwarded by another daemon because this one issued its ticket. Returns `None` if the forwarded
/// request is malformed.
pub(crate) async fn serve_forwarded(lane: &Lane, forwarded: ForwardedRequest) -> Option<ForwardedResponse> {
    let parent = TraceContext::parse(&forwarded.traceparent);
    let ids = RequestIds::new(lane, parent.as_ref());
    let body = Bytes::from(forwarded.body.clone());
    let parsed = ParsedRequest::from_forwarded(forwarded, lane.shared.now_us())?;
    Some(serve_parsed(lane, &parsed, body, &ids).await.into_forwarded())
}

/// Reads the whole body, within the limits on its size, on the memory for all bodies and on time.
async fn read_body(lane: &Lane, body: Incoming, parsed: &ParsedRequest) -> Result<BufferedBody, RequestError> {
    let timeout_at_us = (lane.shared.now_us() + BODY_TIMEOUT_MS * US_PER_MS).min(parsed.deadline_us);
    let collected = collect_body(body, lane.shared.settings.max_body_bytes, &lane.shared.body_budget);
    match timeout_at(lane.shared.clock.instant(timeout_at_us), collected).await {
        Some(body) => Ok(body?),
        None => Err(RequestError::BodyTimeout),
    }
}

/// Passes a parsed request to the dispatcher and carries out the steps that it decides on, up to its verdict.
async fn dispatch(lane: &Lane, parsed: &ParsedRequest, body: Bytes, ids: &RequestIds) -> CallerReply {
    let (sender, mut steps) = mpsc::unbounded();
    lane.shared.requests.insert(ids.local_id, sender);
    let arrival = Arrival {
        id: ids.local_id,
        pool: parsed.pool.clone(),
        team: parsed.team.clone(),
        caller: parsed.caller.clone(),
        idempotent: parsed.idempotent,
        deadline_us: parsed.deadline_us,
        body_bytes: body.len(),
    };
    lane.shared.dispatch_event(|dispatcher, now_us| dispatcher.on_arrival(now_us, arrival));
    let mut response = None;
    let mut last_failure = None;
    let mut verdict = Verdict::Unknown;
    while let Some(step) = steps.next().await {
        match step {
            Step::Attempt(command) => {
                let attempt_id = command.attempt;
                let result = attempt::run(lane, parsed, &command, body.clone(), ids).await;
                response = result.response;
                last_failure = result.failure.or(last_failure);
                lane.shared
                    .dispatch_event(|dispatcher, now_us| dispatcher.on_attempt_end(now_us, attempt_id, result.outcome));
            }
            Step::Finish(final_verdict) => {
                verdict = final_verdict;
                break;
            }
        }
    }
    lane.shared.requests.remove(ids.local_id);
    CallerReply::from_verdict(verdict, response, last_failure, &ids.request_id)
}
