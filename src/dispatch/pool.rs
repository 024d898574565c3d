//! Queueing, endpoint choice and retries within one pool.

use std::collections::HashMap;
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

/// Weight of the latest service time in the moving averages.
const SERVICE_TIME_WEIGHT: f64 = 0.05;
/// Nearly every request is served within the average service time plus this many mean deviations.
const MARGIN_DEVIATIONS: f64 = 4.0;
/// Smallest connection limit of a daemon at one endpoint; with fewer, a connection pool is not worth keeping.
pub(super) const MIN_CONNECTIONS: usize = 4;

#[derive(Debug)]
struct InFlight {
    request: Request,
    endpoint: Arc<HostEntry>,
    /// Generation of the endpoint's [`Health`](super::health::Health) when the attempt was started.
    health_generation: u32,
    started_us: u64,
}

#[derive(Debug)]
pub(super) struct Pool {
    settings: Arc<DispatchSettings>,
    zone: Arc<str>,
    endpoints: Vec<Endpoint>,
    queue: FairQueue,
    in_flight: HashMap<AttemptId, InFlight>,
    retry_budget: RetryBudget,
    /// Moving average of the time from sending a request to its response.
    mean_service_us: f64,
    /// Mean absolute deviation from `mean_service_us`.
    mean_deviation_us: f64,
    next_round_robin_index: usize,
    slot_share: f64,
    /// Whether it has left the sheet and is to be removed after its last request.
    is_retired: bool,
}

impl Pool {
    pub(super) fn new(settings: Arc<DispatchSettings>, zone: Arc<str>) -> Pool {
        let retry_budget = RetryBudget::new(settings.retry_ratio, settings.retry_burst);
        Pool {
            settings,
            zone,
            endpoints: Vec::new(),
            queue: FairQueue::default(),
            in_flight: HashMap::new(),
            retry_budget,
            mean_service_us: 0.0,
            mean_deviation_us: 0.0,
            next_round_robin_index: 0,
            slot_share: 1.0,
            is_retired: false,
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

    /// Whether it has neither queued requests nor attempts in flight.
    pub(super) fn is_idle(&self) -> bool {
        self.queue.len() == 0 && self.in_flight.is_empty()
    }

    pub(super) fn is_retired(&self) -> bool {
        self.is_retired
    }

    pub(super) fn set_retired(&mut self, is_retired: bool) {
        self.is_retired = is_retired;
    }

    pub(super) fn set_slot_share(&mut self, share: f64) {
        self.slot_share = share;
    }

    /// This daemon's share of an endpoint's connections, assuming that all daemons use equally many endpoints.
    pub(super) fn connection_limit(&self, daemon_count: usize) -> usize {
        (self.settings.endpoint_connections / daemon_count.max(1)).max(MIN_CONNECTIONS)
    }

    /// Replaces the endpoints; those that stay keep their load and health.
    pub(super) fn set_endpoints(&mut self, hosts: &[Arc<HostEntry>]) {
        let mut known: HashMap<Arc<str>, Endpoint> = HashMap::new();
        for endpoint in self.endpoints.drain(..) {
            known.insert(endpoint.host.name.clone(), endpoint);
        }
        for host in hosts {
            let is_local = host.zone == self.zone;
            let endpoint = match known.remove(&host.name) {
                Some(endpoint) if endpoint.host.epoch == host.epoch => endpoint,
                _ => Endpoint::new(host.clone(), is_local, &self.settings),
            };
            self.endpoints.push(endpoint);
        }
        // Attempts sent to a host in an earlier epoch must not count for the present one.
        for index in 0..self.endpoints.len() {
            let host = &self.endpoints[index].host;
            let same = |attempt: &&InFlight| attempt.endpoint.name == host.name && attempt.endpoint.epoch == host.epoch;
            let in_flight = self.in_flight.values().filter(same).count();
            self.endpoints[index].in_flight = u32::try_from(in_flight).unwrap_or(u32::MAX);
        }
    }

    /// Queues a new request, or refuses it if it cannot be served in time.
    pub(super) fn enqueue(&mut self, now_us: u64, request: Request, actions: &mut Vec<Action>) {
        if let Some(until_us) = self.unavailable_until_us(now_us) {
            let wait_ms = until_us.saturating_sub(now_us) / US_PER_MS;
            actions.push(refuse(&request, Refusal::NoEndpoint, wait_ms.max(self.settings.min_retry_after_ms)));
            return;
        }
        if self.queue.len() > 0 {
            let by_position_us = self.wait_for_position_us(self.queue.count_ahead_of(&request.arrival) + 1);
            let wait_us = by_position_us.max(self.queue.extrapolated_wait_us(&request.arrival, now_us));
            if wait_us > self.settings.max_queue_wait_us {
                actions.push(refuse(&request, Refusal::QueueFull, self.retry_after_ms()));
                return;
            }
            if now_us + wait_us > self.latest_start_us(&request) {
                actions.push(refuse(&request, Refusal::DeadlineTooClose, self.retry_after_ms()));
                return;
            }
        }
        if !self.make_room(&request, actions) {
            actions.push(refuse(&request, Refusal::QueueFull, self.retry_after_ms()));
            return;
        }
        self.queue.push(request);
    }

    /// Evicts queued requests of busier callers until `request` fits; `false` if it cannot be made to fit.
    fn make_room(&mut self, request: &Request, actions: &mut Vec<Action>) -> bool {
        let fits = |queue: &FairQueue, settings: &DispatchSettings| {
            let bytes = queue.bytes() + request.arrival.body_bytes;
            queue.len() < settings.max_queued && bytes <= settings.max_queued_bytes
        };
        while !fits(&self.queue, &self.settings) {
            let Some(evicted) = self.queue.evict_for(&request.arrival) else { return false };
            actions.push(refuse(&evicted, Refusal::QueueFull, self.retry_after_ms()));
        }
        true
    }

    /// Starts the next queued request if an endpoint has room for it.
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
            if let Some(until_us) = self.unavailable_until_us(now_us) {
                self.refuse_all_queued(now_us, until_us, actions);
                return None;
            }
            let candidates = self.endpoints_with_room(now_us, daemon_count);
            if candidates.is_empty() {
                return None;
            }
            let request = self.queue.pop()?;
            let waited = now_us > request.queued_at_us;
            if now_us >= request.arrival.deadline_us || (waited && now_us > self.latest_start_us(&request)) {
                actions.push(self.refuse_with_estimate(&request, Refusal::DeadlineTooClose));
                continue;
            }
            let index = self.choose_endpoint(now_us, candidates, request.last_endpoint.as_ref(), rng)?;
            return Some(self.start(now_us, attempt, request, index));
        }
    }

