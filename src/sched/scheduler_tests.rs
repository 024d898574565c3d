//! Tests of the scheduler, many of them in a simulation with faults.

use std::sync::Arc;

use super::job::{DeadlineForecast, Job, MAX_STORED_JOB_TASKS};
use super::model::{JobPhase, JobSpec, Step};
use super::sim::{catalog, settings, spec, step, worker_entry, Faults, Sim};
use super::worker::Worker;

const SECOND_US: u64 = 1_000_000;

fn phase(sim: &Sim, job: &str) -> Option<JobPhase> {
    sim.scheduler.jobs.get(job).map(|job| job.phase)
}

fn two_steps() -> Vec<Step> {
    vec![step(4, &[]), step(3, &[0])]
}

/// Submits jobs while faults are injected, then runs without faults until the phases of all jobs are final.
fn run_jobs_with_faults(seed: u64, faults: Faults) -> Sim {
    let mut sim = Sim::new(seed, 6, faults);
    for number in 0..12 {
        let id = sim.submit(&format!("job-{number:02}"), spec(two_steps()));
        sim.run_for(700);
        if number % 5 == 4 {
            sim.cancel(&id);
        }
    }
    sim.run_until_jobs_final(60_000);
    sim
}

fn assert_invariants_hold(seed: u64, faults: Faults) {
    run_jobs_with_faults(seed, faults).assert_jobs_have_ended(&format!("seed {seed}, {faults:?}"));
}

#[test]
fn steps_run_in_dependency_order() {
    let mut sim = Sim::new(1, 4, Faults::default());

    sim.submit("job", spec(two_steps()));
    sim.run_for(3_000);

    assert_eq!(phase(&sim, "job"), Some(JobPhase::Completed));
    assert_eq!((sim.start_count, sim.violations.len()), (7, 0));
}

#[test]
fn invariants_hold_under_each_fault() {
    let cases = [
        Faults { answer_loss_rate: 0.3, ..Faults::default() },
        Faults { order_delay_rate: 0.3, ..Faults::default() },
        Faults { order_loss_rate: 0.3, ..Faults::default() },
        Faults { run_failure_rate: 0.2, ..Faults::default() },
        Faults { crashes_per_s: 0.5, ..Faults::default() },
        Faults { partitions_per_s: 0.5, ..Faults::default() },
        Faults { failovers_per_s: 0.3, ..Faults::default() },
        Faults { commit_answer_loss_rate: 0.3, ..Faults::default() },
        Faults { commit_delay_ms: 200, failovers_per_s: 0.6, ..Faults::default() },
        Faults { commit_delay_ms: 200, failovers_per_s: 0.6, run_failure_rate: 0.3, ..Faults::default() },
    ];

    for faults in cases {
        for seed in 0..16 {
            assert_invariants_hold(seed, faults);
        }
    }
}

#[test]
fn invariants_hold_under_combined_faults() {
    let faults = Faults {
        answer_loss_rate: 0.08,
        order_delay_rate: 0.08,
        order_loss_rate: 0.05,
        run_failure_rate: 0.05,
        crashes_per_s: 0.1,
        partitions_per_s: 0.2,
        failovers_per_s: 0.15,
        commit_answer_loss_rate: 0.1,
        commit_delay_ms: 20,
        ..Faults::default()
    };

    for seed in 100..400 {
        assert_invariants_hold(seed, faults);
    }
}

#[test]
fn tasks_of_an_unreachable_worker_are_rescheduled_after_its_lease_expires() {
    let mut sim = Sim::new(1, 2, Faults::default());
    let mut long_step = step(2, &[]);
    long_step.long_running = true;
    long_step.max_per_worker = Some(2);
    sim.submit("job", spec(vec![long_step]));
    sim.run_for(1_000);
    let partitioned: Vec<usize> = (0..2).filter(|number| has_tasks(&sim, *number)).collect();

    sim.partition(partitioned[0], 60_000);
    sim.run_for(9_000);

    assert!(!has_tasks(&sim, partitioned[0]), "its tasks have been placed elsewhere");
    assert!(has_tasks(&sim, 1 - partitioned[0]));
    assert_eq!(sim.violations, []);
}

fn has_tasks(sim: &Sim, number: usize) -> bool {
    let id: Arc<str> = format!("w{number}").into();
    sim.scheduler.workers.get(&id).is_some_and(|worker| !worker.tasks.is_empty())
}

#[test]
fn new_leader_resumes_from_stored_records() {
    let mut sim = Sim::new(1, 4, Faults::default());
    sim.submit("job", spec(two_steps()));
    sim.run_for(300);

    sim.stop_leader(1_000);
    sim.run_for(5_000);

    assert_eq!(phase(&sim, "job"), Some(JobPhase::Completed));
    assert_eq!((sim.start_count, sim.violations.len()), (7, 0), "no task ran twice");
}

#[test]
fn host_orders_require_recently_confirmed_leadership() {
    let mut scheduler = super::scheduler::Scheduler::new(SECOND_US, settings());
    scheduler.configure(catalog());
    let host = super::model::HostRecord {
        name: "h1".into(),
        pool: "press".into(),
        phase: super::model::HostPhase::Up,
        worker: None,
        capacity: super::model::Resources::default(),
        zone: "hall-a".into(),
        labels: Arc::new([]),
    };
    scheduler.hosts_listed(SECOND_US, SECOND_US, vec![host]);
    let commit = |scheduler: &mut super::scheduler::Scheduler, now_us| {
        let batch = scheduler.take_batch(now_us);
        scheduler.batch_committed(now_us, now_us, &batch);
    };

    assert!(!scheduler.may_send_host_order(SECOND_US + 100_000), "orders of a former leader may still be in flight");
    commit(&mut scheduler, 3 * SECOND_US);
    assert!(scheduler.may_send_host_order(3 * SECOND_US + 500_000));
    assert!(!scheduler.may_send_host_order(5 * SECOND_US), "the store has not confirmed for two seconds");
}

