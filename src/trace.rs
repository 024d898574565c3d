//! W3C trace context, and spans that are exported over OTLP/HTTP.

mod export;
#[cfg(test)]
mod trace_tests;

use std::time::{SystemTime, UNIX_EPOCH};

use rand::Rng;

use crate::sheet::hex;

pub(crate) use export::SpanExporter;

const TRACE_ID_HEX_CHARS: usize = 32;
const SPAN_ID_HEX_CHARS: usize = 16;

/// Identity of a span within a trace, as passed on in `traceparent` headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct TraceContext {
    /// 16 bytes in lower-case hexadecimal.
    pub(crate) trace_id: String,
    /// 8 bytes in lower-case hexadecimal.
    pub(crate) span_id: String,
    pub(crate) sampled: bool,
}

impl TraceContext {
    /// Context of a new, sampled trace.
    pub(crate) fn root() -> TraceContext {
        let trace_id: [u8; 16] = rand::rng().random();
        TraceContext { trace_id: hex(&trace_id), span_id: new_span_id(), sampled: true }
    }

    /// Parses the value of a `traceparent` header; `None` if it is malformed.
    pub(crate) fn parse(header: &str) -> Option<TraceContext> {
        let mut parts = header.trim().split('-');
        let (version, trace_id, span_id, flags) = (parts.next()?, parts.next()?, parts.next()?, parts.next()?);
        let is_hex = |text: &str, length: usize| {
            text.len() == length && text.bytes().all(|byte| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte))
        };
        let is_zero = |text: &str| text.bytes().all(|byte| byte == b'0');
        let well_formed = is_hex(version, 2)
            && version != "ff"
            && is_hex(trace_id, TRACE_ID_HEX_CHARS)
            && is_hex(span_id, SPAN_ID_HEX_CHARS)
            && is_hex(flags, 2)
            && (version != "00" || parts.next().is_none());
        if !well_formed || is_zero(trace_id) || is_zero(span_id) {
            return None;
        }
        let flags = u8::from_str_radix(flags, 16).ok()?;
        Some(TraceContext { trace_id: trace_id.to_owned(), span_id: span_id.to_owned(), sampled: flags & 1 == 1 })
    }

    /// Context of a new child span.
    pub(crate) fn child(&self) -> TraceContext {
        TraceContext { trace_id: self.trace_id.clone(), span_id: new_span_id(), sampled: self.sampled }
    }

    /// Formats the value of a `traceparent` header.
    pub(crate) fn to_traceparent(&self) -> String {
        format!("00-{}-{}-{:02x}", self.trace_id, self.span_id, u8::from(self.sampled))
    }
}

fn new_span_id() -> String {
    let span_id: [u8; 8] = rand::rng().random();
    hex(&span_id)
}

/// Kind of a span, with its number in OTLP.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SpanKind {
    Server = 2,
    Client = 3,
}

/// One finished span.
#[derive(Debug, Clone)]
pub(crate) struct Span {
    pub(crate) context: TraceContext,
    pub(crate) parent_span_id: Option<String>,
    pub(crate) name: &'static str,
    pub(crate) kind: SpanKind,
    /// In nanoseconds since the Unix epoch.
    pub(crate) start_ns: u64,
    /// In nanoseconds since the Unix epoch.
    pub(crate) end_ns: u64,
    pub(crate) attributes: Vec<(&'static str, String)>,
}

/// Nanoseconds since the Unix epoch.
pub(crate) fn unix_now_ns() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_nanos()).unwrap_or(u64::MAX)
}
