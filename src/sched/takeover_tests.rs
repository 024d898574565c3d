//! Tests of a new leader that restores runs on workers which have gone in the meantime.

use super::action::{Action, Batch, HoldPlan};
use super::leader_fixtures::{host, leader_with_workers, long_step, run, task, JOB, SECOND_US};
use super::model::{ActiveRun, HoldAnswer, HostPhase, HostRecord, JobSpec, OrderOutcome, TaskRef, WorkerEntry};
use super::scheduler::Scheduler;
use super::sim::{catalog, settings, spec, step, worker_entry};

/// Time from a takeover to the end of all leases that a former leader may have granted, also on a later incarnation: its calls
/// end after 8.5 s, may be carried out 12 s late, and grant 10 s on a clock that may be slow.
const LEASES_END_MS: u64 = 8_500 + 12_000 + 10_600;
/// Time after the takeover within which tasks of a worker that is gone run elsewhere.
const REPLACED_WITHIN_MS: u64 = 1_000;

fn long_running_job() -> JobSpec {
    spec(vec![long_step(1, 2_000)])
}

fn only_task() -> TaskRef {
    TaskRef { job: JOB.into(), occurrence: 0, step: 0, index: 0 }
}

/// The host of the worker `w0`, after the worker has gone.
fn host_without_worker() -> HostRecord {
    HostRecord { phase: HostPhase::Down, ..host(&worker_entry(0, 1), false) }
}

fn answer(scheduler: &mut Scheduler, now_us: u64, worker: &str) {
    let answer = HoldAnswer {
        clock_ms: 20_000,
        started_unix_ms: None,
        is_complete: true,
        running: Vec::new(),
        ended: Vec::new(),
    };
    scheduler.on_hold_answer(now_us, now_us, &worker.into(), &answer);
}

fn commit(scheduler: &mut Scheduler, now_us: u64) -> Batch {
    let batch = scheduler.take_batch(now_us);
    scheduler.batch_committed(now_us, now_us, &batch);
    batch
}

/// The record of a job whose only task a leader has placed on an incarnation of the worker `w0`.
fn record_of_task_on_w0(started_unix_ms: u64) -> Vec<u8> {
    let mut leader = Scheduler::new(0, settings());
    leader.configure(catalog());
    leader.worker_listed(0, worker_entry(0, started_unix_ms));
    answer(&mut leader, 0, "w0");
    leader.submit(0, 0, JOB.into(), long_running_job());
    leader.tick(SECOND_US, 0);
    let batch = commit(&mut leader, SECOND_US);
    batch.records.into_iter().map(|(_, record)| record).next().expect("the placement is recorded")
}

/// A leader that takes over at `now_us` with the worker `w1` registered, and restores the task on `w0`.
fn new_leader(now_us: u64, registered: Vec<WorkerEntry>) -> Scheduler {
    new_leader_with_record(now_us, registered, &record_of_task_on_w0(1))
}

fn new_leader_with_record(now_us: u64, registered: Vec<WorkerEntry>, record: &[u8]) -> Scheduler {
    let mut leader = Scheduler::new(now_us, settings());
    leader.configure(catalog());
    leader.replace_registry(now_us, registered);
    leader.restore(now_us, 0, JOB.into(), long_running_job(), Some(record)).expect("the record is valid");
    leader
}

/// Runs the leader for `for_ms`, with its leadership confirmed all the while and `w1` answering.
fn run_for(leader: &mut Scheduler, now_us: u64, for_ms: u64) {
    run_with(leader, now_us, for_ms, &["w1"]);
}

/// The same with these workers answering, also to stop orders.
fn run_with(leader: &mut Scheduler, now_us: u64, for_ms: u64, workers: &[&str]) {
    for elapsed_ms in (0..for_ms).step_by(100) {
        let tick_us = now_us + elapsed_ms * 1_000;
        for worker in workers {
            answer(leader, tick_us, worker);
        }
        leader.tick(tick_us, 0);
        commit(leader, tick_us);
        for action in leader.take_actions() {
            if let Action::RaiseFence { worker } = &action {
                leader.fence_raised(tick_us, worker);
            }
            let Action::Stop { worker, task, run } = action else { continue };
            if workers.contains(&&*worker) {
                let outcome = OrderOutcome::Accepted { clock_ms: None };
                leader.on_stop_outcome(tick_us, &worker, &task, run, &outcome);
            }
        }
    }
}

