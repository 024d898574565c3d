//! Decisions within one pool.

use std::cmp::Reverse;
use std::collections::hash_map::DefaultHasher;
use std::collections::HashMap;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::Rng;

use super::endpoint::Endpoint;
use super::health::Backoff;
use super::queue::FairQueue;
use super::retry::RetryBudget;
use super::{refuse, Action, AttemptId, AttemptOutcome, DispatchSettings, Refusal, Request, RoutingPolicy, Verdict};
use crate::clock::US_PER_MS;
use crate::platform::HostEntry;

/// Weight of the latest service time in the averages.
const SERVICE_WEIGHT: f64 = 0.05;
/// Mean deviations beyond the average within which nearly every request is served.
const MARGIN_DEVIATIONS: f64 = 4.0;
/// Fewest connections to an endpoint that make a connection set worth its keep.
const MIN_CONNECTIONS: usize = 4;
/// Fewest endpoints a daemon uses of a pool that has more.
const MIN_SUBSET: usize = 4;

#[derive(Debug)]
struct InFlight {
    request: Request,
    endpoint: Arc<HostEntry>,
    started_us: u64,
}

/// State of one pool.
#[derive(Debug)]
pub(super) struct Pool {
    settings: Arc<DispatchSettings>,
    zone: Arc<str>,
    endpoints: Vec<Endpoint>,
    queue: FairQueue,
    in_flight: HashMap<AttemptId, InFlight>,
    budget: RetryBudget,
    /// Average time from sending a request to its answer.
    service_us: f64,
    /// Average distance of that time from its average.
    deviation_us: f64,
    next_turn: usize,
    slot_share: f64,
}

impl Pool {
    pub(super) fn new(settings: Arc<DispatchSettings>, zone: Arc<str>) -> Pool {
        let budget = RetryBudget::new(settings.retry_ratio, settings.retry_burst);
        Pool {
            settings,
            zone,
            endpoints: Vec::new(),
            queue: FairQueue::default(),
            in_flight: HashMap::new(),
            budget,
            service_us: 0.0,
            deviation_us: 0.0,
            next_turn: 0,
            slot_share: 1.0,
        }
    }

    pub(super) fn endpoint_count(&self) -> usize {
        self.endpoints.len()
    }

    pub(super) fn queued(&self) -> usize {
        self.queue.len()
    }

    pub(super) fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    pub(super) fn set_slot_share(&mut self, share: f64) {
        self.slot_share = share;
    }

    /// This daemon's part of an endpoint's connections, were all daemons to use the same number of endpoints.
    pub(super) fn connection_limit(&self, daemon_count: usize) -> usize {
        (self.settings.endpoint_connections / daemon_count.max(1)).max(MIN_CONNECTIONS)
    }

    /// Replaces the endpoints; what is known of those that stay is kept.
    pub(super) fn set_endpoints(&mut self, hosts: &[Arc<HostEntry>]) {
        let mut known: HashMap<Arc<str>, Endpoint> = HashMap::new();
        for endpoint in self.endpoints.drain(..) {
            known.insert(endpoint.host.name.clone(), endpoint);
        }
        for host in hosts {
            let local = host.zone == self.zone;
            let endpoint = match known.remove(&host.name) {
                Some(endpoint) if endpoint.host.epoch == host.epoch => endpoint,
                _ => Endpoint::new(host.clone(), local, &self.settings),
            };
            self.endpoints.push(endpoint);
        }
        // Late results of removed endpoints must not count for their successors.
        for index in 0..self.endpoints.len() {
            let host = &self.endpoints[index].host;
            let same = |attempt: &&InFlight| attempt.endpoint.name == host.name && attempt.endpoint.epoch == host.epoch;
            let in_flight = self.in_flight.values().filter(same).count();
            self.endpoints[index].in_flight = u32::try_from(in_flight).unwrap_or(u32::MAX);
        }
    }

    /// Queues a new request, or refuses it if it cannot be served in time.
    pub(super) fn enqueue(&mut self, now_us: u64, request: Request, actions: &mut Vec<Action>) {
        if let Some(back_at_us) = self.all_away_until_us(now_us) {
            let wait_ms = back_at_us.saturating_sub(now_us) / US_PER_MS;
            actions.push(refuse(&request, Refusal::NoEndpoint, wait_ms.max(self.settings.min_retry_after_ms)));
            return;
        }
        if self.queue.len() > 0 {
            let by_position_us = self.wait_us(self.queue.ahead_of(&request.arrival) + 1);
            let wait_us = by_position_us.max(self.queue.expected_wait_us(&request.arrival, now_us));
            if wait_us > self.settings.max_queue_wait_us {
                actions.push(refuse(&request, Refusal::QueueFull, self.retry_after_ms()));
                return;
            }
            if now_us + wait_us > self.latest_start_us(&request) {
                actions.push(refuse(&request, Refusal::DeadlineTooClose, self.retry_after_ms()));
                return;
            }
        }
        self.budget.deposit();
        if !self.make_room(&request, actions) {
            actions.push(refuse(&request, Refusal::QueueFull, self.retry_after_ms()));
            return;
        }
        self.queue.push(request);
    }

