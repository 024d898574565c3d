//! Replies to callers.

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderName, HeaderValue, Response, StatusCode};
use http_body_util::Full;
use serde::Serialize;

use super::parsed_request::without_hop_by_hop;
use crate::buffered_body::{BodyError, BufferedBody};
use crate::dispatch::Verdict;
use crate::http_server::Body;
use crate::idempotency::FinalResult;
use crate::peer_message::ForwardedResponse;
use crate::wire::{self, Outcome};

const MS_PER_S: u64 = 1_000;
/// Retry delay suggested to the caller when it is not known how long an error will last.
const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;

/// Why a request was refused before it was dispatched. The messages are sent to callers.
#[derive(Debug, thiserror::Error)]
pub(super) enum RequestError {
    #[error("no sheet is in force here yet; come back later")]
    NotReady,
    #[error("the method is not supported")]
    UnsupportedMethod,
    #[error("no pool serves {service:?}; services: {}", known.join(", "))]
    UnknownService { service: String, known: Vec<String> },
    #[error("header {name}: {requirement}")]
    InvalidHeader { name: &'static str, requirement: String },
    #[error("the path is not a valid one")]
    InvalidPath,
    #[error("the body did not arrive in time")]
    BodyTimeout,
    #[error(transparent)]
    Body(#[from] BodyError),
}

impl RequestError {
    fn status(&self) -> StatusCode {
        match self {
            RequestError::NotReady | RequestError::Body(BodyError::BudgetExceeded) => StatusCode::SERVICE_UNAVAILABLE,
            RequestError::UnsupportedMethod => StatusCode::NOT_IMPLEMENTED,
            RequestError::UnknownService { .. } => StatusCode::NOT_FOUND,
            RequestError::InvalidHeader { .. }
            | RequestError::InvalidPath
            | RequestError::Body(BodyError::ReadFailed(_)) => StatusCode::BAD_REQUEST,
            RequestError::Body(BodyError::TooLarge { .. }) => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
        }
    }

    fn retry_after_ms(&self) -> Option<u64> {
        (self.status() == StatusCode::SERVICE_UNAVAILABLE).then_some(DEFAULT_RETRY_AFTER_MS)
    }
}

/// Why a request with an idempotency key was refused. The messages are sent to callers.
#[derive(Debug, thiserror::Error)]
pub(super) enum KeyError {
    #[error("the key was used for a different request; use a new one")]
    Mismatch,
    #[error("the request with this key did not run; send it again")]
    OriginalNotRun,
    #[error("a request with this key is in progress, or was interrupted; send it again for its outcome")]
    InProgress,
    #[error("the key cannot be checked now ({reason}); send the request again with the same key")]
    ClaimFailed { reason: String },
    #[error("no such ticket was issued here; get one with POST /-/ticket")]
    Forged,
    #[error("the ticket is too old to tell whether the request ran")]
    Expired,
    #[error("the daemon that issued the ticket cannot be reached, and no other one may run the request")]
    IssuerUnreachable,
}

impl KeyError {
    fn status(&self) -> StatusCode {
        match self {
            KeyError::Mismatch => StatusCode::UNPROCESSABLE_ENTITY,
            KeyError::InProgress => StatusCode::CONFLICT,
            KeyError::OriginalNotRun | KeyError::ClaimFailed { .. } | KeyError::IssuerUnreachable => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            KeyError::Forged => StatusCode::BAD_REQUEST,
            KeyError::Expired => StatusCode::GONE,
        }
    }

    /// A retry must not be told `not-run` unless the original request certainly did not run either.
    fn outcome(&self) -> Outcome {
        match self {
            KeyError::Mismatch | KeyError::OriginalNotRun | KeyError::Forged => Outcome::NotRun,
            KeyError::InProgress | KeyError::ClaimFailed { .. } | KeyError::Expired | KeyError::IssuerUnreachable => {
                Outcome::Unknown
            }
        }
    }

    fn retry_after_ms(&self) -> Option<u64> {
        match self {
            KeyError::Mismatch | KeyError::Forged | KeyError::Expired => None,
            KeyError::OriginalNotRun
            | KeyError::InProgress
            | KeyError::ClaimFailed { .. }
            | KeyError::IssuerUnreachable => Some(DEFAULT_RETRY_AFTER_MS),
        }
    }
}

#[derive(Debug, Serialize)]
struct TicketBody<'a> {
    ticket: &'a str,
}

#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
    request_id: &'a str,
    outcome: &'static str,
}

/// A response to a caller, with the outcome of the request.
#[derive(Debug)]
pub(super) struct CallerReply {
    pub(super) outcome: Outcome,
    response: Response<Bytes>,
}

impl CallerReply {
    /// Refuses a request that was not dispatched. If it has a key, the outcome is unknown, because the request may be a
    /// retry of one that ran.
    pub(super) fn request_error(error: &RequestError, has_key: bool, request_id: &str) -> CallerReply {
        let outcome = if has_key { Outcome::Unknown } else { Outcome::NotRun };
        CallerReply::error(error.status(), outcome, &error.to_string(), request_id)
            .with_retry_after(error.retry_after_ms())
    }

