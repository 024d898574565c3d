//! Budget that keeps retries a small share of the load.

/// Retries saved up from first tries.
#[derive(Debug)]
pub(super) struct RetryBudget {
    tokens: f64,
    ratio: f64,
    burst: f64,
}

impl RetryBudget {
    /// Allows `ratio` retries for each first try, and saves up to `burst` of them.
    pub(super) fn new(ratio: f64, burst: f64) -> RetryBudget {
        RetryBudget { tokens: burst, ratio, burst }
    }

    /// Counts a first try.
    pub(super) fn deposit(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst);
    }

    /// Takes a retry, if one is left.
    pub(super) fn withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
