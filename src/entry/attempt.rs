//! One try of a request at one endpoint.

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, EXPECT, HOST};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, Uri};
use http_body_util::Full;

use super::plan::Plan;
use super::request_table::AttemptOrder;
use super::{Lane, RequestIds};
use crate::buffered_body::BufferedBody;
use crate::clock::US_PER_MS;
use crate::dispatch::{AttemptEnd, LoadReport};
use crate::endpoint_client::{Call, CallEnd};
use crate::fleet::Departure;
use crate::request_path::Report;
use crate::trace::{Span, SpanKind, TraceContext};
use crate::wire::{self, Outcome};

/// What came of a try.
pub(super) struct Attempt {
    pub(super) end: AttemptEnd,
    pub(super) answer: Option<Response<BufferedBody>>,
    pub(super) failure: Option<String>,
}

/// Sends the request and judges what comes back.
pub(super) async fn run(lane: &Lane, plan: &Plan, order: &AttemptOrder, body: Bytes, ids: &RequestIds) -> Attempt {
    let start_ns = lane.path.spans.now_ns();
    let context = ids.context.child();
    let call = Call {
        address: order.endpoint.address,
        request: outgoing(lane, plan, order, body, &ids.name, &context),
        request_id: &ids.name,
        deadline: lane.path.clock.instant(order.deadline_us),
        idempotent: plan.idempotent,
        max_answer_bytes: lane.path.settings.max_answer_bytes,
        held_bytes: &lane.path.held_bytes,
    };
    let attempt = judge(lane, order, lane.endpoints.send(call).await);
    lane.path.metrics.record_attempt(attempt.end);
    if lane.path.spans.is_enabled() {
        lane.path.spans.export(Span {
            context,
            parent_span_id: Some(ids.context.span_id.clone()),
            name: "attempt",
            kind: SpanKind::Client,
            start_ns,
            end_ns: lane.path.spans.now_ns(),
            attributes: vec![("host", order.endpoint.name.to_string()), ("end", end_name(attempt.end).to_owned())],
        });
    }
    attempt
}

fn outgoing(
    lane: &Lane,
    plan: &Plan,
    order: &AttemptOrder,
    body: Bytes,
    request_name: &str,
    context: &TraceContext,
) -> Request<Full<Bytes>> {
    let mut headers = plan.headers.clone();
    // The body is held whole, so its length is known and no 100-continue is needed.
    headers.remove(EXPECT);
    headers.remove(CONTENT_LENGTH);
    let left_ms = order.deadline_us.saturating_sub(lane.path.now_us()) / US_PER_MS;
    headers.insert(wire::DEADLINE_MS, HeaderValue::from(left_ms));
    set_text(&mut headers, HOST.as_str(), &order.endpoint.address.to_string());
    set_text(&mut headers, wire::REQUEST_ID, request_name);
    set_text(&mut headers, wire::TRACEPARENT, &context.to_traceparent());
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = plan.method.clone();
    *request.uri_mut() = Uri::from(plan.path.clone());
    *request.headers_mut() = headers;
    request
}

fn set_text(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

fn judge(lane: &Lane, order: &AttemptOrder, end: CallEnd) -> Attempt {
    let answer = match end {
        CallEnd::Answered(answer) => answer,
        CallEnd::NotSent(reason) => {
            return Attempt { end: AttemptEnd::NotSent, answer: None, failure: Some(reason) };
        }
        CallEnd::Lost { fresh_connection, reason } => {
            let end = AttemptEnd::Lost { fresh_connection };
            return Attempt { end, answer: None, failure: Some(reason) };
        }
    };
    let load = load_of(&answer);
    if text(&answer, wire::STATE) == Some(wire::LEAVING) {
        lane.path
            .report(Report::Departed(Departure { host: order.endpoint.name.clone(), epoch: order.endpoint.epoch }));
    }
    let refused = answer.status() == StatusCode::SERVICE_UNAVAILABLE
        && text(&answer, wire::OUTCOME) == Some(Outcome::NotRun.name());
    if refused {
        let failure = Some(format!("{} refused before starting", order.endpoint.name));
        return Attempt { end: AttemptEnd::Refused { load }, answer: None, failure };
    }
    let failed = answer.status().is_server_error();
    Attempt { end: AttemptEnd::Answered { failed, load }, answer: Some(answer), failure: None }
}

fn load_of(answer: &Response<BufferedBody>) -> Option<LoadReport> {
    wire::parse_load(text(answer, wire::LOAD)?)
}

fn text<'a>(answer: &'a Response<BufferedBody>, name: &str) -> Option<&'a str> {
    answer.headers().get(name)?.to_str().ok()
}

fn end_name(end: AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Answered { failed: false, .. } => "answered",
        AttemptEnd::Answered { failed: true, .. } => "failed",
        AttemptEnd::Refused { .. } => "refused",
        AttemptEnd::NotSent => "not_sent",
        AttemptEnd::Lost { .. } => "lost",
    }
}
