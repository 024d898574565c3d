//! Accepts sheets into the platform's object store and table.
//!
//! The body of a sheet is stored as an object under its digest. A transaction then updates the row of the current sheet
//! to the next version, and adds a row for this version to the history. If the answer to the transaction is lost, a
//! retry finds the row by the request's apply id, even after later sheets have been accepted.

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
use crate::table::{CommitOutcome, Transaction, ABSENT_VERSION};

const CURRENT_KEY: &str = "sheet/current";
const HISTORY_PREFIX: &str = "sheet/history/";
/// Number of history rows kept. A retry is recognised as long as the history row of its version exists.
const MAX_HISTORY_ROWS: u64 = 1_000;
const MAX_COMMIT_ATTEMPTS: u32 = 4;

/// Record of an accepted sheet, stored in the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SheetRecord {
    /// Version and digest.
    #[serde(flatten)]
    pub reference: SheetRef,
    /// Id of the request that applied the sheet, chosen by the client.
    pub apply_id: Arc<str>,
    /// Team of the operator who applied the sheet.
    pub team: Arc<str>,
}

/// Outcome of an [`ApplyRequest`].
#[derive(Debug, Clone, PartialEq)]
pub enum ApplyOutcome {
    /// The sheet is accepted, by this request or by an earlier one.
    Accepted(SheetRecord),
    /// The current sheet, given here, is not the base version of the request. Nothing was changed.
    Conflict(SheetRecord),
}

/// A request to make a sheet the current one.
#[derive(Debug, Clone)]
pub struct ApplyRequest<'a> {
    /// Content of the sheet, in CSV.
    pub body: &'a [u8],
    /// Version to replace; if `None`, the version that is current when the call begins.
    pub base_version: Option<u64>,
    /// Chosen by the client; the same in all attempts of one request.
    pub apply_id: &'a str,
    /// Team of the operator who sends the request.
    pub team: &'a str,
}

/// Row of the current sheet.
struct CurrentSheet {
    /// Version of the row in the table, not of the sheet.
    row_version: u64,
    /// `None` if no sheet has been accepted yet.
    record: Option<SheetRecord>,
}

impl CurrentSheet {
    /// Version of the sheet, 0 if there is none.
    fn version(&self) -> u64 {
        self.record.as_ref().map_or(0, |record| record.reference.version)
    }
}

/// Key of a sheet in the object store.
fn object_key(digest: &str) -> String {
    format!("sheets/{digest}")
}

/// Reads the record of the current sheet.
///
/// # Errors
/// Fails if the platform does not answer.
pub fn current(platform: &dyn Platform) -> Result<Option<SheetRecord>, PlatformError> {
    Ok(read_current(platform)?.record)
}

/// Makes a valid sheet the current one.
///
/// # Errors
/// [`PlatformError::Unavailable`] means that nothing was accepted. After [`PlatformError::ResponseLost`], the outcome
/// is unknown until the request is retried with the same apply id.
pub fn apply(platform: &dyn Platform, request: &ApplyRequest<'_>) -> Result<ApplyOutcome, PlatformError> {
    if request.base_version.is_none() {
        if let Some(record) = find_accepted(platform, request.apply_id)? {
            return Ok(ApplyOutcome::Accepted(record));
        }
    }
    let digest = Sheet::digest(request.body);
    store_body(platform, &digest, request.body)?;
    let mut base_version = request.base_version;
    let mut lost_answer = None;
    for _ in 0..MAX_COMMIT_ATTEMPTS {
        let current = read_current(platform).map_err(|error| error_to_report(lost_answer.take(), error))?;
        let base = *base_version.get_or_insert(current.version());
        // A request to apply the sheet that is already current succeeds too.
        let is_accepted =
            |record: &&SheetRecord| &*record.apply_id == request.apply_id || record.reference.digest == digest;
        if let Some(record) = current.record.as_ref().filter(is_accepted) {
            return Ok(ApplyOutcome::Accepted(record.clone()));
        }
        if current.version() != base {
            return resolve_conflict(platform, request, base, &current)
                .map_err(|error| error_to_report(lost_answer.take(), error));
        }
        let record = SheetRecord {
            reference: SheetRef { version: base + 1, digest: digest.clone() },
            apply_id: request.apply_id.into(),
            team: request.team.into(),
        };
        match platform.commit(&acceptance_transaction(&current, &record)) {
            Ok(CommitOutcome::Committed { .. }) => return Ok(ApplyOutcome::Accepted(record)),
            Ok(CommitOutcome::Conflict { .. }) => {}
            Err(error @ PlatformError::ResponseLost { .. }) => lost_answer = Some(error),
            Err(error) => return Err(error_to_report(lost_answer, error)),
        }
    }
    Err(lost_answer.unwrap_or(PlatformError::Unavailable {
        operation: "apply",
        reason: "other operators kept changing the sheet".to_owned(),
    }))
}

