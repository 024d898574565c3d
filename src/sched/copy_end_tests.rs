//! Tests of how a task with a speculative copy goes on: a run ends or is stopped, a worker is lost, or the leader changes.
//! They are driven without the simulation.

use super::action::{Action, HoldPlan};
use super::copies_fixtures::{
    answer, drive, leader_with_copy, leader_with_old_run, leader_with_run_times, only_task, speculative_step,
    workers_of, COPIED_US, START_US,
};
use super::job::{RunPhase, TaskState};
use super::leader_fixtures::{host, task, JOB, SECOND_US};
use super::model::{ActiveRun, EndedRun, HoldAnswer, JobPhase, OrderOutcome, RunOutcome, Step, WaveOrder};
use super::record::encode_job;
use super::scheduler::Scheduler;
use super::sim::{catalog, settings, spec, worker_entry};

/// Passes the first answer of a worker's second incarnation to the leader. It has no runs.
fn answer_after_restart(leader: &mut Scheduler, now_us: u64, worker: &str) {
    let answer = HoldAnswer {
        clock_ms: 10,
        started_unix_ms: Some(2),
        is_complete: true,
        running: Vec::new(),
        ended: Vec::new(),
    };
    leader.on_hold_answer(now_us, now_us, &worker.into(), &answer);
}

fn ended(number: u64, run: u32, outcome: RunOutcome) -> Vec<EndedRun> {
    vec![EndedRun { number, task: only_task(), run, outcome, checkpoint: "".into() }]
}

fn acknowledged(leader: &mut Scheduler, now_us: u64, worker: &str) -> u64 {
    let batch = leader.take_batch(now_us);
    leader.batch_committed(now_us, now_us, &batch);
    leader.acknowledge_without_commit();
    if let Some(worker) = leader.workers.get_mut(worker) {
        worker.next_hold_us = 0;
    }
    match leader.plan_hold(now_us, &worker.into()) {
        HoldPlan::Send { acknowledged, .. } => acknowledged,
        plan => panic!("no hold request is due: {plan:?}"),
    }
}

fn restored_leader(job: &[u8], step: Step, now_us: u64) -> Scheduler {
    let mut leader = Scheduler::new(now_us, settings());
    leader.configure(catalog());
    leader.replace_registry(now_us, (0..8).map(|number| worker_entry(number, 1)).collect());
    leader.restore(now_us, now_us / 1_000, JOB.into(), spec(vec![step]), Some(job)).expect("the record is valid");
    leader
}

#[test]
fn copy_that_ends_first_counts_and_the_other_run_keeps_its_capacity_until_it_has_stopped() {
    let mut leader = leader_with_copy();

    answer(&mut leader, COPIED_US, "w4", Vec::new(), ended(1, 2, RunOutcome::Done));
    let stops = leader.take_actions();
    let reserved = leader.workers["w0"].reserved.cpu_milli;
    let acknowledged_before = acknowledged(&mut leader, COPIED_US, "w4");
    let outcome = OrderOutcome::Accepted { clock_ms: None };
    leader.on_stop_outcome(COPIED_US + 1_000, &"w0".into(), &only_task(), 1, &outcome);
    answer(&mut leader, COPIED_US + 2_000, "w0", Vec::new(), Vec::new());
    let reserved_while_stopping = leader.workers["w0"].reserved.cpu_milli;
    answer(&mut leader, COPIED_US + 3_000, "w0", Vec::new(), ended(1, 1, RunOutcome::Stopped));
    let acknowledged_after = acknowledged(&mut leader, COPIED_US + 4_000, "w4");

    assert_eq!(leader.jobs[JOB].phase, JobPhase::Completed);
    assert_eq!(stops, [Action::Stop { worker: "w0".into(), task: only_task(), run: 1 }]);
    assert_eq!((reserved, reserved_while_stopping, leader.workers["w0"].reserved.cpu_milli), (2_000, 2_000, 0));
    assert_eq!((acknowledged_before, acknowledged_after), (0, 1), "acknowledged once no other run can start");
}

