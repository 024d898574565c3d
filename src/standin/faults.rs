//! Faults that can be injected into the stand-in.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Upper limit of [`Faults::slow_ms`].
const MAX_DELAY_MS: u64 = 60_000;

/// The injected faults. They affect calls through [`Platform`](crate::Platform) and updates of tasks.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Faults {
    /// Every call fails and has no effect.
    pub down: bool,
    /// Delay before each call, in milliseconds.
    pub slow_ms: u64,
    /// Calls take effect, but fail as if their responses were lost.
    pub lose_answers: bool,
    /// Lag of the host list, in milliseconds.
    pub list_lag_ms: u64,
    /// Zones that are cut off: their calls fail and have no effect.
    pub cut_zones: Vec<Arc<str>>,
}

/// New values of some faults; those that are `None` stay as they are.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultChange {
    /// See [`Faults::down`].
    pub down: Option<bool>,
    /// See [`Faults::slow_ms`].
    pub slow_ms: Option<u64>,
    /// See [`Faults::lose_answers`].
    pub lose_answers: Option<bool>,
    /// See [`Faults::list_lag_ms`].
    pub list_lag_ms: Option<u64>,
    /// See [`Faults::cut_zones`].
    pub cut_zones: Option<Vec<Arc<str>>>,
}

impl Faults {
    /// Sets the faults that have a value in `change`.
    pub fn apply(&mut self, change: &FaultChange) {
        if let Some(down) = change.down {
            self.down = down;
        }
        if let Some(slow_ms) = change.slow_ms {
            self.slow_ms = slow_ms.min(MAX_DELAY_MS);
        }
        if let Some(lose_answers) = change.lose_answers {
            self.lose_answers = lose_answers;
        }
        if let Some(list_lag_ms) = change.list_lag_ms {
            self.list_lag_ms = list_lag_ms;
        }
        if let Some(cut_zones) = &change.cut_zones {
            self.cut_zones.clone_from(cut_zones);
        }
    }
}
