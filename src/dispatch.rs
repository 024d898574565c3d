//! Request dispatcher: chooses an endpoint for each request, and decides when to queue, retry or refuse it.
//!
//! Performs no I/O and reads no clock: every call takes the current time and an event, and returns [`Action`]s. The
//! daemon and the benchmarks run the same code.

mod endpoint;
mod health;
mod pool;
mod queue;
mod retry;
mod settings;
mod subset;

#[cfg(test)]
mod dispatch_tests;
#[cfg(test)]
mod health_tests;
#[cfg(test)]
mod late_answer_tests;
#[cfg(test)]
mod queue_tests;
#[cfg(test)]
mod retired_pool_tests;
#[cfg(test)]
mod retry_tests;
#[cfg(test)]
mod verdict_tests;

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::SeedableRng;

use crate::platform::HostEntry;
use pool::Pool;

pub use endpoint::LoadReport;
pub use settings::{DispatchSettings, RoutingPolicy};

/// Identifies a request within one run of a daemon. The request id in headers is unique across daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LocalRequestId(pub u64);

/// Identifies one attempt of a request at one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId(pub u64);

/// A request that has just been read from its caller.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Chosen by the code that calls [`Dispatcher::on_arrival`]; unique within a run of the daemon.
    pub id: LocalRequestId,
    /// Pool whose endpoints can serve it.
    pub pool: Arc<str>,
    /// Team of its caller; teams are served round-robin.
    pub team: Arc<str>,
    /// Caller that sent it; the callers of a team are served round-robin.
    pub caller: Arc<str>,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Time after which a response is of no use to the caller.
    pub deadline_us: u64,
    /// Size of its body, which is held in memory while it is queued.
    pub body_bytes: usize,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptOutcome {
    /// A complete response arrived.
    Answered {
        /// Whether the response is a server error (HTTP 5xx).
        failed: bool,
        /// Load that the endpoint reported with its response.
        load: Option<LoadReport>,
    },
    /// The endpoint refused the request without starting it.
    Refused {
        /// Load that the endpoint reported with its refusal.
        load: Option<LoadReport>,
    },
    /// No byte of the request can have reached the endpoint.
    NotSent,
    /// The request may have run, but no complete response arrived.
    Lost {
        /// Whether the connection was opened for this request. A reused connection may have broken while it was idle,
        /// so a loss on it does not count as a failure of the endpoint.
        fresh_connection: bool,
    },
}

/// Why a request gets no attempt, or no further one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The pool's queue is full, or the wait in it would be too long.
    QueueFull,
    /// It could not be answered before its deadline.
    DeadlineTooClose,
    /// The pool has no endpoint that can be used at present.
    NoEndpoint,
    /// No attempt started the request, and no further attempt is allowed.
    OutOfTries,
}

impl Refusal {
    /// Short name used in metrics and in responses to callers.
    pub fn name(self) -> &'static str {
        match self {
            Refusal::QueueFull => "queue_full",
            Refusal::DeadlineTooClose => "deadline_too_close",
            Refusal::NoEndpoint => "no_endpoint",
            Refusal::OutOfTries => "out_of_tries",
        }
    }
}

/// Final decision on a request, given once.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Verdict {
    /// Pass the response of the attempt that just ended on to the caller.
    Deliver,
    /// The request certainly did not run.
    NotRun {
        /// Why it was not run.
        refusal: Refusal,
        /// Delay after which the caller should retry.
        retry_after_ms: u64,
    },
    /// The request may have run.
    Unknown,
}

/// Instruction to the code that calls the dispatcher.
#[derive(Debug, Clone)]
pub enum Action {
    /// Send the request to an endpoint.
    Start {
        /// Request to send.
        request: LocalRequestId,
        /// To be passed to [`Dispatcher::on_attempt_end`].
        attempt: AttemptId,
        /// Where to send it.
        endpoint: Arc<HostEntry>,
        /// Abandon the attempt at this time.
        deadline_us: u64,
    },
    /// Reply to the caller.
    Finish {
        /// Request to reply to.
        request: LocalRequestId,
        /// What to reply.
        verdict: Verdict,
    },
}

