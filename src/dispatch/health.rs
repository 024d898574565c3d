//! Takes endpoints that fail out of use for a while, and lets them back by a single trial request.

/// Weight of the latest result in the average.
const FAILURE_WEIGHT: f64 = 0.2;
/// Average share of failures at which an endpoint is ejected.
const EJECT_ABOVE: f64 = 0.5;

/// Whether an endpoint gets requests.
#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    Usable,
    /// No requests until then.
    Away {
        until_us: u64,
        cause: Cause,
    },
    /// One request at a time until one succeeds.
    OnTrial {
        cause: Cause,
    },
}

/// Why an endpoint is out of use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Cause {
    /// No connection could be made.
    Unreachable,
    /// It answered badly or not at all.
    Failing,
}

/// Health of one endpoint, as this daemon sees it.
#[derive(Debug, Clone)]
pub(super) struct Health {
    state: State,
    failure_average: f64,
    /// Times out of use since the last success.
    ejections: u32,
}

/// Durations of being out of use.
#[derive(Debug, Clone, Copy)]
pub(super) struct Backoff {
    pub(super) first_us: u64,
    pub(super) longest_us: u64,
}

impl Health {
    pub(super) fn new() -> Health {
        Health { state: State::Usable, failure_average: 0.0, ejections: 0 }
    }

    /// Requests that may be in progress at once; `None` means no bound from here.
    pub(super) fn bound(&self, now_us: u64) -> Option<u32> {
        match self.state {
            State::Usable => None,
            State::Away { until_us, .. } if now_us < until_us => Some(0),
            State::Away { .. } | State::OnTrial { .. } => Some(1),
        }
    }

    /// Whether it counts against the share that may be ejected for bad answers.
    pub(super) fn is_ejected(&self) -> bool {
        match self.state {
            State::Usable => false,
            State::Away { cause, .. } | State::OnTrial { cause } => cause == Cause::Failing,
        }
    }

    /// When it may be tried again, if it is out of use.
    pub(super) fn back_at_us(&self) -> Option<u64> {
        match self.state {
            State::Away { until_us, .. } => Some(until_us),
            State::Usable | State::OnTrial { .. } => None,
        }
    }

    /// A request was sent.
    pub(super) fn started(&mut self, now_us: u64) {
        if let State::Away { until_us, cause } = self.state {
            if now_us >= until_us {
                self.state = State::OnTrial { cause };
            }
        }
    }

    /// A request was answered well.
    pub(super) fn succeeded(&mut self) {
        self.failure_average *= 1.0 - FAILURE_WEIGHT;
        if self.state != State::Usable {
            self.failure_average = 0.0;
        }
        self.ejections = 0;
        self.state = State::Usable;
    }

    /// No connection could be made.
    pub(super) fn unreachable(&mut self, now_us: u64, backoff: Backoff) {
        self.eject(now_us, Cause::Unreachable, backoff);
    }

    /// A request failed. `may_eject` says whether the pool can spare the endpoint.
    pub(super) fn failed(&mut self, now_us: u64, may_eject: bool, backoff: Backoff) {
        self.failure_average += FAILURE_WEIGHT * (1.0 - self.failure_average);
        let on_trial = self.state != State::Usable;
        if on_trial || (may_eject && self.failure_average > EJECT_ABOVE) {
            self.eject(now_us, Cause::Failing, backoff);
        }
    }

    fn eject(&mut self, now_us: u64, cause: Cause, backoff: Backoff) {
        if self.state != State::Usable && self.back_at_us().is_some_and(|back_at_us| now_us < back_at_us) {
            return;
        }
        let doubled = backoff.first_us.saturating_mul(1 << self.ejections.min(16));
        self.ejections += 1;
        self.state = State::Away { until_us: now_us + doubled.min(backoff.longest_us), cause };
    }
}
