//! Rows and conditional transactions of the platform's table.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Version of a row that does not exist.
pub const ABSENT: u64 = 0;

/// One row of the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Unique key, with `/` between its parts.
    pub key: Arc<str>,
    /// Changes with every write; never [`ABSENT`].
    pub version: u64,
    /// Content, JSON by convention.
    pub value: Arc<str>,
}

/// A row must have this version for the transaction to commit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    /// Row the condition is about.
    pub key: Arc<str>,
    /// Expected version, or [`ABSENT`].
    pub version: u64,
}

/// New content of a row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// Row to change.
    pub key: Arc<str>,
    /// New content, or `None` to delete the row.
    pub value: Option<Arc<str>>,
}

/// Writes that take effect together, and only if every condition holds.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Checked before anything is written.
    pub conditions: Vec<Condition>,
    /// Applied together.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// An empty transaction.
    pub fn new() -> Transaction {
        Transaction::default()
    }

    /// Adds a condition on a row's version.
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

/// What became of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommitOutcome {
    /// All writes took effect; written rows have this version.
    Committed {
        /// New version of every written row.
        version: u64,
    },
    /// Nothing was written.
    Conflict {
        /// Key of the first row whose version differed.
        key: Arc<str>,
        /// That row's present version.
        version: u64,
    },
}
