//! Tests that a task is not started again before its former run is over.

use super::action::{Action, StartRun};
use super::incarnation_fixtures::{
    answer, answer_of, answer_raised_fence, decide, leader_with_workers, only_task, start_task, starts_in, worker,
    FORMER_START_UNIX_MS, JOB, LATER_START_UNIX_MS,
};
use super::job::RunPhase;
use super::leader_fixtures::{long_step, task, SECOND_US};
use super::model::{EndedRun, HoldAnswer, OrderOutcome, OrderRefusal, RunOutcome, Step};
use super::scheduler::Scheduler;

use super::sim::{catalog, settings, spec, step, worker_entry};
use crate::clock::US_PER_MS;

fn is_stop(action: &Action) -> bool {
    matches!(action, Action::Stop { .. })
}

fn accept(leader: &mut Scheduler, now_us: u64, start: &StartRun) {
    leader.on_start_outcome(now_us, start, &OrderOutcome::Accepted { clock_ms: Some(1) });
}

fn acknowledge_stops(leader: &mut Scheduler, now_us: u64, actions: &[Action]) {
    for action in actions {
        if let Action::Stop { worker, task, run } = action {
            leader.on_stop_outcome(now_us, worker, task, *run, &OrderOutcome::Accepted { clock_ms: None });
        }
    }
}

/// Lists the end of the run on the worker `w0`.
fn list_stopped(leader: &mut Scheduler, now_us: u64, started_unix_ms: u64, run: u32) {
    let ended = EndedRun { number: 1, task: only_task(), run, outcome: RunOutcome::Stopped, checkpoint: "".into() };
    let answer = HoldAnswer { ended: vec![ended], ..answer_of(started_unix_ms, now_us, &[]) };
    leader.on_hold_answer(now_us, now_us, &worker(0), &answer);
}

#[test]
fn run_that_a_restarted_worker_has_accepted_goes_on_when_its_answer_tells_of_the_restart() {
    let mut leader = leader_with_workers(1);
    let start = start_task(&mut leader, spec(vec![step(1, &[])]));
    accept(&mut leader, SECOND_US + 2 * US_PER_MS, &start);

    let listed = answer_of(LATER_START_UNIX_MS, 2 * SECOND_US, &[1]);
    leader.on_hold_answer(2 * SECOND_US, SECOND_US + US_PER_MS, &worker(0), &listed);
    let actions = decide(&mut leader, 2 * SECOND_US);

    assert_eq!(starts_in(&actions), []);
    assert!(!actions.iter().any(is_stop), "{actions:?}");
    let placed = task(&leader, JOB).run_on("w0").expect("the run is still placed");
    assert_eq!(placed.worker.started_unix_ms, LATER_START_UNIX_MS);
    assert!(matches!(placed.phase, RunPhase::Running { .. }));
}

#[test]
fn run_that_a_restarted_worker_has_accepted_is_not_started_elsewhere_when_the_registry_tells_of_the_restart() {
    let mut leader = leader_with_workers(2);
    let start = start_task(&mut leader, spec(vec![step(1, &[])]));
    accept(&mut leader, SECOND_US + 2 * US_PER_MS, &start);

    leader.worker_listed(SECOND_US + 100 * US_PER_MS, worker_entry(0, LATER_START_UNIX_MS));
    answer(&mut leader, SECOND_US + 150 * US_PER_MS, 1, &[]);
    let actions = decide(&mut leader, SECOND_US + 200 * US_PER_MS);

    assert_eq!(starts_in(&actions), []);
}

/// Numbers of starts after the worker's first answer as another incarnation, and after its answer to a call with the raised
/// fencing token.
fn starts_around_raised_fence(leader: &mut Scheduler, restarted: &HoldAnswer) -> (usize, usize) {
    leader.on_hold_answer(2 * SECOND_US, 2 * SECOND_US - US_PER_MS, &worker(0), restarted);
    let before = decide(leader, 2 * SECOND_US);
    answer_raised_fence(leader, 2 * SECOND_US + US_PER_MS, 0, restarted);
    let after = decide(leader, 2 * SECOND_US + 100 * US_PER_MS);
    (starts_in(&before).len(), starts_in(&after).len())
}

#[test]
fn run_lost_with_the_former_incarnation_is_started_again() {
    let mut leader = leader_with_workers(1);
    let start = start_task(&mut leader, spec(vec![step(1, &[])]));
    accept(&mut leader, SECOND_US + 2 * US_PER_MS, &start);
    answer(&mut leader, SECOND_US + 500 * US_PER_MS, 0, &[1]);

    let restarted = answer_of(LATER_START_UNIX_MS, 2 * SECOND_US, &[]);

    assert_eq!(
        starts_around_raised_fence(&mut leader, &restarted),
        (0, 1),
        "calls for the former incarnation may come"
    );
}

#[test]
fn restart_is_noticed_although_the_time_of_day_of_the_worker_was_set_back() {
    let mut leader = leader_with_workers(1);
    let start = start_task(&mut leader, spec(vec![step(1, &[])]));
    accept(&mut leader, SECOND_US + 2 * US_PER_MS, &start);
    answer(&mut leader, SECOND_US + 500 * US_PER_MS, 0, &[1]);

    let restarted = answer_of(FORMER_START_UNIX_MS - 3_000, 2 * SECOND_US, &[]);

    assert_eq!(
        starts_around_raised_fence(&mut leader, &restarted),
        (0, 1),
        "calls for the former incarnation may come"
    );
}

