//! Tests that bound what the leader looks at, by counts of work, so that they hold on any processor.

use super::leader_fixtures::{leader_with_workers, long_step, run, SECOND_US};
use super::model::JobSpec;
use super::scheduler::Scheduler;
use super::sim::{spec, step};
use super::work_counts::{Work, WorkCounts};

const UNIX_MS: u64 = 1_000_000;

/// A leader whose workers are full, with `late` jobs that cannot be on time and `on_time` jobs that can.
fn leader_with_backlog(late: u32, on_time: u32) -> Scheduler {
    let mut leader = leader_with_workers(8);
    leader.submit(10 * SECOND_US, UNIX_MS, "filler".into(), spec(vec![long_step(8, 16_000)]));
    run(&mut leader, 10 * SECOND_US, 300);
    for number in 0..late {
        let job = JobSpec { accepted_unix_ms: UNIX_MS - 30_000, ..spec(vec![step(8, &[])]) };
        leader.submit(10_300_000, UNIX_MS, format!("late-{number:05}").into(), job);
    }
    for number in 0..on_time {
        let job = JobSpec { accepted_unix_ms: UNIX_MS + 60_000, ..spec(vec![step(8, &[])]) };
        leader.submit(10_300_000, UNIX_MS, format!("on-time-{number:05}").into(), job);
    }
    run(&mut leader, 10_300_000, 200);
    leader
}

/// What a leader looks at in ten steps in which nothing changes but the time.
fn work_of_ten_steps(mut leader: Scheduler) -> WorkCounts {
    let before = leader.work_counts().clone();
    for step in 0..10 {
        leader.request_placement();
        run(&mut leader, 10_500_000 + step * 100_000, 100);
    }
    leader.work_counts().since(&before)
}

#[test]
fn backlog_of_late_jobs_does_not_make_a_round_dearer() {
    let small = work_of_ten_steps(leader_with_backlog(10, 60));
    let large = work_of_ten_steps(leader_with_backlog(2_000, 60));

    assert!(small.of(Work::JobsRanked) > 0);
    assert!(
        large.of(Work::JobsRanked) <= small.of(Work::JobsRanked) * 2,
        "{} jobs ranked beside a backlog of 2,000, {} beside one of 10",
        large.of(Work::JobsRanked),
        small.of(Work::JobsRanked)
    );
}

#[test]
fn round_without_room_compares_no_more_workers_for_a_larger_backlog() {
    let small = work_of_ten_steps(leader_with_backlog(0, 60));
    let large = work_of_ten_steps(leader_with_backlog(0, 1_200));

    assert!(large.of(Work::WorkersCompared) <= small.of(Work::WorkersCompared) * 2);
    assert!(large.of(Work::WorkersListed) <= small.of(Work::WorkersListed) * 2);
}

#[test]
fn leader_that_is_behind_counts_the_fleet_less_often() {
    let in_time = work_of_ten_steps(leader_with_backlog(0, 10));
    let mut leader = leader_with_backlog(0, 10);
    let before = leader.work_counts().clone();
    for step in 0..10 {
        leader.record_lag(100_000);
        run(&mut leader, 10_500_000 + step * 100_000, 100);
    }
    let behind = leader.work_counts().since(&before);

    assert!(behind.of(Work::WorkersCounted) * 2 <= in_time.of(Work::WorkersCounted));
    assert_eq!(behind.of(Work::CopiesChecked), 0);
}
