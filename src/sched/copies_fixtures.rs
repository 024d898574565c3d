//! A leader with a speculative step, and workers that answer it, for tests without the simulation.

use std::sync::Arc;

use super::action::Action;
use super::job::{RunPhase, Task};
use super::leader_fixtures::{leader_with_workers, task, JOB, SECOND_US};
use super::model::{ActiveRun, Advice, EndedRun, HoldAnswer, OrderOutcome, Step, TaskRef};
use super::scheduler::Scheduler;
use super::sim::{spec, step};

pub(super) const START_US: u64 = 10 * SECOND_US;
/// By then, a run that began at [`START_US`] has got a copy.
pub(super) const COPIED_US: u64 = START_US + 1_500_000;

pub(super) fn speculative_step(count: u32) -> Step {
    Step { speculative: true, ..step(count, &[]) }
}

pub(super) fn only_task() -> TaskRef {
    TaskRef { job: JOB.into(), occurrence: 0, step: 0, index: 0 }
}

/// A leader without hosts, which takes no idle worker away, whose queue has had runs that took as long as estimated.
pub(super) fn leader_with_run_times(workers: usize) -> Scheduler {
    let mut leader = leader_with_workers(workers);
    leader.hosts.clear();
    for _ in 0..40 {
        leader.run_times.record(&"proofs".into(), 500, 500);
    }
    leader
}

pub(super) fn answer(leader: &mut Scheduler, now_us: u64, worker: &str, running: Vec<ActiveRun>, ended: Vec<EndedRun>) {
    let answer =
        HoldAnswer { clock_ms: 20_000 + now_us / 1_000, started_unix_ms: None, is_complete: true, running, ended };
    leader.on_hold_answer(now_us, now_us, &worker.into(), &answer);
}

/// Runs that a worker lists: those placed on it that are not known to be stopped.
fn listed_runs(leader: &Scheduler, worker: &str, percent: u32) -> Vec<ActiveRun> {
    let mut running = Vec::new();
    for task_ref in &leader.workers[worker].tasks {
        let task = leader.jobs[&task_ref.job].task(task_ref).expect("the task is known");
        let placed = task.run_on(worker).expect("the worker has a run of the task");
        if !matches!(placed.phase, RunPhase::Stopping { acknowledged_us: Some(_), .. }) {
            let (task, run) = (task_ref.clone(), placed.run);
            running.push(ActiveRun { task, run, checkpoint: "".into(), percent, load: None });
        }
    }
    running
}

/// Runs the leader; all workers but the silent ones answer and carry out orders.
pub(super) fn drive(leader: &mut Scheduler, from_us: u64, until_us: u64, silent: &[&str]) -> Vec<Action> {
    let mut actions = Vec::new();
    for now_us in (from_us..until_us).step_by(100_000) {
        for id in leader.workers.keys().cloned().collect::<Vec<Arc<str>>>() {
            if silent.contains(&&*id) {
                continue;
            }
            let running = listed_runs(leader, &id, 0);
            answer(leader, now_us, &id, running, Vec::new());
        }
        leader.tick(now_us, now_us / 1_000);
        let batch = leader.take_batch(now_us);
        leader.batch_committed(now_us, now_us, &batch);
        for action in leader.take_actions() {
            match &action {
                Action::Start(start) if !silent.contains(&&*start.worker) => {
                    leader.on_start_outcome(now_us, start, &OrderOutcome::Accepted { clock_ms: None });
                }
                Action::Start(start) => leader.on_start_outcome(now_us, start, &OrderOutcome::Unanswered),
                Action::Stop { worker, task, run } if !silent.contains(&&**worker) => {
                    leader.on_stop_outcome(now_us, worker, task, *run, &OrderOutcome::Accepted { clock_ms: None });
                }
                Action::RequestAdvice { job, occurrence, step, workers } => {
                    let tickets = ["w0", "w5"].map(|id| (Arc::from(id), Arc::from("ticket"))).to_vec();
                    let advice = Advice { tickets, valid_ms: None };
                    leader.on_advice_answer(now_us, (job, *occurrence, *step), workers, Some(&advice));
                }
                _ => {}
            }
            actions.push(action);
        }
    }
    actions
}

/// A leader at [`COPIED_US`] whose only task, of this step, has run since [`START_US`].
pub(super) fn leader_with_old_run(workers: usize, step: Step) -> Scheduler {
    let mut leader = leader_with_run_times(workers);
    leader.submit(START_US, START_US / 1_000, JOB.into(), spec(vec![step]));
    drive(&mut leader, START_US, COPIED_US, &[]);
    leader
}

/// The same with a copy: the run is on `w0`, the copy on `w4`.
pub(super) fn leader_with_copy() -> Scheduler {
    let leader = leader_with_old_run(8, speculative_step(1));
    assert_eq!(workers_of(task(&leader, JOB)), ["w0", "w4"], "the copy is in another rack");
    leader
}

pub(super) fn workers_of(task: &Task) -> Vec<String> {
    task.worker_ids().iter().map(ToString::to_string).collect()
}
