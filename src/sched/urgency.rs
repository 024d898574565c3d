//! Order in which jobs get workers.
//!
//! Jobs that can still meet their deadline come first, by the time that they have left. In an overload this order alone
//! would start each job at the last moment, and all of them would then miss their deadlines by a little, since some
//! tasks run longer than estimated. So a job that has not begun needs some time to spare to count as on time.

use std::sync::Arc;

use super::job::{DeadlineForecast, Job, ShareClass};
use super::model::JobId;
use crate::clock::US_PER_MS;

/// Time that a job needs as a multiple of its critical path: a step ends with its longest task, which takes longer than
/// the estimated average.
const LONGEST_TASK_FACTOR: f64 = 1.2;
/// Time that a job needs in addition, to be started and to be reported as completed.
const OVERHEAD_MS: f64 = 150.0;

/// What comes before the deadlines of jobs. Smaller comes first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    pub(super) share_class: ShareClass,
    /// The lower priority number comes first.
    pub(super) priority: u32,
}

/// Position of a job among those of its pool; smaller comes first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Urgency {
    /// Jobs beyond the rate of their organisation come after all others.
    pub(super) share_class: ShareClass,
    /// Jobs that cannot be expected to meet their deadline come after all others.
    is_late: bool,
    /// The lower priority number comes first.
    priority: u32,
    forecast: DeadlineForecast,
    pub(super) id: JobId,
    /// Does not affect the order, since IDs differ.
    pub(super) organisation: Option<Arc<str>>,
}

impl Urgency {
    pub(super) fn of(now_us: u64, job: &Job, priority: u32) -> Urgency {
        let forecast = job.deadline_forecast(now_us);
        let (is_late, priority) = match forecast {
            // Long-running tasks must run at all times, whatever their queue's priority.
            DeadlineForecast::LongRunning => (false, 0),
            DeadlineForecast::OnTime { .. } => (!job.has_begun() && !has_time_to_spare(now_us, job), priority),
            DeadlineForecast::Late { .. } | DeadlineForecast::Expired { .. } => (true, priority),
        };
        let (share_class, organisation) = (job.share_class, job.spec.organisation.clone());
        Urgency { share_class, is_late, priority, forecast, id: job.id.clone(), organisation }
    }

    /// Whether the job is placed after those that can be on time.
    pub(super) fn is_late(&self) -> bool {
        self.is_late
    }

    /// The forecast of a job that counts as on time; `None` for all others.
    pub(super) fn on_time_forecast(&self) -> Option<DeadlineForecast> {
        (!self.is_late).then_some(self.forecast)
    }

    pub(super) fn rank(&self) -> Rank {
        Rank { share_class: self.share_class, priority: self.priority }
    }

    /// Places the job after all of its class that can be on time.
    pub(super) fn mark_late(&mut self) {
        self.is_late = true;
    }

    pub(super) fn is_long_running(&self) -> bool {
        self.forecast == DeadlineForecast::LongRunning
    }
}

/// Whether a job that begins now meets its deadline even if its tasks take somewhat longer than estimated.
fn has_time_to_spare(now_us: u64, job: &Job) -> bool {
    let needed_ms = job.critical_path_ms() as f64 * LONGEST_TASK_FACTOR + OVERHEAD_MS;
    now_us + needed_ms as u64 * US_PER_MS <= job.deadline_us
}
