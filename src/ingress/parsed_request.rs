//! Parses the head of a caller's request.

use std::sync::Arc;

use http::request::Parts;
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderName, HeaderValue, Method};

use super::reply::RequestError;
use crate::clock::US_PER_MS;
use crate::peer_message::ForwardedRequest;
use crate::sheet_state::AcceptedSheet;
use crate::trace::TraceContext;
use crate::wire;

const MAX_DEADLINE_MS: u64 = 600_000;
/// Longer names of teams, callers and services are truncated.
const MAX_LABEL_CHARS: usize = 64;
const MAX_KEY_CHARS: usize = 255;
const ANONYMOUS: &str = "anonymous";
const FORWARDED_FOR: &str = "x-forwarded-for";

/// A request whose head has been parsed and validated.
#[derive(Debug)]
pub(super) struct ParsedRequest {
    pub(super) pool: Arc<str>,
    /// Team of the caller, for fair queueing between teams.
    pub(super) team: Arc<str>,
    /// Caller, for fair queueing between the callers of a team.
    pub(super) caller: Arc<str>,
    pub(super) method: Method,
    /// Path and query sent to the endpoint.
    pub(super) path: PathAndQuery,
    pub(super) headers: HeaderMap,
    /// Whether the request may run more than once.
    pub(super) idempotent: bool,
    pub(super) deadline_us: u64,
    /// Idempotency key; always `None` if the method is safe.
    pub(super) key: Option<String>,
    /// Whether another daemon forwarded the request to this one.
    pub(super) forwarded: bool,
}

impl ParsedRequest {
    /// Parses a request's head and finds the pool that serves it, by the sheet in force.
    pub(super) fn new(
        head: Parts,
        accepted: &AcceptedSheet,
        now_us: u64,
        default_deadline_ms: u64,
    ) -> Result<ParsedRequest, RequestError> {
        if head.method == Method::CONNECT {
            return Err(RequestError::UnsupportedMethod);
        }
        let (service, path) = split_path(&head)?;
        let pool = accepted.pool_of_service(service).ok_or_else(|| RequestError::UnknownService {
            service: service.chars().take(MAX_LABEL_CHARS).collect(),
            known: accepted.sheet.pools.iter().map(|pool| pool.service.to_string()).collect(),
        })?;
        let deadline_ms = parse_deadline_ms(&head.headers, default_deadline_ms)?;
        let key = parse_key(&head.headers)?.filter(|_| !head.method.is_safe());
        Ok(ParsedRequest {
            pool: pool.clone(),
            team: fairness_label(&head.headers, &[wire::TEAM]),
            caller: fairness_label(&head.headers, &[wire::CALLER, FORWARDED_FOR]),
            path,
            idempotent: head.method.is_idempotent() && key.is_none(),
            deadline_us: now_us + deadline_ms * US_PER_MS,
            key,
            forwarded: false,
            method: head.method,
            headers: without_hop_by_hop(head.headers),
        })
    }

    /// Parses a request forwarded by another daemon. Returns `None` if it is malformed.
    pub(super) fn from_forwarded(forwarded: ForwardedRequest, now_us: u64) -> Option<ParsedRequest> {
        let mut headers = HeaderMap::new();
        for (name, value) in forwarded.headers {
            headers.append(HeaderName::try_from(name).ok()?, HeaderValue::from_bytes(&value).ok()?);
        }
        Some(ParsedRequest {
            pool: forwarded.pool,
            team: forwarded.team,
            caller: forwarded.caller,
            method: Method::from_bytes(forwarded.method.as_bytes()).ok()?,
            path: PathAndQuery::try_from(forwarded.path).ok()?,
            headers,
            idempotent: false,
            deadline_us: now_us + forwarded.deadline_ms * US_PER_MS,
            key: Some(forwarded.ticket),
            forwarded: true,
        })
    }

    /// Builds the message that forwards the request to another daemon.
    pub(super) fn to_forwarded(&self, key: &str, body: &[u8], context: &TraceContext, now_us: u64) -> ForwardedRequest {
        let headers = self.headers.iter();
        ForwardedRequest {
            pool: self.pool.clone(),
            team: self.team.clone(),
            caller: self.caller.clone(),
            method: self.method.to_string(),
            path: self.path.to_string(),
            headers: headers.map(|(name, value)| (name.to_string(), value.as_bytes().to_vec())).collect(),
            deadline_ms: self.deadline_us.saturating_sub(now_us) / US_PER_MS,
            ticket: key.to_owned(),
            traceparent: context.to_traceparent(),
            body: body.to_vec(),
        }
    }
}

