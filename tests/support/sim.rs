//! Daemons and endpoints in virtual time, driven by the dispatcher as it is.
//!
//! Fakes stand at the dispatcher's interface: endpoints with slots and a queue, delays between zones, and faults.

#[path = "sim_report.rs"]
mod report;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sardineseam::dispatch::{
    Action, Arrival, AttemptId, AttemptOutcome, DispatchSettings, Dispatcher, LoadReport, LocalRequestId,
    RoutingPolicy, Verdict,
};
use sardineseam::{HostEntry, HostState, US_PER_MS, US_PER_S};

pub use report::Report;

pub const DAEMONS: usize = 6;
pub const ENDPOINTS: usize = 10;
pub const SLOTS: usize = 8;
const ZONES: usize = 4;
const CONNECTIONS: usize = 64;
pub const MEAN_SERVICE_US: f64 = 20_000.0;
const DEADLINE_US: u64 = 2 * US_PER_S;
const LOCAL_DELAY_US: u64 = 100;
const ZONE_DELAY_US: u64 = 500;
const CONNECT_TIMEOUT_US: u64 = 300 * US_PER_MS;
pub const CALLERS: usize = 12;
/// Share of the requests that the busiest caller sends.
const BUSY_CALLER_SHARE: f64 = 0.5;
const IDEMPOTENT_SHARE: f64 = 0.7;
/// Connections that were open when the silent path began.
const SILENT_CONNECTIONS: u32 = 4;
const SLOW_FACTOR: u64 = 10;
const SHARE_PERIOD_US: u64 = 500 * US_PER_MS;
pub const WINDOW_US: u64 = 100 * US_PER_MS;
const POOL: &str = "pool";

/// What goes wrong between `fault_from_us` and `fault_until_us`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// One endpoint fails everything, at once.
    FailingEndpoint,
    /// The connections of one daemon to one endpoint go silent; new ones work.
    SilentPath,
    /// Zone 0 cannot reach the others, nor they it.
    ZoneCut,
    /// One endpoint works ten times as slowly.
    SlowEndpoint,
    /// One endpoint always tells that it has nothing to do.
    LyingEndpoint,
    /// The host list stands still while an endpoint is lost.
    PlatformOutage,
}

impl Fault {
    pub const ALL: [Fault; 7] = [
        Fault::None,
        Fault::FailingEndpoint,
        Fault::SlowEndpoint,
        Fault::LyingEndpoint,
        Fault::SilentPath,
        Fault::ZoneCut,
        Fault::PlatformOutage,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Fault::None => "none",
            Fault::FailingEndpoint => "endpoint fails all",
            Fault::SlowEndpoint => "endpoint slow",
            Fault::LyingEndpoint => "endpoint lies",
            Fault::SilentPath => "silent path",
            Fault::ZoneCut => "zone cut off",
            Fault::PlatformOutage => "platform outage",
        }
    }
}

/// One run.
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

