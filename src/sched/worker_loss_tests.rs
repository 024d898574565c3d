//! Tests of tasks that crash their workers, and of tasks that are lost with workers for other reasons.

use std::sync::Arc;

use super::action::Action;
use super::job::Job;
use super::leader_fixtures::{answer_holds, leader_with_workers, long_step, run, task, JOB, SECOND_US};
use super::model::{HoldAnswer, HostRecord, JobPhase, JobSpec, OrderOutcome, OrderRefusal, Step, TaskRef, WorkerEntry};
use super::record::{encode_job, restore_job};
use super::run_end::Observation;
use super::scheduler::Scheduler;
use super::sim::{spec, step, Faults, NextWorkerId, PlannedRestart, Sim, Stragglers};
use super::worker_loss::LossCause;

/// Time until the host of a crashed worker has a new one.
const DOWN_MS: u64 = 3_200;
/// Time after which the leader knows that a worker has restarted: a hold request times out, and the next one is answered.
const RESTART_KNOWN_MS: u64 = 2_500;
const CRASHING_JOB: &str = "crashing";

fn task_of(job: &str, index: u32) -> TaskRef {
    TaskRef { job: job.into(), occurrence: 0, step: 0, index }
}

fn three_tasks() -> JobSpec {
    spec(vec![step(3, &[])])
}

/// A job of three tasks, of which the first crashes its workers, among others that crash none.
fn sim_with_crashing_task(seed: u64, faults: Faults, next_id: NextWorkerId, down_ms: u64) -> Sim {
    let mut sim = Sim::new(seed, 8, faults);
    sim.add_crashing_task(task_of(CRASHING_JOB, 0), next_id, down_ms);
    for number in 0..4 {
        sim.submit(&format!("before-{number}"), three_tasks());
        sim.run_for(100);
    }
    sim.submit(CRASHING_JOB, three_tasks());
    for number in 0..40 {
        sim.submit(&format!("after-{number}"), three_tasks());
        sim.run_for(300);
    }
    sim
}

fn phase(sim: &Sim, job: &str) -> JobPhase {
    sim.scheduler.jobs[job].phase
}

/// Checks that the crashing job is given up and all others complete.
fn assert_only_crashing_job_fails(sim: &Sim, seed: u64) {
    assert_eq!(sim.violations, [], "seed {seed}");
    for id in sim.specs.keys() {
        let expected = if &**id == CRASHING_JOB { JobPhase::Failed } else { JobPhase::Completed };
        assert_eq!(phase(sim, id), expected, "seed {seed}: {id}");
    }
}

#[test]
fn task_that_crashes_its_workers_is_given_up() {
    for seed in 0..8 {
        let mut sim = sim_with_crashing_task(seed, Faults::default(), NextWorkerId::New, DOWN_MS);
        sim.run_until_jobs_final(60_000);

        assert_only_crashing_job_fails(&sim, seed);
    }
}

#[test]
fn crashes_of_a_worker_that_keeps_its_id_are_counted() {
    for seed in 0..8 {
        let mut sim = sim_with_crashing_task(seed, Faults::default(), NextWorkerId::Same, DOWN_MS);
        sim.run_until_jobs_final(60_000);

        assert_only_crashing_job_fails(&sim, seed);
    }
}

#[test]
fn crashes_are_counted_across_takeovers() {
    let faults = Faults { failovers_per_s: 0.4, ..Faults::default() };
    for seed in 0..16 {
        let mut sim = sim_with_crashing_task(seed, faults, NextWorkerId::New, DOWN_MS);
        sim.run_for(30_000);
        sim.run_until_jobs_final(60_000);

        assert_only_crashing_job_fails(&sim, seed);
    }
}

#[test]
fn task_that_has_crashed_a_worker_takes_no_other_tasks_along() {
    for seed in 0..8 {
        let mut sim = sim_with_crashing_task(seed, Faults::default(), NextWorkerId::New, DOWN_MS);
        sim.run_until_jobs_final(60_000);

        let others_lost = sim.others_lost();
        assert!(others_lost[1..].iter().all(|lost| *lost == 0), "seed {seed}: {others_lost:?}");
    }
}

