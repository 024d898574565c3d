//! Tests of the distribution of run times.

use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::run_times::{QueueRunTimes, RunTimes};

const ESTIMATE_MS: u64 = 1_000;

/// Run times of one queue whose runs took these times.
fn run_times(times_ms: impl IntoIterator<Item = u64>) -> RunTimes {
    let mut run_times = RunTimes::default();
    for time_ms in times_ms {
        run_times.record(&"proofs".into(), ESTIMATE_MS, time_ms);
    }
    run_times
}

fn proofs(run_times: &RunTimes) -> &QueueRunTimes {
    run_times.queue("proofs").expect("runs have been recorded")
}

/// Times of a long tail: the probability of a longer time falls with its square.
fn long_tail_ms(seed: u64, count: usize) -> Vec<u64> {
    let mut rng = SmallRng::seed_from_u64(seed);
    (0..count).map(|_| (500.0 / rng.random_range(0.000_1..1.0f64).sqrt()) as u64).collect()
}

fn assert_near(actual: f64, expected: f64, tolerance: f64, what: &str) {
    assert!((actual / expected - 1.0).abs() <= tolerance, "{what}: {actual}, expected about {expected}");
}

#[test]
fn median_mean_and_quantile_are_those_of_the_runs() {
    let run_times = run_times((0..1_000).map(|number| 500 + number * 617 % 1_000));

    let queue = proofs(&run_times);

    assert_near(queue.median_ratio(), 1.0, 0.05, "median");
    assert_near(queue.mean_ratio(), 1.0, 0.05, "mean");
    assert_near(queue.quantile(0.9), 1.4, 0.05, "nine tenths");
}

#[test]
fn remaining_time_is_the_mean_rest_of_longer_runs() {
    // Nine in ten runs take 1 s, the others 11 s.
    let run_times = run_times((0..400).map(|number| if number % 10 == 0 { 11_000 } else { 1_000 }));

    let queue = proofs(&run_times);

    assert_near(queue.expected_remaining_ms(ESTIMATE_MS, 0), 2_000.0, 0.1, "at the start");
    assert_near(queue.expected_remaining_ms(ESTIMATE_MS, 2_000), 9_000.0, 0.1, "once it is one of the long ones");
}

#[test]
fn run_beyond_all_others_is_expected_to_take_as_long_again() {
    let run_times = run_times([1_000; 100]);

    let remaining_ms = proofs(&run_times).expected_remaining_ms(ESTIMATE_MS, 5_000);

    assert_near(remaining_ms, 5_000.0, 0.01, "remaining time");
}

#[test]
fn remaining_time_in_a_long_tail_grows_with_age() {
    let run_times = run_times(long_tail_ms(7, 2_000));

    let queue = proofs(&run_times);

    let remaining_ms = [500, 1_000, 2_000, 4_000].map(|age_ms| queue.expected_remaining_ms(ESTIMATE_MS, age_ms));
    assert!(remaining_ms.is_sorted(), "{remaining_ms:?}");
}

#[test]
fn later_runs_replace_earlier_ones() {
    let earlier = [1_000; 2_000].into_iter();

    let run_times = run_times(earlier.chain([4_000; 1_000]));

    assert_near(proofs(&run_times).median_ratio(), 4.0, 0.1, "median");
    assert_near(proofs(&run_times).mean_ratio(), 4.0, 0.1, "mean");
}

#[test]
fn certainty_grows_with_the_runs_up_to_a_bound() {
    let counts = [1, 8, 10_000].map(|count| proofs(&run_times(vec![1_000; count])).effective_samples());

    assert_near(counts[0], 1.0, 0.01, "one run");
    assert_near(counts[1], 8.0, 0.01, "eight runs");
    assert!((100.0..1_000.0).contains(&counts[2]), "{counts:?}: earlier runs have lost their weight");
}

#[test]
fn extreme_estimates_and_times_give_finite_figures() {
    let cases = [(0, 1_000), (1, u64::MAX), (u64::MAX, 0), (1_000_000, 1_000), (1, 1_000), (1, 0)];

    for (estimate_ms, run_ms) in cases {
        let mut run_times = RunTimes::default();
        for _ in 0..20 {
            run_times.record(&"proofs".into(), estimate_ms, run_ms);
        }
        let Some(queue) = run_times.queue("proofs") else {
            assert_eq!(estimate_ms, 0, "only runs without an estimate are left out");
            continue;
        };
        for age_ms in [0, 1, 1_000, u64::MAX] {
            let remaining_ms = queue.expected_remaining_ms(estimate_ms, age_ms);
            assert!(remaining_ms.is_finite() && remaining_ms >= 0.0, "{estimate_ms} {run_ms} {age_ms}: {remaining_ms}");
        }
        assert!(queue.mean_ratio().is_finite() && queue.median_ratio() > 0.0, "{estimate_ms} {run_ms}");
    }
}

#[test]
fn estimate_that_is_a_thousand_times_too_much_is_learned() {
    let mut run_times = RunTimes::default();
    for _ in 0..50 {
        run_times.record(&"proofs".into(), 1_000_000, 1_000);
    }

    assert_near(proofs(&run_times).expected_ms(1_000_000), 1_000.0, 0.1, "expected time");
}

#[test]
fn number_of_queues_is_bounded_and_those_in_use_stay() {
    let mut run_times = RunTimes::default();

    for number in 0..5_000 {
        run_times.record(&Arc::from(format!("queue-{number}")), ESTIMATE_MS, 1_000);
        run_times.record(&"proofs".into(), ESTIMATE_MS, 1_000);
    }

    let known = (0..5_000).filter(|number| run_times.queue(&format!("queue-{number}")).is_some()).count();
    assert!(known <= 512, "{known} queues are kept");
    assert!(proofs(&run_times).effective_samples() > 100.0, "the queue in use has kept its runs");
}

#[test]
fn average_ratio_moves_by_a_twentieth_of_the_difference() {
    let run_times = run_times([3_000]);

    assert_eq!(run_times.average_ratio("proofs"), 1.1);
    assert_eq!(run_times.average_ratio("unknown"), 1.0);
}

// Guards against jobs that are given up as large although their estimates tell nothing about their size.
#[test]
fn estimates_are_reliable_once_enough_runs_are_near_them() {
    let reliable = |ratios: &mut dyn Iterator<Item = u64>| {
        let mut run_times = RunTimes::default();
        ratios.for_each(|run_ms| run_times.record(&"proofs".into(), 1_000, run_ms));
        run_times.are_estimates_reliable("proofs")
    };

    assert!(reliable(&mut (0..40).map(|number| 1_500 + number * 20)), "all too short, but alike");
    assert!(!reliable(&mut (0..40).map(|number| 300 + number * 100)), "from a third to four times");
    assert!(!reliable(&mut (0..10).map(|_| 1_000)), "too few runs");
    assert!(!RunTimes::default().are_estimates_reliable("unknown"));
}
