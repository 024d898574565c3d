//! Tests that no task runs twice when workers restart under their IDs and are cut off soon after, while calls that were meant
//! for their former incarnations are carried out by the new ones.

use super::leader_fixtures::SECOND_US;
use super::model::TaskRef;
use super::sim::{spec, step, Faults, Sim};

const WORKERS: usize = 6;
/// Times from the restart of the workers until they are cut off.
const CUT_AFTER_MS: [u64; 5] = [40, 200, 500, 1_000, 2_000];
const CUT_MS: u64 = 12_000;
const LATE_CALLS: Faults = Faults { order_delay_rate: 0.3, hold_delay_rate: 0.3, ..Faults::NONE };
/// Longer than the longest lease.
const RUN_US: u64 = 12 * SECOND_US;

/// Whether the leader changes between the restart of workers and the cut.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Takeovers {
    None,
    BetweenRestartAndCut,
}

/// From what workers are cut off.
#[derive(Debug, Clone, Copy, PartialEq)]
enum CutOff {
    Leader,
    /// The entry of a worker expires then, and does not tell of a restart.
    LeaderAndStore,
}

/// A simulation of workers that receive late calls which were meant for their former incarnations.
fn sim_of_late_calls(seed: u64, cut_off: CutOff) -> Sim {
    let mut sim = Sim::new(seed, WORKERS, Faults::default());
    sim.restarts.receives_delayed_calls = true;
    sim.restarts.max_clock_start_ms = if seed % 2 == 0 { 0 } else { 6_000_000 };
    sim.restarts.heartbeat_ms = 200..=1_500;
    sim.registry.is_cut_by_partitions = cut_off == CutOff::LeaderAndStore;
    sim.stragglers.report_progress = true;
    sim.run_for(6_000);
    sim
}

/// Workers that restart and are cut off soon after, again and again, while long and short tasks run. A share of the orders
/// and hold requests is carried out late, also by a later incarnation than the one that they were meant for.
fn sim_of_restarts_and_cuts(seed: u64, takeovers: Takeovers, cut_off: CutOff) -> Sim {
    let cut_after_ms = CUT_AFTER_MS[seed as usize % CUT_AFTER_MS.len()];
    let mut sim = sim_of_late_calls(seed, cut_off);
    for round in 0..3 {
        submit_jobs(&mut sim, round, 10);
        sim.set_faults(LATE_CALLS);
        for number in 0..WORKERS / 2 {
            sim.partition(number, 600);
        }
        sim.run_for(600);
        for number in 0..WORKERS / 2 {
            sim.crash(number);
        }
        for part in 0..4 {
            submit_jobs(&mut sim, round * 10 + part + 1, 4);
            sim.run_for(cut_after_ms / 4);
            if part == 1 && takeovers == Takeovers::BetweenRestartAndCut {
                sim.stop_leader(100 + seed % 3 * 500);
            }
        }
        for number in 0..WORKERS / 2 {
            sim.partition(number, CUT_MS);
        }
        sim.run_for(1_000);
        sim.set_faults(Faults::default());
        sim.run_for(CUT_MS);
    }
    sim.run_until_jobs_final(120_000);
    sim
}

/// Submits long and short jobs, as many of each.
fn submit_jobs(sim: &mut Sim, batch: usize, count: usize) {
    for number in 0..count {
        let id = format!("job-{batch:03}-{number:02}-{}", sim.specs.len());
        let job = sim.submit(&id, spec(vec![step(2, &[])]));
        if number % 2 == 0 {
            for index in 0..2 {
                let task = TaskRef { job: job.clone(), occurrence: 0, step: 0, index };
                sim.task_run_us.insert(task, RUN_US);
            }
        }
    }
}

/// Workers that restart after start orders to them got no answer, and while these may still be carried out; on some seeds
/// they are cut off soon after.
fn sim_of_restarts_after_late_orders(seed: u64, takeovers: Takeovers) -> Sim {
    let mut sim = sim_of_late_calls(seed, CutOff::LeaderAndStore);
    for round in 0..3 {
        sim.set_faults(LATE_CALLS);
        for part in 0..8 {
            submit_jobs(&mut sim, round * 10 + part + 1, 4);
            sim.run_for(500);
        }
        sim.set_faults(Faults::default());
        sim.run_for(500 + seed % 4 * 1_000);
        for number in 0..WORKERS / 2 {
            sim.crash(number);
        }
        if takeovers == Takeovers::BetweenRestartAndCut {
            sim.stop_leader(100 + seed % 3 * 500);
        }
        if seed % 3 == 0 {
            sim.run_for(CUT_AFTER_MS[seed as usize % CUT_AFTER_MS.len()]);
            for number in 0..WORKERS / 2 {
                sim.partition(number, CUT_MS);
            }
        }
        sim.run_for(CUT_MS);
    }
    sim.run_until_jobs_final(120_000);
    sim
}

/// Plays the simulation with each seed, and fails with the first violation of each one that has any.
fn assert_nothing_runs_twice(play: impl Fn(u64) -> Sim) {
    let mut broken = Vec::new();
    for seed in 0..seed_count() {
        let sim = play(seed);

        broken.extend(sim.violations.first().map(|violation| (seed, violation.clone())));
    }
    assert_eq!(broken, []);
}

/// Number of seeds of each test, unless the environment variable `RECUT_SEEDS` names one.
fn seed_count() -> u64 {
    const SEEDS: u64 = 110;
    std::env::var("RECUT_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

/// Guards against tasks that start again while an incarnation runs them that took a call of its former life, and with it a
/// lease which the leader does not know of.
#[test]
fn no_task_runs_twice_when_restarted_workers_are_cut_off() {
    assert_nothing_runs_twice(|seed| sim_of_restarts_and_cuts(seed, Takeovers::None, CutOff::Leader));
}

/// The same for a leader that takes over when the workers have restarted, and did not know their former incarnations.
#[test]
fn no_task_runs_twice_when_a_leader_takes_over_before_restarted_workers_are_cut_off() {
    let takeovers = Takeovers::BetweenRestartAndCut;
    assert_nothing_runs_twice(|seed| sim_of_restarts_and_cuts(seed, takeovers, CutOff::Leader));
}

/// Guards against trust in a registry that cannot show restarts: the workers are cut off before they register again.
#[test]
fn no_task_runs_twice_when_cut_off_workers_cannot_register_again() {
    assert_nothing_runs_twice(|seed| sim_of_restarts_and_cuts(seed, Takeovers::None, CutOff::LeaderAndStore));
}

/// The same for a leader that takes over, and counted the runs of the record as those of the registered incarnation.
#[test]
fn no_task_runs_twice_when_a_new_leader_cannot_learn_of_restarts() {
    let takeovers = Takeovers::BetweenRestartAndCut;
    assert_nothing_runs_twice(|seed| sim_of_restarts_and_cuts(seed, takeovers, CutOff::LeaderAndStore));
}

/// Guards against unanswered start orders that are forgotten once the worker has stopped the run, and reach its next
/// incarnation.
#[test]
fn no_task_runs_twice_when_workers_restart_after_their_start_orders_got_no_answer() {
    assert_nothing_runs_twice(|seed| sim_of_restarts_after_late_orders(seed, Takeovers::None));
}

/// The same for the orders of a former leader.
#[test]
fn no_task_runs_twice_when_late_start_orders_of_a_former_leader_reach_restarted_workers() {
    assert_nothing_runs_twice(|seed| sim_of_restarts_after_late_orders(seed, Takeovers::BetweenRestartAndCut));
}
