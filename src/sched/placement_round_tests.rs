//! Tests of jobs that wait behind others which fit on no worker at present.

use super::action::Action;
use super::leader_fixtures::{leader_with_workers, long_step, step_with_commit, SECOND_US};
use super::model::{JobId, JobSpec, Queue};
use super::scheduler::Scheduler;
use super::sim::{queue, spec, step};
use super::work_counts::Work;

/// No worker that runs a long-running task has as much.
const WIDE_MILLI: u64 = 15_000;
const LONG_RUNNING: &str = "long-running";
const WIDE_JOBS: usize = 60;
/// Longest wait of a task that fits.
const MAX_WAIT_US: u64 = SECOND_US;
const START_US: u64 = 10 * SECOND_US;

/// A leader with six workers, each of which runs a long-running task.
fn leader_with_long_running_tasks() -> Scheduler {
    let mut leader = leader_with_workers(6);
    let mut step = long_step(6, 2_000);
    step.max_per_worker = Some(1);
    leader.submit(START_US, 0, LONG_RUNNING.into(), spec(vec![step]));
    started(&mut leader, START_US, 5 * SECOND_US);
    assert!(leader.workers.values().all(|worker| worker.long_running_count == 1));
    leader
}

fn job_of(cpu_milli: u64, priority: u32) -> JobSpec {
    let mut step = step(1, &[]);
    step.needs.cpu_milli = cpu_milli;
    JobSpec { queue: Queue { priority, ..(*queue()).clone() }.into(), ..spec(vec![step]) }
}

fn submit_wide(leader: &mut Scheduler, now_us: u64, priority: u32) {
    for number in 0..WIDE_JOBS {
        leader.submit(now_us, now_us / 1_000, format!("wide-{number:02}").into(), job_of(WIDE_MILLI, priority));
    }
}

/// Runs the leader, and returns the jobs of which it starts a task, other than the long-running one.
fn started(leader: &mut Scheduler, from_us: u64, for_us: u64) -> Vec<JobId> {
    let mut started = Vec::new();
    for now_us in (from_us..from_us + for_us).step_by(50_000) {
        for action in step_with_commit(leader, now_us) {
            match action {
                Action::Start(start) if &*start.task.job != LONG_RUNNING => started.push(start.task.job),
                _ => {}
            }
        }
    }
    started
}

#[test]
fn late_job_that_fits_does_not_wait_for_late_ones_that_do_not() {
    // Guards against a round that ends before it reaches the job, each time: jobs that are late come by their deadlines.
    let mut leader = leader_with_long_running_tasks();
    submit_wide(&mut leader, 16 * SECOND_US, 0);
    leader.submit(17 * SECOND_US, 17_000, "small".into(), job_of(500, 0));
    for id in ["small", "wide-00"] {
        leader.jobs.get_mut(id).expect("the job is known").deadline_us = START_US;
    }
    for number in 0..WIDE_JOBS {
        let wide = leader.jobs.get_mut(&*format!("wide-{number:02}")).expect("the job is known");
        wide.deadline_us = START_US - SECOND_US;
    }

    let started = started(&mut leader, 20 * SECOND_US, MAX_WAIT_US);

    assert_eq!(started, ["small".into()]);
}

#[test]
fn late_job_that_fits_does_not_wait_for_jobs_on_time_that_do_not() {
    // Guards against late jobs that are never tried while enough others, which come before them, find no worker.
    let mut leader = leader_with_long_running_tasks();
    leader.submit(16 * SECOND_US, 16_000, "small".into(), job_of(500, 1));
    leader.jobs.get_mut("small").expect("the job is known").deadline_us = START_US;
    submit_wide(&mut leader, 20 * SECOND_US, 0);

    let started = started(&mut leader, 20 * SECOND_US, MAX_WAIT_US);

    assert_eq!(started, ["small".into()]);
}

#[test]
fn jobs_that_fit_nowhere_cause_no_rounds_without_end() {
    // Guards against rounds that are due all the time, once no job waits in a pool any more or none can be placed.
    let mut leader = leader_with_long_running_tasks();
    submit_wide(&mut leader, 16 * SECOND_US, 0);
    let rounds = |leader: &Scheduler| leader.work_counts().of(Work::Rounds);

    started(&mut leader, 20 * SECOND_US, SECOND_US);
    let before = rounds(&leader);
    started(&mut leader, 21 * SECOND_US, 2 * SECOND_US);
    let while_waiting = rounds(&leader) - before;
    for number in 0..WIDE_JOBS {
        leader.cancel(23 * SECOND_US, &format!("wide-{number:02}").into());
    }
    started(&mut leader, 23 * SECOND_US, SECOND_US);

    assert!(while_waiting <= 20, "{while_waiting} rounds in two seconds");
    assert!(!leader.complete_rounds.are_due(u64::MAX), "no job waits");
}
