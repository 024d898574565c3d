//! Sends requests with idempotency keys and tickets again, through the same and other daemon processes, also while the
//! table of claims fails or a daemon stops. Each must run at most once.

mod support;

use std::thread;

use support::cluster::Daemon;
use support::endpoint::Script;
use support::scripted_setup::{setup, KEY_HEADER};
use support::{eventually, http, Answer};

const SIGKILL: i32 = 9;
const SIGTERM: i32 = 15;

fn post(daemon: &Daemon, key: &str, body: &str) -> Answer {
    daemon.call("POST", "/alpha/charge", &[(KEY_HEADER, key)], body.as_bytes())
}

fn issue_ticket(daemon: &Daemon) -> String {
    let answer = daemon.call("POST", "/-/ticket", &[], b"");
    let body: serde_json::Value = serde_json::from_str(&answer.body).expect("JSON");
    body["ticket"].as_str().expect("a ticket").to_owned()
}

#[test]
fn a_request_with_a_key_runs_once_whichever_daemon_it_is_resent_to() {
    let setup = setup(Script::Echo, 2, &[]);

    let first = post(&setup.daemons[0], "order-7", "chair 7");
    let same_daemon = post(&setup.daemons[0], "order-7", "chair 7");
    eventually("the claim records the answer", || {
        setup.standin.rows("claims/")[0]["value"].as_str().is_some_and(|value| value.contains("answered"))
    });
    let other_daemon = post(&setup.daemons[1], "order-7", "chair 7");
    let other_body = post(&setup.daemons[1], "order-7", "chair 8");
    let other_key = post(&setup.daemons[1], "order-8", "chair 8");

    assert_eq!((first.status, first.outcome(), &*first.body), (200, "ran", "chair 7"));
    for resend in [&same_daemon, &other_daemon] {
        assert_eq!((resend.status, resend.outcome(), &*resend.body), (200, "ran", "chair 7"));
        assert_eq!(resend.header("sardineseam-replayed"), "true");
    }
    assert_eq!((other_body.status, other_body.outcome()), (422, "not-run"));
    assert_eq!(other_key.outcome(), "ran");
    assert_eq!(setup.endpoint.received().len(), 2);
}

#[test]
fn a_resend_to_the_same_daemon_gets_the_answer_of_the_request_in_progress() {
    let setup = setup(Script::Hold, 2, &[]);
    let (first, resend, to_other_daemon) = thread::scope(|scope| {
        let first = scope.spawn(|| post(&setup.daemons[0], "k", "b"));
        eventually("the endpoint receives the request", || setup.endpoint.received().len() == 1);
        let resend = scope.spawn(|| post(&setup.daemons[0], "k", "b"));
        let to_other_daemon = post(&setup.daemons[1], "k", "b");
        setup.endpoint.release();
        (first.join().expect("the request ends"), resend.join().expect("the request ends"), to_other_daemon)
    });

    assert_eq!((first.outcome(), resend.outcome()), ("ran", "ran"));
    assert_eq!((first.body, resend.body), ("b".to_owned(), "b".to_owned()));
    assert_eq!((to_other_daemon.status, to_other_daemon.outcome()), (409, "unknown"));
    assert_eq!(setup.endpoint.received().len(), 1);
}

#[test]
fn after_its_daemon_was_killed_a_request_with_a_key_is_unknown_and_does_not_run_again() {
    let setup = setup(Script::Hold, 2, &[]);
    let url = format!("http://{}/alpha/charge", setup.daemons[0].caller_address);
    thread::spawn(move || support::try_http("POST", &url, &[(KEY_HEADER, "k")], b"b"));
    eventually("the endpoint receives the request", || setup.endpoint.received().len() == 1);
    setup.daemons[0].process.signal(SIGKILL);
    setup.endpoint.release();

    for _ in 0..5 {
        let resend = post(&setup.daemons[1], "k", "b");
        assert_eq!((resend.status, resend.outcome()), (409, "unknown"));
    }

    assert_eq!(setup.endpoint.received().len(), 1);
}

