//! Daemon processes whose links to the store are so narrow that an answer takes longer to arrive than the timeout of a
//! call.

mod support;

use sardineseam::UsersPlatformStandIn;
use support::control_daemon::ControlDaemon;
use support::{eventually, try_http};

const RUN_MS: u64 = 100;
const LINK_BYTES_PER_S: u64 = 200_000;
/// Number of queues whose configuration takes some three seconds on the link.
const QUEUES: usize = 2_500;

fn start_daemon(test: &str, number: usize, platform: &UsersPlatformStandIn, bytes_per_s: u64) -> ControlDaemon {
    let mut daemon = ControlDaemon::prepare(test, number, platform);
    daemon.proxy.limit_bandwidth(bytes_per_s);
    daemon.start();
    daemon
}

fn has_queue(daemon: &ControlDaemon, number: usize) -> bool {
    let url = format!("http://{}/more/{number}/", daemon.front_address);
    try_http("GET", &url, &[("host", "print.example")], b"").is_some_and(|answer| answer.status == 200)
}

fn job(spec: &str) -> String {
    let step = r#"{"count":1,"cpu":100,"memMb":10,"estimateMs":100}"#;
    format!(r#"{{"spec":"{spec}","steps":[{step}]}}"#)
}

#[test]
fn configuration_that_takes_longer_to_arrive_than_the_timeout_of_a_call_comes_into_force() {
    // Guards against a daemon that requests a large configuration again and again, and serves an old one for good.
    let platform = UsersPlatformStandIn::start(1, RUN_MS);
    let daemon = start_daemon("narrow", 1, &platform, LINK_BYTES_PER_S);
    daemon.submit("00000000000000e1", &job("print"));

    platform.add_queues(2, QUEUES);

    eventually("the last queue is there", || has_queue(&daemon, QUEUES - 1));
    daemon.submit("00000000000000e2", &job("print"));
    daemon.wait_for_state("00000000000000e2", "completed");
}

#[test]
fn daemon_that_starts_beside_a_configuration_larger_than_a_page_and_a_wave_is_configured() {
    // Guards against a page that holds nothing but the row that ended the page before.
    const MANY_QUEUES: usize = 8_000;
    let platform = UsersPlatformStandIn::start(1, RUN_MS);
    platform.add_queues(2, MANY_QUEUES);
    platform.put_row("op", "wave/1", br#"{"wave":1,"machines":["m0"],"durationS":20,"cap":1}"#);

    let daemon = start_daemon("large-page", 1, &platform, 0);

    eventually("the last queue is there", || has_queue(&daemon, MANY_QUEUES - 1));
}

#[test]
fn each_configuration_comes_into_force_although_the_next_one_is_written_while_it_arrives() {
    // Guards against a daemon that never catches up because it begins anew with each version.
    let platform = UsersPlatformStandIn::start(1, RUN_MS);
    let daemon = start_daemon("narrow-storm", 1, &platform, LINK_BYTES_PER_S);
    daemon.submit("00000000000000e3", &job("print"));

    let mut version = 2;
    eventually("a queue is there while configurations are written", || {
        platform.add_queues(version, QUEUES);
        version += 1;
        has_queue(&daemon, QUEUES - 1)
    });
}

#[test]
fn leader_on_a_narrow_link_takes_over_beside_many_stored_jobs() {
    // Guards against a new leader that never reads the stored jobs, of which one page takes seconds to arrive.
    const JOBS: usize = 150;
    let platform = UsersPlatformStandIn::start(1, RUN_MS);
    let mut first = start_daemon("narrow-takeover", 1, &platform, 0);
    let body = job(&"s".repeat(3_900));
    // All in one partition. One runs at a time, so that most of them are left to the second daemon.
    let ids: Vec<String> = (0..JOBS).map(|number| format!("{number:016x}")).collect();
    for id in &ids {
        first.submit(id, &body.replace("\"cpu\":100", "\"cpu\":8000"));
    }
    let second = start_daemon("narrow-takeover", 2, &platform, LINK_BYTES_PER_S);
    eventually("the second daemon answers", || second.call("GET", &ids[0], "").is_some());

    first.kill();

    eventually("the second daemon leads", || platform.leader().as_deref() == Some(&second.name));
    second.wait_for_state(&ids[JOBS - 1], "completed");
}