#[test]
fn lease_expiry_allows_for_a_slow_worker_clock() {
    let mut worker = Worker::new(0, worker_entry(1, 0));
    worker.record_clock(SECOND_US, 50_000);
    worker.lease_end_ms = worker.lease_end_for(SECOND_US + 4 * SECOND_US).expect("the clock of the worker is known");

    assert_eq!(worker.lease_end_ms, 54_000);
    assert!(!worker.lease_certainly_expired(5 * SECOND_US + 50_000), "the worker's clock may be 2% slow");
    assert!(worker.lease_certainly_expired(5 * SECOND_US + 100_000));
}

#[test]
fn job_that_cannot_meet_its_deadline_claims_no_hosts() {
    let mut job = Job::new("job".into(), Arc::new(spec(two_steps())));
    job.begin_occurrence(0);
    job.set_deadline(0, 2.0, 1_000);

    // Critical path 2 x 500 ms, stretch 2.0 and target latency 1 s: the deadline is at 3 s, the expiry at 9 s.
    assert_eq!(job.deadline_forecast(0), DeadlineForecast::OnTime { latest_start_us: 2 * SECOND_US });
    assert_eq!(job.deadline_forecast(3 * SECOND_US), DeadlineForecast::Late { latest_start_us: 8 * SECOND_US });
    assert_eq!(job.deadline_forecast(9 * SECOND_US), DeadlineForecast::Expired { deadline_us: 3 * SECOND_US });
    assert!(!job.deadline_forecast(3 * SECOND_US).claims_hosts());
}

#[test]
fn failed_task_is_retried_without_any_other_event() {
    let mut sim = Sim::new(3, 1, Faults { run_failure_rate: 1.0, ..Faults::default() });
    sim.submit("job", spec(vec![step(1, &[])]));

    sim.run_for(4_000);

    assert_eq!((phase(&sim, "job"), sim.start_count), (Some(JobPhase::Failed), 3));
}

/// Submits small jobs so often that no worker is ever without tasks.
fn keep_workers_busy(sim: &mut Sim, rounds: u32) {
    for _ in 0..rounds {
        let id = format!("small-{:04}", sim.specs.len());
        sim.submit(&id, spec(vec![step(3, &[])]));
        sim.run_for(25);
    }
}

#[test]
fn long_running_task_gets_capacity_on_busy_workers() {
    let mut sim = Sim::new(1, 2, Faults::default());
    keep_workers_busy(&mut sim, 80);
    let mut long_step = step(1, &[]);
    long_step.long_running = true;
    long_step.needs.cpu_milli = 13_000;
    long_step.required_label = Some("r0".into());
    sim.submit("long-running", spec(vec![long_step]));

    keep_workers_busy(&mut sim, 120);

    assert_eq!(phase(&sim, "long-running"), Some(JobPhase::Running));
    assert_eq!(sim.violations, []);
}

#[test]
fn jobs_without_a_matching_label_do_not_block_others() {
    let mut sim = Sim::new(1, 2, Faults::default());
    let mut labelled = step(1, &[]);
    labelled.required_label = Some("b".into());
    for number in 0..60 {
        sim.submit(&format!("labelled-{number:02}"), spec(vec![labelled.clone()]));
    }
    sim.submit("plain", spec(vec![step(1, &[])]));

    sim.run_for(2_000);

    assert_eq!(phase(&sim, "plain"), Some(JobPhase::Completed));
}

#[test]
fn finished_job_does_not_run_again_when_a_read_from_before_the_removal_of_its_submission_is_answered_late() {
    // Guards against a second run of a job after a read of all jobs that takes longer than its ID is kept.
    let mut sim = Sim::new(1, 4, Faults::default());
    sim.submit("job", spec(two_steps()));
    sim.run_for(3_000);
    let finished = sim.scheduler.take_finished_jobs();
    sim.scheduler.submissions_removed(7, &finished);
    sim.scheduler.submissions_read(6);
    sim.run_for(60_000);
    sim.scheduler.submissions_removed(8, &[]);

    sim.scheduler.submit(sim.now_us, 0, "job".into(), spec(two_steps()));
    sim.run_for(3_000);

    assert_eq!(finished.len(), 1);
    assert_eq!((sim.start_count, sim.violations.len()), (7, 0), "no task ran twice");
}

#[test]
fn ids_of_removed_jobs_are_dropped_once_the_removal_has_been_read() {
    // Guards against a leader whose memory grows with each job that it has ever run.
    let mut sim = Sim::new(1, 4, Faults::default());
    sim.submit("job", spec(two_steps()));
    sim.run_for(3_000);
    let finished = sim.scheduler.take_finished_jobs();
    sim.scheduler.submissions_removed(7, &finished);
    assert!(sim.scheduler.has_job("job"));

    sim.scheduler.submissions_read(7);

    assert!(!sim.scheduler.has_job("job"));
}

#[test]
fn job_with_too_many_due_occurrences_does_not_stop_every_leader_that_reads_it() {
    let mut sim = Sim::new(1, 4, Faults::default());
    let recurring = JobSpec { recurring_occurrences: u32::MAX, ..spec(vec![step(1, &[])]) };
    sim.submit("recurring", recurring);
    sim.submit("other", spec(two_steps()));

    sim.run_for(1_000);
    sim.stop_leader(100);
    sim.run_for(4_000);

    let begun = sim.scheduler.jobs["recurring"].occurrences.len() as u64;
    assert_eq!((begun, phase(&sim, "other")), (MAX_STORED_JOB_TASKS, Some(JobPhase::Completed)));
}
