//! Tests of running usage and quotas, many of them in a simulation with faults.

use super::action::HoldPlan;
use super::job::TaskState;
use super::leader_fixtures::{leader_with_workers, run, task, JOB, SECOND_US};
use super::model::{ActiveRun, Catalog, HoldAnswer, JobPhase, Resources, Step, TaskRef};
use super::scheduler::Scheduler;
use super::sim::{organisation, spec, spec_of, step, Faults, Sim};
use super::usage::Usage;

/// Quota of the organisation `kora`: three tasks of [`step`].
const THREE_TASKS_MILLI: u64 = 6_000;

fn sim_with_quota(seed: u64, workers: usize, faults: Faults) -> Sim {
    let mut sim = Sim::new(seed, workers, faults);
    sim.set_organisations([organisation("kora", THREE_TASKS_MILLI), organisation("lumen", u64::MAX)]);
    sim.check_quotas_now();
    sim
}

fn phase(sim: &Sim, job: &str) -> Option<JobPhase> {
    sim.scheduler.jobs.get(job).map(|job| job.phase)
}

fn runs_of(sim: &Sim, name: &str) -> u32 {
    sim.held_by(name).1
}

fn gang(count: u32) -> Step {
    Step { gang: true, ..step(count, &[]) }
}

fn endless(count: u32) -> Step {
    Step { long_running: true, ..step(count, &[]) }
}

/// Highest number of runs of an organisation at the same time within `for_ms`.
fn most_runs_within(sim: &mut Sim, name: &str, for_ms: u64) -> u32 {
    let mut most = 0;
    for _ in 0..for_ms / 5 {
        sim.run_for(5);
        most = most.max(runs_of(sim, name));
    }
    most
}

// Guards against a quota check at placement that is missing, or that looks at single tasks instead of the usage.
#[test]
fn step_wider_than_the_quota_runs_in_rounds() {
    let mut sim = sim_with_quota(1, 2, Faults::default());
    sim.submit("wide", spec_of("kora", vec![step(7, &[])]));

    let most = most_runs_within(&mut sim, "kora", 4_000);

    assert_eq!((most, phase(&sim, "wide")), (3, Some(JobPhase::Completed)));
    assert_eq!(sim.violations, []);
}

// Guards against a job that waits for ever because one of its tasks alone exceeds the quota.
#[test]
fn task_wider_than_the_quota_runs_alone() {
    let mut sim = sim_with_quota(1, 2, Faults::default());
    let mut large = step(2, &[]);
    large.needs.cpu_milli = 2 * THREE_TASKS_MILLI;
    sim.submit("large", spec_of("kora", vec![large]));

    let most = most_runs_within(&mut sim, "kora", 3_000);

    assert_eq!((most, phase(&sim, "large")), (1, Some(JobPhase::Completed)));
    assert_eq!(sim.violations, []);
}

// Guards against gangs that start with as many members as the quota has room for.
#[test]
fn gang_starts_with_all_members_within_the_quota_or_not_at_all() {
    let mut sim = sim_with_quota(1, 2, Faults::default());
    sim.submit("a-single", spec_of("kora", vec![step(1, &[])]));
    sim.run_for(100);
    sim.submit("gang", spec_of("kora", vec![gang(3)]));
    sim.submit("wide-gang", spec_of("kora", vec![gang(4)]));

    sim.run_for(200);
    assert_eq!(runs_of(&sim, "kora"), 1, "the gang waits for the single task");
    sim.run_for(600);
    assert_eq!(runs_of(&sim, "kora"), 3, "the gang runs");
    sim.run_for(3_000);

    assert_eq!(phase(&sim, "gang"), Some(JobPhase::Completed));
    assert_eq!(phase(&sim, "wide-gang"), Some(JobPhase::Queued), "it is wider than the quota");
    assert_eq!(sim.violations, []);
}

// Guards against usage that counts reserved CPU, of which best-effort tasks have none.
#[test]
fn best_effort_tasks_count_with_their_full_needs() {
    let mut sim = sim_with_quota(1, 2, Faults::default());
    let best_effort = Step { best_effort: true, ..step(6, &[]) };
    sim.submit("filler", spec_of("kora", vec![best_effort]));

    let most = most_runs_within(&mut sim, "kora", 2_000);

    assert_eq!(most, 3);
}

