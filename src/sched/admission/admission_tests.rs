//! Tests of the estimated waits.

use std::collections::BTreeMap;
use std::sync::Arc;

use proptest::prelude::*;

use super::{pool_waits, AdmissionReport, Backlog, PoolLoad, PoolWait};
use crate::row_store::MAX_ROW_BYTES;
use crate::sched::job::ShareClass;
use crate::sched::phase_rows::encode_admission;

const CAPACITY_MILLI: u64 = 10_000;

/// Work that keeps a pool of `CAPACITY_MILLI` busy for a time, by an organisation without a quota.
fn backlog(organisation: &str, class: ShareClass, busy_ms: u64) -> Backlog {
    let organisation = Some(Arc::from(organisation));
    let work = busy_ms * CAPACITY_MILLI;
    Backlog { organisation, class, priority: 0, work, weight: 1.0, cap_milli: u64::MAX }
}

/// A pool without free capacity.
fn full_pool(backlog: Vec<Backlog>) -> PoolLoad {
    PoolLoad { backlog, capacity_milli: CAPACITY_MILLI, expected_milli: 0, reserved_share: 1.0 }
}

fn waits_in(load: PoolLoad) -> Vec<PoolWait> {
    pool_waits(&BTreeMap::from([("press".into(), load)]))
}

/// Waits in the only pool within and beyond the rate.
fn wait_pair(load: PoolLoad) -> (u64, u64) {
    waits_in(load).first().map_or((0, 0), |wait| (wait.within_rate_ms, wait.beyond_rate_ms))
}

#[test]
fn overload_of_one_pool_makes_only_its_queues_wait() {
    let load = full_pool(vec![backlog("kora", ShareClass::WithinRate, 4_070)]);
    let pools = BTreeMap::from([("press".into(), load), ("bindery".into(), full_pool(Vec::new()))]);

    let report = AdmissionReport { waits: pool_waits(&pools), beyond_rate: vec!["flood".into()] };

    for organisation in [None, Some(&"flood".into())] {
        let waits_ms = [("press", 0), ("press", 1), ("bindery", 0), ("cutter", 0)]
            .map(|(pool, priority)| report.wait_ms(pool, priority, organisation));
        assert_eq!(waits_ms, [4_000, 4_000, 0, 0]);
    }
}

#[test]
fn work_beyond_the_rate_of_one_organisation_keeps_only_such_work_waiting() {
    let load = full_pool(vec![
        backlog("flood", ShareClass::BeyondRate, 9_000),
        backlog("flood", ShareClass::WithinRate, 300),
        backlog("quiet", ShareClass::WithinRate, 200),
    ]);

    assert_eq!(wait_pair(load), (500, 9_500));
}

#[test]
fn no_wait_is_left_after_the_overload() {
    assert_eq!(waits_in(full_pool(Vec::new())), Vec::new());
    assert_eq!(waits_in(full_pool(vec![backlog("kora", ShareClass::WithinRate, 99)])), Vec::new());
}

#[test]
fn queue_of_higher_priority_does_not_wait_for_those_of_lower_priority() {
    let low = Backlog { priority: 1, ..backlog("kora", ShareClass::WithinRate, 2_000) };
    let load = full_pool(vec![low, backlog("kora", ShareClass::WithinRate, 1_000)]);

    let report = AdmissionReport { waits: waits_in(load), beyond_rate: Vec::new() };

    assert_eq!([0, 1, 2].map(|priority| report.wait_ms("press", priority, None)), [1_000, 3_000, 3_000]);
}

#[test]
fn organisation_at_its_quota_keeps_others_waiting_only_for_what_its_quota_holds() {
    let capped = Backlog { cap_milli: 2_000, ..backlog("capped", ShareClass::WithinRate, 60_000) };

    assert_eq!(wait_pair(full_pool(vec![capped.clone()])), (0, 0), "8 cores are free for others");

    // Until the other organisation's work is done, it has 8 of 10 cores.
    let load = full_pool(vec![capped, backlog("other", ShareClass::WithinRate, 4_000)]);
    assert_eq!(wait_pair(load), (5_000, 5_000));
}

#[test]
fn capacity_that_the_pool_may_get_shortens_the_wait() {
    let load = PoolLoad {
        expected_milli: 3 * CAPACITY_MILLI,
        ..full_pool(vec![backlog("kora", ShareClass::WithinRate, 4_000)])
    };

    assert_eq!(wait_pair(load), (1_000, 1_000));
}

