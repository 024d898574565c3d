//! Claims on idempotency keys: rows of the platform's table that decide which daemon may run a request.
//!
//! A claim is made by inserting its row, and closed by storing the request's final result in the row, or by deleting
//! the row if the request did not run. Several claims are made or closed in one transaction.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::{FinalResult, StoredResponse};
use crate::platform::{Platform, PlatformError};
use crate::sheet::hex;
use crate::table::{CommitOutcome, Row, Transaction, ABSENT_VERSION};

/// Prefix of the keys of claim rows.
pub(crate) const CLAIM_PREFIX: &str = "claims/";
/// Maximum number of claim rows that one transaction writes.
pub(crate) const MAX_ROWS_PER_TRANSACTION: usize = 64;
/// Time after which a claim row expires. Once it is deleted, its key can be used for another request.
pub(crate) const RETENTION_S: i64 = 24 * 3_600;
/// Larger response bodies are stored in the object store instead of the claim row.
const MAX_INLINE_BASE64_BYTES: usize = 16 * 1024;
/// Number of transactions that [`claim`] may send beyond one for each claim, to recover from lost answers and from rows
/// that are deleted meanwhile.
const EXTRA_TRANSACTIONS: usize = 3;

/// A claim row, as stored in the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ClaimRow {
    /// Random id that identifies this claim among those of the same key.
    pub(crate) claim_id: Arc<str>,
    /// Name of the daemon that may run the request.
    pub(crate) daemon: Arc<str>,
    /// Digest of the request, from [`request_digest`](super::request_digest).
    pub(crate) digest: Arc<str>,
    /// Time after which the row may be deleted, in seconds since the Unix epoch.
    pub(crate) expires_at_s: i64,
    /// Final result of the request; `None` while the request is in progress or after it was interrupted.
    pub(crate) ending: Option<FinalResult>,
}

/// A claim with the key of its row.
#[derive(Debug, Clone)]
pub(crate) struct Claim {
    pub(crate) row_key: Arc<str>,
    pub(crate) row: ClaimRow,
}

/// Result of trying to make a claim.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum ClaimResult {
    /// The row was inserted, with this version, so this daemon may run the request.
    Acquired { row_version: u64 },
    /// The key has another claim, with this row.
    AlreadyClaimed(ClaimRow),
    /// It is not known whether the key is claimed, because of `error`. If `row_may_exist`, this claim's row may have
    /// been written, or be written later, and must be deleted to free the key.
    Failed { row_may_exist: bool, error: PlatformError },
}

/// Returns the row key for a key chosen by a caller. The key is hashed because it may hold any characters.
pub(crate) fn row_key(pool: &str, key: &str) -> Arc<str> {
    let mut hasher = Sha256::new();
    hasher.update(pool.as_bytes());
    hasher.update(b"\n");
    hasher.update(key.as_bytes());
    format!("{CLAIM_PREFIX}{}", hex(&hasher.finalize())).into()
}

/// Makes several claims, whose row keys must differ, with as few transactions as possible.
///
/// Each transaction inserts the rows of all unresolved claims. A conflict resolves the claim on the conflicting key,
/// and the next transaction leaves that claim out. A row that has expired by `now_s` is replaced instead, since it may
/// be hours until a sweep deletes it.
pub(crate) fn claim(platform: &dyn Platform, claims: &[Claim], now_s: i64) -> Vec<ClaimResult> {
    let mut results: Vec<Option<ClaimResult>> = vec![None; claims.len()];
    // Versions of the rows to replace.
    let mut row_versions = vec![ABSENT_VERSION; claims.len()];
    let mut row_may_exist = false;
    for _ in 0..claims.len() + EXTRA_TRANSACTIONS {
        let unresolved: Vec<usize> = (0..claims.len()).filter(|index| results[*index].is_none()).collect();
        if unresolved.is_empty() {
            break;
        }
        let mut transaction = Transaction::new();
        for index in &unresolved {
            let Claim { row_key, row } = &claims[*index];
            transaction = transaction.require_version(row_key, row_versions[*index]).put(row_key, &encode(row));
        }
        match platform.commit(&transaction) {
            Ok(CommitOutcome::Committed { version }) => {
                resolve_remaining(&mut results, &ClaimResult::Acquired { row_version: version });
            }
            Ok(CommitOutcome::Conflict { key, .. }) => {
                let Some(index) = unresolved.into_iter().find(|index| claims[*index].row_key == key) else { break };
                match platform.read(&key) {
                    Ok(Some(row)) => match resolve_conflict(&claims[index], &row) {
                        ClaimResult::AlreadyClaimed(found) if found.expires_at_s <= now_s => {
                            match delete_large_body(platform, &key, &found) {
                                Ok(()) => row_versions[index] = row.version,
                                Err(error) => {
                                    resolve_remaining(&mut results, &ClaimResult::Failed { row_may_exist, error });
                                }
                            }
                        }
                        result => results[index] = Some(result),
                    },
                    // The row was deleted after the conflict; the next transaction claims the key again.
                    Ok(None) => row_versions[index] = ABSENT_VERSION,
                    Err(error) => resolve_remaining(&mut results, &ClaimResult::Failed { row_may_exist, error }),
                }
            }
            // If the rows were written, the next transaction conflicts with them.
            Err(PlatformError::ResponseLost { .. }) => row_may_exist = true,
            Err(error) => resolve_remaining(&mut results, &ClaimResult::Failed { row_may_exist, error }),
        }
    }
    let error = PlatformError::ResponseLost { operation: "claim", reason: "no answer after several tries".to_owned() };
    resolve_remaining(&mut results, &ClaimResult::Failed { row_may_exist, error });
    results.into_iter().flatten().collect()
}

