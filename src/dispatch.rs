//! Decides where each request goes, when it waits, when it is tried again and when it is refused.
//!
//! Free of I/O and clocks: every call takes the time and an event, and returns [`Action`]s. The
//! daemon and the benchmarks run the same code.

mod endpoint;
mod health;
mod pool;
mod queue;
mod retry;
mod settings;

#[cfg(test)]
mod dispatch_tests;
#[cfg(test)]
mod health_tests;
#[cfg(test)]
mod queue_tests;
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

/// Identifies a request within one daemon's run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Identifies one try of a request at one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId(pub u64);

/// A request that has just been read from its caller.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Chosen by the caller of [`Dispatcher::on_arrival`]; unique.
    pub id: RequestId,
    /// Pool that serves it.
    pub pool: Arc<str>,
    /// Team of its caller; teams are served in turn.
    pub team: Arc<str>,
    /// Who sent it; the callers of a team are served in turn.
    pub caller: Arc<str>,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// The answer is of no use after this time.
    pub deadline_us: u64,
    /// Memory its body takes while it waits.
    pub body_bytes: usize,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptOutcome {
    /// A whole answer arrived.
    Answered {
        /// Whether the endpoint reported that it failed (HTTP 5xx).
        failed: bool,
        /// Load the endpoint told with its answer.
        load: Option<LoadReport>,
    },
    /// The endpoint refused before starting.
    Refused {
        /// Load the endpoint told with its refusal.
        load: Option<LoadReport>,
    },
    /// No byte of the request can have reached the endpoint.
    NotSent,
    /// The request may have run, but there is no whole answer to it.
    Lost {
        /// Whether the connection had served nothing before. An old one may have died unnoticed,
        /// which says nothing about the endpoint.
        fresh_connection: bool,
    },
}

/// Why a request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The pool's queue is full.
    QueueFull,
    /// It would not get its turn before its deadline.
    DeadlineTooClose,
    /// The pool has no endpoint that can be reached.
    NoEndpoint,
    /// Every try ended before it started, and no more tries are allowed.
    OutOfTries,
}

impl Refusal {
    /// Short name for metrics and answers.
    pub fn name(self) -> &'static str {
        match self {
            Refusal::QueueFull => "queue_full",
            Refusal::DeadlineTooClose => "deadline_too_close",
            Refusal::NoEndpoint => "no_endpoint",
            Refusal::OutOfTries => "out_of_tries",
        }
    }
}

/// Final word on a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Verdict {
    /// The answer of the attempt that just ended is the caller's.
    Deliver,
    /// The request certainly did not run.
    NotRun {
        /// Why.
        refusal: Refusal,
        /// When a new try is worth while, from now.
        retry_after_ms: u64,
    },
    /// The request may have run.
    Unknown,
}

/// What the caller of the dispatcher must do.
#[derive(Debug, Clone)]
pub enum Action {
    /// Send the request to an endpoint.
    Start {
        /// Request to send.
        request: RequestId,
        /// To be given back to [`Dispatcher::on_attempt_end`].
        attempt: AttemptId,
        /// Where to send it.
        endpoint: Arc<HostEntry>,
        /// Give up the attempt at this time.
        deadline_us: u64,
    },
    /// Answer the caller.
    Finish {
        /// Request to answer.
        request: RequestId,
        /// What to answer.
        verdict: Verdict,
    },
}

/// What a request needs from one try to the next.
#[derive(Debug, Clone)]
struct Request {
    arrival: Arrival,
    attempts: u32,
    /// Endpoint of the last try, to be avoided by the next.
    avoid: Option<Arc<str>>,
    /// Some try reached an endpoint and brought no answer: `not-run` can no longer be said.
    may_have_run: bool,
    /// When it began to wait.
    queued_us: u64,
    /// Requests of the same caller that it then had before it.
    queued_behind: usize,
}

/// One daemon's decisions about requests.
#[derive(Debug)]
pub struct Dispatcher {
    settings: Arc<DispatchSettings>,
    zone: Arc<str>,
    daemon: Arc<str>,
    daemon_count: usize,
    pools: HashMap<Arc<str>, Pool>,
    attempts: HashMap<AttemptId, Arc<str>>,
    /// Pools in whose queues requests wait.
    waiting: BTreeSet<Arc<str>>,
    last_attempt: u64,
    rng: SmallRng,
}

