//! Exports spans in batches over OTLP/HTTP with JSON bodies.

use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::thread;
use std::time::Duration;

use serde_json::{json, Value};

use super::{unix_now_ns, Span};

const MAX_QUEUED_SPANS: usize = 2_048;
const MAX_BATCH_SPANS: usize = 256;
const SEND_TIMEOUT_MS: u64 = 2_000;

/// Queues spans for a thread that sends them to a collector. Spans that do not fit in the queue are dropped and
/// counted.
#[derive(Debug, Clone)]
pub(crate) struct SpanExporter {
    spans: Option<SyncSender<Span>>,
}

impl SpanExporter {
    /// Starts an exporter to a collector's base URL, such as `http://127.0.0.1:4318`. Without a URL, the exporter
    /// discards every span.
    pub(crate) fn start(collector_url: Option<&str>, daemon_name: &str) -> SpanExporter {
        let Some(collector_url) = collector_url else { return SpanExporter { spans: None } };
        let (sender, receiver) = sync_channel(MAX_QUEUED_SPANS);
        let url = format!("{}/v1/traces", collector_url.trim_end_matches('/'));
        let daemon_name = daemon_name.to_owned();
        thread::spawn(move || send_batches(&receiver, &url, &daemon_name));
        SpanExporter { spans: Some(sender) }
    }

    /// Whether there is a collector, so that callers can skip building spans.
    pub(crate) fn is_enabled(&self) -> bool {
        self.spans.is_some()
    }

    /// Nanoseconds since the Unix epoch, or 0 without a collector.
    pub(crate) fn now_ns(&self) -> u64 {
        if self.is_enabled() {
            unix_now_ns()
        } else {
            0
        }
    }

    /// Queues a span if its trace is sampled.
    pub(crate) fn export(&self, span: Span) {
        let Some(spans) = &self.spans else { return };
        if !span.context.sampled {
            return;
        }
        if spans.try_send(span).is_err() {
            metrics::counter!("spans_dropped_total").increment(1);
        }
    }
}

fn send_batches(receiver: &Receiver<Span>, url: &str, daemon_name: &str) {
    let config = ureq::Agent::config_builder().timeout_global(Some(Duration::from_millis(SEND_TIMEOUT_MS))).build();
    let agent: ureq::Agent = config.into();
    while let Ok(first) = receiver.recv() {
        let mut batch = vec![first];
        batch.extend(receiver.try_iter().take(MAX_BATCH_SPANS - 1));
        let sent =
            agent.post(url).content_type("application/json").send(export_request(&batch, daemon_name).to_string());
        let counter = if sent.is_ok() { "spans_sent_total" } else { "spans_dropped_total" };
        metrics::counter!(counter).increment(batch.len() as u64);
    }
}

/// Encodes spans as an `ExportTraceServiceRequest` in OTLP's JSON mapping.
pub(super) fn export_request(batch: &[Span], daemon_name: &str) -> Value {
    let spans: Vec<Value> = batch.iter().map(encode_span).collect();
    let resource = json!([attribute("service.name", "sardineseamd"), attribute("service.instance.id", daemon_name),]);
    json!({ "resourceSpans": [{
        "resource": { "attributes": resource },
        "scopeSpans": [{ "scope": { "name": "sardineseam" }, "spans": spans }],
    }] })
}

fn encode_span(span: &Span) -> Value {
    let attributes: Vec<Value> = span.attributes.iter().map(|(key, value)| attribute(key, value)).collect();
    json!({
        "traceId": span.context.trace_id,
        "spanId": span.context.span_id,
        "parentSpanId": span.parent_span_id.as_deref().unwrap_or(""),
        "name": span.name,
        "kind": span.kind as u8,
        "startTimeUnixNano": span.start_ns.to_string(),
        "endTimeUnixNano": span.end_ns.to_string(),
        "attributes": attributes,
    })
}

fn attribute(key: &str, value: &str) -> Value {
    json!({ "key": key, "value": { "stringValue": value } })
}
