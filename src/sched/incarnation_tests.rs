//! Tests of runs that may go on for longer than the leader believes, and of workers that it cannot reach any more.

use super::action::{HoldPlan, StartRun};
use super::incarnation_fixtures::{
    answer, answer_of, answer_raised_fence, decide, leader_with_workers, only_task, start_task, starts_in, worker,
    FORMER_START_UNIX_MS, JOB, LATER_START_UNIX_MS,
};
use super::leader_fixtures::{task, SECOND_US};
use super::model::{EndedRun, HoldAnswer, OrderOutcome, RunOutcome, WorkerEntry};
use super::scheduler::Scheduler;
use super::sim::{catalog, settings, spec, step, worker_entry};
use crate::clock::US_PER_MS;

/// An answer with this reading of the worker's clock.
fn answer_at(started_unix_ms: u64, clock_ms: u64, runs: &[u32]) -> HoldAnswer {
    HoldAnswer { clock_ms, ..answer_of(started_unix_ms, 0, runs) }
}

fn start_only_task(leader: &mut Scheduler) -> StartRun {
    start_task(leader, spec(vec![step(1, &[])]))
}

/// Starts of the task elsewhere while hold requests to `w0` fail and `w1` answers; returns the time of the first.
fn first_start_while_cut(leader: &mut Scheduler, from_us: u64, until_us: u64) -> Option<u64> {
    let mut now_us = from_us;
    while now_us < until_us {
        leader.on_hold_failure(now_us, &worker(0), &OrderOutcome::Unanswered);
        answer(leader, now_us, 1, &[]);
        if !starts_in(&decide(leader, now_us)).is_empty() {
            return Some(now_us);
        }
        now_us += 100 * US_PER_MS;
    }
    None
}

// Guards against a start beside a run whose lease end was computed on the clock of the former incarnation.
#[test]
fn run_accepted_by_an_unknown_incarnation_that_is_cut_off_is_not_started_before_the_longest_lease_ends() {
    let mut leader = leader_with_workers(2);
    let start = start_only_task(&mut leader);
    // The later incarnation has accepted, with a clock of 0.3 s: it shortens the lease to its maximum from now.
    assert!(start.lease_end_ms > 300 + settings().max_lease_ms);
    let accepted_us = SECOND_US + 2 * US_PER_MS;
    leader.on_start_outcome(accepted_us, &start, &OrderOutcome::Accepted { clock_ms: Some(300) });

    let started_us = first_start_while_cut(
        &mut leader,
        SECOND_US + 500 * US_PER_MS,
        accepted_us + settings().max_lease_ms * US_PER_MS,
    );

    assert_eq!(started_us, None);
}

// The same for a hold request that reached the later incarnation before the leader knew of it.
#[test]
fn lease_that_a_hold_request_gave_to_an_unknown_incarnation_is_waited_for() {
    let mut leader = leader_with_workers(2);
    let start = start_only_task(&mut leader);
    leader.on_start_outcome(SECOND_US + 2 * US_PER_MS, &start, &OrderOutcome::Accepted { clock_ms: None });
    answer(&mut leader, SECOND_US + 100 * US_PER_MS, 0, &[1]);
    let sent_us = SECOND_US + 200 * US_PER_MS;
    let HoldPlan::Send { lease_end_ms, .. } = leader.plan_hold(sent_us, &worker(0)) else { panic!("no request") };
    assert!(lease_end_ms.is_some_and(|end_ms| end_ms > 300 + settings().max_lease_ms));

    // The worker has restarted; the new incarnation answers, and the task starts there once more.
    let answered_us = sent_us + 2 * US_PER_MS;
    leader.on_hold_answer(answered_us, sent_us, &worker(0), &answer_at(LATER_START_UNIX_MS, 300, &[]));
    leader.worker_unlisted(answered_us, &worker(1));
    answer_raised_fence(&mut leader, answered_us + US_PER_MS, 0, &answer_at(LATER_START_UNIX_MS, 301, &[]));
    let again = starts_in(&decide(&mut leader, answered_us + US_PER_MS));
    leader.worker_listed(answered_us + 2 * US_PER_MS, worker_entry(1, FORMER_START_UNIX_MS));
    assert_eq!((again.len(), &*again[0].worker), (1, "w0"));
    let accepted_us = answered_us + 3 * US_PER_MS;
    leader.on_start_outcome(accepted_us, &again[0], &OrderOutcome::Accepted { clock_ms: Some(303) });
    let listed_us = answered_us + 100 * US_PER_MS;
    let listed = answer_at(LATER_START_UNIX_MS, 400, &[again[0].run]);
    leader.on_hold_answer(listed_us, listed_us - US_PER_MS, &worker(0), &listed);

    let until_us = answered_us + settings().max_lease_ms * US_PER_MS;
    let started_us = first_start_while_cut(&mut leader, listed_us + 600 * US_PER_MS, until_us);

    assert_eq!(started_us, None);
}

