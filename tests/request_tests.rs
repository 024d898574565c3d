//! Sends callers' requests through daemon processes to endpoints that misbehave. Assertions rely on the answers and on
//! the requests that the endpoints received.

mod support;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::thread;

use support::cluster::Daemon;
use support::endpoint::{Script, ScriptedEndpoint};
use support::scripted_setup::{setup, KEY_HEADER};
use support::{eventually, http, Answer};

/// Starts an endpoint that closes each connection after `byte_limit` bytes; returns its address and a channel that
/// yields the number of bytes read from each connection.
fn start_truncating_endpoint(byte_limit: &Arc<AtomicUsize>) -> (String, Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    let (sender, receiver) = channel();
    let byte_limit = byte_limit.clone();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut bytes = vec![0; byte_limit.load(Ordering::SeqCst)];
            let mut read = 0;
            while read < bytes.len() {
                match stream.read(&mut bytes[read..]) {
                    Ok(count @ 1..) => read += count,
                    _ => break,
                }
            }
            let _ = sender.send(read);
        }
    });
    (address, receiver)
}

#[test]
fn a_request_cut_off_at_any_byte_gets_a_correct_outcome_and_is_never_sent_twice() {
    let setup = setup(Script::Echo, 1, &[]);
    setup.daemons[0].call("POST", "/alpha/plate", &[], b"body");
    let received = setup.endpoint.received();
    // Some header values vary in length between requests; 20 bytes allow for that.
    let shortest_length = received[0].head.len() + received[0].body.len() - 20;
    let byte_limit = Arc::new(AtomicUsize::new(0));
    let (address, connections) = start_truncating_endpoint(&byte_limit);
    setup.standin.put_host("scripted", &address, "alpha", "live");
    eventually("the daemon knows the new address", || {
        setup.daemons[0].cli(&["host", "list"]).stdout.contains(&address)
    });

    for cut in (0..shortest_length).rev() {
        byte_limit.store(cut, Ordering::SeqCst);

        let answer = setup.daemons[0].call("POST", "/alpha/plate", &[], b"body");

        let attempts_received = connections.try_iter().filter(|read| *read > 0).count();
        match answer.outcome() {
            "not-run" => assert_eq!((cut, attempts_received), (0, 0), "{}", answer.body),
            "unknown" => assert!(attempts_received <= 1, "cut after {cut}: sent {attempts_received} times"),
            other => panic!("cut after {cut}: outcome {other}"),
        }
    }
}

const COMPLETE_ANSWERS: [&str; 2] = [
    "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nwhole answer",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nwhole \r\n6\r\nanswer\r\n0\r\n\r\n",
];

#[test]
fn an_answer_cut_off_at_any_byte_is_never_delivered_as_complete() {
    for complete in COMPLETE_ANSWERS {
        // The daemon reuses a connection after a complete answer, and loses a request that it sends on one that the
        // endpoint has just closed. A new setup for each answer rules such a request out.
        let setup = setup(Script::Echo, 1, &[]);
        for count in 0..complete.len() {
            setup.endpoint.set_script(Script::RawThenClose(complete[..count].to_owned()));
            let answer = setup.daemons[0].call("POST", "/alpha/plate", &[], b"body");
            assert_eq!((answer.status, answer.outcome()), (502, "unknown"), "cut after {count}: {}", answer.body);
        }
        setup.endpoint.set_script(Script::RawThenClose(complete.to_owned()));

        let answer = setup.daemons[0].call("POST", "/alpha/plate", &[], b"body");

        assert_eq!((answer.outcome(), &*answer.body), ("ran", "whole answer"));
        assert_eq!(setup.endpoint.received().len(), complete.len() + 1, "each request must be sent once");
    }
}

#[test]
fn an_answer_that_stalls_at_any_byte_is_abandoned_at_the_deadline() {
    let setup = setup(Script::Echo, 1, &[]);
    let complete = COMPLETE_ANSWERS[0];
    for count in (0..complete.len()).step_by(4) {
        setup.endpoint.set_script(Script::RawThenSilence(complete[..count].to_owned()));
        let deadline = [("sardineseam-deadline-ms", "60")];
        let answer = setup.daemons[0].call("POST", "/alpha/plate", &deadline, b"body");
        assert_eq!((answer.status, answer.outcome()), (502, "unknown"), "after {count}: {}", answer.body);
    }
    setup.endpoint.set_script(Script::Echo);

    let answer = setup.daemons[0].call("POST", "/alpha/plate", &[], b"body");

    assert_eq!((answer.outcome(), &*answer.body), ("ran", "body"));
    assert_eq!(setup.endpoint.received().len(), complete.len().div_ceil(4) + 1, "each request must be sent once");
}

