//! Keys in use within one daemon, so that a resend joins the request in progress.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use futures::channel::oneshot;

use super::Final;

/// What a finished key is worth to a resend.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Ending {
    /// It has an end for good.
    Final(Arc<Final>),
    /// It certainly did not run; the key is free again.
    NotRun,
    /// Another daemon has the key, and what became of it is not known here.
    Elsewhere,
}

/// What to do with a request that carries a key.
#[derive(Debug)]
pub(crate) enum Begin {
    /// The key is not in use here. The request must be ended with [`KeyBook::end`].
    Fresh,
    /// The same request is in progress; its end will be told.
    Join(oneshot::Receiver<Ending>),
    /// The same request has ended.
    Ended(Arc<Final>),
    /// The key belongs to a different request.
    Mismatch,
}

#[derive(Debug)]
enum State {
    InProgress(Vec<oneshot::Sender<Ending>>),
    Ended(Arc<Final>),
}

#[derive(Debug)]
struct Entry {
    digest: Arc<str>,
    state: State,
}

/// See the module.
#[derive(Debug, Default)]
pub(crate) struct KeyBook {
    entries: HashMap<Arc<str>, Entry>,
    /// Ended keys, oldest first.
    ended: VecDeque<Arc<str>>,
    /// Ended keys whose answers are kept, with the size of each.
    answers: VecDeque<(Arc<str>, usize)>,
    answer_bytes: usize,
}

impl KeyBook {
    /// Starts a request, or finds the one that has the key.
    pub(crate) fn begin(&mut self, key: &Arc<str>, digest: &Arc<str>) -> Begin {
        let Some(entry) = self.entries.get_mut(key) else {
            let entry = Entry { digest: digest.clone(), state: State::InProgress(Vec::new()) };
            self.entries.insert(key.clone(), entry);
            return Begin::Fresh;
        };
        if entry.digest != *digest {
            return Begin::Mismatch;
        }
        match &mut entry.state {
            State::InProgress(joined) => {
                let (sender, receiver) = oneshot::channel();
                joined.push(sender);
                Begin::Join(receiver)
            }
            State::Ended(ending) => Begin::Ended(ending.clone()),
        }
    }

    /// Whether the key is in use or has ended.
    pub(crate) fn contains(&self, key: &str) -> bool {
        self.entries.contains_key(key)
    }

    /// Ends the request in progress and tells those that joined it.
    pub(crate) fn end(&mut self, key: &Arc<str>, ending: &Ending) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        let state = match ending {
            Ending::Final(last) => State::Ended(last.clone()),
            Ending::NotRun | Ending::Elsewhere => State::InProgress(Vec::new()),
        };
        if let State::InProgress(joined) = std::mem::replace(&mut entry.state, state) {
            for waiting in joined {
                // Its caller may have hung up.
                let _ = waiting.send(ending.clone());
            }
        }
        match ending {
            Ending::Final(last) => {
                self.ended.push_back(key.clone());
                self.keep_answer(key, last);
            }
            Ending::NotRun | Ending::Elsewhere => drop(self.entries.remove(key)),
        }
    }

    fn keep_answer(&mut self, key: &Arc<str>, last: &Final) {
        if let Final::Answered(answer) = last {
            self.answer_bytes += answer.body_base64.len();
            self.answers.push_back((key.clone(), answer.body_base64.len()));
        }
    }

    /// Drops the oldest answers until those kept take at most `limit_bytes`; their keys stay ended.
    pub(crate) fn drop_answers_beyond(&mut self, limit_bytes: usize) {
        while self.answer_bytes > limit_bytes {
            let Some((key, bytes)) = self.answers.pop_front() else { break };
            self.answer_bytes -= bytes;
            if let Some(Entry { state: State::Ended(last), .. }) = self.entries.get_mut(&key) {
                *last = Arc::new(Final::AnswerDropped);
            }
        }
    }

    /// Forgets an ended key, because its end is kept elsewhere.
    pub(crate) fn forget(&mut self, key: &Arc<str>) {
        if matches!(self.entries.get(key), Some(Entry { state: State::Ended(_), .. })) {
            self.entries.remove(key);
            self.ended.retain(|ended| ended != key);
        }
    }

    /// Forgets the oldest ended keys beyond `limit`; returns them.
    pub(crate) fn forget_beyond(&mut self, limit: usize) -> Vec<Arc<str>> {
        let mut forgotten = Vec::new();
        while self.ended.len() > limit {
            let Some(key) = self.ended.pop_front() else { break };
            self.entries.remove(&key);
            forgotten.push(key);
        }
        forgotten
    }
}
