//! The platform's services as the rest of the program sees them, and, in the modules below, the translation between
//! the users' platform and our own types. No other module knows the names on that platform's wire.

pub(crate) mod advice;
pub(crate) mod hosts;
mod http_client;
pub(crate) mod job_api;
pub mod job_client;
mod names;
pub(crate) mod operator;
pub mod settings;
pub mod standin;
pub(crate) mod store;
pub(crate) mod workers;

#[cfg(test)]
mod platform_tests;

pub(crate) use http_client::HttpClient;

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::table::{CommitOutcome, Row, Transaction};

/// Why a call to the platform gave no result.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum PlatformError {
    /// The call had no effect.
    #[error("platform unavailable ({operation}): {reason}")]
    Unavailable {
        /// Call that failed.
        operation: &'static str,
        /// Why.
        reason: String,
    },
    /// The call may have taken effect.
    #[error("the platform's answer was lost ({operation}): {reason}")]
    AnswerLost {
        /// Call whose answer is missing.
        operation: &'static str,
        /// Why.
        reason: String,
    },
    /// The platform answered something that this program does not understand.
    #[error("unexpected answer from the platform ({operation}): {reason}")]
    Protocol {
        /// Call that was answered.
        operation: &'static str,
        /// What was wrong with the answer.
        reason: String,
    },
}

/// Whether a host takes work, as the platform's list says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// Takes work.
    Live,
    /// Finishes what it has and takes nothing new.
    Leaving,
    /// Removed from the list.
    Gone,
}

/// One host of the platform's list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Unique name.
    pub name: Arc<str>,
    /// Where its endpoint listens.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// The one pool it belongs to.
    pub pool: Arc<str>,
    /// Whether it takes work.
    pub state: HostState,
    /// Grows whenever the host starts anew, moves or returns.
    pub epoch: u64,
}

/// Hosts that changed after a cursor.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct HostChanges {
    /// Pass it to the next call.
    pub cursor: u64,
    /// Changed hosts, each once.
    pub hosts: Vec<HostEntry>,
}

/// Blocking access to the platform's table, object store and host list.
pub trait Platform: Send + Sync {
    /// Reads one row.
    ///
    /// # Errors
    /// Fails if the platform does not answer; reading has no effect.
    fn read(&self, key: &str) -> Result<Option<Row>, PlatformError>;

    /// Reads the rows whose keys start with `prefix`, in the order of keys.
    ///
    /// # Errors
    /// Fails if the platform does not answer; reading has no effect.
    fn scan(&self, prefix: &str) -> Result<Vec<Row>, PlatformError>;

    /// Applies a conditional transaction.
    ///
    /// # Errors
    /// [`PlatformError::AnswerLost`] leaves open whether it took effect.
    fn commit(&self, transaction: &Transaction) -> Result<CommitOutcome, PlatformError>;

    /// Stores an object; storing the same bytes again changes nothing.
    ///
    /// # Errors
    /// Fails if the platform does not confirm.
    fn put_object(&self, key: &str, body: &[u8]) -> Result<(), PlatformError>;

    /// Fetches an object.
    ///
    /// # Errors
    /// Fails if the platform does not answer.
    fn get_object(&self, key: &str) -> Result<Option<Vec<u8>>, PlatformError>;

    /// Lists the hosts that changed after `cursor`; 0 lists all. The list lags behind reality.
    ///
    /// # Errors
    /// Fails if the platform does not answer.
    fn host_changes(&self, cursor: u64) -> Result<HostChanges, PlatformError>;
}
