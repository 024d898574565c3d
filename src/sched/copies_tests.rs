//! Tests of when speculative copies start and where, driven without the simulation.

use std::sync::Arc;

use super::action::Action;
use super::copies_fixtures::{
    drive, leader_with_old_run, leader_with_run_times, only_task, speculative_step, workers_of, COPIED_US, START_US,
};
use super::leader_fixtures::{leader_with_workers, task, JOB};
use super::model::{AdvicePolicy, Catalog, Queue, Step, WorkerEntry};
use super::sim::{organisation, organisations, queue, spec, spec_of, step, worker_entry};

/// Workers with a run of a task that may have a copy, if its job belongs to an organisation with this quota.
fn workers_with_quota(cpu_milli: u64) -> Vec<String> {
    let mut leader = leader_with_run_times(8);
    let organisations = organisations([organisation("kora", cpu_milli)]);
    leader.configure(Arc::new(Catalog { organisations, ..(*leader.catalog).clone() }));
    leader.submit(START_US, START_US / 1_000, JOB.into(), spec_of("kora", vec![speculative_step(1)]));
    drive(&mut leader, START_US, COPIED_US, &[]);
    workers_of(task(&leader, JOB))
}

// Guards against copies that bring an organisation above its quota.
#[test]
fn copy_starts_only_within_the_quota() {
    let two_runs_fit = workers_with_quota(4_000);
    let one_run_fits = workers_with_quota(3_000);

    assert_eq!(two_runs_fit.len(), 2);
    assert_eq!(one_run_fits.len(), 1, "{one_run_fits:?}");
}

#[test]
fn run_gets_one_copy_only_if_its_step_allows_it() {
    let leader = leader_with_old_run(8, speculative_step(1));
    let without = leader_with_old_run(8, step(1, &[]));
    let gang = leader_with_old_run(8, Step { gang: true, ..speculative_step(1) });
    let long_running = leader_with_old_run(8, Step { long_running: true, ..speculative_step(1) });

    let copied = task(&leader, JOB);
    assert_eq!((workers_of(copied), copied.run, copied.last_run), (vec!["w0".into(), "w4".into()], 1, 2));
    for leader in [without, gang, long_running] {
        assert_eq!(workers_of(task(&leader, JOB)), ["w0"]);
    }
}

#[test]
fn copy_stays_within_placement_rules() {
    let limited = Step { max_per_worker: Some(1), ..speculative_step(2) };
    let labelled = Step { required_label: Some("r0".into()), ..speculative_step(1) };

    let limited = leader_with_old_run(2, limited);
    let labelled = leader_with_old_run(8, labelled);

    let copies = limited.jobs[JOB].tasks().filter(|(_, task)| task.copy.is_some()).count();
    assert_eq!(copies, 0, "each worker already has a task of the step");
    assert_eq!(workers_of(task(&labelled, JOB)), ["w0", "w1"], "the only rack with the label");
}

#[test]
fn copies_count_as_tasks_of_their_worker() {
    let mut leader = leader_with_run_times(2);
    leader.submit(START_US, START_US / 1_000, JOB.into(), spec(vec![speculative_step(1)]));
    drive(&mut leader, START_US, COPIED_US, &[]);
    let mut limited = step(1, &[]);
    limited.max_per_worker = Some(1);

    let siblings = leader.siblings_per_worker(&only_task(), &limited);

    assert_eq!((siblings.get("w0"), siblings.get("w1")), (Some(&1), Some(&1)));
}

#[test]
fn copy_needs_a_ticket_of_the_advice_service() {
    let mut leader = leader_with_run_times(8);
    let mut config = (*leader.catalog).clone();
    config.queues = vec![Arc::new(Queue { advice: Some(AdvicePolicy { valid_ms: 60_000 }), ..(*queue()).clone() })];
    leader.configure(Arc::new(config));
    leader.submit(START_US, START_US / 1_000, JOB.into(), spec(vec![speculative_step(1)]));

    let actions = drive(&mut leader, START_US, COPIED_US, &[]);

    assert_eq!(workers_of(task(&leader, JOB)), ["w0", "w5"], "the workers with a ticket");
    let starts = actions.iter().filter_map(|action| match action {
        Action::Start(start) => Some(start.ticket.is_some()),
        _ => None,
    });
    assert_eq!(starts.collect::<Vec<bool>>(), [true, true]);
}

