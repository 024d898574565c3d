//! Requests in progress in this daemon.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::sync::Arc;

use futures::channel::mpsc::UnboundedSender;

use crate::dispatch::{AttemptId, RequestId, Verdict};
use crate::platform::HostEntry;

/// An attempt to make.
#[derive(Debug, Clone)]
pub(crate) struct AttemptOrder {
    pub(crate) attempt: AttemptId,
    pub(crate) endpoint: Arc<HostEntry>,
    pub(crate) deadline_us: u64,
}

/// Next thing to do for a request.
#[derive(Debug, Clone)]
pub(crate) enum Step {
    Attempt(AttemptOrder),
    Finish(Verdict),
}

/// See the module.
#[derive(Debug)]
pub(crate) struct RequestTable {
    incarnation: u64,
    last_id: Cell<u64>,
    waiting_for_step: RefCell<HashMap<RequestId, UnboundedSender<Step>>>,
}

impl RequestTable {
    pub(crate) fn new(incarnation: u64) -> RequestTable {
        RequestTable { incarnation, last_id: Cell::new(0), waiting_for_step: RefCell::default() }
    }

    /// A new request's id.
    pub(crate) fn next_id(&self) -> RequestId {
        self.last_id.set(self.last_id.get() + 1);
        RequestId(self.last_id.get())
    }

    /// Name of a request that no other daemon's request has.
    pub(crate) fn name(&self, id: RequestId) -> String {
        format!("{:08x}-{}", self.incarnation, id.0)
    }

    pub(super) fn insert(&self, id: RequestId, steps: UnboundedSender<Step>) {
        self.waiting_for_step.borrow_mut().insert(id, steps);
    }

    pub(super) fn remove(&self, id: RequestId) {
        self.waiting_for_step.borrow_mut().remove(&id);
    }

    pub(super) fn send(&self, id: RequestId, step: Step) {
        if let Some(steps) = self.waiting_for_step.borrow().get(&id) {
            // The receiver lives until the request is removed from this table.
            let _ = steps.unbounded_send(step);
        }
    }

    /// Names of the requests in progress.
    pub(crate) fn names(&self) -> Vec<String> {
        let mut ids: Vec<RequestId> = self.waiting_for_step.borrow().keys().copied().collect();
        ids.sort();
        ids.into_iter().map(|id| self.name(id)).collect()
    }

    /// Requests in progress.
    pub(crate) fn len(&self) -> usize {
        self.waiting_for_step.borrow().len()
    }
}
