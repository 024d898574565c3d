//! Tests of the decoders: settings, operators' rows, submitted jobs, and workers' rows and responses.

use std::sync::Arc;

use proptest::prelude::*;

use super::http_client::path_with_query;
use super::job_api::{decode_job, is_job_id, InvalidJob};
use super::row_store::{append_page, following_key, wave_status_transaction};
use super::settings::parse;
use super::workers::{decode_hold_response, decode_worker_entry};
use super::{operator, task_names};
use crate::row_store::{RowId, RowPage, StoredRow};
use crate::sched::model::{Catalog, Queue, Resources, RunOutcome};
use crate::sched::organisation::KeyDigest;

const SETTINGS: &str = r#"{
    "node": "front-a-1", "zone": "a", "unknown": {"x": 1},
    "listen": {"front": "10.1.0.9:8624", "readiness": "10.1.0.9:8622"},
    "limits": {"cpuShare": 0.25},
    "bounds": {"holdMaxMs": 10000, "stopGraceMs": 200, "leaseMs": 3000, "moveS": 1.5, "upkeepS": 2, "graceS": 6},
    "orders": "call",
    "platform": {"addr": "10.200.1.7:8621"},
    "cloudApi": {"addr": "10.200.0.107:8621", "dutyPerS": 64.0}
}"#;

fn queue() -> Arc<Queue> {
    let config = r#"{"version":7,"routes":[{"name":"r-1","host":"pule25.example","pathPrefix":"/puxa400/",
        "kind":"unsafe","timeoutMs":3000,"targetLatencyMs":600,"priority":1,"service":"huvo11a","attempts":4,
        "stretch":1.6}],"services":[{"name":"huvo11a","spare":false},{"name":"lohu93e","spare":true}]}"#;
    operator::decode_catalog(config.as_bytes()).expect("a configuration").queues[0].clone()
}

fn row(key: &str, value: &str) -> StoredRow {
    StoredRow { id: RowId::new("servers", "", key), version: 1, value: Some(value.as_bytes().to_vec()) }
}

#[test]
fn settings_are_parsed_and_unknown_fields_are_ignored() {
    let settings = parse(SETTINGS.as_bytes()).expect("settings");

    assert_eq!(&*settings.name, "front-a-1");
    assert_eq!((settings.host_move_ms, settings.host_maintenance_ms, settings.host_orders_per_s), (1_500, 2_000, 64));
    assert!(!settings.orders_by_heartbeat);
}

#[test]
fn errors_name_the_invalid_settings_field() {
    let cases = [
        ("\"zone\": \"a\",", "", "zone is missing"),
        ("\"10.1.0.9:8622\"", "\"10.1.0.9\"", "listen.readiness must be IP:PORT"),
        ("\"holdMaxMs\": 10000", "\"holdMaxMs\": \"long\"", "bounds.holdMaxMs must be a number"),
        ("\"dutyPerS\": 64.0", "\"dutyPerS\": -1", "cloudApi.dutyPerS must be a number"),
        ("\"orders\": \"call\"", "\"orders\": 3", "orders must be a string"),
        ("\"platform\"", "\"platfor\"", "platform.addr is missing"),
        ("\"graceS\": 6", "\"graceS\": 6, \"revokeStrict\": \"yes\"", "bounds.revokeStrict must be true or false"),
        ("\"graceS\": 6", "\"graceS\": 6, \"revokeMs\": -1", "bounds.revokeMs must be a number"),
    ];

    for (from, to, expected) in cases {
        let error = parse(SETTINGS.replace(from, to).as_bytes()).expect_err(expected).to_string();
        assert!(error.contains(expected), "{error}");
    }
    assert!(parse(b"{").expect_err("truncated JSON").to_string().contains("must be JSON"));
}

#[test]
fn revocation_is_strict_only_if_the_settings_say_so() {
    let text = SETTINGS.replace("\"graceS\": 6", "\"graceS\": 6, \"revokeStrict\": true, \"revokeMs\": 1500");

    let default = parse(SETTINGS.as_bytes()).expect("settings");
    let strict = parse(text.as_bytes()).expect("settings");

    assert_eq!((default.revokes_strictly, default.revocation_ms), (false, 5_000));
    assert_eq!((strict.revokes_strictly, strict.revocation_ms), (true, 1_500));
}

