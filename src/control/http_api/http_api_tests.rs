//! Tests of responses to callers of the job API.

use http::header::RETRY_AFTER;
use http::StatusCode;

use super::body_error_response;
use crate::buffered_body::BodyError;

#[test]
fn caller_returns_later_if_the_daemon_holds_too_many_bodies() {
    let response = body_error_response(&BodyError::BudgetExceeded);

    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers().contains_key(RETRY_AFTER));
}

#[test]
fn caller_with_a_body_above_the_limit_need_not_return() {
    let response = body_error_response(&BodyError::TooLarge { max_bytes: 10 });

    assert_eq!(response.status(), StatusCode::PAYLOAD_TOO_LARGE);
    assert!(!response.headers().contains_key(RETRY_AFTER));
}
