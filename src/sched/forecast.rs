//! Forecast of each pool's demand, from the work that arrives and the demand of the last moments.
//!
//! Work that arrives steadily keeps as many cores busy as core-seconds of it arrive per second. While arrivals grow, the
//! forecast extends their growth to the time at which a host that is ordered now can run tasks, so that hosts arrive
//! with the load rather than after it.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use super::job::Job;
use crate::clock::US_PER_MS;

/// A pool's demand is the maximum over this window.
const DEMAND_WINDOW_MS: u64 = 800;
/// Window over which arriving work is averaged.
const ARRIVAL_WINDOW_MS: u64 = 600;
/// The window grows in steps up to this length while it holds too few jobs to tell a change from chance.
const MAX_ARRIVAL_WINDOW_MS: u64 = 1_200;
const ARRIVAL_WINDOW_STEP_MS: u64 = 150;
/// Jobs that the window should hold, as if all were of equal size. With 16, their number varies by a quarter.
const MIN_EQUAL_JOBS: f64 = 16.0;
/// Weight of chance when a change of the arrivals is judged: below 1, because hosts that come too late for a rise cost more
/// than hosts that come for a rise which ends.
const CHANCE_WEIGHT: f64 = 0.5;

/// Limit on the growth of arrivals, as a multiple of the latest rate.
#[cfg(feature = "lab")]
const MAX_GROWTH: f64 = 2.0;

/// How far a growth of the arrivals is extended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum ArrivalGrowth {
    /// As far as the time to a host's arrival. A few large jobs then look like a rise to several times the fleet, but hosts
    /// are there early when a queue's demand does rise.
    #[default]
    Unlimited,
    /// At most to [`MAX_GROWTH`] times the latest rate.
    #[cfg(feature = "lab")]
    Limited,
}

/// Recent values as (time, value), newest last.
type Samples<T> = VecDeque<(u64, T)>;

/// Demand of a pool, in thousandths of a core.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RecentDemand {
    /// Of tasks that run or could start.
    pub(super) present_milli: u64,
    /// Of long-running tasks and of jobs that arrive, when a host that is ordered now can run tasks.
    pub(super) arriving_milli: u64,
}

/// Work that arrived within a window, in thousandths of a core times milliseconds.
#[derive(Debug, Default, Clone, Copy)]
struct ArrivalWindow {
    older: f64,
    newer: f64,
    /// Sum of the squares of the jobs' work.
    squares: f64,
}

/// Forecasts each pool's demand. CPU is in thousandths of a core.
#[derive(Debug)]
pub(super) struct DemandForecast {
    /// Time from ordering a host to having it.
    lead_ms: u64,
    growth: ArrivalGrowth,
    /// Recent demand of each pool.
    demand: BTreeMap<Arc<str>, Samples<RecentDemand>>,
    /// Work that arrived recently for each pool, in thousandths of a core times milliseconds.
    arrivals: BTreeMap<Arc<str>, Samples<u64>>,
}

impl DemandForecast {
    pub(super) fn new(lead_ms: u64, growth: ArrivalGrowth) -> DemandForecast {
        DemandForecast { lead_ms, growth, demand: BTreeMap::new(), arrivals: BTreeMap::new() }
    }

    /// Adds a new job's work to the arriving work of its pool. `run_time_ratio` is the average run time in its queue as a
    /// multiple of the estimate.
    pub(super) fn record_arrival(&mut self, now_us: u64, pool: &Arc<str>, job: &Job, run_time_ratio: f64) {
        let mut work = 0.0;
        for step in &job.spec.steps {
            if !step.long_running {
                work += f64::from(step.count) * step.reserved().cpu_milli as f64 * step.estimate_ms as f64;
            }
        }
        let recent = self.arrivals.entry(pool.clone()).or_default();
        recent.push_back((now_us, (work * run_time_ratio) as u64));
    }

