//! The day's sheet: pools, availability budgets and maintenance waves.

mod problem;
mod reader;
#[cfg(test)]
mod sheet_tests;

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

pub use problem::{SheetProblem, SheetRejected};
pub use reader::MAX_SHEET_BYTES;

/// A sheet that passed every check.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sheet {
    /// Pools in the order of the sheet.
    pub pools: Vec<Pool>,
    /// Waves in the order of the sheet.
    pub waves: Vec<Wave>,
}

/// Hosts that serve one service, and how many of them may be away at once.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// Unique name.
    pub name: Arc<str>,
    /// First path segment of the callers' URLs; unique.
    pub service: Arc<str>,
    /// Availability zones that the pool's hosts are spread over.
    pub zones: Vec<Arc<str>>,
    /// Hosts the pool is meant to have.
    pub host_count: u32,
    /// Whether the pool lends hosts to the others.
    pub spare: bool,
    /// Availability budget: hosts that may be unavailable at once.
    pub max_unavailable_hosts: u32,
}

/// A maintenance wave over one pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Wave {
    /// Unique name.
    pub name: Arc<str>,
    /// Pool whose hosts are maintained.
    pub pool: Arc<str>,
    /// Start of the window, seconds since the Unix epoch.
    pub opens_at_s: i64,
    /// End of the window, seconds since the Unix epoch.
    pub closes_at_s: i64,
    /// Hosts under maintenance at once.
    pub max_concurrent_hosts: u32,
}

impl Sheet {
    /// Parses and checks a sheet as a spreadsheet exports it.
    ///
    /// # Errors
    /// Returns every problem found, each with line, column, value and fix.
    pub fn read(body: &[u8]) -> Result<Sheet, SheetRejected> {
        reader::read(body)
    }

    /// Hexadecimal SHA-256 of a sheet's bytes, under which the object store keeps it.
    pub fn digest(body: &[u8]) -> Arc<str> {
        hex(&Sha256::digest(body)).into()
    }
}

/// Lower-case hexadecimal form of `bytes`.
pub(crate) fn hex(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        text.push(char::from(DIGITS[usize::from(byte >> 4)]));
        text.push(char::from(DIGITS[usize::from(byte & 15)]));
    }
    text
}
