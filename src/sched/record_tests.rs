//! Tests of the encoding of stored rows: rows without organisations must not change between versions.

use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use super::admission::{AdmissionReport, PoolWait};
use super::job::{Job, RunPhase, WorkerIncarnation, MAX_JOB_TASKS};
use super::model::{FinishedJob, JobId, JobOrigin, JobPhase, ReportedPhase, TaskRef};
use super::phase_rows::{decode_admission, decode_published_phases, encode_admission, encode_published_phases};
use super::record::{
    decode_finished_job, decode_spec, encode_cancelled_before_submission, encode_final_phase, encode_job, encode_spec,
    restore_job,
};
use super::sim::{spec, step};
use super::worker_loss::{Blame, WorkerLoss};

fn origin(queue: &str, organisation: &str) -> JobOrigin {
    JobOrigin { queue: queue.into(), organisation: Some(organisation.into()) }
}

fn reported(job: &str, phase: JobPhase, origin: Option<JobOrigin>) -> ReportedPhase {
    ReportedPhase { job: job.into(), phase, origin }
}

/// Encodes a value as versions without organisations do.
fn encode_as_before<T: Serialize>(value: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(value, bincode::config::standard()).expect("the value can be encoded")
}

/// Decodes a value as versions without organisations do: bytes after it are ignored.
fn decode_as_before<T: for<'de> serde::Deserialize<'de>>(row: &[u8]) -> T {
    bincode::serde::decode_from_slice(row, bincode::config::standard()).expect("the row can be decoded").0
}

#[test]
fn rows_without_organisations_are_byte_for_byte_those_of_earlier_versions() {
    let job = spec(vec![step(2, &[])]);
    let phases: Vec<(JobId, JobPhase)> = vec![("a".into(), JobPhase::Running), ("b".into(), JobPhase::Failed)];
    let reported: Vec<ReportedPhase> = phases.iter().map(|(id, phase)| reported(id, *phase, None)).collect();

    assert_eq!(encode_spec(&job), encode_as_before(&job));
    assert_eq!(encode_published_phases(&reported), encode_as_before(&phases));
    assert_eq!(encode_final_phase(JobPhase::Completed, None), encode_as_before(&JobPhase::Completed));
}

#[test]
fn rows_of_earlier_versions_are_read_as_jobs_without_an_organisation() {
    let phases: Vec<(JobId, JobPhase)> = vec![("a".into(), JobPhase::Running)];

    let published = decode_published_phases(&encode_as_before(&phases)).expect("the row can be decoded");
    let finished = decode_finished_job(&encode_as_before(&JobPhase::Failed)).expect("the row can be decoded");

    assert_eq!(published, vec![reported("a", JobPhase::Running, None)]);
    assert_eq!(finished, FinishedJob { phase: JobPhase::Failed, origin: None, was_submitted: true });
}

#[test]
fn origins_of_jobs_are_restored_from_their_rows() {
    let phases = vec![
        reported("a", JobPhase::Running, Some(origin("q1", "kora"))),
        reported("b", JobPhase::Queued, None),
        reported("c", JobPhase::Failed, Some(origin("q2", "tamo"))),
        reported("d", JobPhase::Failed, Some(origin("q1", "kora"))),
    ];
    let kora = origin("q1", "kora");
    let mut job = spec(vec![step(1, &[])]);
    job.organisation = Some("kora".into());

    let published = decode_published_phases(&encode_published_phases(&phases)).expect("the row can be decoded");
    let finished = decode_finished_job(&encode_final_phase(JobPhase::Completed, Some(&kora)));
    let submitted = decode_spec(&encode_spec(&job)).expect("the row can be decoded");

    assert_eq!(published, phases);
    let expected = FinishedJob { phase: JobPhase::Completed, origin: Some(kora), was_submitted: true };
    assert_eq!(finished.expect("the row can be decoded"), expected);
    assert_eq!(submitted.organisation.as_deref(), Some("kora"));
}

