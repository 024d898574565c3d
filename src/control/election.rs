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
use crate::platform::row_store::RowStoreClient;
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

/// The owner row and the sequence row, as of one moment.
#[derive(Debug)]
pub(super) struct LeaderRows(Vec<StoredRow>);

impl LeaderRows {
    pub(super) async fn read(store: &RowStoreClient) -> Result<LeaderRows, RowStoreError> {
        Ok(LeaderRows(store.read_partition(LEADER_TABLE, LEADER_PARTITION).await?.rows))
    }

    pub(super) fn owner(&self) -> Option<&StoredRow> {
        self.find(OWNER_KEY)
    }

    pub(super) fn sequence(&self) -> Option<&StoredRow> {
        self.find(SEQUENCE_KEY)
    }

    fn find(&self, key: &str) -> Option<&StoredRow> {
        self.0.iter().find(|row| &*row.id.key == key && row.value.is_some())
    }
}

/// Polls the leader rows until the daemon stops, and leads whenever it can claim leadership.
pub(super) async fn run(daemon: Rc<ControlDaemon>) {
    let mut candidacy = Candidacy::new(&daemon.settings.name, daemon.settings.cpu_share, rand::rng().random());
    while !daemon.is_stopping.get() {
        match LeaderRows::read(&daemon.store).await {
            Ok(rows) => {
                *daemon.known_leader.borrow_mut() = leader_name(rows.owner(), rows.sequence()).map(Arc::from);
                if let Some(claim) = try_claim(&daemon, &mut candidacy, &rows).await {
                    lead_term(&daemon, &mut candidacy, claim).await;
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

/// Claims leadership if there is no active leader.
async fn try_claim(daemon: &Rc<ControlDaemon>, candidacy: &mut Candidacy, rows: &LeaderRows) -> Option<Claim> {
    let now_us = daemon.now_us();
    match candidacy.decide(now_us, daemon.no_claim_until_us.get(), rows.owner(), rows.sequence()) {
        Decision::Wait => None,
        Decision::Lead { fencing_token, sequence_version } => {
            Some(Claim { fencing_token, sequence_version, claimed_us: now_us })
        }
        Decision::Claim { owner_version } => write_claim(daemon, owner_version, candidacy.claim_value()).await,
    }
}

/// Leads until the term has ended.
async fn lead_term(daemon: &Rc<ControlDaemon>, candidacy: &mut Candidacy, claim: Claim) {
    let Some(catalog) = daemon.catalog() else {
        // Nothing can be placed without a configuration. The claim stays in force, and the next poll finds it again.
        log::warn!("daemon={} outcome=claimed_without_configuration", daemon.settings.name);
        return;
    };
    candidacy.begin_term(claim.fencing_token);
    *daemon.known_leader.borrow_mut() = Some(daemon.settings.name.clone());
    leader::lead(daemon, claim, catalog).await;
    *daemon.known_leader.borrow_mut() = None;
    candidacy.forget_observation();
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
