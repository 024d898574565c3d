//! Settings of the dispatcher.

/// How an endpoint is chosen among those with room for another request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// The least loaded of all, by the load that endpoints report with their responses.
    LeastLoaded,
    /// The less loaded of two chosen at random, by the same reports.
    PowerOfTwoChoices,
    /// Each endpoint in turn, whatever its load.
    RoundRobin,
    /// Slots divided evenly between daemons; each endpoint in turn.
    StaticSplit,
    /// Slots divided between daemons by the shares given to [`set_slot_share`](super::Dispatcher::set_slot_share);
    /// each endpoint in turn.
    DynamicSplit,
}

/// Limits and weights of the dispatcher's decisions.
#[derive(Debug, Clone)]
pub struct DispatchSettings {
    /// Load-balancing policy.
    pub routing: RoutingPolicy,
    /// Requests that an endpoint is assumed to run at once, until it reports its own number with a response.
    pub default_slots: u32,
    /// Connections that an endpoint accepts from all daemons together.
    pub endpoint_connections: usize,
    /// Requests that a daemon may send beyond an endpoint's free slots, to cover the network delay.
    pub extra_slots: u32,
    /// Maximum number of requests queued per pool.
    pub max_queued: usize,
    /// Maximum size of the request bodies queued per pool, in bytes.
    pub max_queued_bytes: usize,
    /// Longest estimated queue wait at which a request is still accepted, in microseconds.
    pub max_queue_wait_us: u64,
    /// Maximum number of attempts of one request, the first included.
    pub max_attempts: u32,
    /// Largest ratio of retries to first attempts in a pool, apart from the burst.
    pub retry_ratio: f64,
    /// Maximum number of unused retries that a pool accumulates; a new pool has this many.
    pub retry_burst: f64,
    /// Shortest retry delay suggested to a refused caller, in milliseconds.
    pub min_retry_after_ms: u64,
    /// Time between calls of [`Dispatcher::tick`](super::Dispatcher::tick) while requests are queued, in microseconds.
    pub tick_interval_us: u64,
    /// Age at which a load report has lost all its weight, in microseconds.
    pub load_report_max_age_us: u64,
    /// Load added to endpoints of other zones when loads are compared, as a share of their slots.
    pub remote_zone_penalty: f64,
    /// Duration of an endpoint's first ejection, in microseconds; it doubles with each further one until a request
    /// succeeds.
    pub initial_ejection_us: u64,
    /// Longest duration of an ejection, in microseconds.
    pub max_ejection_us: u64,
    /// Largest share of a pool's endpoints ejected for failed requests at once. Unreachable ones do not count.
    pub max_ejected_share: f64,
}

impl Default for DispatchSettings {
    fn default() -> DispatchSettings {
        DispatchSettings {
            routing: RoutingPolicy::LeastLoaded,
            default_slots: 8,
            endpoint_connections: 64,
            extra_slots: 1,
            max_queued: 512,
            max_queued_bytes: 8 << 20,
            max_queue_wait_us: 1_000_000,
            max_attempts: 3,
            retry_ratio: 0.1,
            retry_burst: 10.0,
            min_retry_after_ms: 200,
            tick_interval_us: 20_000,
            load_report_max_age_us: 1_000_000,
            remote_zone_penalty: 0.25,
            initial_ejection_us: 500_000,
            max_ejection_us: 10_000_000,
            max_ejected_share: 0.34,
        }
    }
}
