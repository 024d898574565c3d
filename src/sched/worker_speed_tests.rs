//! Tests of how slow workers are found, set aside and tried again.

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::sim::{spec, step, Faults, Sim, Stragglers};
use super::worker_speed::WorkerSpeed;

const SECOND_US: u64 = 1_000_000;

/// Ratio of a run's time to the usual one where the probability of a longer time falls with its square.
fn long_tail_ratio(rng: &mut SmallRng) -> f64 {
    // The median of the distribution from 1 is the root of 2.
    1.0 / rng.random_range(0.000_1..1.0f64).sqrt() / 2.0f64.sqrt()
}

#[test]
fn worker_that_takes_twice_as_long_is_slow_after_enough_runs() {
    let mut speed = WorkerSpeed::default();

    let after: Vec<bool> = (0..30)
        .map(|number| {
            speed.record(SECOND_US, if number % 2 == 0 { 1.8 } else { 2.2 });
            speed.is_slow(SECOND_US)
        })
        .collect();

    assert!(!after[18] && after[19], "{after:?}");
    assert!((speed.ratio() - 2.0).abs() < 0.1, "{}", speed.ratio());
}

#[test]
fn one_extremely_long_run_does_not_make_a_worker_slow() {
    let mut speed = WorkerSpeed::default();
    for _ in 0..30 {
        speed.record(SECOND_US, 1.0);
    }

    speed.record(SECOND_US, 1e9);

    assert!(!speed.is_slow(SECOND_US), "{}", speed.ratio());
}

#[test]
fn slow_worker_is_proved_again_by_good_runs_or_after_a_time_without_runs() {
    let mut speed = WorkerSpeed::default();
    for _ in 0..30 {
        speed.record(SECOND_US, 3.0);
    }

    let is_slow_later = [5, 12].map(|later_s| speed.is_slow(SECOND_US + later_s * SECOND_US));
    for _ in 0..30 {
        speed.record(SECOND_US, 1.0);
    }

    assert_eq!(is_slow_later, [true, false]);
    assert!(!speed.is_slow(SECOND_US), "{}", speed.ratio());
}

#[test]
fn chance_sets_none_of_many_equal_workers_aside() {
    let mut rng = SmallRng::seed_from_u64(11);

    let mut slow_count = 0;
    for _ in 0..1_000 {
        let mut speed = WorkerSpeed::default();
        for _ in 0..500 {
            speed.record(SECOND_US, long_tail_ratio(&mut rng));
            slow_count += u32::from(speed.is_slow(SECOND_US));
        }
    }

    assert!(slow_count <= 500, "{slow_count} of 500,000 times");
}

/// What happened while 12 workers had work for about half of their capacity.
#[derive(Debug, Default)]
struct Play {
    /// How often a run was seen on each worker.
    seen: BTreeMap<Arc<str>, u32>,
    /// Highest number of workers that were set aside at a time.
    max_slow: usize,
}

impl Play {
    fn seen_on(&self, worker: &str) -> u32 {
        self.seen.get(worker).copied().unwrap_or(0)
    }
}

/// Runs vary by half of their average, and one in ten takes four times as long; `slow` workers take three times as long.
fn play(seed: u64, slow: &[&str]) -> Play {
    let mut sim = Sim::new(seed, 12, Faults::default());
    sim.run_time_spread = 0.5;
    let workers = slow.iter().map(|id| (Arc::from(*id), 3.0)).collect();
    sim.stragglers = Stragglers { rate: 0.1, factor: 4.0, workers, ..Stragglers::default() };
    let mut play = Play::default();
    for number in 0..250 {
        let id = sim.submit(&format!("job-{number:03}"), spec(vec![step(8, &[])]));
        sim.run_for(100);
        for (_, task) in sim.scheduler.jobs[&id].tasks() {
            if let Some(worker) = task.placed_on() {
                *play.seen.entry(worker.id.clone()).or_default() += 1;
            }
        }
        let candidates = sim.scheduler.candidates(sim.now_us, "press");
        play.max_slow = play.max_slow.max(candidates.iter().filter(|worker| worker.is_slow).count());
    }
    assert_eq!(sim.violations, []);
    play
}

#[test]
fn slow_worker_gets_work_last() {
    let alike = play(5, &[]);
    let busy: Vec<&Arc<str>> = alike.seen.keys().filter(|worker| alike.seen_on(worker) >= 200).take(3).collect();
    assert_eq!(busy.len(), 3, "workers that have much work otherwise: {alike:?}");

    for worker in busy {
        let with_slow = play(5, &[worker]);

        assert!(with_slow.seen_on(worker) * 3 <= alike.seen_on(worker), "{worker}: {with_slow:?} and {alike:?}");
    }
}

#[test]
fn no_worker_is_set_aside_when_all_are_alike() {
    // The mark is all by which the speed of a worker changes its placement.
    for seed in 0..10 {
        assert_eq!(play(seed, &[]).max_slow, 0, "seed {seed}");
    }
}

#[test]
fn at_most_a_fifth_of_the_workers_is_set_aside() {
    let play = play(5, &["w0", "w1", "w2", "w3", "w4"]);

    assert_eq!(play.max_slow, 2, "of 12 workers: {play:?}");
}