// Guards against quotas that are kept for each pool, or for jobs that have no organisation.
#[test]
fn others_start_beside_an_organisation_at_its_quota() {
    let mut sim = sim_with_quota(1, 8, Faults::default());
    for number in 0..60 {
        sim.submit(&format!("a-{number:02}"), spec_of("kora", vec![step(2, &[])]));
    }
    sim.submit("other", spec_of("lumen", vec![step(4, &[])]));
    sim.submit("public", spec(vec![step(4, &[])]));

    sim.run_for(300);
    assert_eq!((runs_of(&sim, "kora"), runs_of(&sim, "lumen")), (3, 4));
    sim.run_for(500);

    assert_eq!(phase(&sim, "other"), Some(JobPhase::Completed));
    assert_eq!(phase(&sim, "public"), Some(JobPhase::Completed));
}

// Guards against rounds that become rare for everybody while many jobs wait for one quota.
#[test]
fn many_blocked_jobs_do_not_delay_the_jobs_of_others() {
    let mut sim = sim_with_quota(1, 4, Faults::default());
    sim.submit("a-holds", spec_of("kora", vec![endless(3)]));
    sim.run_for(200);
    for number in 0..4_000 {
        sim.submit(&format!("a-{number:04}"), spec_of("kora", vec![step(1, &[])]));
    }
    sim.run_for(50);

    for number in 0..10 {
        sim.submit(&format!("other-{number}"), spec_of("lumen", vec![step(1, &[])]));
        sim.run_for(60);
        assert!(runs_of(&sim, "lumen") > 0, "job {number} has not started after 60 ms");
        sim.run_for(540);
        assert_eq!(phase(&sim, &format!("other-{number}")), Some(JobPhase::Completed));
    }
}

// Guards against a worker that is kept free for a long-running task which the quota blocks anyway.
#[test]
fn long_running_task_that_its_quota_blocks_keeps_no_worker_from_others() {
    let mut sim = sim_with_quota(1, 1, Faults::default());
    sim.submit("holds", spec_of("kora", vec![endless(3)]));
    sim.run_for(200);
    sim.submit("blocked", spec_of("kora", vec![endless(1)]));
    sim.submit("other", spec_of("lumen", vec![step(2, &[])]));

    sim.run_for(1_000);

    assert_eq!(phase(&sim, "other"), Some(JobPhase::Completed));
    assert_eq!(phase(&sim, "blocked"), Some(JobPhase::Queued));
}

// Guards against blocked tasks that wait for another event than the fall of the usage.
#[test]
fn blocked_tasks_start_as_soon_as_usage_falls_or_the_quota_rises() {
    let mut sim = sim_with_quota(1, 2, Faults::default());
    let holder = sim.submit("holds", spec_of("kora", vec![endless(3)]));
    sim.run_for(500);
    sim.submit("next", spec_of("kora", vec![endless(3)]));
    sim.run_for(500);
    assert_eq!(runs_of(&sim, "kora"), 3);

    sim.set_organisations([organisation("kora", THREE_TASKS_MILLI + 2_000)]);
    sim.run_for(100);
    assert_eq!(runs_of(&sim, "kora"), 4, "the quota has risen by one task");
    sim.cancel(&holder);
    sim.run_for(1_500);

    assert_eq!(runs_of(&sim, "kora"), 3, "the others have started in place of the cancelled ones");
}

// Guards against runs that are stopped, or replaced, because a quota is lowered beneath the usage.
#[test]
fn quota_lowered_beneath_use_stops_nothing_and_blocks_new_starts() {
    let mut sim = sim_with_quota(1, 2, Faults::default());
    sim.submit("holds", spec_of("kora", vec![endless(3)]));
    sim.run_for(500);

    sim.set_organisations([organisation("kora", 2_000)]);
    sim.submit("next", spec_of("kora", vec![step(1, &[])]));
    sim.run_for(4_000);

    assert_eq!((runs_of(&sim, "kora"), sim.start_count), (3, 3));
    assert_eq!(phase(&sim, "next"), Some(JobPhase::Queued));
}

// Guards against a removed organisation that counts as one with a quota of nothing.
#[test]
fn organisation_that_is_no_longer_configured_has_no_quota() {
    let mut sim = sim_with_quota(1, 2, Faults::default());
    sim.submit("holds", spec_of("kora", vec![endless(3)]));
    sim.submit("next", spec_of("kora", vec![step(2, &[])]));
    sim.run_for(1_000);
    assert_eq!(phase(&sim, "next"), Some(JobPhase::Queued));

    sim.set_organisations([]);
    sim.run_for(1_000);

    assert_eq!(phase(&sim, "next"), Some(JobPhase::Completed));
    assert_eq!(runs_of(&sim, "kora"), 3);
}