#[test]
fn run_that_is_not_listed_while_it_stops_is_not_started_again_before_the_stop_has_taken_effect() {
    let mut leader = leader_with_workers(2);
    let start = start_task(&mut leader, spec(vec![long_step(1, 1_000)]));
    accept(&mut leader, SECOND_US + 2 * US_PER_MS, &start);
    answer(&mut leader, SECOND_US + 500 * US_PER_MS, 0, &[1]);
    let mut draining = worker_entry(0, FORMER_START_UNIX_MS);
    draining.draining = true;
    leader.worker_listed(2 * SECOND_US, draining);
    let stops = leader.take_actions();
    acknowledge_stops(&mut leader, 2 * SECOND_US, &stops);

    let grace_us = settings().stop_grace_ms * US_PER_MS;
    let during_us = 2 * SECOND_US + grace_us / 2;
    for number in 0..2 {
        answer(&mut leader, during_us, number, &[]);
    }
    let during = decide(&mut leader, during_us);
    let after_us = 2 * SECOND_US + 2 * grace_us;
    for number in 0..2 {
        answer(&mut leader, after_us, number, &[]);
    }
    let after = decide(&mut leader, after_us);

    assert_eq!(starts_in(&during), []);
    assert_eq!(starts_in(&after).len(), 1);
}

#[test]
fn restored_run_that_a_former_leader_was_stopping_is_not_started_again_at_once() {
    let mut former = leader_with_workers(1);
    former.submit(SECOND_US, 0, JOB.into(), spec(vec![step(1, &[])]));
    former.tick(SECOND_US, 0);
    let record = former.take_batch(SECOND_US).records.remove(0).1;
    let mut leader = Scheduler::new(2 * SECOND_US, settings());
    leader.configure(catalog());
    let entries = (0..2).map(|number| worker_entry(number, FORMER_START_UNIX_MS)).collect();
    leader.replace_registry(2 * SECOND_US, entries);
    leader.restore(2 * SECOND_US, 0, JOB.into(), spec(vec![step(1, &[])]), Some(&record)).expect("the record is valid");

    let now_us = 2 * SECOND_US + 10 * US_PER_MS;
    for number in 0..2 {
        answer(&mut leader, now_us, number, &[]);
    }
    let actions = decide(&mut leader, now_us);

    assert_eq!(starts_in(&actions), []);
}

#[test]
fn task_is_not_started_while_a_worker_lists_a_run_of_it_that_was_taken_to_be_over() {
    let mut leader = leader_with_workers(2);
    leader.submit(SECOND_US, 0, JOB.into(), spec(vec![step(1, &[])]));

    answer(&mut leader, SECOND_US, 0, &[1]);
    let listed = decide(&mut leader, SECOND_US);
    acknowledge_stops(&mut leader, SECOND_US, &listed);
    answer(&mut leader, SECOND_US + 50 * US_PER_MS, 0, &[1]);
    let stopping = decide(&mut leader, SECOND_US + 200 * US_PER_MS);
    list_stopped(&mut leader, SECOND_US + 250 * US_PER_MS, FORMER_START_UNIX_MS, 1);
    let ended = decide(&mut leader, SECOND_US + 400 * US_PER_MS);

    assert!(listed.iter().any(is_stop));
    assert_eq!(starts_in(&listed), []);
    assert_eq!(starts_in(&stopping), []);
    let starts = starts_in(&ended);
    assert_eq!(starts.len(), 1);
    assert!(starts[0].run > 1);
}

#[test]
fn refusal_of_a_start_does_not_release_a_run_that_its_worker_has_listed() {
    let mut leader = leader_with_workers(2);
    let start = start_task(&mut leader, spec(vec![long_step(1, 1_000)]));
    answer(&mut leader, SECOND_US + 5 * US_PER_MS, 0, &[1]);
    let mut draining = worker_entry(0, FORMER_START_UNIX_MS);
    draining.draining = true;
    leader.worker_listed(SECOND_US + 6 * US_PER_MS, draining);

    let refused = OrderOutcome::Refused(OrderRefusal::Unhealthy);
    leader.on_start_outcome(SECOND_US + 8 * US_PER_MS, &start, &refused);
    answer(&mut leader, SECOND_US + 9 * US_PER_MS, 1, &[]);
    let actions = decide(&mut leader, SECOND_US + 200 * US_PER_MS);

    assert_eq!(starts_in(&actions), []);
}

// Guards against members of a gang that keep waiting for a lease, because the loss of the first one has them stopped.
#[test]
fn gang_that_is_lost_with_a_restarted_worker_starts_again_at_once() {
    let mut leader = leader_with_workers(4);
    leader.submit(SECOND_US, 0, JOB.into(), spec(vec![Step { gang: true, ..step(3, &[]) }]));
    for start in starts_in(&decide(&mut leader, SECOND_US)) {
        accept(&mut leader, SECOND_US + 2 * US_PER_MS, &start);
    }

    let restarted = answer_of(LATER_START_UNIX_MS, 2 * SECOND_US, &[]);
    leader.on_hold_answer(2 * SECOND_US, 2 * SECOND_US - US_PER_MS, &worker(0), &restarted);
    let stops = decide(&mut leader, 2 * SECOND_US);
    acknowledge_stops(&mut leader, 2 * SECOND_US, &stops);
    let later_us = 2 * SECOND_US + 2 * settings().stop_grace_ms * US_PER_MS;
    leader.on_hold_answer(later_us, later_us, &worker(0), &answer_of(LATER_START_UNIX_MS, later_us, &[]));
    // Suspects wait for workers of their own for a second.
    let mut starts = Vec::new();
    for elapsed_ms in (0..1_200).step_by(100) {
        let now_us = later_us + elapsed_ms * US_PER_MS;
        for number in 1..4 {
            answer(&mut leader, now_us, number, &[]);
        }
        starts.extend(starts_in(&decide(&mut leader, now_us)));
    }

    assert_eq!(starts.len(), 3);
}
