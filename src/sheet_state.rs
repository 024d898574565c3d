//! The sheet in force in this daemon; its version only grows.

#[cfg(test)]
mod sheet_state_tests;

use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::sheet::{Sheet, SheetRejected};

/// Names one accepted sheet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SheetRef {
    /// Grows by one with every accepted sheet.
    pub version: u64,
    /// Key of its body in the object store.
    pub digest: Arc<str>,
}

/// An accepted sheet with its body.
#[derive(Debug)]
pub struct AcceptedSheet {
    /// Version and digest.
    pub reference: SheetRef,
    /// Parsed content.
    pub sheet: Sheet,
    /// Content as it was applied.
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

/// Why a body was not put in force.
#[derive(Debug, thiserror::Error)]
pub enum SheetStateError {
    /// The body is not the one that the digest names.
    #[error("sheet version {version}: the body does not match its digest")]
    WrongBody {
        /// Version that was expected.
        version: u64,
    },
    /// This daemon cannot read a sheet that another one accepted.
    #[error("sheet version {version}: {rejected}")]
    Unreadable {
        /// Version that was expected.
        version: u64,
        /// What is wrong with it.
        rejected: SheetRejected,
    },
}

/// See the module.
#[derive(Debug, Default)]
pub struct SheetState {
    in_force: Option<Arc<AcceptedSheet>>,
    announced: Option<SheetRef>,
}

impl SheetState {
    /// No sheet in force.
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

    /// Newest sheet heard of.
    pub fn announced(&self) -> Option<&SheetRef> {
        self.announced.as_ref()
    }

    /// Newest version heard of, 0 if none.
    pub fn announced_version(&self) -> u64 {
        self.announced.as_ref().map_or(0, |reference| reference.version)
    }

    /// Hears of an accepted sheet; `true` if it is newer than any heard of before.
    pub fn announce(&mut self, reference: &SheetRef) -> bool {
        if reference.version <= self.announced_version() {
            return false;
        }
        self.announced = Some(reference.clone());
        true
    }

    /// The sheet to fetch, if a newer one than the one in force was heard of.
    pub fn wanted(&self) -> Option<&SheetRef> {
        self.announced.as_ref().filter(|reference| reference.version > self.version())
    }

    /// Puts a fetched body in force; `false` if a version at least as new is in force already.
    ///
    /// # Errors
    /// Fails if the body is not the announced one or cannot be read; the sheet in force stays.
    pub fn accept_body(&mut self, reference: &SheetRef, body: Vec<u8>) -> Result<bool, SheetStateError> {
        if reference.version <= self.version() {
            return Ok(false);
        }
        let version = reference.version;
        if Sheet::digest(&body) != reference.digest {
            return Err(SheetStateError::WrongBody { version });
        }
        let sheet = Sheet::read(&body).map_err(|rejected| SheetStateError::Unreadable { version, rejected })?;
        self.announce(reference);
        self.in_force = Some(Arc::new(AcceptedSheet::new(reference.clone(), sheet, body)));
        Ok(true)
    }
}
