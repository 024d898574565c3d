//! Names of the ways in which the scheduler may decide.

use std::str::FromStr;

use crate::sched::fair_order::LateJobs;
use crate::sched::forecast::ArrivalGrowth;
use crate::sched::overload::OverloadOrder;
use crate::sched::policies::Policies;

/// Why a text names no way of deciding.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum PolicyError {
    /// Not of the form `DECISION=WAY`.
    #[error("{0:?}: expected DECISION=WAY, several separated by commas")]
    Syntax(String),
    /// No decision has this name.
    #[error("{0:?} is no decision; expected one of: arrival-growth, late-jobs, overload-order, run-time-scale")]
    Decision(String),
    /// The decision has no way of this name.
    #[error("{decision}: {way:?} is no way; expected one of: {expected}")]
    Way {
        /// Name of the decision.
        decision: String,
        /// The unknown name.
        way: String,
        /// Names that the decision has.
        expected: &'static str,
    },
}

/// One way for each decision; those that are not named are decided as in the daemon.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PolicySet {
    pub(super) policies: Policies,
}

impl FromStr for PolicySet {
    type Err = PolicyError;

    fn from_str(text: &str) -> Result<PolicySet, PolicyError> {
        let mut policies = Policies::default();
        for part in text.split(',').filter(|part| !part.is_empty()) {
            let Some((decision, way)) = part.split_once('=') else { return Err(PolicyError::Syntax(part.to_owned())) };
            match decision {
                "overload-order" => policies.overload_order = overload_order(way)?,
                "late-jobs" => policies.late_jobs = late_jobs(way)?,
                "arrival-growth" => policies.arrival_growth = arrival_growth(way)?,
                _ => return Err(PolicyError::Decision(decision.to_owned())),
            }
        }
        Ok(PolicySet { policies })
    }
}

fn overload_order(way: &str) -> Result<OverloadOrder, PolicyError> {
    match way {
        "least-time-left" => Ok(OverloadOrder::LeastTimeLeft),
        "most-jobs-on-time" => Ok(OverloadOrder::MostJobsOnTime),
        _ => Err(unknown("overload-order", way, "least-time-left, most-jobs-on-time")),
    }
}

fn late_jobs(way: &str) -> Result<LateJobs, PolicyError> {
    match way {
        "by-share" => Ok(LateJobs::ByShare),
        "after-on-time" => Ok(LateJobs::AfterOnTime),
        _ => Err(unknown("late-jobs", way, "by-share, after-on-time")),
    }
}

fn arrival_growth(way: &str) -> Result<ArrivalGrowth, PolicyError> {
    match way {
        "unlimited" => Ok(ArrivalGrowth::Unlimited),
        "limited" => Ok(ArrivalGrowth::Limited),
        _ => Err(unknown("arrival-growth", way, "unlimited, limited")),
    }
}

fn unknown(decision: &str, way: &str, expected: &'static str) -> PolicyError {
    PolicyError::Way { decision: decision.to_owned(), way: way.to_owned(), expected }
}
