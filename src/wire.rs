//! Names of headers, and the outcome that every answer to a caller carries.

use serde::{Deserialize, Serialize};

use crate::dispatch::LoadReport;

/// Outcome of a request: see [`Outcome`].
pub const OUTCOME: &str = "sardineseam-outcome";
/// Identifies a request; endpoints may echo it.
pub const REQUEST_ID: &str = "sardineseam-request-id";
/// Time left for a request, in milliseconds.
pub const DEADLINE_MS: &str = "sardineseam-deadline-ms";
/// Team of the caller, for fairness between teams.
pub const TEAM: &str = "sardineseam-team";
/// Who sends the request, for fairness between callers.
pub const CALLER: &str = "sardineseam-caller";
/// When to come back, in milliseconds; finer than `Retry-After`.
pub const RETRY_AFTER_MS: &str = "sardineseam-retry-after-ms";
/// An endpoint's load as `IN_FLIGHT/SLOTS`.
pub const LOAD: &str = "sardineseam-load";
/// `leaving` on the answers of an endpoint that takes no new work.
pub const STATE: &str = "sardineseam-state";
/// Value of [`STATE`] of an endpoint that leaves.
pub const LEAVING: &str = "leaving";
/// Names a non-idempotent request across resends.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// `true` on an answer that an earlier request with the same key got.
pub const REPLAYED: &str = "sardineseam-replayed";
/// Trace context as the W3C defines it.
pub const TRACEPARENT: &str = "traceparent";

/// Whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It ran, and this is its whole answer.
    Ran,
    /// It certainly did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Outcome {
    /// Value of the header [`OUTCOME`].
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Ran => "ran",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

/// Reads the value of [`LOAD`].
pub(crate) fn parse_load(value: &str) -> Option<LoadReport> {
    let (in_flight, slots) = value.split_once('/')?;
    Some(LoadReport { in_flight: in_flight.trim().parse().ok()?, slots: slots.trim().parse().ok()? })
}
