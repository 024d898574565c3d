//! Rows and conditional transactions of the table behind [`Platform`](crate::Platform). The row store of the users'
//! platform is another store, with types of its own in `row_store`.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Version that stands for a row that does not exist.
pub const ABSENT_VERSION: u64 = 0;

/// One row of the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Unique key; its parts are separated by `/`.
    pub key: Arc<str>,
    /// Changes with every write; never [`ABSENT_VERSION`].
    pub version: u64,
    /// Content, JSON by convention.
    pub value: Arc<str>,
}

/// Version that a row must have for the transaction to commit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    /// Key of the row.
    pub key: Arc<str>,
    /// Required version, or [`ABSENT_VERSION`] if the row must not exist.
    pub version: u64,
}

/// Write or deletion of a row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: Arc<str>,
    /// New content, or `None` to delete the row.
    pub value: Option<Arc<str>>,
}

/// Writes that are applied atomically, and only if every condition holds.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// All of them must hold.
    pub conditions: Vec<Condition>,
    /// Writes to apply.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// An empty transaction.
    pub fn new() -> Transaction {
        Transaction::default()
    }

    /// Adds the condition that a row has this version, or does not exist if it is [`ABSENT_VERSION`].
    #[must_use]
    pub fn require_version(mut self, key: &str, version: u64) -> Transaction {
        self.conditions.push(Condition { key: key.into(), version });
        self
    }

    /// Adds a write of a row.
    #[must_use]
    pub fn put(mut self, key: &str, value: &str) -> Transaction {
        self.writes.push(Write { key: key.into(), value: Some(value.into()) });
        self
    }

    /// Adds the deletion of a row.
    #[must_use]
    pub fn delete(mut self, key: &str) -> Transaction {
        self.writes.push(Write { key: key.into(), value: None });
        self
    }
}

/// Result of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommitOutcome {
    /// All writes were applied.
    Committed {
        /// New version of every row that was written.
        version: u64,
    },
    /// A condition did not hold, and nothing was written.
    Conflict {
        /// Key of the first row whose version differed.
        key: Arc<str>,
        /// Current version of that row.
        version: u64,
    },
}
