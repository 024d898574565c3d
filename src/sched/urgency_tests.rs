//! Tests of the order in which jobs get workers, by what callers get under load.

use std::collections::BTreeMap;

use super::model::{JobId, JobPhase};
use super::sim::{spec, step, Faults, Sim};

const WORKERS: usize = 6;
/// Jobs per second that keep all workers busy: each has seven tasks of 2 cores and 0.5 s, and a worker has 16 cores.
const CAPACITY_JOBS_PER_S: f64 = WORKERS as f64 * 16.0 / 7.0;
/// Time that callers allow: critical path 2 x 500 ms, stretch 2.0 and target latency 1 s.
const ALLOWED_MS: u64 = 3_000;
const STEP_MS: u64 = 10;

/// Submits jobs at a multiple of the capacity, and returns the share of them that completed in time.
fn share_completed_in_time(seed: u64, load: f64, seconds: u64) -> f64 {
    let mut sim = Sim::new(seed, WORKERS, Faults::default());
    sim.run_time_spread = 0.3;
    let mut deadlines_us: BTreeMap<JobId, u64> = BTreeMap::new();
    let (mut due_jobs, mut completed_in_time) = (0.0, 0);
    for step_number in 0..(seconds * 1_000 + ALLOWED_MS) / STEP_MS {
        if step_number * STEP_MS < seconds * 1_000 {
            due_jobs += load * CAPACITY_JOBS_PER_S * STEP_MS as f64 / 1_000.0;
        }
        while due_jobs >= 1.0 {
            due_jobs -= 1.0;
            let id = sim.submit(&format!("job-{:04}", sim.specs.len()), spec(vec![step(4, &[]), step(3, &[0])]));
            deadlines_us.insert(id, sim.now_us + ALLOWED_MS * 1_000);
        }
        sim.run_for(STEP_MS);
        deadlines_us.retain(|id, deadline_us| {
            let is_completed = sim.scheduler.jobs.get(id).is_some_and(|job| job.phase == JobPhase::Completed);
            completed_in_time += u32::from(is_completed && sim.now_us <= *deadline_us);
            !is_completed && sim.now_us <= *deadline_us
        });
    }
    assert_eq!(sim.violations, []);
    f64::from(completed_in_time) / sim.specs.len() as f64
}

#[test]
fn in_an_overload_nearly_as_many_jobs_complete_in_time_as_workers_can_run() {
    for (load, at_least) in [(0.7, 0.98), (1.5, 0.9 / 1.5), (3.0, 0.9 / 3.0)] {
        for seed in [1, 2] {
            let share = share_completed_in_time(seed, load, 8);

            assert!(share >= at_least, "load {load}, seed {seed}: {share}, at least {at_least}");
        }
    }
}
