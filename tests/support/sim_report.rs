//! Counters of a run in virtual time, and the measures computed from them.

use sardineseam::{US_PER_MS, US_PER_S};

use super::{capacity_per_s, Scenario, CALLERS, GOODPUT_WINDOW_US};

/// Counters and times of a run.
#[derive(Debug, Default)]
pub struct Report {
    /// Requests that arrived.
    pub offered: u64,
    /// Requests whose callers got an answer of success.
    pub delivered: u64,
    /// Requests whose callers were told that they did not run.
    pub refused: u64,
    /// Requests whose callers were told that they may have run.
    pub unknown: u64,
    pub attempts: u64,
    /// Response times of delivered requests, less their service times.
    pub wait_times_us: Vec<u64>,
    /// Times from the arrival to the answer of delivered requests.
    pub response_times_us: Vec<u64>,
    /// Non-idempotent requests that ran more than once.
    pub duplicates: u64,
    /// Requests that ran although their callers were told that they did not.
    pub wrong_outcomes: u64,
    /// Delivered requests in each window of [`GOODPUT_WINDOW_US`].
    pub delivered_by_window: Vec<u64>,
    pub delivered_by_caller: [u64; CALLERS],
    pub offered_by_caller: [u64; CALLERS],
}

impl Report {
    /// Rate of delivered requests while load was offered, as a share of the pool's capacity.
    pub fn goodput(&self, scenario: &Scenario) -> f64 {
        self.goodput_between(0, scenario.duration_us)
    }

    /// Rate of delivered requests between two times, as a share of the pool's capacity.
    pub fn goodput_between(&self, from_us: u64, until_us: u64) -> f64 {
        let windows = (from_us / GOODPUT_WINDOW_US) as usize..(until_us / GOODPUT_WINDOW_US) as usize;
        let count: u64 = windows.clone().map(|window| self.delivered_by_window.get(window).unwrap_or(&0)).sum();
        count as f64 / (capacity_per_s() * windows.len() as f64 * GOODPUT_WINDOW_US as f64 / US_PER_S as f64)
    }

    /// Seconds from the end of the fault to the start of the first half second with a goodput of at least 95% of the
    /// load or of the capacity, whichever is lower; infinite if there is none.
    pub fn recovery_s(&self, scenario: &Scenario) -> f64 {
        let expected = scenario.load.min(1.0) * 0.95;
        let span_us = 5 * GOODPUT_WINDOW_US;
        let mut from_us = scenario.fault_until_us;
        while from_us + span_us <= scenario.duration_us {
            // At light load, the count of half a second varies by chance; four standard deviations are allowed for.
            let count = expected * capacity_per_s() * span_us as f64 / US_PER_S as f64;
            let slack = 4.0 * count.sqrt() / count;
            if self.goodput_between(from_us, from_us + span_us) >= expected * (1.0 - slack.min(0.5)) {
                return (from_us - scenario.fault_until_us) as f64 / US_PER_S as f64;
            }
            from_us += GOODPUT_WINDOW_US;
        }
        f64::INFINITY
    }

    /// The value in milliseconds below which `percent` of the values, in microseconds, lie.
    pub fn percentile_ms(values: &[u64], percent: f64) -> f64 {
        let mut sorted = values.to_vec();
        sorted.sort_unstable();
        let index = (sorted.len() as f64 * percent / 100.0) as usize;
        sorted.get(index.min(sorted.len().saturating_sub(1))).map_or(f64::NAN, |us| *us as f64 / US_PER_MS as f64)
    }

    /// Attempts beyond the first of each request that was not refused, divided by the requests that arrived.
    pub fn retries_per_request(&self) -> f64 {
        let attempted = self.offered - self.refused.min(self.offered);
        (self.attempts as f64 - attempted as f64).max(0.0) / self.offered.max(1) as f64
    }

    /// Jain's fairness index of the requests delivered for each caller, relative to its max-min fair share.
    pub fn fairness(&self) -> f64 {
        let total: u64 = self.delivered_by_caller.iter().sum();
        let fair_shares = max_min_fair_shares(&self.offered_by_caller, total);
        let relative_shares: Vec<f64> = self
            .delivered_by_caller
            .iter()
            .zip(fair_shares)
            .filter(|(_, fair)| *fair > 0.0)
            .map(|(delivered, fair)| (*delivered as f64 / fair).min(1.0))
            .collect();
        let sum: f64 = relative_shares.iter().sum();
        let sum_of_squares: f64 = relative_shares.iter().map(|share| share * share).sum();
        if sum_of_squares == 0.0 {
            return f64::NAN;
        }
        sum * sum / (relative_shares.len() as f64 * sum_of_squares)
    }
}

/// Max-min fair shares of `total`: no caller gets more than it offered, and none could get more except at the expense
/// of one that gets no more than it.
fn max_min_fair_shares(offered: &[u64], total: u64) -> Vec<f64> {
    let mut by_offered: Vec<usize> = (0..offered.len()).collect();
    by_offered.sort_by_key(|index| offered[*index]);
    let mut remaining = total as f64;
    let mut shares = vec![0.0; offered.len()];
    for (position, index) in by_offered.iter().enumerate() {
        let equal_share = remaining / (offered.len() - position) as f64;
        shares[*index] = equal_share.min(offered[*index] as f64);
        remaining -= shares[*index];
    }
    shares
}
