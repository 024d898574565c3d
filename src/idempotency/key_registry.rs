//! Keys in use within one daemon, so that a resend joins the request in progress.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use futures::channel::oneshot;

use super::FinalResult;

/// What a finished key is worth to a resend.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Completion {
    /// It has an end for good.
    Final(Arc<FinalResult>),
    /// It certainly did not run; the key is free again.
    NotRun,
    /// Another daemon has the key, and what became of it is not known here.
    HeldElsewhere,
}

/// What to do with a request that carries a key.
#[derive(Debug)]
pub(crate) enum BeginResult {
    /// The key is not in use here. The request must be ended with [`KeyRegistry::end`].
    New,
    /// The same request is in progress; its end will be told.
    InProgress(oneshot::Receiver<Completion>),
    /// The same request has ended.
    Completed(Arc<FinalResult>),
    /// The key belongs to a different request.
    Mismatch,
}

#[derive(Debug)]
enum State {
    InProgress(Vec<oneshot::Sender<Completion>>),
    Completed(Arc<FinalResult>),
}

#[derive(Debug)]
struct Entry {
    digest: Arc<str>,
    state: State,
}

/// See the module.
#[derive(Debug, Default)]
pub(crate) struct KeyRegistry {
    entries: HashMap<Arc<str>, Entry>,
    /// Ended keys, oldest first.
    ended: VecDeque<Arc<str>>,
    /// Ended keys whose answers are kept, with the size of each.
    answers: VecDeque<(Arc<str>, usize)>,
    answer_bytes: usize,
}

impl KeyRegistry {
    /// Starts a request, or finds the one that has the key.
    pub(crate) fn begin(&mut self, key: &Arc<str>, digest: &Arc<str>) -> BeginResult {
        let Some(entry) = self.entries.get_mut(key) else {
            let entry = Entry { digest: digest.clone(), state: State::InProgress(Vec::new()) };
            self.entries.insert(key.clone(), entry);
            return BeginResult::New;
        };
        if entry.digest != *digest {
            return BeginResult::Mismatch;
        }
        match &mut entry.state {
            State::InProgress(joined) => {
                let (sender, receiver) = oneshot::channel();
                joined.push(sender);
                BeginResult::InProgress(receiver)
            }
            State::Completed(ending) => BeginResult::Completed(ending.clone()),
        }
    }

    /// Whether the key is in use or has ended.
    pub(crate) fn contains(&self, key: &str) -> bool {
        self.entries.contains_key(key)
    }

    /// Ends the request in progress and tells those that joined it.
    pub(crate) fn end(&mut self, key: &Arc<str>, ending: &Completion) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        let state = match ending {
            Completion::Final(last) => State::Completed(last.clone()),
            Completion::NotRun | Completion::HeldElsewhere => State::InProgress(Vec::new()),
        };
        if let State::InProgress(joined) = std::mem::replace(&mut entry.state, state) {
            for waiting in joined {
                // Its caller may have hung up.
                let _ = waiting.send(ending.clone());
            }
        }
        match ending {
            Completion::Final(last) => {
                self.ended.push_back(key.clone());
                self.track_response(key, last);
            }
            Completion::NotRun | Completion::HeldElsewhere => drop(self.entries.remove(key)),
        }
    }

    fn track_response(&mut self, key: &Arc<str>, last: &FinalResult) {
        if let FinalResult::Answered(answer) = last {
            self.answer_bytes += answer.body_base64.len();
            self.answers.push_back((key.clone(), answer.body_base64.len()));
        }
    }

    /// Drops the oldest answers until those kept take at most `limit_bytes`; their keys stay ended.
    pub(crate) fn evict_responses_over(&mut self, limit_bytes: usize) {
        while self.answer_bytes > limit_bytes {
            let Some((key, bytes)) = self.answers.pop_front() else { break };
            self.answer_bytes -= bytes;
            if let Some(Entry { state: State::Completed(last), .. }) = self.entries.get_mut(&key) {
                *last = Arc::new(FinalResult::AnswerDropped);
            }
        }
    }

    /// Forgets an ended key, because its end is kept elsewhere.
    pub(crate) fn forget(&mut self, key: &Arc<str>) {
        if matches!(self.entries.get(key), Some(Entry { state: State::Completed(_), .. })) {
            self.entries.remove(key);
            self.ended.retain(|ended| ended != key);
        }
    }

    /// Forgets the oldest ended keys beyond `limit`; returns them.
    pub(crate) fn evict_completed_over(&mut self, limit: usize) -> Vec<Arc<str>> {
        let mut forgotten = Vec::new();
        while self.ended.len() > limit {
            let Some(key) = self.ended.pop_front() else { break };
            self.entries.remove(&key);
            forgotten.push(key);
        }
        forgotten
    }
}
