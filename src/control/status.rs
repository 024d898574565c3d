//! What this daemon knows of jobs' states, so that it can answer for them on its own.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;

use super::{Node, LEADER_PARTITION, PENDING_KEY, PHASE_TABLE};
use crate::sched::model::{JobId, JobPhase};
use crate::sched::record::{decode_pending, decode_published_phases};
use crate::store::{StoreError, StoredRow};

/// Longest wait for a change.
const WAIT_MS: u64 = 1_000;
/// Pause between two looks, in which changes gather.
const PAUSE_MS: u64 = 200;
const RETRY_MS: u64 = 200;

/// See the module.
#[derive(Debug, Default)]
pub(super) struct StatusView {
    phases: HashMap<JobId, JobPhase>,
    /// Jobs that are known to be stored.
    stored: HashSet<JobId>,
    pending: HashMap<Arc<str>, u64>,
}

impl StatusView {
    /// State of a job, if it is known to exist.
    pub(super) fn phase(&self, id: &str) -> Option<JobPhase> {
        if let Some(phase) = self.phases.get(id) {
            return Some(*phase);
        }
        self.stored.contains(id).then_some(JobPhase::Queued)
    }

    pub(super) fn note_stored(&mut self, id: &JobId) {
        self.stored.insert(id.clone());
    }

    /// Jobs of a queue that have not begun.
    pub(super) fn pending(&self, queue: &str) -> u64 {
        self.pending.get(queue).copied().unwrap_or(0)
    }

    fn take_all(&mut self, rows: &[StoredRow]) {
        for row in rows {
            self.take(row);
        }
    }

    /// Takes what the leader wrote. A final phase stands.
    pub(super) fn take(&mut self, row: &StoredRow) {
        let Some(value) = &row.value else { return };
        if &*row.at.key == PENDING_KEY {
            match decode_pending(value) {
                Ok(pending) => self.pending = pending.into_iter().collect(),
                Err(error) => log::warn!("error={error} outcome=pending_unreadable"),
            }
            return;
        }
        match decode_published_phases(value) {
            Ok(phases) => {
                for (id, phase) in phases {
                    self.take_phase(id, phase);
                }
            }
            Err(error) => log::warn!("row={} error={error} outcome=phases_unreadable", row.at.key),
        }
    }

    fn take_phase(&mut self, id: JobId, phase: JobPhase) {
        let known = self.phases.entry(id).or_insert(phase);
        if !known.is_final() {
            *known = phase;
        }
    }
}

/// Keeps the view up to date.
pub(super) async fn follow(node: Rc<Node>) {
    let mut version = None;
    loop {
        let read = match version {
            None => node.store.read_all(PHASE_TABLE, LEADER_PARTITION).await,
            Some(after) => node.store.changes(PHASE_TABLE, after, WAIT_MS).await,
        };
        match read {
            Ok(page) => {
                node.store_answered();
                node.status.borrow_mut().take_all(&page.rows);
                version = Some(page.version.max(version.unwrap_or(0)));
                node.sleep_ms(PAUSE_MS).await;
            }
            Err(StoreError::HistoryGone) => version = None,
            Err(error) => {
                log::debug!("error={error} outcome=phases_unread");
                node.sleep_ms(RETRY_MS).await;
            }
        }
    }
}
