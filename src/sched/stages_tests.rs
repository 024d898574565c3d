//! Tests of the recorded durations of stages.

use std::sync::Arc;

use super::action::{Action, StartRun};
use super::leader_fixtures::{leader_with_workers, long_step, SECOND_US};
use super::model::{EndedRun, HoldAnswer, JobPhase, OrderOutcome, OrderRefusal, RunOutcome, Step};
use super::scheduler::Scheduler;
use super::sim::{spec, step, Faults, Sim};
use super::stages::Stage;

const MS: u64 = 1_000;
const START_US: u64 = 10 * SECOND_US;

/// A leader at [`START_US`] that has read a job of these steps 30 ms after its acceptance.
fn leader_with_job(steps: Vec<Step>) -> Scheduler {
    let mut leader = leader_with_workers(2);
    leader.passed_stages().for_each(drop);
    let mut spec = spec(steps);
    spec.accepted_unix_ms = 1_000_000;
    leader.submit(START_US, 1_000_030, "job".into(), spec);
    leader
}

/// Places the waiting tasks at `at_us`, commits them 20 ms later and returns the start orders, which are not sent yet.
fn place_and_commit(leader: &mut Scheduler, at_us: u64) -> Vec<StartRun> {
    leader.tick(at_us, 1_000_030);
    let batch = leader.take_batch(at_us);
    leader.batch_committed(at_us + 20 * MS, at_us, &batch);
    let starts = leader.take_actions().into_iter().filter_map(|action| match action {
        Action::Start(start) => Some(start),
        _ => None,
    });
    starts.collect()
}

fn answer_start(leader: &mut Scheduler, at_us: u64, start: &StartRun, outcome: &OrderOutcome) {
    assert!(leader.on_start_sent(at_us, start));
    leader.on_start_outcome(at_us + 7 * MS, start, outcome);
}

fn report_end(leader: &mut Scheduler, at_us: u64, start: &StartRun, number: u64, outcome: RunOutcome) {
    let ended = EndedRun { number, task: start.task.clone(), run: start.run, outcome, checkpoint: Arc::from("") };
    let answer = HoldAnswer {
        clock_ms: at_us / MS,
        started_unix_ms: None,
        is_complete: true,
        running: Vec::new(),
        ended: vec![ended],
    };
    leader.on_hold_answer(at_us, at_us, &start.worker, &answer);
}

fn passed(leader: &mut Scheduler) -> Vec<(Stage, u64)> {
    leader.passed_stages().collect()
}

#[test]
fn each_stage_of_a_task_lasts_from_the_event_before_it() {
    let mut leader = leader_with_job(vec![step(1, &[])]);

    let starts = place_and_commit(&mut leader, START_US + 100 * MS);
    answer_start(&mut leader, START_US + 125 * MS, &starts[0], &OrderOutcome::Accepted { clock_ms: None });
    report_end(&mut leader, START_US + 700 * MS, &starts[0], 1, RunOutcome::Done);
    let batch = leader.take_batch(START_US + 705 * MS);
    leader.batch_committed(START_US + 711 * MS, START_US + 705 * MS, &batch);

    let expected = [
        (Stage::Read, 30 * MS),
        (Stage::Placed, 100 * MS),
        (Stage::Committed, 20 * MS),
        (Stage::Ordered, 5 * MS),
        (Stage::Begun, 7 * MS),
        (Stage::Ended, 568 * MS),
        (Stage::Published, 11 * MS),
    ];
    assert_eq!(passed(&mut leader), expected);
}

#[test]
fn stages_of_a_task_that_is_placed_several_times_are_recorded_once() {
    let mut leader = leader_with_job(vec![step(1, &[])]);
    let accepted = OrderOutcome::Accepted { clock_ms: None };

    let refused = place_and_commit(&mut leader, START_US + 100 * MS);
    answer_start(
        &mut leader,
        START_US + 125 * MS,
        &refused[0],
        &OrderOutcome::Refused(OrderRefusal::InsufficientCapacity),
    );
    let failed = place_and_commit(&mut leader, START_US + 400 * MS);
    answer_start(&mut leader, START_US + 425 * MS, &failed[0], &accepted);
    report_end(&mut leader, START_US + 500 * MS, &failed[0], 1, RunOutcome::Failed);
    let done = place_and_commit(&mut leader, START_US + 900 * MS);
    answer_start(&mut leader, START_US + 925 * MS, &done[0], &accepted);
    report_end(&mut leader, START_US + 1_400 * MS, &done[0], 2, RunOutcome::Done);

    let expected = [
        (Stage::Read, 30 * MS),
        (Stage::Placed, 900 * MS),
        (Stage::Committed, 20 * MS),
        (Stage::Ordered, 5 * MS),
        (Stage::Begun, 7 * MS),
        (Stage::Ended, 468 * MS),
    ];
    assert_eq!(passed(&mut leader), expected, "the time of the earlier runs is part of the wait for the last one");
}

