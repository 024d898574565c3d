//! Tests that no task runs twice at the same time when workers restart under their IDs and stops take a while.

use std::sync::Arc;

use super::action::Action;
use super::leader_fixtures::{entry_in, leader_with_workers, long_step, run, task, SECOND_US};
use super::model::{ActiveRun, HoldAnswer, JobPhase, OrderOutcome, Step, TaskRef, WorkerEntry};
use super::scheduler::Scheduler;
use super::sim::{catalog, settings, spec, step, ClockSteps, Faults, HoldEnd, Sim, StopListing};

const JOB: &str = "job";
/// Run time of the tasks of most tests: longer than a worker waits before it answers a hold request.
const RUN_US: u64 = 3_000_000;
/// Seeds of the play with all faults together, unless the environment variable `DUPLICATE_RUN_SEEDS` names a number.
const COMBINED_SEEDS: u64 = 300;

const LISTINGS: [StopListing; 3] = [StopListing::Listed, StopListing::NotListed, StopListing::ByWorker];

/// A simulation whose workers report a restart to the registry after `heartbeat_ms`.
fn sim_with_heartbeat(seed: u64, worker_count: usize, heartbeat_ms: u64) -> Sim {
    let mut sim = Sim::new(seed, worker_count, Faults::default());
    sim.restarts.heartbeat_ms = heartbeat_ms..=heartbeat_ms;
    sim.run_duration_us = RUN_US;
    sim.run_for(1_000);
    sim
}

fn only_task(job: &str) -> TaskRef {
    TaskRef { job: job.into(), occurrence: 0, step: 0, index: 0 }
}

/// Number of the worker on which the first task of a job is placed.
fn worker_number(sim: &Sim, job: &str) -> usize {
    let worker = task(&sim.scheduler, job).placed_on().expect("the task is placed");
    worker.id[1..].parse().expect("a worker of the simulation")
}

fn assert_completed(sim: &Sim, context: &str) {
    assert_eq!(sim.violations, [], "{context}");
    assert_eq!(sim.phase(&JOB.into()), Some(JobPhase::Completed), "{context}");
}

// Guards against a run of an idle worker's new incarnation that counts as lost once a hold answer tells of the restart.
#[test]
fn run_that_a_restarted_worker_accepted_is_not_started_again_when_its_hold_answer_tells_of_the_restart() {
    for seed in 0..8 {
        let mut sim = sim_with_heartbeat(seed, 4, 1_500);

        for number in 0..4 {
            sim.crash(number);
        }
        sim.submit(JOB, spec(vec![step(1, &[])]));
        sim.run_for(9_000);

        assert_completed(&sim, &format!("seed {seed}"));
    }
}

// Guards against a job that fails for crashes which its workers had before its runs started there.
#[test]
fn crash_of_a_worker_before_a_run_started_there_does_not_count_against_its_task() {
    for seed in 0..8 {
        let mut sim = sim_with_heartbeat(seed, 4, 1_500);

        for number in 0..4 {
            sim.crash(number);
        }
        sim.submit(JOB, spec(vec![step(1, &[])]));
        sim.run_for(2_000);

        let losses = &task(&sim.scheduler, JOB).losses;
        assert_eq!((sim.crash_count(&only_task(JOB)), losses.len()), (0, 0), "seed {seed}: {losses:?}");
    }
}

/// A simulation of two workers, of which the first returned one is busy and has restarted without the leader's knowledge,
/// and has then accepted the only task of a job. The other one is idle.
fn sim_with_run_on_restarted_worker(seed: u64, uptime_ms: u64, run_us: u64) -> (Sim, usize) {
    let mut sim = sim_with_heartbeat(seed, 2, 400);
    sim.task_run_us.insert(only_task(JOB), run_us);
    sim.run_for(uptime_ms);
    sim.restarts.hold_end = HoldEnd::Timeout;
    sim.submit("busy", spec(vec![long_step(1, 9_000)]));
    sim.run_for(1_000);
    let busy = worker_number(&sim, "busy");
    sim.resize_worker(1 - busy, 0);
    sim.run_for(300);
    sim.crash(busy);
    sim.submit(JOB, spec(vec![step(1, &[])]));
    sim.run_for(150);
    assert_eq!(worker_number(&sim, JOB), busy, "seed {seed}: the task is placed on the restarted worker");
    sim.resize_worker(1 - busy, 8_000);
    (sim, busy)
}

