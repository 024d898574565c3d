//! Tests of the fair queue.

use super::queue::FairQueue;
use super::{Arrival, LocalRequestId, Request};

/// `caller` is `TEAM/CALLER`, or `CALLER` for a caller of team `t`.
fn request(id: u64, caller: &str) -> Request {
    let (team, caller) = caller.split_once('/').unwrap_or(("t", caller));
    let arrival = Arrival {
        team: team.into(),
        id: LocalRequestId(id),
        pool: "p".into(),
        caller: caller.into(),
        idempotent: true,
        deadline_us: id * 10,
        body_bytes: 5,
    };
    Request { arrival, attempts: 0, last_endpoint: None, may_have_run: false, queued_at_us: id, ahead_when_queued: 0 }
}

fn queue_of(entries: &[(u64, &str)]) -> FairQueue {
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
fn callers_are_served_round_robin_each_in_the_order_of_arrival() {
    let mut queue = queue_of(&[(1, "a"), (2, "a"), (3, "a"), (4, "b"), (5, "c"), (6, "b")]);

    assert_eq!(queue.bytes(), 30);
    assert_eq!(drain(&mut queue), [1, 4, 5, 2, 6, 3]);
    assert_eq!((queue.len(), queue.bytes()), (0, 0));
}

#[test]
fn a_retried_request_goes_first() {
    let mut queue = queue_of(&[(1, "a"), (2, "b")]);

    queue.push_front(request(3, "b"));

    assert_eq!(drain(&mut queue), [3, 1, 2]);
}

#[test]
fn counts_the_requests_that_leave_before_a_new_one() {
    let queue = queue_of(&[(1, "a"), (2, "a"), (3, "a"), (4, "b")]);

    assert_eq!(queue.count_ahead_of(&request(9, "a").arrival), 4);
    assert_eq!(queue.count_ahead_of(&request(9, "b").arrival), 3);
    assert_eq!(queue.count_ahead_of(&request(9, "c").arrival), 2);
}

#[test]
fn evicts_only_the_newest_request_of_the_busiest_caller() {
    let mut queue = queue_of(&[(1, "a"), (2, "a"), (3, "a"), (4, "b")]);

    let evicted = queue.evict_for(&request(9, "b").arrival).map(|request| request.arrival.id.0);
    let second = queue.evict_for(&request(9, "b").arrival).map(|request| request.arrival.id.0);

    assert_eq!(evicted, Some(3));
    assert_eq!(second, None, "with the new request, its caller is as busy as the busiest");
}

#[test]
fn removes_expired_requests_in_the_order_of_arrival() {
    let mut queue = queue_of(&[(1, "a"), (2, "b"), (3, "a"), (4, "b")]);

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
fn extrapolates_the_wait_of_a_callers_first_queued_request() {
    // The first queued request of "a" had two ahead of it and has waited 8 us: 4 us for each, and three are queued now.
    let mut queue = queue_of(&[(0, "a"), (1, "a"), (2, "a"), (3, "a"), (4, "a")]);
    queue.pop();
    queue.pop();

    assert_eq!(queue.extrapolated_wait_us(&request(9, "a").arrival, 10), 12);
    assert_eq!(queue.extrapolated_wait_us(&request(9, "c").arrival, 10), 0);
}

#[test]
fn teams_are_served_round_robin_however_many_callers_they_have() {
    let mut queue = queue_of(&[(1, "x/a"), (2, "x/b"), (3, "x/c"), (4, "y/d"), (5, "y/d")]);

    assert_eq!(drain(&mut queue), [1, 4, 2, 5, 3]);
}

#[test]
fn evicts_from_a_busier_team_before_the_callers_own() {
    let mut queue = queue_of(&[(1, "x/a"), (2, "x/b"), (3, "x/c"), (4, "y/d")]);

    let evicted = queue.evict_for(&request(9, "y/e").arrival).map(|request| request.arrival.id.0);
    let from_same_team = queue.evict_for(&request(9, "x/e").arrival);

    assert!(evicted.is_some_and(|id| id <= 3));
    assert!(from_same_team.is_none());
}