/// Finds the sheet that a request has applied before in the history. A request with a base version does not need it: the
/// history row of the version after the base shows the same.
fn find_accepted(platform: &dyn Platform, apply_id: &str) -> Result<Option<SheetRecord>, PlatformError> {
    for row in platform.scan(HISTORY_PREFIX)? {
        let record = parse_record("scan", &row.value)?;
        if &*record.apply_id == apply_id {
            return Ok(Some(record));
        }
    }
    Ok(None)
}

/// Returns the error of an earlier commit whose answer was lost, if there is one: that commit may have accepted the
/// sheet, whatever `error` says.
fn error_to_report(lost_answer: Option<PlatformError>, error: PlatformError) -> PlatformError {
    lost_answer.unwrap_or(error)
}

fn store_body(platform: &dyn Platform, digest: &str, body: &[u8]) -> Result<(), PlatformError> {
    let key = object_key(digest);
    let compressed = compress(body)?;
    match platform.put_object(&key, &compressed) {
        Err(PlatformError::ResponseLost { operation, reason }) => match platform.get_object(&key) {
            Ok(Some(stored)) if stored == compressed => Ok(()),
            // No row refers to the object yet, so nothing has been accepted.
            _ => Err(PlatformError::Unavailable { operation, reason }),
        },
        result => result,
    }
}

/// Compresses a sheet for the object store, because every daemon fetches every sheet.
fn compress(body: &[u8]) -> Result<Vec<u8>, PlatformError> {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::default());
    let compressed = encoder.write_all(body).and_then(|()| encoder.finish());
    compressed.map_err(|error| PlatformError::Unavailable { operation: "apply", reason: error.to_string() })
}

/// Size of a sheet in the object store, in bytes.
pub(crate) fn stored_size(body: &[u8]) -> Result<usize, PlatformError> {
    compress(body).map(|compressed| compressed.len())
}

/// Fetches a sheet from the object store. Returns `None` if it is missing or cannot be decompressed.
///
/// # Errors
/// Fails if the platform does not answer.
pub(crate) fn fetch(platform: &dyn Platform, digest: &str) -> Result<Option<Vec<u8>>, PlatformError> {
    let Some(compressed) = platform.get_object(&object_key(digest))? else { return Ok(None) };
    let mut body = Vec::new();
    let limit = MAX_SHEET_BYTES as u64 + 1;
    let decompressed = GzDecoder::new(&compressed[..]).take(limit).read_to_end(&mut body);
    Ok(decompressed.ok().map(|_| body))
}

fn read_current(platform: &dyn Platform) -> Result<CurrentSheet, PlatformError> {
    let Some(row) = platform.read(CURRENT_KEY)? else {
        return Ok(CurrentSheet { row_version: ABSENT_VERSION, record: None });
    };
    Ok(CurrentSheet { row_version: row.version, record: Some(parse_record("read", &row.value)?) })
}

fn parse_record(operation: &'static str, value: &str) -> Result<SheetRecord, PlatformError> {
    serde_json::from_str(value)
        .map_err(|error| PlatformError::Protocol { operation, reason: format!("sheet record: {error}") })
}

/// Determines the outcome when the current version is not the base version. The history row of the version after the
/// base version shows whether this request was accepted before.
fn resolve_conflict(
    platform: &dyn Platform,
    request: &ApplyRequest<'_>,
    base: u64,
    current: &CurrentSheet,
) -> Result<ApplyOutcome, PlatformError> {
    if let Some(row) = platform.read(&history_key(base + 1))? {
        let record = parse_record("read", &row.value)?;
        if &*record.apply_id == request.apply_id {
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

fn acceptance_transaction(current: &CurrentSheet, record: &SheetRecord) -> Transaction {
    let value = serde_json::to_string(record).unwrap_or_default();
    let history = history_key(record.reference.version);
    let transaction = Transaction::new()
        .require_version(CURRENT_KEY, current.row_version)
        .require_version(&history, ABSENT_VERSION)
        .put(CURRENT_KEY, &value)
        .put(&history, &value);
    match record.reference.version.checked_sub(MAX_HISTORY_ROWS) {
        Some(expired_version) => transaction.delete(&history_key(expired_version)),
        None => transaction,
    }
}

fn history_key(version: u64) -> String {
    format!("{HISTORY_PREFIX}{version:012}")
}
