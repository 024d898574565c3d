//! The configuration in force at this daemon, and when the store confirmed it last.

#[cfg(test)]
mod configuration_tests;

use std::sync::Arc;

use crate::clock::US_PER_MS;
use crate::platform::operator;
use crate::row_store::StoredRow;
use crate::sched::model::Catalog;

/// Result of reading a row with a configuration.
#[derive(Debug, PartialEq)]
pub(super) enum ReadConfiguration {
    /// A newer version, which is in force now.
    InForce(Arc<Catalog>),
    /// The version in force, or an older one.
    NotNewer,
    /// Cannot be used, for this reason; the version in force stays.
    Rejected(String),
    /// A row that was rejected before.
    StillRejected,
}

/// The configuration in force. Versions only rise.
#[derive(Debug, Default)]
pub(super) struct Configuration {
    /// `None` until a configuration has been read.
    catalog: Option<Arc<Catalog>>,
    /// Store version of the latest row that was rejected.
    rejected_row_version: Option<u64>,
    /// When the request was sent to which the store gave its latest answer about the operators' rows.
    confirmed_us: u64,
}

impl Configuration {
    pub(super) fn catalog(&self) -> Option<&Arc<Catalog>> {
        self.catalog.as_ref()
    }

    /// Applies the row with the operators' configuration.
    pub(super) fn read(&mut self, row: &StoredRow) -> ReadConfiguration {
        let Some(value) = &row.value else { return ReadConfiguration::NotNewer };
        let catalog = match operator::decode_catalog(value) {
            Ok(catalog) => Arc::new(catalog),
            Err(_) if self.rejected_row_version == Some(row.version) => return ReadConfiguration::StillRejected,
            Err(error) => {
                self.rejected_row_version = Some(row.version);
                return ReadConfiguration::Rejected(error.to_string());
            }
        };
        if self.catalog.as_ref().is_some_and(|current| current.version >= catalog.version) {
            return ReadConfiguration::NotNewer;
        }
        self.catalog = Some(catalog.clone());
        ReadConfiguration::InForce(catalog)
    }

    /// Records an answer of the store to a request for the operators' rows. Changes that were made after the request
    /// was sent may be missing from it, so the time of the request counts.
    pub(super) fn confirm(&mut self, requested_us: u64) {
        self.confirmed_us = self.confirmed_us.max(requested_us);
    }

    /// Time since the store has confirmed the configuration.
    pub(super) fn age_us(&self, now_us: u64) -> u64 {
        now_us.saturating_sub(self.confirmed_us)
    }

    /// Whether the store has confirmed the configuration within the last `max_age_ms`.
    pub(super) fn is_confirmed(&self, now_us: u64, max_age_ms: u64) -> bool {
        now_us < self.confirmed_us.saturating_add(max_age_ms.saturating_mul(US_PER_MS))
    }
}
