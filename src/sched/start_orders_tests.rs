//! Tests of start orders that wait in a worker's queue while what justified them changes.

use std::sync::Arc;

use super::action::{Action, StartRun};
use super::incarnation_fixtures::{
    answer, answer_of, decide, leader_with_workers, only_task, worker, FORMER_START_UNIX_MS, JOB, LATER_START_UNIX_MS,
};
use super::model::{OrderOutcome, Resources, WorkerEntry};
use super::scheduler::Scheduler;
use super::sim::{spec, step, worker_entry, Faults, Sim};
use super::start_orders::StartObstacle;

const SECOND_US: u64 = 1_000_000;

/// A leader with two workers at 1 s, and the start order of the only task, which has not been sent yet.
fn leader_with_queued_start() -> (Scheduler, StartRun) {
    let mut leader = leader_with_workers(2);
    leader.submit(SECOND_US, 0, JOB.into(), spec(vec![step(1, &[])]));
    for number in 0..2 {
        answer(&mut leader, SECOND_US, number, &[]);
    }
    let start = decide(&mut leader, SECOND_US).into_iter().find_map(|action| match action {
        Action::Start(start) => Some(start),
        _ => None,
    });
    (leader, start.expect("the task is started"))
}

fn number_of(id: &Arc<str>) -> usize {
    id[1..].parse().expect("the number of a worker")
}

/// A change of what is known about a worker, by its ID, at a time.
type Change = fn(&mut Scheduler, u64, &Arc<str>);

/// Withdraws the order if the leader does not allow it to be sent, and returns the orders that follow.
fn send(leader: &mut Scheduler, now_us: u64, start: &StartRun) -> (bool, Vec<Action>) {
    let is_sent = leader.on_start_sent(now_us, start);
    if !is_sent {
        leader.on_start_outcome(now_us, start, &OrderOutcome::Withdrawn);
    }
    for number in 0..2 {
        answer(leader, now_us, number, &[]);
    }
    (is_sent, decide(leader, now_us))
}

#[test]
fn queued_start_is_withdrawn_when_its_worker_cannot_take_it_any_more() {
    // Guards against start orders that are sent to a worker known to drain, or to have left, restarted or shrunk, since
    // the order was queued.
    let changes: [(StartObstacle, Change); 7] = [
        (StartObstacle::Draining, |leader, now_us, id| {
            let entry = worker_entry(number_of(id), FORMER_START_UNIX_MS);
            leader.worker_listed(now_us, WorkerEntry { draining: true, ..entry });
        }),
        (StartObstacle::Unlisted, |leader, now_us, id| leader.worker_unlisted(now_us, id)),
        (StartObstacle::Restarted, |leader, now_us, id| {
            leader.worker_listed(now_us, worker_entry(number_of(id), LATER_START_UNIX_MS));
        }),
        (StartObstacle::Restarted, |leader, now_us, id| {
            let mut answer = answer_of(LATER_START_UNIX_MS, now_us, &[]);
            answer.clock_ms = 10;
            leader.on_hold_answer(now_us, now_us, id, &answer);
        }),
        (StartObstacle::Cordoned, |leader, _, id| {
            leader.workers.get_mut(id).expect("the worker is known").is_cordoned = true;
        }),
        (StartObstacle::Silent, |leader, now_us, id| leader.on_hold_failure(now_us, id, &OrderOutcome::Unanswered)),
        (StartObstacle::OverCapacity, |leader, now_us, id| {
            let mut entry = worker_entry(number_of(id), FORMER_START_UNIX_MS);
            entry.capacity = Resources { cpu_milli: 1_000, ..entry.capacity };
            leader.worker_listed(now_us, entry);
        }),
    ];

    for (obstacle, change) in changes {
        let (mut leader, start) = leader_with_queued_start();
        leader.take_withdrawn_counts();

        change(&mut leader, 2 * SECOND_US, &start.worker);
        let is_sent = leader.on_start_sent(2 * SECOND_US, &start);

        assert!(!is_sent, "{obstacle:?}");
        let counts = leader.take_withdrawn_counts();
        let counted: Vec<&str> = StartObstacle::ALL
            .into_iter()
            .zip(counts)
            .filter(|(_, count)| *count > 0)
            .map(|(counted, _)| counted.label())
            .collect();
        assert_eq!(counted, [obstacle.label()]);
    }
}

#[test]
fn task_of_a_withdrawn_start_is_placed_on_another_worker_at_once() {
    // Guards against a withdrawn order whose task keeps its place, or waits for a lease that was never granted.
    let (mut leader, start) = leader_with_queued_start();
    let entry = worker_entry(number_of(&start.worker), FORMER_START_UNIX_MS);
    leader.worker_listed(2 * SECOND_US, WorkerEntry { draining: true, ..entry });

    let (is_sent, actions) = send(&mut leader, 2 * SECOND_US, &start);

    let next = actions.into_iter().find_map(|action| match action {
        Action::Start(start) => Some(start),
        _ => None,
    });
    let next = next.expect("the task is started elsewhere");
    assert!(!is_sent);
    assert_eq!((next.task, next.worker), (only_task(), worker(1 - number_of(&start.worker))));
}

#[test]
fn queued_start_whose_lease_has_ended_is_withdrawn() {
    // Guards against a call that the worker must refuse.
    let (mut leader, start) = leader_with_queued_start();
    let late_us = 8 * SECOND_US;
    answer(&mut leader, late_us, number_of(&start.worker), &[]);

    assert!(!leader.on_start_sent(late_us, &start));
    assert_eq!(leader.take_withdrawn_counts()[StartObstacle::LeaseExpired as usize], 1);
}

#[test]
fn queued_start_is_sent_while_nothing_has_changed() {
    // Guards against orders that are withdrawn for no reason.
    let (mut leader, start) = leader_with_queued_start();

    let (is_sent, _) = send(&mut leader, SECOND_US + 600_000, &start);

    assert!(is_sent);
}

#[test]
fn no_queued_start_is_sent_to_a_draining_worker_in_a_simulation_with_faults() {
    // Guards against the same in combination with losses, failovers and partitions, and against tasks that a withdrawn
    // order leaves behind.
    let cases = [
        Faults { order_queue_ms: 1_500, ..Faults::default() },
        Faults { order_queue_ms: 1_500, answer_loss_rate: 0.2, order_loss_rate: 0.1, ..Faults::default() },
        Faults { order_queue_ms: 3_000, partitions_per_s: 0.3, failovers_per_s: 0.2, ..Faults::default() },
        Faults { order_queue_ms: 6_000, crashes_per_s: 0.2, ..Faults::default() },
    ];

    for faults in cases {
        for seed in 0..12 {
            let mut sim = Sim::new(seed, 6, faults);
            for number in 0..20 {
                sim.submit(&format!("job-{number:02}"), spec(vec![step(5, &[]), step(2, &[0])]));
                if number % 5 == 4 {
                    sim.drain_worker(number / 5);
                }
                sim.run_for(300);
            }
            sim.run_until_jobs_final(60_000);
            sim.assert_jobs_have_ended(&format!("seed {seed}, {faults:?}"));
        }
    }
}