// Guards against the same loss when the registry tells of the restart first, while a hold request is in flight.
#[test]
fn run_that_a_restarted_worker_accepted_is_not_started_again_when_the_registry_tells_of_the_restart() {
    for seed in 0..8 {
        let (mut sim, _) = sim_with_run_on_restarted_worker(seed, 0, RUN_US);

        sim.run_for(9_000);

        assert_completed(&sim, &format!("seed {seed}"));
    }
}

// Guards against a lease that the former incarnation's clock makes longer on a new incarnation that is then cut off.
#[test]
fn run_on_a_restarted_worker_that_is_cut_off_is_not_started_again_before_its_lease_has_expired() {
    for seed in 0..8 {
        let (mut sim, busy) = sim_with_run_on_restarted_worker(seed, 10_000, 60 * SECOND_US);

        sim.partition(busy, 30_000);
        sim.run_for(40_000);

        assert_eq!(sim.violations, [], "seed {seed}");
        assert!(task(&sim.scheduler, JOB).run > 1, "seed {seed}: the task has started again");
    }
}

// Guards against the release of a run whose worker no longer lists it, but has not ended it yet.
#[test]
fn stopped_run_that_its_worker_no_longer_lists_is_not_replaced_before_its_end_is_listed() {
    for listing in [StopListing::Listed, StopListing::NotListed] {
        for seed in 0..32 {
            let mut sim = Sim::new(seed, 2, Faults::default());
            sim.stop_listing = listing;
            sim.run_time_spread = 0.9;
            sim.submit(JOB, spec(vec![long_step(1, 2_000)]));
            for number in 0..40 {
                sim.submit(&format!("small-{number}"), spec(vec![step(4, &[])]));
                sim.run_for(50);
            }

            let number = worker_number(&sim, JOB);
            sim.drain_worker(number);
            sim.run_for(3_000);

            assert_eq!(sim.violations, [], "{listing:?}, seed {seed}");
            assert_ne!(worker_number(&sim, JOB), number, "{listing:?}, seed {seed}: the task has moved");
        }
    }
}

// Guards against a new leader that takes a run to have ended because its worker does not list it while it stops.
#[test]
fn run_that_a_former_leader_stopped_is_not_started_again_while_it_stops() {
    for seed in 0..16 {
        let mut sim = Sim::new(seed, 4, Faults::default());
        sim.stop_listing = StopListing::NotListed;
        sim.submit(JOB, spec(vec![long_step(1, 2_000)]));
        sim.run_for(2_000);

        let number = worker_number(&sim, JOB);
        sim.drain_worker(number);
        while sim.stop_times.pending_count() == 0 {
            sim.run_for(5);
        }
        sim.run_for(10);
        sim.stop_leader(5);
        sim.run_for(6_000);

        assert_eq!(sim.violations, [], "seed {seed}");
    }
}

// Guards against a restored run that a restarted worker has accepted and that is started again after a takeover.
#[test]
fn restored_run_on_a_restarted_worker_is_not_started_twice() {
    for (seed, heartbeat_ms) in (0..16).zip([0, 300, 1_000, 1_500].into_iter().cycle()) {
        let mut sim = sim_with_heartbeat(seed, 4, heartbeat_ms);
        sim.stop_listing = if seed < 8 { StopListing::Listed } else { StopListing::NotListed };

        for number in 0..4 {
            sim.crash(number);
        }
        sim.submit(JOB, spec(vec![step(1, &[])]));
        sim.run_for(30);
        sim.stop_leader(seed % 5 * 100);
        sim.run_for(16_000);

        assert_completed(&sim, &format!("seed {seed}"));
    }
}

// Guards against a start while another worker still lists a run that no state stands behind.
#[test]
fn task_does_not_start_while_a_worker_lists_an_unexpected_run_of_it() {
    let mut leader = leader_with_workers(4);
    let now_us = 10 * SECOND_US;
    leader.submit(now_us, 10_000, JOB.into(), spec(vec![step(1, &[])]));
    let active = ActiveRun { task: only_task(JOB), run: 1, checkpoint: "".into(), percent: 0, load: None };
    let answer = HoldAnswer {
        clock_ms: 30_000,
        started_unix_ms: Some(1),
        is_complete: true,
        running: vec![active],
        ended: Vec::new(),
    };
    let worker: Arc<str> = "w0".into();

    leader.on_hold_answer(now_us, now_us, &worker, &answer);
    let mut starts = Vec::new();
    for elapsed_ms in (0..200).step_by(20) {
        let tick_us = now_us + elapsed_ms * 1_000;
        leader.tick(tick_us, tick_us / 1_000);
        let batch = leader.take_batch(tick_us);
        leader.batch_committed(tick_us, tick_us, &batch);
        for action in leader.take_actions() {
            match action {
                Action::Start(start) => starts.push(start),
                Action::Stop { worker, task, run } => {
                    leader.on_stop_outcome(tick_us, &worker, &task, run, &OrderOutcome::Accepted { clock_ms: None });
                }
                _ => {}
            }
        }
    }
    let starts_before = starts.len();
    let answer = HoldAnswer { running: Vec::new(), ..answer };
    leader.on_hold_answer(now_us + SECOND_US, now_us + SECOND_US, &worker, &answer);
    run(&mut leader, now_us + SECOND_US, 1_000);

    assert_eq!(starts_before, 0, "started while w0 lists run 1: {starts:?}");
    assert!(task(&leader, JOB).placed_on().is_some(), "the task is placed once the worker lists the run no more");
}

