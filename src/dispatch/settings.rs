//! Settings of the request decisions.

/// How an endpoint is chosen among those that have room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// Least loaded of all, by the load told on answers.
    LeastLoaded,
    /// Least loaded of two chosen at random, by the load told on answers.
    PowerOfTwoChoices,
    /// Each in turn, whatever its load.
    RoundRobin,
    /// Slots divided evenly between daemons, each endpoint in turn.
    StaticSplit,
    /// Slots divided between daemons by shares that they trade.
    DynamicSplit,
}

/// Bounds and weights of the request decisions.
#[derive(Debug, Clone)]
pub struct DispatchSettings {
    /// How an endpoint is chosen.
    pub routing: RoutingPolicy,
    /// Requests that an endpoint runs at once, unless its answers say otherwise.
    pub default_slots: u32,
    /// Connections that an endpoint accepts from all daemons together.
    pub endpoint_connections: usize,
    /// Requests of one daemon sent beyond an endpoint's free slots, to cover the way there.
    pub slack: u32,
    /// Longest queue of a pool, in requests.
    pub max_queued: usize,
    /// Longest queue of a pool, in bytes of bodies.
    pub max_queued_bytes: usize,
    /// Longest wait in a queue, in microseconds.
    pub max_queue_wait_us: u64,
    /// Tries of one request.
    pub max_attempts: u32,
    /// Retries allowed for each first try.
    pub retry_ratio: f64,
    /// Retries that may be saved up.
    pub retry_burst: f64,
    /// Smallest hint when to come back, in milliseconds.
    pub min_retry_after_ms: u64,
    /// Time between checks of waiting requests, in microseconds.
    pub tick_interval_us: u64,
    /// A load report loses its weight over this time, in microseconds.
    pub load_stale_us: u64,
    /// Load added to endpoints of other zones when they are compared, as a share of their slots.
    pub remote_penalty: f64,
    /// First time that a failing endpoint gets no requests, in microseconds.
    pub ejection_us: u64,
    /// Longest time that a failing endpoint gets no requests, in microseconds.
    pub max_ejection_us: u64,
    /// Largest share of a pool's endpoints ejected for bad answers at once.
    pub max_ejected_share: f64,
}

impl Default for DispatchSettings {
    fn default() -> DispatchSettings {
        DispatchSettings {
            routing: RoutingPolicy::LeastLoaded,
            default_slots: 8,
            endpoint_connections: 64,
            slack: 1,
            max_queued: 512,
            max_queued_bytes: 8 << 20,
            max_queue_wait_us: 1_000_000,
            max_attempts: 3,
            retry_ratio: 0.1,
            retry_burst: 10.0,
            min_retry_after_ms: 200,
            tick_interval_us: 20_000,
            load_stale_us: 1_000_000,
            remote_penalty: 0.25,
            ejection_us: 500_000,
            max_ejection_us: 10_000_000,
            max_ejected_share: 0.34,
        }
    }
}
