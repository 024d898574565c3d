//! Requests and answers of the administration API and of the stand-in, apart from how they travel.

use http::Method;
use serde::Serialize;

const JSON: &str = "application/json";

/// One request, read whole.
#[derive(Debug, Clone)]
pub(crate) struct ApiRequest {
    pub(crate) method: Method,
    /// Path without the query.
    pub(crate) path: String,
    /// Query without the question mark.
    pub(crate) query: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

impl ApiRequest {
    /// First value of a header; `name` is compared without regard to case.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Value of a query parameter.
    pub(crate) fn query_parameter(&self, name: &str) -> Option<&str> {
        for pair in self.query.split('&') {
            let Some((key, value)) = pair.split_once('=') else { continue };
            if key == name {
                return Some(value);
            }
        }
        None
    }
}

/// One answer.
#[derive(Debug, Clone)]
pub(crate) struct ApiReply {
    pub(crate) status: u16,
    pub(crate) content_type: &'static str,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) body: Vec<u8>,
}

#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

impl ApiReply {
    /// A JSON answer.
    pub(crate) fn json(status: u16, body: &(impl Serialize + ?Sized)) -> ApiReply {
        match serde_json::to_vec(body) {
            Ok(body) => ApiReply { status, content_type: JSON, headers: Vec::new(), body },
            Err(error) => ApiReply::error(500, &format!("cannot encode the answer: {error}")),
        }
    }

    /// A JSON error with a message for the operator.
    pub(crate) fn error(status: u16, message: &str) -> ApiReply {
        let body = serde_json::to_vec(&ErrorBody { error: message }).unwrap_or_default();
        ApiReply { status, content_type: JSON, headers: Vec::new(), body }
    }

    /// Plain bytes.
    pub(crate) fn bytes(content_type: &'static str, body: Vec<u8>) -> ApiReply {
        ApiReply { status: 200, content_type, headers: Vec::new(), body }
    }

    /// Adds a header.
    pub(crate) fn with_header(mut self, name: &'static str, value: String) -> ApiReply {
        self.headers.push((name, value));
        self
    }
}
