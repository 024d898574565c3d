//! Random sizes of jobs.

use rand::rngs::SmallRng;
use rand_distr::{Distribution, LogNormal};
use serde::Deserialize;

/// A size that varies from job to job by a log-normal distribution.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Size {
    pub(super) mean: f64,
    /// Standard deviation of the logarithm.
    #[serde(default)]
    pub(super) spread: f64,
    pub(super) max: f64,
}

impl Size {
    pub(super) fn check(&self) -> Result<(), String> {
        if self.mean > 0.0 && self.mean <= self.max && self.spread >= 0.0 && self.max.is_finite() {
            return Ok(());
        }
        Err(format!(
            "mean {}, spread {}, max {}: 0 < mean <= max and spread >= 0 are needed",
            self.mean, self.spread, self.max
        ))
    }

    /// Draws a size of at least `min`.
    pub(super) fn draw(&self, rng: &mut SmallRng, min: f64) -> f64 {
        (self.mean * factor(rng, self.spread)).clamp(min, self.max)
    }
}

/// Draws a factor with a mean of 1.
pub(super) fn factor(rng: &mut SmallRng, spread: f64) -> f64 {
    let Ok(distribution) = LogNormal::new(-spread * spread / 2.0, spread) else { return 1.0 };
    distribution.sample(rng)
}
