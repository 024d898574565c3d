//! Claims on callers' keys by rows of the platform's table, written in groups.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::{Final, KeptAnswer};
use crate::platform::{Platform, PlatformError};
use crate::sheet::hex;
use crate::table::{CommitOutcome, Row, Transaction, ABSENT};

/// Prefix of the claims' rows.
pub(crate) const CLAIM_PREFIX: &str = "claims/";
/// Claims written by one transaction.
pub(crate) const MAX_GROUP: usize = 64;
/// Keys are remembered for this time.
pub(crate) const RETENTION_S: i64 = 24 * 3_600;
/// Larger answers are kept in the object store.
const MAX_INLINE_BASE64: usize = 16 * 1024;
const EXTRA_TRIES: usize = 3;

/// A claim's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ClaimRow {
    /// Tells this claim from every other one of the same key.
    pub(crate) claim_id: Arc<str>,
    /// Daemon that may run the request.
    pub(crate) daemon: Arc<str>,
    /// Digest of the request.
    pub(crate) digest: Arc<str>,
    /// Seconds since the Unix epoch after which the row is deleted.
    pub(crate) expires_at_s: i64,
    /// End of the request, once there is one.
    pub(crate) ending: Option<Final>,
}

/// A claim to be made, or one that was made.
#[derive(Debug, Clone)]
pub(crate) struct Claim {
    pub(crate) row_key: Arc<str>,
    pub(crate) row: ClaimRow,
}

/// What became of a claim.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Claimed {
    /// This daemon may run the request; the row has this version.
    Mine { row_version: u64 },
    /// The key was claimed before.
    Taken(ClaimRow),
    /// The table did not confirm. If `maybe_written`, the row may exist and must be released.
    Failed { maybe_written: bool, error: PlatformError },
}

/// Row key for a caller's key, which may hold any characters.
pub(crate) fn row_key(pool: &str, key: &str) -> Arc<str> {
    let mut hasher = Sha256::new();
    hasher.update(pool.as_bytes());
    hasher.update(b"\n");
    hasher.update(key.as_bytes());
    format!("{CLAIM_PREFIX}{}", hex(&hasher.finalize())).into()
}

/// Makes several claims with as few transactions as possible. Their row keys differ.
pub(crate) fn claim(platform: &dyn Platform, claims: &[Claim]) -> Vec<Claimed> {
    let mut results: Vec<Option<Claimed>> = vec![None; claims.len()];
    let mut lost = false;
    for _ in 0..claims.len() + EXTRA_TRIES {
        let open: Vec<usize> = (0..claims.len()).filter(|index| results[*index].is_none()).collect();
        if open.is_empty() {
            break;
        }
        let mut transaction = Transaction::new();
        for index in &open {
            let Claim { row_key, row } = &claims[*index];
            transaction = transaction.require_version(row_key, ABSENT).put(row_key, &encode(row));
        }
        match platform.commit(&transaction) {
            Ok(CommitOutcome::Committed { version }) => {
                fill(&mut results, &Claimed::Mine { row_version: version });
            }
            Ok(CommitOutcome::Conflict { key, .. }) => {
                let Some(index) = open.into_iter().find(|index| claims[*index].row_key == key) else { break };
                match platform.read(&key) {
                    Ok(Some(row)) => results[index] = Some(settle(&claims[index], &row)),
                    // It was released meanwhile.
                    Ok(None) => {}
                    Err(error) => fill(&mut results, &Claimed::Failed { maybe_written: lost, error }),
                }
            }
            // The next try finds the rows, if they were written.
            Err(PlatformError::AnswerLost { .. }) => lost = true,
            Err(error) => fill(&mut results, &Claimed::Failed { maybe_written: lost, error }),
        }
    }
    let error = PlatformError::AnswerLost { operation: "claim", reason: "no answer after several tries".to_owned() };
    fill(&mut results, &Claimed::Failed { maybe_written: lost, error });
    results.into_iter().flatten().collect()
}

fn fill(results: &mut [Option<Claimed>], with: &Claimed) {
    for result in results.iter_mut().filter(|result| result.is_none()) {
        *result = Some(with.clone());
    }
}

