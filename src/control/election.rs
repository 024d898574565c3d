//! Finds out who leads, and takes over when nobody does.
//!
//! The leader's own transactions change one row. A daemon that sees no change of it for a while takes the leader's row
//! under the condition that nobody else has: the store decides, and the row's version is the new fencing token.

use std::rc::Rc;

use rand::Rng;

use super::leader::{self, Claim};
use super::{Node, LEADER_PARTITION, LEAD_TABLE};
use crate::clock::US_PER_MS;
use crate::store::{CommitEnd, RowKey, StoreError, StoreTransaction, StoredRow, ABSENT};

/// Time without any sign of the leader after which another daemon takes over.
const TAKEOVER_AFTER_MS: u64 = 1_400;
/// Daemons with less of a core than this lead only when no larger one does.
const LARGE_SHARE: f64 = 0.2;
const SMALL_DELAY_MS: u64 = 1_500;
/// Looks at the leader's row that must agree before a takeover.
const MIN_LOOKS: u32 = 3;
const LOOK_MS: u64 = 400;
/// Time between looks while the row does not change.
const CLOSE_LOOK_MS: u64 = 150;
const LOOK_JITTER_MS: u64 = 120;

pub(super) const OWNER_KEY: &str = "owner";
pub(super) const SEQUENCE_KEY: &str = "sequence";
/// Value of the sequence row after a leader stepped down.
pub(super) const RELEASED: &[u8] = b"released";

/// What a daemon has seen of the leader.
#[derive(Debug, Default)]
struct Sight {
    sequence: u64,
    since_us: u64,
    looks: u32,
}

pub(super) fn owner_row() -> RowKey {
    RowKey::new(LEAD_TABLE, LEADER_PARTITION, OWNER_KEY)
}

pub(super) fn sequence_row() -> RowKey {
    RowKey::new(LEAD_TABLE, LEADER_PARTITION, SEQUENCE_KEY)
}

/// Watches the leader, and leads when it is this daemon's turn.
pub(super) async fn take_part(node: Rc<Node>) {
    // Tells this process's claims from those of an earlier one with the same name.
    let claim_value = format!("{} {:016x}", node.settings.name, rand::rng().random::<u64>()).into_bytes();
    let mut sight = Sight::default();
    while !node.is_stopping.get() {
        match node.store.read_all(LEAD_TABLE, LEADER_PARTITION).await {
            Ok(page) => {
                let owner = find(&page.rows, OWNER_KEY);
                let sequence = find(&page.rows, SEQUENCE_KEY);
                if let Some(claim) = look(&node, &mut sight, owner, sequence, &claim_value).await {
                    leader::lead(&node, claim).await;
                    sight = Sight::default();
                }
            }
            Err(error) => {
                log::debug!("error={error} outcome=leader_unknown");
                // Silence counts only while the store can be read.
                sight.looks = 0;
            }
        }
        let pause_ms = if sight.looks > 1 { CLOSE_LOOK_MS } else { LOOK_MS };
        node.sleep_ms(pause_ms + rand::rng().random_range(0..LOOK_JITTER_MS)).await;
    }
}

fn find<'a>(rows: &'a [StoredRow], key: &str) -> Option<&'a StoredRow> {
    rows.iter().find(|row| &*row.at.key == key && row.value.is_some())
}

async fn look(
    node: &Rc<Node>,
    sight: &mut Sight,
    owner: Option<&StoredRow>,
    sequence: Option<&StoredRow>,
    claim_value: &[u8],
) -> Option<Claim> {
    let now_us = node.now_us();
    let owner_version = owner.map_or(ABSENT, |row| row.version);
    let sequence_version = sequence.map_or(ABSENT, |row| row.version);
    if owner.is_some_and(|row| row.value.as_deref() == Some(claim_value)) {
        // An earlier claim of this process took effect although its answer was lost.
        return Some(Claim { token: owner_version, sequence: sequence_version, claimed_us: now_us });
    }
    if now_us < node.no_claim_until_us.get() {
        return None;
    }
    let is_small = node.settings.cpu_share < LARGE_SHARE;
    let released = sequence.is_some_and(|row| row.value.as_deref() == Some(RELEASED));
    if is_small || (owner.is_some() && !released) {
        if sequence_version != sight.sequence || sight.looks == 0 {
            *sight = Sight { sequence: sequence_version, since_us: now_us, looks: 1 };
            return None;
        }
        sight.looks += 1;
        let delay_ms = if is_small { SMALL_DELAY_MS } else { 0 };
        let is_free = owner.is_none() || released;
        let wait_ms = if is_free { delay_ms } else { TAKEOVER_AFTER_MS + delay_ms };
        if sight.looks < MIN_LOOKS || now_us < sight.since_us + wait_ms * US_PER_MS {
            return None;
        }
    }
    claim(node, owner_version, claim_value).await
}

async fn claim(node: &Rc<Node>, owner_version: u64, claim_value: &[u8]) -> Option<Claim> {
    let transaction = StoreTransaction {
        expected: vec![(owner_row(), owner_version)],
        writes: vec![(owner_row(), claim_value.to_vec()), (sequence_row(), Vec::new())],
        removals: Vec::new(),
    };
    match node.store.commit(&transaction).await {
        Ok(CommitEnd::Applied { version }) => {
            Some(Claim { token: version, sequence: version, claimed_us: node.now_us() })
        }
        Ok(CommitEnd::Conflict { .. }) => None,
        Err(StoreError::AnswerLost(reason)) => {
            log::warn!("error={reason} outcome=claim_unanswered");
            None
        }
        Err(error) => {
            log::debug!("error={error} outcome=claim_failed");
            None
        }
    }
}
