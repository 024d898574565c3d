//! What a caller asks for, read from the request's head.

use std::sync::Arc;

use http::request::Parts;
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderName, HeaderValue, Method};

use super::reply::Refused;
use crate::clock::US_PER_MS;
use crate::peer_message::Forward;
use crate::sheet_state::AcceptedSheet;
use crate::trace::TraceContext;
use crate::wire;

const MAX_DEADLINE_MS: u64 = 600_000;
const MAX_LABEL_CHARS: usize = 64;
const MAX_KEY_CHARS: usize = 255;
const ANONYMOUS: &str = "anonymous";
const FORWARDED_FOR: &str = "x-forwarded-for";

/// A request whose head is in order.
#[derive(Debug)]
pub(super) struct Plan {
    pub(super) pool: Arc<str>,
    pub(super) team: Arc<str>,
    pub(super) caller: Arc<str>,
    pub(super) method: Method,
    /// Path and query that the endpoint sees.
    pub(super) path: PathAndQuery,
    pub(super) headers: HeaderMap,
    pub(super) idempotent: bool,
    pub(super) deadline_us: u64,
    /// Key of a request that must run at most once, however often it is sent.
    pub(super) key: Option<String>,
    /// Another daemon handed it over.
    pub(super) forwarded: bool,
}

impl Plan {
    /// Checks a request's head against the sheet in force.
    pub(super) fn new(
        head: Parts,
        accepted: &AcceptedSheet,
        now_us: u64,
        default_deadline_ms: u64,
    ) -> Result<Plan, Refused> {
        if head.method == Method::CONNECT {
            return Err(Refused::Method);
        }
        let (service, path) = split_path(&head)?;
        let pool = accepted.pool_of_service(service).ok_or_else(|| Refused::UnknownService {
            service: service.chars().take(MAX_LABEL_CHARS).collect(),
            known: accepted.sheet.pools.iter().map(|pool| pool.service.to_string()).collect(),
        })?;
        let deadline_ms = deadline_ms(&head.headers, default_deadline_ms)?;
        let key = key(&head.headers)?.filter(|_| !head.method.is_safe());
        Ok(Plan {
            pool: pool.clone(),
            team: label(&head.headers, &[wire::TEAM]),
            caller: label(&head.headers, &[wire::CALLER, FORWARDED_FOR]),
            path,
            idempotent: head.method.is_idempotent() && key.is_none(),
            deadline_us: now_us + deadline_ms * US_PER_MS,
            key,
            forwarded: false,
            method: head.method,
            headers: end_to_end(head.headers),
        })
    }

    /// Takes a request over from another daemon; `None` if it is malformed.
    pub(super) fn from_forward(forward: Forward, now_us: u64) -> Option<Plan> {
        let mut headers = HeaderMap::new();
        for (name, value) in forward.headers {
            headers.append(HeaderName::try_from(name).ok()?, HeaderValue::from_bytes(&value).ok()?);
        }
        Some(Plan {
            pool: forward.pool,
            team: forward.team,
            caller: forward.caller,
            method: Method::from_bytes(forward.method.as_bytes()).ok()?,
            path: PathAndQuery::try_from(forward.path).ok()?,
            headers,
            idempotent: false,
            deadline_us: now_us + forward.deadline_ms * US_PER_MS,
            key: Some(forward.key),
            forwarded: true,
        })
    }

    /// Hands the request over to another daemon.
    pub(super) fn to_forward(&self, key: &str, body: &[u8], context: &TraceContext, now_us: u64) -> Forward {
        let headers = self.headers.iter();
        Forward {
            pool: self.pool.clone(),
            team: self.team.clone(),
            caller: self.caller.clone(),
            method: self.method.to_string(),
            path: self.path.to_string(),
            headers: headers.map(|(name, value)| (name.to_string(), value.as_bytes().to_vec())).collect(),
            deadline_ms: self.deadline_us.saturating_sub(now_us) / US_PER_MS,
            key: key.to_owned(),
            traceparent: context.to_traceparent(),
            body: body.to_vec(),
        }
    }
}

/// The first segment names the service; the rest is the endpoint's.
fn split_path(head: &Parts) -> Result<(&str, PathAndQuery), Refused> {
    let path = head.uri.path().trim_start_matches('/');
    let (service, rest) = path.split_once('/').unwrap_or((path, ""));
    let query = head.uri.query().map(|query| format!("?{query}")).unwrap_or_default();
    let rest = PathAndQuery::try_from(format!("/{rest}{query}")).map_err(|_| Refused::Path)?;
    Ok((service, rest))
}

fn deadline_ms(headers: &HeaderMap, default_ms: u64) -> Result<u64, Refused> {
    let Some(value) = headers.get(wire::DEADLINE_MS) else { return Ok(default_ms) };
    let parsed = value.to_str().ok().and_then(|text| text.trim().parse::<u64>().ok());
    match parsed {
        Some(deadline_ms) if (1..=MAX_DEADLINE_MS).contains(&deadline_ms) => Ok(deadline_ms),
        _ => Err(Refused::Header {
            name: wire::DEADLINE_MS,
            fix: format!("must be a whole number of milliseconds from 1 to {MAX_DEADLINE_MS}"),
        }),
    }
}

/// The request's key; a malformed one is refused.
fn key(headers: &HeaderMap) -> Result<Option<String>, Refused> {
    let Some(value) = headers.get(wire::IDEMPOTENCY_KEY) else { return Ok(None) };
    let key = value.to_str().unwrap_or("").trim();
    let well_formed = !key.is_empty() && key.len() <= MAX_KEY_CHARS;
    if well_formed && headers.get_all(wire::IDEMPOTENCY_KEY).iter().count() == 1 {
        return Ok(Some(key.to_owned()));
    }
    let fix = format!("must be sent once, with 1 to {MAX_KEY_CHARS} visible characters");
    Err(Refused::Header { name: wire::IDEMPOTENCY_KEY, fix })
}

/// First of the named headers' first value, shortened.
fn label(headers: &HeaderMap, names: &[&str]) -> Arc<str> {
    let named = names.iter().find_map(|name| headers.get(*name));
    let Some(Ok(text)) = named.map(|value| value.to_str()) else { return ANONYMOUS.into() };
    let first = text.split(',').next().unwrap_or("").trim();
    let shortened: String = first.chars().take(MAX_LABEL_CHARS).collect();
    if shortened.is_empty() {
        return ANONYMOUS.into();
    }
    shortened.into()
}

/// Trace context that the caller sent, if it is well-formed.
pub(super) fn trace_parent(headers: &HeaderMap) -> Option<TraceContext> {
    TraceContext::parse(headers.get(wire::TRACEPARENT)?.to_str().ok()?)
}

/// Headers without those that belong to one connection.
pub(super) fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    let mut named: Vec<HeaderName> = Vec::new();
    for value in headers.get_all(http::header::CONNECTION) {
        for name in value.to_str().unwrap_or("").split(',') {
            named.extend(name.trim().parse::<HeaderName>());
        }
    }
    for name in named {
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
