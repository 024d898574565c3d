//! Ejects endpoints that fail or cannot be reached, and readmits each after a single successful probe request.

/// Weight of the latest request in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.2;
/// An endpoint is ejected when its moving average of failures (0 to 1) exceeds this.
const EJECTION_THRESHOLD: f64 = 0.5;

/// Whether an endpoint receives requests.
#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    Healthy,
    /// No requests until `until_us`.
    Ejected {
        until_us: u64,
        cause: EjectionCause,
    },
    /// One request at a time, as a probe, until one succeeds.
    Probing {
        cause: EjectionCause,
    },
}

/// Why an endpoint was ejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EjectionCause {
    /// No connection could be made.
    Unreachable,
    /// Too many requests failed.
    Failing,
}

/// Health of one endpoint, as this daemon sees it.
#[derive(Debug, Clone)]
pub(super) struct Health {
    state: State,
    /// Moving average of requests, with 1 for a failed and 0 for a successful one.
    failure_average: f64,
    /// Number of ejections since the last successful request.
    ejections: u32,
    /// Incremented by each ejection and readmission.
    generation: u32,
}

/// Durations of ejections: the first one, doubled with each further one until a request succeeds, and the longest.
#[derive(Debug, Clone, Copy)]
pub(super) struct Backoff {
    pub(super) initial_us: u64,
    pub(super) max_us: u64,
}

impl Health {
    pub(super) fn new() -> Health {
        Health { state: State::Healthy, failure_average: 0.0, ejections: 0, generation: 0 }
    }

    /// Maximum number of requests in flight; `None` (no limit) if the endpoint is healthy.
    pub(super) fn max_in_flight(&self, now_us: u64) -> Option<u32> {
        match self.state {
            State::Healthy => None,
            State::Ejected { until_us, .. } if now_us < until_us => Some(0),
            State::Ejected { .. } | State::Probing { .. } => Some(1),
        }
    }

    /// Whether it was ejected for failed requests and has not been readmitted since. Only such endpoints count towards
    /// [`max_ejected_share`](super::DispatchSettings::max_ejected_share).
    pub(super) fn is_ejected_for_failures(&self) -> bool {
        match self.state {
            State::Healthy => false,
            State::Ejected { cause, .. } | State::Probing { cause } => cause == EjectionCause::Failing,
        }
    }

    /// When its ejection ends, if it is ejected.
    pub(super) fn ejected_until_us(&self) -> Option<u64> {
        match self.state {
            State::Ejected { until_us, .. } => Some(until_us),
            State::Healthy | State::Probing { .. } => None,
        }
    }

    /// Generation of a request that is sent now. The result of a request of an earlier generation, which was sent before
    /// the latest ejection or readmission, changes nothing: it shows how the endpoint was before.
    pub(super) fn generation(&self) -> u32 {
        self.generation
    }

    /// Records that a request was sent; the first one after an ejection is the probe.
    pub(super) fn on_start(&mut self, now_us: u64) {
        if let State::Ejected { until_us, cause } = self.state {
            if now_us >= until_us {
                self.state = State::Probing { cause };
            }
        }
    }

    /// Records a successful request, which readmits an ejected endpoint.
    pub(super) fn on_success(&mut self, generation: u32) {
        if generation != self.generation {
            return;
        }
        self.failure_average *= 1.0 - FAILURE_WEIGHT;
        if self.state != State::Healthy {
            self.failure_average = 0.0;
            self.generation += 1;
        }
        self.ejections = 0;
        self.state = State::Healthy;
    }

    /// Records that no connection could be made.
    pub(super) fn on_unreachable(&mut self, now_us: u64, generation: u32, backoff: Backoff) {
        if generation != self.generation {
            return;
        }
        self.eject(now_us, EjectionCause::Unreachable, backoff);
    }

    /// Records a failed request. `may_eject` tells whether the pool allows a further endpoint to be ejected.
    pub(super) fn on_failure(&mut self, now_us: u64, generation: u32, may_eject: bool, backoff: Backoff) {
        if generation != self.generation {
            return;
        }
        self.failure_average += FAILURE_WEIGHT * (1.0 - self.failure_average);
        let probe_failed = self.state != State::Healthy;
        if probe_failed || (may_eject && self.failure_average > EJECTION_THRESHOLD) {
            self.eject(now_us, EjectionCause::Failing, backoff);
        }
    }

    fn eject(&mut self, now_us: u64, cause: EjectionCause, backoff: Backoff) {
        let doubled = backoff.initial_us.saturating_mul(1 << self.ejections.min(16));
        self.ejections += 1;
        self.generation += 1;
        self.state = State::Ejected { until_us: now_us + doubled.min(backoff.max_us), cause };
    }
}
