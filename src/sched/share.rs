//! Whether jobs arrive within the guaranteed rate of their organisation.
//!
//! Each organisation has a token bucket that gains its weight in tokens per second and holds those of one second, but at
//! least one. A job that finds a token is within the rate. The class of a job never changes, except that a new leader
//! classifies all stored jobs again.

use std::sync::Arc;

use foldhash::HashMap;

use super::job::{Job, ShareClass};
use super::model::JobId;
use super::organisation::{Organisation, Organisations};
use super::scheduler::Scheduler;

/// Tolerance for rounding errors in the check for a whole token.
const TOKEN_TOLERANCE: f64 = 1e-9;

/// Tokens of one organisation.
#[derive(Debug, Clone, Copy, PartialEq)]
struct TokenBucket {
    tokens: f64,
    refilled_unix_ms: u64,
}

/// Number of tokens that a bucket holds.
fn burst(weight: f64) -> f64 {
    weight.max(1.0)
}

impl TokenBucket {
    /// Takes a token if there is one. Times earlier than the latest one count as that.
    fn take(&mut self, at_unix_ms: u64, weight: f64) -> bool {
        let elapsed_ms = at_unix_ms.saturating_sub(self.refilled_unix_ms);
        self.refilled_unix_ms += elapsed_ms;
        self.tokens = (self.tokens + weight * elapsed_ms as f64 / 1_000.0).min(burst(weight));
        if self.tokens < 1.0 - TOKEN_TOLERANCE {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Arrivals of jobs by organisation.
#[derive(Debug, Default)]
pub(super) struct ArrivalRates {
    buckets: HashMap<Arc<str>, TokenBucket>,
    /// Restored jobs that are not classified yet, with their acceptance times.
    restored: Vec<(u64, JobId)>,
}

impl ArrivalRates {
    /// The class of a job that was accepted at `accepted_unix_ms`.
    pub(super) fn classify(&mut self, organisation: &Organisation, accepted_unix_ms: u64) -> ShareClass {
        let weight = organisation.weight;
        if weight <= 0.0 {
            return ShareClass::BeyondRate;
        }
        let full = TokenBucket { tokens: burst(weight), refilled_unix_ms: accepted_unix_ms };
        let bucket = self.buckets.entry(organisation.name.clone()).or_insert(full);
        match bucket.take(accepted_unix_ms, weight) {
            true => ShareClass::WithinRate,
            false => ShareClass::BeyondRate,
        }
    }

    /// Number of organisations of which jobs have arrived.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Forgets organisations that are no longer configured.
    pub(super) fn retain(&mut self, organisations: &Organisations) {
        self.buckets.retain(|name, _| organisations.get(name).is_some());
    }
}

impl Scheduler {
    /// The class of a job that arrives now. Recurring and long-running jobs are always within the rate, and so are jobs
    /// without a configured organisation.
    pub(super) fn classify_arrival(&mut self, now_unix_ms: u64, job: &Job) -> ShareClass {
        if job.is_recurring() || job.is_long_running() {
            return ShareClass::WithinRate;
        }
        let Some(organisation) = self.organisation_of(job).cloned() else { return ShareClass::WithinRate };
        // A clock that is ahead must not keep the bucket from being refilled.
        self.arrival_rates.classify(&organisation, job.spec.accepted_unix_ms.min(now_unix_ms))
    }

    /// Keeps a restored job until all of them are known and can be classified in order.
    pub(super) fn classify_later(&mut self, job: &Job) {
        self.arrival_rates.restored.push((job.spec.accepted_unix_ms, job.id.clone()));
    }

    /// Classifies the restored jobs in the order of their acceptance. Called once, after all have been restored.
    pub(crate) fn classify_restored(&mut self, now_us: u64, now_unix_ms: u64) {
        let mut restored = std::mem::take(&mut self.arrival_rates.restored);
        restored.sort();
        for (_, id) in restored {
            let Some(mut job) = self.jobs.remove(&id) else { continue };
            job.share_class = self.classify_arrival(now_unix_ms, &job);
            let is_new = !job.is_finished && !job.has_begun();
            if is_new && job.share_class == ShareClass::WithinRate {
                self.record_arrival(now_us, now_unix_ms, &job);
            }
            self.jobs.insert(id, job);
        }
    }
}
