//! Counters of the request path, looked up once instead of for every request.

use metrics::{counter, histogram, Counter, Histogram};

use crate::dispatch::{AttemptEnd, Refusal};
use crate::wire::Outcome;

/// See the module.
pub(crate) struct RequestMetrics {
    ran: Counter,
    not_run: Counter,
    unknown: Counter,
    seconds: Histogram,
    answered: Counter,
    failed: Counter,
    refused: Counter,
    not_sent: Counter,
    lost: Counter,
}

impl RequestMetrics {
    pub(crate) fn new() -> RequestMetrics {
        RequestMetrics {
            ran: counter!("requests_total", "outcome" => Outcome::Ran.name()),
            not_run: counter!("requests_total", "outcome" => Outcome::NotRun.name()),
            unknown: counter!("requests_total", "outcome" => Outcome::Unknown.name()),
            seconds: histogram!("request_seconds"),
            answered: counter!("attempts_total", "end" => "answered"),
            failed: counter!("attempts_total", "end" => "failed"),
            refused: counter!("attempts_total", "end" => "refused"),
            not_sent: counter!("attempts_total", "end" => "not_sent"),
            lost: counter!("attempts_total", "end" => "lost"),
        }
    }

    /// Counts an answered request.
    pub(crate) fn record_request(&self, outcome: Outcome, elapsed_s: f64) {
        match outcome {
            Outcome::Ran => self.ran.increment(1),
            Outcome::NotRun => self.not_run.increment(1),
            Outcome::Unknown => self.unknown.increment(1),
        }
        self.seconds.record(elapsed_s);
    }

    /// Counts an ended attempt.
    pub(crate) fn record_attempt(&self, end: AttemptEnd) {
        match end {
            AttemptEnd::Answered { failed: false, .. } => self.answered.increment(1),
            AttemptEnd::Answered { failed: true, .. } => self.failed.increment(1),
            AttemptEnd::Refused { .. } => self.refused.increment(1),
            AttemptEnd::NotSent => self.not_sent.increment(1),
            AttemptEnd::Lost { .. } => self.lost.increment(1),
        }
    }

    /// Counts a refused request; refusals are rare enough to look their counter up.
    pub(crate) fn record_refusal(&self, refusal: Refusal) {
        counter!("refusals_total", "reason" => refusal.name()).increment(1);
    }
}
