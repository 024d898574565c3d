//! Tests of the answers to operators.

use std::sync::Arc;

use futures::FutureExt;
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use serde_json::{json, Value};

use super::{answer, not_leading, Resource};
use crate::http_server::Body;
use crate::platform::operator::decode_catalog;
use crate::sched::scheduler::Scheduler;
use crate::sched::sim::settings;

const NOW_US: u64 = 5_000_000;

fn scheduler() -> Scheduler {
    let config = br#"{"version":1,"routes":[],"services":[{"name":"press"}],
        "tenants":[{"name":"kora","apiKeys":["secret-key"],"weight":4,"cap":{"cpu":3000}}]}"#;
    let mut scheduler = Scheduler::new(NOW_US, settings());
    scheduler.configure(Arc::new(decode_catalog(config).expect("a valid configuration")));
    scheduler
}

fn body(response: Response<Body>) -> Value {
    let collected = response.into_body().collect().now_or_never().expect("the body is buffered");
    serde_json::from_slice(&collected.expect("the body cannot fail").to_bytes()).expect("a JSON body")
}

#[test]
fn paths_select_what_is_answered_and_all_others_serve_the_metrics() {
    let cases = [
        ("/jobs/00000000000000a1", Some(Resource::Job("00000000000000a1"))),
        ("/jobs/", Some(Resource::Job(""))),
        ("/organisations", Some(Resource::Organisations)),
        ("/pools/", Some(Resource::Pools)),
        ("/workers", Some(Resource::Workers { pool: None })),
        ("/metrics", None),
        ("/", None),
    ];
    for (path, resource) in cases {
        assert_eq!(Resource::at(path, None), resource, "{path}");
    }
    assert_eq!(Resource::at("/workers", Some("pool=press")), Some(Resource::Workers { pool: Some("press") }));
}

#[test]
fn leader_answers_with_json_that_shows_no_key() {
    let scheduler = scheduler();

    for resource in [Resource::Organisations, Resource::Pools, Resource::Workers { pool: None }] {
        let response = answer(&scheduler, NOW_US, resource);
        assert_eq!(response.status(), StatusCode::OK);
        let body = body(response);
        assert_eq!(body["left_out"], 0, "{resource:?}");
        assert!(!body.to_string().contains("secret"), "{body}");
    }
}

#[test]
fn unknown_job_is_not_found() {
    let response = answer(&scheduler(), NOW_US, Resource::Job("00000000000000a1"));

    assert_eq!(response.status(), StatusCode::NOT_FOUND);
    assert_eq!(body(response), json!({"error": "the leader knows no job 00000000000000a1"}));
}

#[test]
fn daemon_that_does_not_lead_names_the_leader_if_it_knows_it() {
    let cases = [
        (Some("d2"), "d1 does not lead; ask d2"),
        (Some("d1"), "d1 is taking over leadership; ask again"),
        (None, "d1 does not lead, and does not know which daemon does"),
    ];
    for (leader, error) in cases {
        let response = not_leading("d1", leader);
        assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(body(response), json!({"error": error, "leader": leader}));
    }
}
