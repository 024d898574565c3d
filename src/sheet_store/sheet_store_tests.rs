//! Tests of accepting sheets while operators race and the platform fails at every step.

use super::*;
use crate::faulty_platform::{Fault, FaultyPlatform};
use crate::standin::{EmbeddedPlatform, FaultChange, StandIn};

fn try_apply(
    platform: &dyn Platform,
    body: &[u8],
    base_version: Option<u64>,
    id: &str,
) -> Result<ApplyOutcome, PlatformError> {
    apply(platform, &ApplyRequest { body, base_version, apply_id: id, team: "press" })
}

fn standing(standin: &Arc<StandIn>) -> Option<SheetRecord> {
    current(&EmbeddedPlatform::new(standin.clone(), "z")).expect("the stand-in answers")
}

fn healthy(standin: &Arc<StandIn>) -> EmbeddedPlatform {
    EmbeddedPlatform::new(standin.clone(), "z")
}

#[test]
fn of_two_operators_one_wins_and_the_other_learns_whose_version_stands() {
    let standin = StandIn::new();
    let slow = FaultyPlatform::new(&standin, u32::MAX, Fault::None, false);
    let racing = healthy(&standin);
    *slow.before_commit.lock().expect("lock") = Some(Box::new(move || {
        let first = try_apply(&racing, b"first", Some(0), "id-1");
        assert!(matches!(first, Ok(ApplyOutcome::Accepted(_))));
    }));

    let second = try_apply(&slow, b"second", Some(0), "id-2").expect("an answer");

    let ApplyOutcome::Conflict(record) = second else { panic!("{second:?}") };
    assert_eq!((record.reference.version, &*record.apply_id), (1, "id-1"));
    assert_eq!(standing(&standin).map(|record| record.apply_id), Some("id-1".into()));
}

#[test]
fn an_apply_on_an_old_base_is_refused() {
    let standin = StandIn::new();
    let platform = healthy(&standin);
    try_apply(&platform, b"one", None, "id-1").expect("accepted");
    try_apply(&platform, b"two", None, "id-2").expect("accepted");

    let late = try_apply(&platform, b"three", Some(1), "id-3").expect("an answer");

    assert!(matches!(late, ApplyOutcome::Conflict(record) if record.reference.version == 2));
}

/// Every call of an apply is refused, or loses its answer, or the platform stays down after it. Whatever the
/// apply says must be true, and trying again with the same id must settle it without a second version.
#[test]
fn every_fault_at_every_call_is_told_truly_and_settled_by_a_retry() {
    let mut cells = 0;
    for fault in [Fault::Refused, Fault::AnswerLost] {
        for at in 0..8 {
            for down_after in [false, true] {
                let standin = StandIn::new();
                try_apply(&healthy(&standin), b"base", None, "id-0").expect("accepted");
                let platform = FaultyPlatform::new(&standin, at, fault, down_after);

                let result = try_apply(&platform, b"new", Some(1), "id-1");

                let cell = format!("{fault:?} at call {at}, down after: {down_after}");
                let accepted = standing(&standin).is_some_and(|record| &*record.apply_id == "id-1");
                match &result {
                    Ok(ApplyOutcome::Accepted(record)) => {
                        assert!(accepted, "{cell}");
                        assert_eq!(record.reference.version, 2, "{cell}");
                    }
                    Ok(ApplyOutcome::Conflict(_)) => panic!("{cell}: nobody else applied"),
                    Err(PlatformError::AnswerLost { .. }) => {}
                    Err(_) => assert!(!accepted, "{cell}: it said that nothing was accepted"),
                }
                let retried = try_apply(&healthy(&standin), b"new", Some(1), "id-1");
                assert!(matches!(&retried, Ok(ApplyOutcome::Accepted(r)) if r.reference.version == 2), "{cell}");
                assert_eq!(standing(&standin).map(|record| record.reference.version), Some(2), "{cell}");
                cells += 1;
            }
        }
    }
    assert_eq!(cells, 32);
}

#[test]
fn a_lost_answer_is_found_even_after_another_operator_went_on() {
    let standin = StandIn::new();
    standin.change_faults(&FaultChange { lose_answers: Some(true), ..FaultChange::default() });
    let lost = try_apply(&healthy(&standin), b"mine", Some(0), "id-1");
    standin.change_faults(&FaultChange { lose_answers: Some(false), ..FaultChange::default() });
    assert!(lost.is_err());
    let first = try_apply(&healthy(&standin), b"mine", Some(0), "id-1").expect("accepted");
    try_apply(&healthy(&standin), b"theirs", Some(1), "id-2").expect("accepted");

    let retried = try_apply(&healthy(&standin), b"mine", Some(0), "id-1").expect("an answer");

    assert_eq!(retried, first);
    assert_eq!(standing(&standin).map(|record| record.reference.version), Some(2));
}

#[test]
fn the_same_sheet_again_changes_nothing() {
    let standin = StandIn::new();
    try_apply(&healthy(&standin), b"one", None, "id-1").expect("accepted");

    let again = try_apply(&healthy(&standin), b"one", None, "id-2").expect("accepted");

    assert!(matches!(again, ApplyOutcome::Accepted(record) if record.reference.version == 1));
}

#[test]
fn a_stored_body_comes_back_whole_or_not_at_all() {
    let standin = StandIn::new();
    let body = b"line\n".repeat(1_000);
    let accepted = try_apply(&healthy(&standin), &body, None, "id-1").expect("accepted");
    let ApplyOutcome::Accepted(record) = accepted else { panic!("{accepted:?}") };
    let key = object_key(&record.reference.digest);
    let packed = standin.store().get_object(&key).expect("stored");

    assert_eq!(fetch(&healthy(&standin), &record.reference.digest), Ok(Some(body)));
    assert!(packed.len() < 200, "compressed");
    standin.store().put_object(&key, &packed[..packed.len() / 2]);
    assert_eq!(fetch(&healthy(&standin), &record.reference.digest), Ok(None));
    assert_eq!(fetch(&healthy(&standin), "unknown"), Ok(None));
}
