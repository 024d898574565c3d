//! Runs jobs on daemon processes while the store holds odd rows of other writers, beside those of the workers.

mod support;

use sardineseam::UsersPlatformStandIn;
use support::control_daemon::ControlDaemon;
use support::eventually;

const RUN_MS: u64 = 50;
const DAEMONS: usize = 3;
const WORKERS: usize = 4;
const JOB: &str = r#"{"spec":"print","steps":[{"count":4,"cpu":1000,"memMb":100,"estimateMs":50}]}"#;

/// Characters that a URL reserves, or that stand for something else there.
const RESERVED: &str = "!#$%&'()*+,/:;=?@[]\" <>\\^`{|}~";

fn complete_job(daemon: &ControlDaemon, id: &str) {
    daemon.submit(id, JOB);
    daemon.wait_for_state(id, "completed");
}

/// Kills all daemons at the same time and starts them again, so that each reads all rows and one takes over.
fn restart(daemons: &mut [ControlDaemon]) {
    daemons.iter_mut().for_each(ControlDaemon::kill);
    daemons.iter_mut().for_each(ControlDaemon::start);
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

    let mut daemons = ControlDaemon::start_all("odd-keys", DAEMONS, &platform);
    complete_job(&daemons[0], "00000000000000a1");
    restart(&mut daemons);
    complete_job(&daemons[1], "10000000000000a2");
}

/// A worker's entry in which one field has another value.
fn entry(changed: &str, value: &str) -> Vec<u8> {
    let fields = [
        ("service", r#""press""#),
        ("addr", r#""127.0.0.1:9""#),
        ("zone", r#""a""#),
        ("version", r#""v1""#),
        ("slots", "8"),
        ("state", r#""ready""#),
        ("coldRemainingMs", "0"),
        ("seq", "1"),
        ("labels", r#"["a","r1"]"#),
        ("capacity", r#"{"cpu":8000,"memMb":32000,"gpu":0}"#),
        ("machine", r#""odd-host""#),
        ("born", "1"),
    ];
    let mut members = Vec::new();
    for (name, usual) in fields {
        members.push(format!("\"{name}\":{}", if name == changed { value } else { usual }));
    }
    format!("{{{}}}", members.join(",")).into_bytes()
}

#[test]
fn values_that_no_worker_writes_harm_nobody_else() {
    // Guards against processes that end, or stop following the registry, at one row of another writer.
    let nested = |text: &str| text.repeat(100_000).into_bytes();
    let values = [
        nested("["),
        nested("{\"a\":"),
        entry("addr", r#""127.0.0.1:65536""#),
        entry("addr", r#""127.0.0.1:0""#),
        entry("addr", r#""[::]:0""#),
        entry("addr", r#""127.0.0.1:-1""#),
        entry("born", r#"18446744073709551615"#),
        entry("born", r#"1e400"#),
        entry("born", r#"-1"#),
        entry("capacity", r#"{"cpu":1e308,"memMb":18446744073709551615,"gpu":1e308}"#),
        entry("capacity", r#"{"cpu":-1,"memMb":-1,"gpu":0}"#),
        entry("state", r#""unknown""#),
        vec![0xff, 0xfe, 0],
        Vec::new(),
    ];
    let platform = UsersPlatformStandIn::start(WORKERS, RUN_MS);
    for (number, value) in values.iter().enumerate() {
        platform.put_row("servers", &format!("odd-{number}"), value);
        platform.put_row("op", &format!("odd-{number}"), value);
    }

    // Demand that no worker can satisfy waits behind the odd capacities.
    let mut daemons = ControlDaemon::start_all("odd-values", DAEMONS, &platform);
    let huge = r#"{"spec":"print","steps":[{"count":2500,"cpu":1e300,"memMb":1e300,"gpu":1e300,"estimateMs":1e300}]}"#;
    for id in ["20000000000000a3", "30000000000000a4"] {
        eventually("the huge job is accepted", || {
            daemons[0].call("POST", id, huge).is_some_and(|(status, _)| status == 200)
        });
    }
    complete_job(&daemons[0], "00000000000000a1");
    restart(&mut daemons);
    complete_job(&daemons[1], "10000000000000a2");
    for (number, value) in values.iter().enumerate() {
        platform.put_row("servers", &format!("w{}", number % WORKERS), value);
    }
    complete_job(&daemons[2], "40000000000000a5");
}
