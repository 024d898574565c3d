//! Acceptance of sheets through the platform's table.
//!
//! The body goes to the object store under its digest. One transaction then moves the current row to
//! the next version and records the apply in the history, so that an apply whose answer was lost is
//! found again by its id, also after later sheets were accepted.

#[cfg(test)]
mod sheet_store_tests;

use std::io::{Read, Write};
use std::sync::Arc;

use flate2::read::GzDecoder;
use flate2::write::GzEncoder;
use flate2::Compression;
use serde::{Deserialize, Serialize};

use crate::platform::{Platform, PlatformError};
use crate::sheet::{Sheet, MAX_SHEET_BYTES};
use crate::sheet_state::SheetRef;
use crate::table::{Commit, Transaction, ABSENT};

const CURRENT_KEY: &str = "sheet/current";
/// Accepted sheets whose apply ids are kept.
const HISTORY_LENGTH: u64 = 1_000;
const COMMIT_TRIES: u32 = 4;

/// Record of one accepted sheet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SheetRecord {
    /// Version and digest.
    #[serde(flatten)]
    pub reference: SheetRef,
    /// Chosen by the operator's program for this apply.
    pub apply_id: Arc<str>,
    /// Team whose operator applied it.
    pub team: Arc<str>,
}

/// What became of an apply.
#[derive(Debug, Clone, PartialEq)]
pub enum ApplyOutcome {
    /// The sheet was accepted, now or before.
    Accepted(SheetRecord),
    /// Another sheet stands, and nothing was changed.
    Conflict(SheetRecord),
}

/// A request to make a sheet the current one.
#[derive(Debug, Clone)]
pub struct ApplyRequest<'a> {
    /// The sheet as exported.
    pub body: &'a [u8],
    /// Version that it replaces; without one, the current version when the apply begins.
    pub base_version: Option<u64>,
    /// The same for every try of one apply.
    pub apply_id: &'a str,
    /// Team of the operator.
    pub team: &'a str,
}

struct Current {
    row_version: u64,
    record: Option<SheetRecord>,
}

impl Current {
    fn version(&self) -> u64 {
        self.record.as_ref().map_or(0, |record| record.reference.version)
    }
}

/// Key of a sheet's body in the object store.
fn object_key(digest: &str) -> String {
    format!("sheets/{digest}")
}

/// Reads the current sheet's record.
///
/// # Errors
/// Fails if the platform does not answer.
pub fn current(platform: &dyn Platform) -> Result<Option<SheetRecord>, PlatformError> {
    Ok(read_current(platform)?.record)
}

/// Accepts a checked sheet.
///
/// # Errors
/// [`PlatformError::Unavailable`] means that nothing was accepted; [`PlatformError::AnswerLost`] that
/// the same apply must be tried again to learn its outcome.
pub fn apply(platform: &dyn Platform, apply: &ApplyRequest<'_>) -> Result<ApplyOutcome, PlatformError> {
    let digest = Sheet::digest(apply.body);
    store_body(platform, &digest, apply.body)?;
    let mut base_version = apply.base_version;
    let mut lost = None;
    for _ in 0..COMMIT_TRIES {
        let current = read_current(platform).map_err(|error| unsettled(lost.take(), error))?;
        let base = *base_version.get_or_insert(current.version());
        let stands = |record: &&SheetRecord| &*record.apply_id == apply.apply_id || record.reference.digest == digest;
        if let Some(record) = current.record.as_ref().filter(stands) {
            return Ok(ApplyOutcome::Accepted(record.clone()));
        }
        if current.version() != base {
            return settled(platform, apply, base, &current).map_err(|error| unsettled(lost.take(), error));
        }
        let record = SheetRecord {
            reference: SheetRef { version: base + 1, digest: digest.clone() },
            apply_id: apply.apply_id.into(),
            team: apply.team.into(),
        };
        match platform.commit(&acceptance(&current, &record)) {
            Ok(Commit::Committed { .. }) => return Ok(ApplyOutcome::Accepted(record)),
            Ok(Commit::Conflict { .. }) => {}
            Err(error @ PlatformError::AnswerLost { .. }) => lost = Some(error),
            Err(error) => return Err(unsettled(lost, error)),
        }
    }
    Err(lost.unwrap_or(PlatformError::Unavailable {
        operation: "apply",
        reason: "other operators kept changing the sheet".to_owned(),
    }))
}

