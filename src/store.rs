//! The platform's transactional rows as the rest of the program sees them.

use std::sync::Arc;

/// Version of a row that does not exist.
pub(crate) const ABSENT: u64 = 0;

/// Where a row is.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct RowId {
    pub(crate) table: Arc<str>,
    /// Rows of one partition change together.
    pub(crate) partition: Arc<str>,
    pub(crate) key: Arc<str>,
}

impl RowId {
    pub(crate) fn new(table: &str, partition: &str, key: &str) -> RowId {
        RowId { table: table.into(), partition: partition.into(), key: key.into() }
    }
}

/// A row that was read. `value` is `None` if it was deleted or cannot be decoded.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct StoredRow {
    pub(crate) id: RowId,
    pub(crate) version: u64,
    pub(crate) value: Option<Vec<u8>>,
}

/// Writes that take effect together, and only if every row has its expected version.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct StoreTransaction {
    pub(crate) expected: Vec<(RowId, u64)>,
    pub(crate) writes: Vec<(RowId, Vec<u8>)>,
    pub(crate) removals: Vec<RowId>,
}

/// How a transaction ended.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum StoreCommitOutcome {
    Applied {
        /// Version of every row it wrote.
        version: u64,
    },
    /// Nothing was changed; these are the rows that were expected otherwise.
    Conflict { current: Vec<StoredRow> },
}

/// Rows of a partition, as of one moment.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct RowPage {
    pub(crate) rows: Vec<StoredRow>,
    pub(crate) has_more: bool,
    /// Newest version in the store at that moment.
    pub(crate) version: u64,
}

/// Why a call to the store gave no result.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub(crate) enum StoreError {
    /// Nothing was done.
    #[error("the store did not take the call: {0}")]
    Unavailable(String),
    /// The call may have taken effect, or may do so later.
    #[error("the store's answer was lost: {0}")]
    AnswerLost(String),
    /// The store keeps no history that far back.
    #[error("the store's history was dropped")]
    HistoryGone,
    /// The answer makes no sense.
    #[error("unexpected answer from the store: {0}")]
    Protocol(String),
}