fn placed_on(leader: &Scheduler) -> Option<&str> {
    task(leader, JOB).placed_on().map(|incarnation| &*incarnation.id)
}

#[test]
fn long_running_task_does_not_wait_for_the_lease_of_a_worker_that_left_before_the_takeover() {
    let now_us = 20 * SECOND_US;
    let mut leader = new_leader(now_us, vec![worker_entry(1, 1)]);

    let hosts = vec![host_without_worker(), host(&worker_entry(1, 1), true)];
    leader.hosts_listed(now_us, now_us, hosts);
    run_for(&mut leader, now_us, REPLACED_WITHIN_MS);

    assert_eq!(placed_on(&leader), Some("w1"));
}

#[test]
fn long_running_task_does_not_wait_for_the_lease_of_a_worker_whose_entry_lapses_after_the_takeover() {
    let now_us = 20 * SECOND_US;
    let mut leader = new_leader(now_us, vec![worker_entry(0, 1), worker_entry(1, 1)]);
    let hosts = || vec![host_without_worker(), host(&worker_entry(1, 1), true)];
    leader.hosts_listed(now_us, now_us, hosts());
    run_for(&mut leader, now_us, 2_000);
    assert_eq!(placed_on(&leader), Some("w0"), "the registry may be ahead of the host list");

    leader.worker_unlisted(now_us + SECOND_US, &"w0".into());
    leader.hosts_listed(now_us + 2 * SECOND_US, now_us + 2 * SECOND_US, hosts());
    run_for(&mut leader, now_us + 2 * SECOND_US, REPLACED_WITHIN_MS);

    assert_eq!(placed_on(&leader), Some("w1"));
}

#[test]
fn task_restored_on_an_earlier_incarnation_of_a_worker_does_not_wait_for_the_lease() {
    let now_us = 20 * SECOND_US;
    let mut leader = new_leader(now_us, vec![worker_entry(0, 2), worker_entry(1, 1)]);

    leader.hosts_listed(now_us, now_us, vec![host(&worker_entry(0, 1), true), host(&worker_entry(1, 1), true)]);
    answer(&mut leader, now_us, "w0");
    run_with(&mut leader, now_us, REPLACED_WITHIN_MS, &["w0", "w1"]);

    assert_eq!(task(&leader, JOB).run, 2, "a new run has been placed: {:?}", task(&leader, JOB).state);
}

/// Guards against an order of the former leader that starts the run on a later incarnation of a worker which has stopped it.
#[test]
fn restored_task_starts_on_no_other_worker_while_the_former_leaders_order_may_be_late() {
    let now_us = 20 * SECOND_US;
    let mut leader = new_leader(now_us, vec![worker_entry(0, 1), worker_entry(1, 1)]);
    answer(&mut leader, now_us, "w0");
    leader.worker_listed(now_us, WorkerEntry { draining: true, ..worker_entry(0, 1) });

    run_with(&mut leader, now_us, 20_000, &["w0", "w1"]);
    assert_ne!(placed_on(&leader), Some("w1"));
    run_with(&mut leader, now_us + 20_000_000, 2_000, &["w0", "w1"]);

    assert_eq!(placed_on(&leader), Some("w1"), "the former leader's calls have ended");
}

