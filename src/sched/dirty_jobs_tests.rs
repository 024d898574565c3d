//! Tests of the order in which records are stored and ended runs are acknowledged.

use std::sync::Arc;

use super::action::Batch;
use super::dirty_jobs::{DirtyJobs, Waiting};
use super::leader_fixtures::{leader_with_workers, run, SECOND_US};
use super::model::{EndedRun, HoldAnswer, JobId, RunOutcome, TaskRef};
use super::scheduler::Scheduler;
use super::sim::{spec, step};

/// Takes the first jobs, up to `max_count`.
fn take(dirty: &mut DirtyJobs, max_count: usize) -> Vec<JobId> {
    let mut taken = Vec::new();
    while taken.len() < max_count {
        let Some(id) = dirty.first().cloned() else { break };
        dirty.remove(&id);
        taken.push(id);
    }
    taken
}

fn id(number: u32) -> JobId {
    format!("job-{number:05}").into()
}

/// A leader whose workers run one task of each of `count` jobs.
fn leader_with_running_jobs(count: u32) -> Scheduler {
    let mut leader = leader_with_workers(count as usize);
    for number in 0..count {
        leader.submit(10 * SECOND_US, 0, id(number), spec(vec![step(2, &[])]));
    }
    run(&mut leader, 10 * SECOND_US, 400);
    leader
}

/// Lets the worker of a job's first task report its end, numbered 1.
fn end_first_task(leader: &mut Scheduler, now_us: u64, job: &JobId) -> Arc<str> {
    let task = TaskRef { job: job.clone(), occurrence: 0, step: 0, index: 0 };
    let worker = leader.jobs[job].task(&task).and_then(|task| task.placed_on()).expect("the task runs").id.clone();
    let ended = EndedRun { number: 1, task, run: 1, outcome: RunOutcome::Done, checkpoint: "".into() };
    let answer = HoldAnswer {
        clock_ms: 40_000,
        started_unix_ms: None,
        is_complete: true,
        running: Vec::new(),
        ended: vec![ended],
    };
    leader.on_hold_answer(now_us, now_us, &worker, &answer);
    worker
}

fn acknowledged(batch: &Batch, worker: &str) -> Option<u64> {
    batch.acknowledged.iter().find(|(id, ..)| &**id == worker).map(|(.., cursor)| *cursor)
}

#[test]
fn record_is_stored_in_turn_although_jobs_with_lower_ids_change_all_the_time() {
    let mut dirty = DirtyJobs::default();
    dirty.mark(&id(900), Waiting::ForRecord);
    let mut rounds = 0;

    loop {
        (0..200).for_each(|number| dirty.mark(&id(number), Waiting::ForRecord));
        rounds += 1;
        if take(&mut dirty, 90).contains(&id(900)) {
            break;
        }
        assert!(rounds < 10, "the record is never stored");
    }

    assert_eq!(rounds, 1);
}

#[test]
fn record_that_a_start_waits_for_goes_ahead_of_progress() {
    let mut dirty = DirtyJobs::default();
    (0..200).for_each(|number| dirty.mark(&id(number), Waiting::Nothing));

    dirty.mark(&id(300), Waiting::ForRecord);
    dirty.mark(&id(150), Waiting::ForRecord);

    assert_eq!(take(&mut dirty, 2), [id(300), id(150)]);
}

#[test]
fn progress_is_stored_after_a_bounded_number_of_other_records() {
    let mut dirty = DirtyJobs::default();
    dirty.mark(&id(0), Waiting::Nothing);
    let mut others = 0;

    while !take(&mut dirty, 1).contains(&id(0)) {
        others += 1;
        dirty.mark(&id(others), Waiting::ForRecord);
        dirty.mark(&id(100_000 + others), Waiting::ForRecord);
        assert!(others < 2_000, "progress is never stored");
    }
}

#[test]
fn ended_run_is_acknowledged_although_other_jobs_wait_to_be_stored() {
    let mut leader = leader_with_running_jobs(3);
    let now_us = 11 * SECOND_US;
    let worker = end_first_task(&mut leader, now_us, &id(0));
    let others: Vec<JobId> = (1_000..1_200).map(id).collect();
    for other in &others {
        leader.submit(now_us, 0, other.clone(), spec(vec![step(1, &[])]));
        leader.mark_dirty(other);
    }
    leader.mark_dirty(&id(0));

    let batches: Vec<Batch> = (0..3).map(|_| leader.take_batch(now_us)).collect();

    assert!(batches.iter().all(|batch| batch.records.len() <= 90));
    let stored = batches.iter().position(|batch| batch.records.iter().any(|(job, _)| *job == id(0)));
    let told = batches.iter().position(|batch| acknowledged(batch, &worker) == Some(1));
    assert_eq!((stored, told), (Some(2), Some(2)), "acknowledged with its own record, and not before");
}

#[test]
fn ended_run_is_not_acknowledged_before_its_own_job_is_stored() {
    let mut leader = leader_with_running_jobs(2);
    let now_us = 11 * SECOND_US;
    for number in 1_000..1_090 {
        leader.submit(now_us, 0, id(number), spec(vec![step(1, &[])]));
        leader.mark_dirty(&id(number));
    }
    let worker = end_first_task(&mut leader, now_us, &id(0));

    let full = leader.take_batch(now_us);
    let next = leader.take_batch(now_us);

    assert_eq!((full.records.len(), acknowledged(&full, &worker)), (90, None));
    assert_eq!(acknowledged(&next, &worker), Some(1));
}

#[test]
fn job_is_finished_only_once_its_final_phase_is_stored() {
    // Guards against a submission that is removed by a leader which then loses its office: the next one would find a record
    // by which the job goes on.
    let mut leader = leader_with_workers(1);
    leader.submit(10 * SECOND_US, 0, id(1), spec(vec![step(1, &[])]));
    leader.mark_dirty(&id(1));
    let batch = leader.take_batch(10 * SECOND_US);
    leader.cancel(10 * SECOND_US, &id(1));

    leader.batch_committed(10 * SECOND_US, 10 * SECOND_US, &batch);
    let before = leader.take_finished_jobs();
    let batch = leader.take_batch(10 * SECOND_US);
    leader.batch_committed(10 * SECOND_US, 10 * SECOND_US, &batch);
    let after = leader.take_finished_jobs();

    assert_eq!(before, []);
    assert_eq!(after.iter().map(|finished| &finished.job).collect::<Vec<_>>(), [&id(1)]);
}
