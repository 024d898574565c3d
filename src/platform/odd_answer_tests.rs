//! Tests of the clients of the provider, the advice service and the workers against servers whose answers are odd: entries
//! that cannot be read, page tokens that repeat, and bodies that are cut off or never end.

use super::advice::AdviceClient;
use super::hosts::HostClient;
use super::scripted_server::{run, serve, AnswerBody};
use super::workers::{LeaseRenewal, WorkerAddress, WorkerClient};
use crate::sched::model::{HostList, OrderOutcome, OrderRefusal};

fn list_hosts(answer: impl Fn(&str) -> AnswerBody + Send + Clone + 'static) -> Result<HostList, String> {
    let address = serve(answer);
    run(move |http_client| async move { HostClient::new(http_client, address, "d1".into()).list().await })
}

fn host_page(entries: &[&str], next_token: &str) -> AnswerBody {
    AnswerBody::Whole(format!(r#"{{"machines":[{}],"nextToken":{next_token}}}"#, entries.join(",")))
}

const HOST: &str = r#"{"machine":"m1","pool":"press","state":"up","zone":"a","id":"w1"}"#;

fn names(list: &HostList) -> Vec<&str> {
    list.hosts.iter().map(|host| &*host.name).collect()
}

#[test]
fn host_that_cannot_be_read_costs_only_itself() {
    // Guards against a list that is not followed any more because of one entry.
    let nested = format!(r#"{{"machine":"m2","pool":{}"#, "[".repeat(1_000) + &"]".repeat(1_000) + "}");
    let odd_entries = [
        "null",
        "7",
        "[]",
        r#"{"machine":"m2"}"#,
        r#"{"machine":"m2","pool":"press","state":"asleep"}"#,
        r#"{"machine":2,"pool":"press","state":"up"}"#,
        r#"{"machine":"m2","pool":"press","state":"up","capacity":{"cpu":"many"}}"#,
        &nested,
    ];
    for odd in odd_entries {
        let odd = odd.to_owned();
        let list = list_hosts(move |_| host_page(&[&odd, HOST], "null")).expect("a list");

        assert_eq!((names(&list), list.is_complete), (vec!["m1"], false));
    }
    let sound = list_hosts(|_| host_page(&[HOST], "null")).expect("a list");
    assert_eq!((names(&sound), sound.is_complete), (vec!["m1"], true));
}

#[test]
fn page_tokens_are_sent_back_as_they_are() {
    // Guards against a token that breaks the request, or ends the list early.
    for (token, sent) in [(r#""a&b=c #%2F""#, "a%26b%3dc%20%23%252f"), ("17", "17"), (r#""\u00e9""#, "%c3%a9")] {
        let list = list_hosts(move |target| match target.strip_prefix("/machines?pagetoken=") {
            None => host_page(&[HOST], token),
            Some(text) if text == sent => host_page(&[&HOST.replace("m1", "m2")], "null"),
            Some(text) => host_page(&[&HOST.replace("m1", text)], "null"),
        });

        assert_eq!(names(&list.expect("a list")), ["m1", "m2"], "{token}");
    }
}

#[test]
fn page_token_that_repeats_ends_the_reading() {
    // Guards against a list that is read without end, which fills the memory.
    let same = list_hosts(|_| host_page(&[HOST], r#""again""#));
    let cycle = list_hosts(|target| host_page(&[HOST], if target.ends_with("=a") { r#""b""# } else { r#""a""# }));

    assert!(same.expect_err("no list").contains("repeated"));
    assert!(cycle.expect_err("no list").contains("repeated"));
}

#[test]
fn bodies_that_are_cut_off_or_never_end_are_errors() {
    // Guards against a call that never returns, and against memory that fills up.
    let bodies = [AnswerBody::Truncated(r#"{"machines":[]}"#.to_owned()), AnswerBody::Endless];
    for body in bodies {
        let answer = body.clone();
        assert!(list_hosts(move |_| answer.clone()).is_err(), "{body:?}");

        let answer = body.clone();
        let address = serve(move |_| answer.clone());
        let advice = run(move |http_client| async move {
            AdviceClient::new(http_client, address).request_advice("j", 0, 0, &["w1".into()]).await
        });
        assert!(advice.is_err(), "{body:?}");

        let answer = body.clone();
        let renewed = renew_lease(move |_| answer.clone());
        assert!(matches!(renewed, Some(OrderOutcome::Unanswered)), "{body:?}: {renewed:?}");
    }
}

/// The error of a lease renewal.
fn renew_lease(answer: impl Fn(&str) -> AnswerBody + Send + Clone + 'static) -> Option<OrderOutcome> {
    let worker = WorkerAddress { id: "w1".into(), address: serve(answer) };
    let renewal = LeaseRenewal { lease_end_ms: Some(9_000), fencing_token: 1, acknowledged: 0, wait_ms: 0 };
    run(move |http_client| async move { WorkerClient::new(http_client).renew_lease(&worker, &renewal).await.err() })
}

#[test]
fn odd_answers_of_the_advice_service_and_of_workers_are_errors() {
    // Guards against a process that ends, and against tickets or runs that are taken from such an answer.
    let nested = "[".repeat(100_000);
    let texts = ["", "null", "[]", "7", r#"{"good":7}"#, r#"{"good":[["w1"]]}"#, r#"{"clockMs":1e400}"#, &nested];
    for text in texts {
        let body = AnswerBody::Whole(text.to_owned());
        let answer = body.clone();
        let address = serve(move |_| answer.clone());
        let advice = run(move |http_client| async move {
            AdviceClient::new(http_client, address).request_advice("j", 0, 0, &["w1".into()]).await
        });
        let renewed = renew_lease(move |_| body.clone());

        assert!(advice.is_err(), "{text:.40}");
        assert!(matches!(renewed, Some(OrderOutcome::Refused(OrderRefusal::Invalid))), "{text:.40}: {renewed:?}");
    }
}