#[test]
fn original_that_ends_first_counts_and_its_copy_is_stopped() {
    let mut leader = leader_with_copy();

    answer(&mut leader, COPIED_US, "w0", Vec::new(), ended(1, 1, RunOutcome::Done));

    assert_eq!(leader.take_actions(), [Action::Stop { worker: "w4".into(), task: only_task(), run: 2 }]);
    assert!(leader.workers["w4"].reserved.cpu_milli > 0);
    assert_eq!(leader.copy_counts.late, 1);
}

#[test]
fn copy_goes_on_as_the_only_run_when_the_original_is_lost() {
    let mut leader = leader_with_copy();

    leader.worker_listed(COPIED_US, worker_entry(0, 2));
    answer_after_restart(&mut leader, COPIED_US + 1_000, "w0");

    let task = task(&leader, JOB);
    assert_eq!((workers_of(task), task.run, task.copy.is_none()), (vec!["w4".into()], 2, true));
    assert!(matches!(task.state, TaskState::Placed { phase: RunPhase::Running { .. }, .. }), "{:?}", task.state);
}

#[test]
fn failures_of_both_runs_count_and_the_other_run_goes_on() {
    let mut leader = leader_with_copy();

    answer(&mut leader, COPIED_US, "w4", Vec::new(), ended(1, 2, RunOutcome::Failed));
    let after_copy = (workers_of(task(&leader, JOB)), task(&leader, JOB).failures);
    drive(&mut leader, COPIED_US + 1_000, COPIED_US + 300_000, &[]);
    let second_copy = (workers_of(task(&leader, JOB)), task(&leader, JOB).last_run);
    answer(&mut leader, COPIED_US + 300_000, "w0", Vec::new(), ended(1, 1, RunOutcome::Failed));

    assert_eq!(after_copy, (vec!["w0".into()], 1));
    assert_eq!(second_copy, (vec!["w0".into(), "w5".into()], 3), "a new number, and not where the copy failed");
    assert_eq!((workers_of(task(&leader, JOB)), task(&leader, JOB).failures), (vec!["w5".into()], 2));
    drive(&mut leader, COPIED_US + 301_000, COPIED_US + 1_900_000, &[]);
    assert_eq!(workers_of(task(&leader, JOB)), ["w5"], "the last attempt gets no copy that could use it up");
}

#[test]
fn new_leader_finds_both_runs_in_the_record() {
    let former = leader_with_copy();
    let record = encode_job(&former.jobs[JOB]);
    let now_us = 20 * SECOND_US;

    let mut leader = restored_leader(&record, speculative_step(1), now_us);
    let restored = workers_of(task(&leader, JOB));
    drive(&mut leader, now_us, now_us + 300_000, &[]);
    let running = task(&leader, JOB).placed_runs().filter(|run| matches!(run.phase, RunPhase::Running { .. })).count();
    answer(&mut leader, now_us + 300_000, "w4", Vec::new(), ended(1, 2, RunOutcome::Done));

    assert_eq!(restored, ["w0", "w4"]);
    assert_eq!((running, task(&leader, JOB).last_run), (2, 2));
    assert_eq!(leader.jobs[JOB].phase, JobPhase::Completed);
    let stop = Action::Stop { worker: "w0".into(), task: only_task(), run: 1 };
    assert!(leader.take_actions().contains(&stop), "the original run is stopped");
}

#[test]
fn new_leader_numbers_runs_above_a_copy_that_has_ended() {
    let mut former = leader_with_copy();
    answer(&mut former, COPIED_US, "w4", Vec::new(), ended(1, 2, RunOutcome::Failed));
    let record = encode_job(&former.jobs[JOB]);

    let leader = restored_leader(&record, speculative_step(1), 20 * SECOND_US);

    assert_eq!((task(&leader, JOB).run, task(&leader, JOB).last_run), (1, 2));
}

