//! Organisations that share a fleet call daemon processes with their keys; the platform is a stand-in.

mod support;

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::Duration;

use sardineseam::{JobClient, UsersPlatformStandIn, KEY_VARIABLE};
use support::proxy::{Mode, Proxy};
use support::{eventually, http, run, try_http, Answer};

const JOB: &str = "00000000000000a1";
const BODY: &[u8] = br#"{"spec":"print","steps":[{"count":1,"cpu":1000,"memMb":100,"estimateMs":300}]}"#;
const MAX_PORT_ATTEMPTS: u32 = 5;
const KORA_KEY: &str = "key-of-kora-31";
const TAMO_KEY: &str = "key-of-tamo-47";

struct Daemon {
    front_address: String,
    log_path: PathBuf,
    child: Child,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // Fails if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").expect("a free port").local_addr().expect("an address").port()
}

fn start_daemon(name: &str, platform: &UsersPlatformStandIn) -> Daemon {
    start_daemon_with(name, platform, platform.store_address, |settings| settings)
}

/// Starts a daemon that reaches the row store at `store`; `change` is applied to its settings file. A free port may be taken
/// before the daemon listens on it, so others are tried then.
fn start_daemon_with(
    name: &str,
    platform: &UsersPlatformStandIn,
    store: SocketAddr,
    change: impl Fn(String) -> String,
) -> Daemon {
    for _ in 0..MAX_PORT_ATTEMPTS {
        let mut daemon = spawn_daemon(name, platform, store, &change);
        let mut has_exited = false;
        eventually("the daemon answers", || {
            has_exited = daemon.child.try_wait().expect("the state of the daemon").is_some();
            has_exited
                || try_http("GET", &daemon.url("jobs/"), &[("host", "print.example")], b"")
                    .is_some_and(|answer| answer.status < 500)
        });
        if !has_exited {
            return daemon;
        }
        let log = std::fs::read_to_string(&daemon.log_path).expect("the daemon's log");
        assert!(log.contains("Address already in use"), "the daemon has exited: {log}");
    }
    panic!("{MAX_PORT_ATTEMPTS} times, a port was taken before the daemon listened on it");
}

fn spawn_daemon(
    name: &str,
    platform: &UsersPlatformStandIn,
    store: SocketAddr,
    change: &impl Fn(String) -> String,
) -> Daemon {
    let front_address = format!("127.0.0.1:{}", free_port());
    let readiness_address = ([127, 0, 0, 1], free_port()).into();
    let caller_address = front_address.parse().expect("an address");
    let settings_path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("key-{name}.json"));
    let text = platform.settings(name, caller_address, readiness_address, store);
    std::fs::write(&settings_path, change(text)).expect("the settings file is written");
    let log_path = settings_path.with_extension("log");
    let log = File::create(&log_path).expect("a log file");
    let child = Command::new(env!("CARGO_BIN_EXE_sardineseamd"))
        .arg("--control")
        .env("SARDINESEAM_BOOT", &settings_path)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("a log file"))
        .stderr(log)
        .spawn();
    Daemon { front_address, log_path, child: child.expect("the daemon starts") }
}

impl Daemon {
    fn url(&self, path: &str) -> String {
        format!("http://{}/{path}", self.front_address)
    }

    fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
        assert!(sent.expect("kill runs").success());
    }

    /// Sends a request with a key; an empty key stands for none.
    fn call(&self, method: &str, path: &str, key: &str) -> Answer {
        let authorization = format!("Bearer {key}");
        let mut headers = vec![("host", "print.example")];
        if !key.is_empty() {
            headers.push(("authorization", &authorization));
        }
        let body = if method == "POST" { BODY } else { b"" };
        http(method, &self.url(path), &headers, body)
    }
}

fn status(daemon: &Daemon, method: &str, path: &str, key: &str) -> u16 {
    daemon.call(method, path, key).status
}

#[test]
fn job_exists_for_its_organisation_only_on_every_daemon() {
    let platform = UsersPlatformStandIn::start(2, 100);
    platform.share_fleet(2, &[("kora", KORA_KEY), ("tamo", TAMO_KEY)]);
    let daemons = [start_daemon("owner-1", &platform), start_daemon("owner-2", &platform)];
    let path = format!("jobs/{JOB}");

    let without_key = daemons[0].call("POST", &path, "");
    let submitted = status(&daemons[0], "POST", &path, KORA_KEY);

    assert_eq!((without_key.status, without_key.header("www-authenticate")), (401, "Bearer"));
    assert_eq!(submitted, 200);
    let assert_owned = |daemon: &Daemon| {
        assert_eq!(status(daemon, "GET", &path, KORA_KEY), 200);
        assert_eq!(status(daemon, "POST", &path, KORA_KEY), 200, "submitting again");
        assert_eq!(status(daemon, "GET", &path, TAMO_KEY), 410);
        assert_eq!(status(daemon, "DELETE", &path, TAMO_KEY), 410);
        assert_eq!(status(daemon, "POST", &path, TAMO_KEY), 409);
        assert_eq!(status(daemon, "GET", &format!("open/{JOB}"), ""), 410, "through a public queue");
        assert_eq!(status(daemon, "POST", &format!("open/{JOB}"), ""), 409, "through a public queue");
        assert_eq!(status(daemon, "GET", &path, "unknown"), 401);
    };
    daemons.iter().for_each(assert_owned);
    eventually("the job completes", || daemons[1].call("GET", &path, KORA_KEY).body.contains("completed"));
    daemons.iter().for_each(assert_owned);
    // This daemon knows the job only from the rows that the leader has written.
    assert_owned(&start_daemon("owner-3", &platform));
    for daemon in &daemons {
        let log = std::fs::read_to_string(&daemon.log_path).expect("a log");
        assert!(!log.contains(KORA_KEY) && !log.contains(TAMO_KEY), "the log shows a key");
    }
}