// Guards against a restart that is taken for a stale message because the worker's time of day was stepped back.
#[test]
fn restart_of_a_worker_whose_time_of_day_was_stepped_back_neither_repeats_nor_blocks_its_tasks() {
    for (seed, hold_end) in (0..8).zip([HoldEnd::ConnectionReset, HoldEnd::Timeout].into_iter().cycle()) {
        let mut sim = sim_with_heartbeat(seed, 2, 500);
        sim.restarts.hold_end = hold_end;
        sim.restarts.clock_steps = ClockSteps::Back;
        sim.submit(JOB, spec(vec![step(6, &[])]));
        sim.run_for(1_000);

        sim.crash(0);
        sim.crash(1);
        sim.submit("next", spec(vec![step(6, &[])]));
        sim.run_for(25_000);

        assert_completed(&sim, &format!("seed {seed}"));
        assert_eq!(sim.phase(&"next".into()), Some(JobPhase::Completed), "seed {seed}");
    }
}

// Guards against a new worker that counts as replaced by its predecessor because its time of day is behind.
#[test]
fn worker_whose_time_of_day_is_behind_its_predecessors_keeps_its_tasks_when_a_hold_request_fails() {
    let mut leader = leader_with_workers(1);
    let now_us = 10 * SECOND_US;
    let next: Arc<str> = "w0-next".into();
    let answer = HoldAnswer {
        clock_ms: 500,
        started_unix_ms: Some(0),
        is_complete: true,
        running: Vec::new(),
        ended: Vec::new(),
    };
    leader.on_hold_failure(now_us, &"w0".into(), &OrderOutcome::Unanswered);
    leader.worker_listed(now_us, WorkerEntry { id: next.clone(), started_unix_ms: 0, ..entry_in("press", 0) });
    leader.on_hold_answer(now_us, now_us, &next, &answer);
    leader.submit(now_us, 10_000, JOB.into(), spec(vec![step(1, &[])]));
    leader.tick(now_us, 10_000);
    let batch = leader.take_batch(now_us);
    leader.batch_committed(now_us, now_us, &batch);
    leader.tick(now_us + 20_000, 10_020);
    for action in leader.take_actions() {
        let Action::Start(start) = action else { continue };
        leader.on_start_outcome(now_us + 30_000, &start, &OrderOutcome::Accepted { clock_ms: None });
    }
    assert_eq!(leader.workers[&next].tasks.len(), 1, "the task runs on the new worker");

    leader.on_hold_failure(now_us + SECOND_US, &next, &OrderOutcome::Unanswered);
    leader.tick(now_us + SECOND_US + 150_000, 11_150);

    assert_eq!(leader.workers[&next].tasks.len(), 1, "the worker may still run the task");
}

// Guards against a new leader that takes the later of two workers on a host for the earlier one, and its tasks for lost.
#[test]
fn run_on_a_silent_worker_whose_time_of_day_is_behind_its_predecessors_is_kept_after_a_takeover() {
    let next = WorkerEntry { id: "v0".into(), started_unix_ms: 0, ..entry_in("press", 0) };
    let answer = HoldAnswer {
        clock_ms: 500,
        started_unix_ms: Some(0),
        is_complete: true,
        running: Vec::new(),
        ended: Vec::new(),
    };
    let mut former = Scheduler::new(0, settings());
    former.configure(catalog());
    former.worker_listed(0, next.clone());
    former.on_hold_answer(0, 0, &next.id, &answer);
    former.submit(0, 0, JOB.into(), spec(vec![step(1, &[])]));
    former.tick(SECOND_US, 1_000);
    let batch = former.take_batch(SECOND_US);
    let now_us = 20 * SECOND_US;
    let mut leader = Scheduler::new(now_us, settings());
    leader.configure(catalog());
    leader.replace_registry(now_us, vec![next.clone(), entry_in("press", 0), entry_in("press", 1)]);
    let record = batch.records.first().map(|(_, record)| record.as_slice());
    leader.restore(now_us, 20_000, JOB.into(), spec(vec![step(1, &[])]), record).expect("the record is valid");

    leader.on_hold_failure(now_us, &next.id, &OrderOutcome::Unanswered);
    leader.tick(now_us + 150_000, 20_150);

    let placed = task(&leader, JOB).placed_on().map(|worker| worker.id.clone());
    assert_eq!(placed, Some(next.id), "the worker may still run the task");
}