    fn start(&mut self, now_us: u64, attempt: AttemptId, mut request: Request, index: usize) -> Action {
        request.attempts += 1;
        if request.attempts == 1 {
            self.retry_budget.deposit();
        }
        let deadline_us = self.attempt_deadline_us(now_us, &request);
        let endpoint = &mut self.endpoints[index];
        endpoint.in_flight += 1;
        endpoint.health.on_start(now_us);
        let health_generation = endpoint.health.generation();
        let host = endpoint.host.clone();
        let action = Action::Start { request: request.arrival.id, attempt, endpoint: host.clone(), deadline_us };
        self.in_flight.insert(attempt, InFlight { request, endpoint: host, health_generation, started_us: now_us });
        action
    }

    /// An attempt that may be retried gets half of the time left, so that an unanswered one leaves time for a retry.
    fn attempt_deadline_us(&self, now_us: u64, request: &Request) -> u64 {
        let deadline_us = request.arrival.deadline_us;
        if !request.arrival.idempotent || request.attempts >= self.settings.max_attempts {
            return deadline_us;
        }
        let left_us = deadline_us.saturating_sub(now_us);
        now_us + (left_us / 2).max(self.margin_us()).min(left_us)
    }

    /// Records how an attempt ended, and finishes its request or queues it for a retry.
    pub(super) fn on_end(&mut self, now_us: u64, id: AttemptId, outcome: AttemptOutcome, actions: &mut Vec<Action>) {
        let Some(in_flight) = self.in_flight.remove(&id) else { return };
        self.update_endpoint(now_us, &in_flight, outcome);
        let mut request = in_flight.request;
        let request_id = request.arrival.id;
        let may_retry = match outcome {
            AttemptOutcome::Answered { .. } => {
                self.record_service_time(now_us.saturating_sub(in_flight.started_us));
                actions.push(Action::Finish { request: request_id, verdict: Verdict::Deliver });
                return;
            }
            AttemptOutcome::Refused { .. } | AttemptOutcome::NotSent => true,
            AttemptOutcome::Lost { .. } => request.arrival.idempotent,
        };
        request.may_have_run |= matches!(outcome, AttemptOutcome::Lost { .. });
        if !may_retry {
            actions.push(Action::Finish { request: request_id, verdict: Verdict::Unknown });
            return;
        }
        let in_time = now_us < request.arrival.deadline_us;
        if in_time && request.attempts < self.settings.max_attempts && self.retry_budget.try_withdraw() {
            request.last_endpoint = Some(in_flight.endpoint.name.clone());
            self.queue.push_front(request);
            return;
        }
        let refusal = if in_time { Refusal::OutOfTries } else { Refusal::DeadlineTooClose };
        actions.push(self.refuse_with_estimate(&request, refusal));
    }

