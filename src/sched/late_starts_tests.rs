//! Tests of start orders that a later incarnation of their worker may still carry out, and of the acknowledgements of ends
//! beside them.

use super::action::{Action, HoldPlan, StartRun};
use super::incarnation_fixtures::{
    answer, answer_of, answer_raised_fence, decide, leader_with_workers, only_task, start_task, starts_in, worker,
    FORMER_START_UNIX_MS, JOB,
};
use super::job::Task;
use super::late_starts::LateStart;
use super::leader_fixtures::{host, SECOND_US};
use super::model::{EndedRun, HoldAnswer, OrderOutcome, OrderRefusal, RunOutcome, WorkerEntry};
use super::record::{encode_job, restore_job};
use super::run_stops::StopReason;
use super::scheduler::Scheduler;
use super::sim::{spec, step, worker_entry};
use crate::clock::US_PER_MS;

/// When the start order of [`leader_with_late_start`] counts as unanswered, and when it can no longer be carried out.
const UNANSWERED_US: u64 = SECOND_US + 600 * US_PER_MS;
const CALLS_END_US: u64 = UNANSWERED_US + 12 * SECOND_US;

fn only_task_of(leader: &Scheduler) -> &Task {
    leader.jobs[JOB].task(&only_task()).expect("the task is known")
}

/// A leader with the workers `w0` and `w1`, whose start order to `w0` got no answer.
fn leader_with_unanswered_start() -> (Scheduler, StartRun) {
    let mut leader = leader_with_workers(2);
    let start = start_task(&mut leader, spec(vec![step(1, &[])]));
    assert!(leader.on_start_sent(SECOND_US, &start));
    leader.on_start_outcome(UNANSWERED_US, &start, &OrderOutcome::Unanswered);
    (leader, start)
}

/// The same, once `w0` has announced that it leaves, has acknowledged a stop of the run and does not list it.
fn leader_with_late_start() -> Scheduler {
    let (mut leader, start) = leader_with_unanswered_start();
    leader.worker_listed(2 * SECOND_US, WorkerEntry { draining: true, ..worker_entry(0, FORMER_START_UNIX_MS) });
    answer(&mut leader, 2 * SECOND_US, 0, &[]);
    let accepted = OrderOutcome::Accepted { clock_ms: None };
    leader.on_stop_outcome(2 * SECOND_US, &worker(0), &only_task(), start.run, &accepted);
    answer(&mut leader, 3 * SECOND_US, 0, &[]);
    leader
}

/// Lets `w1`, and `w0` with this answer, report no runs at `now_us`; returns the start orders that follow.
fn starts_after(leader: &mut Scheduler, now_us: u64, answer_of_w0: &HoldAnswer) -> Vec<StartRun> {
    leader.on_hold_answer(now_us, now_us, &worker(0), answer_of_w0);
    answer(leader, now_us, 1, &[]);
    starts_in(&decide(leader, now_us))
}

/// Guards against a run of a late order beside one on another worker.
#[test]
fn task_starts_on_no_other_worker_before_its_late_start_order_has_expired() {
    let mut leader = leader_with_late_start();

    for now_us in (4 * SECOND_US..CALLS_END_US).step_by(SECOND_US as usize) {
        let starts = starts_after(&mut leader, now_us, &answer_of(FORMER_START_UNIX_MS, now_us, &[]));
        assert_eq!(starts, [], "at {now_us} us");
    }
    let now_us = CALLS_END_US + SECOND_US;
    let starts = starts_after(&mut leader, now_us, &answer_of(FORMER_START_UNIX_MS, now_us, &[]));

    assert_eq!(starts.iter().map(|start| &*start.worker).collect::<Vec<_>>(), ["w1"]);
}