#[test]
fn restored_task_goes_on_when_the_entry_of_its_worker_returns_after_the_takeover() {
    let now_us = 20 * SECOND_US;
    let mut leader = new_leader(now_us, vec![worker_entry(1, 1)]);
    leader.hosts_listed(now_us, now_us, vec![host(&worker_entry(0, 1), true), host(&worker_entry(1, 1), true)]);

    leader.worker_listed(now_us + SECOND_US, worker_entry(0, 1));
    let running = vec![ActiveRun { task: only_task(), run: 1, checkpoint: "".into(), percent: 100, load: None }];
    let listed = HoldAnswer { clock_ms: 20_000, started_unix_ms: None, is_complete: true, running, ended: Vec::new() };
    leader.on_hold_answer(now_us + SECOND_US, now_us + SECOND_US, &"w0".into(), &listed);
    leader.tick(now_us + SECOND_US, 0);
    commit(&mut leader, now_us + SECOND_US);
    let next_hold = leader.plan_hold(now_us + 2 * SECOND_US, &"w0".into());

    assert!(task(&leader, JOB).is_fully_running(), "{:?}", task(&leader, JOB).state);
    let HoldPlan::Send { lease_end_ms, .. } = next_hold else { panic!("no hold request is due: {next_hold:?}") };
    assert!(lease_end_ms.is_some(), "the lease is extended");
}

#[test]
fn restored_task_waits_for_the_lease_while_its_worker_may_be_running() {
    let now_us = 20 * SECOND_US;
    let cases = [
        ("the host list names the worker", vec![host(&worker_entry(0, 1), true), host(&worker_entry(1, 1), true)]),
        ("the provider does not list the hosts of all workers", vec![host_without_worker()]),
    ];

    for (case, hosts) in cases {
        let mut leader = new_leader(now_us, vec![worker_entry(1, 1)]);
        leader.hosts_listed(now_us, now_us, hosts);
        run_for(&mut leader, now_us, LEASES_END_MS - 500);
        assert_eq!(placed_on(&leader), Some("w0"), "{case}");

        run_for(&mut leader, now_us + (LEASES_END_MS - 500) * 1_000, 1_500);
        assert_eq!(placed_on(&leader), Some("w1"), "{case}: the leases have ended");
    }
}

#[test]
fn task_restored_on_a_later_incarnation_than_the_registry_lists_does_not_wait_for_the_lease() {
    let now_us = 20 * SECOND_US;
    let registered = vec![worker_entry(0, 1), worker_entry(1, 1)];
    let mut leader = new_leader_with_record(now_us, registered, &record_of_task_on_w0(2));

    let answer = HoldAnswer {
        clock_ms: 20_000,
        started_unix_ms: Some(2),
        is_complete: true,
        running: Vec::new(),
        ended: Vec::new(),
    };
    leader.on_hold_answer(now_us, now_us, &"w0".into(), &answer);
    run_with(&mut leader, now_us, REPLACED_WITHIN_MS, &["w0", "w1"]);

    assert_eq!(task(&leader, JOB).run, 2, "a new run has been placed: {:?}", task(&leader, JOB).state);
}

#[test]
fn restored_task_stays_until_the_new_incarnation_of_its_worker_has_answered() {
    let now_us = 20 * SECOND_US;
    let mut leader = new_leader(now_us, vec![worker_entry(0, 1), worker_entry(1, 1)]);

    // A delayed start order of the former leader may reach the new incarnation until it answers.
    leader.worker_listed(now_us, worker_entry(0, 2));

    assert!(task(&leader, JOB).placed_on().is_some(), "{:?}", task(&leader, JOB).state);
}

#[test]
fn late_entry_of_a_former_incarnation_does_not_end_the_runs_of_the_present_one() {
    let mut leader = leader_with_workers(1);
    let former = leader.workers["w0"].entry.clone();
    let answer = HoldAnswer {
        clock_ms: 1_000,
        started_unix_ms: Some(2),
        is_complete: true,
        running: Vec::new(),
        ended: Vec::new(),
    };
    leader.on_hold_answer(10 * SECOND_US, 10 * SECOND_US, &"w0".into(), &answer);
    leader.submit(10 * SECOND_US, 0, JOB.into(), spec(vec![step(1, &[])]));
    run(&mut leader, 10 * SECOND_US, 300);
    let placed_on = task(&leader, JOB).placed_on().cloned();
    assert!(placed_on.is_some(), "the present incarnation has the task");

    leader.worker_listed(10_400_000, former);
    run(&mut leader, 10_400_000, 300);

    assert_eq!(task(&leader, JOB).placed_on().cloned(), placed_on);
    assert_eq!(task(&leader, JOB).run, 1);
}