/// State of a request across its attempts.
#[derive(Debug, Clone)]
struct Request {
    arrival: Arrival,
    attempts: u32,
    /// Endpoint of the last attempt; the next one uses another if it can.
    last_endpoint: Option<Arc<str>>,
    /// Whether an attempt was [lost](AttemptOutcome::Lost), so that the request may no longer be reported as not run.
    may_have_run: bool,
    /// When it was first queued.
    queued_at_us: u64,
    /// Number of requests of the same caller that were ahead of it when it was queued.
    ahead_when_queued: usize,
}

/// Assigns the requests of one daemon to endpoints.
#[derive(Debug)]
pub struct Dispatcher {
    settings: Arc<DispatchSettings>,
    zone: Arc<str>,
    daemon: Arc<str>,
    daemon_count: usize,
    pools: HashMap<Arc<str>, Pool>,
    /// Attempts in flight, with the pool of each.
    attempts: HashMap<AttemptId, Arc<str>>,
    /// Pools with queued requests.
    backlogged_pools: BTreeSet<Arc<str>>,
    last_attempt_id: u64,
    rng: SmallRng,
}

impl Dispatcher {
    /// Creates the dispatcher of the daemon named `daemon` in `zone`. `seed` makes its random choices between endpoints
    /// reproducible.
    pub fn new(settings: DispatchSettings, daemon: &str, zone: &str, seed: u64) -> Dispatcher {
        Dispatcher {
            settings: Arc::new(settings),
            zone: zone.into(),
            daemon: daemon.into(),
            daemon_count: 1,
            pools: HashMap::new(),
            attempts: HashMap::new(),
            backlogged_pools: BTreeSet::new(),
            last_attempt_id: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Settings given to [`Dispatcher::new`].
    pub fn settings(&self) -> &DispatchSettings {
        &self.settings
    }

    /// Sets the number of daemons that share the endpoints, this one included. Returns whether it changed.
    pub fn set_daemon_count(&mut self, daemon_count: usize) -> bool {
        let daemon_count = daemon_count.max(1);
        std::mem::replace(&mut self.daemon_count, daemon_count) != daemon_count
    }

    /// Sets this daemon's share of each endpoint's slots, for [`RoutingPolicy::DynamicSplit`].
    pub fn set_slot_share(&mut self, pool: &str, share: f64) {
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.set_slot_share(share);
        }
    }

    /// Sets the endpoints of a pool that accept requests; they replace the earlier ones.
    pub fn set_endpoints(&mut self, now_us: u64, pool: &Arc<str>, endpoints: &[Arc<HostEntry>]) -> Vec<Action> {
        let subset = subset::choose_subset(&self.settings, endpoints, &self.daemon, &self.zone, self.daemon_count);
        let mut actions = Vec::new();
        let Dispatcher { pools, settings, zone, .. } = self;
        let state = pools.entry(pool.clone()).or_insert_with(|| Pool::new(settings.clone(), zone.clone()));
        state.set_endpoints(&subset);
        self.start_queued(now_us, pool, &mut actions);
        actions
    }

    /// Removes the pools that are not among `kept`. A pool whose requests have not ended yet is removed after the last.
    pub fn retain_pools(&mut self, kept: &BTreeSet<Arc<str>>) {
        self.pools.retain(|name, pool| {
            let is_kept = kept.contains(name);
            pool.set_retired(!is_kept);
            is_kept || !pool.is_idle()
        });
    }

    /// Whether the pool has endpoints or unfinished requests here.
    pub fn has_pool(&self, pool: &str) -> bool {
        self.pools.contains_key(pool)
    }

    /// Number of pools, those included that are removed after their last request.
    pub fn pool_count(&self) -> usize {
        self.pools.len()
    }

    /// Starts, queues or refuses a new request.
    pub fn on_arrival(&mut self, now_us: u64, arrival: Arrival) -> Vec<Action> {
        let mut actions = Vec::new();
        let name = arrival.pool.clone();
        let request = Request {
            arrival,
            attempts: 0,
            last_endpoint: None,
            may_have_run: false,
            queued_at_us: now_us,
            ahead_when_queued: 0,
        };
        match self.pools.get_mut(&name) {
            None => actions.push(refuse(&request, Refusal::NoEndpoint, self.settings.min_retry_after_ms)),
            Some(pool) => pool.enqueue(now_us, request, &mut actions),
        }
        self.start_queued(now_us, &name, &mut actions);
        actions
    }

    /// Records how an attempt ended, and finishes or retries its request. Ignores attempts that are not in flight.
    pub fn on_attempt_end(&mut self, now_us: u64, attempt: AttemptId, outcome: AttemptOutcome) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(name) = self.attempts.remove(&attempt) else { return actions };
        if let Some(pool) = self.pools.get_mut(&name) {
            pool.on_end(now_us, attempt, outcome, &mut actions);
        }
        self.start_queued(now_us, &name, &mut actions);
        self.remove_if_retired(&name);
        actions
    }