/// A row with this claim's id was written by an earlier try whose answer was lost.
fn settle(claim: &Claim, row: &Row) -> Claimed {
    match serde_json::from_str::<ClaimRow>(&row.value) {
        Ok(found) if found.claim_id == claim.row.claim_id => Claimed::Mine { row_version: row.version },
        Ok(found) => Claimed::Taken(found),
        Err(error) => Claimed::Failed {
            maybe_written: false,
            error: PlatformError::Protocol { operation: "claim", reason: error.to_string() },
        },
    }
}

fn encode(row: &ClaimRow) -> String {
    serde_json::to_string(row).unwrap_or_default()
}

/// How a claim ends.
#[derive(Debug, Clone)]
pub(crate) struct Closing {
    pub(crate) claim: Claim,
    /// The request's end, or `None` if it did not run and the key becomes free.
    pub(crate) ending: Option<Final>,
    /// Further looks for a row that may be written late, by a transaction that was given up.
    pub(crate) looks_left: u32,
}

/// Writes the end of one claim, wherever its row stands; `false` if there is no row of this claim.
///
/// # Errors
/// Fails if the platform does not confirm; doing it again is safe.
pub(crate) fn close(platform: &dyn Platform, closing: &Closing) -> Result<bool, PlatformError> {
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
    let transaction = match &closing.ending {
        None => transaction.delete(key),
        Some(ending) => {
            found.ending = Some(store_large(platform, key, ending)?);
            transaction.put(key, &encode(&found))
        }
    };
    // After a conflict, somebody else has deleted the row.
    platform.commit(&transaction).map(|_| true)
}

/// Writes the ends of several claims whose rows have known versions, by one transaction.
///
/// # Errors
/// Fails if the platform does not confirm, or if some row has changed; [`close`] then does it one by one.
pub(crate) fn close_group(platform: &dyn Platform, group: &[(Closing, u64)]) -> Result<(), PlatformError> {
    let mut transaction = Transaction::new();
    for (closing, row_version) in group {
        let key = &closing.claim.row_key;
        transaction = transaction.require_version(key, *row_version);
        transaction = match &closing.ending {
            None => transaction.delete(key),
            Some(ending) => {
                let ending = Some(store_large(platform, key, ending)?);
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

fn store_large(platform: &dyn Platform, row_key: &str, ending: &Final) -> Result<Final, PlatformError> {
    let Final::Answered(answer) = ending else { return Ok(ending.clone()) };
    if answer.body_base64.len() <= MAX_INLINE_BASE64 {
        return Ok(ending.clone());
    }
    platform.put_object(row_key, answer.body_base64.as_bytes())?;
    let kept = KeptAnswer { body_base64: String::new(), object: Some(row_key.into()), ..answer.clone() };
    Ok(Final::Answered(kept))
}

/// Fetches the body of an answer that was too large for its row.
///
/// # Errors
/// Fails if the platform does not answer.
pub(crate) fn load_large(platform: &dyn Platform, answer: KeptAnswer) -> Result<Final, PlatformError> {
    let Some(object) = &answer.object else { return Ok(Final::Answered(answer)) };
    match platform.get_object(object)?.map(String::from_utf8) {
        Some(Ok(body_base64)) => Ok(Final::Answered(KeptAnswer { body_base64, object: None, ..answer })),
        _ => Ok(Final::AnswerDropped),
    }
}

/// Deletes expired claims whose digests start with `part`; returns their number.
///
/// # Errors
/// Fails if the platform does not answer.
pub(crate) fn sweep(platform: &dyn Platform, part: &str, now_s: i64) -> Result<usize, PlatformError> {
    let mut count = 0;
    let mut transaction = Transaction::new();
    for row in platform.scan(&format!("{CLAIM_PREFIX}{part}"))? {
        let Ok(claim) = serde_json::from_str::<ClaimRow>(&row.value) else { continue };
        if claim.expires_at_s > now_s {
            continue;
        }
        transaction = transaction.require_version(&row.key, row.version).delete(&row.key);
        count += 1;
        if transaction.writes.len() >= MAX_GROUP {
            platform.commit(&std::mem::take(&mut transaction))?;
        }
    }
    if !transaction.writes.is_empty() {
        platform.commit(&transaction)?;
    }
    Ok(count)
}
