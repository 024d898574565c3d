//! Transactions that begin, renew and end a term of leadership, and what shows that one of them was applied.
//!
//! A term is identified by its fencing token, the version of the owner row that the claim has written. Every write of a
//! term is conditional on that version. The store may apply a write seconds after its answer was lost, so a token must
//! not be used for a second term: the late write would still find its condition met.

#[cfg(test)]
mod term_tests;

use rand::Rng;

use super::candidacy::RELEASED;
use super::election::{owner_row, sequence_row};
use crate::row_store::{RowStoreTransaction, StoredRow};

/// Transaction that claims leadership if the owner row still has this version.
pub(super) fn claim_transaction(owner_version: u64, claim_value: &[u8]) -> RowStoreTransaction {
    RowStoreTransaction {
        expected: vec![(owner_row(), owner_version)],
        writes: vec![(owner_row(), claim_value.to_vec()), (sequence_row(), Vec::new())],
        removals: Vec::new(),
    }
}

/// Transaction that marks leadership as released, so that another daemon need not wait for a timeout.
pub(super) fn release_transaction(fencing_token: u64) -> RowStoreTransaction {
    RowStoreTransaction {
        expected: vec![(owner_row(), fencing_token)],
        writes: vec![(sequence_row(), RELEASED.to_vec())],
        removals: Vec::new(),
    }
}

/// Value that a transaction of the leader writes to the sequence row, by which it is recognised.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct TransactionId(String);

impl TransactionId {
    pub(super) fn random() -> TransactionId {
        TransactionId(format!("{:016x}", rand::rng().random::<u64>()))
    }
}

/// Transaction that renews leadership, to which the leader adds a batch.
pub(super) fn renewal_transaction(
    fencing_token: u64,
    sequence_version: u64,
    id: &TransactionId,
) -> RowStoreTransaction {
    RowStoreTransaction {
        expected: vec![(owner_row(), fencing_token), (sequence_row(), sequence_version)],
        writes: vec![(sequence_row(), id.0.clone().into_bytes())],
        removals: Vec::new(),
    }
}

/// What the leader rows show about a transaction that has conflicted, so that it will not be applied any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConflictCause {
    /// An earlier, unanswered attempt was applied.
    AlreadyApplied { sequence_version: u64 },
    /// Another claim is in force.
    ClaimReplaced,
    /// The term was marked as released.
    Released,
    /// Another write than this transaction has changed the sequence row.
    OtherWrite,
}

impl ConflictCause {
    /// Name in logs and metrics.
    pub(super) fn label(self) -> &'static str {
        match self {
            ConflictCause::AlreadyApplied { .. } => "already_applied",
            ConflictCause::ClaimReplaced => "claim_replaced",
            ConflictCause::Released => "released",
            ConflictCause::OtherWrite => "other_write",
        }
    }
}

/// Tells from the leader rows, read after a conflict, why a transaction of the term has conflicted. A newer version of the
/// sequence row does not show which write has changed it; its value does.
pub(super) fn conflict_cause(
    fencing_token: u64,
    id: &TransactionId,
    owner: Option<&StoredRow>,
    sequence: Option<&StoredRow>,
) -> ConflictCause {
    if owner.map(|row| row.version) != Some(fencing_token) {
        return ConflictCause::ClaimReplaced;
    }
    let Some(sequence) = sequence else { return ConflictCause::OtherWrite };
    match sequence.value.as_deref() {
        Some(value) if value == id.0.as_bytes() => ConflictCause::AlreadyApplied { sequence_version: sequence.version },
        Some(RELEASED) => ConflictCause::Released,
        _ => ConflictCause::OtherWrite,
    }
}