// Guards against a new leader that starts tasks before it counts the restored runs.
#[test]
fn usage_is_known_from_the_records_after_a_takeover() {
    let mut sim = sim_with_quota(1, 2, Faults::default());
    sim.submit("z-holds", spec_of("kora", vec![endless(3)]));
    sim.run_for(500);
    sim.submit("a-next", spec_of("kora", vec![step(3, &[])]));

    sim.stop_leader(500);
    let most = most_runs_within(&mut sim, "kora", 5_000);

    assert_eq!(most, 3);
    assert_eq!(sim.scheduler.usage.of("kora").run_count, 3);
    assert_eq!(sim.violations, []);
}

// Guards against runs that no longer count while their worker cannot be reached and they may be running.
#[test]
fn runs_of_a_lost_worker_count_until_its_leases_have_ended() {
    let mut sim = sim_with_quota(1, 3, Faults::default());
    sim.submit("wide", spec_of("kora", vec![step(300, &[])]));
    sim.run_for(1_100);

    for number in 0..3 {
        sim.partition(number, 7_000);
        let most = most_runs_within(&mut sim, "kora", 9_000);
        assert!(most <= 3, "{most} runs");
    }

    assert_eq!(sim.violations, []);
}

/// Submits jobs of organisations with quotas while faults are injected, then runs without faults until all are final.
fn assert_quotas_hold(seed: u64, faults: Faults) {
    let mut sim = sim_with_quota(seed, 5, faults);
    for number in 0..10 {
        let name = ["kora", "lumen"][number % 2];
        let id = sim.submit(&format!("job-{number:02}"), spec_of(name, vec![step(4, &[]), step(3, &[0])]));
        sim.submit(&format!("gang-{number:02}"), spec_of(name, vec![gang(2)]));
        sim.run_for(700);
        if number % 5 == 4 {
            sim.cancel(&id);
        }
    }
    sim.run_until_jobs_final(90_000);

    assert_eq!(sim.violations, [], "seed {seed}, {faults:?}");
    for id in sim.specs.keys() {
        let phase = phase(&sim, id);
        assert!(phase.is_some_and(JobPhase::is_final), "seed {seed}, {faults:?}: {id} is {phase:?}");
    }
}

// Guards against usage that differs from the placed tasks, and runs beyond quotas, whichever order or answer is lost.
#[test]
fn quotas_hold_under_each_fault() {
    let cases = [
        Faults { answer_loss_rate: 0.3, ..Faults::default() },
        Faults { order_delay_rate: 0.3, ..Faults::default() },
        Faults { order_loss_rate: 0.3, ..Faults::default() },
        Faults { run_failure_rate: 0.2, ..Faults::default() },
        Faults { crashes_per_s: 0.5, ..Faults::default() },
        Faults { partitions_per_s: 0.5, ..Faults::default() },
        Faults { crashes_per_s: 1.0, order_delay_rate: 0.4, ..Faults::default() },
        Faults { failovers_per_s: 0.3, ..Faults::default() },
        Faults { commit_delay_ms: 200, failovers_per_s: 0.6, run_failure_rate: 0.3, ..Faults::default() },
        Faults { answer_loss_rate: 0.1, partitions_per_s: 0.3, failovers_per_s: 0.2, ..Faults::default() },
    ];

    for faults in cases {
        for seed in 0..8 {
            assert_quotas_hold(seed, faults);
        }
    }
}

// Guards against a line for each blocked task of each round.
#[test]
fn blocked_tasks_are_logged_once_a_second_for_each_organisation() {
    let mut usage = Usage::default();
    let (kora, lumen) = ("kora".into(), "lumen".into());

    let lines_of = |usage: &mut Usage, now_ms: u64| {
        u32::from(usage.takes_log_line(now_ms * 1_000, &kora)) + u32::from(usage.takes_log_line(now_ms * 1_000, &lumen))
    };
    let lines: u32 = (0..3_000).map(|now_ms| lines_of(&mut usage, now_ms)).sum();

    assert_eq!(lines, 6);
}

fn configure(leader: &mut Scheduler, cpu_milli: u64) {
    let organisations = super::sim::organisations([organisation("kora", cpu_milli)]);
    let version = leader.catalog.version + 1;
    leader.configure(Catalog { version, organisations, ..(*leader.catalog).clone() }.into());
}

/// A job that is cancelled, and an answer of a worker that lists a run of its only task.
fn unexpected_run(leader: &mut Scheduler, now_us: u64) -> HoldAnswer {
    const CANCELLED_JOB: &str = "cancelled";
    leader.submit(now_us, now_us / 1_000, CANCELLED_JOB.into(), spec_of("kora", vec![step(1, &[])]));
    leader.cancel(now_us, &CANCELLED_JOB.into());
    let task = TaskRef { job: CANCELLED_JOB.into(), occurrence: 0, step: 0, index: 0 };
    let running = vec![ActiveRun { task, run: 9, checkpoint: "".into(), percent: 0, load: None }];
    HoldAnswer {
        clock_ms: 20_000 + now_us / 1_000,
        started_unix_ms: None,
        is_complete: true,
        running,
        ended: Vec::new(),
    }
}