#[test]
fn an_oversized_answer_is_not_delivered_in_part() {
    let setup = setup(Script::Echo, 1, &["--max-answer-bytes", "1000"]);
    let oversized = vec![b'x'; 1_001];

    let answer = setup.daemons[0].call("POST", "/alpha/plate", &[], &oversized);
    let within_limit = setup.daemons[0].call("POST", "/alpha/plate", &[], &oversized[..1_000]);

    assert_eq!((answer.status, answer.outcome()), (502, "unknown"), "{}", answer.body);
    assert_eq!((within_limit.status, within_limit.body.len()), (200, 1_000));
}

#[test]
fn an_answer_to_another_request_is_never_delivered() {
    let setup = setup(Script::Echo, 1, &[]);
    let answer_to_other = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\nSardineseam-Request-Id: other\r\n\r\nothers";
    let two_answers = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst\
                   HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond";
    setup.endpoint.set_script(Script::Raw(answer_to_other.to_owned()));
    let wrong_id = setup.daemons[0].call("POST", "/alpha/x", &[], b"a");
    setup.endpoint.set_script(Script::Raw(two_answers.to_owned()));
    let first = setup.daemons[0].call("POST", "/alpha/x", &[], b"b");
    setup.endpoint.set_script(Script::Echo);

    assert_eq!((wrong_id.status, wrong_id.outcome()), (502, "unknown"));
    assert_eq!(first.body, "first");
    for body in ["c", "d", "e"] {
        assert_eq!(setup.daemons[0].call("POST", "/alpha/x", &[], body.as_bytes()).body, body);
    }
}

#[test]
fn an_answer_after_the_deadline_is_delivered_to_no_request() {
    let setup = setup(Script::Hold, 1, &[]);
    let late = setup.daemons[0].call("POST", "/alpha/x", &[("sardineseam-deadline-ms", "100")], b"late");
    setup.endpoint.set_script(Script::Echo);
    setup.endpoint.release();

    for body in ["a", "b", "c"] {
        assert_eq!(setup.daemons[0].call("POST", "/alpha/x", &[], body.as_bytes()).body, body);
    }
    assert_eq!((late.status, late.outcome()), (502, "unknown"));
}

#[test]
fn an_idempotent_request_unanswered_by_one_endpoint_is_retried_at_another_before_its_deadline() {
    let setup = setup(Script::Silence, 1, &[]);
    let responsive = ScriptedEndpoint::start(Script::Echo);
    setup.standin.put_host("speaking", &responsive.address, "alpha", "live");
    eventually("the daemon knows both hosts", || setup.daemons[0].live_hosts("alpha") == 2);

    // The daemon chooses at random between endpoints of equal load, so six requests all miss the silent one in 1 of 64
    // runs; more are sent until one has reached it.
    let sent_enough = |sent| sent >= 6 && !setup.endpoint.received().is_empty();
    for sent in 0..60 {
        if sent_enough(sent) {
            break;
        }
        let answer = setup.daemons[0].call("GET", "/alpha/x", &[("sardineseam-deadline-ms", "3000")], b"");
        assert_eq!((answer.status, answer.outcome()), (200, "ran"), "{}", answer.body);
    }

    assert!(!setup.endpoint.received().is_empty(), "the silent endpoint must have received a request");
}

#[test]
fn invalid_requests_are_refused_with_a_reason_and_reach_no_endpoint() {
    let setup = setup(Script::Echo, 1, &["--max-body-bytes", "1000"]);
    let daemon = &setup.daemons[0];
    let large = vec![b'x'; 2_000];
    let deadline = "sardineseam-deadline-ms";

    let cases = [
        (daemon.call("GET", "/nowhere/x", &[], b""), 404, "services: alpha, beta"),
        (daemon.call("GET", "/alpha/x", &[(deadline, "soon")], b""), 400, "sardineseam-deadline-ms"),
        (daemon.call("GET", "/alpha/x", &[(deadline, "0")], b""), 400, "from 1 to 600000"),
        (daemon.call("POST", "/alpha/x", &[], &large), 413, "larger than 1000 bytes"),
    ];

    // A request with a key may be a resend of one that has run, so its refusal must not say `not-run`.
    let with_key = daemon.call("POST", "/alpha/x", &[(KEY_HEADER, "k")], &large);

    assert_eq!((with_key.status, with_key.outcome()), (413, "unknown"));
    for (answer, status, message) in &cases {
        assert_eq!((answer.status, answer.outcome()), (*status, "not-run"), "{}", answer.body);
        assert!(answer.body.contains(message), "{}", answer.body);
        assert!(!answer.header("sardineseam-request-id").is_empty());
    }
    assert!(setup.endpoint.received().is_empty());
}

