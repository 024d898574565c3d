//! Simulates daemons and endpoints in virtual time, around the dispatcher that the daemon runs.
//!
//! Everything beyond the dispatcher's interface is simulated: endpoints with slots and a queue, network delays between
//! zones, and faults.

#[path = "sim_report.rs"]
mod report;
#[path = "sim_scenario.rs"]
mod scenario;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::sync::Arc;

use sardineseam::dispatch::{
    Action, Arrival, AttemptId, AttemptOutcome, DispatchSettings, Dispatcher, LoadReport, LocalRequestId,
    RoutingPolicy, Verdict,
};
use sardineseam::{HostEntry, HostState, US_PER_MS, US_PER_S};

use scenario::{draw_requests, Request};

pub use report::Report;
pub use scenario::{capacity_per_s, ideal_response_times_us, Fault, Scenario};

pub const DAEMONS: usize = 6;
pub const ENDPOINTS: usize = 10;
pub const SLOTS_PER_ENDPOINT: usize = 8;
const ZONES: usize = 4;
const CONNECTIONS_PER_ENDPOINT: usize = 64;
const DEADLINE_US: u64 = 2 * US_PER_S;
const SAME_ZONE_DELAY_US: u64 = 100;
const CROSS_ZONE_DELAY_US: u64 = 500;
const CONNECT_TIMEOUT_US: u64 = 300 * US_PER_MS;
pub const CALLERS: usize = 12;
/// Number of open connections that [`Fault::SilentConnections`] affects.
const SILENT_CONNECTIONS: u32 = 4;
const SLOWDOWN_FACTOR: u64 = 10;
const SLOT_SHARE_PERIOD_US: u64 = 500 * US_PER_MS;
pub const GOODPUT_WINDOW_US: u64 = 100 * US_PER_MS;
const POOL: &str = "pool";

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival {
        request: u64,
    },
    ReachedEndpoint {
        daemon: usize,
        attempt: u64,
        request: u64,
        endpoint: usize,
    },
    /// An endpoint has finished running a request.
    Served {
        endpoint: usize,
        daemon: usize,
        attempt: u64,
        request: u64,
    },
    AttemptEnded {
        daemon: usize,
        attempt: u64,
        kind: AttemptEnd,
    },
    AttemptTimedOut {
        daemon: usize,
        attempt: u64,
    },
    /// [`Dispatcher::tick`] is due.
    Tick {
        daemon: usize,
    },
    UpdateSlotShares,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum AttemptEnd {
    /// `in_flight` is the load that the endpoint reports.
    Answered { failed: bool, in_flight: u32 },
    /// The connection was refused or timed out.
    NotSent,
}

#[derive(Debug, Default)]
struct Endpoint {
    running: usize,
    /// Daemon, attempt and request of each queued attempt.
    queue: VecDeque<(usize, u64, u64)>,
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    fresh_connection: bool,
}

struct Simulation {
    scenario: Scenario,
    now_us: u64,
    /// Time, sequence number and event. The sequence number keeps events of the same time in the order of scheduling.
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    last_sequence: u64,
    requests: Vec<Request>,
    dispatchers: Vec<Dispatcher>,
    /// Attempts in progress, by daemon and id.
    attempts: Vec<HashMap<u64, Attempt>>,
    /// Whether a tick is scheduled, by daemon.
    tick_scheduled: [bool; DAEMONS],
    endpoints: Vec<Endpoint>,
    hosts: Vec<Arc<HostEntry>>,
    /// Connections that [`Fault::SilentConnections`] has yet to affect.
    silent_connections_left: u32,
    report: Report,
}

fn zone_of_daemon(daemon: usize) -> usize {
    daemon % ZONES
}

fn zone_of_endpoint(endpoint: usize) -> usize {
    endpoint % ZONES
}

/// Runs a scenario until no event is left.
pub fn run(scenario: &Scenario) -> Report {
    let mut simulation = Simulation::new(scenario.clone());
    simulation.run();
    simulation.into_report()
}

