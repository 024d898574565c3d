//! Leader election over two rows of the store.
//!
//! Each transaction of the leader rewrites the sequence row, also when there is nothing else to write. A daemon that
//! sees this row unchanged for long enough overwrites the owner row, on condition that its version is still the one it
//! has read. Only one daemon succeeds, and the new version of the owner row is its fencing token.

use std::rc::Rc;

use rand::Rng;

use super::leader::{self, Claim};
use super::{ControlDaemon, LEADER_PARTITION, LEADER_TABLE};
use crate::clock::US_PER_MS;
use crate::row_store::{
    RowId, RowStoreCommitOutcome, RowStoreError, RowStoreTransaction, StoredRow, ABSENT_ROW_VERSION,
};

/// Time without a change of the sequence row after which another daemon takes over.
const TAKEOVER_AFTER_MS: u64 = 1_400;
/// Daemons with a lower CPU limit than this, in cores, count as small: they wait longer before they claim leadership,
/// so that a larger daemon leads if possible.
const SMALL_DAEMON_CPU_SHARE: f64 = 0.2;
const SMALL_DAEMON_DELAY_MS: u64 = 1_500;
/// Number of polls that must find the same version of the sequence row before a takeover.
const MIN_POLLS: u32 = 3;
const POLL_INTERVAL_MS: u64 = 400;
/// Poll interval once a poll has found the sequence row unchanged.
const FAST_POLL_INTERVAL_MS: u64 = 150;
const POLL_JITTER_MS: u64 = 120;

pub(super) const OWNER_KEY: &str = "owner";
pub(super) const SEQUENCE_KEY: &str = "sequence";
/// Value of the sequence row after the leader has stepped down.
pub(super) const RELEASED: &[u8] = b"released";

/// How long the sequence row has been unchanged, as observed by polling.
#[derive(Debug, Default)]
struct LeaderObservation {
    sequence_version: u64,
    unchanged_since_us: u64,
    /// Number of polls that found this version; 0 restarts the observation.
    polls: u32,
}

pub(super) fn owner_row() -> RowId {
    RowId::new(LEADER_TABLE, LEADER_PARTITION, OWNER_KEY)
}

pub(super) fn sequence_row() -> RowId {
    RowId::new(LEADER_TABLE, LEADER_PARTITION, SEQUENCE_KEY)
}

/// Polls the leader rows until the daemon stops, and leads whenever it can claim leadership.
pub(super) async fn run(daemon: Rc<ControlDaemon>) {
    // The random part distinguishes this process's claims from those of an earlier process with the same name.
    let claim_value = format!("{} {:016x}", daemon.settings.name, rand::rng().random::<u64>()).into_bytes();
    let mut observed = LeaderObservation::default();
    while !daemon.is_stopping.get() {
        match daemon.store.read_partition(LEADER_TABLE, LEADER_PARTITION).await {
            Ok(page) => {
                let owner = find_row(&page.rows, OWNER_KEY);
                let sequence = find_row(&page.rows, SEQUENCE_KEY);
                if let Some(claim) = try_claim(&daemon, &mut observed, owner, sequence, &claim_value).await {
                    leader::lead(&daemon, claim).await;
                    observed = LeaderObservation::default();
                }
            }
            Err(error) => {
                log::debug!("error={error} outcome=leader_read_failed");
                // The leader's inactivity counts only while this daemon can read the store.
                observed.polls = 0;
            }
        }
        let interval_ms = if observed.polls > 1 { FAST_POLL_INTERVAL_MS } else { POLL_INTERVAL_MS };
        daemon.sleep_ms(interval_ms + rand::rng().random_range(0..POLL_JITTER_MS)).await;
    }
}

fn find_row<'a>(rows: &'a [StoredRow], key: &str) -> Option<&'a StoredRow> {
    rows.iter().find(|row| &*row.id.key == key && row.value.is_some())
}

/// Claims leadership if there is no active leader.
async fn try_claim(
    daemon: &Rc<ControlDaemon>,
    observed: &mut LeaderObservation,
    owner: Option<&StoredRow>,
    sequence: Option<&StoredRow>,
    claim_value: &[u8],
) -> Option<Claim> {
    let now_us = daemon.now_us();
    let owner_version = owner.map_or(ABSENT_ROW_VERSION, |row| row.version);
    let sequence_version = sequence.map_or(ABSENT_ROW_VERSION, |row| row.version);
    if owner.is_some_and(|row| row.value.as_deref() == Some(claim_value)) {
        // An earlier claim of this process is in force: its answer was lost, or this daemon could not lead at the time.
        return Some(Claim { fencing_token: owner_version, sequence_version, claimed_us: now_us });
    }
    if now_us < daemon.no_claim_until_us.get() {
        return None;
    }
    let is_small = daemon.settings.cpu_share < SMALL_DAEMON_CPU_SHARE;
    let is_released = sequence.is_some_and(|row| row.value.as_deref() == Some(RELEASED));
    if is_small || (owner.is_some() && !is_released) {
        if sequence_version != observed.sequence_version || observed.polls == 0 {
            *observed = LeaderObservation { sequence_version, unchanged_since_us: now_us, polls: 1 };
            return None;
        }
        observed.polls += 1;
        let delay_ms = if is_small { SMALL_DAEMON_DELAY_MS } else { 0 };
        let is_vacant = owner.is_none() || is_released;
        let wait_ms = if is_vacant { delay_ms } else { TAKEOVER_AFTER_MS + delay_ms };
        if observed.polls < MIN_POLLS || now_us < observed.unchanged_since_us + wait_ms * US_PER_MS {
            return None;
        }
    }
    write_claim(daemon, owner_version, claim_value).await
}

async fn write_claim(daemon: &Rc<ControlDaemon>, owner_version: u64, claim_value: &[u8]) -> Option<Claim> {
    let transaction = RowStoreTransaction {
        expected: vec![(owner_row(), owner_version)],
        writes: vec![(owner_row(), claim_value.to_vec()), (sequence_row(), Vec::new())],
        removals: Vec::new(),
    };
    match daemon.store.commit(&transaction).await {
        Ok(RowStoreCommitOutcome::Applied { version }) => {
            Some(Claim { fencing_token: version, sequence_version: version, claimed_us: daemon.now_us() })
        }
        Ok(RowStoreCommitOutcome::Conflict { .. }) => None,
        Err(RowStoreError::ResponseLost(reason)) => {
            log::warn!("error={reason} outcome=claim_unanswered");
            None
        }
        Err(error) => {
            log::debug!("error={error} outcome=claim_failed");
            None
        }
    }
}
