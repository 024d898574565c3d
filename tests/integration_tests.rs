//! Runs daemons, the platform's stand-in and the command-line program as processes on loopback: applying sheets,
//! platform outages, restarts and stops. Assertions rely on recorded rows, logs and requests, not on timing.

mod support;

use std::thread;

use support::cluster::{
    apply, describe_deployment, start_daemons, wait_for_version, Daemon, StandIn, BOOTSTRAP_TOKEN, CHANGED_SHEET, CLI,
    DAEMON, SMALL_SHEET,
};
use support::endpoint::{Script, ScriptedEndpoint};
use support::{eventually, eventually_or_describe, http, run, try_http};

const SIGTERM: i32 = 15;
const SIGKILL: i32 = 9;
const SIGSTOP: i32 = 19;
const SIGCONT: i32 = 18;

#[test]
fn a_sheet_reaches_six_daemons_and_callers_are_served_by_the_right_pool() {
    let standin = StandIn::start(Some(SMALL_SHEET));
    let daemons = start_daemons(&standin, 6);
    let before_apply = daemons[0].call("GET", "/alpha/x", &[], b"");

    apply(&daemons[0], SMALL_SHEET);
    wait_for_version(&daemons, 1);

    assert_eq!((before_apply.status, before_apply.outcome()), (503, "not-run"));
    for daemon in &daemons {
        eventually("the daemon knows the hosts", || daemon.live_hosts("beta") == 2);
        let answer = daemon.call("GET", "/beta/some/path?q=1", &[], b"");
        assert_eq!((answer.status, answer.outcome()), (200, "ran"));
        assert!(answer.body.starts_with("GET /some/path?q=1 at beta-"), "{}", answer.body);
        let echoed = daemon.call("POST", "/alpha/run", &[], b"body of this caller");
        assert_eq!(echoed.body, "body of this caller");
    }
    eventually("every daemon holds a lease", || standin.rows("daemons/").len() == 6);
    let waves = daemons[5].cli(&["wave", "list"]);
    assert!(waves.stdout.contains("kernel") && waves.stdout.contains("alpha"), "{}", waves.stdout);
    let shown = daemons[4].cli(&["sheet", "show"]);
    assert_eq!(shown.stdout, std::fs::read_to_string(SMALL_SHEET).expect("the sheet file is readable"));
}