    /// Refuses waiting requests of busier callers until `request` fits; `false` if it does not.
    fn make_room(&mut self, request: &Request, actions: &mut Vec<Action>) -> bool {
        let fits = |queue: &FairQueue, settings: &DispatchSettings| {
            let bytes = queue.bytes() + request.arrival.body_bytes;
            queue.len() < settings.max_queued && bytes <= settings.max_queued_bytes
        };
        while !fits(&self.queue, &self.settings) {
            let Some(displaced) = self.queue.displace_for(&request.arrival) else { return false };
            actions.push(refuse(&displaced, Refusal::QueueFull, self.retry_after_ms()));
        }
        true
    }

    /// Starts the next waiting request if an endpoint has room for it.
    pub(super) fn start_next(
        &mut self,
        now_us: u64,
        attempt: AttemptId,
        daemon_count: usize,
        rng: &mut SmallRng,
        actions: &mut Vec<Action>,
    ) -> Option<Action> {
        loop {
            if self.queue.len() == 0 {
                return None;
            }
            if let Some(back_at_us) = self.all_away_until_us(now_us) {
                self.refuse_all(now_us, back_at_us, actions);
                return None;
            }
            let candidates = self.candidates(now_us, daemon_count);
            if candidates.is_empty() {
                return None;
            }
            let request = self.queue.pop()?;
            let waited = now_us > request.queued_us;
            if now_us >= request.arrival.deadline_us || (waited && now_us > self.latest_start_us(&request)) {
                actions.push(self.give_up(&request, Refusal::DeadlineTooClose));
                continue;
            }
            let index = self.choose(now_us, candidates, request.avoid.as_ref(), rng)?;
            return Some(self.start(now_us, attempt, request, index));
        }
    }

    fn start(&mut self, now_us: u64, attempt: AttemptId, mut request: Request, index: usize) -> Action {
        request.attempts += 1;
        let deadline_us = self.attempt_deadline_us(now_us, &request);
        let endpoint = &mut self.endpoints[index];
        endpoint.in_flight += 1;
        endpoint.health.started(now_us);
        let host = endpoint.host.clone();
        let action = Action::Start { request: request.arrival.id, attempt, endpoint: host.clone(), deadline_us };
        self.in_flight.insert(attempt, InFlight { request, endpoint: host, started_us: now_us });
        action
    }

    /// A try that can be repeated gets half of what is left, so that a silent connection leaves time for another.
    fn attempt_deadline_us(&self, now_us: u64, request: &Request) -> u64 {
        let deadline_us = request.arrival.deadline_us;
        if !request.arrival.idempotent || request.attempts >= self.settings.max_attempts {
            return deadline_us;
        }
        let left_us = deadline_us.saturating_sub(now_us);
        now_us + (left_us / 2).max(self.margin_us()).min(left_us)
    }

    /// Takes the end of an attempt and decides what becomes of its request.
    pub(super) fn end(&mut self, now_us: u64, attempt: AttemptId, end: AttemptOutcome, actions: &mut Vec<Action>) {
        let Some(in_flight) = self.in_flight.remove(&attempt) else { return };
        self.judge_endpoint(now_us, &in_flight, end);
        let mut request = in_flight.request;
        let id = request.arrival.id;
        let may_repeat = match end {
            AttemptOutcome::Answered { .. } => {
                self.learn_service_time(now_us.saturating_sub(in_flight.started_us));
                actions.push(Action::Finish { request: id, verdict: Verdict::Deliver });
                return;
            }
            AttemptOutcome::Refused { .. } | AttemptOutcome::NotSent => true,
            AttemptOutcome::Lost { .. } => request.arrival.idempotent,
        };
        request.may_have_run |= matches!(end, AttemptOutcome::Lost { .. });
        if !may_repeat {
            actions.push(Action::Finish { request: id, verdict: Verdict::Unknown });
            return;
        }
        let in_time = now_us < request.arrival.deadline_us;
        if in_time && request.attempts < self.settings.max_attempts && self.budget.withdraw() {
            request.avoid = Some(in_flight.endpoint.name.clone());
            self.queue.push_first(request);
            return;
        }
        let refusal = if in_time { Refusal::OutOfTries } else { Refusal::DeadlineTooClose };
        actions.push(self.give_up(&request, refusal));
    }

