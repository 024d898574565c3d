//! Tests of the lab: workload files, names of ways, and that plays repeat.

use super::{compare, draw, play, PolicyError, PolicySet, Workload};

/// A small workload; `queue` is the text of its only queue's own fields.
fn workload_json(queue: &str) -> String {
    format!(
        r#"{{"name": "small", "length_s": 6, "pools": ["proofs"],
  "hosts": {{"count": 6, "cpu_milli": 16000, "mem_mb": 64000, "zones": ["a", "b"], "move_ms": 1500, "orders_per_s": 20}},
  "queues": [{{"name": "proofs", "pool": "proofs", "stretch": 1.6, "target_latency_ms": 600,
    "worth": 1, "late_worth": 0.1, "jobs_per_s": 3, "shape": {{"kind": "steady"}},
    "steps": {{"mean": 1, "max": 2}}, "width": {{"mean": 3, "spread": 0.5, "max": 8}},
    "run_ms": {{"mean": 500, "spread": 0.3, "max": 1500}}, {queue}}}]}}"#
    )
}

fn small_workload() -> Workload {
    let json = workload_json(r#""cpu_milli": {"mean": 2000, "max": 4000}"#);
    Workload::from_json(json.as_bytes()).expect("a valid workload")
}

fn error_of(queue: &str) -> String {
    Workload::from_json(workload_json(queue).as_bytes()).expect_err("an invalid workload").to_string()
}

#[test]
fn play_with_the_same_seed_repeats_exactly() {
    let workload = small_workload();

    let (first, second) = (play(&workload, 3, &PolicySet::default()), play(&workload, 3, &PolicySet::default()));

    assert_eq!(first, second);
    assert_eq!(first.violations, [""; 0]);
    assert!(first.on_time_share() > 0.5, "{}", first.on_time_share());
}

#[test]
fn comparison_of_a_way_with_itself_shows_no_difference() {
    let comparison = compare(&small_workload(), &[1, 2], &PolicySet::default(), &PolicySet::default());

    assert!(comparison.differences.iter().all(|difference| difference.mean == 0.0), "{comparison:?}");
    assert_eq!((comparison.seeds, comparison.differences[0].figure), (2, "on time"));
}

#[test]
fn errors_in_a_workload_file_name_the_field_and_what_was_expected() {
    let wrong_type = error_of(r#""cpu_milli": {"mean": "much", "max": 4000}"#);
    assert!(wrong_type.starts_with("queues[0].cpu_milli.mean: invalid type"), "{wrong_type}");
    assert!(wrong_type.contains("line 6 column"), "{wrong_type}");

    let unknown = error_of(r#""cpu_milli": {"mean": 2000, "max": 4000}, "prio": 1"#);
    assert!(unknown.contains("unknown field `prio`, expected"), "{unknown}");

    let too_large = error_of(r#""cpu_milli": {"mean": 2000, "max": 64000}"#);
    assert_eq!(too_large, "queues[0].cpu_milli.max: at most a host's 16000");

    let missing = error_of(r#""tail_share": 0.1"#);
    assert!(missing.contains("missing field `cpu_milli`"), "{missing}");
}

#[test]
fn examples_can_be_played() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/lab");
    let mut names = Vec::new();
    for file in std::fs::read_dir(folder).expect("the folder of examples") {
        let path = file.expect("an entry").path();
        let workload = Workload::from_json(&std::fs::read(&path).expect("a readable file"));
        names.push(workload.unwrap_or_else(|error| panic!("{}: {error}", path.display())).name().to_owned());
    }
    names.sort();

    assert_eq!(names, ["burst", "flood", "outage", "random-turns", "steady", "turns"]);
}

#[test]
fn unknown_ways_are_an_error_that_lists_the_known_ones() {
    assert!("overload-order=least-time-left,late-jobs=after-on-time".parse::<PolicySet>().is_ok());
    assert_eq!("x".parse::<PolicySet>(), Err(PolicyError::Syntax("x".to_owned())));
    let error = "overload-order=x".parse::<PolicySet>().expect_err("no such way").to_string();
    assert_eq!(error, "overload-order: \"x\" is no way; expected one of: least-time-left, most-jobs-on-time");
}

#[test]
fn picture_shows_each_pool() {
    let workload = small_workload();

    let svg = draw(&play(&workload, 1, &PolicySet::default()), workload.cores_per_host()).expect("a picture");

    assert!(svg.starts_with("<svg") && svg.contains("proofs: cores"), "{}", &svg[..200.min(svg.len())]);
}
