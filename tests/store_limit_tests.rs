//! Runs jobs on daemon processes with a store that takes less than usual in one call and in one row.

mod support;

use std::time::Duration;

use sardineseam::UsersPlatformStandIn;
use support::control_daemon::ControlDaemon;
use support::proxy::Mode;
use support::{eventually, try_http_within};

const RUN_MS: u64 = 50;
const DAEMONS: usize = 3;
const WORKERS: usize = 8;
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Usual limit on a row.
const ROW_BYTES: usize = 65_536;
/// Usual limit on a call.
const CALL_BYTES: usize = 1_000_000;

fn job(tasks: u32) -> String {
    format!(r#"{{"spec":"print","steps":[{{"count":{tasks},"cpu":1000,"memMb":100,"estimateMs":50}}]}}"#)
}

fn call(daemon: &ControlDaemon, method: &str, id: &str, body: &str) -> Option<(u16, String)> {
    let headers = [("host", "print.example"), ("x-deadline-ms", "2000")];
    let url = format!("http://{}/jobs/{id}", daemon.front_address);
    let answer = try_http_within(CALL_TIMEOUT, method, &url, &headers, body.as_bytes())?;
    Some((answer.status, answer.body))
}

fn submit(daemon: &ControlDaemon, id: &str, tasks: u32) {
    eventually("the job is accepted", || {
        call(daemon, "POST", id, &job(tasks)).is_some_and(|(status, _)| status == 200)
    });
}

fn wait_for_state(daemon: &ControlDaemon, id: &str, state: &str) {
    eventually(&format!("job {id} is {state}"), || {
        call(daemon, "GET", id, "").is_some_and(|(_, body)| body.contains(state))
    });
}

fn start_daemons(test: &str, platform: &UsersPlatformStandIn) -> Vec<ControlDaemon> {
    let mut daemons: Vec<ControlDaemon> =
        (1..=DAEMONS).map(|number| ControlDaemon::prepare(test, number, platform)).collect();
    daemons.iter_mut().for_each(ControlDaemon::start);
    daemons
}

#[test]
fn batch_that_the_store_refuses_is_stored_in_parts() {
    // Guards against a leader that repeats a refused batch, and stores nothing any more: after an outage of the store, the
    // records of all jobs have changed at the same time.
    let platform = UsersPlatformStandIn::start(WORKERS, RUN_MS);
    let daemons = start_daemons("refused-batch", &platform);
    let ids: Vec<String> = (0..12).map(|number| format!("{number:x}0000000000000b1")).collect();
    ids.iter().for_each(|id| submit(&daemons[0], id, 200));
    wait_for_state(&daemons[0], &ids[0], "running");
    platform.limit_writes(4_000, ROW_BYTES);
    daemons.iter().for_each(|daemon| daemon.proxy.set_mode(Mode::Disconnect));
    eventually("all runs have ended", || platform.with_run_log(|log| log.done.len() as u64 == log.starts));
    daemons.iter().for_each(|daemon| daemon.proxy.set_mode(Mode::Forward));

    for id in &ids {
        wait_for_state(&daemons[1], id, "completed");
    }

    assert!(platform.refused_call_count() > 0, "the limit was never met");
    platform.with_run_log(|log| assert_eq!(log.violations, Vec::<String>::new()));
}

#[test]
fn job_whose_record_the_store_refuses_fails_and_others_complete() {
    // Guards against one job that stops all others because its record never fits.
    let platform = UsersPlatformStandIn::start(WORKERS, RUN_MS);
    platform.limit_writes(CALL_BYTES, 1_000);
    let daemons = start_daemons("refused-record", &platform);
    let (large, small) = ("00000000000000c1", ["10000000000000c2", "20000000000000c3"]);

    submit(&daemons[0], small[0], 8);
    submit(&daemons[0], large, 800);
    submit(&daemons[0], small[1], 8);

    wait_for_state(&daemons[1], large, "failed");
    for id in small {
        wait_for_state(&daemons[1], id, "completed");
    }
    platform.with_run_log(|log| assert_eq!(log.violations, Vec::<String>::new()));
}

#[test]
fn job_that_does_not_fit_in_a_row_is_refused_with_the_limit() {
    // Guards against a submission that is answered with 503 for good, and takes others of its batch with it.
    let platform = UsersPlatformStandIn::start(WORKERS, RUN_MS);
    let daemons = start_daemons("large-submission", &platform);
    let step = format!(r#"{{"count":1,"cpu":1000,"image":"{}"}}"#, "i".repeat(200));
    let steps = vec![step; 400].join(",");
    submit(&daemons[0], "00000000000000d1", 1);

    let answer = call(&daemons[0], "POST", "10000000000000d2", &format!(r#"{{"spec":"print","steps":[{steps}]}}"#));

    let (status, body) = answer.expect("an answer");
    assert_eq!(status, 400, "{body}");
    assert!(body.contains("60000"), "{body}");
}