#[test]
fn withdrawn_key_is_refused_and_jobs_stay_visible_when_their_queue_becomes_keyed() {
    let platform = UsersPlatformStandIn::start(2, 100);
    let daemon = start_daemon("withdrawn", &platform);
    let path = format!("jobs/{JOB}");
    assert_eq!(status(&daemon, "POST", &path, ""), 200);

    platform.share_fleet(2, &[("kora", KORA_KEY)]);
    eventually("the queue needs a key", || status(&daemon, "GET", &path, "") == 401);
    let accepted_while_public = status(&daemon, "GET", &path, KORA_KEY);
    platform.share_fleet(3, &[("kora", TAMO_KEY)]);
    eventually("the key is withdrawn", || status(&daemon, "GET", &path, KORA_KEY) == 401);

    assert_eq!(accepted_while_public, 200);
    assert_eq!(status(&daemon, "GET", &path, TAMO_KEY), 200);
}

#[test]
fn key_withdrawn_while_the_daemon_was_suspended_is_not_accepted_afterwards() {
    const SUSPENDED: Duration = Duration::from_secs(4);
    let platform = UsersPlatformStandIn::start(2, 100);
    platform.share_fleet(2, &[("kora", KORA_KEY)]);
    let proxy = Proxy::start(platform.store_address);
    let daemon = start_daemon_with("suspended", &platform, proxy.address, |settings| settings);
    let path = format!("jobs/{JOB}");
    assert_eq!(status(&daemon, "POST", &path, KORA_KEY), 200);

    daemon.signal("STOP");
    proxy.set_mode(Mode::Stall);
    platform.share_fleet(3, &[("kora", TAMO_KEY)]);
    thread::sleep(SUSPENDED);
    let after = thread::scope(|scope| {
        let call = scope.spawn(|| status(&daemon, "GET", &path, KORA_KEY));
        // The request waits at the daemon when it continues.
        thread::sleep(Duration::from_millis(200));
        daemon.signal("CONT");
        // The daemon learns of the withdrawal only some time after it has received the request.
        thread::sleep(Duration::from_millis(80));
        proxy.set_mode(Mode::Forward);
        call.join().expect("an answer")
    });

    assert_eq!(after, 401);
}

