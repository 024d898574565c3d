//! The sheet: a CSV file in which planners define pools, availability budgets and maintenance waves. Each line below
//! the header defines one of them.

mod problem;
mod reader;
#[cfg(test)]
mod sheet_tests;

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

pub use problem::{SheetProblem, SheetRejected};
pub use reader::MAX_SHEET_BYTES;

/// A valid sheet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sheet {
    /// Pools in the order of the sheet.
    pub pools: Vec<Pool>,
    /// Waves in the order of the sheet.
    pub waves: Vec<Wave>,
}

/// Hosts that serve one service, with their availability budget.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// Unique name.
    pub name: Arc<str>,
    /// The service, which is the first path segment of the callers' URLs; served by no other pool.
    pub service: Arc<str>,
    /// Availability zones that the pool's hosts are spread over.
    pub zones: Vec<Arc<str>>,
    /// Planned number of hosts.
    pub host_count: u32,
    /// Whether this is the spare pool, which lends hosts to the others; at most one pool is.
    pub spare: bool,
    /// Availability budget: number of hosts that may be unavailable at the same time.
    pub max_unavailable_hosts: u32,
}

/// Maintenance of the hosts of one pool within a time window.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Wave {
    /// Unique name.
    pub name: Arc<str>,
    /// Name of the pool.
    pub pool: Arc<str>,
    /// Start of the window, in seconds since the Unix epoch.
    pub opens_at_s: i64,
    /// End of the window, in seconds since the Unix epoch.
    pub closes_at_s: i64,
    /// Number of hosts that may be under maintenance at the same time.
    pub max_concurrent_hosts: u32,
}

impl Sheet {
    /// Parses and validates a sheet in CSV as exported by spreadsheet programs.
    ///
    /// # Errors
    /// Returns all problems found, each with line, column, value and fix.
    pub fn read(body: &[u8]) -> Result<Sheet, SheetRejected> {
        reader::read(body)
    }

    /// SHA-256 of a sheet's bytes in hexadecimal, by which the object store identifies it.
    pub fn digest(body: &[u8]) -> Arc<str> {
        hex(&Sha256::digest(body)).into()
    }
}

/// Encodes `bytes` in lower-case hexadecimal.
pub(crate) fn hex(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        text.push(char::from(DIGITS[usize::from(byte >> 4)]));
        text.push(char::from(DIGITS[usize::from(byte & 15)]));
    }
    text
}
