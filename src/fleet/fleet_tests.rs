//! Tests of the fleet: lagging lists, faster signs of departure, and their order.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::*;

fn host(name: &str, pool: &str, state: HostState, epoch: u64) -> HostEntry {
    HostEntry {
        name: name.into(),
        address: ([127, 0, 0, 1], 80).into(),
        zone: "z".into(),
        pool: pool.into(),
        state,
        epoch,
    }
}

fn list(hosts: Vec<HostEntry>) -> HostChanges {
    HostChanges { cursor: 1, hosts }
}

fn departure(host: &str, epoch: u64) -> Departure {
    Departure { host: host.into(), epoch }
}

#[test]
fn a_departure_holds_against_a_list_that_still_says_live() {
    let mut fleet = Fleet::new();
    fleet.apply_changes(0, list(vec![host("h", "p", HostState::Live, 1)]));

    let change = fleet.depart(10, &departure("h", 1));
    fleet.apply_changes(20, list(vec![host("h", "p", HostState::Live, 1)]));

    assert_eq!(change.departures, [departure("h", 1)]);
    assert!(fleet.endpoints("p").is_empty());
}

#[test]
fn a_later_epoch_is_back_in_use_and_an_old_sign_does_not_count() {
    let mut fleet = Fleet::new();
    fleet.apply_changes(0, list(vec![host("h", "p", HostState::Live, 1)]));
    fleet.depart(10, &departure("h", 1));

    fleet.apply_changes(20, list(vec![host("h", "p", HostState::Live, 2)]));
    let change = fleet.depart(30, &departure("h", 1));

    assert_eq!(fleet.endpoints("p").len(), 1);
    assert_eq!(change, FleetChange::default());
}

#[test]
fn a_sign_may_come_before_the_list_knows_the_host() {
    let mut fleet = Fleet::new();
    fleet.depart(0, &departure("h", 3));

    fleet.apply_changes(10, list(vec![host("h", "p", HostState::Live, 3)]));

    assert!(fleet.endpoints("p").is_empty());
}

#[test]
fn a_host_that_moves_changes_both_pools() {
    let mut fleet = Fleet::new();
    fleet.apply_changes(0, list(vec![host("h", "p", HostState::Live, 1)]));

    let change = fleet.apply_changes(10, list(vec![host("h", "q", HostState::Live, 2)]));

    assert_eq!(change.pools, BTreeSet::from(["p".into(), "q".into()]));
    assert!(fleet.endpoints("p").is_empty());
    assert_eq!(fleet.endpoints("q").len(), 1);
}

#[test]
fn departures_are_told_once_and_forgotten_in_the_end() {
    let mut fleet = Fleet::new();
    fleet.apply_changes(0, list(vec![host("h", "p", HostState::Live, 1)]));
    fleet.depart(0, &departure("h", 1));

    let repeated = fleet.depart(1, &departure("h", 1));
    let told = fleet.recent_departures(US_PER_S, 8);
    let told_later = fleet.recent_departures(120 * US_PER_S, 8);
    fleet.forget_old(601 * US_PER_S);

    assert!(repeated.departures.is_empty());
    assert_eq!(told, [departure("h", 1)]);
    assert!(told_later.is_empty());
    assert_eq!(fleet.endpoints("p").len(), 1, "a sign that the list never confirmed");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Each host is an endpoint of at most one pool, and none that left at its newest epoch is used.
    #[test]
    fn one_pool_each_and_no_departed_endpoint(
        events in proptest::collection::vec((0_usize..4, 0_usize..3, 1_u64..5, 0_u8..4), 1..80)
    ) {
        let names = ["h0", "h1", "h2", "h3"];
        let pools = ["p0", "p1", "p2"];
        let mut fleet = Fleet::new();
        let mut newest = [0_u64; 4];
        let mut left = [0_u64; 4];
        for (at_us, (index, pool, epoch, event)) in events.into_iter().enumerate() {
            let now_us = at_us as u64;
            let state = match event {
                0 | 1 => HostState::Live,
                2 => HostState::Leaving,
                _ => {
                    fleet.depart(now_us, &departure(names[index], epoch));
                    left[index] = left[index].max(epoch);
                    continue;
                }
            };
            fleet.apply_changes(now_us, list(vec![host(names[index], pools[pool], state, epoch)]));
            if state != HostState::Live && epoch >= newest[index] {
                left[index] = left[index].max(epoch);
            }
            newest[index] = newest[index].max(epoch);
        }
        let mut seen = BTreeSet::new();
        for pool in pools {
            for endpoint in fleet.endpoints(pool) {
                prop_assert!(seen.insert(endpoint.name.clone()), "{} in two pools", endpoint.name);
                let index = names.iter().position(|name| **name == *endpoint.name).expect("known");
                prop_assert!(endpoint.epoch > left[index]);
            }
        }
    }
}