#[test]
fn cut_off_daemon_accepts_keys_unless_revocation_is_strict() {
    let platform = UsersPlatformStandIn::start(2, 100);
    platform.share_fleet(2, &[("kora", KORA_KEY)]);
    let proxy = Proxy::start(platform.store_address);
    let strict =
        |settings: String| settings.replace(r#""graceS":6"#, r#""graceS":6,"revokeStrict":true,"revokeMs":1000"#);
    let daemon = start_daemon_with("strict", &platform, proxy.address, strict);
    let lenient = start_daemon_with("lenient", &platform, proxy.address, |settings| settings);
    let path = format!("jobs/{JOB}");
    let open_path = format!("open/{JOB}");
    assert_eq!(status(&daemon, "POST", &open_path, ""), 200);
    eventually("the job is known", || status(&lenient, "GET", &open_path, "") == 200);

    proxy.set_mode(Mode::Disconnect);
    eventually("no key is accepted", || status(&daemon, "GET", "jobs/", KORA_KEY) == 503);
    let refused = daemon.call("GET", &path, KORA_KEY);

    assert_eq!((refused.status, refused.header("retry-after")), (503, "1"));
    assert_eq!(status(&daemon, "GET", &open_path, ""), 200, "the queue needs no key");
    assert_eq!(status(&lenient, "GET", "jobs/", KORA_KEY), 200);
    assert_eq!(status(&lenient, "GET", "jobs/", "unknown"), 401);
    proxy.set_mode(Mode::Forward);
    eventually("keys are accepted again", || status(&daemon, "GET", "jobs/", KORA_KEY) == 200);
}

#[test]
fn organisation_with_too_much_work_is_refused_until_it_can_be_served_beside_one_with_little() {
    // Two workers of 8 cores run two of these tasks at a time. A job may take 24 s before its result is worthless.
    const LONG: &[u8] = br#"{"spec":"print","steps":[{"count":1,"cpu":8000,"memMb":100,"estimateMs":2000}]}"#;
    let platform = UsersPlatformStandIn::start(2, 2_000);
    platform.share_fleet(2, &[("kora", KORA_KEY), ("tamo", TAMO_KEY)]);
    let daemons = [start_daemon("admission-1", &platform), start_daemon("admission-2", &platform)];
    let submit = |daemon: &Daemon, number: u32, key: &str| {
        let headers = [("host", "print.example"), ("authorization", &*format!("Bearer {key}"))];
        http("POST", &daemon.url(&format!("jobs/{number:016x}")), &headers, LONG)
    };
    for number in 0..50 {
        assert_eq!(submit(&daemons[0], number, KORA_KEY).status, 200, "no report of the overload yet");
    }

    let mut number = 100;
    eventually("the organisation is refused", || {
        number += 1;
        submit(&daemons[0], number, KORA_KEY).status == 429
    });
    eventually("the other daemon has the report, too", || {
        // A job that was accepted once is never refused.
        number += 1;
        submit(&daemons[1], number, KORA_KEY).status == 429
    });
    let refused = submit(&daemons[0], 100_001, KORA_KEY);

    assert_eq!(refused.status, 429);
    assert!(refused.header("retry-after").parse::<u32>().is_ok_and(|seconds| seconds > 0), "{refused:?}");
    assert_eq!(status(&daemons[0], "GET", "jobs/00000000000186a1", KORA_KEY), 410, "it was not accepted");
    assert_eq!(submit(&daemons[0], 1, KORA_KEY).status, 200, "a job that was accepted before");
    assert_eq!(
        submit(&daemons[1], 49, KORA_KEY).status,
        200,
        "a job that another daemon accepted and that still waits"
    );
    assert_eq!(submit(&daemons[0], 100_002, TAMO_KEY).status, 200, "an organisation without waiting jobs");
}

#[test]
fn overloaded_organisation_is_refused_however_many_queues_there_are() {
    // Guards against a report of the overload that outgrows a row: nobody is refused, and other rows are not stored.
    const QUEUES: usize = 3_000;
    const LONG: &[u8] = br#"{"spec":"print","steps":[{"count":1,"cpu":8000,"memMb":100,"estimateMs":2000}]}"#;
    let platform = UsersPlatformStandIn::start(2, 2_000);
    platform.share_fleet_with_queues(2, &[("kora", KORA_KEY)], QUEUES);
    let daemon = start_daemon("many-queues", &platform);
    let headers = [("host", "print.example"), ("authorization", &*format!("Bearer {KORA_KEY}"))];

    let mut number = 0;
    eventually("the organisation is refused", || {
        number += 1;
        http("POST", &daemon.url(&format!("jobs/{number:016x}")), &headers, LONG).status == 429
    });

    assert_eq!(platform.refused_call_count(), 0);
}

#[test]
fn command_line_sends_the_key_from_its_environment_and_explains_a_refusal() {
    let platform = UsersPlatformStandIn::start(2, 100);
    platform.share_fleet(2, &[("kora", KORA_KEY)]);
    let daemon = start_daemon("command-line", &platform);
    let args = ["job", "--front", &daemon.front_address, "submit", "--id", JOB, "--wait"];
    let program = env!("CARGO_BIN_EXE_sardineseam");

    let with_key = run(program, &args, &[(KEY_VARIABLE, KORA_KEY)]);
    let without_key = run(program, &args, &[(KEY_VARIABLE, "")]);
    let unknown_key = run(program, &args, &[(KEY_VARIABLE, "secret-9")]);
    let unusable_key = run(program, &args, &[(KEY_VARIABLE, "secret 9")]);

    assert_eq!((with_key.status, with_key.stdout.contains("completed")), (0, true), "{}", with_key.stderr);
    assert_eq!(without_key.status, 1);
    assert!(without_key.stderr.contains("needs a key; set SARDINESEAM_KEY"), "{}", without_key.stderr);
    assert!(unknown_key.stderr.contains("key in SARDINESEAM_KEY is not known"), "{}", unknown_key.stderr);
    assert!(unusable_key.stderr.contains("setting SARDINESEAM_KEY"), "{}", unusable_key.stderr);
    assert!(!unknown_key.stderr.contains("secret") && !unusable_key.stderr.contains("secret"));
}

#[test]
fn debug_output_of_a_client_shows_no_key() {
    let client = JobClient::new("127.0.0.1:1", "print.example/jobs/").and_then(|client| client.with_key(KORA_KEY));

    let text = format!("{:?}", client.expect("a client"));

    assert!(!text.contains(KORA_KEY), "{text}");
}