#[test]
fn nobody_waits_where_there_is_room_or_where_no_worker_is_known() {
    let backlog = vec![backlog("kora", ShareClass::WithinRate, 60_000)];

    assert_eq!(waits_in(PoolLoad { reserved_share: 0.7, ..full_pool(backlog.clone()) }), Vec::new());
    assert_eq!(waits_in(PoolLoad { capacity_milli: 0, ..full_pool(backlog.clone()) }), Vec::new());
}

#[test]
fn organisation_with_little_work_waits_for_its_own_only() {
    let heavy = Backlog { weight: 3.0, ..backlog("heavy", ShareClass::WithinRate, 9_000) };
    let weightless = Backlog { weight: 0.0, ..backlog("weightless", ShareClass::WithinRate, 100) };
    let load = full_pool(vec![heavy, backlog("light", ShareClass::WithinRate, 500), weightless]);

    let waits = waits_in(load);

    // The light organisation has a quarter of the capacity, the heavy one no more than the whole.
    let expected = [("heavy".into(), 9_600), ("light".into(), 2_000), ("weightless".into(), 9_600)];
    assert_eq!((waits[0].within_rate_ms, &waits[0].by_organisation[..]), (9_600, &expected[..]));
}

#[test]
fn report_gives_an_organisation_the_wait_of_its_class() {
    let by_organisation = vec![("busy".into(), 700)];
    let wait =
        PoolWait { pool: "press".into(), priority: 0, within_rate_ms: 900, beyond_rate_ms: 5_000, by_organisation };
    let report = AdmissionReport { waits: vec![wait], beyond_rate: vec!["flood".into()] };

    assert_eq!(report.wait_ms("press", 0, Some(&"flood".into())), 5_000);
    assert_eq!(report.wait_ms("press", 0, Some(&"busy".into())), 700);
    assert_eq!(report.wait_ms("press", 0, Some(&"quiet".into())), 0);
    assert_eq!(report.wait_ms("press", 0, None), 900);
    assert_eq!(report.wait_ms("other", 0, Some(&"flood".into())), 0);
}

#[test]
fn report_that_is_too_long_keeps_the_longest_waits() {
    // Guards against a report that the store refuses, with which nobody would learn of any wait.
    let names: Vec<Arc<str>> = (0..2_000).map(|number| format!("pool-{number:04}").into()).collect();
    let waits = names.iter().enumerate().map(|(number, pool)| PoolWait {
        pool: pool.clone(),
        priority: 0,
        within_rate_ms: number as u64,
        beyond_rate_ms: u64::MAX,
        by_organisation: vec![("kora".into(), number as u64)],
    });
    let mut report = AdmissionReport { waits: waits.collect(), beyond_rate: vec!["flood".into()] };
    report.waits[7].beyond_rate_ms = 1;

    let left_out = report.limit_to(MAX_ROW_BYTES);

    assert!(encode_admission(&report).len() <= MAX_ROW_BYTES);
    assert!(left_out > 0 && report.waits.len() + left_out == names.len());
    assert!(report.waits.is_sorted_by_key(|wait| wait.pool.clone()));
    assert!(report.wait_ms("pool-0000", 0, Some(&"flood".into())) > 0);
    assert_eq!(report.wait_ms("pool-0007", 0, Some(&"flood".into())), 0, "the shortest wait");
}

proptest! {
    #[test]
    fn wait_is_at_most_that_for_all_work_and_falls_with_capacity(
        works in proptest::collection::vec((0_u64..1_000_000_000, 1_u64..20_000), 0..12),
        more_milli in 0_u64..50_000,
    ) {
        let mut load = full_pool(Vec::new());
        for (index, (work, cap_milli)) in works.iter().enumerate() {
            let named = backlog(&format!("o{index}"), ShareClass::WithinRate, 0);
            load.backlog.push(Backlog { work: *work, cap_milli: *cap_milli, ..named });
        }
        let all_work: u64 = works.iter().map(|(work, _)| work).sum();

        let (wait_ms, _) = wait_pair(load.clone());
        let (shorter_ms, _) = wait_pair(PoolLoad { expected_milli: more_milli, ..load });

        prop_assert!(wait_ms <= all_work / CAPACITY_MILLI + 1);
        prop_assert!(shorter_ms <= wait_ms);
    }
}
