//! Metrics of the request path, registered once instead of looked up for each request.

use metrics::{counter, histogram, Counter, Histogram};

use crate::dispatch::{AttemptOutcome, Refusal};
use crate::wire::Outcome;

/// Handles to the metrics of requests and attempts.
pub(crate) struct RequestMetrics {
    requests_ran: Counter,
    requests_not_run: Counter,
    requests_unknown: Counter,
    request_seconds: Histogram,
    attempts_answered: Counter,
    attempts_failed: Counter,
    attempts_refused: Counter,
    attempts_not_sent: Counter,
    attempts_lost: Counter,
}

impl RequestMetrics {
    pub(crate) fn new() -> RequestMetrics {
        RequestMetrics {
            requests_ran: counter!("requests_total", "outcome" => Outcome::Ran.name()),
            requests_not_run: counter!("requests_total", "outcome" => Outcome::NotRun.name()),
            requests_unknown: counter!("requests_total", "outcome" => Outcome::Unknown.name()),
            request_seconds: histogram!("request_seconds"),
            attempts_answered: counter!("attempts_total", "end" => "answered"),
            attempts_failed: counter!("attempts_total", "end" => "failed"),
            attempts_refused: counter!("attempts_total", "end" => "refused"),
            attempts_not_sent: counter!("attempts_total", "end" => "not_sent"),
            attempts_lost: counter!("attempts_total", "end" => "lost"),
        }
    }

    /// Records the outcome and duration of a request.
    pub(crate) fn record_request(&self, outcome: Outcome, elapsed_s: f64) {
        match outcome {
            Outcome::Ran => self.requests_ran.increment(1),
            Outcome::NotRun => self.requests_not_run.increment(1),
            Outcome::Unknown => self.requests_unknown.increment(1),
        }
        self.request_seconds.record(elapsed_s);
    }

    /// Counts a finished attempt by its outcome.
    pub(crate) fn record_attempt(&self, outcome: AttemptOutcome) {
        match outcome {
            AttemptOutcome::Answered { failed: false, .. } => self.attempts_answered.increment(1),
            AttemptOutcome::Answered { failed: true, .. } => self.attempts_failed.increment(1),
            AttemptOutcome::Refused { .. } => self.attempts_refused.increment(1),
            AttemptOutcome::NotSent => self.attempts_not_sent.increment(1),
            AttemptOutcome::Lost { .. } => self.attempts_lost.increment(1),
        }
    }

    /// Counts a refusal by its reason. Refusals are rare, so the counter is looked up each time.
    pub(crate) fn record_refusal(&self, refusal: Refusal) {
        counter!("refusals_total", "reason" => refusal.name()).increment(1);
    }
}