/// Steps of all kinds whose runs are stopped for some reason, gangs and steps with copies among them.
fn mixed_steps(number: u32) -> Vec<Step> {
    match number % 3 {
        0 => vec![Step { gang: true, ..step(3, &[]) }],
        1 => vec![Step { speculative: true, ..step(4, &[]) }, step(2, &[0])],
        _ => vec![step(4, &[]), step(2, &[0])],
    }
}

/// Plays jobs with faults, then lets all jobs end without faults.
fn play(seed: u64, faults: Faults, listing: StopListing, clock_steps: ClockSteps) -> Sim {
    let mut sim = Sim::new(seed, 6, faults);
    sim.stop_listing = listing;
    sim.restarts.clock_steps = clock_steps;
    sim.run_time_spread = 0.9;
    sim.run_duration_us = if seed % 2 == 0 { 500_000 } else { 1_500_000 };
    let long_running = sim.submit("long-running", spec(vec![long_step(2, 2_000)]));
    for number in 0..24 {
        let id = sim.submit(&format!("job-{number:02}"), spec(mixed_steps(number)));
        sim.run_for(300);
        if number % 8 == 4 {
            sim.cancel(&id);
            sim.drain_worker(5);
        }
    }
    sim.cancel(&long_running);
    sim.run_until_jobs_final(60_000);
    sim
}

fn assert_invariants_hold(seed: u64, faults: Faults, listing: StopListing, clock_steps: ClockSteps) {
    let context = format!("seed {seed}, {listing:?}, {clock_steps:?}, {faults:?}");
    play(seed, faults, listing, clock_steps).assert_jobs_have_ended(&context);
}

// Guards against duplicate runs by restarts under the same ID alone.
#[test]
fn invariants_hold_with_restarts_under_the_same_id() {
    let faults = Faults { crashes_per_s: 1.0, ..Faults::default() };
    for seed in 0..60 {
        assert_invariants_hold(seed, faults, LISTINGS[seed as usize % 3], ClockSteps::None);
    }
}

// Guards against duplicate runs by slow stops alone, which unanswered orders, failures and cancellations cause.
#[test]
fn invariants_hold_with_slow_stops() {
    let faults = Faults { answer_loss_rate: 0.2, order_delay_rate: 0.1, run_failure_rate: 0.1, ..Faults::default() };
    for seed in 0..60 {
        assert_invariants_hold(seed, faults, LISTINGS[seed as usize % 3], ClockSteps::None);
    }
}

// Guards against duplicate runs by restarts of workers whose time of day was stepped.
#[test]
fn invariants_hold_with_restarts_and_clock_steps() {
    let faults = Faults { crashes_per_s: 0.7, ..Faults::default() };
    let steps = [ClockSteps::Back, ClockSteps::Ahead, ClockSteps::Mixed];
    for seed in 0..60 {
        assert_invariants_hold(seed, faults, StopListing::Listed, steps[seed as usize % 3]);
    }
}

// Guards against duplicate runs that only a combination of all faults brings about.
#[test]
fn invariants_hold_with_restarts_slow_stops_and_clock_steps_under_combined_faults() {
    let faults = Faults {
        answer_loss_rate: 0.05,
        order_delay_rate: 0.08,
        order_loss_rate: 0.03,
        run_failure_rate: 0.05,
        crashes_per_s: 0.5,
        partitions_per_s: 0.2,
        failovers_per_s: 0.1,
        commit_answer_loss_rate: 0.1,
        commit_delay_ms: 20,
        ..Faults::default()
    };
    let seeds = std::env::var("DUPLICATE_RUN_SEEDS").ok().and_then(|text| text.parse().ok());
    for seed in 0..seeds.unwrap_or(COMBINED_SEEDS) {
        assert_invariants_hold(seed, faults, LISTINGS[seed as usize % 3], ClockSteps::Mixed);
    }
}
