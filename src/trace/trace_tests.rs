//! Tests of trace contexts and of the OTLP encoding.

use super::export::export_request;
use super::*;

const HEADER: &str = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

#[test]
fn a_child_span_keeps_the_trace_id() {
    let parent = TraceContext::parse(HEADER).expect("well-formed");

    let child = parent.child();

    assert_eq!(parent.to_traceparent(), HEADER);
    assert_eq!(child.trace_id, parent.trace_id);
    assert_ne!(child.span_id, parent.span_id);
    assert_eq!(TraceContext::parse(&child.to_traceparent()), Some(child));
}

#[test]
fn malformed_traceparent_headers_are_ignored() {
    let malformed = [
        "",
        "00",
        "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7",
        "ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
        "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
        "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01",
        "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01",
        "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-extra",
    ];
    for header in malformed {
        assert_eq!(TraceContext::parse(header), None, "{header}");
    }
}

#[test]
fn spans_are_encoded_as_otlp_json() {
    let context = TraceContext::parse(HEADER).expect("well-formed");
    let span = Span {
        parent_span_id: None,
        name: "request",
        kind: SpanKind::Server,
        start_ns: 1,
        end_ns: 2,
        attributes: vec![("outcome", "ran".to_owned())],
        context,
    };

    let body = export_request(&[span], "d1");

    let exported = &body["resourceSpans"][0]["scopeSpans"][0]["spans"][0];
    assert_eq!(exported["traceId"], "4bf92f3577b34da6a3ce929d0e0e4736");
    assert_eq!(exported["kind"], 2);
    assert_eq!(exported["startTimeUnixNano"], "1");
    assert_eq!(exported["attributes"][0]["value"]["stringValue"], "ran");
}
