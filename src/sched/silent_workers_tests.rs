//! Tests of when the leader takes itself for cut off from the workers.

use super::incarnation_fixtures::{leader_with_workers, worker, FORMER_START_UNIX_MS};
use super::model::OrderOutcome;
use super::scheduler::Scheduler;
use super::sim::worker_entry;

const SECOND_US: u64 = 1_000_000;
const SOUND: usize = 4;
const SILENT: usize = 12;

/// A leader with four workers that have answered, and twelve that have not.
fn leader_with_silent_workers() -> Scheduler {
    let mut leader = leader_with_workers(SOUND);
    for number in SOUND..SOUND + SILENT {
        leader.worker_listed(SECOND_US, worker_entry(number, FORMER_START_UNIX_MS));
        leader.on_hold_failure(SECOND_US, &worker(number), &OrderOutcome::NotSent);
    }
    leader
}

#[test]
fn entries_that_nobody_renews_do_not_make_the_leader_step_down() {
    // Guards against leaders that step down one after the other while most listed workers answer nobody.
    let mut leader = leader_with_silent_workers();
    let entries = (0..SOUND + SILENT).map(|number| worker_entry(number, FORMER_START_UNIX_MS)).collect();

    let at_first = leader.silent_share();
    // The registry is read anew after the store has dropped its history; that is no renewal.
    leader.replace_registry(2 * SECOND_US, entries);

    assert_eq!((at_first, leader.silent_share()), (0.0, 0.0));
}

#[test]
fn workers_that_renew_their_entries_but_do_not_answer_count_as_silent() {
    // Guards against a leader that was cut off before it took over, and stays although another one could reach the workers.
    let mut leader = leader_with_silent_workers();

    for number in SOUND..SOUND + SILENT {
        leader.worker_listed(2 * SECOND_US, worker_entry(number, FORMER_START_UNIX_MS));
    }

    assert_eq!(leader.silent_share(), 0.75);
}

#[test]
fn workers_that_answered_before_count_as_silent_at_once() {
    // Guards against a later step-down of a leader that is cut off during its term.
    let mut leader = leader_with_workers(SOUND);

    for number in 0..SOUND - 1 {
        leader.on_hold_failure(SECOND_US, &worker(number), &OrderOutcome::Unanswered);
    }

    assert_eq!(leader.silent_share(), 0.75);
}
