//! One attempt to send a request to an endpoint.

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, EXPECT, HOST};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, Uri};
use http_body_util::Full;

use super::active_requests::AttemptCommand;
use super::parsed_request::ParsedRequest;
use super::{Lane, RequestIds};
use crate::buffered_body::BufferedBody;
use crate::call_progress::{CallDeadline, CallProgress};
use crate::clock::US_PER_MS;
use crate::dispatch::{AttemptOutcome, LoadReport};
use crate::endpoint_client::{Call, CallOutcome};
use crate::fleet::Departure;
use crate::ingress_state::LaneEvent;
use crate::trace::{Span, SpanKind, TraceContext};
use crate::wire::{self, Outcome};

/// Result of an attempt.
pub(super) struct AttemptResult {
    pub(super) outcome: AttemptOutcome,
    /// The endpoint's response, if it is complete and not a refusal.
    pub(super) response: Option<Response<BufferedBody>>,
    /// Why there is no response, as told to the caller.
    pub(super) failure: Option<String>,
}

/// Sends the request to the endpoint, classifies the result, and records it in metrics and a span.
pub(super) async fn run(
    lane: &Lane,
    parsed: &ParsedRequest,
    command: &AttemptCommand,
    body: Bytes,
    ids: &RequestIds,
) -> AttemptResult {
    let start_ns = lane.shared.spans.now_ns();
    let context = ids.trace.child();
    let call = Call {
        address: command.endpoint.address,
        request: endpoint_request(lane, parsed, command, body, &ids.request_id, &context),
        request_id: &ids.request_id,
        deadline: CallDeadline::Fixed(lane.shared.clock.instant(command.deadline_us)),
        progress: CallProgress::default(),
        idempotent: parsed.idempotent,
        max_response_bytes: lane.shared.settings.max_answer_bytes,
        body_budget: &lane.shared.body_budget,
    };
    let result = classify(lane, command, lane.endpoints.send(call).await);
    lane.shared.metrics.record_attempt(result.outcome);
    if lane.shared.spans.is_enabled() {
        lane.shared.spans.export(Span {
            context,
            parent_span_id: Some(ids.trace.span_id.clone()),
            name: "attempt",
            kind: SpanKind::Client,
            start_ns,
            end_ns: lane.shared.spans.now_ns(),
            attributes: vec![
                ("host", command.endpoint.name.to_string()),
                ("end", outcome_label(result.outcome).to_owned()),
            ],
        });
    }
    result
}

/// Builds the request that is sent to the endpoint.
fn endpoint_request(
    lane: &Lane,
    parsed: &ParsedRequest,
    command: &AttemptCommand,
    body: Bytes,
    request_id: &str,
    context: &TraceContext,
) -> Request<Full<Bytes>> {
    let mut headers = parsed.headers.clone();
    // The whole body is in memory, so hyper sets its length, and no `100 Continue` is needed.
    headers.remove(EXPECT);
    headers.remove(CONTENT_LENGTH);
    let remaining_ms = command.deadline_us.saturating_sub(lane.shared.now_us()) / US_PER_MS;
    headers.insert(wire::DEADLINE_MS, HeaderValue::from(remaining_ms));
    insert_text(&mut headers, HOST.as_str(), &command.endpoint.address.to_string());
    insert_text(&mut headers, wire::REQUEST_ID, request_id);
    insert_text(&mut headers, wire::TRACEPARENT, &context.to_traceparent());
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = parsed.method.clone();
    *request.uri_mut() = Uri::from(parsed.path.clone());
    *request.headers_mut() = headers;
    request
}

fn insert_text(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Derives the attempt's result from the call's outcome. Tells the main thread if the endpoint announced that it is
/// leaving.
fn classify(lane: &Lane, command: &AttemptCommand, outcome: CallOutcome) -> AttemptResult {
    let response = match outcome {
        CallOutcome::Answered(response) => response,
        CallOutcome::NotSent(reason) => {
            return AttemptResult { outcome: AttemptOutcome::NotSent, response: None, failure: Some(reason) };
        }
        CallOutcome::Lost { fresh_connection, reason } => {
            let outcome = AttemptOutcome::Lost { fresh_connection };
            return AttemptResult { outcome, response: None, failure: Some(reason) };
        }
    };
    let load = reported_load(&response);
    if header_text(&response, wire::STATE) == Some(wire::LEAVING) {
        lane.shared.emit(LaneEvent::HostLeaving(Departure {
            host: command.endpoint.name.clone(),
            epoch: command.endpoint.epoch,
        }));
    }
    let refused = response.status() == StatusCode::SERVICE_UNAVAILABLE
        && header_text(&response, wire::OUTCOME) == Some(Outcome::NotRun.name());
    if refused {
        let failure = Some(format!("{} refused before starting", command.endpoint.name));
        return AttemptResult { outcome: AttemptOutcome::Refused { load }, response: None, failure };
    }
    let failed = response.status().is_server_error();
    AttemptResult { outcome: AttemptOutcome::Answered { failed, load }, response: Some(response), failure: None }
}

fn reported_load(response: &Response<BufferedBody>) -> Option<LoadReport> {
    wire::parse_load(header_text(response, wire::LOAD)?)
}

fn header_text<'a>(response: &'a Response<BufferedBody>, name: &str) -> Option<&'a str> {
    response.headers().get(name)?.to_str().ok()
}

/// Value of the span attribute `end`.
fn outcome_label(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Answered { failed: false, .. } => "answered",
        AttemptOutcome::Answered { failed: true, .. } => "failed",
        AttemptOutcome::Refused { .. } => "refused",
        AttemptOutcome::NotSent => "not_sent",
        AttemptOutcome::Lost { .. } => "lost",
    }
}
