//! The ways in which the scheduler decides, where several exist. The defaults are in use; the others serve to compare.

use super::fair_order::LateJobs;
use super::forecast::ArrivalGrowth;
use super::overload::OverloadOrder;

/// One way for each decision.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Policies {
    pub(crate) overload_order: OverloadOrder,
    pub(crate) late_jobs: LateJobs,
    pub(crate) arrival_growth: ArrivalGrowth,
}
