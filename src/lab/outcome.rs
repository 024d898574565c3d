//! What callers got in a play, and what it took.

use std::collections::BTreeMap;

use serde::Serialize;

/// Jobs of one queue.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct QueueOutcome {
    /// All jobs that callers sent.
    pub jobs: u32,
    /// Completed in their allowed time.
    pub on_time: u32,
    /// Completed in up to three times that time.
    pub late: u32,
    /// Refused on arrival.
    pub refused: u32,
    /// Neither completed by then nor refused.
    pub unserved: u32,
    /// Worth of the completed jobs as a share of the worth of all.
    pub earned_share: f64,
    /// Quantiles of the completion time of completed jobs.
    pub p50_ms: u64,
    /// See [`QueueOutcome::p50_ms`].
    pub p95_ms: u64,
}

/// The fleet over the whole play.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct FleetOutcome {
    /// Seconds of hosts in pools other than the spare pool.
    pub host_seconds: f64,
    /// Of these, as if all hosts were filled by what their tasks reserve.
    pub used_host_seconds: f64,
    /// Moves of hosts between pools.
    pub moves: u32,
    /// Runs that were started.
    pub starts: u32,
}

/// State of one pool at a moment.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Sample {
    /// Time since the first arrival.
    pub at_s: f64,
    /// Name of the pool.
    pub pool: String,
    /// Hosts in the pool or moving there.
    pub hosts: u32,
    /// CPU that tasks reserve, in cores.
    pub reserved_cores: f64,
    /// CPU that on-time jobs demand, in cores, as the scheduler counts it.
    pub demand_cores: f64,
    /// The same for the time at which a host that is ordered now can run tasks.
    pub forecast_cores: f64,
    /// CPU that other jobs demand, in cores.
    pub late_cores: f64,
}

/// Everything that a play tells.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Outcome {
    /// By queue name.
    pub queues: BTreeMap<String, QueueOutcome>,
    /// Costs.
    pub fleet: FleetOutcome,
    /// Every 0.2 s, one for each pool.
    pub samples: Vec<Sample>,
    /// Invariants that were violated.
    pub violations: Vec<String>,
}

impl Outcome {
    /// Share of all jobs that completed in time.
    pub fn on_time_share(&self) -> f64 {
        let on_time: u32 = self.queues.values().map(|queue| queue.on_time).sum();
        let jobs: u32 = self.queues.values().map(|queue| queue.jobs).sum();
        f64::from(on_time) / f64::from(jobs.max(1))
    }

    /// The figures that are compared between ways of deciding.
    pub fn figures(&self) -> Vec<(&'static str, f64)> {
        let queues = self.queues.values();
        let jobs: u32 = queues.clone().map(|queue| queue.jobs).sum();
        let share = |count: u32| f64::from(count) / f64::from(jobs.max(1));
        let lowest = queues.clone().map(|queue| queue.earned_share).fold(f64::INFINITY, f64::min);
        let earned = queues.clone().map(|queue| queue.earned_share * f64::from(queue.jobs)).sum::<f64>();
        vec![
            ("on time", self.on_time_share()),
            ("late", share(queues.clone().map(|queue| queue.late).sum())),
            ("refused", share(queues.clone().map(|queue| queue.refused).sum())),
            ("unserved", share(queues.clone().map(|queue| queue.unserved).sum())),
            ("earned", earned / f64::from(jobs.max(1))),
            ("earned, lowest queue", lowest),
            ("p95, s, highest queue", queues.map(|queue| queue.p95_ms).max().unwrap_or(0) as f64 / 1_000.0),
            ("host seconds", self.fleet.host_seconds),
            ("moves", f64::from(self.fleet.moves)),
        ]
    }
}
