//! Tests of long-running tasks that are stopped a short time after their start, because a task of the same step has lost
//! several workers.

use super::leader_fixtures::{long_step, JOB};
use super::model::{JobPhase, JobSpec, TaskRef};
use super::sim::{spec, Faults, Sim};

fn task_of(job: &str, index: u32) -> TaskRef {
    TaskRef { job: job.into(), occurrence: 0, step: 0, index }
}

/// Four long-running tasks, of which one may be unavailable, on a worker each.
fn four_long_running_tasks() -> JobSpec {
    let mut long = long_step(4, 2_000);
    long.max_unavailable = Some(1);
    long.max_per_worker = Some(1);
    spec(vec![long])
}

/// Number of the worker on which a task is placed.
fn worker_of(sim: &Sim, task_ref: &TaskRef) -> Option<usize> {
    let task = sim.scheduler.jobs[&task_ref.job].task(task_ref)?;
    task.placed_on()?.id.trim_start_matches('w').parse().ok()
}

/// Guards against a job that is failed for crashes of workers which its task has not caused: its other tasks were stopped
/// without regard to the disruption budget, while the task that lost its worker was away.
#[test]
fn tasks_stay_at_work_when_another_of_their_step_has_lost_three_workers() {
    let mut sim = Sim::new(1, 8, Faults::default());
    sim.submit(JOB, four_long_running_tasks());
    sim.run_for(3_000);
    let task_ref = task_of(JOB, 0);

    for _ in 0..3 {
        let number = worker_of(&sim, &task_ref).expect("the task is placed");
        sim.crash(number);
        sim.run_for(6_000);
    }

    assert_eq!(sim.violations, []);
    assert_eq!(sim.scheduler.jobs[JOB].phase, JobPhase::Running);
}
