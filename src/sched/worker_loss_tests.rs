//! Tests of tasks that crash their workers, and of tasks that are lost with workers for other reasons.

use super::model::{JobPhase, JobSpec, TaskRef};
use super::sim::{spec, step, Faults, NextWorkerId, Sim};

/// Time until the host of a crashed worker has a new one.
const DOWN_MS: u64 = 3_200;
const CRASHING_JOB: &str = "crashing";

fn task_of(job: &str, index: u32) -> TaskRef {
    TaskRef { job: job.into(), occurrence: 0, step: 0, index }
}

fn three_tasks() -> JobSpec {
    spec(vec![step(3, &[])])
}

/// A job of three tasks, of which the first crashes its workers, among others that crash none.
fn sim_with_crashing_task(seed: u64, faults: Faults, next_id: NextWorkerId, down_ms: u64) -> Sim {
    let mut sim = Sim::new(seed, 8, faults);
    sim.add_crashing_task(task_of(CRASHING_JOB, 0), next_id, down_ms);
    for number in 0..4 {
        sim.submit(&format!("before-{number}"), three_tasks());
        sim.run_for(100);
    }
    sim.submit(CRASHING_JOB, three_tasks());
    for number in 0..40 {
        sim.submit(&format!("after-{number}"), three_tasks());
        sim.run_for(300);
    }
    sim
}

fn phase(sim: &Sim, job: &str) -> JobPhase {
    sim.scheduler.jobs[job].phase
}

/// Checks that the crashing job is given up and all others complete.
fn assert_only_crashing_job_fails(sim: &Sim, seed: u64) {
    assert_eq!(sim.violations, [], "seed {seed}");
    for id in sim.specs.keys() {
        let expected = if &**id == CRASHING_JOB { JobPhase::Failed } else { JobPhase::Completed };
        assert_eq!(phase(sim, id), expected, "seed {seed}: {id}");
    }
}

#[test]
fn task_that_crashes_its_workers_is_given_up() {
    for seed in 0..8 {
        let mut sim = sim_with_crashing_task(seed, Faults::default(), NextWorkerId::New, DOWN_MS);
        sim.run_until_jobs_final(60_000);

        assert_only_crashing_job_fails(&sim, seed);
    }
}

#[test]
fn crashes_of_a_worker_that_keeps_its_id_are_counted() {
    for seed in 0..8 {
        let mut sim = sim_with_crashing_task(seed, Faults::default(), NextWorkerId::Same, DOWN_MS);
        sim.run_until_jobs_final(60_000);

        assert_only_crashing_job_fails(&sim, seed);
    }
}

#[test]
fn crashes_are_counted_across_takeovers() {
    let faults = Faults { failovers_per_s: 0.4, ..Faults::default() };
    for seed in 0..16 {
        let mut sim = sim_with_crashing_task(seed, faults, NextWorkerId::New, DOWN_MS);
        sim.run_for(30_000);
        sim.run_until_jobs_final(60_000);

        assert_only_crashing_job_fails(&sim, seed);
    }
}

#[test]
fn task_that_has_crashed_a_worker_takes_no_other_tasks_along() {
    for seed in 0..8 {
        let mut sim = sim_with_crashing_task(seed, Faults::default(), NextWorkerId::New, DOWN_MS);
        sim.run_until_jobs_final(60_000);

        let others_lost = sim.others_lost();
        assert!(others_lost[1..].iter().all(|lost| *lost == 0), "seed {seed}: {others_lost:?}");
    }
}