impl Simulation {
    fn new(scenario: Scenario) -> Simulation {
        let hosts: Vec<Arc<HostEntry>> = (0..ENDPOINTS)
            .map(|number| {
                Arc::new(HostEntry {
                    name: number.to_string().into(),
                    address: ([127, 0, 0, 1], 80).into(),
                    zone: format!("z{}", zone_of_endpoint(number)).into(),
                    pool: POOL.into(),
                    state: HostState::Live,
                    epoch: 1,
                })
            })
            .collect();
        let mut dispatchers = Vec::new();
        for daemon in 0..DAEMONS {
            let settings = DispatchSettings { routing: scenario.routing, ..DispatchSettings::default() };
            let zone = format!("z{}", zone_of_daemon(daemon));
            let mut dispatcher = Dispatcher::new(settings, &daemon.to_string(), &zone, scenario.seed + daemon as u64);
            dispatcher.set_daemon_count(DAEMONS);
            dispatcher.set_endpoints(0, &POOL.into(), &hosts);
            dispatcher.set_slot_share(POOL, 1.0 / DAEMONS as f64);
            dispatchers.push(dispatcher);
        }
        let mut simulation = Simulation {
            requests: draw_requests(&scenario),
            scenario,
            now_us: 0,
            events: BinaryHeap::new(),
            last_sequence: 0,
            dispatchers,
            attempts: vec![HashMap::new(); DAEMONS],
            tick_scheduled: [false; DAEMONS],
            endpoints: (0..ENDPOINTS).map(|_| Endpoint::default()).collect(),
            hosts,
            silent_connections_left: SILENT_CONNECTIONS,
            report: Report::default(),
        };
        for request in 0..simulation.requests.len() as u64 {
            let time_us = simulation.requests[request as usize].arrived_us;
            simulation.schedule(time_us, Event::Arrival { request });
        }
        if simulation.scenario.routing == RoutingPolicy::DynamicSplit {
            simulation.schedule(SLOT_SHARE_PERIOD_US, Event::UpdateSlotShares);
        }
        simulation
    }

    fn schedule(&mut self, time_us: u64, event: Event) {
        self.last_sequence += 1;
        self.events.push(Reverse((time_us, self.last_sequence, event)));
    }

    fn run(&mut self) {
        while let Some(Reverse((time_us, _, event))) = self.events.pop() {
            self.now_us = time_us;
            self.handle(event);
        }
    }

