//! Tests of the stand-in's workers: slow stops, restarts under the same ID, partitions and delayed orders.

use std::time::{Duration, Instant};

use serde_json::{json, Value};

use super::worker::Response;
use super::worker_faults::HEARTBEAT_MS;
use super::{Request, StoppingRuns, UsersPlatformStandIn, WorkerRestart};

const TASK: &str = "00000000000000a1.0.0.0";
/// A run time that no test reaches.
const LONG_MS: u64 = 3_600_000;

fn start(stopping_runs: StoppingRuns) -> UsersPlatformStandIn {
    UsersPlatformStandIn::start_seeded(2, LONG_MS, stopping_runs, 1)
}

fn request(path: &str, body: Value) -> Request {
    let expected_instance = Some("w0".to_owned());
    Request {
        expected_instance,
        method: "POST".to_owned(),
        path: path.to_owned(),
        query: Default::default(),
        body,
        body_bytes: 0,
    }
}

fn start_order(run: u64, fence: u64) -> Request {
    request("/run-start", json!({ "task": TASK, "run": run, "spec": "", "deadlineMs": 9_000, "fence": fence }))
}

fn stop_order(run: u64) -> Request {
    request("/run-stop", json!({ "task": TASK, "run": run, "fence": 1 }))
}

fn hold(wait_ms: u64) -> Request {
    request("/hold", json!({ "fence": 1, "ackCursor": 0, "deadlineMs": 9_000, "waitMs": wait_ms }))
}

fn status(response: Response) -> u16 {
    response.expect("a response").0
}

/// Makes the stopped run of the task go on for longer than a test takes.
fn extend_stop(platform: &UsersPlatformStandIn, index: usize) {
    for run in platform.lock().workers[index].incarnation.runs.values_mut() {
        run.stops_at = Some(Instant::now() + Duration::from_millis(LONG_MS));
    }
}

fn violations(platform: &UsersPlatformStandIn) -> Vec<String> {
    platform.with_run_log(|log| log.violations.clone())
}

fn registered(platform: &UsersPlatformStandIn) -> Value {
    let value = platform.lock().store.value("servers", "", "w0").expect("a row");
    serde_json::from_slice(&value).expect("JSON")
}

#[test]
fn a_stopped_run_is_listed_as_stopped_once_it_has_ended() {
    let platform = start(StoppingRuns::Listed);
    assert_eq!(status(platform.execute(0, 0, &start_order(1, 1))), 200);

    let stopped = status(platform.execute(0, 0, &stop_order(1)));
    let (_, listed) = platform.execute(0, 0, &hold(2_000)).expect("a response");

    assert_eq!(stopped, 200);
    assert_eq!(listed["endedRuns"], json!([[1, TASK, 1, "stopped", ""]]));
    assert_eq!(listed["running"], json!([]));
}

#[test]
fn a_second_run_on_the_same_worker_is_a_violation_while_the_first_one_stops() {
    let platform = start(StoppingRuns::Listed);
    assert_eq!(status(platform.execute(0, 0, &start_order(1, 1))), 200);
    assert_eq!(status(platform.execute(0, 0, &stop_order(1))), 200);
    extend_stop(&platform, 0);

    let started = status(platform.execute(0, 0, &start_order(2, 1)));

    assert_eq!(started, 200);
    let violations = violations(&platform);
    assert_eq!(violations.len(), 1);
    assert!(violations[0].contains("run 2 starts on w0"), "{violations:?}");
    assert!(violations[0].contains("run 1 on w0 (stopping"), "{violations:?}");
}

#[test]
fn a_second_run_on_another_worker_is_a_violation() {
    let platform = start(StoppingRuns::Listed);
    assert_eq!(status(platform.execute(0, 0, &start_order(1, 1))), 200);

    let started = status(platform.execute(1, 0, &start_order(2, 1)));

    assert_eq!(started, 200);
    assert!(violations(&platform)[0].contains("run 1 on w0 (running"));
}

#[test]
fn whether_a_stopping_run_is_listed_as_active_can_be_chosen() {
    for (stopping_runs, expected) in
        [(StoppingRuns::Listed, [1, 1]), (StoppingRuns::Unlisted, [0, 0]), (StoppingRuns::ListedByEvenWorkers, [1, 0])]
    {
        let platform = start(stopping_runs);
        for (index, expected) in expected.into_iter().enumerate() {
            assert_eq!(status(platform.execute(index, 0, &start_order(1, 1))), 200);
            assert_eq!(status(platform.execute(index, 0, &stop_order(1))), 200);
            extend_stop(&platform, index);

            let (_, listed) = platform.execute(index, 0, &hold(0)).expect("a response");

            assert_eq!(listed["running"].as_array().expect("a list").len(), expected, "{stopping_runs:?} w{index}");
        }
    }
}

#[test]
fn a_restarted_worker_knows_nothing_and_registers_again_later() {
    let platform = start(StoppingRuns::Listed);
    assert_eq!(status(platform.execute(0, 0, &start_order(2, 5))), 200);
    let born = registered(&platform)["born"].as_u64().expect("a number");

    let restarted = platform.restart_worker(0, WorkerRestart { time_error_ms: 60_000, ..WorkerRestart::default() });
    let registered_at_once = registered(&platform)["born"].as_u64();
    let (_, listed) = platform.execute(0, 1, &hold(0)).expect("a response");
    let started = status(platform.execute(0, 1, &start_order(1, 1)));

    assert!(restarted);
    assert_eq!(registered_at_once, Some(born), "the registration follows with a heartbeat");
    assert!(listed["born"].as_u64() >= Some(born + 60_000), "{listed}");
    assert_eq!(listed["running"], json!([]));
    assert_eq!(started, 200, "a lower fencing token and a lower run are accepted");
    assert_eq!(violations(&platform), Vec::<String>::new());
    let waits_since = Instant::now();
    while registered(&platform)["born"] != listed["born"] {
        assert!(waits_since.elapsed() < Duration::from_secs(60), "the worker registers again");
        std::thread::yield_now();
    }
}

