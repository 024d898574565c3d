//! A leader whose workers answer as one incarnation or a later one.

use std::sync::Arc;

use super::action::{Action, StartRun};
use super::leader_fixtures::SECOND_US;
use super::model::{ActiveRun, HoldAnswer, JobSpec, TaskRef};
use super::scheduler::Scheduler;
use super::sim::{catalog, settings, worker_entry};
use crate::clock::US_PER_MS;

pub(super) const JOB: &str = "job";
/// Start times of two incarnations of a worker.
pub(super) const FORMER_START_UNIX_MS: u64 = 50_000;
pub(super) const LATER_START_UNIX_MS: u64 = 60_000;

pub(super) fn only_task() -> TaskRef {
    TaskRef { job: JOB.into(), occurrence: 0, step: 0, index: 0 }
}

pub(super) fn worker(number: usize) -> Arc<str> {
    format!("w{number}").into()
}

/// A worker's answer at `now_us`, which lists these runs of the task as active.
pub(super) fn answer_of(started_unix_ms: u64, now_us: u64, runs: &[u32]) -> HoldAnswer {
    let active = |run: &u32| ActiveRun { task: only_task(), run: *run, checkpoint: "".into(), percent: 50, load: None };
    HoldAnswer {
        clock_ms: 20_000 + now_us / US_PER_MS,
        started_unix_ms: Some(started_unix_ms),
        is_complete: true,
        running: runs.iter().map(active).collect(),
        ended: Vec::new(),
    }
}

/// Passes the answer of a worker's first incarnation to the leader.
pub(super) fn answer(leader: &mut Scheduler, now_us: u64, number: usize, runs: &[u32]) {
    leader.on_hold_answer(now_us, now_us, &worker(number), &answer_of(FORMER_START_UNIX_MS, now_us, runs));
}

/// Lets the leader raise its fencing token for a worker, which answers so at `now_us`.
pub(super) fn answer_raised_fence(leader: &mut Scheduler, now_us: u64, number: usize, answer: &HoldAnswer) {
    leader.fence_raised(now_us, &worker(number));
    leader.on_hold_answer(now_us, now_us, &worker(number), answer);
}

/// A leader with workers that have answered.
pub(super) fn leader_with_workers(count: usize) -> Scheduler {
    let mut leader = Scheduler::new(0, settings());
    leader.configure(catalog());
    for number in 0..count {
        leader.worker_listed(0, worker_entry(number, FORMER_START_UNIX_MS));
        answer(&mut leader, 0, number, &[]);
    }
    leader
}

/// Lets the leader decide and commit at `now_us`; returns its orders.
pub(super) fn decide(leader: &mut Scheduler, now_us: u64) -> Vec<Action> {
    leader.tick(now_us, 0);
    let batch = leader.take_batch(now_us);
    leader.batch_committed(now_us, now_us, &batch);
    leader.take_actions()
}

pub(super) fn starts_in(actions: &[Action]) -> Vec<StartRun> {
    let start = |action: &Action| match action {
        Action::Start(start) => Some(start.clone()),
        _ => None,
    };
    actions.iter().filter_map(start).collect()
}

/// Submits a job with one task at 1 s; returns the start order for it, to the worker `w0`.
pub(super) fn start_task(leader: &mut Scheduler, spec: JobSpec) -> StartRun {
    leader.submit(SECOND_US, 0, JOB.into(), spec);
    let starts = starts_in(&decide(leader, SECOND_US));
    assert_eq!(&*starts[0].worker, "w0");
    starts[0].clone()
}
