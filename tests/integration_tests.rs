//! Real processes on loopback: sheets, operators, restarts, stops. Verdicts rest on records.

mod support;

use std::thread;

use support::endpoint::{Script, ScriptedEndpoint};
use support::group::{start_daemons, Daemon, StandIn, CHANGED_SHEET, CLI, DAEMON, SMALL_SHEET, TOKEN};
use support::{eventually, http, run, try_http};

const SIGTERM: i32 = 15;
const SIGKILL: i32 = 9;
const SIGSTOP: i32 = 19;
const SIGCONT: i32 = 18;

fn apply(daemon: &Daemon, sheet: &str) {
    let output = daemon.cli(&["sheet", "apply", sheet]);
    assert_eq!(output.status, 0, "{}", output.stderr);
}

fn wait_for_version(daemons: &[Daemon], version: u64) {
    for daemon in daemons {
        eventually("the sheet is in force", || daemon.sheet_version() == version);
    }
}

#[test]
fn a_sheet_reaches_six_daemons_and_callers_are_served_by_the_right_pool() {
    let standin = StandIn::start(Some(SMALL_SHEET));
    let daemons = start_daemons(&standin, 6);
    let before = daemons[0].call("GET", "/alpha/x", &[], b"");

    apply(&daemons[0], SMALL_SHEET);
    wait_for_version(&daemons, 1);

    assert_eq!((before.status, before.outcome()), (503, "not-run"));
    for daemon in &daemons {
        eventually("hosts are known", || daemon.live_hosts("beta") == 2);
        let answer = daemon.call("GET", "/beta/some/path?q=1", &[], b"");
        assert_eq!((answer.status, answer.outcome()), (200, "ran"));
        assert!(answer.body.starts_with("GET /some/path?q=1 at beta-"), "{}", answer.body);
        let echoed = daemon.call("POST", "/alpha/run", &[], b"body of this caller");
        assert_eq!(echoed.body, "body of this caller");
    }
    eventually("leases are taken", || standin.rows("daemons/").len() == 6);
    let waves = daemons[5].cli(&["wave", "list"]);
    assert!(waves.stdout.contains("kernel") && waves.stdout.contains("alpha"), "{}", waves.stdout);
    let shown = daemons[4].cli(&["sheet", "show"]);
    assert_eq!(shown.stdout, std::fs::read_to_string(SMALL_SHEET).expect("the sheet"));
}

#[test]
fn of_two_operators_at_once_one_wins_and_the_other_is_told_whose_version_stands() {
    let standin = StandIn::start(None);
    let daemons = start_daemons(&standin, 2);

    let outputs = thread::scope(|scope| {
        let first = scope.spawn(|| daemons[0].cli(&["sheet", "apply", SMALL_SHEET, "--base-version", "0"]));
        let second = scope.spawn(|| daemons[1].cli(&["sheet", "apply", CHANGED_SHEET, "--base-version", "0"]));
        [first.join().expect("ran"), second.join().expect("ran")]
    });

    let winners = outputs.iter().filter(|output| output.status == 0).count();
    let loser = outputs.iter().find(|output| output.status == 1).expect("one loses");
    assert_eq!(winners, 1);
    assert!(loser.stderr.contains("version 1 of team bootstrap stands"), "{}", loser.stderr);
    wait_for_version(&daemons, 1);
    assert_eq!(daemons[0].cli(&["sheet", "show"]).stdout, daemons[1].cli(&["sheet", "show"]).stdout);
    assert_eq!(standin.rows("sheet/history/").len(), 1);
}