/// Sets the result of all claims that have none yet.
fn resolve_remaining(results: &mut [Option<ClaimResult>], remaining: &ClaimResult) {
    for result in results.iter_mut().filter(|result| result.is_none()) {
        *result = Some(remaining.clone());
    }
}

/// Resolves a claim by the row that it conflicts with. A row with the claim's own id was written by an earlier
/// transaction whose answer was lost.
fn resolve_conflict(claim: &Claim, row: &Row) -> ClaimResult {
    match serde_json::from_str::<ClaimRow>(&row.value) {
        Ok(found) if found.claim_id == claim.row.claim_id => ClaimResult::Acquired { row_version: row.version },
        Ok(found) => ClaimResult::AlreadyClaimed(found),
        Err(error) => ClaimResult::Failed {
            row_may_exist: false,
            error: PlatformError::Protocol { operation: "claim", reason: error.to_string() },
        },
    }
}

fn encode(row: &ClaimRow) -> String {
    serde_json::to_string(row).unwrap_or_default()
}

/// An update that closes a claim, either by storing the request's final result or by deleting the row.
#[derive(Debug, Clone)]
pub(crate) struct ClaimClosing {
    pub(crate) claim: Claim,
    /// Final result of the request, or `None` to delete the row because the request did not run.
    pub(crate) result: Option<FinalResult>,
    /// How often to look for the row again if it is missing. The transaction that inserts it may take effect after the
    /// claim was reported as failed.
    pub(crate) rechecks_left: u32,
}

/// Closes one claim; its row version need not be known. Returns `false` if the claim has no row.
///
/// # Errors
/// Fails if the platform does not acknowledge the update. The call is idempotent, so it can be retried.
pub(crate) fn close(platform: &dyn Platform, closing: &ClaimClosing) -> Result<bool, PlatformError> {
    let key = &closing.claim.row_key;
    let Some(row) = platform.read(key)? else { return Ok(false) };
    let Ok(mut found) = serde_json::from_str::<ClaimRow>(&row.value) else { return Ok(false) };
    if found.claim_id != closing.claim.row.claim_id {
        return Ok(false);
    }
    if found.ending.is_some() {
        return Ok(true);
    }
    let transaction = Transaction::new().require_version(key, row.version);
    let transaction = match &closing.result {
        None => transaction.delete(key),
        Some(result) => {
            found.ending = Some(store_large_body(platform, &closing.claim, result)?);
            transaction.put(key, &encode(&found))
        }
    };
    if let CommitOutcome::Conflict { .. } = platform.commit(&transaction)? {
        // The row was deleted or replaced meanwhile, or an earlier attempt to close it took effect late.
        if !holds_claim(platform.read(key)?.as_ref(), &found.claim_id) {
            delete_large_body(platform, key, &found)?;
        }
    }
    Ok(true)
}