#[test]
fn every_task_of_a_simulated_job_is_recorded_once_also_if_runs_fail() {
    // Guards against a second record by a repeated report of an end or by a later run of a task.
    let faults = Faults { run_failure_rate: 0.2, answer_loss_rate: 0.1, order_loss_rate: 0.1, ..Faults::default() };
    for seed in 0..8 {
        let mut sim = Sim::new(seed, 4, faults);
        sim.submit("job", spec(vec![step(6, &[]), step(3, &[0])]));
        sim.run_until_jobs_final(60_000);
        sim.run_for(2_000);

        let stages: Vec<Stage> = sim.scheduler.passed_stages().map(|(stage, _)| stage).collect();
        let done = stages.iter().filter(|stage| **stage == Stage::Ended).count();
        let published = stages.iter().filter(|stage| **stage == Stage::Published).count();
        let is_completed = sim.scheduler.jobs["job"].phase == JobPhase::Completed;
        assert!(!is_completed || done == 9, "seed {seed}: {done} tasks recorded");
        assert!(done <= 9, "seed {seed}: {done} tasks recorded");
        assert_eq!(published, 1, "seed {seed}");
    }
}

#[test]
fn waiting_time_of_a_later_step_begins_when_the_step_before_it_has_completed() {
    let mut leader = leader_with_job(vec![step(1, &[]), step(1, &[0])]);
    let first = place_and_commit(&mut leader, START_US + 100 * MS);
    answer_start(&mut leader, START_US + 125 * MS, &first[0], &OrderOutcome::Accepted { clock_ms: None });
    report_end(&mut leader, START_US + 700 * MS, &first[0], 1, RunOutcome::Done);

    let second = place_and_commit(&mut leader, START_US + 740 * MS);
    answer_start(&mut leader, START_US + 760 * MS, &second[0], &OrderOutcome::Accepted { clock_ms: None });
    report_end(&mut leader, START_US + 1_300 * MS, &second[0], 2, RunOutcome::Done);

    let placed = passed(&mut leader).into_iter().filter(|(stage, _)| *stage == Stage::Placed);
    let placed_ms: Vec<u64> = placed.map(|(_, elapsed_us)| elapsed_us / MS).collect();
    assert_eq!(placed_ms, [100, 40]);
}

#[test]
fn long_running_task_is_recorded_when_its_first_run_begins() {
    let mut leader = leader_with_job(vec![long_step(1, 2_000)]);
    let accepted = OrderOutcome::Accepted { clock_ms: None };

    let first = place_and_commit(&mut leader, START_US + 100 * MS);
    answer_start(&mut leader, START_US + 125 * MS, &first[0], &accepted);
    report_end(&mut leader, START_US + 500 * MS, &first[0], 1, RunOutcome::Failed);
    let second = place_and_commit(&mut leader, START_US + 900 * MS);
    answer_start(&mut leader, START_US + 925 * MS, &second[0], &accepted);

    let stages: Vec<Stage> = passed(&mut leader).into_iter().map(|(stage, _)| stage).collect();
    assert_eq!(stages, [Stage::Read, Stage::Placed, Stage::Committed, Stage::Ordered, Stage::Begun]);
}

#[test]
fn durations_that_nobody_takes_are_bounded() {
    // Guards against growth without a limit while the leader does not take the durations.
    let mut leader = leader_with_job(Vec::new());

    for _ in 0..20_000 {
        leader.stage_log.record(Stage::Read, 1);
    }

    assert_eq!(passed(&mut leader).len(), 8_192);
}

#[test]
fn slowest_task_of_a_second_is_the_one_furthest_beyond_its_estimate() {
    // Guards against a report that always names the task with the longest run time.
    let mut long = step(1, &[]);
    long.estimate_ms = 5_000;
    let mut leader = leader_with_job(vec![step(1, &[]), long]);
    let starts = place_and_commit(&mut leader, START_US + 100 * MS);
    for start in &starts {
        answer_start(&mut leader, START_US + 125 * MS, start, &OrderOutcome::Accepted { clock_ms: None });
    }

    for (start, end_ms) in starts.iter().zip([1_500, 5_200]) {
        report_end(&mut leader, START_US + end_ms * MS, start, 1 + end_ms, RunOutcome::Done);
    }

    let slowest = leader.stage_log.slowest_task().expect("a task has completed");
    assert_eq!((slowest.step, starts.len()), (0, 2));
    leader.stage_log.report_slowest(START_US + 6_000 * MS);
    assert!(leader.stage_log.slowest_task().is_none(), "a task is reported once");
}