fn organisations(tenants: &str) -> Result<Catalog, String> {
    let config = format!(r#"{{"version":1,"tenants":{tenants}}}"#);
    operator::decode_catalog(config.as_bytes()).map_err(|error| error.to_string())
}

#[test]
fn organisation_needs_neither_keys_nor_weight_nor_cap() {
    let catalog = organisations(
        r#"[{"name":"a"},{"name":"b","apiKeys":[],"weight":0,"cap":{"cpu":500}},
            {"name":"c","apiKeys":null,"weight":null,"cap":null}]"#,
    )
    .expect("a configuration");
    let get = |name| catalog.organisations.get(name).expect("the organisation is known");

    assert_eq!((get("a").weight, get("a").cap), (1.0, Resources::MAX));
    assert_eq!((get("b").weight, get("b").cap), (0.0, Resources { cpu_milli: 500, ..Resources::MAX }));
    assert_eq!((get("c").weight, get("c").cap), (1.0, Resources::MAX));
}

#[test]
fn ten_thousand_organisations_are_decoded() {
    let tenant = |number: usize| format!(r#"{{"name":"o{number}","apiKeys":["key-{number}"],"weight":{number}}}"#);
    let tenants: Vec<String> = (0..10_000).map(tenant).collect();

    let catalog = organisations(&format!("[{}]", tenants.join(","))).expect("a configuration");

    assert_eq!(catalog.organisations.owner_of(KeyDigest::of("key-9999")).map(|name| &**name), Some("o9999"));
}

#[test]
fn errors_in_a_configuration_do_not_show_keys() {
    let cases = [
        r#"[{"name":"a","apiKeys":"secret-key"}]"#,
        r#"[{"name":"a","apiKeys":[["secret-key"]]}]"#,
        r#"["secret-key"]"#,
        r#""secret-key""#,
        r#"[{"name":"a","weight":"secret-key, expected a number"}]"#,
        r#"[{"name":"a","apiKeys":["secret-key"]},{"name":"b","apiKeys":["secret-key"]}]"#,
        r#"[{"name":"a","apiKeys":["secret-key",}]"#,
    ];
    for tenants in cases {
        let error = organisations(tenants).expect_err("an invalid configuration");
        assert!(!error.contains("secret-key"), "{error}");
    }
    let error = organisations(r#"[{"name":"a","apiKeys":[12345]}]"#).expect_err("an invalid configuration");
    assert!(error.contains("tenants[0].apiKeys[0]: must be a string") && !error.contains("12345"), "{error}");
}

#[test]
fn queue_with_the_longest_path_prefix_is_chosen() {
    let config = r#"{"version":1,"routes":[
        {"name":"short","host":"h.example","pathPrefix":"/a/","service":"s"},
        {"name":"long","host":"h.example","pathPrefix":"/a/b/","service":"s"}]}"#;
    let catalog = operator::decode_catalog(config.as_bytes()).expect("a configuration");
    let queue_name = |host, path| catalog.queue_for(host, path).map(|queue| queue.name.to_string());

    assert_eq!(queue_name("h.example", "/a/b/x").as_deref(), Some("long"));
    assert_eq!(queue_name("H.example", "/a/x").as_deref(), Some("short"));
    assert_eq!(queue_name("other.example", "/a/x"), None);
}

#[test]
fn job_is_decoded_with_its_placement_constraints() {
    let body = r#"{"spec":"s","steps":[{"count":2,"cpu":500,"memMb":256,"estimateMs":900,"dataRack":"r1-3"},
        {"count":1,"after":[0],"checkpoint":true,"longRunning":true,"antiAffinity":1,"optional":1,"targetMs":40,
         "requiredLabel":"b","image":"i"}]}"#;

    let spec = decode_job(&queue(), body.as_bytes(), 5).expect("a job");

    assert_eq!(spec.steps[0].data_rack.as_deref(), Some("r1-3"));
    let last = &spec.steps[1];
    assert_eq!((last.after.as_slice(), last.max_per_worker, last.max_unavailable), ([0].as_slice(), Some(1), Some(1)));
    assert!(last.checkpoints && last.long_running && last.target_ms == Some(40));
}

