//! Idempotency keys: a request with a key runs at most once, even if the caller retries it.
//!
//! There are two kinds of key:
//! - A key chosen by the caller is claimed by inserting a row into the platform's table before the request is sent
//!   to an endpoint ([`claims`]). The daemon that inserts the row may run the request; all others find the row.
//! - A ticket is a key issued by a daemon ([`tickets`]). Only the daemon that issued the ticket may run the request,
//!   and only until it restarts, because the used tickets are kept in memory; a restarted daemon has a new incarnation
//!   number. Other daemons forward the request to the issuer. Tickets need no table, so they work during outages of
//!   the platform.

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

#[cfg(test)]
pub(crate) use claim_closer::MAX_QUEUED_CLOSINGS;
pub(crate) use claim_closer::{now_s, queue_closing, ClosingQueue, MAX_LATE_ROW_RECHECKS};

/// Final result of a request with an idempotency key, which is replayed to retries. If the key was claimed, the claim
/// row stores it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum FinalResult {
    /// The request ran, and this is its response.
    Answered(StoredResponse),
    /// The request ran, but its response is no longer stored.
    AnswerDropped,
    /// It is not known whether the request ran.
    Unknown,
}

/// A response stored for replay to retries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StoredResponse {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, String)>,
    /// The body in base64; empty if it is stored as an object.
    pub(crate) body_base64: String,
    /// Key of the body in the object store, if it is too large for the claim row.
    pub(crate) object: Option<Arc<str>>,
}

impl StoredResponse {
    pub(crate) fn new(response: &Response<Bytes>) -> StoredResponse {
        let mut headers = Vec::new();
        for (name, value) in response.headers() {
            headers.push((name.to_string(), String::from_utf8_lossy(value.as_bytes()).into_owned()));
        }
        let body_base64 = BASE64.encode(response.body());
        StoredResponse { status: response.status().as_u16(), headers, body_base64, object: None }
    }

    /// Rebuilds the original response. The body must be inline, not in the object store.
    pub(crate) fn to_response(&self) -> Response<Bytes> {
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

/// Digest of a request, used to detect a key that is reused for a different request.
pub(crate) fn request_digest(method: &str, path: &str, body: &[u8]) -> Arc<str> {
    let mut hasher = Sha256::new();
    for part in [method.as_bytes(), b"\n", path.as_bytes(), b"\n", body] {
        hasher.update(part);
    }
    hex(&hasher.finalize()).into()
}