/// Guards against a silent worker whose next incarnation may carry the late order out: the lease of the run that the
/// repeated order has started, which has ended with the known one, says nothing of it.
#[test]
fn run_keeps_its_silent_worker_until_no_run_of_the_late_order_can_have_a_lease() {
    let (mut leader, _) = leader_with_unanswered_start();
    let accepted = OrderOutcome::Accepted { clock_ms: None };
    let starts = starts_after(&mut leader, 3 * SECOND_US, &answer_of(FORMER_START_UNIX_MS, 3 * SECOND_US, &[]));
    assert!(leader.on_start_sent(3 * SECOND_US, &starts[0]));
    leader.on_start_outcome(3 * SECOND_US, &starts[0], &accepted);
    answer(&mut leader, 4 * SECOND_US, 0, &[starts[0].run]);

    leader.on_hold_failure(5 * SECOND_US, &worker(0), &OrderOutcome::Unanswered);
    for now_us in (6 * SECOND_US..CALLS_END_US + 10 * SECOND_US).step_by(SECOND_US as usize) {
        answer(&mut leader, now_us, 1, &[]);
        decide(&mut leader, now_us);
        assert_eq!(only_task_of(&leader).placed_on().map(|placed| &*placed.id), Some("w0"), "at {now_us} us");
    }
}

/// Guards against a list that leaves out the run because it is cut.
#[test]
fn incomplete_list_does_not_settle_a_late_start_order() {
    let mut leader = leader_with_late_start();
    let now_us = CALLS_END_US + SECOND_US;

    let cut = HoldAnswer { is_complete: false, ..answer_of(FORMER_START_UNIX_MS, now_us, &[]) };

    assert_eq!(starts_after(&mut leader, now_us, &cut), []);
}

#[test]
fn task_starts_elsewhere_once_its_worker_has_gone_for_good() {
    let mut leader = leader_with_late_start();
    let hosts = leader.workers.values().map(|worker| host(&worker.entry, &*worker.entry.id == "w1"));
    let hosts: Vec<_> = hosts.collect();

    leader.worker_unlisted(4 * SECOND_US, &worker(0));
    leader.hosts_listed(5 * SECOND_US, 5 * SECOND_US, hosts);
    answer(&mut leader, 5 * SECOND_US, 1, &[]);
    let starts = starts_in(&decide(&mut leader, 5 * SECOND_US));

    assert_eq!(starts.iter().map(|start| &*start.worker).collect::<Vec<_>>(), ["w1"]);
}

#[test]
fn listed_run_settles_its_start_order() {
    let (mut leader, start) = leader_with_unanswered_start();
    assert_eq!(only_task_of(&leader).late_starts.len(), 1);

    answer(&mut leader, 2 * SECOND_US, 0, &[start.run]);

    assert_eq!(only_task_of(&leader).late_starts, []);
}

/// Guards against a run that is released as stopped before its start order has timed out.
#[test]
fn run_is_not_over_while_the_answer_to_its_start_order_is_missing() {
    let mut leader = leader_with_workers(2);
    let start = start_task(&mut leader, spec(vec![step(1, &[])]));
    assert!(leader.on_start_sent(SECOND_US, &start));
    leader.order_stop(SECOND_US, &only_task(), &worker(0), StopReason::HostDrained);
    let accepted = OrderOutcome::Accepted { clock_ms: None };
    leader.on_stop_outcome(SECOND_US, &worker(0), &only_task(), start.run, &accepted);

    answer(&mut leader, SECOND_US + 400 * US_PER_MS, 0, &[]);
    assert!(only_task_of(&leader).placed_on().is_some());
    leader.on_start_outcome(UNANSWERED_US, &start, &OrderOutcome::Unanswered);
    answer(&mut leader, 2 * SECOND_US, 0, &[]);

    assert_eq!(only_task_of(&leader).placed_on(), None);
    let expected = LateStart {
        worker: worker(0),
        started_unix_ms: Some(FORMER_START_UNIX_MS),
        run: start.run,
        until_us: CALLS_END_US,
        is_repeated: false,
    };
    assert_eq!(only_task_of(&leader).late_starts, [expected]);
}

/// Guards against two runs of a task on the next incarnation, which carries out the unanswered orders for both.
#[test]
fn unanswered_start_order_is_repeated_under_the_same_run() {
    let (mut leader, start) = leader_with_unanswered_start();

    let mut repeated = Vec::new();
    for now_us in [2 * SECOND_US, 3 * SECOND_US] {
        let starts = starts_after(&mut leader, now_us, &answer_of(FORMER_START_UNIX_MS, now_us, &[]));
        repeated.extend(starts.iter().map(|start| (start.worker.clone(), start.run)));
        assert!(leader.on_start_sent(now_us, &starts[0]));
        leader.on_start_outcome(now_us, &starts[0], &OrderOutcome::Unanswered);
    }

    assert_eq!(repeated, vec![(start.worker, start.run); 2]);
}