#[test]
fn a_daemon_restarted_during_a_platform_outage_gets_the_accepted_sheet_from_a_peer() {
    let standin = StandIn::start(Some(SMALL_SHEET));
    let mut daemons = start_daemons(&standin, 2);
    apply(&daemons[0], SMALL_SHEET);
    // An apply without --base-version replaces the version in force at its daemon, which must be version 1 by then.
    wait_for_version(&daemons, 1);
    apply(&daemons[0], CHANGED_SHEET);
    wait_for_version(&daemons, 2);
    eventually("the daemon knows the hosts", || daemons[0].live_hosts("alpha") == 2);
    standin.set_faults(r#"{"down": true}"#);
    let killed = daemons.pop().expect("two daemons");
    killed.process.signal(SIGKILL);

    let restarted = Daemon::start("d2", "z2", &standin.url, &["--peers", &daemons[0].peer_address]);

    eventually("the restarted daemon is ready", || restarted.is_ready());
    assert_eq!(restarted.sheet_version(), 2);
    let answer = restarted.call("GET", "/alpha/x", &[], b"");
    assert_eq!((answer.status, answer.outcome()), (200, "ran"));
    let refused = restarted.cli(&["sheet", "apply", SMALL_SHEET]);
    assert_eq!(refused.status, 1);
    assert!(refused.stderr.contains("nothing was accepted"), "{}", refused.stderr);
    standin.set_faults(r#"{"down": false}"#);
    eventually("the platform is reachable again", || restarted.status()["platform_reachable"] == true);
    assert_eq!((restarted.sheet_version(), daemons[0].sheet_version()), (2, 2));
}

#[test]
fn a_daemon_cut_off_from_platform_and_peers_is_not_ready() {
    let standin = StandIn::start(None);
    standin.set_faults(r#"{"cut_zones": ["z1"]}"#);

    let daemon = Daemon::start("d1", "z1", &standin.url, &[]);

    let answer = daemon.call("GET", "/alpha/x", &[], b"");
    assert_eq!((answer.status, answer.outcome()), (503, "not-run"));
    assert!(!daemon.is_ready());
    assert_eq!(http("GET", &format!("http://{}/healthz", daemon.admin_address), &[], b"").status, 200);
}

#[test]
fn a_stopping_daemon_releases_a_lease_whose_last_renewal_was_not_answered() {
    let standin = StandIn::start(None);
    let daemon = Daemon::start("d1", "z1", &standin.url, &[]);
    eventually("the daemon holds a lease", || daemon.status()["leased"] == true);
    standin.set_faults(r#"{"lose_answers": true}"#);
    eventually("a renewal takes effect without an answer", || daemon.has_counted_renewal("failed"));
    standin.set_faults(r#"{"lose_answers": false}"#);

    daemon.process.signal(SIGTERM);
    let (status, log) = daemon.process.wait();

    assert_eq!(status.code(), Some(0), "{log}");
    assert!(standin.rows("daemons/").is_empty(), "{log}");
}

#[test]
fn renewals_of_the_lease_are_counted_by_their_result() {
    let standin = StandIn::start(None);
    let daemon = Daemon::start("d1", "z1", &standin.url, &[]);

    eventually("a renewal is committed", || daemon.has_counted_renewal("committed"));
    standin.set_faults(r#"{"lose_answers": true}"#);
    eventually("a renewal fails", || daemon.has_counted_renewal("failed"));
    standin.set_faults(r#"{"lose_answers": false}"#);
    eventually("a renewal meets the row that the lost one wrote", || daemon.has_counted_renewal("conflict"));
}

#[test]
fn a_stopping_daemon_finishes_requests_in_progress_and_releases_its_lease() {
    let standin = StandIn::start(None);
    let endpoint = ScriptedEndpoint::start(Script::Hold);
    standin.put_host("held", &endpoint.address, "alpha", "live");
    let daemon = Daemon::start("d1", "z1", &standin.url, &[]);
    apply(&daemon, SMALL_SHEET);
    eventually("the daemon knows the host", || daemon.live_hosts("alpha") == 1);
    eventually("the daemon holds a lease", || standin.rows("daemons/").len() == 1);
    let url = format!("http://{}/alpha/plate", daemon.caller_address);
    let caller = thread::spawn(move || http("POST", &url, &[], b"long plate run"));
    eventually("the endpoint receives the request", || endpoint.received().len() == 1);

    daemon.process.signal(SIGTERM);
    eventually("the daemon accepts no new requests", || {
        try_http("GET", &format!("http://{}/nowhere/new", daemon.caller_address), &[], b"").is_none()
    });
    let ready_while_stopping = daemon.is_ready();
    daemon.process.signal(SIGTERM);
    eventually("the daemon logs how many requests a kill would cut off", || {
        daemon.process.log().contains("a kill would cut 1 requests")
    });
    endpoint.release();
    let answer = caller.join().expect("the request ends");
    let (status, log) = daemon.process.wait();

    assert!(!ready_while_stopping);
    assert_eq!((answer.status, answer.outcome(), &*answer.body), (200, "ran", "long plate run"));
    assert_eq!(status.code(), Some(0), "{log}");
    assert_eq!(endpoint.received().len(), 1);
    assert!(standin.rows("daemons/").is_empty(), "{log}");
}

#[test]
fn a_zone_cut_off_from_the_platform_continues_to_serve_requests() {
    let standin = StandIn::start(Some(SMALL_SHEET));
    let daemons = start_daemons(&standin, 2);
    apply(&daemons[0], SMALL_SHEET);
    wait_for_version(&daemons, 1);
    eventually("the daemon knows the hosts", || daemons[0].live_hosts("alpha") == 2);

    standin.set_faults(r#"{"cut_zones": ["z1"]}"#);
    eventually("the daemon finds the platform unreachable", || daemons[0].status()["platform_reachable"] == false);
    apply(&daemons[1], CHANGED_SHEET);

    let answer = daemons[0].call("GET", "/alpha/x", &[], b"");
    assert_eq!((answer.status, answer.outcome()), (200, "ran"));
    eventually("the daemon gets the sheet from a peer", || daemons[0].sheet_version() == 2);
    let refused = daemons[0].cli(&["sheet", "apply", SMALL_SHEET]);
    assert!(refused.status == 1 && refused.stderr.contains("nothing was accepted"), "{}", refused.stderr);
}

#[test]
fn a_leaving_endpoint_gets_no_requests_from_any_daemon_while_the_host_list_is_stale() {
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
        eventually("the daemon knows the hosts", || daemon.live_hosts("beta") == 3);
    }
    standin.set_faults(r#"{"list_lag_ms": 3600000}"#);

    eventually("the first daemon gets a refusal from the leaving endpoint", || {
        let answer = daemons[0].call("POST", "/beta/x", &[], b"work");
        assert_eq!((answer.status, answer.outcome()), (200, "ran"), "{}", answer.body);
        !endpoint.received().is_empty()
    });
    for daemon in &daemons {
        eventually("the daemon knows that the endpoint leaves", || daemon.live_hosts("beta") == 2);
    }
    let received_before = endpoint.received().len();
    for daemon in &daemons {
        for _ in 0..20 {
            assert_eq!(daemon.call("POST", "/beta/x", &[], b"work").outcome(), "ran");
        }
    }

    assert_eq!(endpoint.received().len(), received_before);
}

#[test]
fn admin_requests_without_a_sufficient_token_are_refused_and_change_nothing() {
    let standin = StandIn::start(None);
    let daemons = start_daemons(&standin, 2);
    let issued = daemons[0].cli(&["token", "issue", "press", "viewer"]);
    let viewer = issued.stdout.trim().to_owned();

    for (token, status) in [("", 401), ("wrong", 401), (&*viewer, 403)] {
        let url = format!("http://{}/v1/sheet", daemons[1].admin_address);
        let body = std::fs::read(SMALL_SHEET).expect("the sheet file is readable");
        let answer = http("PUT", &url, &[("Authorization", &format!("Bearer {token}"))], &body);
        assert_eq!(answer.status, status, "{}", answer.body);
    }
    let viewer_env = [("SARDINESEAM_ADMIN", &*daemons[1].admin_address), ("SARDINESEAM_TOKEN", &viewer)];

    assert!(standin.rows("sheet/").is_empty());
    assert_eq!(run(CLI, &["status"], &viewer_env).status, 0);
    assert_eq!(daemons[0].cli(&["token", "withdraw", "press"]).stdout, "withdrawn: 1\n");
    assert!(standin.rows("tokens/").is_empty());
}

#[test]
fn command_line_exit_statuses_distinguish_success_failure_and_misuse() {
    let unreachable_daemon = [("SARDINESEAM_ADMIN", "127.0.0.1:1"), ("SARDINESEAM_TOKEN", BOOTSTRAP_TOKEN)];

    let done = run(CLI, &["--json", "sheet", "check", SMALL_SHEET], &[]);
    let refused = run(CLI, &["--json", "sheet", "check", concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml")], &[]);
    let unreachable = run(CLI, &["status"], &unreachable_daemon);
    let misused = run(CLI, &["sheet", "frobnicate"], &[]);
    let help = run(CLI, &["--help"], &[]);

    assert_eq!((done.status, refused.status, unreachable.status), (0, 1, 1));
    assert!(done.stdout.contains("\"pools\": 2"), "{}", done.stdout);
    assert!(refused.stdout.contains("\"line\": 1"), "{}", refused.stdout);
    assert!(unreachable.stderr.contains("SARDINESEAM_ADMIN"), "{}", unreachable.stderr);
    assert_eq!((misused.status, help.status), (2, 0));
}

#[test]
fn the_daemon_exits_with_a_message_that_names_the_invalid_setting() {
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
    let from_env = run(DAEMON, &[], &[("SARDINESEAM_MAX_QUEUED", "many")]);
    assert!(from_env.stderr.contains("setting max-queued"), "{}", from_env.stderr);
    let help = run(DAEMON, &["--help"], &[]);
    assert!(help.status == 0 && help.stdout.contains("in milliseconds. Default: 30000"), "{}", help.stdout);
}

#[test]
fn a_daemon_with_the_embedded_platform_serves_requests_and_logs_json() {
    let sheet = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/union.csv");
    let daemon = Daemon::start("d1", "plovdiv-1", "embedded", &["--sheet", sheet, "--log-format", "json"]);

    eventually("the daemon is ready", || daemon.is_ready() && daemon.live_hosts("rent") == 10);

    assert_eq!(daemon.call("POST", "/rent/settle", &[], b"chair 7").body, "chair 7");
    let development_env = [("SARDINESEAM_ADMIN", &*daemon.admin_address), ("SARDINESEAM_TOKEN", "development")];
    assert_eq!(run(CLI, &["pool", "list"], &development_env).status, 0);
    let log = daemon.process.log();
    let line = log.lines().next().expect("a log line");
    let record: serde_json::Value = serde_json::from_str(line).expect("JSON");
    assert_eq!(record["level"], "INFO");
    let metrics = http("GET", &format!("http://{}/metrics", daemon.admin_address), &[], b"").body;
    assert!(metrics.contains("requests_total{outcome=\"ran\"} 1"), "{metrics}");
}

#[test]
fn daemons_report_their_load_to_each_other() {
    let standin = StandIn::start(None);
    let endpoint = ScriptedEndpoint::start(Script::Hold);
    standin.put_host("held", &endpoint.address, "alpha", "live");
    let daemons = start_daemons(&standin, 2);
    apply(&daemons[0], SMALL_SHEET);
    eventually("the daemon knows the host", || daemons[0].live_hosts("alpha") == 1);
    let url = format!("http://{}/alpha/plate", daemons[0].caller_address);
    let caller = thread::spawn(move || http("POST", &url, &[], b"run"));

    eventually("the other daemon reports the request in flight", || daemons[1].status()["peers"][0]["in_flight"] == 1);
    endpoint.release();
    eventually("the other daemon reports no request in flight", || daemons[1].status()["peers"][0]["in_flight"] == 0);

    assert_eq!(caller.join().expect("the request ends").outcome(), "ran");
}

#[test]
fn requests_are_served_while_the_platform_is_slow_and_sheets_are_accepted_after_it_recovers() {
    let standin = StandIn::start(Some(SMALL_SHEET));
    let daemons = start_daemons(&standin, 2);
    apply(&daemons[0], SMALL_SHEET);
    wait_for_version(&daemons, 1);
    eventually("the daemon knows the hosts", || daemons[0].live_hosts("alpha") == 2);

    standin.set_faults(r#"{"slow_ms": 5000}"#);
    eventually("the daemon finds the platform unreachable", || daemons[0].status()["platform_reachable"] == false);
    let answer = daemons[0].call("POST", "/alpha/x", &[], b"work");
    standin.set_faults(r#"{"slow_ms": 0}"#);
    eventually("the platform is reachable again", || daemons[0].status()["platform_reachable"] == true);

    assert_eq!((answer.status, answer.outcome()), (200, "ran"));
    eventually("sheets are accepted again", || daemons[0].cli(&["sheet", "apply", CHANGED_SHEET]).status == 0);
    wait_for_version(&daemons, 2);
}

#[test]
fn a_starting_daemon_gets_its_state_from_another_peer_when_one_does_not_answer() {
    let standin = StandIn::start(Some(SMALL_SHEET));
    let daemons = start_daemons(&standin, 1);
    apply(&daemons[0], SMALL_SHEET);
    wait_for_version(&daemons, 1);
    eventually("the daemon knows the hosts", || daemons[0].live_hosts("alpha") == 2);
    standin.set_faults(r#"{"down": true}"#);
    let unresponsive = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let unresponsive_address = unresponsive.local_addr().expect("an address").to_string();

    let peers = format!("{unresponsive_address},{}", daemons[0].peer_address);
    let started = Daemon::start("d2", "z2", &standin.url, &["--peers", &peers]);

    eventually("the started daemon is ready", || started.is_ready());
    assert_eq!(started.call("GET", "/alpha/x", &[], b"").outcome(), "ran");
}

#[test]
fn a_daemon_frozen_past_its_lease_is_left_out_and_comes_back_with_the_newest_sheet() {
    let standin = StandIn::start(Some(SMALL_SHEET));
    let daemons = start_daemons(&standin, 2);
    apply(&daemons[0], SMALL_SHEET);
    wait_for_version(&daemons, 1);
    let wait_for_peers = |what: &str, count: usize| {
        let describe = || describe_deployment(&standin, &daemons);
        eventually_or_describe(what, || daemons[0].peer_count() == Some(count), describe);
    };
    wait_for_peers("the daemons know each other", 1);

    daemons[1].process.signal(SIGSTOP);
    wait_for_peers("the lease of the frozen daemon expires", 0);
    apply(&daemons[0], CHANGED_SHEET);
    daemons[1].process.signal(SIGCONT);

    wait_for_peers("the frozen daemon is a peer again", 1);
    wait_for_version(&daemons, 2);
    assert_eq!(daemons[1].call("GET", "/alpha/x", &[], b"").outcome(), "ran");
}

/// The daemon looked for the escaped name, found no tokens, and revoked none.
#[test]
fn tokens_of_a_team_with_any_name_are_revoked() {
    let standin = StandIn::start(None);
    let daemon = Daemon::start("d1", "z1", &standin.url, &[]);
    for team in ["night shift", "a/b", "a%2fb", "a?b", "z\u{fc}rich"] {
        let issued = daemon.cli(&["token", "issue", team, "viewer"]);
        let revoked = daemon.cli(&["--json", "token", "withdraw", team]);

        assert_eq!(issued.status, 0, "{}", issued.stderr);
        let answer: serde_json::Value = serde_json::from_str(&revoked.stdout).expect("JSON");
        assert_eq!(answer["count"], 1, "{team}: {}", revoked.stderr);
    }
}