#[test]
fn while_its_key_cannot_be_claimed_a_request_does_not_run_and_its_outcome_is_unknown() {
    let setup = setup(Script::Echo, 1, &[]);
    for fault in [r#"{"down": true}"#, r#"{"down": false, "lose_answers": true}"#] {
        setup.standin.set_faults(fault);
        let answer = post(&setup.daemons[0], "k", "b");
        assert_eq!((answer.status, answer.outcome()), (503, "unknown"), "{}", answer.body);
        assert_eq!(answer.header("retry-after"), "1");
    }
    assert!(setup.endpoint.received().is_empty());
    setup.standin.set_faults(r#"{"lose_answers": false}"#);

    eventually("the key can be claimed after the fault", || post(&setup.daemons[0], "k", "b").outcome() == "ran");

    assert_eq!(setup.endpoint.received().len(), 1);
}

#[test]
fn a_claim_that_a_slow_table_stores_late_does_not_block_its_key() {
    let setup = setup(Script::Echo, 1, &[]);
    setup.standin.set_faults(r#"{"slow_ms": 4000}"#);
    let answer = post(&setup.daemons[0], "k", "b");
    setup.standin.set_faults(r#"{"slow_ms": 0}"#);

    eventually("the key can be claimed", || post(&setup.daemons[0], "k", "b").outcome() == "ran");

    assert_eq!((answer.status, answer.outcome()), (503, "unknown"), "{}", answer.body);
    assert_eq!(setup.endpoint.received().len(), 1);
}

#[test]
fn a_request_with_a_ticket_runs_once_during_a_platform_outage_through_any_daemon() {
    let setup = setup(Script::Echo, 2, &[]);
    eventually("the daemons know each other", || {
        setup.daemons[1].status()["peers"].as_array().is_some_and(|p| p.len() == 1)
    });
    let (ticket, unused) = (issue_ticket(&setup.daemons[0]), issue_ticket(&setup.daemons[0]));
    setup.standin.set_faults(r#"{"down": true}"#);

    let forwarded = post(&setup.daemons[1], &ticket, "rent");
    let resend = post(&setup.daemons[0], &ticket, "rent");
    let other_body = post(&setup.daemons[1], &ticket, "other");
    let forged = post(&setup.daemons[0], &ticket.replace("/1/", "/9/"), "rent");
    setup.daemons[0].process.signal(SIGKILL);
    let issuer_gone = post(&setup.daemons[1], &unused, "rent");

    assert_eq!((forwarded.status, forwarded.outcome(), &*forwarded.body), (200, "ran", "rent"));
    assert_eq!((resend.outcome(), &*resend.body, resend.header("sardineseam-replayed")), ("ran", "rent", "true"));
    assert_eq!((other_body.status, other_body.outcome()), (422, "not-run"));
    assert_eq!((forged.status, forged.outcome()), (400, "not-run"));
    assert_eq!((issuer_gone.status, issuer_gone.outcome()), (503, "unknown"));
    assert_eq!(setup.endpoint.received().len(), 1);
}

#[test]
fn a_forwarded_request_is_answered_while_the_issuer_of_its_ticket_stops() {
    let mut setup = setup(Script::Hold, 2, &[]);
    eventually("the daemons know each other", || {
        setup.daemons[1].status()["peers"].as_array().is_some_and(|p| p.len() == 1)
    });
    let ticket = issue_ticket(&setup.daemons[0]);
    let url = format!("http://{}/alpha/charge", setup.daemons[1].caller_address);
    // Too large for one write to a socket, so that the issuer has to finish writing the answer while it stops.
    let body = vec![b'x'; 1 << 20];
    let caller = thread::spawn(move || http("POST", &url, &[(KEY_HEADER, &ticket)], &body));
    eventually("the endpoint receives the request", || setup.endpoint.received().len() == 1);

    let issuer = setup.daemons.remove(0);
    issuer.process.signal(SIGTERM);
    eventually("the issuer begins to stop", || issuer.process.log().contains("stopping"));
    setup.endpoint.release();
    let answer = caller.join().expect("the request ends");
    let (status, log) = issuer.process.wait();

    assert_eq!((answer.status, answer.outcome(), answer.body.len()), (200, "ran", 1 << 20), "{log}");
    assert_eq!(status.code(), Some(0), "{log}");
    assert_eq!(setup.endpoint.received().len(), 1);
}
