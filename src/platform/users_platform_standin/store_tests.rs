//! Tests of the limits of the stand-in's row store: it refuses what the users' platform refuses.

use std::collections::HashMap;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde_json::{json, Value};

use super::store::RowStore;
use super::Request;

fn transaction(body: Value) -> Request {
    let body_bytes = body.to_string().len();
    Request {
        expected_instance: None,
        method: "POST".to_owned(),
        path: "/rows-tx".to_owned(),
        query: HashMap::new(),
        body,
        body_bytes,
    }
}

fn page(limit: &str) -> Request {
    let query = [("table", "jobs"), ("part", "j0"), ("from", ""), ("limit", limit)];
    let query = query.iter().map(|(name, value)| ((*name).to_owned(), (*value).to_owned())).collect();
    Request { method: "GET".to_owned(), path: "/rows-get".to_owned(), query, ..transaction(Value::Null) }
}

fn row(table: &str, key: &str, bytes: usize) -> Value {
    json!({ "table": table, "part": "j0", "key": key, "value": STANDARD.encode(vec![0; bytes]) })
}

fn upserts(rows: impl IntoIterator<Item = Value>) -> Request {
    transaction(json!({ "upserts": rows.into_iter().collect::<Vec<_>>() }))
}

/// Status of the response to a transaction, and the number of rows stored afterwards.
fn commit(request: &Request) -> (u16, usize) {
    let mut store = RowStore::default();
    let (status, _) = store.commit(request);
    let (_, page) = store.read(&page("500"));
    (status, page["rows"].as_array().expect("rows").len())
}

#[test]
fn calls_beyond_a_limit_are_refused_and_store_nothing() {
    // Guards against a stand-in that takes what the platform does not, so that no test notices.
    let many = |count: usize| upserts((0..count).map(|number| row("jobs", &format!("k{number:03}"), 1)));
    let large = |count: usize| upserts((0..count).map(|number| row("jobs", &format!("k{number:03}"), 60_000)));

    assert_eq!(commit(&many(100)), (200, 100));
    assert_eq!(commit(&many(101)), (400, 0), "entries");
    assert_eq!(commit(&large(12)), (200, 12));
    assert_eq!(commit(&large(13)), (400, 0), "bytes of the call, as encoded");
    assert_eq!(commit(&upserts([row("jobs", "k", 65_536)])), (200, 1));
    assert_eq!(commit(&upserts([row("jobs", "k", 65_537)])), (400, 0), "bytes of the row");
    assert_eq!(commit(&upserts([row("jobs", &"k".repeat(201), 1)])), (400, 0), "bytes of a key");
    let other_partition = json!({ "table": "jobs", "part": "j1", "key": "k", "value": "" });
    assert_eq!(commit(&upserts([row("jobs", "k", 1), other_partition])), (400, 0), "two partitions");
}

#[test]
fn pages_are_cut_at_the_limit_whatever_is_asked_for() {
    // Guards against reads that rely on a larger page than the platform returns.
    let mut store = RowStore::default();
    for batch in 0..6 {
        let rows = (0..99).map(|number| row("jobs", &format!("k{batch}{number:03}"), 1));
        assert_eq!(store.commit(&upserts(rows)).0, 200);
    }
    let mut large = RowStore::default();
    for number in 0..20 {
        assert_eq!(large.commit(&upserts([row("jobs", &format!("k{number:03}"), 60_000)])).0, 200);
    }

    let (_, by_count) = store.read(&page("10000"));
    let (_, by_bytes) = large.read(&page("500"));

    assert_eq!((by_count["rows"].as_array().expect("rows").len(), &by_count["morePages"]), (500, &json!(true)));
    assert_eq!((by_bytes["rows"].as_array().expect("rows").len(), &by_bytes["morePages"]), (16, &json!(true)));
}

#[test]
fn conflict_returns_the_current_rows_of_the_condition() {
    // Guards against code that finds only what differs in the answer.
    let mut store = RowStore::default();
    assert_eq!(store.commit(&upserts([row("jobs", "a", 1)])).0, 200);
    let expected = |key: &str, version: u64| json!({ "table": "jobs", "part": "j0", "key": key, "ver": version });

    let body = json!({ "expectedRev": [expected("a", 1), expected("b", 7)], "upserts": [row("jobs", "c", 1)] });
    let (status, body) = store.commit(&transaction(body));

    let versions: Vec<u64> =
        body["rows"].as_array().expect("rows").iter().filter_map(|row| row["ver"].as_u64()).collect();
    assert_eq!((status, versions), (412, vec![1, 0]));
}