/// Once an answer was lost, a later failure does not prove that nothing was accepted.
fn unsettled(lost: Option<PlatformError>, error: PlatformError) -> PlatformError {
    lost.unwrap_or(error)
}

fn store_body(platform: &dyn Platform, digest: &str, body: &[u8]) -> Result<(), PlatformError> {
    let key = object_key(digest);
    let packed = pack(body)?;
    match platform.put_object(&key, &packed) {
        Err(PlatformError::AnswerLost { operation, reason }) => match platform.get_object(&key) {
            Ok(Some(stored)) if stored == packed => Ok(()),
            // No row names the body yet, so nothing has been accepted.
            _ => Err(PlatformError::Unavailable { operation, reason }),
        },
        result => result,
    }
}

/// Sheets are stored compressed, since every daemon fetches every one.
fn pack(body: &[u8]) -> Result<Vec<u8>, PlatformError> {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::default());
    let packed = encoder.write_all(body).and_then(|()| encoder.finish());
    packed.map_err(|error| PlatformError::Unavailable { operation: "apply", reason: error.to_string() })
}

/// Bytes that a sheet takes in the object store.
pub(crate) fn stored_size(body: &[u8]) -> Result<usize, PlatformError> {
    pack(body).map(|packed| packed.len())
}

/// Fetches a sheet's body; `None` if it is not there or damaged.
///
/// # Errors
/// Fails if the platform does not answer.
pub(crate) fn fetch(platform: &dyn Platform, digest: &str) -> Result<Option<Vec<u8>>, PlatformError> {
    let Some(packed) = platform.get_object(&object_key(digest))? else { return Ok(None) };
    let mut body = Vec::new();
    let limit = MAX_SHEET_BYTES as u64 + 1;
    let unpacked = GzDecoder::new(&packed[..]).take(limit).read_to_end(&mut body);
    Ok(unpacked.ok().map(|_| body))
}

fn read_current(platform: &dyn Platform) -> Result<Current, PlatformError> {
    let Some(row) = platform.read(CURRENT_KEY)? else {
        return Ok(Current { row_version: ABSENT, record: None });
    };
    Ok(Current { row_version: row.version, record: Some(parse("read", &row.value)?) })
}

fn parse(operation: &'static str, value: &str) -> Result<SheetRecord, PlatformError> {
    serde_json::from_str(value)
        .map_err(|error| PlatformError::Protocol { operation, reason: format!("sheet record: {error}") })
}

/// Another version stands; the history tells whether this apply came before it.
fn settled(
    platform: &dyn Platform,
    apply: &ApplyRequest<'_>,
    base: u64,
    current: &Current,
) -> Result<ApplyOutcome, PlatformError> {
    if let Some(row) = platform.read(&history_key(base + 1))? {
        let record = parse("read", &row.value)?;
        if &*record.apply_id == apply.apply_id {
            return Ok(ApplyOutcome::Accepted(record));
        }
    }
    match &current.record {
        Some(record) => Ok(ApplyOutcome::Conflict(record.clone())),
        None => Err(PlatformError::Protocol {
            operation: "apply",
            reason: format!("no sheet is accepted, so version {base} cannot be replaced"),
        }),
    }
}

fn acceptance(current: &Current, record: &SheetRecord) -> Transaction {
    let value = serde_json::to_string(record).unwrap_or_default();
    let history = history_key(record.reference.version);
    let transaction = Transaction::new()
        .expect(CURRENT_KEY, current.row_version)
        .expect(&history, ABSENT)
        .put(CURRENT_KEY, &value)
        .put(&history, &value);
    match record.reference.version.checked_sub(HISTORY_LENGTH) {
        Some(oldest) => transaction.delete(&history_key(oldest)),
        None => transaction,
    }
}

fn history_key(version: u64) -> String {
    format!("sheet/history/{version:012}")
}
