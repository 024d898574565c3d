//! Requests and responses of the administration API and of the stand-in, independent of the HTTP server in use.

use std::borrow::Cow;

use http::Method;
use percent_encoding::{percent_decode_str, utf8_percent_encode, AsciiSet, PercentEncode, NON_ALPHANUMERIC};
use serde::Serialize;

/// Bytes of a key that are not escaped in a URL; a key may consist of several segments.
const KEY_ESCAPES: &AsciiSet =
    &NON_ALPHANUMERIC.remove(b'/').remove(b'-').remove(b'_').remove(b'.').remove(b'~').remove(b':');

/// Escapes a key for the path or the query of a URL.
pub(crate) fn percent_encode(key: &str) -> PercentEncode<'_> {
    utf8_percent_encode(key, KEY_ESCAPES)
}

/// Decodes a part of a URL; `None` if the result is not UTF-8.
pub(crate) fn percent_decode(escaped: &str) -> Option<String> {
    percent_decode_str(escaped).decode_utf8().ok().map(Cow::into_owned)
}

const JSON_CONTENT_TYPE: &str = "application/json";

/// A request whose body has been read.
#[derive(Debug, Clone)]
pub(crate) struct ApiRequest {
    pub(crate) method: Method,
    /// Path, without the query.
    pub(crate) path: String,
    /// Query, without the question mark.
    pub(crate) query: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

impl ApiRequest {
    /// First value of a header; `name` is case-insensitive.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(header, _)| header.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// First value of a query parameter, percent-decoded; `None` also if it is not UTF-8.
    pub(crate) fn query_parameter(&self, name: &str) -> Option<String> {
        for pair in self.query.split('&') {
            let Some((key, value)) = pair.split_once('=') else { continue };
            if key == name {
                return percent_decode(value);
            }
        }
        None
    }
}

/// A response.
#[derive(Debug, Clone)]
pub(crate) struct ApiResponse {
    pub(crate) status: u16,
    pub(crate) content_type: &'static str,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) body: Vec<u8>,
}

#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

impl ApiResponse {
    /// A response with a JSON body.
    pub(crate) fn json(status: u16, body: &(impl Serialize + ?Sized)) -> ApiResponse {
        match serde_json::to_vec(body) {
            Ok(body) => ApiResponse { status, content_type: JSON_CONTENT_TYPE, headers: Vec::new(), body },
            Err(error) => ApiResponse::error(500, &format!("cannot encode the answer: {error}")),
        }
    }

    /// A JSON error response, with the message in its field `error`.
    pub(crate) fn error(status: u16, message: &str) -> ApiResponse {
        let body = serde_json::to_vec(&ErrorBody { error: message }).unwrap_or_default();
        ApiResponse { status, content_type: JSON_CONTENT_TYPE, headers: Vec::new(), body }
    }

    /// A response with status 200 and this body.
    pub(crate) fn bytes(content_type: &'static str, body: Vec<u8>) -> ApiResponse {
        ApiResponse { status: 200, content_type, headers: Vec::new(), body }
    }

    /// Adds a header.
    pub(crate) fn with_header(mut self, name: &'static str, value: String) -> ApiResponse {
        self.headers.push((name, value));
        self
    }
}