/// Splits a request's path into the first segment, which names the service, and the rest with the query, which is sent
/// to the endpoint.
fn split_path(head: &Parts) -> Result<(&str, PathAndQuery), RequestError> {
    let path = head.uri.path().trim_start_matches('/');
    let (service, rest) = path.split_once('/').unwrap_or((path, ""));
    let query = head.uri.query().map(|query| format!("?{query}")).unwrap_or_default();
    let rest = PathAndQuery::try_from(format!("/{rest}{query}")).map_err(|_| RequestError::InvalidPath)?;
    Ok((service, rest))
}

fn parse_deadline_ms(headers: &HeaderMap, default_ms: u64) -> Result<u64, RequestError> {
    let Some(value) = headers.get(wire::DEADLINE_MS) else { return Ok(default_ms) };
    let parsed = value.to_str().ok().and_then(|text| text.trim().parse::<u64>().ok());
    match parsed {
        Some(deadline_ms) if (1..=MAX_DEADLINE_MS).contains(&deadline_ms) => Ok(deadline_ms),
        _ => Err(RequestError::InvalidHeader {
            name: wire::DEADLINE_MS,
            requirement: format!("must be a whole number of milliseconds from 1 to {MAX_DEADLINE_MS}"),
        }),
    }
}

/// Reads the idempotency key. Fails if the key is malformed or sent more than once.
fn parse_key(headers: &HeaderMap) -> Result<Option<String>, RequestError> {
    let Some(value) = headers.get(wire::IDEMPOTENCY_KEY) else { return Ok(None) };
    let key = value.to_str().unwrap_or("").trim();
    let has_valid_length = !key.is_empty() && key.len() <= MAX_KEY_CHARS;
    if has_valid_length && headers.get_all(wire::IDEMPOTENCY_KEY).iter().count() == 1 {
        return Ok(Some(key.to_owned()));
    }
    let requirement = format!("must be sent once, with 1 to {MAX_KEY_CHARS} visible characters");
    Err(RequestError::InvalidHeader { name: wire::IDEMPOTENCY_KEY, requirement })
}

/// Returns the first comma-separated item of the first of the named headers that is present, truncated to
/// [`MAX_LABEL_CHARS`], or `anonymous` if there is none.
fn fairness_label(headers: &HeaderMap, names: &[&str]) -> Arc<str> {
    let value = names.iter().find_map(|name| headers.get(*name));
    let Some(Ok(text)) = value.map(|value| value.to_str()) else { return ANONYMOUS.into() };
    let first = text.split(',').next().unwrap_or("").trim();
    let truncated: String = first.chars().take(MAX_LABEL_CHARS).collect();
    if truncated.is_empty() {
        return ANONYMOUS.into();
    }
    truncated.into()
}

/// Returns the trace context sent by the caller, if it is well-formed.
pub(super) fn parse_traceparent(headers: &HeaderMap) -> Option<TraceContext> {
    TraceContext::parse(headers.get(wire::TRACEPARENT)?.to_str().ok()?)
}

/// Removes the hop-by-hop headers, which apply to one connection only (RFC 9110, section 7.6.1).
pub(super) fn without_hop_by_hop(mut headers: HeaderMap) -> HeaderMap {
    let mut connection_headers: Vec<HeaderName> = Vec::new();
    for value in headers.get_all(http::header::CONNECTION) {
        for name in value.to_str().unwrap_or("").split(',') {
            connection_headers.extend(name.trim().parse::<HeaderName>());
        }
    }
    for name in connection_headers {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
    headers
}

const HOP_BY_HOP: [HeaderName; 9] = [
    http::header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    http::header::PROXY_AUTHENTICATE,
    http::header::PROXY_AUTHORIZATION,
    HeaderName::from_static("proxy-connection"),
    http::header::TE,
    http::header::TRAILER,
    http::header::TRANSFER_ENCODING,
    http::header::UPGRADE,
];