#[test]
fn invariants_hold_with_a_crashing_task_under_each_fault() {
    let cases = [
        Faults { answer_loss_rate: 0.3, ..Faults::default() },
        Faults { order_delay_rate: 0.3, ..Faults::default() },
        Faults { run_failure_rate: 0.1, ..Faults::default() },
        Faults { crashes_per_s: 0.2, ..Faults::default() },
        Faults { partitions_per_s: 0.3, ..Faults::default() },
        Faults { partitions_per_s: 0.2, failovers_per_s: 0.3, commit_delay_ms: 100, ..Faults::default() },
        Faults { commit_answer_loss_rate: 0.3, failovers_per_s: 0.3, ..Faults::default() },
    ];

    for faults in cases {
        for (seed, next_id) in (0..12).zip([NextWorkerId::New, NextWorkerId::Same].into_iter().cycle()) {
            let down_ms = if seed % 3 == 0 { 7_000 } else { DOWN_MS };
            let mut sim = sim_with_crashing_task(seed, faults, next_id, down_ms);
            sim.run_for(20_000);
            sim.run_until_jobs_final(60_000);

            sim.assert_jobs_have_ended(&format!("seed {seed}, {faults:?}"));
            assert_eq!(phase(&sim, CRASHING_JOB), JobPhase::Failed, "seed {seed}, {faults:?}");
        }
    }
}

/// A leader with workers, the first of which runs the only task of a job.
pub(super) fn leader_with_task(step: Step) -> (Scheduler, Arc<str>) {
    let mut leader = leader_with_workers(4);
    leader.submit(10 * SECOND_US, 10_000, JOB.into(), spec(vec![step]));
    run(&mut leader, 10 * SECOND_US, 1_000);
    let worker = task(&leader, JOB).placed_on().expect("the task is placed").id.clone();
    (leader, worker)
}

/// The entry of the worker that follows another one on its host.
pub(super) fn successor(leader: &Scheduler, id: &str) -> WorkerEntry {
    let entry = leader.workers[id].entry.clone();
    WorkerEntry { id: format!("{id}-next").into(), started_unix_ms: entry.started_unix_ms + 1, ..entry }
}

/// Lets a worker without runs answer a hold request.
pub(super) fn answer_without_runs(leader: &mut Scheduler, now_us: u64, id: &Arc<str>) {
    let answer =
        HoldAnswer { clock_ms: 1, started_unix_ms: None, is_complete: true, running: Vec::new(), ended: Vec::new() };
    leader.on_hold_answer(now_us, now_us, id, &answer);
}

/// Lets a worker register and answer, and the provider name it on its host.
pub(super) fn take_over_host(leader: &mut Scheduler, now_us: u64, entry: WorkerEntry) {
    let id = entry.id.clone();
    let mut hosts: Vec<HostRecord> = leader.hosts.values().cloned().collect();
    for host in hosts.iter_mut().filter(|host| Some(&host.name) == entry.host.as_ref()) {
        host.worker = Some(id.clone());
    }
    leader.worker_listed(now_us, entry);
    leader.hosts_listed(now_us, now_us, hosts);
    answer_without_runs(leader, now_us, &id);
}

pub(super) fn fail_hold(leader: &mut Scheduler, now_us: u64, id: &Arc<str>) {
    leader.on_hold_failure(now_us, id, &OrderOutcome::Unanswered);
}

#[test]
fn loss_with_a_worker_that_comes_back_with_its_process_does_not_count() {
    let mut sim = Sim::new(1, 2, Faults::default());
    let mut long = long_step(2, 2_000);
    long.max_per_worker = Some(1);
    sim.submit(JOB, spec(vec![long]));
    sim.run_for(1_000);

    sim.partition(0, 9_000);
    sim.run_for(8_000);
    let lost: Vec<usize> = sim.scheduler.jobs[JOB].tasks().map(|(_, task)| task.losses.len()).collect();
    sim.run_for(6_000);

    assert_eq!(lost.iter().sum::<usize>(), 1, "the partition has cost a run");
    assert!(sim.scheduler.jobs[JOB].tasks().all(|(_, task)| task.losses.is_empty()));
}

