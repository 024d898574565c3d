//! Tests of waves that name hosts which the provider's latest list lacks.

use std::sync::Arc;

use super::action::Action;
use super::leader_fixtures::{
    add_hosts, add_hosts_at, entry_in, host, leader_with_workers, step_with_commit, SECOND_US,
};
use super::model::{HostList, HostOrderOutcome, HostRecord, WaveOrder};
use super::scheduler::Scheduler;

const WAVE: u64 = 1;

fn wave(hosts: &[&str]) -> WaveOrder {
    let hosts = hosts.iter().map(|host| Arc::from(*host)).collect();
    WaveOrder { number: WAVE, hosts, duration_ms: 30_000, max_down: 1 }
}

/// Hosts that were ordered to be maintained, and the reports of the wave.
#[derive(Debug, Default, PartialEq)]
struct Outcome {
    maintained: Vec<String>,
    reports: Vec<bool>,
}

/// Runs the leader for a second. The provider carries out each order at once; it lists the hosts only when a test says so.
fn run_for_a_second(leader: &mut Scheduler, from_us: u64) -> Outcome {
    let mut outcome = Outcome::default();
    for step in 0..10 {
        let now_us = from_us + step * SECOND_US / 10;
        for action in step_with_commit(leader, now_us) {
            match action {
                Action::MaintainHost { host, wave } => {
                    outcome.maintained.push(host.to_string());
                    leader.on_maintenance_outcome(now_us, &host, wave, HostOrderOutcome::Done);
                }
                Action::ReportWave { wave, complete } => {
                    outcome.reports.push(complete);
                    leader.on_wave_report_outcome(now_us, wave, complete, true);
                }
                _ => {}
            }
        }
    }
    outcome
}

fn joining_host() -> HostRecord {
    host(&entry_in("press", 5), true)
}

#[test]
fn wave_waits_for_a_list_that_was_requested_after_it_was_received() {
    // Guards against a wave that is reported as complete without a host which joined after the latest list.
    let mut leader = leader_with_workers(2);
    leader.add_wave(10 * SECOND_US, wave(&["h5"]));

    let before = run_for_a_second(&mut leader, 10 * SECOND_US);
    let earlier_list = leader.hosts.values().cloned().collect();
    leader.hosts_listed(11 * SECOND_US, 10 * SECOND_US - 1, earlier_list);
    let after_earlier_list = run_for_a_second(&mut leader, 11 * SECOND_US);
    add_hosts_at(&mut leader, 12 * SECOND_US, [joining_host()]);
    let after_list = run_for_a_second(&mut leader, 12 * SECOND_US);

    assert_eq!(before, Outcome { reports: vec![false], ..Outcome::default() });
    assert_eq!(after_earlier_list, Outcome::default(), "requested before the wave was received, answered afterwards");
    assert_eq!(after_list.maintained, ["h5"]);
}

#[test]
fn host_that_is_listed_late_is_still_maintained() {
    // Guards against a host that is left out for good because one list lacked it.
    let mut leader = leader_with_workers(2);
    leader.add_wave(10 * SECOND_US, wave(&["h5"]));
    let without = leader.hosts.values().cloned().collect();
    leader.hosts_listed(10 * SECOND_US, 10 * SECOND_US, without);

    let while_unlisted = run_for_a_second(&mut leader, 10 * SECOND_US);
    add_hosts_at(&mut leader, 11 * SECOND_US, [joining_host()]);
    let once_listed = run_for_a_second(&mut leader, 11 * SECOND_US);

    assert_eq!(while_unlisted, Outcome { reports: vec![true], ..Outcome::default() }, "nothing is left to maintain");
    assert_eq!(once_listed, Outcome { maintained: vec!["h5".to_owned()], reports: vec![false] });
}

