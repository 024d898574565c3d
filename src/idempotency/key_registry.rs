//! In-memory registry of the keys in use in one daemon, through which retries join the request in progress.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use futures::channel::oneshot;

use super::FinalResult;

/// How a request ended, as seen by retries with the same key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Completion {
    /// The request has a final result.
    Final(Arc<FinalResult>),
    /// The request certainly did not run; the key is free again.
    NotRun,
    /// The result is not known in this daemon: another daemon may hold the key, or the claim could not be checked.
    Unresolved,
}

/// Result of [`KeyRegistry::begin`].
#[derive(Debug)]
pub(crate) enum BeginResult {
    /// The key was not in use and is now reserved. The request must be completed with [`KeyRegistry::complete`].
    New,
    /// The same request is in progress; the receiver gets its completion.
    InProgress(oneshot::Receiver<Completion>),
    /// The same request has completed.
    Completed(Arc<FinalResult>),
    /// The key belongs to a different request.
    Mismatch,
}

#[derive(Debug)]
enum KeyState {
    /// The senders notify the retries that wait for the request to complete.
    InProgress(Vec<oneshot::Sender<Completion>>),
    Completed(Arc<FinalResult>),
}

#[derive(Debug)]
struct KeyEntry {
    digest: Arc<str>,
    state: KeyState,
}

/// Keys in use, with the state of the request of each.
#[derive(Debug, Default)]
pub(crate) struct KeyRegistry {
    entries: HashMap<Arc<str>, KeyEntry>,
    /// Completed keys, oldest first.
    completed: VecDeque<Arc<str>>,
    /// Completed keys whose responses are stored, oldest first, with the size of each response's body as base64.
    responses: VecDeque<(Arc<str>, usize)>,
    response_bytes: usize,
}

impl KeyRegistry {
    /// Reserves the key for a new request, or finds the request that already uses it.
    pub(crate) fn begin(&mut self, key: &Arc<str>, digest: &Arc<str>) -> BeginResult {
        let Some(entry) = self.entries.get_mut(key) else {
            let entry = KeyEntry { digest: digest.clone(), state: KeyState::InProgress(Vec::new()) };
            self.entries.insert(key.clone(), entry);
            return BeginResult::New;
        };
        if entry.digest != *digest {
            return BeginResult::Mismatch;
        }
        match &mut entry.state {
            KeyState::InProgress(waiters) => {
                let (sender, receiver) = oneshot::channel();
                waiters.push(sender);
                BeginResult::InProgress(receiver)
            }
            KeyState::Completed(result) => BeginResult::Completed(result.clone()),
        }
    }

    /// Whether the key's request is in progress or has completed.
    pub(crate) fn contains(&self, key: &str) -> bool {
        self.entries.contains_key(key)
    }

    /// Completes the request in progress and notifies the retries that wait for it.
    pub(crate) fn complete(&mut self, key: &Arc<str>, completion: &Completion) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        let state = match completion {
            Completion::Final(result) => KeyState::Completed(result.clone()),
            Completion::NotRun | Completion::Unresolved => KeyState::InProgress(Vec::new()),
        };
        if let KeyState::InProgress(waiters) = std::mem::replace(&mut entry.state, state) {
            for waiter in waiters {
                // The retry may have timed out and dropped the receiver.
                let _ = waiter.send(completion.clone());
            }
        }
        match completion {
            Completion::Final(result) => {
                self.completed.push_back(key.clone());
                self.track_response(key, result);
            }
            Completion::NotRun | Completion::Unresolved => drop(self.entries.remove(key)),
        }
    }

    /// Counts a stored response towards the limit of [`KeyRegistry::evict_responses_over`].
    fn track_response(&mut self, key: &Arc<str>, result: &FinalResult) {
        if let FinalResult::Answered(response) = result {
            self.response_bytes += response.body_base64.len();
            self.responses.push_back((key.clone(), response.body_base64.len()));
        }
    }

    fn untrack_response(&mut self, key: &Arc<str>) {
        let Some(index) = self.responses.iter().position(|(tracked, _)| tracked == key) else { return };
        if let Some((_, bytes)) = self.responses.remove(index) {
            self.response_bytes -= bytes;
        }
    }

    /// Drops the oldest responses until the stored ones take at most `limit_bytes`. Their keys stay completed, with
    /// the result [`FinalResult::AnswerDropped`].
    pub(crate) fn evict_responses_over(&mut self, limit_bytes: usize) {
        while self.response_bytes > limit_bytes {
            let Some((key, bytes)) = self.responses.pop_front() else { break };
            self.response_bytes -= bytes;
            if let Some(KeyEntry { state: KeyState::Completed(result), .. }) = self.entries.get_mut(&key) {
                *result = Arc::new(FinalResult::AnswerDropped);
            }
        }
    }

    /// Removes a key if it is completed, once its result is stored in the platform's table.
    pub(crate) fn remove_completed(&mut self, key: &Arc<str>) {
        if !matches!(self.entries.get(key), Some(KeyEntry { state: KeyState::Completed(_), .. })) {
            return;
        }
        self.entries.remove(key);
        self.completed.retain(|completed| completed != key);
        self.untrack_response(key);
    }

    /// Number of entries in all collections.
    #[cfg(test)]
    pub(super) fn tracked_count(&self) -> usize {
        self.entries.len() + self.completed.len() + self.responses.len()
    }

    /// Removes the oldest completed keys beyond `limit` and returns them.
    pub(crate) fn evict_completed_over(&mut self, limit: usize) -> Vec<Arc<str>> {
        let mut evicted = Vec::new();
        while self.completed.len() > limit {
            let Some(key) = self.completed.pop_front() else { break };
            self.entries.remove(&key);
            self.untrack_response(&key);
            evicted.push(key);
        }
        evicted
    }
}