#[test]
fn a_task_is_not_lost_with_two_restarts() {
    let platform = start(StoppingRuns::Listed);
    assert_eq!(status(platform.execute(0, 0, &start_order(1, 1))), 200);
    assert!(platform.restart_worker(0, WorkerRestart::default()));
    assert_eq!(status(platform.execute(1, 0, &start_order(2, 1))), 200);

    let restarted = platform.restart_worker(1, WorkerRestart::default());

    assert!(!restarted);
    assert_eq!(platform.lock().workers[1].incarnation.runs.len(), 1);
}

#[test]
fn a_request_to_an_earlier_incarnation_gets_no_response() {
    let platform = start(StoppingRuns::Listed);

    platform.restart_worker(0, WorkerRestart::default());

    assert_eq!(platform.execute(0, 0, &start_order(1, 1)), None);
    assert_eq!(platform.with_run_log(|log| log.starts), 0);
}

#[test]
fn a_start_before_the_new_incarnation_is_announced_is_counted() {
    let platform = start(StoppingRuns::Listed);
    platform.restart_worker(0, WorkerRestart::default());
    // Keeps the heartbeat from announcing the incarnation first.
    platform.lock().workers[0].next_heartbeat_at = Instant::now() + Duration::from_millis(LONG_MS);
    platform.lock().workers[0].incarnation.is_announced = false;

    let started = status(platform.execute(0, 1, &start_order(1, 1)));

    assert_eq!(started, 200);
    assert_eq!(platform.with_run_log(|log| log.starts_before_announcement), 1);
}

#[test]
fn a_worker_refuses_requests_for_another_worker() {
    let platform = start(StoppingRuns::Listed);

    let response = platform.handle_worker_request(1, 0, &start_order(1, 1));

    assert_eq!(status(response), 421);
    assert_eq!(platform.with_run_log(|log| log.starts), 0);
}

#[test]
fn a_worker_that_is_cut_off_neither_executes_nor_responds() {
    let platform = start(StoppingRuns::Listed);
    platform.cut_off_worker(0, 2_000);

    let response = platform.handle_worker_request(0, 0, &start_order(1, 1));

    assert_eq!(response, None);
    assert_eq!(platform.with_run_log(|log| log.starts), 0);
    assert_eq!(status(platform.handle_worker_request(0, 0, &start_order(1, 1))), 200);
}

#[test]
fn a_delayed_order_is_executed_without_a_response() {
    let platform = start(StoppingRuns::Listed);
    platform.delay_orders_of_worker(0, LONG_MS);

    let mut number = 1;
    while platform.handle_worker_request(0, 0, &start_order(number, 1)).is_some() {
        number += 1;
    }

    let waits_since = Instant::now();
    while platform.with_run_log(|log| log.starts) < number {
        assert!(waits_since.elapsed() < Duration::from_secs(60), "the order is executed");
        std::thread::yield_now();
    }
}

#[test]
fn calls_that_are_held_while_the_worker_is_down_are_executed_by_its_new_incarnation() {
    let platform = start(StoppingRuns::Listed);
    let restart = WorkerRestart { down_ms: 300, holds_calls: true, ..WorkerRestart::default() };
    platform.restart_worker(0, restart);

    let response = platform.handle_worker_request(0, 0, &start_order(1, 1));

    assert_eq!(status(response), 200);
    let state = platform.lock();
    assert!(state.workers[0].is_up());
    assert_eq!(state.workers[0].incarnation.runs.len(), 1);
}

#[test]
fn calls_that_are_held_get_no_response_if_the_worker_restarts_without_its_connections() {
    let platform = start(StoppingRuns::Listed);
    let down_ms = LONG_MS;
    platform.restart_worker(0, WorkerRestart { down_ms, holds_calls: true, ..WorkerRestart::default() });
    platform.restart_worker(0, WorkerRestart::default());

    let response = platform.handle_worker_request(0, 1, &start_order(1, 1));

    assert_eq!(response, None);
    assert_eq!(platform.with_run_log(|log| log.starts), 0);
}

#[test]
fn a_worker_loses_a_task_again_if_that_is_allowed() {
    let platform = start(StoppingRuns::Listed);
    assert_eq!(status(platform.execute(0, 0, &start_order(1, 1))), 200);
    platform.restart_worker(0, WorkerRestart::default());
    assert_eq!(status(platform.execute(1, 0, &start_order(2, 1))), 200);

    let restarted = platform.restart_worker(1, WorkerRestart { may_lose_again: true, ..WorkerRestart::default() });

    assert!(restarted);
    assert!(platform.lock().workers[1].incarnation.runs.is_empty());
}

#[test]
fn the_row_of_a_worker_that_is_cut_off_is_gone_until_the_cut_is_over() {
    let platform = start(StoppingRuns::Listed);
    platform.cut_off_worker(0, LONG_MS);
    let long_ago = Instant::now() - Duration::from_millis(3 * HEARTBEAT_MS);
    platform.lock().workers[0].last_heartbeat_at = long_ago;

    platform.lock().write_due_heartbeats();
    let row_in_cut = platform.lock().store.value("servers", "", "w0");
    platform.cut_off_worker(0, 0);
    platform.lock().workers[0].next_heartbeat_at = long_ago;
    platform.lock().write_due_heartbeats();

    assert_eq!(row_in_cut, None);
    assert_eq!(registered(&platform)["addr"], platform.lock().workers[0].entry["addr"]);
}
