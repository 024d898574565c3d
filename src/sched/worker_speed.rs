//! Speed of a worker: how long its runs take compared with those of the same queues on all workers.
//!
//! Run times are compared on a logarithmic scale, on which a few very long runs do not make a worker look slow.

use crate::clock::US_PER_MS;

/// A worker whose runs take this multiple of the usual time, or more, is slow.
const SLOW_FACTOR: f64 = 1.5;
/// A worker is slow only if its mean exceeds the usual time by this many standard errors, so that chance hardly ever
/// sets one of thousands of equal workers aside.
const MIN_STANDARD_ERRORS: f64 = 4.0;
/// Minimum number of runs by which a worker is judged.
const MIN_RUNS: u32 = 20;
/// Weight of the latest run once a worker has had as many runs as this has fractions.
const RUN_WEIGHT: f64 = 0.05;
/// A slow worker without runs for this long gets work like the others again, and proves its speed by it.
const PROOF_AFTER_MS: u64 = 10_000;
/// Bounds for one run's ratio of actual to usual time.
const MIN_RATIO: f64 = 1.0 / 64.0;
const MAX_RATIO: f64 = 64.0;

/// Moving average of the ratio of actual to usual run time on one worker.
#[derive(Debug, Clone, Default)]
pub(super) struct WorkerSpeed {
    /// Mean of the logarithm of the ratio.
    mean_log: f64,
    /// Mean of its square.
    mean_square_log: f64,
    /// Number of runs behind the average.
    run_count: u32,
    last_run_us: u64,
}

impl WorkerSpeed {
    /// Adds a run that took `ratio` times as long as is usual in its queue.
    pub(super) fn record(&mut self, now_us: u64, ratio: f64) {
        if !ratio.is_finite() {
            return;
        }
        self.run_count = self.run_count.saturating_add(1);
        self.last_run_us = now_us;
        let weight = (1.0 / f64::from(self.run_count)).max(RUN_WEIGHT);
        let log = ratio.clamp(MIN_RATIO, MAX_RATIO).ln();
        self.mean_log += weight * (log - self.mean_log);
        self.mean_square_log += weight * (log * log - self.mean_square_log);
    }

    /// Number of runs recorded.
    pub(super) fn run_count(&self) -> u32 {
        self.run_count
    }

    /// Usual multiple of the time that runs take elsewhere (the geometric mean).
    pub(super) fn ratio(&self) -> f64 {
        self.mean_log.exp()
    }

    /// Whether the worker is clearly slower than others.
    pub(super) fn is_slow(&self, now_us: u64) -> bool {
        if self.run_count < MIN_RUNS || now_us > self.last_run_us + PROOF_AFTER_MS * US_PER_MS {
            return false;
        }
        let variance = (self.mean_square_log - self.mean_log * self.mean_log).max(0.0);
        let effective_runs = f64::from(self.run_count).min((2.0 - RUN_WEIGHT) / RUN_WEIGHT);
        let standard_error = (variance / effective_runs).sqrt();
        self.mean_log >= SLOW_FACTOR.ln() && self.mean_log > MIN_STANDARD_ERRORS * standard_error
    }
}
