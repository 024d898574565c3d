//! Progress of a call: tells an answer that is still arriving, or a request that is still being sent, from a connection
//! that has gone silent.

#[cfg(test)]
mod call_progress_tests;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::reactor::Traffic;

/// Fewer bytes than this are no progress. Small calls are thus answered in time or not at all, and a connection that
/// carries only a few bytes a second counts as silent.
const MIN_PROGRESS_BYTES: u64 = 4 * 1024;
/// A call with progress ends this long after the latest progress.
const MAX_SILENCE_MS: u64 = 1_500;

/// How far a transfer had come when it last made progress.
#[derive(Debug, Clone, Copy, Default)]
struct ProgressMark {
    bytes: u64,
    at: Option<Instant>,
}

impl ProgressMark {
    /// Notes that `bytes` have been transferred, the last of them at `latest`.
    fn advance(&mut self, bytes: u64, latest: Option<Instant>) {
        if bytes >= self.bytes + MIN_PROGRESS_BYTES {
            *self = ProgressMark { bytes, at: latest };
        }
    }
}

/// The connection that carries a call, and what it had carried before.
#[derive(Debug)]
struct CallConnection {
    traffic: Rc<Traffic>,
    sent_before: u64,
    received_before: u64,
}

#[derive(Debug, Default)]
struct CallState {
    connection: RefCell<Option<CallConnection>>,
    mark: Cell<ProgressMark>,
    /// Time from the end of the request to the head of the response.
    response_us: Cell<Option<u64>>,
}

/// Progress of one call. Clones share it.
#[derive(Debug, Clone, Default)]
pub(crate) struct CallProgress(Rc<CallState>);

impl CallProgress {
    /// Notes the connection on which the request is sent next.
    pub(crate) fn begin(&self, traffic: Rc<Traffic>) {
        let (sent_before, received_before) = (traffic.sent_bytes(), traffic.received_bytes());
        *self.0.connection.borrow_mut() = Some(CallConnection { traffic, sent_before, received_before });
        self.0.mark.set(ProgressMark::default());
    }

    /// Notes that the head of the response to a request, which was sent at `sent_at`, has arrived.
    pub(crate) fn head_received(&self, sent_at: Instant) {
        let sent_until = self.latest().unwrap_or(sent_at);
        self.0.response_us.set(Some(sent_until.elapsed().as_micros() as u64));
    }

    /// How long the response took to begin after the request had been sent.
    pub(crate) fn response_us(&self) -> Option<u64> {
        self.0.response_us.get()
    }

    /// Number of bytes of the request that were written.
    pub(crate) fn sent_bytes(&self) -> u64 {
        let connection = self.0.connection.borrow();
        connection.as_ref().map_or(0, |connection| connection.traffic.sent_bytes() - connection.sent_before)
    }

    /// Number of bytes of the response that have arrived.
    pub(crate) fn received_bytes(&self) -> u64 {
        let connection = self.0.connection.borrow();
        connection.as_ref().map_or(0, |connection| connection.traffic.received_bytes() - connection.received_before)
    }

    /// When the call last made progress; `None` if it has made none.
    pub(crate) fn latest(&self) -> Option<Instant> {
        let mut mark = self.0.mark.get();
        if let Some(connection) = &*self.0.connection.borrow() {
            mark.advance(self.sent_bytes() + self.received_bytes(), connection.traffic.latest());
        }
        self.0.mark.set(mark);
        mark.at
    }
}

/// When a call ends that has no complete response.
#[derive(Debug, Clone)]
pub(crate) enum CallDeadline {
    /// At this time.
    Fixed(Instant),
    /// At this time, or [`MAX_SILENCE_MS`] after the latest progress if that is later.
    ExtendedByProgress(Instant),
}

impl CallDeadline {
    /// When the call ends if it makes no progress.
    pub(crate) fn initial(&self) -> Instant {
        match self {
            CallDeadline::Fixed(at) | CallDeadline::ExtendedByProgress(at) => *at,
        }
    }

    /// When the call ends if it makes no further progress.
    pub(crate) fn after(&self, progress: &CallProgress) -> Instant {
        match self {
            CallDeadline::Fixed(at) => *at,
            CallDeadline::ExtendedByProgress(at) => match progress.latest() {
                Some(latest) => *at.max(&(latest + Duration::from_millis(MAX_SILENCE_MS))),
                None => *at,
            },
        }
    }
}