    /// Ends a request that gets no (further) try.
    fn give_up(&self, request: &Request, refusal: Refusal) -> Action {
        refuse(request, refusal, self.retry_after_ms())
    }

    fn judge_endpoint(&mut self, now_us: u64, in_flight: &InFlight, end: AttemptOutcome) {
        let backoff = Backoff { first_us: self.settings.ejection_us, longest_us: self.settings.max_ejection_us };
        let may_eject = self.may_eject();
        let host = &in_flight.endpoint;
        let same = |endpoint: &&mut Endpoint| endpoint.host.name == host.name && endpoint.host.epoch == host.epoch;
        let Some(endpoint) = self.endpoints.iter_mut().find(same) else { return };
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        match end {
            AttemptOutcome::Answered { failed, load } => {
                if let Some(load) = load {
                    endpoint.report(now_us, load);
                }
                if failed {
                    endpoint.health.failed(now_us, may_eject, backoff);
                } else {
                    endpoint.learn(now_us.saturating_sub(in_flight.started_us));
                    endpoint.health.succeeded();
                }
            }
            AttemptOutcome::Refused { load } => {
                if let Some(load) = load {
                    endpoint.report(now_us, load);
                }
                endpoint.health.failed(now_us, may_eject, backoff);
            }
            AttemptOutcome::NotSent => endpoint.health.unreachable(now_us, backoff),
            AttemptOutcome::Lost { fresh_connection: true } => endpoint.health.failed(now_us, may_eject, backoff),
            AttemptOutcome::Lost { fresh_connection: false } => {}
        }
    }

    /// Whether one more endpoint may be ejected for bad answers.
    fn may_eject(&self) -> bool {
        let ejected = self.endpoints.iter().filter(|endpoint| endpoint.health.is_ejected()).count();
        let allowed = self.endpoints.len() as f64 * self.settings.max_ejected_share;
        (ejected + 1) as f64 <= allowed
    }

    /// Refuses waiting requests whose time is up.
    pub(super) fn expire(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let margin_us = self.margin_us();
        let expired = self.queue.remove_unless(|request| now_us <= latest_start_us(request, margin_us));
        for request in expired {
            actions.push(self.give_up(&request, Refusal::DeadlineTooClose));
        }
    }

    fn refuse_all(&mut self, now_us: u64, back_at_us: u64, actions: &mut Vec<Action>) {
        let wait_ms = back_at_us.saturating_sub(now_us) / US_PER_MS;
        let retry_after_ms = wait_ms.max(self.settings.min_retry_after_ms);
        for request in self.queue.remove_unless(|_| false) {
            actions.push(refuse(&request, Refusal::NoEndpoint, retry_after_ms));
        }
    }

    fn learn_service_time(&mut self, service_us: u64) {
        let service_us = service_us as f64;
        if self.service_us == 0.0 {
            self.service_us = service_us;
        }
        let difference_us = service_us - self.service_us;
        self.service_us += SERVICE_WEIGHT * difference_us;
        self.deviation_us += SERVICE_WEIGHT * (difference_us.abs() - self.deviation_us);
    }

    /// Expected time until `position` requests have left the queue.
    fn wait_us(&self, position: usize) -> u64 {
        let servers = self.in_flight.len().max(1) as f64;
        (position as f64 * self.service_us / servers) as u64
    }

    /// Time in which nearly every request is served.
    fn margin_us(&self) -> u64 {
        (self.service_us + MARGIN_DEVIATIONS * self.deviation_us) as u64
    }

    fn latest_start_us(&self, request: &Request) -> u64 {
        latest_start_us(request, self.margin_us())
    }

    /// Time in which the present queue is served.
    fn retry_after_ms(&self) -> u64 {
        let drained_us = self.wait_us(self.queue.len() + 1);
        (drained_us / US_PER_MS).max(self.settings.min_retry_after_ms)
    }

    /// When the first endpoint may be tried again, if none can be used before.
    fn all_away_until_us(&self, now_us: u64) -> Option<u64> {
        if self.endpoints.is_empty() {
            return Some(now_us + self.settings.ejection_us);
        }
        let mut first = u64::MAX;
        for endpoint in &self.endpoints {
            if endpoint.health.bound(now_us) != Some(0) {
                return None;
            }
            first = first.min(endpoint.health.back_at_us().unwrap_or(now_us));
        }
        Some(first)
    }

    /// Endpoints that have room for one more request.
    fn candidates(&self, now_us: u64, daemon_count: usize) -> Vec<usize> {
        let mut found = Vec::new();
        for (index, endpoint) in self.endpoints.iter().enumerate() {
            if endpoint.in_flight < self.limit(endpoint, now_us, daemon_count) {
                found.push(index);
            }
        }
        found
    }

