//! Tests of when a daemon claims leadership.

use super::{leader_name, Candidacy, Decision, RELEASED};
use crate::row_store::{RowId, StoredRow};

const POLL_US: u64 = 150_000;

fn row(version: u64, value: &[u8]) -> StoredRow {
    StoredRow { id: RowId::new("lead", "sched", "row"), version, value: Some(value.to_vec()) }
}

/// Time of the first poll, in milliseconds, at which a candidate claims leadership while the rows do not change.
fn claims_after_ms(mut candidacy: Candidacy, owner: Option<&StoredRow>, sequence: Option<&StoredRow>) -> Option<u64> {
    for poll in 0..40 {
        let now_us = poll * POLL_US;
        let decision = candidacy.decide(now_us, 0, owner, sequence);
        if let Decision::Claim { owner_version } = decision {
            assert_eq!(owner_version, owner.map_or(0, |row| row.version));
            return Some(now_us / 1_000);
        }
    }
    None
}

fn large(name: &str) -> Candidacy {
    Candidacy::new(name, 0.25, 2)
}

#[test]
fn vacant_leadership_is_claimed_at_once() {
    let (owner, released) = (row(7, b"d2 01"), row(9, RELEASED));

    assert_eq!(claims_after_ms(large("d1"), None, None), Some(0));
    assert_eq!(claims_after_ms(large("d1"), Some(&owner), Some(&released)), Some(0));
}

#[test]
fn silent_leader_is_replaced_after_the_timeout() {
    let (owner, sequence) = (row(7, b"d2 01"), row(9, b""));

    assert_eq!(claims_after_ms(large("d1"), Some(&owner), Some(&sequence)), Some(1_500));
    assert_eq!(claims_after_ms(Candidacy::new("d1", 0.12, 2), Some(&owner), Some(&sequence)), Some(3_000));
}

#[test]
fn active_leader_is_never_replaced() {
    let mut candidacy = large("d1");
    let owner = row(7, b"d2 01");

    for poll in 0..40 {
        let sequence = row(9 + poll, b"");
        assert_eq!(candidacy.decide(poll * POLL_US, 0, Some(&owner), Some(&sequence)), Decision::Wait);
    }
}

#[test]
fn restarted_leader_replaces_its_earlier_process_at_once() {
    let sequence = row(9, b"");

    assert_eq!(claims_after_ms(large("d1"), Some(&row(7, b"d1 01")), Some(&sequence)), Some(0));
    assert_eq!(
        claims_after_ms(large("d1"), Some(&row(7, b"d10 01")), Some(&sequence)),
        Some(1_500),
        "another daemon whose name begins alike"
    );
}

#[test]
fn claim_of_this_process_is_found_again() {
    let mut candidacy = large("d1");
    let owner = row(7, candidacy.claim_value());

    let decision = candidacy.decide(0, 1_000_000, Some(&owner), Some(&row(9, b"")));

    assert_eq!(decision, Decision::Lead { fencing_token: 7, sequence_version: 9 });
}

#[test]
fn daemon_that_was_cut_off_pauses_before_it_claims_again() {
    let mut candidacy = large("d1");

    assert_eq!(candidacy.decide(0, 1_000_000, None, None), Decision::Wait);
    assert_eq!(candidacy.decide(1_000_000, 1_000_000, None, None), Decision::Claim { owner_version: 0 });
}

#[test]
fn daemon_that_stepped_down_leaves_leadership_to_others_during_its_pause() {
    // Guards against a daemon that leads on at once because its step-down got no answer, and against a second term with
    // the same fencing token.
    let mut candidacy = large("d1");
    candidacy.begin_term(7);
    let owner = row(7, candidacy.claim_value());

    for sequence in [row(9, RELEASED), row(9, b"")] {
        let during = candidacy.decide(0, 6_000_000, Some(&owner), Some(&sequence));
        let after = candidacy.decide(6_000_000, 6_000_000, Some(&owner), Some(&sequence));

        assert_eq!(during, Decision::Wait);
        assert_eq!(after, Decision::Claim { owner_version: 7 }, "no other daemon has claimed it");
    }
}

#[test]
fn daemon_whose_term_has_ended_claims_anew_at_once() {
    // Guards against a wait after a takeover that failed, for small daemons too: nobody else is known to lead.
    let mut candidacy = Candidacy::new("d1", 0.12, 2);
    candidacy.begin_term(7);
    let owner = row(7, candidacy.claim_value());

    assert_eq!(candidacy.decide(0, 0, Some(&owner), Some(&row(9, b""))), Decision::Claim { owner_version: 7 });
}

#[test]
fn leader_is_known_by_the_name_in_its_claim_until_it_steps_down() {
    let (owner, sequence, released) = (row(7, b"d2 01"), row(9, b""), row(9, RELEASED));

    assert_eq!(leader_name(Some(&owner), Some(&sequence)), Some("d2"));
    assert_eq!(leader_name(Some(&owner), Some(&released)), None);
    assert_eq!(leader_name(None, None), None);
}
