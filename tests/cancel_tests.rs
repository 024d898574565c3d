//! Cancels jobs that no daemon knows, on daemon processes.

mod support;

use std::time::Duration;

use sardineseam::UsersPlatformStandIn;
use support::control_daemon::ControlDaemon;
use support::{eventually, try_http_within};

const RUN_MS: u64 = 50;
const WORKERS: usize = 2;
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const JOB: &str = r#"{"spec":"print","steps":[{"count":1,"cpu":1000,"memMb":100,"estimateMs":50}]}"#;
const CANCELLED_ID: &str = "00000000000000c1";
const OTHER_ID: &str = "00000000000000c2";

fn call(daemon: &ControlDaemon, method: &str, id: &str, body: &str) -> Option<u16> {
    let headers = [("host", "print.example"), ("x-deadline-ms", "2000")];
    let url = format!("http://{}/jobs/{id}", daemon.front_address);
    Some(try_http_within(CALL_TIMEOUT, method, &url, &headers, body.as_bytes())?.status)
}

fn call_until(daemon: &ControlDaemon, (method, id, body): (&str, &str, &str), status: u16) {
    eventually(&format!("{method} {id} is answered with {status}"), || call(daemon, method, id, body) == Some(status));
}

/// Guards against a job that runs although its cancelling was acknowledged: the store performs a submission seconds after
/// the call that sent it has ended without an answer, and meanwhile its caller has cancelled the job (review/9). To the
/// store, that submission is one that comes after the cancellation.
#[test]
fn submission_that_comes_after_the_cancellation_of_its_job_is_not_stored() {
    let platform = UsersPlatformStandIn::start(WORKERS, RUN_MS);
    let mut daemons: Vec<ControlDaemon> =
        (1..=2).map(|number| ControlDaemon::prepare("cancel-first", number, &platform)).collect();
    daemons.iter_mut().for_each(ControlDaemon::start);
    for daemon in &daemons {
        call_until(daemon, ("GET", OTHER_ID, ""), 410);
    }
    call_until(&daemons[0], ("DELETE", CANCELLED_ID, ""), 410);

    let submitted = call(&daemons[1], "POST", CANCELLED_ID, JOB);
    call_until(&daemons[1], ("POST", OTHER_ID, JOB), 200);
    eventually("the other job has run", || platform.with_run_log(|log| !log.done.is_empty()));

    assert_eq!(submitted, Some(409));
    for daemon in &daemons {
        assert_eq!(call(daemon, "GET", CANCELLED_ID, ""), Some(410), "nobody submitted a job with this ID");
        assert_eq!(call(daemon, "DELETE", CANCELLED_ID, ""), Some(410));
    }
    platform.with_run_log(|log| assert!(log.done.iter().all(|task| task.starts_with(OTHER_ID)), "{:?}", log.done));
}
