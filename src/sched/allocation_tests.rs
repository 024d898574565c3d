//! Tests of how hosts are divided between pools.

use std::collections::BTreeMap;
use std::sync::Arc;

use foldhash::HashSet;

use super::allocation::{
    Allocation, DemandTier, HostLoad, HostRequest, MovableHost, PoolBalance, RequestKind, Transfer,
};
use super::labels::LabelBalances;
use super::leader_fixtures::{entry_in, host};
use super::model::Resources;

/// Capacity of each host, in thousandths of a core.
const HOST_MILLI: u64 = 16_000;

/// A balance; all figures are in hosts.
fn balance(capacity: u64, present: u64, expected: u64, late: u64) -> PoolBalance {
    PoolBalance {
        capacity: capacity * HOST_MILLI,
        present_demand: present * HOST_MILLI,
        expected_demand: expected * HOST_MILLI,
        late_demand: late * HOST_MILLI,
    }
}

fn hosts_in(pool: &str, numbers: std::ops::Range<usize>, load: HostLoad) -> Vec<MovableHost> {
    let movable = |number| MovableHost {
        record: host(&entry_in(pool, number), true),
        is_spare: pool == "spare",
        awaits_maintenance: false,
        load,
    };
    numbers.map(movable).collect()
}

fn pools<const N: usize>(balances: [(&str, PoolBalance); N]) -> BTreeMap<Arc<str>, PoolBalance> {
    balances.into_iter().map(|(pool, balance)| (pool.into(), balance)).collect()
}

/// Covers the shortfalls of one tier and returns the transfers.
fn cover(
    balances: BTreeMap<Arc<str>, PoolBalance>,
    hosts: Vec<MovableHost>,
    tier: DemandTier,
    max: u32,
) -> Vec<Transfer> {
    let (labels, rejected_moves) = (LabelBalances::new(), HashSet::default());
    let mut allocation = Allocation { balances, hosts, labels: &labels, rejected_moves: &rejected_moves };
    allocation.cover_shortfalls(tier, max)
}

fn count_to(transfers: &[Transfer], pool: &str) -> usize {
    transfers.iter().filter(|transfer| &*transfer.pool == pool).count()
}

const BUSY_ON_TIME: HostLoad = HostLoad::Busy { reserved_milli: 2_000, has_on_time_tasks: true };
const BUSY_LATE: HostLoad = HostLoad::Busy { reserved_milli: 2_000, has_on_time_tasks: false };

#[test]
fn tasks_that_wait_get_idle_hosts_of_a_pool_that_only_expects_work() {
    let balances = pools([("wide", balance(10, 2, 40, 0)), ("narrow", balance(1, 6, 6, 0))]);

    let transfers = cover(balances, hosts_in("wide", 0..10, HostLoad::Idle), DemandTier::Present, 100);

    assert_eq!(count_to(&transfers, "narrow"), 5);
    assert_eq!(transfers.len(), 5);
}

#[test]
fn expected_work_gets_no_host_that_another_pool_expects_to_need() {
    let balances = pools([("wide", balance(10, 2, 9, 0)), ("narrow", balance(1, 1, 30, 0))]);

    let transfers = cover(balances, hosts_in("wide", 0..10, HostLoad::Idle), DemandTier::Expected, 100);

    assert_eq!(count_to(&transfers, "narrow"), 1);
}

#[test]
fn shortage_is_shared_in_proportion_to_demand() {
    let balances =
        pools([("large", balance(0, 60, 60, 0)), ("small", balance(0, 20, 20, 0)), ("covered", balance(9, 9, 9, 0))]);

    let transfers = cover(balances, hosts_in("spare", 0..40, HostLoad::Idle), DemandTier::Present, 100);

    assert_eq!(count_to(&transfers, "large"), 30);
    assert_eq!(count_to(&transfers, "small"), 10);
    assert_eq!(count_to(&transfers, "covered"), 0);
}

