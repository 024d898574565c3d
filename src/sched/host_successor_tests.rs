//! Tests of workers whose host has another worker, or seems to have one.

use super::leader_fixtures::{run, task, JOB, SECOND_US};
use super::model::WorkerEntry;
use super::sim::step;
use super::worker_loss_tests::{answer_without_runs, fail_hold, leader_with_task, successor, take_over_host};

#[test]
fn task_of_a_worker_whose_host_has_a_new_one_does_not_wait_for_the_lease() {
    let (mut leader, id) = leader_with_task(step(1, &[]));
    let entry = successor(&leader, &id);

    fail_hold(&mut leader, 11 * SECOND_US, &id);
    take_over_host(&mut leader, 11 * SECOND_US, entry);
    leader.tick(11 * SECOND_US + 150_000, 11_150);

    assert!(leader.workers[&id].tasks.is_empty());
    assert_eq!(task(&leader, JOB).crash_count(), 1);
}

#[test]
fn entry_that_no_worker_stands_behind_does_not_end_the_wait_for_a_lease() {
    let (mut leader, id) = leader_with_task(step(1, &[]));
    let entry = successor(&leader, &id);

    fail_hold(&mut leader, 11 * SECOND_US, &id);
    leader.worker_listed(11 * SECOND_US, entry.clone());
    fail_hold(&mut leader, 11 * SECOND_US + 50_000, &entry.id);
    leader.tick(11 * SECOND_US + 150_000, 11_150);

    assert_eq!(leader.workers[&id].tasks.len(), 1);
    assert!(task(&leader, JOB).losses.is_empty());
}

#[test]
fn worker_that_the_provider_names_on_its_host_keeps_its_lease_although_another_one_answers() {
    let (mut leader, id) = leader_with_task(step(1, &[]));
    let entry = successor(&leader, &id);

    fail_hold(&mut leader, 11 * SECOND_US, &id);
    leader.worker_listed(11 * SECOND_US, entry.clone());
    answer_without_runs(&mut leader, 11 * SECOND_US + 50_000, &entry.id);
    leader.tick(11 * SECOND_US + 150_000, 11_150);

    assert_eq!(leader.workers[&id].tasks.len(), 1);
    assert!(task(&leader, JOB).losses.is_empty());
}

#[test]
fn entry_that_no_worker_stands_behind_does_not_hide_the_successor_that_takes_over_the_host() {
    let (mut leader, id) = leader_with_task(step(1, &[]));
    let odd = successor(&leader, &id);
    let entry = WorkerEntry { id: "successor".into(), started_unix_ms: odd.started_unix_ms + 1, ..odd.clone() };

    fail_hold(&mut leader, 11 * SECOND_US, &id);
    leader.worker_listed(11 * SECOND_US, odd);
    take_over_host(&mut leader, 11 * SECOND_US + 50_000, entry);
    leader.tick(11 * SECOND_US + 150_000, 11_150);

    assert!(leader.workers[&id].tasks.is_empty());
    assert_eq!(task(&leader, JOB).crash_count(), 1);
}

#[test]
fn worker_that_answers_keeps_its_tasks_although_another_one_registers_on_its_host() {
    let (mut leader, id) = leader_with_task(step(1, &[]));
    let entry = successor(&leader, &id);

    leader.worker_listed(11 * SECOND_US, entry);
    run(&mut leader, 11 * SECOND_US, 1_000);
    fail_hold(&mut leader, 12 * SECOND_US, &id);
    leader.tick(12 * SECOND_US + 150_000, 12_150);

    assert_eq!(leader.workers[&id].tasks.len(), 1);
    assert!(task(&leader, JOB).losses.is_empty());
}