impl Dispatcher {
    /// Dispatcher of the daemon named `daemon` in `zone`; `seed` drives the breaking of ties.
    pub fn new(settings: DispatchSettings, daemon: &str, zone: &str, seed: u64) -> Dispatcher {
        Dispatcher {
            settings: Arc::new(settings),
            zone: zone.into(),
            daemon: daemon.into(),
            daemon_count: 1,
            pools: HashMap::new(),
            attempts: HashMap::new(),
            waiting: BTreeSet::new(),
            last_attempt: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Bounds and weights in use.
    pub fn settings(&self) -> &DispatchSettings {
        &self.settings
    }

    /// Number of daemons that share the endpoints, this one included; `true` if it changed.
    pub fn set_daemon_count(&mut self, daemon_count: usize) -> bool {
        let daemon_count = daemon_count.max(1);
        std::mem::replace(&mut self.daemon_count, daemon_count) != daemon_count
    }

    /// This daemon's share of every endpoint's slots, for [`RoutingPolicy::DynamicSplit`].
    pub fn set_slot_share(&mut self, pool: &str, share: f64) {
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.set_slot_share(share);
        }
    }

    /// Replaces the endpoints of a pool that take new work.
    pub fn set_endpoints(&mut self, now_us: u64, pool: &Arc<str>, endpoints: &[Arc<HostEntry>]) -> Vec<Action> {
        let subset = pool::choose_subset(&self.settings, endpoints, &self.daemon, &self.zone, self.daemon_count);
        let mut actions = Vec::new();
        let Dispatcher { pools, settings, zone, .. } = self;
        let state = pools.entry(pool.clone()).or_insert_with(|| Pool::new(settings.clone(), zone.clone()));
        state.set_endpoints(&subset);
        self.pump(now_us, pool, &mut actions);
        actions
    }

    /// Takes a new request.
    pub fn on_arrival(&mut self, now_us: u64, arrival: Arrival) -> Vec<Action> {
        let mut actions = Vec::new();
        let name = arrival.pool.clone();
        let request =
            Request { arrival, attempts: 0, avoid: None, may_have_run: false, queued_us: now_us, queued_behind: 0 };
        match self.pools.get_mut(&name) {
            None => actions.push(refuse(&request, Refusal::NoEndpoint, self.settings.min_retry_after_ms)),
            Some(pool) => pool.enqueue(now_us, request, &mut actions),
        }
        self.pump(now_us, &name, &mut actions);
        actions
    }

    /// Takes the end of an attempt.
    pub fn on_attempt_end(&mut self, now_us: u64, attempt: AttemptId, end: AttemptOutcome) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(name) = self.attempts.remove(&attempt) else { return actions };
        if let Some(pool) = self.pools.get_mut(&name) {
            pool.end(now_us, attempt, end, &mut actions);
        }
        self.pump(now_us, &name, &mut actions);
        actions
    }

    /// Refuses waiting requests that can no longer be served in time, and uses endpoints that are due again.
    pub fn tick(&mut self, now_us: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        for name in self.waiting.clone() {
            if let Some(pool) = self.pools.get_mut(&name) {
                pool.expire(now_us, &mut actions);
            }
            self.pump(now_us, &name, &mut actions);
        }
        actions
    }

    /// Whether any request waits, so that [`Dispatcher::tick`] is due every [`DispatchSettings::tick_interval_us`].
    pub fn has_queued_requests(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Endpoints of a pool that this daemon uses.
    pub fn endpoint_count(&self, pool: &str) -> usize {
        self.pools.get(pool).map_or(0, Pool::endpoint_count)
    }

    /// Requests waiting in a pool's queue.
    pub fn queued(&self, pool: &str) -> usize {
        self.pools.get(pool).map_or(0, Pool::queued)
    }

    /// Attempts in progress in a pool.
    pub fn in_flight(&self, pool: &str) -> usize {
        self.pools.get(pool).map_or(0, Pool::in_flight)
    }

    /// Pools with requests in progress or waiting, with the number of each.
    pub fn busy_pools(&self) -> Vec<(Arc<str>, usize, usize)> {
        let mut busy = Vec::new();
        for (name, pool) in &self.pools {
            if pool.in_flight() + pool.queued() > 0 {
                busy.push((name.clone(), pool.in_flight(), pool.queued()));
            }
        }
        busy
    }

    /// Attempts in progress in all pools.
    pub fn total_in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// Connections that this daemon may hold to one endpoint of the pool.
    pub fn connection_limit(&self, pool: &str) -> usize {
        self.pools.get(pool).map_or(1, |state| state.connection_limit(self.daemon_count))
    }

    /// Starts waiting requests while endpoints have room.
    fn pump(&mut self, now_us: u64, name: &Arc<str>, actions: &mut Vec<Action>) {
        let Some(pool) = self.pools.get_mut(name) else { return };
        loop {
            let attempt = AttemptId(self.last_attempt + 1);
            let Some(start) = pool.start_next(now_us, attempt, self.daemon_count, &mut self.rng, actions) else {
                break;
            };
            self.last_attempt += 1;
            self.attempts.insert(attempt, name.clone());
            actions.push(start);
        }
        if pool.queued() == 0 {
            self.waiting.remove(name);
        } else if !self.waiting.contains(name) {
            self.waiting.insert(name.clone());
        }
    }
}

/// Ends a request that is not tried (again).
fn refuse(request: &Request, refusal: Refusal, retry_after_ms: u64) -> Action {
    let verdict = if request.may_have_run { Verdict::Unknown } else { Verdict::NotRun { refusal, retry_after_ms } };
    Action::Finish { request: request.arrival.id, verdict }
}
