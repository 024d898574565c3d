//! Callers' requests: read, dispatched, sent to an endpoint, answered.
//!
//! Several threads, called lanes, serve callers; each has its own event loop and its own connections. They share
//! the decisions in [`RequestPath`].

mod attempt;
mod keyed;
mod lanes;
mod plan;
mod reply;
mod request_table;

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
use crate::dispatch::{Arrival, RequestId, Verdict};
use crate::endpoint_client::{timeout_at, EndpointClient};
use crate::http_server::Body;
use crate::peer_message::{Forward, Forwarded};
use crate::reactor::spawn;
use crate::request_path::RequestPath;
use crate::trace::{Span, SpanKind, TraceContext};
use crate::wire;

use plan::Plan;
use reply::{CallerReply, Refused};

pub(crate) use lanes::Lanes;
pub(crate) use request_table::{AttemptOrder, RequestTable, Step};

/// Longest wait for a request's body, also if its deadline is later.
const BODY_TIMEOUT_MS: u64 = 10_000;

/// Callers get tickets here; no service can have this name.
const TICKET_PATH: &str = "/-/ticket";

/// One thread that serves callers.
pub(crate) struct Lane {
    path: Arc<RequestPath>,
    endpoints: EndpointClient,
}

impl Lane {
    pub(crate) fn new(path: Arc<RequestPath>) -> Lane {
        Lane { path, endpoints: EndpointClient::default() }
    }

    /// Closes connections to endpoints that have been idle for long.
    pub(crate) fn close_idle(&self) {
        self.endpoints.close_idle();
    }
}

/// Answers one request. It runs on when its caller hangs up, since the endpoint may be at work on it.
async fn handle(lane: Rc<Lane>, request: Request<Incoming>) -> Response<Body> {
    let (sender, receiver) = oneshot::channel();
    spawn(async move {
        let response = answer(&lane, request).await;
        // The caller may have hung up.
        let _ = sender.send(response);
    });
    receiver.await.unwrap_or_default()
}

/// Names of one request.
struct RequestIds {
    id: RequestId,
    name: String,
    context: TraceContext,
}

impl RequestIds {
    fn new(lane: &Lane, parent: Option<&TraceContext>) -> RequestIds {
        let id = lane.path.requests.next_id();
        let context = parent.map_or_else(TraceContext::root, TraceContext::child);
        RequestIds { id, name: lane.path.requests.name(id), context }
    }
}

async fn answer(lane: &Lane, request: Request<Incoming>) -> Response<Body> {
    let started = Instant::now();
    let start_ns = lane.path.spans.now_ns();
    let parent = plan::trace_parent(request.headers());
    let has_key = request.headers().contains_key(wire::IDEMPOTENCY_KEY);
    let ids = RequestIds::new(lane, parent.as_ref());
    let reply = match serve_request(lane, request, &ids).await {
        Ok(reply) => reply,
        Err(refused) => CallerReply::refused(&refused, has_key, &ids.name),
    };
    lane.path.metrics.record_request(reply.outcome, started.elapsed().as_secs_f64());
    if lane.path.spans.is_enabled() {
        lane.path.spans.export(Span {
            context: ids.context,
            parent_span_id: parent.map(|parent| parent.span_id),
            name: "request",
            kind: SpanKind::Server,
            start_ns,
            end_ns: lane.path.spans.now_ns(),
            attributes: vec![("request.id", ids.name.clone()), ("outcome", reply.outcome.name().to_owned())],
        });
    }
    reply.into_response(&ids.name)
}

async fn serve_request(lane: &Lane, request: Request<Incoming>, ids: &RequestIds) -> Result<CallerReply, Refused> {
    if request.uri().path() == TICKET_PATH && request.method() == Method::POST {
        let ticket = lane.path.tickets().issue();
        return Ok(CallerReply::ticket(&ticket));
    }
    let now_us = lane.path.now_us();
    let (head, body) = request.into_parts();
    let accepted = lane.path.sheet().ok_or(Refused::NotReady)?;
    let plan = Plan::new(head, &accepted, now_us, lane.path.settings.default_deadline_ms)?;
    let body = read_body(lane, body, &plan).await?;
    let reply = serve_plan(lane, &plan, body.bytes.clone(), ids).await;
    drop(body.reserved);
    Ok(reply)
}

async fn serve_plan(lane: &Lane, plan: &Plan, body: Bytes, ids: &RequestIds) -> CallerReply {
    match &plan.key {
        Some(key) => keyed::serve(lane, plan, key, body, ids).await,
        None => dispatch(lane, plan, body, ids).await,
    }
}

/// Serves a request that another daemon forwarded because this one issued its ticket.
pub(crate) async fn serve_forwarded(lane: &Lane, forward: Forward) -> Option<Forwarded> {
    let parent = TraceContext::parse(&forward.traceparent);
    let ids = RequestIds::new(lane, parent.as_ref());
    let body = Bytes::from(forward.body.clone());
    let plan = Plan::from_forward(forward, lane.path.now_us())?;
    Some(serve_plan(lane, &plan, body, &ids).await.into_forwarded())
}

async fn read_body(lane: &Lane, body: Incoming, plan: &Plan) -> Result<BufferedBody, Refused> {
    let latest_us = (lane.path.now_us() + BODY_TIMEOUT_MS * US_PER_MS).min(plan.deadline_us);
    let collected = collect_body(body, lane.path.settings.max_body_bytes, &lane.path.held_bytes);
    match timeout_at(lane.path.clock.instant(latest_us), collected).await {
        Some(body) => Ok(body?),
        None => Err(Refused::SlowBody),
    }
}

/// Follows the dispatcher's instructions until it gives the verdict.
async fn dispatch(lane: &Lane, plan: &Plan, body: Bytes, ids: &RequestIds) -> CallerReply {
    let (sender, mut steps) = mpsc::unbounded();
    lane.path.requests.insert(ids.id, sender);
    let arrival = Arrival {
        request: ids.id,
        pool: plan.pool.clone(),
        team: plan.team.clone(),
        caller: plan.caller.clone(),
        idempotent: plan.idempotent,
        deadline_us: plan.deadline_us,
        body_bytes: body.len(),
    };
    lane.path.decide(|dispatcher, now_us| dispatcher.arrive(now_us, arrival));
    let mut answer = None;
    let mut last_failure = None;
    let mut verdict = Verdict::Unknown;
    while let Some(step) = steps.next().await {
        match step {
            Step::Attempt(order) => {
                let attempt_id = order.attempt;
                let attempt = attempt::run(lane, plan, &order, body.clone(), ids).await;
                answer = attempt.answer;
                last_failure = attempt.failure.or(last_failure);
                lane.path.decide(|dispatcher, now_us| dispatcher.end(now_us, attempt_id, attempt.end));
            }
            Step::Finish(finished) => {
                verdict = finished;
                break;
            }
        }
    }
    lane.path.requests.remove(ids.id);
    CallerReply::from_verdict(verdict, answer, last_failure, &ids.name)
}
