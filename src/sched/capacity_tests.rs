//! Tests of workers whose capacity shrinks and grows while they run tasks.

use std::sync::Arc;

use super::model::JobPhase;
use super::sim::{spec, step, worker_entry, Faults, Sim};

const FULL_MILLI: u64 = 16_000;
const SHRUNK_MILLI: u64 = 3_000;

fn phase(sim: &Sim, job: &str) -> JobPhase {
    sim.scheduler.jobs[job].phase
}

fn reserved_milli(sim: &Sim, number: usize) -> u64 {
    let id: Arc<str> = worker_entry(number, 0).id;
    sim.scheduler.workers[&id].reserved.cpu_milli
}

/// Submits a job every 100 ms, and lets a worker shrink and grow by turns.
fn play_with_changing_capacity(seed: u64, faults: Faults) -> Sim {
    let mut sim = Sim::new(seed, 3, faults);
    for number in 0..60 {
        sim.submit(&format!("job-{number:02}"), spec(vec![step(4, &[])]));
        match number % 8 {
            2 => sim.resize_worker(number % 3, SHRUNK_MILLI),
            6 => sim.resize_worker((number - 4) % 3, FULL_MILLI),
            _ => {}
        }
        sim.run_for(100);
    }
    for number in 0..3 {
        sim.resize_worker(number, FULL_MILLI);
    }
    sim.run_until_jobs_final(60_000);
    sim
}

#[test]
fn no_start_exceeds_a_capacity_that_has_shrunk() {
    let cases = [
        Faults::default(),
        Faults { commit_delay_ms: 200, ..Faults::default() },
        Faults { commit_delay_ms: 400, answer_loss_rate: 0.2, ..Faults::default() },
        Faults { commit_delay_ms: 200, failovers_per_s: 0.3, ..Faults::default() },
    ];

    for faults in cases {
        for seed in 0..12 {
            let sim = play_with_changing_capacity(seed, faults);

            sim.assert_jobs_have_ended(&format!("seed {seed}, {faults:?}"));
        }
    }
}

#[test]
fn runs_stay_on_a_worker_that_shrinks_below_them() {
    let mut sim = Sim::new(1, 1, Faults::default());
    sim.run_duration_us = 3_000_000;
    sim.submit("job", spec(vec![step(6, &[])]));
    sim.run_for(1_000);

    sim.resize_worker(0, SHRUNK_MILLI);
    sim.run_for(4_000);

    assert_eq!((phase(&sim, "job"), sim.start_count), (JobPhase::Completed, 6));
}

#[test]
fn task_larger_than_a_shrunk_worker_waits_until_it_grows() {
    let mut sim = Sim::new(1, 1, Faults::default());
    sim.run_for(500);
    sim.resize_worker(0, 1_000);
    sim.run_for(500);

    sim.submit("job", spec(vec![step(1, &[])]));
    sim.run_for(5_000);
    let while_shrunk = phase(&sim, "job");
    sim.resize_worker(0, FULL_MILLI);
    sim.run_for(2_000);

    assert_eq!(while_shrunk, JobPhase::Queued);
    assert_eq!(phase(&sim, "job"), JobPhase::Completed);
}

#[test]
fn capacity_that_has_grown_again_is_used() {
    let mut sim = Sim::new(1, 1, Faults::default());
    sim.run_duration_us = 10_000_000;
    sim.resize_worker(0, SHRUNK_MILLI);
    sim.run_for(500);
    sim.submit("job", spec(vec![step(8, &[])]));
    sim.run_for(1_000);
    let while_shrunk = reserved_milli(&sim, 0);

    sim.resize_worker(0, FULL_MILLI);
    sim.run_for(1_000);

    assert_eq!((while_shrunk, reserved_milli(&sim, 0)), (2_000, FULL_MILLI));
}