/// Guards against a task that starts elsewhere once one of two orders has started it, while the other one may still arrive.
#[test]
fn repeated_start_order_is_settled_only_once_no_order_can_arrive() {
    let (mut leader, start) = leader_with_unanswered_start();
    let starts = starts_after(&mut leader, 2 * SECOND_US, &answer_of(FORMER_START_UNIX_MS, 2 * SECOND_US, &[]));
    assert!(leader.on_start_sent(2 * SECOND_US, &starts[0]));
    leader.on_start_outcome(2 * SECOND_US, &starts[0], &OrderOutcome::Accepted { clock_ms: None });

    answer(&mut leader, CALLS_END_US - SECOND_US, 0, &[start.run]);
    let before = only_task_of(&leader).late_starts.len();
    answer(&mut leader, CALLS_END_US + SECOND_US, 0, &[start.run]);

    assert_eq!((before, only_task_of(&leader).late_starts.len()), (1, 0));
}

/// Guards against a later run whose order gets no answer either: on the incarnation that the first order was meant for, the
/// task waits.
#[test]
fn stopped_run_is_followed_by_no_other_on_the_same_incarnation_while_its_order_may_arrive() {
    let mut leader = leader_with_late_start();
    leader.worker_listed(3 * SECOND_US, worker_entry(0, FORMER_START_UNIX_MS));

    for now_us in (4 * SECOND_US..CALLS_END_US).step_by(SECOND_US as usize) {
        let starts = starts_after(&mut leader, now_us, &answer_of(FORMER_START_UNIX_MS, now_us, &[]));
        assert_eq!(starts, [], "at {now_us} us");
    }
    let now_us = CALLS_END_US + SECOND_US;
    let starts = starts_after(&mut leader, now_us, &answer_of(FORMER_START_UNIX_MS, now_us, &[]));

    assert_eq!(starts.iter().map(|start| start.run).collect::<Vec<_>>(), [2]);
}

/// Guards against a refusal of a repeated order that counts as the outcome of the first one too.
#[test]
fn run_whose_repeated_order_is_refused_is_not_over() {
    let (mut leader, start) = leader_with_unanswered_start();
    let starts = starts_after(&mut leader, 2 * SECOND_US, &answer_of(FORMER_START_UNIX_MS, 2 * SECOND_US, &[]));
    assert!(leader.on_start_sent(2 * SECOND_US, &starts[0]));

    leader.on_start_outcome(2 * SECOND_US, &starts[0], &OrderOutcome::Refused(OrderRefusal::Unhealthy));

    assert_eq!(only_task_of(&leader).run_on("w0").map(|placed| placed.run), Some(start.run));
}

/// Guards against a worker that takes no start order of a task, and keeps it for good.
#[test]
fn run_is_stopped_once_its_start_order_was_repeated_often_enough() {
    let (mut leader, start) = leader_with_unanswered_start();

    let mut has_stopped = false;
    for second in 2..20 {
        let now_us = second * SECOND_US;
        leader.on_hold_answer(now_us, now_us, &worker(0), &answer_of(FORMER_START_UNIX_MS, now_us, &[]));
        answer(&mut leader, now_us, 1, &[]);
        let actions = decide(&mut leader, now_us);
        has_stopped |= actions.iter().any(|action| matches!(action, Action::Stop { run, .. } if *run == start.run));
        for start in starts_in(&actions) {
            assert!(leader.on_start_sent(now_us, &start));
            leader.on_start_outcome(now_us, &start, &OrderOutcome::Unanswered);
        }
    }

    assert!(has_stopped);
}

