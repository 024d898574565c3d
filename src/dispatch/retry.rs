//! Limits retries to a fixed share of first attempts.

/// Token bucket: each retry takes one token, and each first attempt adds a fraction of one. Requests that get no attempt
/// add nothing; otherwise an overload would refill the budget that limits retries during it.
#[derive(Debug)]
pub(super) struct RetryBudget {
    tokens: f64,
    ratio: f64,
    burst: f64,
}

impl RetryBudget {
    /// Allows `ratio` retries for each first attempt; up to `burst` unused ones are kept. Starts full.
    pub(super) fn new(ratio: f64, burst: f64) -> RetryBudget {
        RetryBudget { tokens: burst, ratio, burst }
    }

    /// Adds the tokens that a first attempt allows.
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
