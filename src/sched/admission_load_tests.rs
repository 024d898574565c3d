//! Tests of what the leader reports about waits.

use std::sync::Arc;

use super::admission::AdmissionReport;
use super::job::ShareClass;
use super::leader_fixtures::{leader_with_workers, run_with, SECOND_US};
use super::model::{Catalog, Queue, Resources};
use super::organisation::Organisation;
use super::phase_rows::encode_admission;
use super::scheduler::Scheduler;
use super::sim::{spec, step};
use crate::row_store::MAX_ROW_BYTES;

const START_US: u64 = 10 * SECOND_US;

/// A leader with two workers of 16 cores each and the spare host, whose fleet two organisations share.
fn leader_with_organisations() -> Scheduler {
    let mut leader = leader_with_workers(2);
    let mut config: Catalog = (*leader.catalog).clone();
    for name in ["kora", "tamo"] {
        let organisation = Organisation { name: name.into(), weight: 1.0, cap: Resources::MAX };
        config.organisations.add(organisation, []).expect("a valid organisation");
    }
    leader.configure(Arc::new(config));
    leader
}

/// Submits jobs of one organisation that each keep 32 cores busy for 0.5 s.
fn submit(leader: &mut Scheduler, now_us: u64, organisation: &str, class: ShareClass, count: usize) {
    for number in 0..count {
        let mut job = spec(vec![step(16, &[])]);
        job.organisation = Some(organisation.into());
        job.accepted_unix_ms = now_us / 1_000;
        let id = Arc::from(format!("{organisation}-{number}"));
        leader.submit(now_us, now_us / 1_000, Arc::clone(&id), job);
        leader.jobs.get_mut(&id).expect("the job is known").share_class = class;
    }
}

/// Runs the leader without any task ending; returns the time of each report and the report.
fn reports(leader: &mut Scheduler, from_us: u64, for_ms: u64) -> Vec<(u64, AdmissionReport)> {
    let mut reports = Vec::new();
    run_with(leader, from_us, for_ms, |leader, now_us| {
        reports.extend(leader.take_admission_report(now_us).map(|report| (now_us, report)));
    });
    reports
}

#[test]
fn no_report_is_made_without_organisations() {
    let mut leader = leader_with_workers(2);
    submit(&mut leader, START_US, "kora", ShareClass::BeyondRate, 20);

    assert_eq!(reports(&mut leader, START_US, 3_000), []);
}

#[test]
fn no_report_is_made_while_there_is_room() {
    let mut leader = leader_with_organisations();

    assert_eq!(reports(&mut leader, START_US, 3_000), []);
}

#[test]
fn overload_is_reported_twice_a_second_by_class() {
    let mut leader = leader_with_organisations();
    submit(&mut leader, START_US, "tamo", ShareClass::WithinRate, 2);
    submit(&mut leader, START_US, "kora", ShareClass::BeyondRate, 20);

    let reports = reports(&mut leader, START_US, 2_000);

    assert!((3..=4).contains(&reports.len()), "{}", reports.len());
    assert!(reports.windows(2).all(|pair| pair[1].0 >= pair[0].0 + 500_000));
    let (_, report) = &reports[1];
    assert_eq!(report.beyond_rate, [Arc::from("kora")]);
    assert_eq!(&*report.waits[0].pool, "press");
    assert!(report.waits[0].beyond_rate_ms > 3_000, "{report:?}");
    assert!(report.waits[0].within_rate_ms < 1_000, "{report:?}");
}

#[test]
fn end_of_the_overload_is_reported_once() {
    let mut leader = leader_with_organisations();
    submit(&mut leader, START_US, "kora", ShareClass::WithinRate, 20);
    assert!(!reports(&mut leader, START_US, 1_000).is_empty());

    let ids: Vec<Arc<str>> = leader.jobs.keys().cloned().collect();
    ids.iter().for_each(|id| leader.cancel(START_US + SECOND_US, id));
    let after = reports(&mut leader, START_US + SECOND_US, 3_000);

    assert_eq!(after.iter().map(|(_, report)| report.clone()).collect::<Vec<_>>(), [AdmissionReport::default()]);
}

#[test]
fn jobs_whose_result_is_worthless_keep_nobody_waiting() {
    let mut leader = leader_with_organisations();
    submit(&mut leader, START_US, "kora", ShareClass::WithinRate, 20);
    // Each job may take 2 s, and is worth nothing after 6 s.
    let late = reports(&mut leader, START_US, 8_000);

    assert!(!late.is_empty());
    assert!(late.iter().all(|(at_us, _)| *at_us < START_US + 6_600_000), "{:?}", late.last());
}

#[test]
fn report_waits_for_a_transaction_that_is_not_full() {
    let mut leader = leader_with_organisations();
    submit(&mut leader, START_US, "kora", ShareClass::WithinRate, 100);
    reports(&mut leader, START_US, 100);
    let ids: Vec<Arc<str>> = leader.jobs.keys().cloned().collect();
    ids.iter().for_each(|id| leader.mark_dirty(id));
    let now_us = START_US + SECOND_US;

    let full = leader.take_batch(now_us);
    let next = leader.take_batch(now_us);

    assert_eq!((full.records.len(), full.admission.is_some()), (90, false));
    assert!(next.records.len() < 90 && next.admission.is_some());
}

#[test]
fn report_fits_into_a_row_however_many_queues_there_are() {
    // Guards against a report that the store refuses, together with all that is stored with it.
    let mut leader = leader_with_organisations();
    let mut config: Catalog = (*leader.catalog).clone();
    let first = config.queues[0].clone();
    for number in 0..10_000 {
        let name: Arc<str> = format!("queue-{number}").into();
        config.queues.push(Arc::new(Queue { name, ..(*first).clone() }));
    }
    leader.configure(Arc::new(config));
    submit(&mut leader, START_US, "tamo", ShareClass::WithinRate, 20);
    submit(&mut leader, START_US, "kora", ShareClass::BeyondRate, 20);

    let reports = reports(&mut leader, START_US, 2_000);

    assert!(!reports.is_empty());
    let largest = reports.iter().map(|(_, report)| encode_admission(report).len()).max();
    assert!(largest.is_some_and(|bytes| bytes <= MAX_ROW_BYTES), "{largest:?}");
}
