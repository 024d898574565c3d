//! What came of a run in virtual time, and figures from it.

use sardineseam::{US_PER_MS, US_PER_S};

use super::{capacity_per_s, Scenario, CALLERS, WINDOW_US};

/// What came of a run.
#[derive(Debug, Default)]
pub struct Report {
    pub offered: u64,
    pub delivered: u64,
    pub refused: u64,
    pub unknown: u64,
    pub attempts: u64,
    /// Time from arrival to answer less the service time, of delivered requests.
    pub waits_us: Vec<u64>,
    /// Time from arrival to answer of delivered requests.
    pub times_us: Vec<u64>,
    /// Non-idempotent requests that ran more than once.
    pub duplicates: u64,
    /// Requests told `not-run` that ran.
    pub wrong_outcomes: u64,
    /// Delivered requests by windows of [`WINDOW_US`].
    pub delivered_by_window: Vec<u64>,
    pub delivered_by_caller: [u64; CALLERS],
    pub offered_by_caller: [u64; CALLERS],
}

impl Report {
    /// Delivered requests while load was offered, as a share of capacity.
    pub fn goodput(&self, scenario: &Scenario) -> f64 {
        self.goodput_between(0, scenario.duration_us)
    }

    pub fn goodput_between(&self, from_us: u64, until_us: u64) -> f64 {
        let windows = (from_us / WINDOW_US) as usize..(until_us / WINDOW_US) as usize;
        let count: u64 = windows.clone().map(|window| self.delivered_by_window.get(window).unwrap_or(&0)).sum();
        count as f64 / (capacity_per_s() * windows.len() as f64 * WINDOW_US as f64 / US_PER_S as f64)
    }

    /// Seconds after the fault's end until half a second's goodput is back at 95% of what is possible.
    pub fn recovery_s(&self, scenario: &Scenario) -> f64 {
        let expected = scenario.load.min(1.0) * 0.95;
        let span_us = 5 * WINDOW_US;
        let mut from_us = scenario.fault_until_us;
        while from_us + span_us <= scenario.duration_us {
            // Half a second of light load varies by chance; four standard deviations are allowed for.
            let count = expected * capacity_per_s() * span_us as f64 / US_PER_S as f64;
            let slack = 4.0 * count.sqrt() / count;
            if self.goodput_between(from_us, from_us + span_us) >= expected * (1.0 - slack.min(0.5)) {
                return (from_us - scenario.fault_until_us) as f64 / US_PER_S as f64;
            }
            from_us += WINDOW_US;
        }
        f64::INFINITY
    }

    pub fn percentile_ms(values: &[u64], percent: f64) -> f64 {
        let mut sorted = values.to_vec();
        sorted.sort_unstable();
        let index = (sorted.len() as f64 * percent / 100.0) as usize;
        sorted.get(index.min(sorted.len().saturating_sub(1))).map_or(f64::NAN, |us| *us as f64 / US_PER_MS as f64)
    }

    /// Attempts beyond the first, for each request that was tried.
    pub fn retries_per_request(&self) -> f64 {
        let tried = self.offered - self.refused.min(self.offered);
        (self.attempts as f64 - tried as f64).max(0.0) / self.offered.max(1) as f64
    }

    /// Jain's index of what callers got, each as a share of its max-min fair part.
    pub fn fairness(&self) -> f64 {
        let total: u64 = self.delivered_by_caller.iter().sum();
        let fair = max_min(&self.offered_by_caller, total);
        let got: Vec<f64> = self
            .delivered_by_caller
            .iter()
            .zip(fair)
            .filter(|(_, fair)| *fair > 0.0)
            .map(|(got, fair)| (*got as f64 / fair).min(1.0))
            .collect();
        let sum: f64 = got.iter().sum();
        let squares: f64 = got.iter().map(|share| share * share).sum();
        if squares == 0.0 {
            return f64::NAN;
        }
        sum * sum / (got.len() as f64 * squares)
    }
}

/// Divides `total` so that no caller gets more than it asked for, and none could get more without another that has
/// no more getting less.
fn max_min(offered: &[u64], total: u64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..offered.len()).collect();
    order.sort_by_key(|index| offered[*index]);
    let mut left = total as f64;
    let mut parts = vec![0.0; offered.len()];
    for (position, index) in order.iter().enumerate() {
        let equal = left / (offered.len() - position) as f64;
        parts[*index] = equal.min(offered[*index] as f64);
        left -= parts[*index];
    }
    parts
}
