//! Fencing tokens of the calls to workers. All calls of a term carry its token, except those to workers that have restarted
//! under their IDs: these carry a higher one, so that the workers refuse calls which were meant for their former
//! incarnations.
//!
//! A raised token is the version of a transaction that the leader has committed. It is higher than the token of its term, and
//! lower than that of any later term.

#[cfg(test)]
mod worker_fences_tests;

use std::cell::RefCell;
use std::sync::Arc;

use foldhash::HashMap;

#[derive(Debug, Default)]
pub(super) struct WorkerFences {
    raised: RefCell<HashMap<Arc<str>, u64>>,
    /// Workers whose token is to be raised with the next transaction.
    requested: RefCell<Vec<Arc<str>>>,
}

impl WorkerFences {
    /// Token for calls to a worker in the term of `fencing_token`.
    pub(super) fn token_for(&self, worker: &str, fencing_token: u64) -> u64 {
        self.raised.borrow().get(worker).copied().unwrap_or(fencing_token)
    }

    pub(super) fn request(&self, worker: Arc<str>) {
        let mut requested = self.requested.borrow_mut();
        if !requested.contains(&worker) {
            requested.push(worker);
        }
    }

    /// Raises the requested tokens to the version of the latest committed transaction. Returns the workers for which that is
    /// higher than before; the others wait for the next transaction.
    pub(super) fn raise(&self, fencing_token: u64, committed_version: u64) -> Vec<Arc<str>> {
        let mut raised = Vec::new();
        for worker in self.requested.take() {
            if committed_version <= self.token_for(&worker, fencing_token) {
                self.requested.borrow_mut().push(worker);
                continue;
            }
            self.raised.borrow_mut().insert(worker.clone(), committed_version);
            raised.push(worker);
        }
        raised
    }
}