    /// Refuses a request, with the estimated time until the present queue is served as its retry delay.
    fn refuse_with_estimate(&self, request: &Request, refusal: Refusal) -> Action {
        refuse(request, refusal, self.retry_after_ms())
    }

    fn update_endpoint(&mut self, now_us: u64, in_flight: &InFlight, outcome: AttemptOutcome) {
        let backoff = Backoff { initial_us: self.settings.initial_ejection_us, max_us: self.settings.max_ejection_us };
        let may_eject = self.may_eject();
        let host = &in_flight.endpoint;
        let same = |endpoint: &&mut Endpoint| endpoint.host.name == host.name && endpoint.host.epoch == host.epoch;
        let Some(endpoint) = self.endpoints.iter_mut().find(same) else { return };
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        let generation = in_flight.health_generation;
        match outcome {
            AttemptOutcome::Answered { failed, load } => {
                if let Some(load) = load {
                    endpoint.record_load(now_us, load);
                }
                if failed {
                    endpoint.health.on_failure(now_us, generation, may_eject, backoff);
                } else {
                    endpoint.record_latency(now_us.saturating_sub(in_flight.started_us));
                    endpoint.health.on_success(generation);
                }
            }
            AttemptOutcome::Refused { load } => {
                if let Some(load) = load {
                    endpoint.record_load(now_us, load);
                }
                endpoint.health.on_failure(now_us, generation, may_eject, backoff);
            }
            AttemptOutcome::NotSent => endpoint.health.on_unreachable(now_us, generation, backoff),
            AttemptOutcome::Lost { fresh_connection: true } => {
                endpoint.health.on_failure(now_us, generation, may_eject, backoff);
            }
            AttemptOutcome::Lost { fresh_connection: false } => {}
        }
    }

    /// Whether one more endpoint may be ejected for failed requests.
    fn may_eject(&self) -> bool {
        let ejected = self.endpoints.iter().filter(|endpoint| endpoint.health.is_ejected_for_failures()).count();
        let allowed = self.endpoints.len() as f64 * self.settings.max_ejected_share;
        (ejected + 1) as f64 <= allowed
    }

    /// Refuses queued requests that can no longer be served by their deadline.
    pub(super) fn refuse_expired(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let margin_us = self.margin_us();
        let expired = self.queue.remove_unless(|request| now_us <= latest_start_us(request, margin_us));
        for request in expired {
            actions.push(self.refuse_with_estimate(&request, Refusal::DeadlineTooClose));
        }
    }

    fn refuse_all_queued(&mut self, now_us: u64, until_us: u64, actions: &mut Vec<Action>) {
        let wait_ms = until_us.saturating_sub(now_us) / US_PER_MS;
        let retry_after_ms = wait_ms.max(self.settings.min_retry_after_ms);
        for request in self.queue.remove_unless(|_| false) {
            actions.push(refuse(&request, Refusal::NoEndpoint, retry_after_ms));
        }
    }

    fn record_service_time(&mut self, service_us: u64) {
        let service_us = service_us as f64;
        if self.mean_service_us == 0.0 {
            self.mean_service_us = service_us;
        }
        let difference_us = service_us - self.mean_service_us;
        self.mean_service_us += SERVICE_TIME_WEIGHT * difference_us;
        self.mean_deviation_us += SERVICE_TIME_WEIGHT * (difference_us.abs() - self.mean_deviation_us);
    }

    /// Estimated time until `position` requests have left the queue, if as many run at once as now.
    fn wait_for_position_us(&self, position: usize) -> u64 {
        let concurrency = self.in_flight.len().max(1) as f64;
        (position as f64 * self.mean_service_us / concurrency) as u64
    }

    /// Time to reserve for running a request: the service time that nearly every request stays below.
    fn margin_us(&self) -> u64 {
        (self.mean_service_us + MARGIN_DEVIATIONS * self.mean_deviation_us) as u64
    }

    fn latest_start_us(&self, request: &Request) -> u64 {
        latest_start_us(request, self.margin_us())
    }

    /// Estimated time until the present queue is served.
    fn retry_after_ms(&self) -> u64 {
        let drained_us = self.wait_for_position_us(self.queue.len() + 1);
        (drained_us / US_PER_MS).max(self.settings.min_retry_after_ms)
    }

