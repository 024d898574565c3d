//! HTTP headers exchanged with callers and endpoints, and the outcome that every response to a caller has.

use serde::{Deserialize, Serialize};

use crate::dispatch::LoadReport;

/// Outcome of a request, one of the names of [`Outcome`].
pub const OUTCOME: &str = "sardineseam-outcome";
/// Id of a request; endpoints may echo it.
pub const REQUEST_ID: &str = "sardineseam-request-id";
/// Time left until a request's deadline, in milliseconds.
pub const DEADLINE_MS: &str = "sardineseam-deadline-ms";
/// Team of the caller, for fairness between teams.
pub const TEAM: &str = "sardineseam-team";
/// Name of the caller, for fairness between callers.
pub const CALLER: &str = "sardineseam-caller";
/// Delay before a retry, in milliseconds; `Retry-After` has the same delay in whole seconds.
pub const RETRY_AFTER_MS: &str = "sardineseam-retry-after-ms";
/// Load of an endpoint, as `IN_FLIGHT/SLOTS`.
pub const LOAD: &str = "sardineseam-load";
/// State of an endpoint; [`LEAVING`] if it accepts no new requests.
pub const STATE: &str = "sardineseam-state";
/// Value of [`STATE`] for an endpoint that is leaving.
pub const LEAVING: &str = "leaving";
/// Key that identifies a non-idempotent request when it is retried.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// `true` if the response is that of an earlier request with the same key.
pub const REPLAYED: &str = "sardineseam-replayed";
/// W3C trace context.
pub const TRACEPARENT: &str = "traceparent";

/// Whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The request ran, and this is its complete response.
    Ran,
    /// The request certainly did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Value of the header [`OUTCOME`] for this outcome.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Ran => "ran",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

/// Parses the value of the header [`LOAD`].
pub(crate) fn parse_load(value: &str) -> Option<LoadReport> {
    let (in_flight, slots) = value.split_once('/')?;
    Some(LoadReport { in_flight: in_flight.trim().parse().ok()?, slots: slots.trim().parse().ok()? })
}