#[test]
fn loss_with_a_worker_that_was_to_leave_does_not_count() {
    let (mut leader, id) = leader_with_task(step(1, &[]));
    let draining = WorkerEntry { draining: true, ..leader.workers[&id].entry.clone() };
    let entry = successor(&leader, &id);

    leader.worker_listed(11 * SECOND_US, draining);
    fail_hold(&mut leader, 11 * SECOND_US, &id);
    take_over_host(&mut leader, 11 * SECOND_US, entry);
    leader.tick(11 * SECOND_US + 150_000, 11_150);

    assert!(leader.workers[&id].tasks.is_empty());
    assert!(task(&leader, JOB).losses.is_empty());
}

/// A planned restart of a worker, which is back at once.
const PLANNED_RESTART: PlannedRestart = PlannedRestart { remaining_ms: 2_000, stays_ms: 2_500, down_ms: 100 };

/// Guards against planned restarts that count as crashes, so that jobs fail without a cause (review/6).
#[test]
fn jobs_do_not_fail_when_their_workers_restart_as_planned() {
    const WORKERS: usize = 5;
    for seed in 0..8 {
        let mut sim = Sim::new(seed, WORKERS, Faults::default());
        sim.run_duration_us = 30 * SECOND_US;
        sim.stragglers.report_progress = true;
        for number in 0..8 {
            sim.submit(&format!("job-{number}"), spec(vec![step(1, &[])]));
        }
        sim.run_for(1_000);

        for number in 0..6 * WORKERS {
            sim.restart_as_planned(number, PLANNED_RESTART);
            sim.run_for(3_600);
        }
        sim.run_until_jobs_final(60_000);

        assert_eq!(sim.violations, [], "seed {seed}");
        for id in sim.specs.keys() {
            assert_eq!(phase(&sim, id), JobPhase::Completed, "seed {seed}: {id}");
        }
    }
}

/// Guards against a crash that is blamed on tasks whose worker fell silent before its report of the drain was read.
#[test]
fn silent_worker_that_turns_out_to_drain_has_not_crashed() {
    let (mut leader, id) = leader_with_task(step(1, &[]));
    let entry = leader.workers[&id].entry.clone();
    let (now_us, restarted) = (11 * SECOND_US, WorkerEntry { started_unix_ms: 2, ..entry.clone() });
    let observation = Observation::LeasesExpired { now_us: 60 * SECOND_US };
    leader.release_lost_tasks(now_us, &id, LossCause::Silent, observation);
    assert_eq!(task(&leader, JOB).losses.len(), 1, "the silent worker counts as lost");

    leader.worker_listed(now_us, WorkerEntry { draining: true, ..entry });
    leader.worker_listed(now_us, restarted);

    assert!(task(&leader, JOB).losses.is_empty());
}

#[test]
fn long_running_task_is_not_given_up_for_crashes_that_others_cause() {
    let mut sim = Sim::new(1, 4, Faults::default());
    sim.submit(JOB, spec(vec![long_step(4, 2_000)]));
    sim.run_for(2_000);

    for number in 0..20 {
        let id = format!("crashing-{number}");
        sim.add_crashing_task(task_of(&id, 0), NextWorkerId::New, DOWN_MS);
        sim.submit(&id, spec(vec![step(1, &[])]));
        sim.run_for(4_000);
    }

    assert_eq!(sim.violations, []);
    assert_eq!(phase(&sim, JOB), JobPhase::Running);
    assert!((0..4).any(|index| sim.crash_count(&task_of(JOB, index)) >= 3), "no task of the job lost three workers");
}

