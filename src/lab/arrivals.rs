//! How the rate of a queue's jobs changes over time.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Deserialize;

/// Shape of a rate over time, with a mean of about 1 over its period.
#[derive(Debug, Clone, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub(super) enum Shape {
    Steady,
    /// High for `length_s` of each period, low for the rest.
    Turns {
        period_s: f64,
        phase_s: f64,
        length_s: f64,
        /// Rate between the turns.
        low: f64,
    },
    /// Turns that begin and end at random.
    RandomTurns {
        mean_high_s: f64,
        mean_low_s: f64,
        low: f64,
    },
    /// Steady, and `factor` times as much for a while.
    Burst {
        at_s: f64,
        for_s: f64,
        factor: f64,
    },
}

impl Shape {
    pub(super) fn check(&self) -> Result<(), String> {
        match self {
            Shape::Steady => Ok(()),
            Shape::Turns { period_s, length_s, low, .. } => {
                let is_valid = *length_s > 0.0 && length_s < period_s && (0.0..1.0).contains(low);
                if is_valid {
                    return Ok(());
                }
                Err(format!(
                    "turns of {length_s} s in {period_s} s, low {low}: 0 < length < period, 0 <= low < 1 are needed"
                ))
            }
            Shape::RandomTurns { mean_high_s, mean_low_s, low } => {
                if *mean_high_s > 0.0 && *mean_low_s > 0.0 && (0.0..1.0).contains(low) {
                    return Ok(());
                }
                Err("mean_high_s and mean_low_s must be above 0, and low from 0 to below 1".to_owned())
            }
            Shape::Burst { for_s, factor, .. } => {
                if *for_s > 0.0 && *factor > 0.0 {
                    return Ok(());
                }
                Err("for_s and factor must be above 0".to_owned())
            }
        }
    }

    /// The times at which the rate changes, each with the rate from then on, until `end_s`.
    pub(super) fn rates(&self, seed: u64, end_s: f64) -> Vec<(f64, f64)> {
        match self {
            Shape::Steady => vec![(0.0, 1.0)],
            Shape::Burst { at_s, for_s, factor } => vec![(0.0, 1.0), (*at_s, *factor), (at_s + for_s, 1.0)],
            Shape::Turns { period_s, phase_s, length_s, low } => {
                let high = (period_s - low * (period_s - length_s)) / length_s;
                let mut rates = vec![(0.0, *low)];
                let mut begin_s = phase_s.rem_euclid(*period_s) - period_s;
                while begin_s < end_s {
                    rates.push((begin_s, high));
                    rates.push((begin_s + length_s, *low));
                    begin_s += period_s;
                }
                rates
            }
            Shape::RandomTurns { mean_high_s, mean_low_s, low } => {
                let mut rng = SmallRng::seed_from_u64(seed);
                let period_s = mean_high_s + mean_low_s;
                let high = (period_s - low * mean_low_s) / mean_high_s;
                let mut rates = vec![(0.0, *low)];
                let mut at_s = 0.0;
                while at_s < end_s {
                    at_s += mean_low_s * rng.random_range(0.3..1.7);
                    rates.push((at_s, high));
                    at_s += mean_high_s * rng.random_range(0.3..1.7);
                    rates.push((at_s, *low));
                }
                rates
            }
        }
    }
}

/// The rate at a time.
pub(super) fn rate_at(rates: &[(f64, f64)], at_s: f64) -> f64 {
    let latest = rates.iter().rev().find(|(from_s, _)| *from_s <= at_s);
    latest.map_or(1.0, |(_, rate)| *rate)
}
