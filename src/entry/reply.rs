//! Answers to callers.

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderName, HeaderValue, Response, StatusCode};
use http_body_util::Full;
use serde::Serialize;

use super::plan::end_to_end;
use crate::buffered_body::{BodyError, BufferedBody};
use crate::dispatch::Verdict;
use crate::http_server::Body;
use crate::keyed::Final;
use crate::peer_message::Forwarded;
use crate::wire::{self, Outcome};

const MS_PER_S: u64 = 1_000;
/// Hint for refusals that say nothing about load.
const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;

/// A request that was refused before it was dispatched.
#[derive(Debug, thiserror::Error)]
pub(super) enum Refused {
    #[error("no sheet is in force here yet; come back later")]
    NotReady,
    #[error("the method is not supported")]
    Method,
    #[error("no pool serves {service:?}; services: {}", known.join(", "))]
    UnknownService { service: String, known: Vec<String> },
    #[error("header {name}: {fix}")]
    Header { name: &'static str, fix: String },
    #[error("the path is not a valid one")]
    Path,
    #[error("the body did not arrive in time")]
    SlowBody,
    #[error(transparent)]
    Body(#[from] BodyError),
}

impl Refused {
    fn status(&self) -> StatusCode {
        match self {
            Refused::NotReady | Refused::Body(BodyError::BudgetExceeded) => StatusCode::SERVICE_UNAVAILABLE,
            Refused::Method => StatusCode::NOT_IMPLEMENTED,
            Refused::UnknownService { .. } => StatusCode::NOT_FOUND,
            Refused::Header { .. } | Refused::Path | Refused::Body(BodyError::ReadFailed(_)) => StatusCode::BAD_REQUEST,
            Refused::Body(BodyError::TooLarge { .. }) => StatusCode::PAYLOAD_TOO_LARGE,
            Refused::SlowBody => StatusCode::REQUEST_TIMEOUT,
        }
    }

    fn retry_after_ms(&self) -> Option<u64> {
        (self.status() == StatusCode::SERVICE_UNAVAILABLE).then_some(DEFAULT_RETRY_AFTER_MS)
    }
}

/// A request whose key does not lead to an answer.
#[derive(Debug, thiserror::Error)]
pub(super) enum KeyRefused {
    #[error("the key was used for a different request; use a new one")]
    Mismatch,
    #[error("the request with this key did not run; send it again")]
    FirstNotRun,
    #[error("a request with this key is in progress, or was interrupted; send it again for its outcome")]
    InProgress,
    #[error("the key cannot be checked now ({reason}); send the request again with the same key")]
    Unchecked { reason: String },
    #[error("no such ticket was issued here; get one with POST /-/ticket")]
    Forged,
    #[error("the ticket is too old to tell whether the request ran")]
    Expired,
    #[error("the daemon that issued the ticket cannot be reached, and no other one may run the request")]
    IssuerGone,
}

impl KeyRefused {
    fn status(&self) -> StatusCode {
        match self {
            KeyRefused::Mismatch => StatusCode::UNPROCESSABLE_ENTITY,
            KeyRefused::InProgress => StatusCode::CONFLICT,
            KeyRefused::FirstNotRun | KeyRefused::Unchecked { .. } | KeyRefused::IssuerGone => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            KeyRefused::Forged => StatusCode::BAD_REQUEST,
            KeyRefused::Expired => StatusCode::GONE,
        }
    }

    /// A resend must not be told `not-run` unless the first request certainly did not run either.
    fn outcome(&self) -> Outcome {
        match self {
            KeyRefused::Mismatch | KeyRefused::FirstNotRun | KeyRefused::Forged => Outcome::NotRun,
            KeyRefused::InProgress | KeyRefused::Unchecked { .. } | KeyRefused::Expired | KeyRefused::IssuerGone => {
                Outcome::Unknown
            }
        }
    }

    fn retry_after_ms(&self) -> Option<u64> {
        match self {
            KeyRefused::Mismatch | KeyRefused::Forged | KeyRefused::Expired => None,
            KeyRefused::FirstNotRun
            | KeyRefused::InProgress
            | KeyRefused::Unchecked { .. }
            | KeyRefused::IssuerGone => Some(DEFAULT_RETRY_AFTER_MS),
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

/// An answer with its outcome.
#[derive(Debug)]
pub(super) struct CallerReply {
    pub(super) outcome: Outcome,
    response: Response<Bytes>,
}

impl CallerReply {
    /// Refuses before anything was done. A request with a key may have run when it was sent before.
    pub(super) fn refused(refused: &Refused, has_key: bool, request_name: &str) -> CallerReply {
        let outcome = if has_key { Outcome::Unknown } else { Outcome::NotRun };
        CallerReply::error(refused.status(), outcome, &refused.to_string(), request_name)
            .with_retry_after(refused.retry_after_ms())
    }

    pub(super) fn key_refused(refused: &KeyRefused, request_name: &str) -> CallerReply {
        CallerReply::error(refused.status(), refused.outcome(), &refused.to_string(), request_name)
            .with_retry_after(refused.retry_after_ms())
    }

    /// Gives a resend what the first request got.
    pub(super) fn replayed(last: &Final, request_name: &str) -> CallerReply {
        match last {
            Final::Answered(answer) => {
                let mut response = answer.response();
                response.headers_mut().insert(wire::REPLAYED, HeaderValue::from_static("true"));
                CallerReply { outcome: Outcome::Ran, response }
            }
            Final::AnswerDropped => {
                let message = "the request ran, but its answer is no longer kept";
                CallerReply::error(StatusCode::GONE, Outcome::Ran, message, request_name)
            }
            Final::Unknown => {
                let message = "the request may have run; nobody knows";
                CallerReply::error(StatusCode::BAD_GATEWAY, Outcome::Unknown, message, request_name)
            }
        }
    }

    pub(super) fn ticket(ticket: &str) -> CallerReply {
        let body = serde_json::to_vec(&TicketBody { ticket }).unwrap_or_default();
        let mut response = Response::new(Bytes::from(body));
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        CallerReply { outcome: Outcome::Ran, response }
    }

    /// Passes on what another daemon answered.
    pub(super) fn forwarded(forwarded: Forwarded) -> CallerReply {
        let mut response = Response::new(Bytes::from(forwarded.body));
        *response.status_mut() = StatusCode::from_u16(forwarded.status).unwrap_or(StatusCode::BAD_GATEWAY);
        for (name, value) in forwarded.headers {
            if let (Ok(name), Ok(value)) = (HeaderName::try_from(name), HeaderValue::from_bytes(&value)) {
                response.headers_mut().append(name, value);
            }
        }
        CallerReply { outcome: forwarded.outcome, response }
    }

    pub(super) fn into_forwarded(self) -> Forwarded {
        let headers = self.response.headers().iter();
        Forwarded {
            outcome: self.outcome,
            status: self.response.status().as_u16(),
            headers: headers.map(|(name, value)| (name.to_string(), value.as_bytes().to_vec())).collect(),
            body: self.response.into_body().to_vec(),
        }
    }

    pub(super) fn response(&self) -> &Response<Bytes> {
        &self.response
    }

    /// The endpoint's answer, or the reason why there is none.
    pub(super) fn from_verdict(
        verdict: Verdict,
        answer: Option<Response<BufferedBody>>,
        failure: Option<String>,
        request_name: &str,
    ) -> CallerReply {
        let failure = failure.map(|failure| format!(": {failure}")).unwrap_or_default();
        match (verdict, answer) {
            (Verdict::Deliver, Some(answer)) => CallerReply::delivered(answer),
            (Verdict::NotRun { refusal, retry_after_ms }, _) => {
                let message = format!("not run ({}){failure}; come back later", refusal.name());
                CallerReply::error(StatusCode::SERVICE_UNAVAILABLE, Outcome::NotRun, &message, request_name)
                    .with_retry_after(Some(retry_after_ms))
            }
            (Verdict::Deliver | Verdict::Unknown, _) => {
                let message = format!("the request may have run, but no whole answer arrived{failure}");
                CallerReply::error(StatusCode::BAD_GATEWAY, Outcome::Unknown, &message, request_name)
            }
        }
    }

    fn delivered(answer: Response<BufferedBody>) -> CallerReply {
        let (mut head, body) = answer.into_parts();
        head.headers = end_to_end(head.headers);
        for name in [wire::LOAD, wire::STATE, wire::OUTCOME, wire::REQUEST_ID] {
            head.headers.remove(name);
        }
        CallerReply { outcome: Outcome::Ran, response: Response::from_parts(head, body.bytes) }
    }

    fn error(status: StatusCode, outcome: Outcome, message: &str, request_name: &str) -> CallerReply {
        let body = ErrorBody { error: message, request_id: request_name, outcome: outcome.name() };
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

    pub(super) fn into_response(self, request_name: &str) -> Response<Body> {
        let mut response = self.response.map(Full::new);
        let headers = response.headers_mut();
        headers.insert(wire::OUTCOME, HeaderValue::from_static(self.outcome.name()));
        if let Ok(name) = HeaderValue::from_str(request_name) {
            headers.insert(wire::REQUEST_ID, name);
        }
        response
    }
}
