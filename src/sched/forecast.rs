//! Forecast of each pool's demand, from the work that arrives and the demand of the last moments.
//!
//! Work that arrives steadily keeps as many cores busy as core-seconds of it arrive per second. While arrivals grow, the
//! forecast extends their growth to the time at which a host that is ordered now can run tasks, so that hosts arrive
//! with the load rather than after it.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use foldhash::HashMap;

use super::job::Job;
use crate::clock::US_PER_MS;

/// A pool's demand is the maximum over this window.
const DEMAND_WINDOW_MS: u64 = 800;
/// Window over which arriving work is averaged.
const ARRIVAL_WINDOW_MS: u64 = 600;
/// The forecast for growing arrivals is at most this multiple of their present rate, since a few jobs that arrive
/// together look like the beginning of a steep rise.
const MAX_GROWTH: f64 = 4.0;
/// Weight of the latest run in a queue's moving average of actual to estimated run time.
const RUN_TIME_RATIO_WEIGHT: f64 = 0.05;

/// Recent values as (time, value), newest last.
type Samples = VecDeque<(u64, u64)>;

/// Forecasts each pool's demand. CPU is in thousandths of a core.
#[derive(Debug)]
pub(super) struct DemandForecast {
    /// Time from ordering a host to having it.
    lead_ms: u64,
    /// Recent demand of each pool.
    demand: BTreeMap<Arc<str>, Samples>,
    /// Work that arrived recently for each pool, in thousandths of a core times milliseconds.
    arrivals: BTreeMap<Arc<str>, Samples>,
    /// Moving average of each queue's actual run time as a multiple of the estimate.
    run_time_ratio: HashMap<Arc<str>, f64>,
}

impl DemandForecast {
    pub(super) fn new(lead_ms: u64) -> DemandForecast {
        DemandForecast { lead_ms, demand: BTreeMap::new(), arrivals: BTreeMap::new(), run_time_ratio: HashMap::default() }
    }

    /// Adds a new job's work to the arriving work of its pool.
    pub(super) fn record_arrival(&mut self, now_us: u64, pool: &Arc<str>, job: &Job) {
        let mut work = 0;
        for step in &job.spec.steps {
            if !step.long_running {
                work += u64::from(step.count) * step.reserved().cpu_milli * step.estimate_ms;
            }
        }
        let ratio = self.run_time_ratio.get(&job.spec.queue.name).copied().unwrap_or(1.0);
        let recent = self.arrivals.entry(pool.clone()).or_default();
        recent.push_back((now_us, (work as f64 * ratio) as u64));
    }

    /// Updates the queue's average ratio of actual to estimated run time.
    pub(super) fn record_run_time(&mut self, queue: &Arc<str>, estimate_ms: u64, run_ms: u64) {
        if estimate_ms == 0 {
            return;
        }
        let ratio = self.run_time_ratio.entry(queue.clone()).or_insert(1.0);
        *ratio += RUN_TIME_RATIO_WEIGHT * (run_ms as f64 / estimate_ms as f64 - *ratio);
    }

    /// CPU that arriving jobs will keep busy when a host that is ordered now can run tasks.
    pub(super) fn arriving_demand_milli(&mut self, now_us: u64, pool: &str) -> u64 {
        let Some(recent) = self.arrivals.get_mut(pool) else { return 0 };
        discard_before(recent, now_us, ARRIVAL_WINDOW_MS);
        let half_ms = ARRIVAL_WINDOW_MS / 2;
        let (mut older, mut newer) = (0, 0);
        for (at_us, work) in recent {
            if now_us > *at_us + half_ms * US_PER_MS {
                older += *work;
            } else {
                newer += *work;
            }
        }
        let rate = ((older + newer) / ARRIVAL_WINDOW_MS) as f64;
        let growth_per_ms = newer.saturating_sub(older) as f64 / (half_ms * half_ms) as f64;
        // The rate is that of the middle of the window, half a window ago.
        let expected = rate + growth_per_ms * (self.lead_ms + half_ms) as f64;
        expected.min(rate * MAX_GROWTH) as u64
    }

    /// Records a pool's present demand.
    pub(super) fn record_demand(&mut self, now_us: u64, pool: &Arc<str>, milli: u64) {
        let recent = self.demand.entry(pool.clone()).or_default();
        recent.push_back((now_us, milli));
        discard_before(recent, now_us, DEMAND_WINDOW_MS);
    }

    /// Highest demand of a pool within the demand window.
    pub(super) fn recent_demand_milli(&self, pool: &str) -> u64 {
        let demand = self.demand.get(pool);
        demand.and_then(|recent| recent.iter().map(|(_, milli)| *milli).max()).unwrap_or(0)
    }
}

/// Removes the samples that are older than the window.
fn discard_before(samples: &mut Samples, now_us: u64, window_ms: u64) {
    while samples.front().is_some_and(|(at_us, _)| now_us > at_us + window_ms * US_PER_MS) {
        samples.pop_front();
    }
}
