//! Runs jobs on a daemon process while the store holds odd rows of other writers, beside those of the workers.

mod support;

use std::time::Duration;

use sardineseam::UsersPlatformStandIn;
use support::control_daemon::ControlDaemon;
use support::{eventually, try_http_within};

const RUN_MS: u64 = 50;
const WORKERS: usize = 4;
const JOB: &str = r#"{"spec":"print","steps":[{"count":4,"cpu":1000,"memMb":100,"estimateMs":50}]}"#;
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Characters that a URL reserves, or that stand for something else there.
const RESERVED: &str = "!#$%&'()*+,/:;=?@[]\" <>\\^`{|}~";

fn status_of(daemon: &ControlDaemon, method: &str, id: &str, body: &str) -> Option<(u16, String)> {
    let headers = [("host", "print.example"), ("x-deadline-ms", "2000")];
    let url = format!("http://{}/jobs/{id}", daemon.front_address);
    let answer = try_http_within(CALL_TIMEOUT, method, &url, &headers, body.as_bytes())?;
    Some((answer.status, answer.body))
}

fn complete_job(daemon: &ControlDaemon, id: &str) {
    eventually("the job is accepted", || status_of(daemon, "POST", id, JOB).is_some_and(|(status, _)| status == 200));
    eventually("the job completes", || {
        status_of(daemon, "GET", id, "").is_some_and(|(_, body)| body.contains("completed"))
    });
}

/// Completes a job, and another one after a restart of the daemon, which reads all rows again.
fn serve_before_and_after_a_restart(test: &str, platform: &UsersPlatformStandIn) {
    let mut daemon = ControlDaemon::prepare(test, 1, platform);
    daemon.start();
    complete_job(&daemon, "00000000000000a1");
    daemon.kill();
    daemon.start();
    complete_job(&daemon, "10000000000000a2");
}

/// Keys with characters that do not belong in a URL as they are. They sort before the keys of the workers.
fn odd_keys() -> Vec<String> {
    let mut keys: Vec<String> = RESERVED.chars().map(|character| format!("a{character}x")).collect();
    keys.extend(["a%41".to_owned(), "a\u{1}x".to_owned(), "a\nx".to_owned(), "aéx".to_owned(), "a\u{7f}".to_owned()]);
    keys.push("a".repeat(200));
    keys.push(String::new());
    keys
}

#[test]
fn keys_that_are_not_safe_in_a_url_may_end_a_page_of_rows() {
    // Guards against takeovers that fail, and against a page that is read again without end: the key of a page's last
    // row is part of the next request. Pages of two rows let each key be the last one.
    let platform = UsersPlatformStandIn::start(WORKERS, RUN_MS);
    platform.limit_pages(2);
    for key in odd_keys() {
        platform.put_row("servers", &key, b"null");
        platform.put_row("op", &key, b"null");
    }

    serve_before_and_after_a_restart("odd-keys", &platform);
}