/// Closes several claims, given with their row versions, in one transaction.
///
/// # Errors
/// Fails if the platform does not acknowledge the transaction, or if any row has changed. The claims can then be
/// closed one by one with [`close`].
pub(crate) fn close_batch(platform: &dyn Platform, batch: &[(ClaimClosing, u64)]) -> Result<(), PlatformError> {
    let mut transaction = Transaction::new();
    for (closing, row_version) in batch {
        let key = &closing.claim.row_key;
        transaction = transaction.require_version(key, *row_version);
        transaction = match &closing.result {
            None => transaction.delete(key),
            Some(result) => {
                let ending = Some(store_large_body(platform, &closing.claim, result)?);
                transaction.put(key, &encode(&ClaimRow { ending, ..closing.claim.row.clone() }))
            }
        };
    }
    match platform.commit(&transaction)? {
        CommitOutcome::Committed { .. } => Ok(()),
        CommitOutcome::Conflict { key, .. } => {
            Err(PlatformError::Protocol { operation: "close", reason: format!("row {key} has changed") })
        }
    }
}

/// Moves a response body that is too large for a row to the object store, and returns the result to put into the row.
fn store_large_body(
    platform: &dyn Platform,
    claim: &Claim,
    result: &FinalResult,
) -> Result<FinalResult, PlatformError> {
    let FinalResult::Answered(response) = result else { return Ok(result.clone()) };
    if response.body_base64.len() <= MAX_INLINE_BASE64_BYTES {
        return Ok(result.clone());
    }
    let object = object_key(&claim.row_key, &claim.row.claim_id);
    platform.put_object(&object, response.body_base64.as_bytes())?;
    let stored = StoredResponse { body_base64: String::new(), object: Some(object), ..response.clone() };
    Ok(FinalResult::Answered(stored))
}

/// Whether a row is that of the claim with this id.
fn holds_claim(row: Option<&Row>, claim_id: &str) -> bool {
    let found = row.and_then(|row| serde_json::from_str::<ClaimRow>(&row.value).ok());
    found.is_some_and(|found| &*found.claim_id == claim_id)
}

/// Key of a large response body in the object store. It holds the claim's id, so that deleting the body of an expired
/// claim cannot delete that of a later claim of the same key.
fn object_key(row_key: &str, claim_id: &str) -> Arc<str> {
    format!("{row_key}/{claim_id}").into()
}

/// Deletes the response body of a claim from the object store, before its row is deleted or replaced. Without a result
/// in the row, a body may have been stored by a closing that did not complete.
fn delete_large_body(platform: &dyn Platform, row_key: &str, row: &ClaimRow) -> Result<(), PlatformError> {
    let object = match &row.ending {
        Some(FinalResult::Answered(response)) => response.object.clone(),
        Some(FinalResult::AnswerDropped | FinalResult::Unknown) => None,
        None => Some(object_key(row_key, &row.claim_id)),
    };
    object.map_or(Ok(()), |object| platform.delete_object(&object))
}

/// Fetches the response body from the object store if it is not inline. An object that is missing or malformed gives
/// [`FinalResult::AnswerDropped`].
///
/// # Errors
/// Fails if the platform does not answer.
pub(crate) fn load_body(platform: &dyn Platform, response: StoredResponse) -> Result<FinalResult, PlatformError> {
    let Some(object) = &response.object else { return Ok(FinalResult::Answered(response)) };
    match platform.get_object(object)?.map(String::from_utf8) {
        Some(Ok(body_base64)) => Ok(FinalResult::Answered(StoredResponse { body_base64, object: None, ..response })),
        _ => Ok(FinalResult::AnswerDropped),
    }
}

/// Deletes the expired claims, and their response bodies, whose hashed keys start with `hash_prefix`, and returns their number.
///
/// # Errors
/// Fails if the platform does not answer.
pub(crate) fn delete_expired(platform: &dyn Platform, hash_prefix: &str, now_s: i64) -> Result<usize, PlatformError> {
    let mut count = 0;
    let mut transaction = Transaction::new();
    for row in platform.scan(&format!("{CLAIM_PREFIX}{hash_prefix}"))? {
        let Ok(claim_row) = serde_json::from_str::<ClaimRow>(&row.value) else { continue };
        if claim_row.expires_at_s > now_s {
            continue;
        }
        delete_large_body(platform, &row.key, &claim_row)?;
        transaction = transaction.require_version(&row.key, row.version).delete(&row.key);
        count += 1;
        if transaction.writes.len() >= MAX_ROWS_PER_TRANSACTION {
            platform.commit(&std::mem::take(&mut transaction))?;
        }
    }
    if !transaction.writes.is_empty() {
        platform.commit(&transaction)?;
    }
    Ok(count)
}
