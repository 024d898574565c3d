//! Requests that must run at most once, also when the caller sends them again with the same key.
//!
//! Two kinds of key:
//! - A key that the caller made up is claimed by a row in the platform's table before the request is sent
//!   ([`claims`]). Whoever inserts the row may run the request; every other daemon finds the row.
//! - A ticket is a key that a daemon issued ([`tickets`]). Only the run of the daemon that issued it may run the
//!   request; other daemons forward to it. It needs no table, so it works during outages.

pub(crate) mod claim_batcher;
mod claim_closer;
pub(crate) mod claims;
pub(crate) mod key_registry;
pub(crate) mod tickets;

#[cfg(test)]
mod claim_closer_tests;
#[cfg(test)]
mod claims_tests;
#[cfg(test)]
mod key_registry_tests;
#[cfg(test)]
mod tickets_tests;

use std::sync::Arc;

use base64::engine::general_purpose::STANDARD as BASE64;
use base64::Engine;
use bytes::Bytes;
use http::{HeaderName, HeaderValue, Response, StatusCode};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::sheet::hex;

pub(crate) use claim_closer::{now_s, ClosingQueue, MAX_LATE_ROW_RECHECKS};

/// What a request's key leads to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum FinalResult {
    /// The request ran, and this is its answer.
    Answered(StoredResponse),
    /// The request ran, but its answer is no longer kept.
    AnswerDropped,
    /// The request may have run, and nobody knows.
    Unknown,
}

/// An answer that is given again to a resend.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StoredResponse {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, String)>,
    /// The body in base64, or empty if it is kept as an object.
    pub(crate) body_base64: String,
    /// Key of the body in the object store, if it is too large for a row.
    pub(crate) object: Option<Arc<str>>,
}

impl StoredResponse {
    /// Keeps what a resend is to get again.
    pub(crate) fn new(answer: &Response<Bytes>) -> StoredResponse {
        let mut headers = Vec::new();
        for (name, value) in answer.headers() {
            headers.push((name.to_string(), String::from_utf8_lossy(value.as_bytes()).into_owned()));
        }
        let body_base64 = BASE64.encode(answer.body());
        StoredResponse { status: answer.status().as_u16(), headers, body_base64, object: None }
    }

    /// The answer as it was.
    pub(crate) fn response(&self) -> Response<Bytes> {
        let body = BASE64.decode(&self.body_base64).unwrap_or_default();
        let mut response = Response::new(Bytes::from(body));
        *response.status_mut() = StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        for (name, value) in &self.headers {
            if let (Ok(name), Ok(value)) = (HeaderName::try_from(name), HeaderValue::try_from(value)) {
                response.headers_mut().append(name, value);
            }
        }
        response
    }
}

/// Digest that tells requests with the same key apart.
pub(crate) fn request_digest(method: &str, path: &str, body: &[u8]) -> Arc<str> {
    let mut hasher = Sha256::new();
    for part in [method.as_bytes(), b"\n", path.as_bytes(), b"\n", body] {
        hasher.update(part);
    }
    hex(&hasher.finalize()).into()
}
