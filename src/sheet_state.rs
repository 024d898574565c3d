//! The sheet in force in this daemon; its version never decreases.

#[cfg(test)]
mod sheet_state_tests;

use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::sheet::{Sheet, SheetRejected};

/// Identifies an accepted sheet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SheetRef {
    /// Incremented with every accepted sheet.
    pub version: u64,
    /// Digest of its content, which is also part of its key in the object store.
    pub digest: Arc<str>,
}

/// An accepted sheet, parsed and in its original form.
#[derive(Debug)]
pub struct AcceptedSheet {
    /// Version and digest.
    pub reference: SheetRef,
    /// Parsed content.
    pub sheet: Sheet,
    /// Content as applied by the operator.
    pub body: Vec<u8>,
    pool_of_service: HashMap<Arc<str>, Arc<str>>,
}

impl AcceptedSheet {
    fn new(reference: SheetRef, sheet: Sheet, body: Vec<u8>) -> AcceptedSheet {
        let pools = sheet.pools.iter();
        let pool_of_service = pools.map(|pool| (pool.service.clone(), pool.name.clone())).collect();
        AcceptedSheet { reference, sheet, body, pool_of_service }
    }

    /// Name of the pool that serves `service`, if any.
    pub fn pool_of_service(&self, service: &str) -> Option<&Arc<str>> {
        self.pool_of_service.get(service)
    }
}

/// Why a sheet was not put in force.
#[derive(Debug, thiserror::Error)]
pub enum SheetStateError {
    /// The body does not have the digest of the accepted sheet.
    #[error("sheet version {version}: the body does not match its digest")]
    DigestMismatch {
        /// Version of the sheet.
        version: u64,
    },
    /// The sheet is invalid to this daemon, although another one accepted it.
    #[error("sheet version {version}: {rejected}")]
    Invalid {
        /// Version of the sheet.
        version: u64,
        /// Problems found in it.
        rejected: SheetRejected,
    },
}

/// The sheet in force and the newest one announced.
#[derive(Debug, Default)]
pub struct SheetState {
    in_force: Option<Arc<AcceptedSheet>>,
    announced: Option<SheetRef>,
    /// The newest sheet that was found invalid here. Its content cannot change, so it is not fetched again.
    invalid: Option<SheetRef>,
}

impl SheetState {
    /// Creates a state without sheets.
    pub fn new() -> SheetState {
        SheetState::default()
    }

    /// The sheet in force, if any.
    pub fn in_force(&self) -> Option<&Arc<AcceptedSheet>> {
        self.in_force.as_ref()
    }

    /// Version in force, 0 if none.
    pub fn version(&self) -> u64 {
        self.in_force.as_ref().map_or(0, |accepted| accepted.reference.version)
    }

    /// Newest accepted sheet known to this daemon, whether fetched or not.
    pub fn announced(&self) -> Option<&SheetRef> {
        self.announced.as_ref()
    }

    /// Version of the newest accepted sheet known, 0 if none.
    pub fn announced_version(&self) -> u64 {
        self.announced.as_ref().map_or(0, |reference| reference.version)
    }

    /// Records that a sheet was accepted. Returns whether it is newer than all known before.
    pub fn record_announcement(&mut self, reference: &SheetRef) -> bool {
        if reference.version <= self.announced_version() {
            return false;
        }
        self.announced = Some(reference.clone());
        true
    }

    /// The announced sheet, if it is newer than the one in force and not known to be invalid.
    pub fn sheet_to_fetch(&self) -> Option<&SheetRef> {
        let announced = self.announced.as_ref().filter(|reference| reference.version > self.version());
        announced.filter(|reference| self.invalid.as_ref() != Some(*reference))
    }

    /// Puts a fetched sheet in force. Returns `false` if a version at least as new is in force already.
    ///
    /// # Errors
    /// Fails if the body does not match its digest or is invalid; the sheet in force is then kept.
    pub fn put_in_force(&mut self, reference: &SheetRef, body: Vec<u8>) -> Result<bool, SheetStateError> {
        if reference.version <= self.version() {
            return Ok(false);
        }
        let version = reference.version;
        if Sheet::digest(&body) != reference.digest {
            return Err(SheetStateError::DigestMismatch { version });
        }
        let sheet = match Sheet::read(&body) {
            Ok(sheet) => sheet,
            Err(rejected) => {
                self.invalid = Some(reference.clone());
                return Err(SheetStateError::Invalid { version, rejected });
            }
        };
        self.record_announcement(reference);
        self.in_force = Some(Arc::new(AcceptedSheet::new(reference.clone(), sheet, body)));
        Ok(true)
    }
}