#[test]
fn suspect_starts_beside_other_tasks_when_no_worker_becomes_free() {
    let mut sim = Sim::new(1, 3, Faults::default());
    sim.submit(JOB, spec(vec![long_step(6, 2_000)]));
    sim.run_for(1_000);
    sim.add_crashing_task(task_of(CRASHING_JOB, 0), NextWorkerId::Same, DOWN_MS);
    sim.submit(CRASHING_JOB, spec(vec![step(1, &[])]));

    sim.run_for(30_000);

    assert_eq!(phase(&sim, CRASHING_JOB), JobPhase::Failed);
}

#[test]
fn task_that_has_lost_a_worker_gets_no_copy() {
    let mut sim = Sim::new(1, 8, Faults::default());
    let speculative = Step { speculative: true, ..step(3, &[]) };
    for number in 0..30 {
        sim.submit(&format!("other-{number}"), spec(vec![speculative.clone()]));
        sim.run_for(100);
    }
    let straggler = Stragglers { rate: 1.0, factor: 40.0, report_progress: true, ..Stragglers::default() };
    sim.stragglers = straggler;
    sim.submit(JOB, spec(vec![Step { count: 1, ..speculative }]));
    sim.run_for(200);
    let worker = task(&sim.scheduler, JOB).placed_on().expect("the task is placed").id.clone();
    let number = (0..8).find(|number| *worker == *format!("w{number}")).expect("a worker of the simulation");

    sim.crash(number);
    sim.run_for(8_000);

    assert_eq!(task(&sim.scheduler, JOB).losses.len(), 1);
    assert_eq!(sim.copy_start_count, 0);
}

#[test]
fn losses_are_restored_from_the_record_and_earlier_versions_read_the_rest() {
    let (mut leader, id) = leader_with_task(step(1, &[]));
    let entry = successor(&leader, &id);
    fail_hold(&mut leader, 11 * SECOND_US, &id);
    take_over_host(&mut leader, 11 * SECOND_US, entry);
    leader.tick(11 * SECOND_US + 150_000, 11_150);
    let losses = task(&leader, JOB).losses.clone();

    let row = encode_job(&leader.jobs[JOB]);
    let mut restored = Job::new(JOB.into(), leader.jobs[JOB].spec.clone());
    restore_job(&mut restored, &row).expect("the row can be decoded");
    leader.jobs.get_mut(JOB).expect("the job is known").task_mut(&task_of(JOB, 0)).expect("a task").losses.clear();
    let without_losses = encode_job(&leader.jobs[JOB]);

    assert_eq!(losses.len(), 1);
    assert_eq!(restored.task(&task_of(JOB, 0)).expect("the task is restored").losses, losses);
    // A version that knows of no losses reads the job, then an empty list of copies, and ignores the rest.
    assert!(row.len() > without_losses.len());
}

#[test]
fn task_whose_orders_workers_refuse_as_invalid_is_not_ordered_again_at_once() {
    let (mut leader, id) = leader_with_task(step(1, &[]));
    let task_ref = task_of(JOB, 0);
    leader.release_if_over(11 * SECOND_US, &task_ref, &id, Observation::EndListed);
    let mut orders = 0;

    for elapsed_ms in (0..1_000).step_by(20) {
        let now_us = 11 * SECOND_US + elapsed_ms * 1_000;
        answer_holds(&mut leader, now_us);
        leader.tick(now_us, now_us / 1_000);
        let batch = leader.take_batch(now_us);
        leader.batch_committed(now_us, now_us, &batch);
        for action in leader.take_actions() {
            let Action::Start(start) = action else { continue };
            orders += 1;
            leader.on_start_outcome(now_us, &start, &OrderOutcome::Refused(OrderRefusal::Invalid));
        }
    }

    assert_eq!(orders, 2, "orders within one second");
}

