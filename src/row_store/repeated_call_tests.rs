//! Tests of when store calls are repeated, in virtual time.

use super::repeated_call::{Overdue, RepeatedCall, StoreHealth, CALL_TIMEOUT_US};
use super::RowStoreError;

const MS_US: u64 = 1_000;
const REPEAT_DELAY_US: u64 = 300 * MS_US;

fn healthy_store(latency_ms: u64) -> StoreHealth {
    let mut health = StoreHealth::default();
    for _ in 0..50 {
        health.record_answer();
        health.record_latency(latency_ms * MS_US);
    }
    health
}

/// When the attempts of calls that follow each other are sent to a store that answers nothing.
fn attempts_until(end_us: u64) -> Vec<u64> {
    let health = healthy_store(4);
    let mut sent_us = Vec::new();
    let mut now_us = 0;
    while now_us < end_us {
        let deadline_us = now_us + CALL_TIMEOUT_US;
        let mut call = RepeatedCall::new(now_us, 0, health.repeat_delay_us());
        sent_us.push(now_us);
        while call.next_attempt_us() < deadline_us {
            let at_us = call.next_attempt_us();
            if let Overdue::Repeat { .. } = call.on_overdue(at_us, None) {
                sent_us.push(at_us);
            }
        }
        now_us = deadline_us;
    }
    sent_us
}

#[test]
fn store_that_is_back_is_reached_within_the_repeat_delay() {
    let sent_us = attempts_until(6_000 * MS_US);

    for pair in sent_us.windows(2) {
        assert!(pair[1] - pair[0] <= 300 * MS_US, "{pair:?}");
    }
    assert_eq!(sent_us.len(), 20, "five attempts of each call");
}

#[test]
fn slow_store_gets_no_repeated_calls() {
    for latency_ms in [4, 90, 360] {
        let health = healthy_store(latency_ms);

        let call = RepeatedCall::new(0, 0, health.repeat_delay_us());

        assert!(call.next_attempt_us() >= 3 * latency_ms * MS_US, "response time {latency_ms} ms");
    }
}

#[test]
fn call_that_waits_for_changes_is_not_repeated_while_it_waits() {
    let call = RepeatedCall::new(0, 1_000 * MS_US, REPEAT_DELAY_US);

    assert_eq!(call.next_attempt_us(), 1_300 * MS_US);
}

#[test]
fn outcome_is_unknown_if_any_attempt_got_no_answer() {
    let lost = || RowStoreError::ResponseLost("no answer in time".to_owned());
    let refused = || RowStoreError::Unavailable("HTTP status 503".to_owned());
    let cases = [(vec![lost(), refused()], true), (vec![refused(), lost()], true), (vec![refused(), refused()], false)];
    for (errors, is_unknown) in cases {
        let mut call = RepeatedCall::new(0, 0, REPEAT_DELAY_US);
        call.on_overdue(REPEAT_DELAY_US, None);

        let mut outcomes = errors.into_iter().map(|error| call.fail_attempt(error));
        let (first, last) = (outcomes.next().flatten(), outcomes.next().flatten());

        assert!(first.is_none(), "the other attempt may still be answered");
        assert_eq!(matches!(last, Some(RowStoreError::ResponseLost(_))), is_unknown, "{last:?}");
    }
}

#[test]
fn store_counts_as_unreachable_from_shortly_after_the_first_failure_to_the_next_answer() {
    let mut health = healthy_store(4);

    health.record_failure(1_000 * MS_US);
    health.record_failure(1_200 * MS_US);

    assert!(health.is_reachable(1_249 * MS_US), "one failure may have another cause");
    assert!(!health.is_reachable(1_250 * MS_US));
    health.record_answer();
    assert!(health.is_reachable(1_250 * MS_US));
}

/// Plays a call. `progressed_us` tells for a moment, and for when the latest attempt was sent, when an attempt last made
/// progress. Returns when the attempts are sent, and at which of the times when the answer was overdue the store counted as
/// unreachable.
fn play_call(end_us: u64, progressed_us: impl Fn(u64, u64) -> u64) -> (Vec<u64>, Vec<u64>) {
    let mut health = healthy_store(4);
    let mut call = RepeatedCall::new(0, 0, health.repeat_delay_us());
    let (mut sent_us, mut unreachable_us) = (vec![0], Vec::new());
    while call.next_attempt_us() < end_us {
        let now_us = call.next_attempt_us();
        let overdue = call.on_overdue(now_us, Some(progressed_us(now_us, sent_us[sent_us.len() - 1])));
        match overdue {
            Overdue::InProgress => health.record_answer(),
            Overdue::Repeat { .. } | Overdue::TooLate => health.record_failure(now_us),
        }
        if let Overdue::Repeat { .. } = overdue {
            sent_us.push(now_us);
        }
        if !health.is_reachable(now_us) {
            unreachable_us.push(now_us);
        }
    }
    (sent_us, unreachable_us)
}

#[test]
fn call_is_not_repeated_while_its_answer_arrives() {
    // Guards against attempts that share a narrow link until none of them can end, and against a store that counts as
    // unreachable while it answers.
    let arriving = |now_us: u64, _| now_us - 40 * MS_US;

    let (sent_us, unreachable_us) = play_call(8_000 * MS_US, arriving);

    assert_eq!((sent_us, unreachable_us), (vec![0], vec![]));
}

#[test]
fn answer_that_stops_arriving_is_noticed_after_the_repeat_delay() {
    // Guards against a silent connection that is trusted for longer because it has carried a part of the answer.
    let last_byte_us = 3_950 * MS_US;
    let stops = |now_us: u64, _| last_byte_us.min(now_us - 40 * MS_US);

    let (sent_us, unreachable_us) = play_call(8_000 * MS_US, stops);

    assert_eq!(sent_us[..2], [0, last_byte_us + REPEAT_DELAY_US]);
    assert!(unreachable_us.iter().all(|at_us| *at_us >= last_byte_us + REPEAT_DELAY_US));
    assert!(!unreachable_us.is_empty());
}

#[test]
fn attempts_stay_few_while_an_answer_arrives_in_bursts() {
    // Guards against attempts that slow each other down on a link that loses packets.
    let bursts = |now_us: u64, _| now_us - now_us % (500 * MS_US);

    let (sent_us, _) = play_call(20_000 * MS_US, bursts);

    assert!(sent_us.len() <= 3, "{sent_us:?}");
}

#[test]
fn large_request_that_only_fills_the_socket_is_repeated_as_often_as_a_small_one() {
    // Guards against a store that is back after an outage and is reached later by large transactions.
    let fills_the_socket = |_, attempt_us: u64| attempt_us + MS_US;

    let (sent_us, _) = play_call(20_000 * MS_US, fills_the_socket);

    assert!(sent_us.windows(2).all(|pair| pair[1] - pair[0] <= REPEAT_DELAY_US + 2 * MS_US), "{sent_us:?}");
    assert!((4..=5).contains(&sent_us.len()), "attempts without end: {sent_us:?}");
}
