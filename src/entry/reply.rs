//! Answers to callers.

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use http_body_util::Full;
use serde::Serialize;

use super::plan::end_to_end;
use crate::dispatch::Verdict;
use crate::held_body::{BodyError, HeldBody};
use crate::http_server::Body;
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
            Refused::NotReady | Refused::Body(BodyError::NoMemory) => StatusCode::SERVICE_UNAVAILABLE,
            Refused::Method => StatusCode::NOT_IMPLEMENTED,
            Refused::UnknownService { .. } => StatusCode::NOT_FOUND,
            Refused::Header { .. } | Refused::Path | Refused::Body(BodyError::Broken(_)) => StatusCode::BAD_REQUEST,
            Refused::Body(BodyError::TooLarge { .. }) => StatusCode::PAYLOAD_TOO_LARGE,
            Refused::SlowBody => StatusCode::REQUEST_TIMEOUT,
        }
    }

    fn retry_after_ms(&self) -> Option<u64> {
        (self.status() == StatusCode::SERVICE_UNAVAILABLE).then_some(DEFAULT_RETRY_AFTER_MS)
    }
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
    pub(super) fn refused(refused: &Refused, request_name: &str) -> CallerReply {
        let reply = CallerReply::error(refused.status(), Outcome::NotRun, &refused.to_string(), request_name);
        match refused.retry_after_ms() {
            Some(retry_after_ms) => reply.with_retry_after(retry_after_ms),
            None => reply,
        }
    }

    /// The endpoint's answer, or the reason why there is none.
    pub(super) fn from_verdict(
        verdict: Verdict,
        answer: Option<Response<HeldBody>>,
        failure: Option<String>,
        request_name: &str,
    ) -> CallerReply {
        let failure = failure.map(|failure| format!(": {failure}")).unwrap_or_default();
        match (verdict, answer) {
            (Verdict::Deliver, Some(answer)) => CallerReply::delivered(answer),
            (Verdict::NotRun { refusal, retry_after_ms }, _) => {
                let message = format!("not run ({}){failure}; come back later", refusal.name());
                CallerReply::error(StatusCode::SERVICE_UNAVAILABLE, Outcome::NotRun, &message, request_name)
                    .with_retry_after(retry_after_ms)
            }
            (Verdict::Deliver | Verdict::Unknown, _) => {
                let message = format!("the request may have run, but no whole answer arrived{failure}");
                CallerReply::error(StatusCode::BAD_GATEWAY, Outcome::Unknown, &message, request_name)
            }
        }
    }

    fn delivered(answer: Response<HeldBody>) -> CallerReply {
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

    fn with_retry_after(mut self, retry_after_ms: u64) -> CallerReply {
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