    /// CPU that arriving jobs will keep busy when a host that is ordered now can run tasks.
    ///
    /// Extends the change of the arrivals over the window as far as it is more than chance: jobs that arrive
    /// independently of each other change the difference between the halves of the window by about the root of the
    /// sum of their squared sizes.
    pub(super) fn arriving_demand_milli(&mut self, now_us: u64, pool: &str) -> u64 {
        let Some(recent) = self.arrivals.get_mut(pool) else { return 0 };
        discard_before(recent, now_us, MAX_ARRIVAL_WINDOW_MS);
        let mut window_ms = ARRIVAL_WINDOW_MS;
        let mut window = ArrivalWindow::of(recent, now_us, window_ms);
        while window.equal_jobs() < MIN_EQUAL_JOBS && window_ms < MAX_ARRIVAL_WINDOW_MS {
            window_ms += ARRIVAL_WINDOW_STEP_MS;
            window = ArrivalWindow::of(recent, now_us, window_ms);
        }
        let expected = window.expected_rate(window_ms as f64, self.lead_ms as f64);
        let limit = match self.growth {
            ArrivalGrowth::Unlimited => f64::INFINITY,
            #[cfg(feature = "lab")]
            ArrivalGrowth::Limited => MAX_GROWTH * window.latest_rate(window_ms as f64),
        };
        expected.min(limit) as u64
    }

    /// Records a pool's present demand and the CPU that arriving jobs will keep busy, and returns the highest values
    /// within the demand window.
    pub(super) fn record_demand(
        &mut self,
        now_us: u64,
        pool: &Arc<str>,
        present_milli: u64,
        arriving_milli: u64,
    ) -> RecentDemand {
        let recent = self.demand.entry(pool.clone()).or_default();
        recent.push_back((now_us, RecentDemand { present_milli, arriving_milli }));
        discard_before(recent, now_us, DEMAND_WINDOW_MS);
        let mut highest = RecentDemand { present_milli: 0, arriving_milli: 0 };
        for (_, demand) in recent {
            highest.present_milli = highest.present_milli.max(demand.present_milli);
            highest.arriving_milli = highest.arriving_milli.max(demand.arriving_milli);
        }
        highest
    }
}

impl ArrivalWindow {
    fn of(samples: &Samples<u64>, now_us: u64, window_ms: u64) -> ArrivalWindow {
        let mut window = ArrivalWindow::default();
        for (at_us, work) in samples.iter().rev() {
            let age_us = now_us.saturating_sub(*at_us);
            if age_us > window_ms * US_PER_MS {
                break;
            }
            let work = *work as f64;
            window.squares += work * work;
            match age_us > window_ms * US_PER_MS / 2 {
                true => window.older += work,
                false => window.newer += work,
            }
        }
        window
    }

    /// Number of jobs of equal size whose number would vary as much as the work in the window.
    fn equal_jobs(&self) -> f64 {
        if self.squares == 0.0 {
            return 0.0;
        }
        (self.older + self.newer).powi(2) / self.squares
    }

    /// Work per millisecond that arrived in the newer half of the window, or in the whole if that is more.
    #[cfg(feature = "lab")]
    fn latest_rate(&self, window_ms: f64) -> f64 {
        let half_ms = window_ms / 2.0;
        (self.newer / half_ms).max((self.older + self.newer) / window_ms)
    }

    /// Work per millisecond that is expected to arrive `lead_ms` after the window.
    fn expected_rate(&self, window_ms: f64, lead_ms: f64) -> f64 {
        if self.squares == 0.0 {
            return 0.0;
        }
        let half_ms = window_ms / 2.0;
        let change = self.newer - self.older;
        let certain_share = change * change / (change * change + CHANCE_WEIGHT * self.squares);
        let change_per_ms = certain_share * change / (half_ms * half_ms);
        // The rate is that of the middle of the window, half a window ago.
        let rate = (self.older + self.newer) / window_ms;
        (rate + change_per_ms * (lead_ms + half_ms)).max(0.0)
    }
}

/// Removes the samples that are older than the window.
fn discard_before<T>(samples: &mut Samples<T>, now_us: u64, window_ms: u64) {
    while samples.front().is_some_and(|(at_us, _)| now_us > at_us + window_ms * US_PER_MS) {
        samples.pop_front();
    }
}