    pub(super) fn key_error(error: &KeyError, request_id: &str) -> CallerReply {
        CallerReply::error(error.status(), error.outcome(), &error.to_string(), request_id)
            .with_retry_after(error.retry_after_ms())
    }

    /// Replies to a retry with the final result of the original request.
    pub(super) fn replayed(result: &FinalResult, request_id: &str) -> CallerReply {
        match result {
            FinalResult::Answered(stored) => {
                let mut response = stored.to_response();
                response.headers_mut().insert(wire::REPLAYED, HeaderValue::from_static("true"));
                CallerReply { outcome: Outcome::Ran, response }
            }
            FinalResult::AnswerDropped => {
                let message = "the request ran, but its answer is no longer kept";
                CallerReply::error(StatusCode::GONE, Outcome::Ran, message, request_id)
            }
            FinalResult::Unknown => {
                let message = "the request may have run; nobody knows";
                CallerReply::error(StatusCode::BAD_GATEWAY, Outcome::Unknown, message, request_id)
            }
        }
    }

    pub(super) fn ticket(ticket: &str) -> CallerReply {
        let body = serde_json::to_vec(&TicketBody { ticket }).unwrap_or_default();
        let mut response = Response::new(Bytes::from(body));
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        CallerReply { outcome: Outcome::Ran, response }
    }

    /// Passes on the reply of the daemon to which the request was forwarded.
    pub(super) fn forwarded(forwarded: ForwardedResponse) -> CallerReply {
        let mut response = Response::new(Bytes::from(forwarded.body));
        *response.status_mut() = StatusCode::from_u16(forwarded.status).unwrap_or(StatusCode::BAD_GATEWAY);
        for (name, value) in forwarded.headers {
            if let (Ok(name), Ok(value)) = (HeaderName::try_from(name), HeaderValue::from_bytes(&value)) {
                response.headers_mut().append(name, value);
            }
        }
        CallerReply { outcome: forwarded.outcome, response }
    }

    pub(super) fn into_forwarded(self) -> ForwardedResponse {
        let headers = self.response.headers().iter();
        ForwardedResponse {
            outcome: self.outcome,
            status: self.response.status().as_u16(),
            headers: headers.map(|(name, value)| (name.to_string(), value.as_bytes().to_vec())).collect(),
            body: self.response.into_body().to_vec(),
        }
    }

    pub(super) fn response(&self) -> &Response<Bytes> {
        &self.response
    }

    /// Passes on the endpoint's response, or returns an error that says why there is none.
    pub(super) fn from_verdict(
        verdict: Verdict,
        response: Option<Response<BufferedBody>>,
        failure: Option<String>,
        request_id: &str,
    ) -> CallerReply {
        let failure = failure.map(|failure| format!(": {failure}")).unwrap_or_default();
        match (verdict, response) {
            (Verdict::Deliver, Some(response)) => CallerReply::delivered(response),
            (Verdict::NotRun { refusal, retry_after_ms }, _) => {
                let message = format!("not run ({}){failure}; come back later", refusal.name());
                CallerReply::error(StatusCode::SERVICE_UNAVAILABLE, Outcome::NotRun, &message, request_id)
                    .with_retry_after(Some(retry_after_ms))
            }
            (Verdict::Deliver | Verdict::Unknown, _) => {
                let message = format!("the request may have run, but no whole answer arrived{failure}");
                CallerReply::error(StatusCode::BAD_GATEWAY, Outcome::Unknown, &message, request_id)
            }
        }
    }

    /// Passes on an endpoint's response, without the headers that are meant for the daemon.
    fn delivered(response: Response<BufferedBody>) -> CallerReply {
        let (mut head, body) = response.into_parts();
        head.headers = without_hop_by_hop(head.headers);
        for name in [wire::LOAD, wire::STATE, wire::OUTCOME, wire::REQUEST_ID] {
            head.headers.remove(name);
        }
        CallerReply { outcome: Outcome::Ran, response: Response::from_parts(head, body.bytes) }
    }

    fn error(status: StatusCode, outcome: Outcome, message: &str, request_id: &str) -> CallerReply {
        let body = ErrorBody { error: message, request_id, outcome: outcome.name() };
        let body = serde_json::to_vec(&body).unwrap_or_default();
        let mut response = Response::new(Bytes::from(body));
        *response.status_mut() = status;
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        CallerReply { outcome, response }
    }

    fn with_retry_after(mut self, retry_after_ms: Option<u64>) -> CallerReply {
        let Some(retry_after_ms) = retry_after_ms else { return self };
        let headers = self.response.headers_mut();
        headers.insert(RETRY_AFTER, HeaderValue::from(retry_after_ms.div_ceil(MS_PER_S)));
        headers.insert(wire::RETRY_AFTER_MS, HeaderValue::from(retry_after_ms));
        self
    }

    pub(super) fn into_response(self, request_id: &str) -> Response<Body> {
        let mut response = self.response.map(Full::new);
        let headers = response.headers_mut();
        headers.insert(wire::OUTCOME, HeaderValue::from_static(self.outcome.name()));
        if let Ok(value) = HeaderValue::from_str(request_id) {
            headers.insert(wire::REQUEST_ID, value);
        }
        response
    }
}
