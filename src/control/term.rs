//! Transactions that begin, renew and end a term of leadership, and what shows that one of them was applied.
//!
//! A term is identified by its fencing token, the version of the owner row that the claim has written. Every write of a
//! term is conditional on that version. The store may apply a write seconds after its answer was lost, so a token must
//! not be used for a second term: the late write would still find its condition met.

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

/// Transaction that renews leadership, to which the leader adds a batch.
pub(super) fn renewal_transaction(fencing_token: u64, sequence_version: u64) -> RowStoreTransaction {
    RowStoreTransaction {
        expected: vec![(owner_row(), fencing_token), (sequence_row(), sequence_version)],
        writes: vec![(sequence_row(), Vec::new())],
        removals: Vec::new(),
    }
}

/// After a conflict: the new version of the sequence row, or `None` if another daemon has taken over.
pub(super) fn applied_sequence_version(
    fencing_token: u64,
    sequence_version: u64,
    current: &[StoredRow],
) -> Option<u64> {
    let mut applied_version = None;
    for row in current {
        if row.id == owner_row() && row.version != fencing_token {
            return None;
        }
        if row.id == sequence_row() && row.version > sequence_version {
            applied_version = Some(row.version);
        }
    }
    applied_version
}