#[test]
fn invalid_jobs_are_refused_with_the_reason() {
    let refused = |body: &str| decode_job(&queue(), body.as_bytes(), 0).expect_err("an invalid job");

    assert!(matches!(refused("{"), InvalidJob::Syntax(_)));
    assert_eq!(refused(r#"{"steps":[]}"#), InvalidJob::NoTasks);
    assert_eq!(refused(r#"{"steps":[{"count":1,"after":[0]}]}"#), InvalidJob::DependencyNotEarlier(0));
    assert_eq!(refused(r#"{"steps":[{"count":4000000000},{"count":4000000000}]}"#), InvalidJob::TooManyTasks);
    assert_eq!(refused(r#"{"steps":[{"count":1}],"times":4000000000}"#), InvalidJob::TooManyTasks);
    let long = format!(r#"{{"spec":"{}","steps":[{{"count":1}}]}}"#, "x".repeat(4_001));
    assert_eq!(refused(&long), InvalidJob::SpecTooLong);
    assert!(is_job_id("5c0e7a21d94b36f8") && !is_job_id("5c0e7a21d94b36f") && !is_job_id("5c0e7a21d94b36fx"));
}

/// Entry of a worker with all fields.
const ENTRY: &str = r#"{"service":"huvo11a","addr":"10.128.0.9:8080","zone":"hall-a","version":"v1","slots":8,
    "state":"ready","coldRemainingMs":0,"born":7,"capacity":{"cpu":16000,"memMb":32768,"gpu":0},"labels":["a","r1-3"],
    "machine":"m-1","seq":4}"#;

#[test]
fn entries_of_other_writers_name_no_worker() {
    // Guards against fields that are missing or of another type, also where the scheduler does not need them.
    const FIELDS: [&str; 10] =
        ["service", "addr", "zone", "version", "slots", "state", "coldRemainingMs", "seq", "capacity", "labels"];
    let valid: serde_json::Value = serde_json::from_str(ENTRY).expect("valid JSON");
    let is_worker = |entry: &serde_json::Value| decode_worker_entry(&row("i-1", &entry.to_string())).is_some();
    assert!(is_worker(&valid));

    for field in FIELDS {
        let mut entry = valid.clone();
        entry.as_object_mut().expect("an object").remove(field);
        assert!(!is_worker(&entry), "without {field}");
        for odd in [serde_json::json!(true), serde_json::json!(null), serde_json::json!({ "a": "b" })] {
            entry[field] = odd;
            assert!(!is_worker(&entry), "{field}: {}", entry[field]);
        }
    }
    for (field, odd) in [("version", serde_json::json!(7)), ("slots", serde_json::json!("many"))] {
        let mut entry = valid.clone();
        entry[field] = odd;
        assert!(!is_worker(&entry), "{field}: {}", entry[field]);
    }
}

#[test]
fn malformed_worker_rows_are_skipped() {
    let valid = ENTRY;
    assert_eq!(decode_worker_entry(&row("i-1", valid)).map(|entry| entry.started_unix_ms), Some(7));

    let cases = [
        "no json".to_owned(),
        valid.replace("\"addr\":\"10.128.0.9:8080\"", "\"addr\":3"),
        valid.replace("\"state\":\"ready\"", "\"state\":\"sleeping\""),
        valid.replace("\"zone\":\"hall-a\",", ""),
        valid.replace("16000", "\"many\""),
    ];
    for value in cases {
        assert_eq!(decode_worker_entry(&row("i-1", &value)), None, "{value}");
    }
}

#[test]
fn lease_renewal_response_is_decoded() {
    let body = r#"{"clockMs":482113,"born":9,"running":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb8",41],
        ["5c0e7a21d94b36f8.0.1.18",1,"",100,37]],"endedRuns":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]}"#;

    let response = decode_hold_response(body.as_bytes()).expect("a response");

    assert_eq!((response.clock_ms, response.started_unix_ms), (482_113, Some(9)));
    assert_eq!((response.running[0].percent, response.running[0].load, response.running[1].load), (41, None, Some(37)));
    assert_eq!((response.ended[0].number, response.ended[0].outcome), (58, RunOutcome::Done));
    assert!(decode_hold_response(body.replace("done", "vanished").as_bytes()).is_err());
}

#[test]
fn wire_names_occur_only_in_the_platform_modules() {
    const NAMES: [&str; 14] = [
        "rows-tx",
        "rows-get",
        "rows-feed",
        "expectedRev",
        "run-start",
        "run-stop",
        "endedRuns",
        "ackCursor",
        "enforcesCapacity",
        "SARDINESEAM_BOOT",
        "machine-move",
        "machine-upkeep",
        "lastCheckpoint",
        "cloudApi",
    ];
    let mut folders = vec![std::path::PathBuf::from("src")];
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(&folder).expect("a folder") {
            let path = entry.expect("an entry").path();
            if path.is_dir() {
                if path != std::path::Path::new("src/platform") {
                    folders.push(path);
                }
                continue;
            }
            let text = std::fs::read_to_string(&path).expect("a source file");
            // This setting of the daemon starts with one of the names, but is not from the platform.
            let text = text.replace("SARDINESEAM_BOOTSTRAP_TOKEN", "");
            for name in NAMES {
                assert!(!text.contains(name), "{} contains {name}", path.display());
            }
        }
    }
}

proptest! {
    #[test]
    fn decoders_do_not_panic_on_arbitrary_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let text = String::from_utf8_lossy(&bytes).into_owned();

        let _ = decode_hold_response(&bytes);
        let _ = decode_job(&queue(), &bytes, 0);
        let _ = operator::decode_catalog(&bytes);
        let _ = operator::decode_wave(&bytes);
        let _ = parse(&bytes);
        let _ = decode_worker_entry(&row("i-1", &text));
        let _ = crate::sched::record::decode_spec(&bytes);
        let _ = crate::sched::phase_rows::decode_published_phases(&bytes);
        let _ = crate::sched::record::decode_finished_job(&bytes);
        let _ = crate::sched::phase_rows::decode_admission(&bytes);
        let _ = crate::sched::record::decode_hosts(&bytes);
    }

    #[test]
    fn task_names_round_trip(job in "[0-9a-f]{16}", occurrence: u32, step: u32, index: u32) {
        let name = format!("{job}.{occurrence}.{step}.{index}");

        let task = task_names::parse_task_name(&name).expect("a task name");

        prop_assert_eq!(task_names::format_task_name(&task), name);
    }
}

fn stored_row(key: &str) -> StoredRow {
    StoredRow { id: RowId::new("servers", "", key), version: 1, value: None }
}

fn page(keys: &[&str], has_more: bool) -> RowPage {
    RowPage { rows: keys.iter().map(|key| stored_row(key)).collect(), has_more, version: 9 }
}

fn keys(page: &RowPage) -> Vec<&str> {
    page.rows.iter().map(|row| &*row.id.key).collect()
}

#[test]
fn page_that_begins_with_the_last_row_read_adds_only_the_following_ones() {
    // Guards against a row that is read twice, and against a lost one.
    let mut read = page(&["a", "a&x"], true);

    append_page(&mut read, page(&["a&x", "b"], true)).expect("a further row");
    append_page(&mut read, page(&["b"], false)).expect("the last page");

    assert_eq!((keys(&read), read.has_more), (vec!["a", "a&x", "b"], false));
}

#[test]
fn page_without_a_further_row_is_an_error_if_more_follow() {
    // Guards against a read without end, which fills the memory, and against an incomplete read that passes for whole.
    let mut read = page(&["a", "a&x"], true);

    let repeated = append_page(&mut read, page(&["a", "a&x"], true));
    let empty = append_page(&mut page(&[], true), page(&[], true));

    assert!(repeated.is_err() && empty.is_err());
    assert_eq!(keys(&read), ["a", "a&x"]);
}

proptest! {
    #[test]
    fn any_key_in_a_request_path_is_read_back_as_it_was(key in ".*", table in "[a-z]{1,8}") {
        // Guards against characters that end a parameter, the query or the path.
        let path = path_with_query("/rows-get", &[("table", &table), ("from", &key)]);

        let uri: http::Uri = path.parse().expect("a valid path");
        let query = uri.query().expect("a query");
        let from = query.strip_prefix(&format!("table={table}&from=")).expect("the parameters in their order");
        let read = percent_encoding::percent_decode_str(from).decode_utf8().expect("UTF-8");
        prop_assert_eq!(read, key);
    }
}

#[test]
fn capacities_that_no_worker_has_name_no_worker() {
    // Guards against sums over a pool that overflow.
    let entry = |capacity: &str| {
        let value = ENTRY.replace(r#"{"cpu":16000,"memMb":32768,"gpu":0}"#, capacity);
        decode_worker_entry(&row("w", &value))
    };

    for capacity in [
        r#"{"cpu":1e308,"memMb":1,"gpu":0}"#,
        r#"{"cpu":-1,"memMb":1,"gpu":0}"#,
        r#"{"cpu":1,"memMb":18446744073709551615,"gpu":0}"#,
        r#"{"cpu":1,"memMb":1,"gpu":5e9}"#,
    ] {
        assert!(entry(capacity).is_none(), "{capacity}");
    }
    assert!(entry(r#"{"cpu":16000,"memMb":65536,"gpu":0}"#).is_some());
}

#[test]
fn needs_and_times_beyond_any_limit_are_reduced_to_it() {
    // Guards against arithmetic that overflows in the leader; such a task waits, as no worker has as much.
    let body = br#"{"spec":"x","steps":[{"count":1,"cpu":1e300,"memMb":1e300,"estimateMs":1e300,"targetMs":1e300}],
        "times":2,"firstRunMs":18446744073709551615,"intervalMs":18446744073709551615}"#;

    let spec = decode_job(&queue(), body, 0).expect("a job");

    let step = &spec.steps[0];
    let most = u64::from(u32::MAX);
    assert_eq!((step.needs.cpu_milli, step.needs.mem_mb, step.needs.gpus), (most, most, 0));
    for time_ms in [step.estimate_ms, step.target_ms.unwrap_or(0), spec.first_run_unix_ms, spec.interval_ms] {
        assert!(time_ms.checked_mul(200_000).is_some(), "{time_ms} ms");
    }
}

#[test]
fn deeply_nested_messages_are_refused() {
    // Guards against a stack overflow, which ends the process.
    for part in ["[", "{\"a\":"] {
        let nested = part.repeat(100_000);
        let hold = format!(r#"{{"clockMs":1,"running":{nested}"#);
        let unknown_field = format!(r#"{{"clockMs":1,"other":{nested}"#);

        assert!(decode_worker_entry(&row("w", &nested)).is_none());
        assert!(decode_hold_response(hold.as_bytes()).is_err());
        assert!(decode_hold_response(unknown_field.as_bytes()).is_err());
        assert!(decode_job(&queue(), nested.as_bytes(), 0).is_err());
        assert!(operator::decode_catalog(nested.as_bytes()).is_err());
        assert!(operator::decode_wave(nested.as_bytes()).is_err());
    }
}

#[test]
fn clock_that_no_worker_can_have_is_refused() {
    // Guards against leases that are calculated from it and overflow.
    let answer = br#"{"clockMs":18446744073709551615,"running":[],"endedRuns":[]}"#;

    assert!(decode_hold_response(answer).is_err());
}

#[test]
fn late_status_of_a_wave_does_not_replace_a_newer_one() {
    // Guards against a wave that stays `running` for operators, because a write whose answer was lost is applied after
    // that of `completed`, or because a former leader writes again.
    let late = wave_status_transaction(7, false, None).expect("no status is stored");
    let (id, value) = late.writes[0].clone();
    let running = StoredRow { id: id.clone(), version: 5, value: Some(value) };

    let complete = wave_status_transaction(7, true, Some(&running)).expect("the wave was running");
    let completed = StoredRow { id: id.clone(), version: 6, value: Some(complete.writes[0].1.clone()) };

    assert_eq!(late.expected, [(id.clone(), 0)], "applied only while there is no status");
    assert_eq!(complete.expected, [(id, 5)]);
    assert_eq!(wave_status_transaction(7, false, Some(&completed)), None, "completed is final");
    assert_eq!(wave_status_transaction(7, true, Some(&completed)), None);
}

#[test]
fn page_begins_at_the_least_key_after_the_last_one_unless_that_would_be_too_long() {
    // Guards against a page that holds nothing but the row that ended the page before.
    let longest = "k".repeat(200);

    assert_eq!(following_key("config"), "config\0");
    assert_eq!(following_key(&longest), longest);
}