#[test]
fn record_keeps_late_start_orders_for_the_next_leader() {
    let leader = leader_with_late_start();
    let job = &leader.jobs[JOB];

    let mut restored = leader_with_late_start().jobs[JOB].clone();
    restored.task_mut(&only_task()).expect("the task is known").late_starts.clear();
    restore_job(&mut restored, &encode_job(job)).expect("the record is valid");

    let late_starts = &restored.task(&only_task()).expect("the task is known").late_starts;
    let expected = LateStart { worker: worker(0), started_unix_ms: None, run: 1, until_us: 0, is_repeated: true };
    assert_eq!(late_starts, &[expected]);
}

/// Guards against an end with a lower run number that is acknowledged without being taken note of.
#[test]
fn success_of_a_late_run_counts_after_a_later_run_has_ended() {
    let mut leader = leader_with_late_start();
    leader.jobs.get_mut(JOB).and_then(|job| job.task_mut(&only_task())).expect("the task is known").highest_ended_run =
        2;

    let done = EndedRun { number: 1, task: only_task(), run: 1, outcome: RunOutcome::Done, checkpoint: "".into() };
    let listed = HoldAnswer { ended: vec![done], ..answer_of(FORMER_START_UNIX_MS, 4 * SECOND_US, &[]) };
    leader.on_hold_answer(4 * SECOND_US, 4 * SECOND_US, &worker(0), &listed);

    assert!(only_task_of(&leader).is_done);
}

/// Guards against ends that a later incarnation forgets unread at a cursor that follows a start order.
#[test]
fn ends_are_not_acknowledged_while_a_start_order_may_be_carried_out_late() {
    let (mut leader, _) = leader_with_unanswered_start();
    leader.workers.get_mut("w0").expect("the worker is known").stored_cursor = 5;

    let plan = leader.plan_hold(2 * SECOND_US, &worker(0));

    assert!(matches!(plan, HoldPlan::Send { acknowledged: 0, .. }), "{plan:?}");
}

/// The same, with the order sent after the cursor.
#[test]
fn start_orders_wait_for_the_answer_to_an_acknowledgement() {
    let mut leader = leader_with_workers(1);
    leader.workers.get_mut("w0").expect("the worker is known").stored_cursor = 5;

    let plan = leader.plan_hold(10 * SECOND_US, &worker(0));

    assert!(matches!(plan, HoldPlan::Send { acknowledged: 5, wait_ms: 0, .. }), "{plan:?}");
    assert!(leader.must_wait_to_start("w0"));
    answer(&mut leader, 10 * SECOND_US, 0, &[]);
    assert!(!leader.must_wait_to_start("w0"));
}

/// Guards against start orders that overtake an acknowledgement which got no answer.
#[test]
fn worker_gets_no_start_order_after_an_unanswered_acknowledgement_before_it_has_seen_a_higher_token() {
    let mut leader = leader_with_workers(1);
    leader.workers.get_mut("w0").expect("the worker is known").stored_cursor = 5;
    leader.plan_hold(10 * SECOND_US, &worker(0));

    leader.on_hold_failure(10 * SECOND_US, &worker(0), &OrderOutcome::Unanswered);
    answer(&mut leader, 11 * SECOND_US, 0, &[]);
    assert!(!leader.workers["w0"].accepts_new_tasks(12 * SECOND_US));
    answer_raised_fence(&mut leader, 12 * SECOND_US, 0, &answer_of(FORMER_START_UNIX_MS, 12 * SECOND_US, &[]));

    assert!(leader.workers["w0"].accepts_new_tasks(12 * SECOND_US));
}

/// Guards against workers whose ends are not read because a start order stays unanswered.
#[test]
fn acknowledgement_waits_a_limited_time_for_start_orders_in_flight() {
    let mut leader = leader_with_workers(1);
    let state = leader.workers.get_mut("w0").expect("the worker is known");
    state.stored_cursor = 5;
    state.starts_in_flight = 1;

    let first = leader.plan_hold(10 * SECOND_US, &worker(0));
    let later = leader.plan_hold(10 * SECOND_US + 100 * US_PER_MS, &worker(0));

    assert!(matches!(first, HoldPlan::WaitUntil { .. }), "{first:?}");
    assert!(matches!(later, HoldPlan::Send { acknowledged: 0, .. }), "{later:?}");
    assert!(!leader.must_wait_to_start("w0"));
}
