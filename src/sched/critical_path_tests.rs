//! Tests of deadlines and copies that follow measured run times.

use super::leader_fixtures::{leader_with_workers, run, task, JOB, SECOND_US};
use super::model::{ActiveRun, HoldAnswer, TaskRef};
use super::scheduler::Scheduler;
use super::sim::{spec, step};

/// A leader with a job of two steps, whose first step has one task that runs since 10.2 s.
fn leader_with_running_task() -> Scheduler {
    let mut leader = leader_with_workers(2);
    leader.submit(10 * SECOND_US, 0, JOB.into(), spec(vec![step(1, &[]), step(1, &[0])]));
    run(&mut leader, 10 * SECOND_US, 200);
    leader
}

/// Lets the worker of the first task report its progress at `now_us`.
fn report_progress(leader: &mut Scheduler, now_us: u64, percent: u32) {
    let worker = task(leader, JOB).placed_on().expect("the task is placed").id.clone();
    let task = TaskRef { job: JOB.into(), occurrence: 0, step: 0, index: 0 };
    let running = vec![ActiveRun { task, run: 1, checkpoint: "".into(), percent, load: None }];
    let answer = HoldAnswer {
        clock_ms: 20_000 + now_us / 1_000,
        started_unix_ms: None,
        is_complete: true,
        running,
        ended: Vec::new(),
    };
    leader.on_hold_answer(now_us, now_us, &worker, &answer);
}

fn deadline_us(leader: &Scheduler) -> u64 {
    leader.jobs[JOB].deadline_us
}

// Guards against a job that counts as late because its tasks take much longer than estimated: callers allow it a multiple of
// what they really take.
#[test]
fn progress_that_shows_a_much_longer_run_time_extends_the_deadline() {
    let mut leader = leader_with_running_task();
    let before_us = deadline_us(&leader);

    // A quarter of the work in about 1 s, where the whole was estimated at 0.5 s.
    report_progress(&mut leader, 11_200_000, 25);

    let extended_us = deadline_us(&leader) - before_us;
    assert!((6 * SECOND_US..=9 * SECOND_US).contains(&extended_us), "{extended_us}");
}

// Guards against deadlines that move with every small error of an estimate.
#[test]
fn run_time_near_the_estimate_leaves_the_deadline_as_it_is() {
    let mut leader = leader_with_running_task();
    let before_us = deadline_us(&leader);

    report_progress(&mut leader, 10_600_000, 80);

    assert_eq!(deadline_us(&leader), before_us);
}

// Guards against run times projected from the first percent, which is inexact, and from resumed runs.
#[test]
fn early_progress_tells_no_run_time() {
    let mut leader = leader_with_running_task();
    let before_us = deadline_us(&leader);

    report_progress(&mut leader, 11_200_000, 10);

    assert_eq!(deadline_us(&leader), before_us);
}