#[test]
fn draining_worker_and_worker_on_the_same_host_get_no_copy() {
    let mut leader = leader_with_run_times(2);
    let draining = WorkerEntry { draining: true, ..leader.workers["w1"].entry.clone() };
    let same_host = WorkerEntry { host: Some("h0".into()), ..worker_entry(7, 1) };
    leader.worker_listed(START_US, draining);
    leader.worker_listed(START_US, WorkerEntry { draining: true, ..same_host.clone() });
    leader.submit(START_US, START_US / 1_000, JOB.into(), spec(vec![speculative_step(1)]));
    drive(&mut leader, START_US, START_US + 200_000, &[]);
    leader.worker_listed(START_US + 200_000, same_host);

    drive(&mut leader, START_US + 200_000, COPIED_US, &[]);

    assert_eq!(workers_of(task(&leader, JOB)), ["w0"]);
}

#[test]
fn copy_waits_while_any_task_of_the_pool_waits() {
    let mut leader = leader_with_run_times(2);
    leader.submit(START_US, START_US / 1_000, JOB.into(), spec(vec![speculative_step(1)]));
    let mut wide = step(1, &[]);
    wide.needs.cpu_milli = 40_000;
    leader.submit(START_US, START_US / 1_000, "wide".into(), spec(vec![wide]));

    drive(&mut leader, START_US, COPIED_US, &[]);
    let while_waiting = workers_of(task(&leader, JOB));
    leader.cancel(COPIED_US, &"wide".into());
    drive(&mut leader, COPIED_US, COPIED_US + 200_000, &[]);

    assert_eq!(while_waiting, ["w0"]);
    assert_eq!(workers_of(task(&leader, JOB)), ["w0", "w1"]);
}

#[test]
fn copies_hold_no_more_than_their_share_of_the_pool() {
    let leader = leader_with_old_run(8, speculative_step(24));

    // A tenth of 128 cores, in tasks of 2 cores.
    let copies = leader.jobs[JOB].tasks().filter(|(_, task)| task.copy.is_some()).count();
    assert_eq!(copies, 6);
}

#[test]
fn copies_bring_no_hosts_to_their_pool() {
    let labelled = Step { required_label: Some("a".into()), ..step(1, &[]) };
    let mut leader = leader_with_old_run(8, Step { speculative: true, ..labelled.clone() });
    let mut without = leader_with_old_run(8, labelled);
    assert_eq!(workers_of(task(&leader, JOB)).len(), 2, "there is a copy");

    let balance = &leader.pool_balances(COPIED_US)["press"];
    let expected = &without.pool_balances(COPIED_US)["press"];

    assert_eq!((balance.present_demand, balance.late_demand), (expected.present_demand, expected.late_demand));
    assert_eq!(leader.label_balances(COPIED_US), without.label_balances(COPIED_US));
}

#[test]
fn estimates_of_zero_get_no_copies_and_those_a_thousand_times_too_high_are_learned() {
    let mut zero = leader_with_old_run(8, Step { estimate_ms: 0, ..speculative_step(1) });
    let mut high = leader_with_workers(8);
    for _ in 0..40 {
        high.run_times.record(&"proofs".into(), 500_000, 500);
    }
    let step = Step { estimate_ms: 500_000, ..speculative_step(1) };
    high.submit(START_US, START_US / 1_000, JOB.into(), spec(vec![step]));
    drive(&mut high, START_US, COPIED_US, &[]);
    drive(&mut zero, COPIED_US, COPIED_US + 500_000, &[]);

    assert_eq!(workers_of(task(&zero, JOB)), ["w0"]);
    assert_eq!(workers_of(task(&high, JOB)), ["w0", "w4"]);
}

#[test]
fn few_samples_start_no_copy() {
    let mut leader = leader_with_workers(8);
    for _ in 0..7 {
        leader.run_times.record(&"proofs".into(), 500, 500);
    }
    leader.submit(START_US, START_US / 1_000, JOB.into(), spec(vec![speculative_step(1)]));

    drive(&mut leader, START_US, COPIED_US, &[]);

    assert_eq!(workers_of(task(&leader, JOB)), ["w0"]);
}
