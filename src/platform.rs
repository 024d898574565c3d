//! Interfaces to the two platforms that daemons use.
//!
//! [`Platform`], in this file, has the table, the object store and the host list that daemons use to route requests to
//! pools.
//!
//! The submodules are for the users' platform, on which daemons in the control role (`--control`) schedule jobs. They
//! hold the clients of its services and convert between its JSON messages and this crate's types. No other module
//! contains names from those messages.

pub(crate) mod advice;
pub(crate) mod hosts;
mod http_client;
pub(crate) mod job_api;
pub mod job_client;
mod limits;
pub(crate) mod operator;
pub(crate) mod row_store;
pub mod settings;
mod task_names;
pub mod users_platform_standin;
pub(crate) mod workers;

#[cfg(test)]
mod odd_answer_tests;
#[cfg(test)]
mod platform_tests;
#[cfg(test)]
mod scripted_server;
#[cfg(test)]
mod slow_answer_tests;

pub(crate) use http_client::HttpClient;

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::table::{CommitOutcome, Row, Transaction};

/// Error of a call to the platform.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum PlatformError {
    /// The call had no effect.
    #[error("platform unavailable ({operation}): {reason}")]
    Unavailable {
        /// Name of the call.
        operation: &'static str,
        /// Cause of the failure.
        reason: String,
    },
    /// The call may have taken effect: its response was lost, or reports a server error other than 503.
    #[error("the platform's answer was lost ({operation}): {reason}")]
    ResponseLost {
        /// Name of the call.
        operation: &'static str,
        /// Cause of the failure.
        reason: String,
    },
    /// The platform's response could not be parsed, or its status was unexpected.
    #[error("unexpected answer from the platform ({operation}): {reason}")]
    Protocol {
        /// Name of the call.
        operation: &'static str,
        /// What is wrong with the response.
        reason: String,
    },
}

/// State of a host in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// Accepts new work.
    Live,
    /// Finishes its current work and accepts no new work.
    Leaving,
    /// Removed from the list.
    Gone,
}

/// One host in the platform's list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Unique name.
    pub name: Arc<str>,
    /// Address on which its endpoint listens.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Pool that the host belongs to.
    pub pool: Arc<str>,
    /// Whether the host accepts work.
    pub state: HostState,
    /// Increases whenever the host restarts, moves to another pool or returns.
    pub epoch: u64,
}

/// Hosts that changed after a cursor.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct HostChanges {
    /// Cursor for the next call.
    pub cursor: u64,
    /// Changed hosts, each listed once.
    pub hosts: Vec<HostEntry>,
}

/// Blocking client of the platform's table, object store and host list.
pub trait Platform: Send + Sync {
    /// Reads one row.
    ///
    /// # Errors
    /// Fails if the platform does not respond. A read can always be repeated.
    fn read(&self, key: &str) -> Result<Option<Row>, PlatformError>;

    /// Reads the rows whose keys start with `prefix`, sorted by key.
    ///
    /// # Errors
    /// Fails if the platform does not respond. A read can always be repeated.
    fn scan(&self, prefix: &str) -> Result<Vec<Row>, PlatformError>;

    /// Applies a transaction if all of its conditions hold.
    ///
    /// # Errors
    /// After [`PlatformError::ResponseLost`], the transaction may or may not have been applied.
    fn commit(&self, transaction: &Transaction) -> Result<CommitOutcome, PlatformError>;

    /// Stores an object. Idempotent: storing the same bytes again changes nothing.
    ///
    /// # Errors
    /// Fails if the platform does not acknowledge the write.
    fn put_object(&self, key: &str, body: &[u8]) -> Result<(), PlatformError>;

    /// Reads an object; `None` if there is no object with this key.
    ///
    /// # Errors
    /// Fails if the platform does not respond.
    fn get_object(&self, key: &str) -> Result<Option<Vec<u8>>, PlatformError>;

    /// Deletes an object. Idempotent: deleting one that does not exist changes nothing.
    ///
    /// # Errors
    /// Fails if the platform does not acknowledge the deletion.
    fn delete_object(&self, key: &str) -> Result<(), PlatformError>;

    /// Returns the hosts that changed after `cursor`, or all hosts if it is 0. The list lags behind the hosts' actual
    /// state.
    ///
    /// # Errors
    /// Fails if the platform does not respond.
    fn host_changes(&self, cursor: u64) -> Result<HostChanges, PlatformError>;
}