// Guards against a worker that restarts at another address and gets no work for ever, because it is asked at the
// former address until it answers.
#[test]
fn worker_that_registers_again_under_its_id_at_another_address_is_asked_there() {
    let mut leader = leader_with_workers(1);
    let moved = WorkerEntry { address: ([10, 0, 0, 1], 2_000).into(), ..worker_entry(0, LATER_START_UNIX_MS) };
    leader.worker_listed(SECOND_US, moved.clone());

    let mut asked = Vec::new();
    for step in 0..40 {
        let now_us = SECOND_US + step * 500 * US_PER_MS;
        leader.tick(now_us, 0);
        if let HoldPlan::Send { address, .. } = leader.plan_hold(now_us, &worker(0)) {
            asked.push(address);
            leader.on_hold_failure(now_us, &worker(0), &OrderOutcome::NotSent);
        }
    }

    assert!(asked.contains(&moved.address), "{asked:?}");
}

// Guards against a stop that the former incarnation has acknowledged counting as one of the new incarnation, which
// the delayed start order may still reach.
#[test]
fn late_acknowledgement_of_a_stop_by_the_former_incarnation_does_not_count_for_the_new_one() {
    let mut leader = leader_with_workers(2);
    let start = start_only_task(&mut leader);
    leader.on_start_outcome(SECOND_US + 600 * US_PER_MS, &start, &OrderOutcome::Unanswered);
    // The worker does not list the run, so that it is ordered to stop.
    answer(&mut leader, SECOND_US + 700 * US_PER_MS, 0, &[]);
    leader.take_actions();
    let restarted_us = SECOND_US + 900 * US_PER_MS;
    let restarted = answer_at(LATER_START_UNIX_MS, 100, &[]);
    leader.on_hold_answer(restarted_us, restarted_us - US_PER_MS, &worker(0), &restarted);
    leader.take_actions();

    // The answer of the former incarnation to the first stop order, before one to the second.
    let acknowledged = OrderOutcome::Accepted { clock_ms: Some(400_700) };
    leader.on_stop_outcome(restarted_us + US_PER_MS, &worker(0), &only_task(), 1, &acknowledged);
    let later_us = restarted_us + 300 * US_PER_MS;
    let later = answer_at(LATER_START_UNIX_MS, 400, &[]);
    leader.on_hold_answer(later_us, later_us - US_PER_MS, &worker(0), &later);
    answer(&mut leader, later_us, 1, &[]);
    let actions = decide(&mut leader, later_us);

    assert_eq!(starts_in(&actions), []);
}

// Guards against a worker that lives being taken for the predecessor on its host, because its time of day was set back,
// so that one failed hold request releases its runs.
#[test]
fn later_worker_on_a_host_with_an_earlier_start_time_is_not_taken_to_have_ended() {
    let mut former = leader_with_workers(1);
    former.submit(SECOND_US, 0, JOB.into(), spec(vec![step(1, &[])]));
    former.tick(SECOND_US, 0);
    let record = former.take_batch(SECOND_US).records.remove(0).1;

    let mut leader = Scheduler::new(2 * SECOND_US, settings());
    leader.configure(catalog());
    // The entry of the worker that was on the host before is still there.
    let predecessor = WorkerEntry { host: Some("h0".into()), ..worker_entry(7, FORMER_START_UNIX_MS + 3_000) };
    let entries = vec![worker_entry(0, FORMER_START_UNIX_MS), worker_entry(1, FORMER_START_UNIX_MS), predecessor];
    leader.replace_registry(2 * SECOND_US, entries);
    leader.restore(2 * SECOND_US, 0, JOB.into(), spec(vec![step(1, &[])]), Some(&record)).expect("the record is valid");
    answer(&mut leader, 2 * SECOND_US + 10 * US_PER_MS, 1, &[]);

    leader.on_hold_failure(2 * SECOND_US + 600 * US_PER_MS, &worker(0), &OrderOutcome::Unanswered);
    answer(&mut leader, 2 * SECOND_US + 700 * US_PER_MS, 1, &[]);
    let actions = decide(&mut leader, 2 * SECOND_US + 700 * US_PER_MS);

    assert_eq!(starts_in(&actions), []);
}

