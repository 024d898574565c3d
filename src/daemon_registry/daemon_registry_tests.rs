//! Tests of leases and of the choice of peers.

use std::collections::BTreeSet;

use super::*;
use crate::standin::Store;

fn info(name: &str) -> DaemonInfo {
    DaemonInfo { name: name.into(), zone: "z".into(), incarnation: 7, peer_address: ([127, 0, 0, 1], 1).into() }
}

fn renew(store: &mut Store, registry: &mut DaemonRegistry) {
    let transaction = registry.renewal_transaction();
    let commit = store.commit(&transaction);
    registry.renewed(&commit);
}

fn names(daemons: &[DaemonInfo]) -> Vec<&str> {
    daemons.iter().map(|daemon| &*daemon.name).collect()
}

#[test]
fn a_lease_lapses_by_the_observers_clock_and_is_tidied_up() {
    let mut store = Store::default();
    let (mut a, mut b) = (DaemonRegistry::new(info("a")), DaemonRegistry::new(info("b")));
    renew(&mut store, &mut a);
    renew(&mut store, &mut b);

    a.observe(0, &store.scan(LEASE_PREFIX));
    let live = a.live_others();
    a.observe(LEASE_US + 1, &store.scan(LEASE_PREFIX));
    let lapsed = a.live_others();
    let tidy = a.observe(DELETE_AFTER_US + 1, &store.scan(LEASE_PREFIX)).expect("an old row");
    store.commit(&tidy);

    assert_eq!(names(&live), ["b"]);
    assert!(lapsed.is_empty());
    assert_eq!(store.scan(LEASE_PREFIX).len(), 1);
}

#[test]
fn a_renewed_lease_does_not_lapse() {
    let mut store = Store::default();
    let (mut a, mut b) = (DaemonRegistry::new(info("a")), DaemonRegistry::new(info("b")));
    for step in 0..10 {
        renew(&mut store, &mut b);
        a.observe(step * RENEW_EVERY_US, &store.scan(LEASE_PREFIX));
    }

    assert_eq!(names(&a.live_others()), ["b"]);
}

#[test]
fn leases_do_not_lapse_while_the_table_cannot_be_read() {
    let mut store = Store::default();
    let (mut a, mut b) = (DaemonRegistry::new(info("a")), DaemonRegistry::new(info("b")));
    renew(&mut store, &mut b);
    a.observe(0, &store.scan(LEASE_PREFIX));
    let during_outage = a.live_others();

    renew(&mut store, &mut b);
    a.observe(3_600 * US_PER_S, &store.scan(LEASE_PREFIX));

    assert_eq!(names(&during_outage), ["b"]);
    assert_eq!(names(&a.live_others()), ["b"]);
}

#[test]
fn looks_grow_rarer_with_the_number_of_daemons() {
    let mut a = DaemonRegistry::new(info("a"));
    assert!(a.look_is_due(0));
    let others: Vec<DaemonInfo> = (0..120).map(|number| info(&format!("d{number}"))).collect();
    a.observe(0, &[]);

    let few = a.look_is_due(RENEW_EVERY_US);
    a.introduce(0, &others);

    assert!(few);
    assert!(!a.look_is_due(20 * US_PER_S));
    assert!(a.look_is_due(30 * US_PER_S));
}

#[test]
fn a_renewal_whose_answer_was_lost_is_found_by_the_next_look() {
    let mut store = Store::default();
    let mut a = DaemonRegistry::new(info("a"));
    let lost = a.renewal_transaction();
    store.commit(&lost);
    assert!(!a.is_leased());

    a.observe(0, &store.scan(LEASE_PREFIX));
    renew(&mut store, &mut a);
    let release = a.release().expect("leased");
    let released = store.commit(&release);

    assert!(matches!(released, Commit::Committed { .. }));
    assert!(store.scan(LEASE_PREFIX).is_empty());
}

#[test]
fn a_daemon_that_is_heard_lives_though_its_row_does_not_change() {
    let mut store = Store::default();
    let (mut a, mut b) = (DaemonRegistry::new(info("a")), DaemonRegistry::new(info("b")));
    renew(&mut store, &mut b);
    a.observe(0, &store.scan(LEASE_PREFIX));
    a.observe(LEASE_US + 1, &store.scan(LEASE_PREFIX));
    let lapsed = a.live_others();

    a.heard_from(LEASE_US + 2, &info("b"));

    assert!(lapsed.is_empty());
    assert_eq!(names(&a.live_others()), ["b"]);
}

/// News spreads from any daemon to all others within log2(n) + 1 rounds.
#[test]
fn gossip_reaches_everyone_in_logarithmic_time() {
    for count in [2_usize, 3, 6, 7, 108] {
        let all: Vec<DaemonInfo> = (0..count).map(|number| info(&format!("d{number:03}"))).collect();
        let mut informed = BTreeSet::from([all[count / 2].name.clone()]);
        let rounds = count.ilog2() + 1;
        for _ in 0..rounds {
            for daemon in &all {
                if !informed.contains(&daemon.name) {
                    continue;
                }
                let others: Vec<DaemonInfo> = all.iter().filter(|other| *other != daemon).cloned().collect();
                let targets = gossip_targets(&daemon.name, &others);
                assert!(targets.len() <= count.ilog2() as usize + 1);
                informed.extend(targets.into_iter().map(|target| target.name));
            }
        }
        assert_eq!(informed.len(), count);
    }
}