#[test]
fn a_sheet_whose_acceptance_was_not_heard_is_found_accepted_once() {
    let standin = StandIn::start(None);
    let daemons = start_daemons(&standin, 2);
    standin.faults(r#"{"lose_answers": true}"#);
    let first = daemons[0].cli(&["sheet", "apply", SMALL_SHEET]);
    standin.faults(r#"{"lose_answers": false}"#);

    let second = daemons[0].cli(&["sheet", "apply", SMALL_SHEET]);

    assert_eq!(first.status, 1, "{}", first.stdout);
    assert_eq!(second.status, 0, "{}", second.stderr);
    wait_for_version(&daemons, 1);
    assert_eq!(standin.rows("sheet/history/").len(), 1);
}

#[test]
fn a_daemon_restarted_during_an_outage_serves_the_accepted_sheet_from_a_peer() {
    let standin = StandIn::start(Some(SMALL_SHEET));
    let mut daemons = start_daemons(&standin, 2);
    apply(&daemons[0], SMALL_SHEET);
    // An apply replaces the version in force at the daemon asked, so that must be the first one by then.
    wait_for_version(&daemons, 1);
    apply(&daemons[0], CHANGED_SHEET);
    wait_for_version(&daemons, 2);
    eventually("hosts are known", || daemons[0].live_hosts("alpha") == 2);
    standin.faults(r#"{"down": true}"#);
    let killed = daemons.pop().expect("two daemons");
    killed.process.signal(SIGKILL);

    let restarted = Daemon::start("d2", "z2", &standin.url, &["--peers", &daemons[0].peers]);

    eventually("it is ready", || restarted.is_ready());
    assert_eq!(restarted.sheet_version(), 2);
    let answer = restarted.call("GET", "/alpha/x", &[], b"");
    assert_eq!((answer.status, answer.outcome()), (200, "ran"));
    let refused = restarted.cli(&["sheet", "apply", SMALL_SHEET]);
    assert_eq!(refused.status, 1);
    assert!(refused.stderr.contains("nothing was accepted"), "{}", refused.stderr);
    standin.faults(r#"{"down": false}"#);
    eventually("the platform is back", || restarted.status()["platform_reachable"] == true);
    assert_eq!((restarted.sheet_version(), daemons[0].sheet_version()), (2, 2));
}

#[test]
fn a_daemon_cut_off_from_platform_and_peers_is_not_ready() {
    let standin = StandIn::start(None);
    standin.faults(r#"{"cut_zones": ["z1"]}"#);

    let daemon = Daemon::start("d1", "z1", &standin.url, &[]);

    let answer = daemon.call("GET", "/alpha/x", &[], b"");
    assert_eq!((answer.status, answer.outcome()), (503, "not-run"));
    assert!(!daemon.is_ready());
    assert_eq!(http("GET", &format!("http://{}/healthz", daemon.admin), &[], b"").status, 200);
}

#[test]
fn a_stop_finishes_requests_in_progress_and_hands_the_lease_back() {
    let standin = StandIn::start(None);
    let endpoint = ScriptedEndpoint::start(Script::Hold);
    standin.put_host("held", &endpoint.address, "alpha", "live");
    let daemon = Daemon::start("d1", "z1", &standin.url, &[]);
    apply(&daemon, SMALL_SHEET);
    eventually("the host is known", || daemon.live_hosts("alpha") == 1);
    eventually("the lease is taken", || standin.rows("daemons/").len() == 1);
    let url = format!("http://{}/alpha/plate", daemon.callers);
    let caller = thread::spawn(move || http("POST", &url, &[], b"long plate run"));
    eventually("the request is at the endpoint", || endpoint.seen().len() == 1);

    daemon.process.signal(SIGTERM);
    eventually("it takes no new work", || {
        try_http("GET", &format!("http://{}/nowhere/new", daemon.callers), &[], b"").is_none()
    });
    let ready = daemon.is_ready();
    daemon.process.signal(SIGTERM);
    eventually("it says what a kill would cut", || daemon.process.log().contains("a kill would cut 1 requests"));
    endpoint.release();
    let answer = caller.join().expect("answered");
    let (status, log) = daemon.process.wait();

    assert!(!ready);
    assert_eq!((answer.status, answer.outcome(), &*answer.body), (200, "ran", "long plate run"));
    assert_eq!(status.code(), Some(0), "{log}");
    assert_eq!(endpoint.seen().len(), 1);
    assert!(standin.rows("daemons/").is_empty(), "{log}");
}

#[test]
fn a_zone_cut_off_from_the_platform_goes_on_serving() {
    let standin = StandIn::start(Some(SMALL_SHEET));
    let daemons = start_daemons(&standin, 2);
    apply(&daemons[0], SMALL_SHEET);
    wait_for_version(&daemons, 1);
    eventually("hosts are known", || daemons[0].live_hosts("alpha") == 2);

    standin.faults(r#"{"cut_zones": ["z1"]}"#);
    eventually("it notices", || daemons[0].status()["platform_reachable"] == false);
    apply(&daemons[1], CHANGED_SHEET);

    let answer = daemons[0].call("GET", "/alpha/x", &[], b"");
    assert_eq!((answer.status, answer.outcome()), (200, "ran"));
    eventually("the sheet comes by way of a peer", || daemons[0].sheet_version() == 2);
    let refused = daemons[0].cli(&["sheet", "apply", SMALL_SHEET]);
    assert!(refused.status == 1 && refused.stderr.contains("nothing was accepted"), "{}", refused.stderr);
}

#[test]
fn a_leaving_endpoint_is_left_alone_everywhere_though_the_list_lags() {
    let standin = StandIn::start(Some(SMALL_SHEET));
    let endpoint = ScriptedEndpoint::start(Script::Raw(
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nSardineseam-Outcome: not-run\r\n\
         Sardineseam-State: leaving\r\n\r\n"
            .to_owned(),
    ));
    standin.put_host("leaver", &endpoint.address, "beta", "live");
    let daemons = start_daemons(&standin, 3);
    apply(&daemons[0], SMALL_SHEET);
    wait_for_version(&daemons, 1);
    for daemon in &daemons {
        eventually("hosts are known", || daemon.live_hosts("beta") == 3);
    }
    standin.faults(r#"{"list_lag_ms": 3600000}"#);

    eventually("one daemon meets the refusal", || {
        let answer = daemons[0].call("POST", "/beta/x", &[], b"work");
        assert_eq!((answer.status, answer.outcome()), (200, "ran"), "{}", answer.body);
        !endpoint.seen().is_empty()
    });
    for daemon in &daemons {
        eventually("it hears of the departure", || daemon.live_hosts("beta") == 2);
    }
    let refused_before = endpoint.seen().len();
    for daemon in &daemons {
        for _ in 0..20 {
            assert_eq!(daemon.call("POST", "/beta/x", &[], b"work").outcome(), "ran");
        }
    }

    assert_eq!(endpoint.seen().len(), refused_before);
}

#[test]
fn tokens_guard_the_administration_and_a_bad_one_changes_nothing() {
    let standin = StandIn::start(None);
    let daemons = start_daemons(&standin, 2);
    let issued = daemons[0].cli(&["token", "issue", "press", "viewer"]);
    let viewer = issued.stdout.trim().to_owned();

    for (token, status) in [("", 401), ("wrong", 401), (&*viewer, 403)] {
        let url = format!("http://{}/v1/sheet", daemons[1].admin);
        let body = std::fs::read(SMALL_SHEET).expect("the sheet");
        let answer = http("PUT", &url, &[("Authorization", &format!("Bearer {token}"))], &body);
        assert_eq!(answer.status, status, "{}", answer.body);
    }
    let with_viewer = [("SARDINESEAM_ADMIN", &*daemons[1].admin), ("SARDINESEAM_TOKEN", &viewer)];

    assert!(standin.rows("sheet/").is_empty());
    assert_eq!(run(CLI, &["status"], &with_viewer).status, 0);
    assert_eq!(daemons[0].cli(&["token", "withdraw", "press"]).stdout, "withdrawn: 1\n");
    assert!(standin.rows("tokens/").is_empty());
}

#[test]
fn a_bad_sheet_is_refused_whole_with_every_problem() {
    let standin = StandIn::start(None);
    let daemon = Daemon::start("d1", "z1", &standin.url, &[]);
    let text = std::fs::read_to_string(SMALL_SHEET).expect("the sheet");
    let bad = text.replace("z1 z2,2,no", "z1 z2,two,no").replace("beta,,,,,1", "beta,,,,,9");
    let url = format!("http://{}/v1/sheet", daemon.admin);

    let answer = http("PUT", &url, &[("Authorization", &format!("Bearer {TOKEN}"))], bad.as_bytes());

    let body: serde_json::Value = serde_json::from_str(&answer.body).expect("JSON");
    assert_eq!(answer.status, 422);
    assert_eq!(body["problems"][0]["line"], 2);
    assert_eq!(body["problems"][0]["column"], "hosts");
    assert_eq!(body["problems"][1]["column"], "max_unavailable");
    assert!(standin.rows("sheet/").is_empty());
}

#[test]
fn the_command_line_tells_done_from_refused_and_misused() {
    let no_daemon = [("SARDINESEAM_ADMIN", "127.0.0.1:1"), ("SARDINESEAM_TOKEN", TOKEN)];

    let done = run(CLI, &["--json", "sheet", "check", SMALL_SHEET], &[]);
    let refused = run(CLI, &["--json", "sheet", "check", concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml")], &[]);
    let unreachable = run(CLI, &["status"], &no_daemon);
    let misused = run(CLI, &["sheet", "frobnicate"], &[]);
    let help = run(CLI, &["--help"], &[]);

    assert_eq!((done.status, refused.status, unreachable.status), (0, 1, 1));
    assert!(done.stdout.contains("\"pools\": 2"), "{}", done.stdout);
    assert!(refused.stdout.contains("\"line\": 1"), "{}", refused.stdout);
    assert!(unreachable.stderr.contains("SARDINESEAM_ADMIN"), "{}", unreachable.stderr);
    assert_eq!((misused.status, help.status), (2, 0));
}

#[test]
fn the_daemon_names_settings_that_it_cannot_use() {
    let cases: [(&[&str], &str); 5] = [
        (&["--listen", "nowhere"], "setting listen: \"nowhere\""),
        (&["--log-format", "xml"], "must be text or json"),
        (&["--platform", "ftp://x"], "setting platform"),
        (&["--platform", "http://127.0.0.1:1", "--sheet", "x.csv"], "sardineseam sheet apply"),
        (&["--no-such-flag"], "see sardineseamd --help"),
    ];
    for (args, expected) in cases {
        let output = run(DAEMON, args, &[]);
        assert_eq!(output.status, 2, "{args:?}");
        assert!(output.stderr.contains(expected), "{}", output.stderr);
    }
    let by_variable = run(DAEMON, &[], &[("SARDINESEAM_MAX_QUEUED", "many")]);
    assert!(by_variable.stderr.contains("setting max-queued"), "{}", by_variable.stderr);
    let help = run(DAEMON, &["--help"], &[]);
    assert!(help.status == 0 && help.stdout.contains("in milliseconds. Default: 30000"), "{}", help.stdout);
}

#[test]
fn the_embedded_platform_serves_at_once_and_logs_json() {
    let sheet = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/union.csv");
    let daemon = Daemon::start("d1", "plovdiv-1", "embedded", &["--sheet", sheet, "--log-format", "json"]);

    eventually("it is ready", || daemon.is_ready() && daemon.live_hosts("rent") == 10);

    assert_eq!(daemon.call("POST", "/rent/settle", &[], b"chair 7").body, "chair 7");
    let development = [("SARDINESEAM_ADMIN", &*daemon.admin), ("SARDINESEAM_TOKEN", "development")];
    assert_eq!(run(CLI, &["pool", "list"], &development).status, 0);
    let log = daemon.process.log();
    let line = log.lines().next().expect("a log line");
    let record: serde_json::Value = serde_json::from_str(line).expect("JSON");
    assert_eq!(record["level"], "INFO");
    let metrics = http("GET", &format!("http://{}/metrics", daemon.admin), &[], b"").body;
    assert!(metrics.contains("requests_total{outcome=\"ran\"} 1"), "{metrics}");
}

#[test]
fn daemons_tell_each_other_their_load() {
    let standin = StandIn::start(None);
    let endpoint = ScriptedEndpoint::start(Script::Hold);
    standin.put_host("held", &endpoint.address, "alpha", "live");
    let daemons = start_daemons(&standin, 2);
    apply(&daemons[0], SMALL_SHEET);
    eventually("the host is known", || daemons[0].live_hosts("alpha") == 1);
    let url = format!("http://{}/alpha/plate", daemons[0].callers);
    let caller = thread::spawn(move || http("POST", &url, &[], b"run"));

    eventually("the other daemon hears of it", || daemons[1].status()["peers"][0]["in_flight"] == 1);
    endpoint.release();
    eventually("and of its end", || daemons[1].status()["peers"][0]["in_flight"] == 0);

    assert_eq!(caller.join().expect("answered").outcome(), "ran");
}

#[test]
fn a_slow_platform_holds_nothing_up_and_is_used_again_when_it_is_fast() {
    let standin = StandIn::start(Some(SMALL_SHEET));
    let daemons = start_daemons(&standin, 2);
    apply(&daemons[0], SMALL_SHEET);
    wait_for_version(&daemons, 1);
    eventually("hosts are known", || daemons[0].live_hosts("alpha") == 2);

    standin.faults(r#"{"slow_ms": 5000}"#);
    eventually("it notices", || daemons[0].status()["platform_reachable"] == false);
    let answer = daemons[0].call("POST", "/alpha/x", &[], b"work");
    standin.faults(r#"{"slow_ms": 0}"#);
    eventually("the platform is back", || daemons[0].status()["platform_reachable"] == true);

    assert_eq!((answer.status, answer.outcome()), (200, "ran"));
    eventually("sheets are accepted again", || daemons[0].cli(&["sheet", "apply", CHANGED_SHEET]).status == 0);
    wait_for_version(&daemons, 2);
}

#[test]
fn a_silent_peer_does_not_keep_a_starting_daemon_from_the_others() {
    let standin = StandIn::start(Some(SMALL_SHEET));
    let daemons = start_daemons(&standin, 1);
    apply(&daemons[0], SMALL_SHEET);
    wait_for_version(&daemons, 1);
    eventually("hosts are known", || daemons[0].live_hosts("alpha") == 2);
    standin.faults(r#"{"down": true}"#);
    let silent = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let silent_address = silent.local_addr().expect("an address").to_string();

    let peers = format!("{silent_address},{}", daemons[0].peers);
    let started = Daemon::start("d2", "z2", &standin.url, &["--peers", &peers]);

    eventually("it is ready", || started.is_ready());
    assert_eq!(started.call("GET", "/alpha/x", &[], b"").outcome(), "ran");
}

#[test]
fn a_daemon_frozen_past_its_lease_is_left_out_and_comes_back_with_the_newest_sheet() {
    let standin = StandIn::start(Some(SMALL_SHEET));
    let daemons = start_daemons(&standin, 2);
    apply(&daemons[0], SMALL_SHEET);
    wait_for_version(&daemons, 1);
    let knows_peer = || daemons[0].status()["peers"].as_array().is_some_and(|peers| peers.len() == 1);
    eventually("they know each other", knows_peer);

    daemons[1].process.signal(SIGSTOP);
    eventually("its lease lapses", || !knows_peer());
    apply(&daemons[0], CHANGED_SHEET);
    daemons[1].process.signal(SIGCONT);

    eventually("it is back", knows_peer);
    wait_for_version(&daemons, 2);
    assert_eq!(daemons[1].call("GET", "/alpha/x", &[], b"").outcome(), "ran");
}