    /// Refuses queued requests that can no longer be served by their deadline, and starts others on endpoints whose
    /// ejection is over.
    pub fn tick(&mut self, now_us: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        for name in self.backlogged_pools.clone() {
            if let Some(pool) = self.pools.get_mut(&name) {
                pool.refuse_expired(now_us, &mut actions);
            }
            self.start_queued(now_us, &name, &mut actions);
            self.remove_if_retired(&name);
        }
        actions
    }

    fn remove_if_retired(&mut self, name: &Arc<str>) {
        if self.pools.get(name).is_some_and(|pool| pool.is_retired() && pool.is_idle()) {
            self.pools.remove(name);
        }
    }

    /// Whether requests are queued. While they are, [`Dispatcher::tick`] must be called every
    /// [`DispatchSettings::tick_interval_us`].
    pub fn has_queued_requests(&self) -> bool {
        !self.backlogged_pools.is_empty()
    }

    /// Number of endpoints of a pool that this daemon uses.
    pub fn endpoint_count(&self, pool: &str) -> usize {
        self.pools.get(pool).map_or(0, Pool::endpoint_count)
    }

    /// Number of requests queued in a pool.
    pub fn queued(&self, pool: &str) -> usize {
        self.pools.get(pool).map_or(0, Pool::queued)
    }

    /// Number of attempts in flight in a pool.
    pub fn in_flight(&self, pool: &str) -> usize {
        self.pools.get(pool).map_or(0, Pool::in_flight)
    }

    /// Pools with attempts in flight or requests queued, as (name, attempts in flight, requests queued).
    pub fn busy_pools(&self) -> Vec<(Arc<str>, usize, usize)> {
        let mut busy = Vec::new();
        for (name, pool) in &self.pools {
            if pool.in_flight() + pool.queued() > 0 {
                busy.push((name.clone(), pool.in_flight(), pool.queued()));
            }
        }
        busy
    }

    /// Number of attempts in flight in all pools.
    pub fn total_in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// Maximum number of connections that this daemon may hold to one endpoint of the pool.
    pub fn connection_limit(&self, pool: &str) -> usize {
        self.pools.get(pool).map_or(1, |state| state.connection_limit(self.daemon_count))
    }

    /// Starts queued requests while endpoints have room.
    fn start_queued(&mut self, now_us: u64, name: &Arc<str>, actions: &mut Vec<Action>) {
        let Some(pool) = self.pools.get_mut(name) else { return };
        loop {
            let attempt = AttemptId(self.last_attempt_id + 1);
            let Some(start) = pool.start_next(now_us, attempt, self.daemon_count, &mut self.rng, actions) else {
                break;
            };
            self.last_attempt_id += 1;
            self.attempts.insert(attempt, name.clone());
            actions.push(start);
        }
        if pool.queued() == 0 {
            self.backlogged_pools.remove(name);
        } else if !self.backlogged_pools.contains(name) {
            self.backlogged_pools.insert(name.clone());
        }
    }
}

/// Finishes a request that gets no attempt or no further one: as not run, or as unknown if it may have run.
fn refuse(request: &Request, refusal: Refusal, retry_after_ms: u64) -> Action {
    let verdict = if request.may_have_run { Verdict::Unknown } else { Verdict::NotRun { refusal, retry_after_ms } };
    Action::Finish { request: request.arrival.id, verdict }
}
