//! Decides when a call of the row store is sent again, and what its outcome is.
//!
//! A connection may go silent, and a store that is back after an outage does not answer what it received before. So a
//! call without an answer is sent again over a new connection while the earlier attempts continue, and the first answer
//! counts. Repeating is safe: reads have no effect, and callers of transactions recognise their own effect in a
//! conflict.
//!
//! A large request or answer may take longer than that to be transferred. While one of the attempts makes progress, the
//! call is not repeated: another attempt would begin anew, and take its share of the same link.

use super::RowStoreError;
use crate::clock::US_PER_MS;

/// Minimum time without an answer after which a call is sent again.
const MIN_REPEAT_DELAY_MS: u64 = 300;
/// A call is sent again after this multiple of the store's recent response time: a slow store gets no additional load.
const REPEAT_DELAY_FACTOR: f64 = 4.0;
/// Weight of the latest response time in the moving average.
const LATENCY_WEIGHT: f64 = 0.2;
/// Timeout of a call without progress, in addition to the time for which it asks the store to wait for changes.
pub(crate) const CALL_TIMEOUT_US: u64 = 1_500 * US_PER_MS;
/// Time after a call has failed or remained without an answer, with no answer to any call since, from which the store
/// counts as unreachable.
const UNREACHABLE_AFTER_MS: u64 = 250;

/// Whether the store answers, as the calls of this process show.
#[derive(Debug, Default)]
pub(crate) struct StoreHealth {
    /// Moving average of the time until a response begins.
    latency_ms: f64,
    /// When the first call failed after the latest answer.
    failing_since_us: Option<u64>,
}

impl StoreHealth {
    /// Records that an answer has arrived, or a part of one.
    pub(crate) fn record_answer(&mut self) {
        self.failing_since_us = None;
    }

    /// Records the response time of a call that does not wait for changes.
    pub(crate) fn record_latency(&mut self, latency_us: u64) {
        let latency_ms = latency_us as f64 / US_PER_MS as f64;
        self.latency_ms += LATENCY_WEIGHT * (latency_ms - self.latency_ms);
    }

    /// Records that a call failed, or that an answer is overdue.
    pub(crate) fn record_failure(&mut self, now_us: u64) {
        self.failing_since_us.get_or_insert(now_us);
    }

    /// For how long calls have been failing without any answer.
    pub(crate) fn failing_ms(&self, now_us: u64) -> u64 {
        self.failing_since_us.map_or(0, |since_us| now_us.saturating_sub(since_us) / US_PER_MS)
    }

    /// Whether a call has failed since the latest answer.
    pub(crate) fn is_failing(&self) -> bool {
        self.failing_since_us.is_some()
    }

    /// Whether calls can be expected to be answered.
    pub(crate) fn is_reachable(&self, now_us: u64) -> bool {
        self.failing_since_us.is_none_or(|since_us| now_us < since_us + UNREACHABLE_AFTER_MS * US_PER_MS)
    }

    /// Time without an answer after which a call is sent again.
    pub(crate) fn repeat_delay_us(&self) -> u64 {
        let delay_ms = (self.latency_ms * REPEAT_DELAY_FACTOR) as u64;
        delay_ms.max(MIN_REPEAT_DELAY_MS) * US_PER_MS
    }
}

/// What follows when the answer to a call is overdue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Overdue {
    /// Nothing: the request is still being sent, or the answer is arriving.
    InProgress,
    /// Another attempt is sent, with this timeout.
    Repeat { timeout_us: u64 },
    /// No other attempt is sent: too little time is left for its answer.
    TooLate,
}

/// State of one call, of which several attempts may be in flight.
#[derive(Debug)]
pub(crate) struct RepeatedCall {
    /// Until when attempts are started.
    deadline_us: u64,
    next_attempt_us: u64,
    repeat_delay_us: u64,
    latest_attempt_us: u64,
    /// Whether an attempt has made progress some time after it was sent.
    is_transferring: bool,
    in_flight: u32,
    /// Whether an attempt may have taken effect without an answer.
    is_unknown: bool,
}

impl RepeatedCall {
    /// A call whose first attempt is sent now and may be answered after `wait_us`, when the store has nothing to report
    /// earlier.
    pub(crate) fn new(now_us: u64, wait_us: u64, repeat_delay_us: u64) -> RepeatedCall {
        RepeatedCall {
            deadline_us: now_us + wait_us + CALL_TIMEOUT_US,
            next_attempt_us: now_us + wait_us + repeat_delay_us,
            repeat_delay_us,
            latest_attempt_us: now_us,
            is_transferring: false,
            in_flight: 1,
            is_unknown: false,
        }
    }

    /// Decides what follows when the time of [`RepeatedCall::next_attempt_us`] has come. `progressed_us` is when an attempt
    /// last made progress, if any has.
    pub(crate) fn on_overdue(&mut self, now_us: u64, progressed_us: Option<u64>) -> Overdue {
        if let Some(progressed_us) = progressed_us {
            // Soon after an attempt, progress proves little: the socket has taken the first bytes of a request, or the
            // answer has begun and may stop.
            if progressed_us > self.latest_attempt_us + self.repeat_delay_us / 2 {
                self.is_transferring = true;
                self.deadline_us = self.deadline_us.max(progressed_us + CALL_TIMEOUT_US);
            }
            let overdue_us = progressed_us + self.repeat_delay_us;
            if overdue_us > now_us {
                self.next_attempt_us = overdue_us;
                return Overdue::InProgress;
            }
        }
        match self.start_attempt(now_us) {
            Some(timeout_us) => Overdue::Repeat { timeout_us },
            None => Overdue::TooLate,
        }
    }

    /// When [`RepeatedCall::on_overdue`] is to be called next.
    pub(crate) fn next_attempt_us(&self) -> u64 {
        self.next_attempt_us
    }

    /// Starts another attempt, and returns its timeout; `None` if too little time is left for an answer.
    fn start_attempt(&mut self, now_us: u64) -> Option<u64> {
        let left_us = self.deadline_us.saturating_sub(now_us);
        if left_us < self.repeat_delay_us {
            // An attempt that makes progress moves the deadline.
            self.next_attempt_us = now_us + self.repeat_delay_us;
            return None;
        }
        if self.is_transferring {
            // Attempts whose answers arrive share the link. The pauses grow, so that attempts stay few.
            self.repeat_delay_us *= 2;
        }
        self.latest_attempt_us = now_us;
        self.next_attempt_us = now_us + self.repeat_delay_us;
        self.in_flight += 1;
        Some(left_us)
    }

    /// Records the failure of an attempt. Returns the outcome of the call if no other attempt is in flight.
    pub(crate) fn fail_attempt(&mut self, error: RowStoreError) -> Option<RowStoreError> {
        self.in_flight -= 1;
        if self.in_flight > 0 {
            // What one attempt was told says nothing about the others.
            self.is_unknown |= matches!(error, RowStoreError::ResponseLost(_));
            return None;
        }
        Some(match error {
            RowStoreError::Unavailable(reason) if self.is_unknown => RowStoreError::ResponseLost(reason),
            error => error,
        })
    }
}