#[derive(Debug, Clone)]
struct Request {
    daemon: usize,
    caller: usize,
    idempotent: bool,
    arrived_us: u64,
    service_us: u64,
    runs: u32,
    not_run: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive { request: u64 },
    AtEndpoint { daemon: usize, attempt: u64, request: u64, endpoint: usize },
    Served { endpoint: usize, daemon: usize, attempt: u64, request: u64 },
    Ended { daemon: usize, attempt: u64, kind: EndKind },
    TimedOut { daemon: usize, attempt: u64 },
    Tick { daemon: usize },
    TradeShares,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EndKind {
    Answered { failed: bool, in_flight: u32 },
    NotSent,
}

#[derive(Debug, Default)]
struct Endpoint {
    running: usize,
    waiting: VecDeque<(usize, u64, u64)>,
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    fresh_connection: bool,
}

struct World {
    scenario: Scenario,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    requests: Vec<Request>,
    dispatchers: Vec<Dispatcher>,
    attempts: Vec<HashMap<u64, Attempt>>,
    ticking: [bool; DAEMONS],
    endpoints: Vec<Endpoint>,
    hosts: Vec<Arc<HostEntry>>,
    silent_left: u32,
    report: Report,
}

fn zone_of_daemon(daemon: usize) -> usize {
    daemon % ZONES
}

fn zone_of_endpoint(endpoint: usize) -> usize {
    endpoint % ZONES
}

/// Requests per second that the pool can serve.
pub fn capacity_per_s() -> f64 {
    (ENDPOINTS * SLOTS) as f64 * US_PER_S as f64 / MEAN_SERVICE_US
}

/// Arrivals and service times; the same for every routing and for the ideal queue.
fn draw(scenario: &Scenario) -> Vec<Request> {
    let mut rng = SmallRng::seed_from_u64(scenario.seed);
    let mean_gap_us = US_PER_S as f64 / (capacity_per_s() * scenario.load);
    let exponential = |rng: &mut SmallRng, mean: f64| -mean * (1.0 - rng.random::<f64>()).ln();
    let mut requests = Vec::new();
    let mut at_us = 0.0;
    loop {
        at_us += exponential(&mut rng, mean_gap_us);
        if at_us >= scenario.duration_us as f64 {
            return requests;
        }
        let busy = rng.random::<f64>() < BUSY_CALLER_SHARE;
        requests.push(Request {
            daemon: rng.random_range(0..DAEMONS),
            caller: if busy { 0 } else { rng.random_range(1..CALLERS) },
            idempotent: rng.random::<f64>() < IDEMPOTENT_SHARE,
            arrived_us: at_us as u64,
            service_us: exponential(&mut rng, MEAN_SERVICE_US).max(1.0) as u64,
            runs: 0,
            not_run: false,
        });
    }
}

/// Response times of one queue in front of all slots, over the same draws, without network or faults.
pub fn ideal_times_us(scenario: &Scenario) -> Vec<u64> {
    let mut free: BinaryHeap<Reverse<u64>> = (0..ENDPOINTS * SLOTS).map(|_| Reverse(0)).collect();
    let mut times = Vec::new();
    for request in draw(scenario) {
        let Some(Reverse(free_us)) = free.pop() else { continue };
        let end_us = free_us.max(request.arrived_us) + request.service_us;
        free.push(Reverse(end_us));
        times.push(end_us - request.arrived_us);
    }
    times
}

/// Runs a scenario to its end.
pub fn run(scenario: &Scenario) -> Report {
    let mut world = World::new(scenario.clone());
    world.run();
    world.finish()
}

impl World {
    fn new(scenario: Scenario) -> World {
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
        let mut world = World {
            requests: draw(&scenario),
            scenario,
            now_us: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            dispatchers,
            attempts: vec![HashMap::new(); DAEMONS],
            ticking: [false; DAEMONS],
            endpoints: (0..ENDPOINTS).map(|_| Endpoint::default()).collect(),
            hosts,
            silent_left: SILENT_CONNECTIONS,
            report: Report::default(),
        };
        for request in 0..world.requests.len() as u64 {
            let at_us = world.requests[request as usize].arrived_us;
            world.schedule(at_us, Event::Arrive { request });
        }
        if world.scenario.routing == RoutingPolicy::DynamicSplit {
            world.schedule(SHARE_PERIOD_US, Event::TradeShares);
        }
        world
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at_us, self.sequence, event)));
    }

    fn run(&mut self) {
        while let Some(Reverse((at_us, _, event))) = self.events.pop() {
            self.now_us = at_us;
            self.handle(event);
        }
    }

    fn fault_active(&self, fault: Fault) -> bool {
        let during = self.scenario.fault_from_us..self.scenario.fault_until_us;
        self.scenario.fault == fault && during.contains(&self.now_us)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { request } => self.arrive(request),
            Event::AtEndpoint { daemon, attempt, request, endpoint } => {
                self.at_endpoint(daemon, attempt, request, endpoint);
            }
            Event::Served { endpoint, daemon, attempt, request } => self.served(endpoint, daemon, attempt, request),
            Event::Ended { daemon, attempt, kind } => self.ended(daemon, attempt, kind),
            Event::TimedOut { daemon, attempt } => {
                if let Some(known) = self.attempts[daemon].remove(&attempt) {
                    let end = AttemptOutcome::Lost { fresh_connection: known.fresh_connection };
                    self.end(daemon, attempt, end);
                }
            }
            Event::Tick { daemon } => {
                self.ticking[daemon] = false;
                let actions = self.dispatchers[daemon].tick(self.now_us);
                self.act(daemon, actions);
            }
            Event::TradeShares => self.trade_shares(),
        }
    }

    fn arrive(&mut self, id: u64) {
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
        self.act(daemon, actions);
    }

    fn act(&mut self, daemon: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start { request, attempt, endpoint, deadline_us } => {
                    let endpoint = endpoint.name.parse().expect("a number");
                    self.start(daemon, attempt.0, request.0, endpoint, deadline_us);
                }
                Action::Finish { request, verdict } => self.finish_request(request.0, verdict),
            }
        }
        if self.dispatchers[daemon].has_queued_requests() && !self.ticking[daemon] {
            self.ticking[daemon] = true;
            let tick_us = self.dispatchers[daemon].settings().tick_interval_us;
            self.schedule(self.now_us + tick_us, Event::Tick { daemon });
        }
    }

    fn delay_us(daemon: usize, endpoint: usize) -> u64 {
        if zone_of_daemon(daemon) == zone_of_endpoint(endpoint) {
            LOCAL_DELAY_US
        } else {
            ZONE_DELAY_US
        }
    }

    fn is_cut(&self, daemon: usize, endpoint: usize) -> bool {
        let (from, to) = (zone_of_daemon(daemon), zone_of_endpoint(endpoint));
        self.fault_active(Fault::ZoneCut) && (from == 0) != (to == 0)
    }

    fn start(&mut self, daemon: usize, attempt: u64, request: u64, endpoint: usize, deadline_us: u64) {
        self.report.attempts += 1;
        let lost_host = self.fault_active(Fault::PlatformOutage) && endpoint == 0;
        if self.is_cut(daemon, endpoint) || lost_host {
            // A lost host refuses at once; a cut swallows the attempt to connect.
            let wait_us = if lost_host { Self::delay_us(daemon, endpoint) * 2 } else { CONNECT_TIMEOUT_US };
            self.schedule(self.now_us + wait_us, Event::Ended { daemon, attempt, kind: EndKind::NotSent });
            self.attempts[daemon].insert(attempt, Attempt { fresh_connection: true });
            return;
        }
        self.schedule(deadline_us, Event::TimedOut { daemon, attempt });
        let on_silent_path = self.fault_active(Fault::SilentPath) && daemon == 0 && endpoint == 0;
        if on_silent_path && self.silent_left > 0 {
            self.silent_left -= 1;
            self.attempts[daemon].insert(attempt, Attempt { fresh_connection: false });
            return;
        }
        self.attempts[daemon].insert(attempt, Attempt { fresh_connection: true });
        let at_us = self.now_us + Self::delay_us(daemon, endpoint);
        self.schedule(at_us, Event::AtEndpoint { daemon, attempt, request, endpoint });
    }

    fn at_endpoint(&mut self, daemon: usize, attempt: u64, request: u64, endpoint: usize) {
        if self.fault_active(Fault::FailingEndpoint) && endpoint == 0 {
            self.requests[request as usize].runs += 1;
            self.answer(daemon, attempt, endpoint, true);
            return;
        }
        let state = &mut self.endpoints[endpoint];
        if state.running + state.waiting.len() >= CONNECTIONS {
            let at_us = self.now_us + Self::delay_us(daemon, endpoint);
            self.schedule(at_us, Event::Ended { daemon, attempt, kind: EndKind::NotSent });
            return;
        }
        state.waiting.push_back((daemon, attempt, request));
        self.run_next(endpoint);
    }

    fn run_next(&mut self, endpoint: usize) {
        let slow = self.fault_active(Fault::SlowEndpoint) && endpoint == 0;
        let state = &mut self.endpoints[endpoint];
        if state.running >= SLOTS {
            return;
        }
        let Some((daemon, attempt, request)) = state.waiting.pop_front() else { return };
        state.running += 1;
        let running = &mut self.requests[request as usize];
        running.runs += 1;
        let factor = if slow { SLOW_FACTOR } else { 1 };
        let at_us = self.now_us + running.service_us * factor;
        self.schedule(at_us, Event::Served { endpoint, daemon, attempt, request });
    }

    fn served(&mut self, endpoint: usize, daemon: usize, attempt: u64, _request: u64) {
        self.endpoints[endpoint].running -= 1;
        self.answer(daemon, attempt, endpoint, false);
        self.run_next(endpoint);
    }

    fn answer(&mut self, daemon: usize, attempt: u64, endpoint: usize, failed: bool) {
        if self.is_cut(daemon, endpoint) {
            return;
        }
        let state = &self.endpoints[endpoint];
        let mut in_flight = u32::try_from(state.running + state.waiting.len()).expect("few");
        if self.fault_active(Fault::LyingEndpoint) && endpoint == 0 {
            in_flight = 0;
        }
        let kind = EndKind::Answered { failed, in_flight };
        self.schedule(self.now_us + Self::delay_us(daemon, endpoint), Event::Ended { daemon, attempt, kind });
    }

    fn ended(&mut self, daemon: usize, attempt: u64, kind: EndKind) {
        // An answer that comes after its attempt was given up reaches a closed connection.
        if self.attempts[daemon].remove(&attempt).is_none() {
            return;
        }
        let end = match kind {
            EndKind::NotSent => AttemptOutcome::NotSent,
            EndKind::Answered { failed, in_flight } => {
                AttemptOutcome::Answered { failed, load: Some(LoadReport { in_flight, slots: SLOTS as u32 }) }
            }
        };
        self.end(daemon, attempt, end);
    }

    fn end(&mut self, daemon: usize, attempt: u64, end: AttemptOutcome) {
        let failed = matches!(end, AttemptOutcome::Answered { failed: true, .. });
        let actions = self.dispatchers[daemon].on_attempt_end(self.now_us, AttemptId(attempt), end);
        if failed {
            // A failed answer is passed on, but it is not goodput.
            let rest = actions
                .into_iter()
                .filter(|action| !matches!(action, Action::Finish { verdict: Verdict::Deliver, .. }));
            let rest: Vec<Action> = rest.collect();
            self.act(daemon, rest);
            return;
        }
        self.act(daemon, actions);
    }

    fn finish_request(&mut self, id: u64, verdict: Verdict) {
        let request = &mut self.requests[id as usize];
        match verdict {
            Verdict::Deliver => {
                let time_us = self.now_us - request.arrived_us;
                self.report.delivered += 1;
                self.report.delivered_by_caller[request.caller] += 1;
                self.report.times_us.push(time_us);
                self.report.waits_us.push(time_us.saturating_sub(request.service_us));
                let window = (self.now_us / WINDOW_US) as usize;
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

    /// Divides the slots by the demand that daemons told each other a period ago.
    fn trade_shares(&mut self) {
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
            self.schedule(self.now_us + SHARE_PERIOD_US, Event::TradeShares);
        }
    }

    fn finish(mut self) -> Report {
        assert_eq!(self.hosts.len(), ENDPOINTS);
        for request in &self.requests {
            self.report.duplicates += u64::from(!request.idempotent && request.runs > 1);
            self.report.wrong_outcomes += u64::from(request.not_run && request.runs > 0);
        }
        self.report
    }
}
