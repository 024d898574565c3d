//! Tests of tokens, also while the platform is out of reach.

use super::*;
use crate::standin::{EmbeddedPlatform, FaultChange, StandIn};

fn authenticator(standin: &Arc<StandIn>) -> Authenticator {
    let platform = Arc::new(EmbeddedPlatform::new(standin.clone(), "z"));
    Authenticator::new(platform, Some("boot"), false)
}

fn operator() -> Identity {
    Identity { team: "press".into(), role: Role::Operator }
}

fn set_down(standin: &StandIn, down: bool) {
    standin.change_faults(&FaultChange { down: Some(down), ..FaultChange::default() });
}

#[test]
fn an_issued_token_is_known_to_every_daemon_until_it_is_withdrawn() {
    let standin = StandIn::new();
    let (first, second) = (authenticator(&standin), authenticator(&standin));
    let token = first.issue(&operator()).expect("issued");

    let known = second.check(Some(&token), Role::Operator);
    let withdrawn = second.withdraw("press").expect("withdrawn");

    assert_eq!(known, Ok(operator()));
    assert_eq!(withdrawn, 1);
    assert_eq!(second.check(Some(&token), Role::Viewer), Err(AuthError::Unknown));
}

#[test]
fn tokens_are_kept_as_digests_only() {
    let standin = StandIn::new();
    let token = authenticator(&standin).issue(&operator()).expect("issued");

    let rows = standin.store().scan("");

    assert!(rows.iter().all(|row| !row.key.contains(&token) && !row.value.contains(&token)));
}

#[test]
fn bad_absent_and_too_weak_tokens_are_refused() {
    let standin = StandIn::new();
    let authenticator = authenticator(&standin);
    let token = authenticator.issue(&operator()).expect("issued");

    assert_eq!(authenticator.check(None, Role::Viewer), Err(AuthError::Missing));
    assert_eq!(authenticator.check(Some(""), Role::Viewer), Err(AuthError::Missing));
    assert_eq!(authenticator.check(Some("guess"), Role::Viewer), Err(AuthError::Unknown));
    assert_eq!(authenticator.check(Some("development"), Role::Viewer), Err(AuthError::Unknown));
    let weak = authenticator.check(Some(&token), Role::Admin);
    assert_eq!(weak, Err(AuthError::Role { held: Role::Operator, needed: Role::Admin }));
    assert!(authenticator.check(Some("boot"), Role::Admin).is_ok());
}

#[test]
fn a_known_token_stays_valid_while_the_platform_is_down_and_an_unknown_one_is_not_called_bad() {
    let standin = StandIn::new();
    let authenticator = authenticator(&standin);
    let token = authenticator.issue(&operator()).expect("issued");
    authenticator.check(Some(&token), Role::Viewer).expect("known");
    set_down(&standin, true);
    // As if the last look was long ago.
    authenticator.lock().values_mut().for_each(|cached| cached.checked_at_us = 0);

    assert_eq!(authenticator.check(Some(&token), Role::Operator), Ok(operator()));
    assert!(matches!(authenticator.check(Some("other"), Role::Viewer), Err(AuthError::Platform(_))));
    assert!(authenticator.check(Some("boot"), Role::Admin).is_ok());
}