    fn is_fault_active(&self, fault: Fault) -> bool {
        let fault_period = self.scenario.fault_from_us..self.scenario.fault_until_us;
        self.scenario.fault == fault && fault_period.contains(&self.now_us)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival { request } => self.on_arrival(request),
            Event::ReachedEndpoint { daemon, attempt, request, endpoint } => {
                self.on_reached_endpoint(daemon, attempt, request, endpoint);
            }
            Event::Served { endpoint, daemon, attempt, request } => self.on_served(endpoint, daemon, attempt, request),
            Event::AttemptEnded { daemon, attempt, kind } => self.on_attempt_ended(daemon, attempt, kind),
            Event::AttemptTimedOut { daemon, attempt } => {
                if let Some(timed_out) = self.attempts[daemon].remove(&attempt) {
                    let outcome = AttemptOutcome::Lost { fresh_connection: timed_out.fresh_connection };
                    self.end_attempt(daemon, attempt, outcome);
                }
            }
            Event::Tick { daemon } => {
                self.tick_scheduled[daemon] = false;
                let actions = self.dispatchers[daemon].tick(self.now_us);
                self.apply_actions(daemon, actions);
            }
            Event::UpdateSlotShares => self.update_slot_shares(),
        }
    }

    fn on_arrival(&mut self, id: u64) {
        let request = &self.requests[id as usize];
        let daemon = request.daemon;
        let arrival = Arrival {
            id: LocalRequestId(id),
            pool: POOL.into(),
            team: "team".into(),
            caller: request.caller.to_string().into(),
            idempotent: request.idempotent,
            deadline_us: self.now_us + DEADLINE_US,
            body_bytes: 1_000,
        };
        self.report.offered += 1;
        self.report.offered_by_caller[request.caller] += 1;
        let actions = self.dispatchers[daemon].on_arrival(self.now_us, arrival);
        self.apply_actions(daemon, actions);
    }

    fn apply_actions(&mut self, daemon: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start { request, attempt, endpoint, deadline_us } => {
                    let endpoint = endpoint.name.parse().expect("the host's name is its number");
                    self.start_attempt(daemon, attempt.0, request.0, endpoint, deadline_us);
                }
                Action::Finish { request, verdict } => self.finish_request(request.0, verdict),
            }
        }
        if self.dispatchers[daemon].has_queued_requests() && !self.tick_scheduled[daemon] {
            self.tick_scheduled[daemon] = true;
            let tick_us = self.dispatchers[daemon].settings().tick_interval_us;
            self.schedule(self.now_us + tick_us, Event::Tick { daemon });
        }
    }

    fn network_delay_us(daemon: usize, endpoint: usize) -> u64 {
        if zone_of_daemon(daemon) == zone_of_endpoint(endpoint) {
            SAME_ZONE_DELAY_US
        } else {
            CROSS_ZONE_DELAY_US
        }
    }

    fn is_partitioned(&self, daemon: usize, endpoint: usize) -> bool {
        let (from, to) = (zone_of_daemon(daemon), zone_of_endpoint(endpoint));
        self.is_fault_active(Fault::ZonePartition) && (from == 0) != (to == 0)
    }

    fn start_attempt(&mut self, daemon: usize, attempt: u64, request: u64, endpoint: usize, deadline_us: u64) {
        self.report.attempts += 1;
        let host_down = self.is_fault_active(Fault::PlatformOutage) && endpoint == 0;
        if self.is_partitioned(daemon, endpoint) || host_down {
            // A host that is down refuses the connection after a round trip; across a partition, connecting times out.
            let wait_us = if host_down { Self::network_delay_us(daemon, endpoint) * 2 } else { CONNECT_TIMEOUT_US };
            self.schedule(self.now_us + wait_us, Event::AttemptEnded { daemon, attempt, kind: AttemptEnd::NotSent });
            self.attempts[daemon].insert(attempt, Attempt { fresh_connection: true });
            return;
        }
        self.schedule(deadline_us, Event::AttemptTimedOut { daemon, attempt });
        let fault_applies = self.is_fault_active(Fault::SilentConnections) && daemon == 0 && endpoint == 0;
        if fault_applies && self.silent_connections_left > 0 {
            self.silent_connections_left -= 1;
            self.attempts[daemon].insert(attempt, Attempt { fresh_connection: false });
            return;
        }
        self.attempts[daemon].insert(attempt, Attempt { fresh_connection: true });
        let time_us = self.now_us + Self::network_delay_us(daemon, endpoint);
        self.schedule(time_us, Event::ReachedEndpoint { daemon, attempt, request, endpoint });
    }

    fn on_reached_endpoint(&mut self, daemon: usize, attempt: u64, request: u64, endpoint: usize) {
        if self.is_fault_active(Fault::FailingEndpoint) && endpoint == 0 {
            self.requests[request as usize].runs += 1;
            self.send_answer(daemon, attempt, endpoint, true);
            return;
        }
        let state = &mut self.endpoints[endpoint];
        if state.running + state.queue.len() >= CONNECTIONS_PER_ENDPOINT {
            let time_us = self.now_us + Self::network_delay_us(daemon, endpoint);
            self.schedule(time_us, Event::AttemptEnded { daemon, attempt, kind: AttemptEnd::NotSent });
            return;
        }
        state.queue.push_back((daemon, attempt, request));
        self.start_next_queued(endpoint);
    }

    fn start_next_queued(&mut self, endpoint: usize) {
        let is_slow = self.is_fault_active(Fault::SlowEndpoint) && endpoint == 0;
        let state = &mut self.endpoints[endpoint];
        if state.running >= SLOTS_PER_ENDPOINT {
            return;
        }
        let Some((daemon, attempt, request)) = state.queue.pop_front() else { return };
        state.running += 1;
        let running = &mut self.requests[request as usize];
        running.runs += 1;
        let factor = if is_slow { SLOWDOWN_FACTOR } else { 1 };
        let time_us = self.now_us + running.service_time_us * factor;
        self.schedule(time_us, Event::Served { endpoint, daemon, attempt, request });
    }

    fn on_served(&mut self, endpoint: usize, daemon: usize, attempt: u64, _request: u64) {
        self.endpoints[endpoint].running -= 1;
        self.send_answer(daemon, attempt, endpoint, false);
        self.start_next_queued(endpoint);
    }

    fn send_answer(&mut self, daemon: usize, attempt: u64, endpoint: usize, failed: bool) {
        if self.is_partitioned(daemon, endpoint) {
            return;
        }
        let state = &self.endpoints[endpoint];
        let mut in_flight =
            u32::try_from(state.running + state.queue.len()).expect("no more attempts than connections");
        if self.is_fault_active(Fault::IdleReportingEndpoint) && endpoint == 0 {
            in_flight = 0;
        }
        let kind = AttemptEnd::Answered { failed, in_flight };
        self.schedule(
            self.now_us + Self::network_delay_us(daemon, endpoint),
            Event::AttemptEnded { daemon, attempt, kind },
        );
    }

    fn on_attempt_ended(&mut self, daemon: usize, attempt: u64, kind: AttemptEnd) {
        // The daemon closed the connection when the attempt timed out, so a later answer does not reach it.
        if self.attempts[daemon].remove(&attempt).is_none() {
            return;
        }
        let outcome = match kind {
            AttemptEnd::NotSent => AttemptOutcome::NotSent,
            AttemptEnd::Answered { failed, in_flight } => AttemptOutcome::Answered {
                failed,
                load: Some(LoadReport { in_flight, slots: SLOTS_PER_ENDPOINT as u32 }),
            },
        };
        self.end_attempt(daemon, attempt, outcome);
    }

    fn end_attempt(&mut self, daemon: usize, attempt: u64, outcome: AttemptOutcome) {
        let failed = matches!(outcome, AttemptOutcome::Answered { failed: true, .. });
        let actions = self.dispatchers[daemon].on_attempt_end(self.now_us, AttemptId(attempt), outcome);
        if failed {
            // The daemon delivers the answer of a failed request, but it does not count as goodput.
            let other_actions = actions
                .into_iter()
                .filter(|action| !matches!(action, Action::Finish { verdict: Verdict::Deliver, .. }));
            let other_actions: Vec<Action> = other_actions.collect();
            self.apply_actions(daemon, other_actions);
            return;
        }
        self.apply_actions(daemon, actions);
    }

    fn finish_request(&mut self, id: u64, verdict: Verdict) {
        let request = &mut self.requests[id as usize];
        match verdict {
            Verdict::Deliver => {
                let response_time_us = self.now_us - request.arrived_us;
                self.report.delivered += 1;
                self.report.delivered_by_caller[request.caller] += 1;
                self.report.response_times_us.push(response_time_us);
                self.report.wait_times_us.push(response_time_us.saturating_sub(request.service_time_us));
                let window = (self.now_us / GOODPUT_WINDOW_US) as usize;
                if self.report.delivered_by_window.len() <= window {
                    self.report.delivered_by_window.resize(window + 1, 0);
                }
                self.report.delivered_by_window[window] += 1;
            }
            Verdict::NotRun { .. } => {
                self.report.refused += 1;
                request.not_run = true;
            }
            Verdict::Unknown => self.report.unknown += 1,
        }
    }

    /// Divides the slots between the daemons for the next period, in proportion to their queued and running requests.
    fn update_slot_shares(&mut self) {
        let demand: Vec<f64> = self
            .dispatchers
            .iter()
            .map(|dispatcher| (dispatcher.queued(POOL) + dispatcher.in_flight(POOL) + 1) as f64)
            .collect();
        let total: f64 = demand.iter().sum();
        for (dispatcher, demand) in self.dispatchers.iter_mut().zip(demand) {
            dispatcher.set_slot_share(POOL, demand / total);
        }
        if self.now_us < self.scenario.duration_us {
            self.schedule(self.now_us + SLOT_SHARE_PERIOD_US, Event::UpdateSlotShares);
        }
    }

    fn into_report(mut self) -> Report {
        assert_eq!(self.hosts.len(), ENDPOINTS);
        for request in &self.requests {
            self.report.duplicates += u64::from(!request.idempotent && request.runs > 1);
            self.report.wrong_outcomes += u64::from(request.not_run && request.runs > 0);
        }
        self.report
    }
}
