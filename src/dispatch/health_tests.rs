//! Tests of taking endpoints out of use and letting them back.

use super::health::{Backoff, Health};
use crate::clock::US_PER_S;

const BACKOFF: Backoff = Backoff { first_us: US_PER_S, longest_us: 4 * US_PER_S };

#[test]
fn a_few_failures_among_successes_do_not_eject() {
    let mut health = Health::new();
    for round in 0..100 {
        if round % 3 == 0 {
            health.failed(round, true, BACKOFF);
        } else {
            health.succeeded();
        }
    }

    assert_eq!(health.bound(100), None);
}

#[test]
fn steady_failure_ejects_and_one_success_on_trial_brings_back() {
    let mut health = Health::new();
    for _ in 0..4 {
        health.failed(0, true, BACKOFF);
    }
    assert_eq!(health.bound(1), Some(0));
    assert!(health.is_ejected());

    health.started(US_PER_S);
    let on_trial = health.bound(US_PER_S);
    health.succeeded();

    assert_eq!(on_trial, Some(1));
    assert_eq!(health.bound(US_PER_S), None);
    assert!(!health.is_ejected());
}

#[test]
fn failed_trials_double_the_wait_up_to_a_bound() {
    let mut health = Health::new();
    let mut now_us = 0;
    let mut waits_s = Vec::new();
    for _ in 0..4 {
        health.unreachable(now_us, BACKOFF);
        let back_at_us = health.back_at_us().expect("away");
        waits_s.push((back_at_us - now_us) / US_PER_S);
        now_us = back_at_us;
        health.started(now_us);
    }

    assert_eq!(waits_s, [1, 2, 4, 4]);
}

#[test]
fn late_failures_while_away_do_not_prolong_it() {
    let mut health = Health::new();
    health.unreachable(0, BACKOFF);

    health.unreachable(10, BACKOFF);
    health.failed(20, true, BACKOFF);

    assert_eq!(health.back_at_us(), Some(US_PER_S));
}

#[test]
fn a_pool_that_cannot_spare_it_keeps_using_it() {
    let mut health = Health::new();
    for _ in 0..50 {
        health.failed(0, false, BACKOFF);
    }

    assert_eq!(health.bound(1), None);
}
