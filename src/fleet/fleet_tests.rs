//! Tests of the fleet: departures that are reported before the lagging host list shows them, and their order.

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
fn a_departure_overrides_a_list_that_still_says_live() {
    let mut fleet = Fleet::new();
    fleet.apply_changes(0, list(vec![host("h", "p", HostState::Live, 1)]));

    let change = fleet.record_departure(10, &departure("h", 1));
    fleet.apply_changes(20, list(vec![host("h", "p", HostState::Live, 1)]));

    assert_eq!(change.departures, [departure("h", 1)]);
    assert!(fleet.endpoints("p").is_empty());
}

#[test]
fn a_later_epoch_is_used_and_not_affected_by_departures_of_earlier_ones() {
    let mut fleet = Fleet::new();
    fleet.apply_changes(0, list(vec![host("h", "p", HostState::Live, 1)]));
    fleet.record_departure(10, &departure("h", 1));

    fleet.apply_changes(20, list(vec![host("h", "p", HostState::Live, 2)]));
    let change = fleet.record_departure(30, &departure("h", 1));

    assert_eq!(fleet.endpoints("p").len(), 1);
    assert_eq!(change, FleetChange::default());
}

#[test]
fn a_departure_may_be_reported_before_the_host_is_listed() {
    let mut fleet = Fleet::new();
    fleet.record_departure(0, &departure("h", 3));

    fleet.apply_changes(10, list(vec![host("h", "p", HostState::Live, 3)]));

    assert!(fleet.endpoints("p").is_empty());
}

#[test]
fn a_host_that_moves_to_another_pool_changes_both() {
    let mut fleet = Fleet::new();
    fleet.apply_changes(0, list(vec![host("h", "p", HostState::Live, 1)]));

    let change = fleet.apply_changes(10, list(vec![host("h", "q", HostState::Live, 2)]));

    assert_eq!(change.pools, BTreeSet::from(["p".into(), "q".into()]));
    assert!(fleet.endpoints("p").is_empty());
    assert_eq!(fleet.endpoints("q").len(), 1);
}

#[test]
fn departures_are_recorded_once_and_expire() {
    let mut fleet = Fleet::new();
    fleet.apply_changes(0, list(vec![host("h", "p", HostState::Live, 1)]));
    fleet.record_departure(0, &departure("h", 1));

    let repeated = fleet.record_departure(1, &departure("h", 1));
    let gossiped = fleet.recent_departures(US_PER_S, 8);
    let gossiped_later = fleet.recent_departures(120 * US_PER_S, 8);
    fleet.expire_departures(601 * US_PER_S);

    assert!(repeated.departures.is_empty());
    assert_eq!(gossiped, [departure("h", 1)]);
    assert!(gossiped_later.is_empty());
    assert_eq!(fleet.endpoints("p").len(), 1, "the list never confirmed the departure");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Each host is an endpoint of at most one pool, and is not used in an epoch that has departed.
    #[test]
    fn each_host_serves_at_most_one_pool_and_not_after_its_departure(
        events in proptest::collection::vec((0_usize..4, 0_usize..3, 1_u64..5, 0_u8..4), 1..80)
    ) {
        let names = ["h0", "h1", "h2", "h3"];
        let pools = ["p0", "p1", "p2"];
        let mut fleet = Fleet::new();
        let mut newest_epoch = [0_u64; 4];
        let mut departed_epoch = [0_u64; 4];
        for (at_us, (index, pool, epoch, event)) in events.into_iter().enumerate() {
            let now_us = at_us as u64;
            let state = match event {
                0 | 1 => HostState::Live,
                2 => HostState::Leaving,
                _ => {
                    fleet.record_departure(now_us, &departure(names[index], epoch));
                    departed_epoch[index] = departed_epoch[index].max(epoch);
                    continue;
                }
            };
            fleet.apply_changes(now_us, list(vec![host(names[index], pools[pool], state, epoch)]));
            if state != HostState::Live && epoch >= newest_epoch[index] {
                departed_epoch[index] = departed_epoch[index].max(epoch);
            }
            newest_epoch[index] = newest_epoch[index].max(epoch);
        }
        let mut seen = BTreeSet::new();
        for pool in pools {
            for endpoint in fleet.endpoints(pool) {
                prop_assert!(seen.insert(endpoint.name.clone()), "{} in two pools", endpoint.name);
                let index = names.iter().position(|name| **name == *endpoint.name).expect("one of the names");
                prop_assert!(endpoint.epoch > departed_epoch[index]);
            }
        }
    }
}
