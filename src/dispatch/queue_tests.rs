//! Tests of the fair queue.

use super::queue::FairQueue;
use super::{Arrival, Request, RequestId};

fn request(id: u64, caller: &str) -> Request {
    // A caller is named as "team/caller", or by itself in the team "t".
    let (team, caller) = caller.split_once('/').unwrap_or(("t", caller));
    let arrival = Arrival {
        team: team.into(),
        id: RequestId(id),
        pool: "p".into(),
        caller: caller.into(),
        idempotent: true,
        deadline_us: id * 10,
        body_bytes: 5,
    };
    Request { arrival, attempts: 0, avoid: None, may_have_run: false, queued_us: id, queued_behind: 0 }
}

fn filled(entries: &[(u64, &str)]) -> FairQueue {
    let mut queue = FairQueue::default();
    for (id, caller) in entries {
        queue.push(request(*id, caller));
    }
    queue
}

fn drain(queue: &mut FairQueue) -> Vec<u64> {
    std::iter::from_fn(|| queue.pop()).map(|request| request.arrival.id.0).collect()
}

#[test]
fn callers_take_turns_and_keep_their_own_order() {
    let mut queue = filled(&[(1, "a"), (2, "a"), (3, "a"), (4, "b"), (5, "c"), (6, "b")]);

    assert_eq!(queue.bytes(), 30);
    assert_eq!(drain(&mut queue), [1, 4, 5, 2, 6, 3]);
    assert_eq!((queue.len(), queue.bytes()), (0, 0));
}

#[test]
fn a_request_that_waited_before_goes_first() {
    let mut queue = filled(&[(1, "a"), (2, "b")]);

    queue.push_first(request(3, "b"));

    assert_eq!(drain(&mut queue), [3, 1, 2]);
}

#[test]
fn counts_what_leaves_before_a_new_request() {
    let queue = filled(&[(1, "a"), (2, "a"), (3, "a"), (4, "b")]);

    assert_eq!(queue.ahead_of(&request(9, "a").arrival), 4);
    assert_eq!(queue.ahead_of(&request(9, "b").arrival), 3);
    assert_eq!(queue.ahead_of(&request(9, "c").arrival), 2);
}

#[test]
fn displaces_the_newest_of_the_busiest_only() {
    let mut queue = filled(&[(1, "a"), (2, "a"), (3, "a"), (4, "b")]);

    let displaced = queue.displace_for(&request(9, "b").arrival).map(|request| request.arrival.id.0);
    let second = queue.displace_for(&request(9, "b").arrival).map(|request| request.arrival.id.0);

    assert_eq!(displaced, Some(3));
    assert_eq!(second, None, "the busiest would have no more than the newcomer");
}

#[test]
fn removes_expired_requests_in_the_order_of_arrival() {
    let mut queue = filled(&[(1, "a"), (2, "b"), (3, "a"), (4, "b")]);

    let removed: Vec<u64> = queue
        .remove_unless(|request| request.arrival.deadline_us > 20)
        .into_iter()
        .map(|request| request.arrival.id.0)
        .collect();

    assert_eq!(removed, [1, 2]);
    assert_eq!(queue.len(), 2);
    assert_eq!(drain(&mut queue), [3, 4]);
}

#[test]
fn expects_a_caller_to_wait_as_its_next_request_did() {
    // The next request of "a" came with two before it and has waited 8 us: 4 us each, with three waiting now.
    let mut queue = filled(&[(0, "a"), (1, "a"), (2, "a"), (3, "a"), (4, "a")]);
    queue.pop();
    queue.pop();

    assert_eq!(queue.expected_wait_us(&request(9, "a").arrival, 10), 12);
    assert_eq!(queue.expected_wait_us(&request(9, "c").arrival, 10), 0);
}

#[test]
fn teams_take_turns_however_many_callers_they_have() {
    let mut queue = filled(&[(1, "x/a"), (2, "x/b"), (3, "x/c"), (4, "y/d"), (5, "y/d")]);

    assert_eq!(drain(&mut queue), [1, 4, 2, 5, 3]);
}

#[test]
fn a_busier_team_is_displaced_before_a_callers_own() {
    let mut queue = filled(&[(1, "x/a"), (2, "x/b"), (3, "x/c"), (4, "y/d")]);

    let displaced = queue.displace_for(&request(9, "y/e").arrival).map(|request| request.arrival.id.0);
    let none = queue.displace_for(&request(9, "x/e").arrival);

    assert!(displaced.is_some_and(|id| id <= 3));
    assert!(none.is_none());
}