    /// When the first endpoint is expected to become available, if none is now.
    fn unavailable_until_us(&self, now_us: u64) -> Option<u64> {
        if self.endpoints.is_empty() {
            return Some(now_us + self.settings.initial_ejection_us);
        }
        let mut earliest_us = u64::MAX;
        for endpoint in &self.endpoints {
            if endpoint.health.max_in_flight(now_us) != Some(0) {
                return None;
            }
            earliest_us = earliest_us.min(endpoint.health.ejected_until_us().unwrap_or(now_us));
        }
        Some(earliest_us)
    }

    fn endpoints_with_room(&self, now_us: u64, daemon_count: usize) -> Vec<usize> {
        let mut found = Vec::new();
        for (index, endpoint) in self.endpoints.iter().enumerate() {
            if endpoint.in_flight < self.max_in_flight(endpoint, now_us, daemon_count) {
                found.push(index);
            }
        }
        found
    }

    fn max_in_flight(&self, endpoint: &Endpoint, now_us: u64, daemon_count: usize) -> u32 {
        let settings = &self.settings;
        let by_policy = match settings.routing {
            RoutingPolicy::LeastLoaded | RoutingPolicy::PowerOfTwoChoices => endpoint.max_in_flight(now_us, settings),
            RoutingPolicy::RoundRobin => u32::MAX,
            RoutingPolicy::StaticSplit => endpoint.slots(settings).div_ceil(daemon_count as u32),
            RoutingPolicy::DynamicSplit => {
                (f64::from(endpoint.slots(settings)) * self.slot_share).ceil().max(1.0) as u32
            }
        };
        let by_connections = u32::try_from(self.connection_limit(daemon_count)).unwrap_or(u32::MAX);
        let by_health = endpoint.health.max_in_flight(now_us).unwrap_or(u32::MAX);
        by_policy.min(by_connections).min(by_health)
    }

    /// Chooses one of `candidates`, another than `last_endpoint` if there is one. `None` if there are no candidates.
    fn choose_endpoint(
        &mut self,
        now_us: u64,
        mut candidates: Vec<usize>,
        last_endpoint: Option<&Arc<str>>,
        rng: &mut SmallRng,
    ) -> Option<usize> {
        if let Some(last_endpoint) = last_endpoint.filter(|_| candidates.len() > 1) {
            candidates.retain(|index| self.endpoints[*index].host.name != *last_endpoint);
        }
        match self.settings.routing {
            RoutingPolicy::RoundRobin | RoutingPolicy::StaticSplit | RoutingPolicy::DynamicSplit => {
                self.next_round_robin(&candidates)
            }
            RoutingPolicy::LeastLoaded => self.least_loaded(now_us, &candidates, rng),
            RoutingPolicy::PowerOfTwoChoices => {
                let pair = [*candidates.get(pick(&candidates, rng)?)?, *candidates.get(pick(&candidates, rng)?)?];
                self.least_loaded(now_us, &pair, rng)
            }
        }
    }

    fn next_round_robin(&mut self, candidates: &[usize]) -> Option<usize> {
        let next = candidates.iter().copied().find(|index| *index >= self.next_round_robin_index);
        let index = next.or_else(|| candidates.first().copied())?;
        self.next_round_robin_index = index + 1;
        Some(index)
    }

    fn least_loaded(&self, now_us: u64, candidates: &[usize], rng: &mut SmallRng) -> Option<usize> {
        let mut best: Option<(f64, usize)> = None;
        let offset = pick(candidates, rng)?;
        for step in 0..candidates.len() {
            let index = candidates[(offset + step) % candidates.len()];
            let endpoint = &self.endpoints[index];
            let penalty = if endpoint.is_local { 0.0 } else { self.settings.remote_zone_penalty };
            let load = endpoint.load(now_us, &self.settings) + penalty;
            if best.is_none_or(|(least, _)| load < least) {
                best = Some((load, index));
            }
        }
        best.map(|(_, index)| index)
    }
}

/// Latest start at which a queued request is still served in time; at least halfway from queueing to its deadline.
fn latest_start_us(request: &Request, margin_us: u64) -> u64 {
    let deadline_us = request.arrival.deadline_us;
    let half_us = deadline_us.saturating_sub(request.queued_at_us) / 2;
    deadline_us.saturating_sub(margin_us.min(half_us))
}

/// Random index into `candidates`; `None` if there are none.
fn pick(candidates: &[usize], rng: &mut SmallRng) -> Option<usize> {
    (!candidates.is_empty()).then(|| rng.random_range(0..candidates.len()))
}