    fn limit(&self, endpoint: &Endpoint, now_us: u64, daemon_count: usize) -> u32 {
        let settings = &self.settings;
        let by_policy = match settings.routing {
            RoutingPolicy::LeastLoaded | RoutingPolicy::PowerOfTwoChoices => endpoint.limit(now_us, settings),
            RoutingPolicy::RoundRobin => u32::MAX,
            RoutingPolicy::StaticSplit => endpoint.slots(settings).div_ceil(daemon_count as u32),
            RoutingPolicy::DynamicSplit => {
                (f64::from(endpoint.slots(settings)) * self.slot_share).ceil().max(1.0) as u32
            }
        };
        let by_connections = u32::try_from(self.connection_limit(daemon_count)).unwrap_or(u32::MAX);
        let by_health = endpoint.health.bound(now_us).unwrap_or(u32::MAX);
        by_policy.min(by_connections).min(by_health)
    }

    /// One of `candidates`, of which there is at least one; not the one to avoid, if there is another.
    fn choose(
        &mut self,
        now_us: u64,
        mut candidates: Vec<usize>,
        avoid: Option<&Arc<str>>,
        rng: &mut SmallRng,
    ) -> Option<usize> {
        if let Some(avoid) = avoid.filter(|_| candidates.len() > 1) {
            candidates.retain(|index| self.endpoints[*index].host.name != *avoid);
        }
        match self.settings.routing {
            RoutingPolicy::RoundRobin | RoutingPolicy::StaticSplit | RoutingPolicy::DynamicSplit => {
                self.next_in_turn(&candidates)
            }
            RoutingPolicy::LeastLoaded => self.least_loaded(now_us, &candidates, rng),
            RoutingPolicy::PowerOfTwoChoices => {
                let pair = [*candidates.get(pick(&candidates, rng)?)?, *candidates.get(pick(&candidates, rng)?)?];
                self.least_loaded(now_us, &pair, rng)
            }
        }
    }

    fn next_in_turn(&mut self, candidates: &[usize]) -> Option<usize> {
        let next = candidates.iter().copied().find(|index| *index >= self.next_turn);
        let index = next.or_else(|| candidates.first().copied())?;
        self.next_turn = index + 1;
        Some(index)
    }

    fn least_loaded(&self, now_us: u64, candidates: &[usize], rng: &mut SmallRng) -> Option<usize> {
        let mut best: Option<(f64, usize)> = None;
        let offset = pick(candidates, rng)?;
        for step in 0..candidates.len() {
            let index = candidates[(offset + step) % candidates.len()];
            let endpoint = &self.endpoints[index];
            let penalty = if endpoint.local { 0.0 } else { self.settings.remote_penalty };
            let load = endpoint.load(now_us, &self.settings) + penalty;
            if best.is_none_or(|(least, _)| load < least) {
                best = Some((load, index));
            }
        }
        best.map(|(_, index)| index)
    }
}

/// When a request that waits must start to be served in time. One whose deadline is short from the beginning may
/// wait for half of it.
fn latest_start_us(request: &Request, margin_us: u64) -> u64 {
    let deadline_us = request.arrival.deadline_us;
    let half_us = deadline_us.saturating_sub(request.queued_us) / 2;
    deadline_us.saturating_sub(margin_us.min(half_us))
}

/// Random position within `candidates`, if there is any.
fn pick(candidates: &[usize], rng: &mut SmallRng) -> Option<usize> {
    (!candidates.is_empty()).then(|| rng.random_range(0..candidates.len()))
}

/// Endpoints that this daemon connects to: all of a small pool, else a part chosen by rendezvous hashing with
/// those of the daemon's zone first, so that each endpoint's connections suffice for the daemons that use it.
pub(super) fn choose_subset(
    settings: &DispatchSettings,
    endpoints: &[Arc<HostEntry>],
    daemon: &str,
    zone: &str,
    daemon_count: usize,
) -> Vec<Arc<HostEntry>> {
    let connections = endpoints.len() * settings.endpoint_connections;
    let size = connections.div_ceil(daemon_count * MIN_CONNECTIONS).max(MIN_SUBSET);
    if size >= endpoints.len() {
        return endpoints.to_vec();
    }
    let mut ranked: Vec<Arc<HostEntry>> = endpoints.to_vec();
    ranked.sort_by_key(|host| (&*host.zone != zone, Reverse(score(daemon, &host.name))));
    ranked.truncate(size);
    ranked
}

fn score(daemon: &str, host: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (daemon, host).hash(&mut hasher);
    hasher.finish()
}