// Guards against a worker that lives being taken for the predecessor on its host, because an old copy of the registry brings
// back the predecessor's entry.
#[test]
fn entry_of_a_predecessor_that_is_read_late_does_not_end_the_runs_of_the_present_worker() {
    let mut leader = leader_with_workers(2);
    let start = start_only_task(&mut leader);
    leader.on_start_outcome(SECOND_US + 2 * US_PER_MS, &start, &OrderOutcome::Accepted { clock_ms: Some(21_000) });
    let predecessor = WorkerEntry { host: Some("h0".into()), ..worker_entry(7, FORMER_START_UNIX_MS - 3_000) };
    leader.worker_listed(2 * SECOND_US, predecessor);

    leader.on_hold_failure(2 * SECOND_US + 100 * US_PER_MS, &worker(0), &OrderOutcome::Unanswered);
    answer(&mut leader, 2 * SECOND_US + 200 * US_PER_MS, 1, &[]);
    let actions = decide(&mut leader, 2 * SECOND_US + 300 * US_PER_MS);

    assert_eq!(starts_in(&actions), []);
}

// Guards against a run that the new incarnation took and ended being blamed for the crash of the former one.
#[test]
fn run_that_ended_in_the_new_incarnation_is_not_lost_with_the_former_one() {
    let mut leader = leader_with_workers(1);
    let start = start_only_task(&mut leader);
    leader.on_start_outcome(SECOND_US + 2 * US_PER_MS, &start, &OrderOutcome::Accepted { clock_ms: Some(100) });

    let ended = EndedRun { number: 1, task: only_task(), run: 1, outcome: RunOutcome::Failed, checkpoint: "".into() };
    let first = HoldAnswer { ended: vec![ended], ..answer_at(LATER_START_UNIX_MS, 900, &[]) };
    leader.on_hold_answer(2 * SECOND_US, SECOND_US + 800 * US_PER_MS, &worker(0), &first);

    assert_eq!(task(&leader, JOB).losses, []);
}

// Guards against the last end of a worker that has become idle being acknowledged only seconds later: it is not stored
// yet when the next hold request is scheduled.
#[test]
fn last_end_of_a_worker_is_acknowledged_soon_after_it_is_stored() {
    let mut leader = leader_with_workers(1);
    let start = start_only_task(&mut leader);
    leader.on_start_outcome(SECOND_US + 2 * US_PER_MS, &start, &OrderOutcome::Accepted { clock_ms: Some(401_002) });
    let ended = EndedRun { number: 1, task: only_task(), run: 1, outcome: RunOutcome::Done, checkpoint: "".into() };
    let listed = HoldAnswer { ended: vec![ended], ..answer_at(FORMER_START_UNIX_MS, 402_000, &[]) };
    leader.on_hold_answer(2 * SECOND_US, SECOND_US + 3 * US_PER_MS, &worker(0), &listed);
    decide(&mut leader, 2 * SECOND_US + 5 * US_PER_MS);

    let plan = leader.plan_hold(2 * SECOND_US + 500 * US_PER_MS, &worker(0));

    assert!(matches!(plan, HoldPlan::Send { acknowledged: 1, .. }), "{plan:?}");
}

/// Guards against a worker that gets no tasks any more after an answer with an odd clock, and against one that gets tasks
/// before it has said which incarnation it is.
#[test]
fn worker_whose_clock_is_odd_gets_tasks_again_once_it_has_answered_as_the_known_incarnation() {
    let mut leader = leader_with_workers(1);
    let start = start_only_task(&mut leader);
    let accepted_us = SECOND_US + 2 * US_PER_MS;
    leader.on_start_outcome(accepted_us, &start, &OrderOutcome::Accepted { clock_ms: Some(6_000_000) });
    assert!(!leader.workers[&worker(0)].accepts_new_tasks(accepted_us), "it may have restarted");

    answer(&mut leader, accepted_us, 0, &[1]);

    assert!(leader.workers[&worker(0)].accepts_new_tasks(accepted_us));
}