#[test]
fn sole_suspect_is_given_up_after_two_crashes() {
    let mut sim = Sim::new(1, 8, Faults::default());
    sim.add_crashing_task(task_of(CRASHING_JOB, 0), NextWorkerId::New, DOWN_MS);
    sim.submit(CRASHING_JOB, spec(vec![step(1, &[])]));

    sim.run_for(20_000);

    assert_eq!(phase(&sim, CRASHING_JOB), JobPhase::Failed);
    assert_eq!(sim.crash_count(&task_of(CRASHING_JOB, 0)), 2);
}

#[test]
fn suspect_waits_for_a_worker_without_other_tasks() {
    let (mut leader, id) = leader_with_task(step(1, &[]));
    leader.submit(11 * SECOND_US, 11_000, "long-running-elsewhere".into(), spec(vec![long_step(4, 2_000)]));
    run(&mut leader, 11 * SECOND_US, 1_000);
    let next = WorkerEntry { draining: true, ..successor(&leader, &id) };

    fail_hold(&mut leader, 12 * SECOND_US, &id);
    take_over_host(&mut leader, 12 * SECOND_US, next);
    leader.tick(12 * SECOND_US + 150_000, 12_150);
    leader.worker_unlisted(12 * SECOND_US + 150_000, &id);
    run(&mut leader, 12 * SECOND_US + 200_000, 700);
    let while_isolated = task(&leader, JOB).placed_on().is_some();
    run(&mut leader, 12 * SECOND_US + 900_000, 600);

    assert!(!while_isolated, "all workers have tasks");
    assert!(task(&leader, JOB).placed_on().is_some(), "the wait is bounded");
}

#[test]
fn losses_of_a_long_running_task_are_forgotten_once_it_has_run_for_a_while() {
    let mut sim = Sim::new(1, 3, Faults::default());
    sim.submit(JOB, spec(vec![long_step(1, 2_000)]));
    sim.run_for(2_000);
    let worker = task(&sim.scheduler, JOB).placed_on().expect("the task is placed").id.clone();
    let number = (0..3).find(|number| *worker == *format!("w{number}")).expect("a worker of the simulation");

    sim.crash(number);
    sim.run_for(RESTART_KNOWN_MS);
    let after_the_crash = task(&sim.scheduler, JOB).losses.len();
    sim.run_for(13_000);

    assert_eq!((after_the_crash, task(&sim.scheduler, JOB).losses.len()), (1, 0));
}

#[test]
fn crash_with_many_suspects_sets_aside_few_workers() {
    let mut sim = Sim::new(1, 8, Faults::default());
    sim.submit(JOB, spec(vec![step(6, &[])]));
    sim.run_for(200);
    let worker = task(&sim.scheduler, JOB).placed_on().expect("the task is placed").id.clone();
    let number = (0..8).find(|number| *worker == *format!("w{number}")).expect("a worker of the simulation");

    sim.crash(number);
    for _ in (0..RESTART_KNOWN_MS).step_by(20) {
        if !task(&sim.scheduler, JOB).losses.is_empty() {
            break;
        }
        sim.run_for(20);
    }
    let mut most_isolated = 0;
    for _ in 0..40 {
        sim.run_for(20);
        most_isolated = most_isolated.max(sim.scheduler.isolated_workers(sim.now_us).len());
    }

    assert_eq!(most_isolated, 1, "an eighth of eight workers");
}

#[test]
fn new_leader_keeps_suspects_apart() {
    let mut sim = Sim::new(1, 8, Faults::default());
    sim.add_crashing_task(task_of(CRASHING_JOB, 0), NextWorkerId::Same, DOWN_MS);
    sim.submit(CRASHING_JOB, three_tasks());
    while sim.scheduler.jobs[CRASHING_JOB].task(&task_of(CRASHING_JOB, 0)).is_none_or(|task| task.losses.is_empty()) {
        sim.run_for(100);
    }
    sim.run_for(100);

    sim.stop_leader(100);
    sim.run_for(200);

    assert!(sim.scheduler.is_suspect(&task_of(CRASHING_JOB, 0)));
}