#[test]
fn host_that_is_unlisted_during_its_maintenance_is_maintained_once() {
    // Guards against a second maintenance of a host that a list lacks while it is down.
    let mut leader = leader_with_workers(2);
    add_hosts(&mut leader, [joining_host()]);
    leader.add_wave(10 * SECOND_US, wave(&["h5"]));
    let first = run_for_a_second(&mut leader, 10 * SECOND_US);
    let without = leader.hosts.values().filter(|host| &*host.name != "h5").cloned().collect();
    leader.hosts_listed(11 * SECOND_US, 11 * SECOND_US, without);
    let while_unlisted = run_for_a_second(&mut leader, 11 * SECOND_US);

    add_hosts_at(&mut leader, 15 * SECOND_US, [joining_host()]);
    let once_listed = run_for_a_second(&mut leader, 15 * SECOND_US);

    assert_eq!(first.maintained, ["h5"]);
    assert_eq!((while_unlisted.maintained, while_unlisted.reports), (vec![], vec![true]));
    assert_eq!(once_listed, Outcome::default());
}

#[test]
fn host_is_up_again_only_if_a_list_requested_after_its_maintenance_says_so() {
    // Guards against an answer of the provider that arrives late, and shows the host as it was before its maintenance.
    let mut leader = leader_with_workers(2);
    add_hosts(&mut leader, [joining_host()]);
    leader.add_wave(10 * SECOND_US, wave(&["h5"]));
    run_for_a_second(&mut leader, 10 * SECOND_US);
    let hosts: Vec<HostRecord> = leader.hosts.values().cloned().collect();

    leader.hosts_listed(20 * SECOND_US, 10 * SECOND_US, hosts.clone());
    let after_late_answer = run_for_a_second(&mut leader, 20 * SECOND_US);
    leader.hosts_listed(21 * SECOND_US, 21 * SECOND_US, hosts);
    let after_list = run_for_a_second(&mut leader, 21 * SECOND_US);

    assert_eq!(after_late_answer, Outcome::default());
    assert_eq!(after_list, Outcome { reports: vec![true], ..Outcome::default() });
}

#[test]
fn list_with_an_unreadable_entry_shows_of_no_host_that_it_is_gone() {
    // Guards against a wave that is complete, and tasks that start again, because an entry of the list cannot be read.
    let mut leader = leader_with_workers(2);
    add_hosts(&mut leader, [joining_host()]);
    leader.add_wave(10 * SECOND_US, wave(&["h5"]));
    let other = HostRecord { pool: "spare".into(), ..leader.hosts["h0"].clone() };

    leader.host_list_read(10 * SECOND_US, 10 * SECOND_US, HostList { hosts: vec![other], is_complete: false });
    let outcome = run_for_a_second(&mut leader, 10 * SECOND_US);

    assert_eq!((outcome.maintained, outcome.reports), (vec!["h5".to_owned()], vec![false]));
    assert_eq!(&*leader.hosts["h0"].pool, "spare", "what the list shows counts");
}

/// Guards against a host that counts as up because the repetition of an unanswered order is refused, while it is down by the
/// first one: one more would be taken down than the wave allows.
#[test]
fn refusal_of_a_repeated_order_does_not_show_that_the_host_is_up() {
    for refusal in [HostOrderOutcome::Busy, HostOrderOutcome::Throttled, HostOrderOutcome::NotDone] {
        let mut leader = leader_with_workers(2);
        leader.add_wave(10 * SECOND_US, wave(&["h0", "h1"]));
        let hosts = leader.hosts.values().cloned().collect();
        leader.hosts_listed(10 * SECOND_US, 10 * SECOND_US, hosts);

        let mut ordered = Vec::new();
        for step in 0..50 {
            let now_us = 10 * SECOND_US + step * SECOND_US / 10;
            for action in step_with_commit(&mut leader, now_us) {
                let Action::MaintainHost { host, wave } = action else { continue };
                let outcome = if ordered.is_empty() { HostOrderOutcome::Unanswered } else { refusal };
                ordered.push(host.to_string());
                leader.on_maintenance_outcome(now_us, &host, wave, outcome);
            }
        }
        let first = ordered[0].clone();

        assert!(ordered.len() > 2, "{refusal:?}: the order is repeated");
        assert!(ordered.iter().all(|host| *host == first), "{refusal:?}: {ordered:?}");
        let after = run_for_a_second(&mut leader, 15 * SECOND_US);
        assert_eq!(after.maintained, [first], "{refusal:?}: an answer settles it");
    }
}
