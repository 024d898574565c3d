//! Faults that the stand-in can be told to show.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Longest delay that can be asked for, in milliseconds.
const MAX_SLOW_MS: u64 = 60_000;

/// The faults in force.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Faults {
    /// Every call fails without effect.
    pub down: bool,
    /// Delay before each call, in milliseconds.
    pub slow_ms: u64,
    /// Calls take effect but their answers are lost.
    pub lose_answers: bool,
    /// Age of the host list, in milliseconds.
    pub list_lag_ms: u64,
    /// Zones whose calls fail without effect.
    pub cut_zones: Vec<Arc<str>>,
}

/// New values for a subset of the faults.
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
    /// Takes over the values that `change` names.
    pub fn apply(&mut self, change: &FaultChange) {
        if let Some(down) = change.down {
            self.down = down;
        }
        if let Some(slow_ms) = change.slow_ms {
            self.slow_ms = slow_ms.min(MAX_SLOW_MS);
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
