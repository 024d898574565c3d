//! Tests of the stand-in's state and of injected faults.

use super::*;
use crate::clock::{US_PER_MS, US_PER_S};
use crate::platform::{HostState, Platform};
use crate::table::{Transaction, ABSENT_VERSION};

fn update(state: HostState) -> HostUpdate {
    HostUpdate { address: ([127, 0, 0, 1], 80).into(), zone: "z1".into(), pool: "p".into(), state }
}

#[test]
fn a_transaction_whose_condition_fails_writes_nothing() {
    let mut state = StandInState::default();
    let first = state.commit(&Transaction::new().require_version("a", ABSENT_VERSION).put("a", "1"));
    let CommitOutcome::Committed { version } = first else { panic!("{first:?}") };

    let conflict = state.commit(&Transaction::new().require_version("a", ABSENT_VERSION).put("a", "2").put("b", "2"));

    assert_eq!(conflict, CommitOutcome::Conflict { key: "a".into(), version });
    assert_eq!(state.read("a").map(|row| row.value), Some("1".into()));
    assert_eq!(state.read("b"), None);
}

#[test]
fn a_row_that_is_written_again_after_its_deletion_has_a_new_version() {
    let mut state = StandInState::default();
    state.commit(&Transaction::new().put("a", "1"));
    let old = state.read("a").expect("row").version;
    state.commit(&Transaction::new().delete("a"));
    state.commit(&Transaction::new().put("a", "2"));

    let commit = state.commit(&Transaction::new().require_version("a", old).put("a", "3"));

    assert!(matches!(commit, CommitOutcome::Conflict { .. }));
}

#[test]
fn a_scan_returns_only_the_keys_with_the_prefix() {
    let mut state = StandInState::default();
    state.commit(&Transaction::new().put("a/1", "1").put("a/2", "2").put("b/1", "3"));

    let keys: Vec<Arc<str>> = state.scan("a/").into_iter().map(|row| row.key).collect();

    assert_eq!(keys, ["a/1".into(), "a/2".into()]);
}

#[test]
fn the_host_list_lags_and_reports_each_change_once() {
    let mut state = StandInState::default();
    state.put_host(0, "h1", &update(HostState::Live));
    state.put_host(5 * US_PER_S, "h1", &update(HostState::Leaving));

    let early = state.host_changes(6 * US_PER_S, 2_000, 0);
    let late = state.host_changes(8 * US_PER_S, 2_000, early.cursor);
    let nothing = state.host_changes(9 * US_PER_S, 2_000, late.cursor);

    assert_eq!(early.hosts[0].state, HostState::Live);
    assert_eq!(late.hosts[0].state, HostState::Leaving);
    assert!(nothing.hosts.is_empty());
}

#[test]
fn a_host_that_becomes_live_again_has_a_new_epoch() {
    let mut state = StandInState::default();
    state.put_host(0, "h1", &update(HostState::Live));
    let leaving = state.put_host(1, "h1", &update(HostState::Leaving));

    let returned = state.put_host(2, "h1", &update(HostState::Live));

    assert_eq!((leaving.epoch, returned.epoch), (1, 2));
}

#[test]
fn starting_a_task_again_has_no_effect_and_it_lapses_when_its_lease_expires() {
    let mut tasks = Tasks::default();
    let start = |worker: &str| TaskUpdate::Start { worker: worker.into(), lease_ms: 100 };
    tasks.update(0, "t", &start("w1"));

    let again = tasks.update(10, "t", &start("w2")).expect("task");
    let late = tasks.update(200 * US_PER_MS, "t", &TaskUpdate::Renew { lease_ms: 100 }).expect("task");

    assert_eq!(&*again.worker, "w1");
    assert_eq!(late.state, TaskState::Lapsed);
    assert_eq!(tasks.update(0, "unknown", &TaskUpdate::Stop), None);
}

#[test]
fn calls_take_effect_if_their_response_is_lost_but_not_if_the_platform_is_unavailable() {
    let standin = StandIn::new();
    let platform = EmbeddedPlatform::new(standin.clone(), "z1");
    let write = |value: &str| platform.commit(&Transaction::new().put("a", value));

    standin.change_faults(&FaultChange { cut_zones: Some(vec!["z1".into()]), ..FaultChange::default() });
    let cut = write("1");
    let after_cut = standin.state().read("a");
    standin.change_faults(&FaultChange {
        cut_zones: Some(vec!["z2".into()]),
        lose_answers: Some(true),
        ..FaultChange::default()
    });
    let lost = write("2");
    let after_loss = standin.state().read("a").map(|row| row.value);
    standin.change_faults(&FaultChange { down: Some(true), ..FaultChange::default() });
    let down = write("3");

    assert!(matches!(cut, Err(PlatformError::Unavailable { .. })));
    assert_eq!(after_cut, None);
    assert!(matches!(lost, Err(PlatformError::ResponseLost { .. })));
    assert_eq!(after_loss, Some("2".into()));
    assert!(matches!(down, Err(PlatformError::Unavailable { .. })));
    assert_eq!(standin.state().read("a").map(|row| row.value), Some("2".into()));
}
