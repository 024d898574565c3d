//! Leader election over two rows of the store.
//!
//! Each transaction of the leader rewrites the sequence row, also when there is nothing else to write. A daemon that
//! sees this row unchanged for long enough overwrites the owner row, on condition that its version is still the one it
//! has read. Only one daemon succeeds, and the new version of the owner row is its fencing token. [`Candidacy`] decides
//! when.

use std::rc::Rc;
use std::sync::Arc;

use rand::Rng;

use super::candidacy::{leader_name, Candidacy, Decision};
use super::leader::{self, Claim};
use super::term::claim_transaction;
use super::{ControlDaemon, LEADER_PARTITION, LEADER_TABLE};
use crate::row_store::{RowId, RowStoreCommitOutcome, RowStoreError, StoredRow};

const POLL_INTERVAL_MS: u64 = 400;
/// Poll interval once a poll has found the sequence row unchanged.
const FAST_POLL_INTERVAL_MS: u64 = 150;
const POLL_JITTER_MS: u64 = 120;

pub(super) const OWNER_KEY: &str = "owner";
pub(super) const SEQUENCE_KEY: &str = "sequence";

pub(super) fn owner_row() -> RowId {
    RowId::new(LEADER_TABLE, LEADER_PARTITION, OWNER_KEY)
}

pub(super) fn sequence_row() -> RowId {
    RowId::new(LEADER_TABLE, LEADER_PARTITION, SEQUENCE_KEY)
}

/// Polls the leader rows until the daemon stops, and leads whenever it can claim leadership.
pub(super) async fn run(daemon: Rc<ControlDaemon>) {
    let mut candidacy = Candidacy::new(&daemon.settings.name, daemon.settings.cpu_share, rand::rng().random());
    while !daemon.is_stopping.get() {
        match daemon.store.read_partition(LEADER_TABLE, LEADER_PARTITION).await {
            Ok(page) => {
                let owner = find_row(&page.rows, OWNER_KEY);
                let sequence = find_row(&page.rows, SEQUENCE_KEY);
                *daemon.known_leader.borrow_mut() = leader_name(owner, sequence).map(Arc::from);
                if let Some(claim) = try_claim(&daemon, &mut candidacy, owner, sequence).await {
                    *daemon.known_leader.borrow_mut() = Some(daemon.settings.name.clone());
                    leader::lead(&daemon, claim).await;
                    *daemon.known_leader.borrow_mut() = None;
                    candidacy.forget_observation();
                }
            }
            Err(error) => {
                log::debug!("error={error} outcome=leader_read_failed");
                // The leader's inactivity counts only while this daemon can read the store.
                candidacy.forget_observation();
            }
        }
        let interval_ms = if candidacy.suspects_leader() { FAST_POLL_INTERVAL_MS } else { POLL_INTERVAL_MS };
        daemon.sleep_ms(interval_ms + rand::rng().random_range(0..POLL_JITTER_MS)).await;
    }
}

fn find_row<'a>(rows: &'a [StoredRow], key: &str) -> Option<&'a StoredRow> {
    rows.iter().find(|row| &*row.id.key == key && row.value.is_some())
}

/// Claims leadership if there is no active leader.
async fn try_claim(
    daemon: &Rc<ControlDaemon>,
    candidacy: &mut Candidacy,
    owner: Option<&StoredRow>,
    sequence: Option<&StoredRow>,
) -> Option<Claim> {
    let now_us = daemon.now_us();
    match candidacy.decide(now_us, daemon.no_claim_until_us.get(), owner, sequence) {
        Decision::Wait => None,
        Decision::Lead { fencing_token, sequence_version } => {
            Some(Claim { fencing_token, sequence_version, claimed_us: now_us })
        }
        Decision::Claim { owner_version } => write_claim(daemon, owner_version, candidacy.claim_value()).await,
    }
}

async fn write_claim(daemon: &Rc<ControlDaemon>, owner_version: u64, claim_value: &[u8]) -> Option<Claim> {
    match daemon.store.commit(&claim_transaction(owner_version, claim_value)).await {
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