#[test]
fn late_start_of_a_copy_is_found_and_stopped_by_the_next_leader_before_the_end_is_acknowledged() {
    let mut former = leader_with_copy();
    answer(&mut former, COPIED_US, "w0", Vec::new(), ended(1, 1, RunOutcome::Done));
    let record = encode_job(&former.jobs[JOB]);
    let now_us = 20 * SECOND_US;

    let mut leader = restored_leader(&record, speculative_step(1), now_us);
    let stops = leader.take_actions();
    answer(&mut leader, now_us, "w0", Vec::new(), ended(1, 1, RunOutcome::Done));
    let acknowledged_before = acknowledged(&mut leader, now_us, "w0");
    // The start order of the former leader arrives only now.
    let late = ActiveRun { task: only_task(), run: 2, checkpoint: "".into(), percent: 0, load: None };
    answer(&mut leader, now_us + 1_000, "w4", vec![late], Vec::new());
    let outcome = OrderOutcome::Accepted { clock_ms: None };
    leader.on_stop_outcome(now_us + 2_000, &"w4".into(), &only_task(), 2, &outcome);
    answer(&mut leader, now_us + 3_000, "w4", Vec::new(), ended(1, 2, RunOutcome::Stopped));
    let acknowledged_after = acknowledged(&mut leader, now_us + 4_000, "w0");

    assert!(stops.contains(&Action::Stop { worker: "w4".into(), task: only_task(), run: 2 }), "{stops:?}");
    assert_eq!((acknowledged_before, acknowledged_after), (0, 1));
    assert!(leader.jobs[JOB].is_finished || leader.workers["w4"].tasks.is_empty());
}

#[test]
fn copy_whose_start_may_reach_the_restarted_worker_is_stopped_there() {
    let mut leader = leader_with_run_times(8);
    leader.submit(START_US, START_US / 1_000, JOB.into(), spec(vec![speculative_step(1)]));
    drive(&mut leader, START_US, START_US + 800_000, &[]);
    // The start order of the copy gets no answer.
    drive(&mut leader, START_US + 800_000, COPIED_US, &["w4"]);
    assert_eq!(workers_of(task(&leader, JOB)), ["w0", "w4"]);

    leader.worker_listed(COPIED_US, worker_entry(4, 2));
    answer_after_restart(&mut leader, COPIED_US + 1_000, "w4");

    let stop = Action::Stop { worker: "w4".into(), task: only_task(), run: 2 };
    assert!(leader.take_actions().contains(&stop));
    let copied = task(&leader, JOB);
    assert_eq!((workers_of(copied), copied.run), (vec!["w0".into(), "w4".into()], 1));
    assert_eq!(copied.copy.as_ref().map(|copy| copy.worker.started_unix_ms), Some(2));
}

#[test]
fn maintenance_of_the_host_of_a_copy_stops_only_the_copy() {
    let mut leader = leader_with_old_run(8, Step { checkpoints: true, ..speculative_step(1) });
    assert_eq!(workers_of(task(&leader, JOB)), ["w0", "w4"]);
    leader.hosts.insert("h4".into(), host(&worker_entry(4, 1), true));

    leader.add_wave(0, WaveOrder { number: 1, hosts: vec!["h4".into()], duration_ms: 30_000, max_down: 1 });
    let actions = drive(&mut leader, COPIED_US, COPIED_US + 500_000, &[]);

    let stops: Vec<&Action> = actions.iter().filter(|action| matches!(action, Action::Stop { .. })).collect();
    assert_eq!(stops, [&Action::Stop { worker: "w4".into(), task: only_task(), run: 2 }]);
    assert_eq!(task(&leader, JOB).run, 1);
}

#[test]
fn cancelled_job_stops_both_runs() {
    let mut leader = leader_with_copy();

    leader.cancel(COPIED_US, &JOB.into());

    let stops = leader.take_actions();
    let stop = |worker: &str, run| Action::Stop { worker: worker.into(), task: only_task(), run };
    assert_eq!(stops, [stop("w0", 1), stop("w4", 2)]);
}

#[test]
fn row_without_copies_is_the_same_as_before_copies() {
    let speculative = leader_with_old_run(1, speculative_step(1));

    let row = encode_job(&speculative.jobs[JOB]);

    // Phase, next occurrence; workers: ID and start time; tasks: occurrence, step, index, state with worker, run, highest
    // ended run, failures, checkpoint.
    let expected = [&[1, 1, 1, 2][..], b"w0", &[1], &[1, 0, 0, 0, 1, 0, 1, 0, 0, 0]].concat();
    assert_eq!(row, expected);
}
