//! What happens in a run in virtual time: its parameters, its fault, and the requests that callers send.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sardineseam::dispatch::RoutingPolicy;
use sardineseam::US_PER_S;

use super::{CALLERS, DAEMONS, ENDPOINTS, SLOTS_PER_ENDPOINT};

const MEAN_SERVICE_TIME_US: f64 = 20_000.0;
/// Share of the requests that the busiest caller, number 0, sends.
const BUSIEST_CALLER_SHARE: f64 = 0.5;
const IDEMPOTENT_SHARE: f64 = 0.7;

/// What fails between [`Scenario::fault_from_us`] and [`Scenario::fault_until_us`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// One endpoint answers every request at once with a server error.
    FailingEndpoint,
    /// The open connections from one daemon to one endpoint stop carrying data; new ones work.
    SilentConnections,
    /// Zone 0 and the other zones cannot reach each other.
    ZonePartition,
    /// One endpoint takes [`SLOWDOWN_FACTOR`](super::SLOWDOWN_FACTOR) times as long for each request.
    SlowEndpoint,
    /// One endpoint always reports that it is idle.
    IdleReportingEndpoint,
    /// One endpoint is down, and the host list, which is not updated, still shows it as live.
    PlatformOutage,
}

impl Fault {
    pub const ALL: [Fault; 7] = [
        Fault::None,
        Fault::FailingEndpoint,
        Fault::SlowEndpoint,
        Fault::IdleReportingEndpoint,
        Fault::SilentConnections,
        Fault::ZonePartition,
        Fault::PlatformOutage,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Fault::None => "none",
            Fault::FailingEndpoint => "failing endpoint",
            Fault::SlowEndpoint => "slow endpoint",
            Fault::IdleReportingEndpoint => "endpoint reports no load",
            Fault::SilentConnections => "silent connections",
            Fault::ZonePartition => "zone partition",
            Fault::PlatformOutage => "platform outage",
        }
    }
}

/// Parameters of one run.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub routing: RoutingPolicy,
    /// Offered load as a share of the pool's capacity.
    pub load: f64,
    pub fault: Fault,
    pub seed: u64,
    pub duration_us: u64,
    pub fault_from_us: u64,
    pub fault_until_us: u64,
}

impl Scenario {
    pub fn new(routing: RoutingPolicy, load: f64, fault: Fault, seed: u64) -> Scenario {
        Scenario {
            routing,
            load,
            fault,
            seed,
            duration_us: 12 * US_PER_S,
            fault_from_us: 4 * US_PER_S,
            fault_until_us: 7 * US_PER_S,
        }
    }
}

/// A request of a caller, and what has become of it.
#[derive(Debug, Clone)]
pub(super) struct Request {
    pub(super) daemon: usize,
    pub(super) caller: usize,
    pub(super) idempotent: bool,
    pub(super) arrived_us: u64,
    pub(super) service_time_us: u64,
    /// How often endpoints have run it.
    pub(super) runs: u32,
    /// Whether the caller was told that it did not run.
    pub(super) not_run: bool,
}

/// Requests per second that the pool can serve.
pub fn capacity_per_s() -> f64 {
    (ENDPOINTS * SLOTS_PER_ENDPOINT) as f64 * US_PER_S as f64 / MEAN_SERVICE_TIME_US
}

/// Draws arrivals and service times from the scenario's seed. They are the same for every routing policy and for the
/// ideal queue.
pub(super) fn draw_requests(scenario: &Scenario) -> Vec<Request> {
    let mut rng = SmallRng::seed_from_u64(scenario.seed);
    let mean_gap_us = US_PER_S as f64 / (capacity_per_s() * scenario.load);
    let exponential = |rng: &mut SmallRng, mean: f64| -mean * (1.0 - rng.random::<f64>()).ln();
    let mut requests = Vec::new();
    let mut time_us = 0.0;
    loop {
        time_us += exponential(&mut rng, mean_gap_us);
        if time_us >= scenario.duration_us as f64 {
            return requests;
        }
        let from_busiest = rng.random::<f64>() < BUSIEST_CALLER_SHARE;
        requests.push(Request {
            daemon: rng.random_range(0..DAEMONS),
            caller: if from_busiest { 0 } else { rng.random_range(1..CALLERS) },
            idempotent: rng.random::<f64>() < IDEMPOTENT_SHARE,
            arrived_us: time_us as u64,
            service_time_us: exponential(&mut rng, MEAN_SERVICE_TIME_US).max(1.0) as u64,
            runs: 0,
            not_run: false,
        });
    }
}

/// Response times of the same requests with a single queue for all slots, and without network delay or faults.
pub fn ideal_response_times_us(scenario: &Scenario) -> Vec<u64> {
    let mut slots_free_us: BinaryHeap<Reverse<u64>> = (0..ENDPOINTS * SLOTS_PER_ENDPOINT).map(|_| Reverse(0)).collect();
    let mut response_times_us = Vec::new();
    for request in draw_requests(scenario) {
        let Some(Reverse(free_us)) = slots_free_us.pop() else { continue };
        let end_us = free_us.max(request.arrived_us) + request.service_time_us;
        slots_free_us.push(Reverse(end_us));
        response_times_us.push(end_us - request.arrived_us);
    }
    response_times_us
}
