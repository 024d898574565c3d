//! Applies sheets through daemons that run as processes: one after the other, at the same time, and with a stored body
//! that is wrong. Assertions rely on recorded rows and answers, not on timing.

mod support;

use std::thread;

use support::cluster::{
    apply, start_daemons, wait_for_version, Daemon, StandIn, BOOTSTRAP_TOKEN, CHANGED_SHEET, SMALL_SHEET,
};
use support::http;

#[test]
fn an_applied_sheet_is_in_force_at_its_daemon_when_the_answer_arrives() {
    // Guards against an apply that is refused as a conflict with the same operator's previous one.
    let standin = StandIn::start(None);
    let daemons = start_daemons(&standin, 1);
    standin.set_faults(r#"{"slow_ms": 300}"#);

    apply(&daemons[0], SMALL_SHEET);
    let first = daemons[0].sheet_version();
    apply(&daemons[0], CHANGED_SHEET);
    let second = daemons[0].sheet_version();

    assert_eq!((first, second), (1, 2));
    let shown = daemons[0].cli(&["sheet", "show"]);
    assert_eq!(shown.stdout, std::fs::read_to_string(CHANGED_SHEET).expect("the sheet file is readable"));
}

#[test]
fn of_two_concurrent_applies_one_succeeds_and_the_other_learns_whose_version_is_in_force() {
    let standin = StandIn::start(None);
    let daemons = start_daemons(&standin, 2);

    let outputs = thread::scope(|scope| {
        let first = scope.spawn(|| daemons[0].cli(&["sheet", "apply", SMALL_SHEET, "--base-version", "0"]));
        let second = scope.spawn(|| daemons[1].cli(&["sheet", "apply", CHANGED_SHEET, "--base-version", "0"]));
        [first.join().expect("the apply ends"), second.join().expect("the apply ends")]
    });

    let winners = outputs.iter().filter(|output| output.status == 0).count();
    let loser = outputs.iter().find(|output| output.status == 1).expect("one apply fails");
    assert_eq!(winners, 1);
    assert!(loser.stderr.contains("version 1 of team bootstrap stands"), "{}", loser.stderr);
    wait_for_version(&daemons, 1);
    assert_eq!(daemons[0].cli(&["sheet", "show"]).stdout, daemons[1].cli(&["sheet", "show"]).stdout);
    assert_eq!(standin.rows("sheet/history/").len(), 1);
}

#[test]
fn an_apply_repeated_after_its_answer_was_lost_accepts_the_sheet_only_once() {
    let standin = StandIn::start(None);
    let daemons = start_daemons(&standin, 2);
    standin.set_faults(r#"{"lose_answers": true}"#);
    let first = daemons[0].cli(&["sheet", "apply", SMALL_SHEET]);
    standin.set_faults(r#"{"lose_answers": false}"#);

    let second = daemons[0].cli(&["sheet", "apply", SMALL_SHEET]);

    assert_eq!(first.status, 1, "{}", first.stdout);
    assert_eq!(second.status, 0, "{}", second.stderr);
    wait_for_version(&daemons, 1);
    assert_eq!(standin.rows("sheet/history/").len(), 1);
}

#[test]
fn an_invalid_sheet_is_rejected_with_a_list_of_all_problems() {
    let standin = StandIn::start(None);
    let daemon = Daemon::start("d1", "z1", &standin.url, &[]);
    let text = std::fs::read_to_string(SMALL_SHEET).expect("the sheet file is readable");
    let invalid = text.replace("z1 z2,2,no", "z1 z2,two,no").replace("beta,,,,,1", "beta,,,,,9");
    let url = format!("http://{}/v1/sheet", daemon.admin_address);

    let answer = http("PUT", &url, &[("Authorization", &format!("Bearer {BOOTSTRAP_TOKEN}"))], invalid.as_bytes());

    let body: serde_json::Value = serde_json::from_str(&answer.body).expect("JSON");
    assert_eq!(answer.status, 422);
    assert_eq!(body["problems"][0]["line"], 2);
    assert_eq!(body["problems"][0]["column"], "hosts");
    assert_eq!(body["problems"][1]["column"], "max_unavailable");
    assert!(standin.rows("sheet/").is_empty());
}

/// The stored body of the newest sheet is that of another one. A daemon that starts then got the same body from the
/// object store again and again, and asked no peer.
#[test]
fn a_sheet_whose_stored_body_is_wrong_is_fetched_from_a_peer() {
    let standin = StandIn::start(Some(SMALL_SHEET));
    let daemons = start_daemons(&standin, 1);
    apply(&daemons[0], SMALL_SHEET);
    apply(&daemons[0], CHANGED_SHEET);
    wait_for_version(&daemons, 2);
    let mut objects = Vec::new();
    for row in standin.rows("sheet/history/") {
        let record: serde_json::Value = serde_json::from_str(row["value"].as_str().expect("text")).expect("JSON");
        objects.push(format!("{}/objects/sheets/{}", standin.url, record["digest"].as_str().expect("a digest")));
    }
    standin.copy_object(&objects[0], &objects[1]);

    let late = [Daemon::start("late", "z1", &standin.url, &[])];

    wait_for_version(&late, 2);
}
