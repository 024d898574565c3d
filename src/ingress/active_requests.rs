//! Requests in progress in this daemon.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use futures::channel::mpsc::UnboundedSender;

use crate::dispatch::{AttemptId, RequestId, Verdict};
use crate::platform::HostEntry;

/// An attempt to make.
#[derive(Debug, Clone)]
pub(crate) struct AttemptCommand {
    pub(crate) attempt: AttemptId,
    pub(crate) endpoint: Arc<HostEntry>,
    pub(crate) deadline_us: u64,
}

/// Next thing to do for a request.
#[derive(Debug, Clone)]
pub(crate) enum Step {
    Attempt(AttemptCommand),
    Finish(Verdict),
}

/// See the module.
#[derive(Debug)]
pub(crate) struct ActiveRequests {
    incarnation: u64,
    last_id: AtomicU64,
    steps: Mutex<HashMap<RequestId, UnboundedSender<Step>>>,
}

impl ActiveRequests {
    pub(crate) fn new(incarnation: u64) -> ActiveRequests {
        ActiveRequests { incarnation, last_id: AtomicU64::new(0), steps: Mutex::default() }
    }

    /// A new request's id.
    pub(crate) fn next_id(&self) -> RequestId {
        RequestId(self.last_id.fetch_add(1, Ordering::Relaxed) + 1)
    }

    /// Name of a request that no other daemon's request has.
    pub(crate) fn name(&self, id: RequestId) -> String {
        format!("{:08x}-{}", self.incarnation, id.0)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<RequestId, UnboundedSender<Step>>> {
        self.steps.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn insert(&self, id: RequestId, steps: UnboundedSender<Step>) {
        self.lock().insert(id, steps);
    }

    pub(super) fn remove(&self, id: RequestId) {
        self.lock().remove(&id);
    }

    /// Hands the next step to a request, wherever it is served.
    pub(crate) fn send(&self, id: RequestId, step: Step) {
        if let Some(steps) = self.lock().get(&id) {
            // The receiver lives until the request is removed from this table.
            let _ = steps.unbounded_send(step);
        }
    }

    /// Names of the requests in progress.
    pub(crate) fn request_ids(&self) -> Vec<String> {
        let mut ids: Vec<RequestId> = self.lock().keys().copied().collect();
        ids.sort();
        ids.into_iter().map(|id| self.name(id)).collect()
    }

    /// Requests in progress.
    pub(crate) fn len(&self) -> usize {
        self.lock().len()
    }
}
