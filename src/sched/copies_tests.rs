//! Tests of single decisions about speculative copies, driven without the simulation.

use std::sync::Arc;

use super::action::{Action, HoldPlan};
use super::job::{RunPhase, Task, TaskState};
use super::leader_fixtures::{host, leader_with_workers, task, JOB, SECOND_US};
use super::model::{
    ActiveRun, Advice, AdvicePolicy, Catalog, EndedRun, HoldAnswer, JobPhase, OrderOutcome, Queue, RunOutcome, Step,
    TaskRef, WaveOrder, WorkerEntry,
};
use super::record::encode_job;
use super::scheduler::Scheduler;
use super::sim::{catalog, organisation, organisations, queue, settings, spec, spec_of, step, worker_entry};

const START_US: u64 = 10 * SECOND_US;
/// By then, a run that began at [`START_US`] has got a copy.
const COPIED_US: u64 = START_US + 1_500_000;

fn speculative_step(count: u32) -> Step {
    Step { speculative: true, ..step(count, &[]) }
}

fn only_task() -> TaskRef {
    TaskRef { job: JOB.into(), occurrence: 0, step: 0, index: 0 }
}

/// A leader without hosts, which takes no idle worker away, whose queue has had runs that took as long as estimated.
fn leader_with_run_times(workers: usize) -> Scheduler {
    let mut leader = leader_with_workers(workers);
    leader.hosts.clear();
    for _ in 0..40 {
        leader.run_times.record(&"proofs".into(), 500, 500);
    }
    leader
}

fn answer(leader: &mut Scheduler, now_us: u64, worker: &str, running: Vec<ActiveRun>, ended: Vec<EndedRun>) {
    let answer =
        HoldAnswer { clock_ms: 20_000 + now_us / 1_000, started_unix_ms: None, is_complete: true, running, ended };
    leader.on_hold_answer(now_us, now_us, &worker.into(), &answer);
}

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
fn drive(leader: &mut Scheduler, from_us: u64, until_us: u64, silent: &[&str]) -> Vec<Action> {
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
fn leader_with_old_run(workers: usize, step: Step) -> Scheduler {
    let mut leader = leader_with_run_times(workers);
    leader.submit(START_US, START_US / 1_000, JOB.into(), spec(vec![step]));
    drive(&mut leader, START_US, COPIED_US, &[]);
    leader
}

/// The same with a copy: the run is on `w0`, the copy on `w4`.
fn leader_with_copy() -> Scheduler {
    let leader = leader_with_old_run(8, speculative_step(1));
    assert_eq!(workers_of(task(&leader, JOB)), ["w0", "w4"], "the copy is in another rack");
    leader
}

/// The same, if the job belongs to an organisation with this quota.
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

fn workers_of(task: &Task) -> Vec<String> {
    task.worker_ids().iter().map(ToString::to_string).collect()
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
