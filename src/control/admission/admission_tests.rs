//! Tests of which submissions are refused.

use std::sync::Arc;

use super::{admit, AdmissionError, ReceivedReport};
use crate::platform::job_api::decode_job;
use crate::platform::operator::decode_catalog;
use crate::sched::admission::{AdmissionReport, PoolWait};
use crate::sched::model::{Catalog, JobSpec};

const SECOND_US: u64 = 1_000_000;
const RECEIVED_US: u64 = 50 * SECOND_US;
/// A job whose critical path takes 1 s may take 2.2 s; its result is worthless after 6.6 s.
const JOB: &str = r#"{"steps":[{"count":1,"estimateMs":600},{"count":4,"estimateMs":400,"after":[0]}]}"#;

fn catalog() -> Catalog {
    let config = r#"{"version":1,
        "routes":[{"name":"q","host":"h.example","pathPrefix":"/q/","service":"press","stretch":1.6,
            "targetLatencyMs":600}],
        "tenants":[{"name":"quiet","cap":{"cpu":4000,"gpu":2}},{"name":"flood"}]}"#;
    decode_catalog(config.as_bytes()).expect("a valid configuration")
}

fn job_of(organisation: &str, body: &str) -> JobSpec {
    let mut spec = decode_job(&catalog().queues[0], body.as_bytes(), 0).expect("a valid job");
    spec.organisation = (!organisation.is_empty()).then(|| Arc::from(organisation));
    spec
}

fn received(within_rate_ms: u64, beyond_rate_ms: u64) -> ReceivedReport {
    let by_organisation = vec![("quiet".into(), within_rate_ms)];
    let waits = vec![PoolWait { pool: "press".into(), priority: 0, within_rate_ms, beyond_rate_ms, by_organisation }];
    let report = AdmissionReport { waits, beyond_rate: vec!["flood".into()] };
    ReceivedReport { report, written_after_us: RECEIVED_US }
}

/// Retry-After of a refusal half a second after the report was written; `None` if the job is admitted.
fn retry_after_s(spec: &JobSpec, received: &ReceivedReport) -> Option<u64> {
    match admit(RECEIVED_US + SECOND_US / 2, spec, &catalog().organisations, Some(received)) {
        Ok(()) => None,
        Err(AdmissionError::WouldBeLate { retry_after_s, .. }) => Some(retry_after_s),
        Err(error) => panic!("{error}"),
    }
}

#[test]
fn job_is_refused_only_if_it_would_complete_after_its_result_is_worthless() {
    let job = job_of("quiet", JOB);

    assert_eq!(retry_after_s(&job, &received(5_600, 0)), None);
    assert_eq!(retry_after_s(&job, &received(5_700, 0)), Some(1));
    assert_eq!(retry_after_s(&job, &received(6_700, 0)), Some(2), "rounded up");
    assert_eq!(retry_after_s(&job_of("", JOB), &received(5_700, 0)), Some(1), "a job without an organisation");
}

#[test]
fn organisation_that_floods_is_refused_beside_quiet_ones() {
    let report = received(300, 20_000);

    assert_eq!(retry_after_s(&job_of("flood", JOB), &report), Some(15));
    assert_eq!(retry_after_s(&job_of("quiet", JOB), &report), None);
    assert_eq!(retry_after_s(&job_of("", JOB), &report), None);
}

#[test]
fn all_are_admitted_again_after_the_overload() {
    let after = ReceivedReport { report: AdmissionReport::default(), ..received(0, 0) };

    assert_eq!(retry_after_s(&job_of("flood", JOB), &after), None);
    assert_eq!(retry_after_s(&job_of("quiet", JOB), &after), None);
}

#[test]
fn stale_report_and_missing_report_refuse_nothing() {
    let job = job_of("flood", JOB);
    let report = received(60_000, 60_000);
    let admit_after = |age_us| admit(RECEIVED_US + age_us, &job, &catalog().organisations, Some(&report));

    assert!(admit_after(2 * SECOND_US).is_err());
    assert_eq!(admit_after(2 * SECOND_US + 1_000), Ok(()));
    assert_eq!(admit(RECEIVED_US, &job, &catalog().organisations, None), Ok(()));
}

#[test]
fn two_daemons_with_the_same_report_decide_the_same() {
    let job = job_of("flood", JOB);
    let first = received(0, 8_000);
    let second = ReceivedReport { written_after_us: RECEIVED_US - SECOND_US, ..first.clone() };

    assert_eq!(retry_after_s(&job, &first), Some(3));
    assert_eq!(retry_after_s(&job, &second), Some(3), "received with an older bound on its age");
}

#[test]
fn jobs_without_a_time_budget_are_not_refused() {
    let report = received(60_000, 60_000);
    let recurring = r#"{"steps":[{"count":1,"estimateMs":600}],"times":3,"intervalMs":1000}"#;
    let long_running = r#"{"steps":[{"count":1,"estimateMs":600,"longRunning":true}]}"#;

    assert_eq!(retry_after_s(&job_of("flood", recurring), &report), None);
    assert_eq!(retry_after_s(&job_of("flood", long_running), &report), None);
}

#[test]
fn gang_wider_than_the_quota_is_refused_with_the_quota() {
    let check = |organisation, body| admit(0, &job_of(organisation, body), &catalog().organisations, None);
    let wide_gang = r#"{"steps":[{"count":1,"cpu":100},{"count":5,"cpu":1000,"gang":true}]}"#;
    let gpu_gang = r#"{"steps":[{"count":3,"gpu":1,"gang":true}]}"#;

    let refused = check("quiet", wide_gang).expect_err("the gang can never run").to_string();
    assert!(
        refused.contains("steps[1]") && refused.contains("quota of 4000") && refused.contains("quiet"),
        "{refused}"
    );
    assert!(matches!(
        check("quiet", gpu_gang),
        Err(AdmissionError::GangBeyondQuota { resource: "GPUs", quota: 2, .. })
    ));
    assert_eq!(check("flood", wide_gang), Ok(()), "no quota");
    assert_eq!(check("", wide_gang), Ok(()), "no organisation");
}

#[test]
fn wide_step_and_single_task_beyond_the_quota_are_not_refused() {
    let check = |body| admit(0, &job_of("quiet", body), &catalog().organisations, None);

    assert_eq!(check(r#"{"steps":[{"count":5,"cpu":1000}]}"#), Ok(()), "it runs in rounds");
    assert_eq!(check(r#"{"steps":[{"count":1,"cpu":9000,"gang":true}]}"#), Ok(()), "it may run alone");
    assert_eq!(check(r#"{"steps":[{"count":4,"cpu":1000,"gang":true}]}"#), Ok(()), "it fits");
}
