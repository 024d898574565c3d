//! Tests of the limit on the starts of a leader with too little processor time.

use super::start_rate::StartRate;
use crate::clock::US_PER_MS;

const INTERVAL_MS: u64 = 100;
const BEGIN_US: u64 = 1_000_000;

/// Starts as many of `wanted_per_s` tasks as are allowed, for `for_ms`. The leader is behind while more than `capacity_per_s`
/// start. Returns the time at the end and the starts per second in the last interval.
fn play(rate: &mut StartRate, from_us: u64, for_ms: u64, wanted_per_s: u64, capacity_per_s: u64) -> (u64, u64) {
    let (mut now_us, mut started_per_s) = (from_us, 0);
    while now_us < from_us + for_ms * US_PER_MS {
        let mut started = 0;
        for _ in 0..10 {
            now_us += INTERVAL_MS * US_PER_MS / 10;
            let allowed = rate.allowance(now_us).unwrap_or(usize::MAX) as u64;
            let starts = allowed.min(wanted_per_s * INTERVAL_MS / 10_000);
            (0..starts).for_each(|_| rate.record_start());
            started += starts;
        }
        started_per_s = started * 1_000 / INTERVAL_MS;
        rate.adjust(now_us, started_per_s > capacity_per_s);
    }
    (now_us, started_per_s)
}

#[test]
fn starts_settle_near_what_the_leader_can_follow() {
    let mut rate = StartRate::default();

    let (mut now_us, _) = play(&mut rate, BEGIN_US, 2_000, 5_000, 2_000);
    let mut per_s = Vec::new();
    for _ in 0..20 {
        let (end_us, started) = play(&mut rate, now_us, INTERVAL_MS, 5_000, 2_000);
        now_us = end_us;
        per_s.push(started);
    }

    let average = per_s.iter().sum::<u64>() / per_s.len() as u64;
    assert!((1_500..=2_200).contains(&average), "{per_s:?}");
}

#[test]
fn limit_is_lifted_when_the_load_is_gone() {
    let mut rate = StartRate::default();
    let (now_us, _) = play(&mut rate, BEGIN_US, 2_000, 5_000, 2_000);
    let while_overloaded = rate.limit_per_s();

    play(&mut rate, now_us, 3_000, 100, 2_000);

    assert!(while_overloaded.is_some());
    assert_eq!(rate.limit_per_s(), None);
}

#[test]
fn leader_that_is_behind_without_starting_tasks_has_no_limit() {
    let mut rate = StartRate::default();

    for elapsed_ms in (0..2_000).step_by(INTERVAL_MS as usize) {
        rate.adjust(BEGIN_US + elapsed_ms * US_PER_MS, true);
    }

    assert_eq!(rate.allowance(BEGIN_US + 2_000_000), None);
}

#[test]
fn leader_that_stays_behind_keeps_a_share_of_the_rate_that_it_had() {
    let mut rate = StartRate::default();
    let (now_us, _) = play(&mut rate, BEGIN_US, 2_000, 1_000, 2_000);

    let (_, per_s) = play(&mut rate, now_us, 5_000, 5_000, 0);

    assert!((300..=500).contains(&per_s), "{per_s} starts per second");
}