/// Sends bytes on a new connection and reads until the daemon closes it.
fn send_raw(daemon: &Daemon, bytes: &[u8], half_close: bool) -> String {
    let mut stream = TcpStream::connect(&daemon.caller_address).expect("a connection");
    stream.write_all(bytes).expect("the request is sent");
    if half_close {
        stream.shutdown(Shutdown::Write).expect("the sending side is closed");
    }
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).expect("the daemon closes the connection");
    String::from_utf8_lossy(&answer).into_owned()
}

#[test]
fn slow_callers_time_out_and_half_closed_ones_are_answered() {
    let setup = setup(Script::Echo, 1, &[]);
    let daemon = &setup.daemons[0];
    let incomplete =
        "POST /alpha/x HTTP/1.1\r\nHost: d\r\nContent-Length: 10\r\nSardineseam-Deadline-Ms: 50\r\n\r\nhalf";
    let complete = "POST /alpha/x HTTP/1.1\r\nHost: d\r\nContent-Length: 4\r\n\r\nbody";

    let timed_out = send_raw(daemon, incomplete.as_bytes(), false);
    let ended_early = send_raw(daemon, incomplete.as_bytes(), true);
    let answered = send_raw(daemon, complete.as_bytes(), true);

    assert!(timed_out.starts_with("HTTP/1.1 408") && timed_out.contains("not-run"), "{timed_out}");
    assert!(!ended_early.contains("outcome: ran"), "{ended_early}");
    assert!(answered.starts_with("HTTP/1.1 200") && answered.ends_with("body"), "{answered}");
    assert_eq!(setup.endpoint.received().len(), 1);
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let setup = setup(Script::Echo, 1, &[]);
    let request = |body: &str, header: &str| {
        format!("POST /alpha/x HTTP/1.1\r\nHost: d\r\n{header}Content-Length: 1\r\n\r\n{body}")
    };
    let pipelined = [request("a", ""), request("b", ""), request("c", "Connection: close\r\n")].concat();

    let answers = send_raw(&setup.daemons[0], pipelined.as_bytes(), false);

    let bodies: Vec<&str> = answers.split("\r\n\r\n").skip(1).map(|rest| &rest[..1]).collect();
    assert_eq!(bodies, ["a", "b", "c"], "{answers}");
}

#[test]
fn a_request_continues_to_run_after_its_caller_disconnects() {
    let setup = setup(Script::Hold, 1, &[]);
    let daemon = &setup.daemons[0];
    let mut caller = TcpStream::connect(&daemon.caller_address).expect("a connection");
    // The answer to the first request is left unread, so that closing the socket resets the connection instead of
    // ending one direction.
    let first_request = "GET /nowhere HTTP/1.1\r\nHost: d\r\n\r\n";
    let held_request = "POST /alpha/x HTTP/1.1\r\nHost: d\r\nIdempotency-Key: k\r\nContent-Length: 4\r\n\r\nbody";
    caller.write_all([first_request, held_request].concat().as_bytes()).expect("the request is sent");
    eventually("the endpoint receives the request", || setup.endpoint.received().len() == 1);
    drop(caller);
    setup.endpoint.release();

    let resend = post_to(daemon, "/alpha/x", "k", "body");

    assert_eq!((resend.status, resend.outcome(), &*resend.body), (200, "ran", "body"));
    assert_eq!(setup.endpoint.received().len(), 1);
}

fn post_to(daemon: &Daemon, path: &str, key: &str, body: &str) -> Answer {
    daemon.call("POST", path, &[(KEY_HEADER, key)], body.as_bytes())
}

#[test]
fn each_hop_has_a_span_in_the_callers_trace() {
    let collector = ScriptedEndpoint::start(Script::Raw("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_owned()));
    let url = format!("http://{}", collector.address);
    let setup = setup(Script::Echo, 1, &["--otlp-url", &url]);
    let trace_id = "4bf92f3577b34da6a3ce929d0e0e4736";
    let parent = format!("00-{trace_id}-00f067aa0ba902b7-01");

    setup.daemons[0].call("GET", "/alpha/x", &[("traceparent", &parent)], b"");
    let exported = || -> String {
        let received = collector.received();
        received.iter().map(|request| String::from_utf8_lossy(&request.body).into_owned()).collect()
    };
    eventually("both spans are exported", || exported().matches(trace_id).count() == 2);

    let received = setup.endpoint.received();
    let to_endpoint = received[0].header("traceparent").expect("a traceparent header");
    let attempt_span = to_endpoint.split('-').nth(2).expect("a span id").to_owned();
    let exported = exported();
    assert!(to_endpoint.contains(trace_id));
    assert!(exported.contains(&format!("\"spanId\":\"{attempt_span}\"")), "{exported}");
    assert!(exported.contains("\"parentSpanId\":\"00f067aa0ba902b7\""), "{exported}");
    assert_eq!(http("GET", &format!("http://{}/healthz", setup.daemons[0].admin_address), &[], b"").status, 200);
}
