//! Jobs whose records must be stored, in the order in which they are.
//!
//! The load that this answers: more records change per second than the store takes. A record without which something
//! cannot go on (a start, a published phase) then goes first. A record that only notes progress may wait, so that several
//! changes share one write.

use std::collections::BTreeMap;

use foldhash::HashMap;

use super::model::JobId;

/// How many records that are needed at once may go ahead of one that is not.
const MAX_OVERTAKEN: u64 = 900;

/// What waits for a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Waiting {
    /// A start order, or a phase that callers are to learn of.
    ForRecord,
    /// Only acknowledgements of ended runs.
    Nothing,
}

/// Position in the order; the second part makes it unique.
type Turn = (u64, u64);

/// Jobs whose records must be stored.
#[derive(Debug, Default)]
pub(super) struct DirtyJobs {
    turns: HashMap<JobId, Turn>,
    order: BTreeMap<Turn, JobId>,
    marked_count: u64,
    put_back_count: u64,
}

impl DirtyJobs {
    /// Adds a job, or moves it forward.
    pub(super) fn mark(&mut self, id: &JobId, waiting: Waiting) {
        self.marked_count += 1;
        let turn = match waiting {
            Waiting::ForRecord => (self.marked_count, self.marked_count),
            Waiting::Nothing => (self.marked_count + MAX_OVERTAKEN, self.marked_count),
        };
        if let Some(known) = self.turns.get_mut(id) {
            if turn >= *known {
                return;
            }
            self.order.remove(known);
            *known = turn;
        } else {
            self.turns.insert(id.clone(), turn);
        }
        self.order.insert(turn, id.clone());
    }

    /// Puts jobs whose records were taken but not stored before all others, in this order.
    pub(super) fn put_back<'a>(&mut self, ids: impl DoubleEndedIterator<Item = &'a JobId>) {
        for id in ids.rev() {
            self.remove(id);
            self.put_back_count += 1;
            let turn = (0, u64::MAX - self.put_back_count);
            self.turns.insert(id.clone(), turn);
            self.order.insert(turn, id.clone());
        }
    }

    /// The job whose turn is next.
    pub(super) fn first(&self) -> Option<&JobId> {
        self.order.first_key_value().map(|(_, id)| id)
    }

    pub(super) fn remove(&mut self, id: &JobId) {
        if let Some(turn) = self.turns.remove(id) {
            self.order.remove(&turn);
        }
    }

    pub(super) fn contains(&self, id: &str) -> bool {
        self.turns.contains_key(id)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }
}