#[test]
fn earlier_versions_can_read_rows_with_organisations() {
    let phases = [reported("a", JobPhase::Running, Some(origin("q1", "kora")))];
    let final_row = encode_final_phase(JobPhase::Failed, Some(&origin("q1", "kora")));

    let pairs: Vec<(JobId, JobPhase)> = decode_as_before(&encode_published_phases(&phases));

    assert_eq!(pairs, vec![("a".into(), JobPhase::Running)]);
    assert_eq!(decode_as_before::<JobPhase>(&final_row), JobPhase::Failed);
}

/// Guards against a row that earlier versions cannot read, or that is taken for one of a job that was submitted.
#[test]
fn job_that_was_cancelled_before_its_submission_is_told_from_one_that_was_submitted() {
    let kora = origin("q1", "kora");

    let row = encode_cancelled_before_submission(&kora);

    let expected = FinishedJob { phase: JobPhase::Cancelled, origin: Some(kora.clone()), was_submitted: false };
    assert_eq!(decode_finished_job(&row).expect("the row can be decoded"), expected);
    assert_eq!(decode_as_before::<(JobPhase, JobOrigin)>(&row), (JobPhase::Cancelled, kora));
}

#[test]
fn truncated_origins_are_an_error() {
    let mut row = encode_published_phases(&[reported("a", JobPhase::Running, Some(origin("q1", "kora")))]);
    row.pop();

    assert!(decode_published_phases(&row).is_err());
}

#[test]
fn report_about_waits_is_an_empty_list_of_phases_to_earlier_versions() {
    let wait = PoolWait {
        pool: "press".into(),
        priority: 1,
        within_rate_ms: 1,
        beyond_rate_ms: 2,
        by_organisation: vec![("kora".into(), 1)],
    };
    let report = AdmissionReport { waits: vec![wait], beyond_rate: vec!["tamo".into()] };

    let row = encode_admission(&report);

    assert_eq!(decode_as_before::<Vec<(JobId, JobPhase)>>(&row), []);
    assert_eq!(decode_admission(&row).expect("the row can be decoded"), report);
}

/// A job in which every task has been lost with one worker, is placed on another, and has a checkpoint.
fn largest_job() -> Job {
    const WORKERS: u32 = 600;
    let mut rng = SmallRng::seed_from_u64(1);
    let mut job = Job::new("5c0e7a21d94b36f8".into(), Arc::new(spec(vec![step(MAX_JOB_TASKS as u32, &[])])));
    job.begin_occurrence(0);
    let workers: Vec<WorkerIncarnation> = (0..WORKERS)
        .map(|_| WorkerIncarnation {
            id: format!("i-{:010x}", rng.random::<u64>() >> 24).into(),
            started_unix_ms: 1_700_000_000_000 + rng.random_range(0..100_000),
        })
        .collect();
    for index in 0..MAX_JOB_TASKS as u32 {
        let task_ref = TaskRef { job: job.id.clone(), occurrence: 0, step: 0, index };
        let task = job.task_mut(&task_ref).expect("a task of the job");
        let worker = workers[rng.random_range(0..workers.len())].clone();
        task.losses.push(WorkerLoss { worker, is_crash: true, has_begun: true, blame: Blame::None });
        let worker = workers[rng.random_range(0..workers.len())].clone();
        task.add_run(0, worker, rng.random_range(2..5), RunPhase::Committing);
        task.checkpoint = format!("{:016x}", rng.random::<u64>()).into();
    }
    job
}

#[test]
fn record_of_the_largest_job_fits_in_a_row_of_the_store() {
    const ROW_BYTES: usize = 65_536;
    let job = largest_job();

    let row = encode_job(&job);
    let mut restored = Job::new(job.id.clone(), job.spec.clone());
    restore_job(&mut restored, &row).expect("the record can be decoded");

    assert!(row.len() <= ROW_BYTES, "{} bytes", row.len());
    let losses = |job: &Job| job.tasks().map(|(_, task)| task.losses.clone()).collect::<Vec<_>>();
    let checkpoints = |job: &Job| job.tasks().map(|(_, task)| task.checkpoint.clone()).collect::<Vec<_>>();
    assert_eq!((losses(&restored), checkpoints(&restored)), (losses(&job), checkpoints(&job)));
}