// Guards against untracked runs that hold resources but do not count, or count for ever.
#[test]
fn untracked_run_counts_until_its_worker_no_longer_lists_it() {
    let mut leader = leader_with_workers(2);
    configure(&mut leader, 2_000);
    leader.submit(10 * SECOND_US, 0, JOB.into(), spec_of("kora", vec![step(1, &[])]));

    let answer = unexpected_run(&mut leader, 10 * SECOND_US);
    leader.on_hold_answer(10 * SECOND_US, 10 * SECOND_US, &"w1".into(), &answer);
    leader.tick(10_050_000, 10_050);
    assert_eq!(leader.usage.of("kora").run_count, 1);
    assert_eq!(task(&leader, JOB).state, TaskState::Waiting, "the untracked run uses the quota");
    run(&mut leader, 10_100_000, 200);

    assert!(task(&leader, JOB).placed_on().is_some(), "{:?}", task(&leader, JOB).state);
    assert_eq!(leader.usage.of("kora").resources, Resources { cpu_milli: 2_000, mem_mb: 1_000, gpus: 0 });
}

// Guards against a quota that stays in use for as long as an idle worker is left alone.
#[test]
fn worker_with_an_untracked_run_is_asked_again_soon() {
    let mut leader = leader_with_workers(2);
    leader.submit(10 * SECOND_US, 0, JOB.into(), spec_of("kora", vec![step(1, &[])]));

    let answer = unexpected_run(&mut leader, 10 * SECOND_US);
    leader.on_hold_answer(10 * SECOND_US, 10 * SECOND_US, &"w1".into(), &answer);

    let plan = leader.plan_hold(10 * SECOND_US, &"w1".into());
    assert!(matches!(plan, HoldPlan::WaitUntil { at_us } if at_us <= 10_500_000), "{plan:?}");
}

// Guards against a quota that stays in use by runs of a worker that has restarted since.
#[test]
fn untracked_run_does_not_count_once_its_worker_has_restarted() {
    let mut leader = leader_with_workers(2);
    leader.submit(10 * SECOND_US, 0, JOB.into(), spec_of("kora", vec![step(1, &[])]));
    let answer = unexpected_run(&mut leader, 10 * SECOND_US);
    leader.on_hold_answer(10 * SECOND_US, 10 * SECOND_US, &"w1".into(), &answer);
    assert_eq!(leader.usage.of("kora").run_count, 1);

    let restarted =
        HoldAnswer { clock_ms: 10, started_unix_ms: Some(2), is_complete: true, running: Vec::new(), ..answer };
    leader.on_hold_answer(10_100_000, 10_100_000, &"w1".into(), &restarted);

    assert_eq!(leader.usage.of("kora").run_count, 0);
}

// Guards against a worker that is taken to have no lease because it is idle, and so was asked long ago.
#[test]
fn lease_of_a_start_order_counts_although_the_worker_answered_long_ago() {
    let mut leader = leader_with_workers(1);
    run(&mut leader, 10 * SECOND_US, 100);
    let worker = leader.workers.get_mut("w0").expect("it is listed");
    worker.lease_end_ms = 20_000 + 10_000 + 12_000;

    let is_over = |at_s: u64| leader.has_no_lease(at_s * SECOND_US, &"w0".into());

    assert!(!is_over(21), "the lease ends at 22 s on the clock of the worker, which may be slow");
    assert!(is_over(23));
}

// Guards against an organisation that is blocked for ever by an untracked run on a worker that has gone.
#[test]
fn untracked_run_on_a_lost_worker_counts_until_its_leases_have_ended() {
    let mut leader = leader_with_workers(2);
    configure(&mut leader, 2_000);
    leader.submit(10 * SECOND_US, 0, JOB.into(), spec_of("kora", vec![step(1, &[])]));
    let answer = unexpected_run(&mut leader, 10 * SECOND_US);
    leader.on_hold_answer(10 * SECOND_US, 10 * SECOND_US, &"w1".into(), &answer);

    leader.worker_unlisted(10 * SECOND_US, &"w1".into());
    for elapsed_ms in (0..8_000).step_by(100) {
        leader.plan_hold(10 * SECOND_US + elapsed_ms * 1_000, &"w1".into());
        leader.expire_untracked_usage(10 * SECOND_US + elapsed_ms * 1_000);
    }
    assert_eq!(leader.usage.of("kora").run_count, 1, "it may be running");
    leader.expire_untracked_usage(22 * SECOND_US);

    assert_eq!(leader.usage.of("kora").run_count, 0);
}
