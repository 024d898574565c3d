//! Tests of what a daemon learns of jobs from the rows that the leader writes.

use std::sync::Arc;

use super::StatusView;
use crate::control::{pending_counts_key, ADMISSION_KEY, LEADER_PARTITION, PHASE_TABLE};
use crate::row_store::{RowId, StoredRow, MAX_ROW_BYTES};
use crate::sched::admission::{AdmissionReport, PoolWait};
use crate::sched::model::{JobOrigin, JobPhase, ReportedPhase};
use crate::sched::phase_rows::{
    encode_admission, encode_further_pending_counts, encode_pending_counts, encode_published_phases,
    split_pending_counts,
};

const JOB: &str = "00000000000000a1";

fn kora() -> JobOrigin {
    JobOrigin { queue: "q1".into(), organisation: Some("kora".into()) }
}

fn row(phase: JobPhase, origin: Option<JobOrigin>) -> StoredRow {
    let value = encode_published_phases(&[ReportedPhase { job: JOB.into(), phase, origin }]);
    StoredRow { id: RowId::new(PHASE_TABLE, LEADER_PARTITION, "1"), version: 1, value: Some(value) }
}

#[test]
fn origin_is_known_from_the_published_phase() {
    let mut status = StatusView::default();

    status.apply_rows(&[row(JobPhase::Running, Some(kora()))], 0);

    let job = status.job(JOB).expect("the job is known");
    assert_eq!((job.phase, job.origin.as_deref()), (JobPhase::Running, Some(&kora())));
}

#[test]
fn origin_known_from_the_submission_is_not_forgotten_when_a_row_names_none() {
    let mut status = StatusView::default();
    status.mark_stored(&JOB.into(), Some(kora()));

    status.apply_rows(&[row(JobPhase::Running, None)], 0);

    let job = status.job(JOB).expect("the job is known");
    assert_eq!((job.phase, job.origin.as_deref()), (JobPhase::Running, Some(&kora())));
}

#[test]
fn final_phase_never_changes() {
    let mut status = StatusView::default();

    status.apply_rows(&[row(JobPhase::Completed, None)], 0);
    status.apply_rows(&[row(JobPhase::Running, None)], 0);
    status.mark_stored(&JOB.into(), None);

    assert_eq!(status.job(JOB).map(|job| job.phase), Some(JobPhase::Completed));
}

/// Report that a job would wait in the pool `press`.
fn admission_row(wait_ms: u64) -> StoredRow {
    let wait = PoolWait {
        pool: "press".into(),
        priority: 0,
        within_rate_ms: wait_ms,
        beyond_rate_ms: wait_ms,
        by_organisation: Vec::new(),
    };
    let report = AdmissionReport { waits: vec![wait], beyond_rate: Vec::new() };
    let id = RowId::new(PHASE_TABLE, LEADER_PARTITION, ADMISSION_KEY);
    StoredRow { id, version: 1, value: Some(encode_admission(&report)) }
}

#[test]
fn latest_report_about_waits_counts_with_the_time_after_which_it_was_written() {
    let mut status = StatusView::default();

    status.apply_rows(&[admission_row(300)], 1_000);
    status.apply_rows(&[admission_row(700)], 2_000);
    status.apply_rows(&[StoredRow { value: Some(vec![0, 9]), ..admission_row(0) }], 3_000);

    let received = status.admission().expect("a report");
    assert_eq!((received.report.wait_ms("press", 0, None), received.written_after_us), (700, 2_000));
}

/// Rows with the numbers of queued jobs, `1 + number` in each queue.
fn pending_rows(queues: u64) -> Vec<StoredRow> {
    let counts: Vec<(Arc<str>, u64)> =
        (0..queues).map(|number| (format!("queue-with-a-long-name-{number:06}").into(), 1 + number)).collect();
    let parts = split_pending_counts(&counts);
    let row = |(index, part): (usize, &&[(Arc<str>, u64)])| {
        let value = match index {
            0 => encode_pending_counts(part, parts.len()),
            _ => encode_further_pending_counts(part),
        };
        let id = RowId::new(PHASE_TABLE, LEADER_PARTITION, &pending_counts_key(index));
        StoredRow { id, version: 1, value: Some(value) }
    };
    parts.iter().enumerate().map(row).collect()
}

#[test]
fn numbers_of_queued_jobs_are_known_however_many_queues_have_some() {
    // Guards against counts that outgrow a row: the store would refuse every transaction that holds them.
    let mut status = StatusView::default();
    let rows = pending_rows(10_000);

    status.apply_rows(&rows, 0);

    assert!(rows.len() > 1);
    assert!(rows.iter().all(|row| row.value.as_ref().is_some_and(|value| value.len() <= MAX_ROW_BYTES)));
    for number in [0, 1, 4_000, 9_999] {
        assert_eq!(status.pending_count(&format!("queue-with-a-long-name-{number:06}")), 1 + number);
    }
}

#[test]
fn rows_that_are_left_over_from_more_queues_do_not_count() {
    let mut status = StatusView::default();
    status.apply_rows(&pending_rows(10_000), 0);

    status.apply_rows(&pending_rows(2), 0);
    assert_eq!(status.pending_count("queue-with-a-long-name-000001"), 2);
    assert_eq!(status.pending_count("queue-with-a-long-name-009999"), 0);

    status.apply_rows(&pending_rows(0), 0);
    assert_eq!(status.pending_count("queue-with-a-long-name-000001"), 0);
}
