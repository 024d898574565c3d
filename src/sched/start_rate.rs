//! Limits the starts of tasks to what the leader has processor time for.
//!
//! The load that this answers: more tasks could start than the leader can order, store and follow. Each start then delays
//! all others and the notice of ended runs, until no job is on time. The limit follows whether the leader is behind all the
//! time: it falls while the leader is, and rises again slowly. A delay that passes by itself does not count. Jobs wait for
//! their turn where their order can still be decided.

use crate::clock::{US_PER_MS, US_PER_S};

/// By what the limit is multiplied each time that the leader is found to be behind, and to be in time.
const DECREASE: f64 = 0.85;
const INCREASE: f64 = 1.12;
/// A leader that starts fewer tasks than this is behind for another reason, and has no limit.
const MIN_STARTS_PER_S: f64 = 40.0;
/// The limit does not fall below this share of the highest rate that the leader has kept up in time.
const MIN_SHARE_OF_HIGHEST: f64 = 0.4;
/// A limit that exceeds the rate of starts by this factor is lifted.
const LIFTED_ABOVE_RATE: f64 = 3.0;
/// Unused starts of this time may be made up for.
const MAX_BURST_MS: f64 = 60.0;
/// Time over which the rate of starts is averaged.
const AVERAGE_OVER_MS: f64 = 300.0;

/// How many tasks may start per second, if that is limited.
#[derive(Debug, Default)]
pub(super) struct StartRate {
    limit_per_s: Option<f64>,
    /// Starts that are allowed now, while there is a limit.
    allowance: f64,
    refilled_us: u64,
    /// Moving average of the starts per second.
    rate_per_s: f64,
    /// Its highest value while the leader was not behind.
    highest_per_s: f64,
    started: u32,
    adjusted_us: u64,
}

impl StartRate {
    /// Number of tasks that may start now; `None` without a limit.
    pub(super) fn allowance(&mut self, now_us: u64) -> Option<usize> {
        let limit_per_s = self.limit_per_s?;
        let elapsed_ms = now_us.saturating_sub(self.refilled_us) as f64 / US_PER_MS as f64;
        self.refilled_us = now_us;
        let max = (limit_per_s * MAX_BURST_MS / 1_000.0).max(1.0);
        self.allowance = (self.allowance + limit_per_s * elapsed_ms / 1_000.0).min(max);
        Some(self.allowance as usize)
    }

    /// Counts the start of a task.
    pub(super) fn record_start(&mut self) {
        self.started += 1;
        self.allowance = (self.allowance - 1.0).max(0.0);
    }

    /// The present limit, in starts per second.
    pub(super) fn limit_per_s(&self) -> Option<f64> {
        self.limit_per_s
    }

    /// Adjusts the limit to whether the leader is behind.
    pub(super) fn adjust(&mut self, now_us: u64, is_behind: bool) {
        let elapsed_us = now_us.saturating_sub(self.adjusted_us);
        if elapsed_us == 0 {
            return;
        }
        self.adjusted_us = now_us;
        let elapsed_ms = elapsed_us as f64 / US_PER_MS as f64;
        let present_per_s = f64::from(self.started) * US_PER_S as f64 / elapsed_us as f64;
        let weight = 1.0 - (-elapsed_ms / AVERAGE_OVER_MS).exp();
        self.rate_per_s += weight * (present_per_s - self.rate_per_s);
        self.started = 0;
        if !is_behind {
            self.highest_per_s = self.highest_per_s.max(self.rate_per_s);
        }
        let min_per_s = (self.highest_per_s * MIN_SHARE_OF_HIGHEST).max(MIN_STARTS_PER_S);
        self.limit_per_s = match (self.limit_per_s, is_behind) {
            (None, true) if self.rate_per_s > MIN_STARTS_PER_S => Some((self.rate_per_s * DECREASE).max(min_per_s)),
            (None, _) => None,
            (Some(limit), true) => Some((limit * DECREASE).max(min_per_s)),
            (Some(limit), false) => {
                let raised = limit * INCREASE;
                (raised < self.rate_per_s.max(MIN_STARTS_PER_S) * LIFTED_ABOVE_RATE).then_some(raised)
            }
        };
    }
}
