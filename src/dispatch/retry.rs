//! Limits retries to a fixed share of the requests.

/// Token bucket: each retry takes one token, and each new request adds a fraction of one.
#[derive(Debug)]
pub(super) struct RetryBudget {
    tokens: f64,
    ratio: f64,
    burst: f64,
}

impl RetryBudget {
    /// Allows `ratio` retries for each request; up to `burst` unused ones are kept. Starts full.
    pub(super) fn new(ratio: f64, burst: f64) -> RetryBudget {
        RetryBudget { tokens: burst, ratio, burst }
    }

    /// Adds the tokens that a new request allows.
    pub(super) fn deposit(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst);
    }

    /// Takes the token for one retry; `false` if there is none.
    pub(super) fn try_withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
