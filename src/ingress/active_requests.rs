//! Requests in progress in this daemon, with the channel over which each gets its next step.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use futures::channel::mpsc::UnboundedSender;

use crate::dispatch::{AttemptId, LocalRequestId, Verdict};
use crate::platform::HostEntry;

/// Instruction to send a request to an endpoint.
#[derive(Debug, Clone)]
pub(crate) struct AttemptCommand {
    pub(crate) attempt: AttemptId,
    pub(crate) endpoint: Arc<HostEntry>,
    /// When to abandon the attempt.
    pub(crate) deadline_us: u64,
}

/// Next step of a request, as decided by the dispatcher.
#[derive(Debug, Clone)]
pub(crate) enum Step {
    Attempt(AttemptCommand),
    Finish(Verdict),
}

/// Table of the requests in progress, shared by all lanes.
#[derive(Debug)]
pub(crate) struct ActiveRequests {
    incarnation: u64,
    last_id: AtomicU64,
    steps: Mutex<HashMap<LocalRequestId, UnboundedSender<Step>>>,
}

impl ActiveRequests {
    pub(crate) fn new(incarnation: u64) -> ActiveRequests {
        ActiveRequests { incarnation, last_id: AtomicU64::new(0), steps: Mutex::default() }
    }

    /// Allocates the local id of a new request, which is unique within this run of the daemon.
    pub(crate) fn next_id(&self) -> LocalRequestId {
        LocalRequestId(self.last_id.fetch_add(1, Ordering::Relaxed) + 1)
    }

    /// Returns the request id that is sent in headers. It is unique across daemons, because it contains the
    /// incarnation.
    pub(crate) fn request_id(&self, local_id: LocalRequestId) -> String {
        format!("{:08x}-{}", self.incarnation, local_id.0)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<LocalRequestId, UnboundedSender<Step>>> {
        self.steps.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn insert(&self, local_id: LocalRequestId, steps: UnboundedSender<Step>) {
        self.lock().insert(local_id, steps);
    }

    pub(super) fn remove(&self, local_id: LocalRequestId) {
        self.lock().remove(&local_id);
    }

    /// Sends the next step to a request, which may be served by another thread.
    pub(crate) fn send(&self, local_id: LocalRequestId, step: Step) {
        if let Some(steps) = self.lock().get(&local_id) {
            // The receiver lives until the request is removed from this table.
            let _ = steps.unbounded_send(step);
        }
    }

    /// Request ids of all requests in progress, in the order of their arrival.
    pub(crate) fn request_ids(&self) -> Vec<String> {
        let mut local_ids: Vec<LocalRequestId> = self.lock().keys().copied().collect();
        local_ids.sort();
        local_ids.into_iter().map(|local_id| self.request_id(local_id)).collect()
    }

    /// Number of requests in progress.
    pub(crate) fn len(&self) -> usize {
        self.lock().len()
    }
}