#[test]
fn no_pool_gets_more_hosts_than_it_lacks() {
    let balances = pools([("wide", balance(3, 5, 8, 2))]);

    for (tier, lacking) in [(DemandTier::Present, 2), (DemandTier::Expected, 5), (DemandTier::Late, 7)] {
        let transfers = cover(balances.clone(), hosts_in("spare", 0..20, HostLoad::Idle), tier, 100);

        assert_eq!(transfers.len(), lacking, "{tier:?}");
    }
}

#[test]
fn only_idle_hosts_count_against_the_limit_of_moves() {
    let balances = pools([("wide", balance(0, 9, 9, 0)), ("narrow", balance(10, 0, 0, 0))]);
    let hosts = [hosts_in("narrow", 0..2, HostLoad::Idle), hosts_in("narrow", 2..5, BUSY_LATE)].concat();

    let limited = cover(balances.clone(), hosts.clone(), DemandTier::Present, 1);
    let transfers = cover(balances, hosts, DemandTier::Present, 3);

    assert_eq!(limited.len(), 1);
    assert_eq!(transfers.iter().filter(|transfer| transfer.is_idle).count(), 2);
    assert_eq!(transfers.len(), 5);
}

#[test]
fn hosts_with_tasks_of_on_time_jobs_stay_and_late_jobs_drain_no_host() {
    let balances = pools([("wide", balance(0, 4, 4, 4)), ("narrow", balance(10, 0, 0, 0))]);

    let for_on_time = cover(balances.clone(), hosts_in("narrow", 0..4, BUSY_ON_TIME), DemandTier::Present, 100);
    let for_late = cover(balances, hosts_in("narrow", 0..4, BUSY_LATE), DemandTier::Late, 100);

    assert_eq!(for_on_time, []);
    assert_eq!(for_late, []);
}

#[test]
fn host_that_the_provider_does_not_move_to_a_pool_is_left_for_others() {
    let balances = pools([("wide", balance(0, 2, 2, 0)), ("narrow", balance(0, 1, 1, 0))]);
    let hosts = hosts_in("spare", 0..1, HostLoad::Idle);
    let rejected_moves = [(hosts[0].record.name.clone(), Arc::from("wide"))].into_iter().collect();
    let labels = LabelBalances::new();
    let mut allocation = Allocation { balances, hosts, labels: &labels, rejected_moves: &rejected_moves };

    let transfers = allocation.cover_shortfalls(DemandTier::Present, 100);

    assert_eq!(count_to(&transfers, "narrow"), 1);
    assert_eq!(transfers.len(), 1);
}

#[test]
fn unschedulable_tasks_get_a_busy_host_of_a_pool_without_surplus() {
    let balances = pools([("wide", balance(0, 1, 1, 0)), ("narrow", balance(4, 4, 9, 0))]);
    let (labels, rejected_moves) = (LabelBalances::new(), HashSet::default());
    let hosts = hosts_in("narrow", 0..4, BUSY_ON_TIME);
    let mut allocation = Allocation { balances, hosts, labels: &labels, rejected_moves: &rejected_moves };
    let pool = Arc::from("wide");
    let kind = RequestKind::Unschedulable;
    let request = HostRequest { pool: &pool, label: None, kind, needs: Resources::default() };

    let transfer = allocation.take_host(&request);

    assert!(transfer.is_some_and(|transfer| !transfer.is_idle));
}

// Guards against hosts that come to a pool and are taken away again by a wave at once.
#[test]
fn idle_hosts_that_need_no_maintenance_soon_come_first() {
    let balances = pools([("narrow", balance(1, 3, 3, 0))]);
    let mut hosts = hosts_in("spare", 0..4, HostLoad::Idle);
    for number in [0, 2] {
        hosts[number].awaits_maintenance = true;
    }

    let transfers = cover(balances, hosts, DemandTier::Present, 100);

    let mut names: Vec<&str> = transfers.iter().map(|transfer| &*transfer.host).collect();
    names.sort_unstable();
    assert_eq!(names, ["h1", "h3"]);
}
