//! Stand-ins for the platform's executors and machines, which check what they are told by the rules.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{json, Value};

use crate::http::{close_all, serve, Connections, Reply, Request};
use crate::record::Record;
use crate::store::Store;

pub const HEARTBEAT: Duration = Duration::from_millis(1_500);
const MISSED_HEARTBEATS: u32 = 3;
pub const HOLD_MAX_MS: u64 = 10_000;
/// `stopGraceMs` of most cases.
const STOP_GRACE_MS: u64 = 200;
/// Tail of the response times of a work item that serves; below all targets.
const SERVING_TAIL_MS: u64 = 40;
/// `noticeMs`.
const NOTICE: Duration = Duration::from_millis(4_500);
/// Time until a work item that lasts is at work, unless a case sets it.
const STARTUP: Duration = Duration::from_millis(900);
const GANG_TIMEOUT: Duration = Duration::from_millis(3_000);
pub const UPKEEP: Duration = Duration::from_millis(2_000);
pub const MOVE: Duration = Duration::from_millis(1_500);
const TICK: Duration = Duration::from_millis(5);
const PROVIDER_TIME: Duration = Duration::from_millis(4);

/// What an executor is and can do.
#[derive(Clone)]
pub struct Kind {
    pub service: String,
    /// Kind and rack.
    pub labels: [String; 2],
    pub cpu: u64,
    /// Whether it rejects what does not fit.
    pub guards: bool,
}

impl Kind {
    pub fn new(service: &str, kind: &str, rack: &str, cpu: u64) -> Kind {
        Kind { service: service.to_owned(), labels: [kind.to_owned(), rack.to_owned()], cpu, guards: true }
    }
}

struct Run {
    /// When it ends as done; `None` while members of its gang are missing.
    done_at: Option<Instant>,
    stops_at: Option<Instant>,
    alone_at: Instant,
    work: Duration,
    cpu: u64,
    /// When it is at work, if it lasts.
    at_work_from: Instant,
    lasts: bool,
    /// The tail of its response times in milliseconds if it serves, otherwise the CPU in use.
    load: u64,
}

struct Executor {
    id: String,
    machine: String,
    address: SocketAddr,
    connections: Connections,
    kind: Kind,
    is_up: bool,
    /// Until then, neither requests nor answers pass.
    cut_until: Instant,
    /// Until then, some orders get no answer and are carried out late.
    late_until: Instant,
    started: Instant,
    born: u64,
    state: &'static str,
    /// Least time that is left to one that drains.
    remaining_ms: u64,
    /// The next heartbeat; `None` once it has left.
    beat_at: Option<Instant>,
    last_beat: Instant,
    seq: u64,
    fence: u64,
    lease_end_ms: u64,
    runs: BTreeMap<(String, u64), Run>,
    last_runs: HashMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    end_count: u64,
}

impl Executor {
    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1
    }

    fn entry(&self) -> Value {
        let mut entry = json!({
            "service": self.kind.service, "addr": self.address.to_string(), "zone": "hall-a", "version": "v1", "slots": 8,
            "state": self.state, "coldRemainingMs": 0, "machine": self.machine, "born": self.born, "seq": self.seq,
            "capacity": { "cpu": self.kind.cpu, "memMb": 64_000, "gpu": 0 }, "labels": self.kind.labels,
            "clockMs": self.clock_ms(),
        });
        if self.remaining_ms > 0 {
            entry["remainingMs"] = json!(self.remaining_ms);
        }
        entry
    }

    /// Begins another life under the same id and address.
    fn start_again(&mut self, kind: Option<Kind>, beat_after: Duration) {
        let now = Instant::now();
        self.kind = kind.unwrap_or_else(|| self.kind.clone());
        self.started = now;
        self.born = unix_ms();
        self.is_up = true;
        self.state = "ready";
        self.remaining_ms = 0;
        self.beat_at = Some(now + beat_after);
        (self.seq, self.fence, self.lease_end_ms, self.end_count) = (0, 0, 0, 0);
        self.last_runs.clear();
        self.ended.clear();
    }

    fn accepts(&mut self, body: &Value) -> bool {
        let fence = body["fence"].as_u64().unwrap_or(0);
        if fence < self.fence {
            return false;
        }
        self.fence = fence;
        true
    }

    fn extend_lease(&mut self, body: &Value) {
        let until_ms = body["deadlineMs"].as_u64().unwrap_or(0).min(self.clock_ms() + HOLD_MAX_MS);
        self.lease_end_ms = self.lease_end_ms.max(until_ms);
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    Up,
    Moving,
    Upkeep,
}

struct Machine {
    pool: String,
    state: MachineState,
    /// Wave of the present upkeep.
    wave: u64,
    /// Waves for which the upkeep has been done or is being done.
    done_waves: BTreeSet<u64>,
    up_at: Option<Instant>,
    kind: Kind,
}

/// How the platform answers calls about machines.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Provider {
    Serves,
    /// Answers 503 and does nothing.
    Unavailable,
}

/// A queue's advice: which executors may run a step.
#[derive(Clone, Copy)]
pub struct Advice {
    pub decide: Duration,
    pub each: Duration,
    pub valid: Duration,
}

/// Calls that may wait at the advice service.
const MAX_WAITING_ADVICE: u64 = 32;

/// The calls at the advice service, which handles one at a time, in turn.
#[derive(Default)]
struct AdviceQueue {
    arrived: u64,
    handled: u64,
}

/// How long a stop takes, by the work item, its executor and whether that drains.
type StopHook = Box<dyn Fn(&str, &str, bool) -> Duration + Send>;
type UpkeepHook = Box<dyn Fn(&str) -> bool + Send>;

struct State {
    executors: Vec<Executor>,
    machines: BTreeMap<String, Machine>,
    /// Steps of the jobs that the clients have sent.
    jobs: HashMap<String, Vec<Value>>,
    /// Services of the jobs' queues, where a case has several.
    services: HashMap<String, String>,
    /// Time, holder and token of the latest order for each machine that was carried out.
    orders: HashMap<String, (f64, String, u64)>,
    /// Share of the orders for machines, in percent, that are carried out without an answer.
    unanswered_percent: u64,
    order_count: u64,
    done: BTreeSet<String>,
    /// Tasks of which an end as done has been taken note of.
    noted: BTreeSet<String>,
    /// Number of machines that may be down at once, by wave.
    caps: HashMap<u64, usize>,
    provider: Provider,
    /// Decides whether an upkeep that begins gets no answer.
    upkeep_hook: Option<UpkeepHook>,
    stop_hook: Option<StopHook>,
    stop_grace_ms: u64,
    startup: Duration,
    checks_budgets: bool,
    /// Work items that an order has ended and that have not been at work since.
    ended_by_order: BTreeSet<String>,
    /// When each work item that lasts was at work last.
    last_at_work: HashMap<String, Instant>,
    starts: Vec<(f64, String)>,
    next_life: u64,
    advice: Option<Advice>,
    /// Until when each ticket is valid, by step, executor and its birth.
    tickets: HashMap<String, Instant>,
}

#[derive(Clone)]
pub struct World {
    state: Arc<(Mutex<State>, Condvar)>,
    store: Store,
    record: Record,
    pub provider_address: SocketAddr,
    pub advice_address: SocketAddr,
    advice_queue: Arc<(Mutex<AdviceQueue>, Condvar)>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}

impl World {
    pub fn start(store: &Store, record: &Record) -> World {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let advice_listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let state = State {
            advice: None,
            tickets: HashMap::new(),
            executors: Vec::new(),
            machines: BTreeMap::new(),
            jobs: HashMap::new(),
            services: HashMap::new(),
            orders: HashMap::new(),
            unanswered_percent: 0,
            order_count: 0,
            done: BTreeSet::new(),
            noted: BTreeSet::new(),
            caps: HashMap::new(),
            provider: Provider::Serves,
            upkeep_hook: None,
            stop_hook: None,
            stop_grace_ms: STOP_GRACE_MS,
            startup: STARTUP,
            checks_budgets: false,
            ended_by_order: BTreeSet::new(),
            last_at_work: HashMap::new(),
            starts: Vec::new(),
            next_life: 0,
        };
        let world = World {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            store: store.clone(),
            record: record.clone(),
            provider_address: listener.local_addr().expect("an address"),
            advice_address: advice_listener.local_addr().expect("an address"),
            advice_queue: Arc::default(),
        };
        let advising = world.clone();
        serve(advice_listener, Arc::default(), || true, move |request| Some(advising.advise(request)));
        let served = world.clone();
        serve(listener, Arc::default(), || true, move |request| served.handle_provider(request));
        let ticking = world.clone();
        thread::spawn(move || loop {
            ticking.tick();
            thread::sleep(TICK);
        });
        world
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("lock")
    }

    /// Adds a machine whose executor starts now.
    pub fn add_machine(&self, machine: &str, kind: &Kind) -> String {
        let mut state = self.lock();
        let known = Machine {
            pool: kind.service.clone(),
            state: MachineState::Up,
            wave: 0,
            done_waves: BTreeSet::new(),
            up_at: None,
            kind: kind.clone(),
        };
        state.machines.insert(machine.to_owned(), known);
        self.start_executor(&mut state, machine, kind)
    }

    /// Starts another life of a machine, with an id and an address of its own.
    fn start_executor(&self, state: &mut State, machine: &str, kind: &Kind) -> String {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let (index, now) = (state.executors.len(), Instant::now());
        state.next_life += 1;
        let id = format!("i-{machine}-{}", state.next_life);
        state.executors.push(Executor {
            id: id.clone(),
            machine: machine.to_owned(),
            address: listener.local_addr().expect("an address"),
            connections: Connections::default(),
            kind: kind.clone(),
            is_up: true,
            cut_until: now,
            late_until: now,
            started: now,
            born: unix_ms(),
            state: "ready",
            remaining_ms: 0,
            beat_at: Some(now),
            last_beat: now,
            seq: 0,
            fence: 0,
            lease_end_ms: 0,
            runs: BTreeMap::new(),
            last_runs: HashMap::new(),
            ended: Vec::new(),
            end_count: 0,
        });
        let connections = state.executors[index].connections.clone();
        let (admitting, world) = (self.clone(), self.clone());
        let admits = move || admitting.lock().executors[index].is_up;
        serve(listener, connections, admits, move |request| world.handle_executor(index, request));
        id
    }

    /// Crashes an executor. It starts again under its id and address after `down`, as `kind`, and registers `beat_after`
    /// later.
    pub fn crash(&self, id: &str, down: Duration, kind: &Kind, beat_after: Duration) {
        let mut state = self.lock();
        let Some(executor) = state.executors.iter_mut().find(|executor| executor.id == id) else { return };
        self.record.line(&format!("executor {id} crashes with runs {:?}", executor.runs.keys().collect::<Vec<_>>()));
        executor.is_up = false;
        executor.beat_at = None;
        executor.runs.clear();
        close_all(&executor.connections);
        drop(state);
        let (world, id, kind) = (self.clone(), id.to_owned(), kind.clone());
        thread::spawn(move || {
            thread::sleep(down);
            let mut state = world.lock();
            let Some(executor) = state.executors.iter_mut().find(|executor| executor.id == id) else { return };
            executor.start_again(Some(kind), beat_after);
            let labels = executor.kind.labels.join(",");
            world.record.line(&format!(
                "executor {id} is back under its id and address, labels {labels}; registers in {} ms",
                beat_after.as_millis()
            ));
        });
    }

    /// Loses an executor and its machine for good.
    pub fn lose(&self, id: &str) {
        let mut state = self.lock();
        let Some(executor) = state.executors.iter_mut().find(|executor| executor.id == id) else { return };
        self.record
            .line(&format!("executor {id} is lost for good, with runs {:?}", executor.runs.keys().collect::<Vec<_>>()));
        executor.is_up = false;
        executor.beat_at = None;
        executor.runs.clear();
        close_all(&executor.connections);
    }

    /// Shuts an executor down as planned: it reports that it drains, serves for `drain`, and leaves. It starts again under
    /// its id and address after `down`.
    pub fn restart_as_planned(&self, id: &str, drain: Duration, down: Duration) {
        let mut state = self.lock();
        let Some(executor) = state.executors.iter_mut().find(|executor| executor.id == id) else { return };
        executor.state = "draining";
        executor.remaining_ms = drain.as_millis() as u64;
        executor.beat_at = Some(Instant::now());
        drop(state);
        self.record.line(&format!("executor {id} reports that it drains, and serves for {} ms", drain.as_millis()));
        let (world, id) = (self.clone(), id.to_owned());
        thread::spawn(move || {
            thread::sleep(drain);
            let mut state = world.lock();
            let Some(executor) = state.executors.iter_mut().find(|executor| executor.id == id) else { return };
            let runs: Vec<&(String, u64)> = executor.runs.keys().collect();
            world.record.line(&format!("executor {id} leaves as planned, with runs {runs:?}"));
            executor.is_up = false;
            executor.beat_at = None;
            executor.runs.clear();
            close_all(&executor.connections);
            drop(state);
            world.store.remove("servers", &id);
            thread::sleep(down);
            let mut state = world.lock();
            let Some(executor) = state.executors.iter_mut().find(|executor| executor.id == id) else { return };
            executor.start_again(None, Duration::ZERO);
            world.record.line(&format!("executor {id} is back under its id and address, and registers at once"));
        });
    }

    /// Partitions an executor from the daemons; it runs on.
    pub fn cut(&self, index: usize, time: Duration) {
        let mut state = self.lock();
        state.executors[index].cut_until = Instant::now() + time;
        self.record.line(&format!("executor {} is cut off for {} ms", state.executors[index].id, time.as_millis()));
    }

    /// Leaves half of an executor's orders unanswered for a time, and carries them out late.
    pub fn delay_orders(&self, index: usize, time: Duration) {
        let mut state = self.lock();
        state.executors[index].late_until = Instant::now() + time;
        self.record.line(&format!(
            "executor {} carries orders out late for {} ms",
            state.executors[index].id,
            time.as_millis()
        ));
    }

    pub fn executor_ids(&self) -> Vec<String> {
        self.lock().executors.iter().map(|executor| executor.id.clone()).collect()
    }

    pub fn running_on(&self, id: &str) -> Vec<String> {
        let state = self.lock();
        let executor = state.executors.iter().find(|executor| executor.id == id);
        let unread = |executor: &Executor| executor.ended.iter().map(|(_, task, ..)| task.clone()).collect::<Vec<_>>();
        executor.map_or(Vec::new(), |executor| {
            executor.runs.keys().map(|(task, _)| task.clone()).chain(unread(executor)).collect()
        })
    }

    pub fn set_advice(&self, advice: Advice) {
        self.lock().advice = Some(advice);
    }

    /// Handles a call for advice when its turn has come, whether or not the caller still waits. Each second executor may
    /// run a step.
    fn advise(&self, request: &Request) -> (u16, Value) {
        let (queue, condvar) = &*self.advice_queue;
        let step = request.body["step"].as_str().unwrap_or("").to_owned();
        let workers = request.body["workers"].as_array().cloned().unwrap_or_default();
        let Some(advice) = self.lock().advice else { return (404, json!({})) };
        let mut calls = queue.lock().expect("lock");
        if calls.arrived - calls.handled > MAX_WAITING_ADVICE {
            return (429, json!({}));
        }
        let turn = calls.arrived;
        calls.arrived += 1;
        while calls.handled < turn {
            calls = condvar.wait(calls).expect("lock");
        }
        drop(calls);
        thread::sleep(advice.decide + advice.each * workers.len() as u32);
        let mut state = self.lock();
        let until = Instant::now() + advice.valid;
        let mut good = Vec::new();
        for worker in workers.iter().filter_map(Value::as_str) {
            let Some(index) = state.executors.iter().position(|executor| executor.id == worker) else { continue };
            if index % 2 == 0 {
                let ticket = format!("{step} {worker} {}", state.executors[index].born);
                state.tickets.insert(ticket.clone(), until);
                good.push(json!([worker, ticket]));
            }
        }
        drop(state);
        self.record.line(&format!("advice on {step} for {} executors: {} good", workers.len(), good.len()));
        queue.lock().expect("lock").handled += 1;
        condvar.notify_all();
        (200, json!({ "good": good, "validMs": advice.valid.as_millis() as u64 }))
    }

    pub fn add_job(&self, id: &str, steps: &Value) {
        self.lock().jobs.insert(id.to_owned(), steps.as_array().cloned().unwrap_or_default());
    }

    pub fn set_service(&self, job: &str, service: &str) {
        self.lock().services.insert(job.to_owned(), service.to_owned());
    }

    pub fn set_unanswered(&self, percent: u64) {
        self.lock().unanswered_percent = percent;
    }

    pub fn set_cap(&self, wave: u64, cap: usize) {
        self.lock().caps.insert(wave, cap);
    }

    pub fn set_provider(&self, provider: Provider) {
        self.lock().provider = provider;
    }

    pub fn stop_grace_ms(&self) -> u64 {
        self.lock().stop_grace_ms
    }

    /// Sets after how long a work item that lasts is at work.
    pub fn set_startup(&self, startup: Duration) {
        self.lock().startup = startup;
    }

    /// Sets `stopGraceMs` and how long each stop takes.
    pub fn set_stops(&self, grace_ms: u64, hook: impl Fn(&str, &str, bool) -> Duration + Send + 'static) {
        let mut state = self.lock();
        state.stop_grace_ms = grace_ms;
        state.stop_hook = Some(Box::new(hook));
    }

    /// From now on, checks the budgets of steps that last when one of their work items ends by a stop.
    pub fn check_budgets(&self) {
        self.lock().checks_budgets = true;
    }

    /// The executor on a machine, if it is up and does not drain.
    pub fn executor_on(&self, machine: &str) -> Option<String> {
        let state = self.lock();
        let mut executors = state.executors.iter().filter(|executor| executor.is_up && executor.state == "ready");
        executors.find(|executor| executor.machine == machine).map(|executor| executor.id.clone())
    }

    /// Executors that run a work item of a step, ID.K.STEP.
    pub fn executors_of(&self, step: &str) -> Vec<(String, String)> {
        let state = self.lock();
        let mut found = Vec::new();
        for executor in &state.executors {
            if executor.runs.keys().any(|(task, _)| step_name(task) == step) {
                found.push((executor.id.clone(), executor.machine.clone()));
            }
        }
        found
    }

    pub fn set_upkeep_hook(&self, hook: impl Fn(&str) -> bool + Send + 'static) {
        self.lock().upkeep_hook = Some(Box::new(hook));
    }

    /// Times and tasks of the starts of a job.
    pub fn starts_of(&self, job: &str) -> Vec<(f64, String)> {
        self.lock().starts.iter().filter(|(_, task)| task.starts_with(job)).cloned().collect()
    }

    pub fn running_of(&self, job: &str) -> usize {
        let state = self.lock();
        let runs = state.executors.iter().flat_map(|executor| executor.runs.keys());
        runs.filter(|(task, _)| task.starts_with(job)).count()
    }

    /// A line about each machine.
    pub fn machines(&self) -> Vec<String> {
        let state = self.lock();
        let mut lines = Vec::new();
        for (name, machine) in &state.machines {
            let executor = state.executors.iter().find(|executor| executor.machine == *name && executor.is_up);
            let runs = executor.map_or(0, |executor| executor.runs.len());
            lines.push(format!("machine {name}: pool {}, cpu {}, {runs} runs", machine.pool, machine.kind.cpu));
        }
        lines
    }

    /// Number of machines that have had their upkeep for a wave.
    pub fn upkeeps_of(&self, wave: u64) -> usize {
        self.lock().machines.values().filter(|machine| machine.done_waves.contains(&wave)).count()
    }

    fn tick(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let mut has_changed = false;
        let mut rows = Vec::new();
        let mut broken_gangs = Vec::new();
        let mut stopped = Vec::new();
        let state_ref = &mut *state;
        for executor in state_ref.executors.iter().filter(|executor| executor.is_up) {
            let at_work = executor.runs.iter().filter(|(_, run)| run.lasts && now >= run.at_work_from);
            for ((task, _), _) in at_work {
                state_ref.ended_by_order.remove(task);
                state_ref.last_at_work.insert(task.clone(), now);
            }
        }
        for executor in &mut state_ref.executors {
            if executor.beat_at.is_some_and(|at| now >= at) {
                executor.beat_at = Some(now + HEARTBEAT);
                executor.last_beat = now;
                executor.seq += 1;
                rows.push((executor.id.clone(), Some(executor.entry())));
            } else if now >= executor.last_beat + HEARTBEAT * MISSED_HEARTBEATS {
                rows.push((executor.id.clone(), None));
            }
            if !executor.is_up {
                continue;
            }
            let has_lapsed = executor.clock_ms() >= executor.lease_end_ms;
            let mut ends = Vec::new();
            for (key, run) in &executor.runs {
                let how = if has_lapsed {
                    "lapsed"
                } else if run.stops_at.is_some_and(|at| now >= at) {
                    "stopped"
                } else if run.done_at.is_some_and(|at| now >= at) {
                    "done"
                } else if run.done_at.is_none() && now >= run.alone_at {
                    "alone"
                } else {
                    continue;
                };
                ends.push((key.clone(), how));
            }
            for ((task, number), how) in ends {
                let run = executor.runs.remove(&(task.clone(), number));
                let was_at_work = run.is_some_and(|run| run.lasts && now >= run.at_work_from);
                executor.end_count += 1;
                let last = executor.last_runs.entry(task.clone()).or_default();
                *last = (*last).max(number);
                self.record.line(&format!("run {number} of {task} on {} ends: {how}", executor.id));
                executor.ended.push((executor.end_count, task.clone(), number, how));
                has_changed = true;
                if how == "stopped" {
                    stopped.push((task.clone(), executor.id.clone(), was_at_work && executor.state == "ready"));
                }
                if how == "done" {
                    state_ref.done.insert(task.clone());
                } else {
                    broken_gangs.push((task, number));
                }
            }
        }
        for (task, id, is_checked) in stopped {
            if is_checked {
                self.check_budget(state_ref, &task, &id);
            }
            state_ref.ended_by_order.insert(task);
        }
        for (task, number) in broken_gangs {
            break_gang(state_ref, &task, number, &self.record);
        }
        let mut back = Vec::new();
        for (name, machine) in &mut state_ref.machines {
            if machine.up_at.is_some_and(|at| now >= at) {
                machine.up_at = None;
                machine.state = MachineState::Up;
                back.push((name.clone(), Kind { service: machine.pool.clone(), ..machine.kind.clone() }));
            }
        }
        for (name, kind) in back {
            let id = self.start_executor(state_ref, &name, &kind);
            self.record.line(&format!("machine {name} is up again, executor {id}"));
        }
        drop(state);
        for (id, entry) in rows {
            match entry {
                Some(entry) => self.store.put("servers", &id, &entry),
                None => self.store.remove("servers", &id),
            }
        }
        if has_changed {
            self.state.1.notify_all();
        }
    }

    fn handle_executor(&self, index: usize, request: &Request) -> Reply {
        self.wait_for_cut(index)?;
        let mut state = self.lock();
        let executor = &mut state.executors[index];
        let is_order = request.path == "/run-start" || request.path == "/run-stop";
        if is_order && Instant::now() < executor.late_until && executor.clock_ms() & 1 == 0 {
            let (world, request, born) = (self.clone(), request.clone(), executor.born);
            let delay_ms = 500 + (executor.clock_ms() * 7_919) % 5_500;
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(delay_ms));
                let is_same = world.lock().executors[index].born == born;
                if is_same {
                    world.record.line(&format!("carried out late: {} {}", request.path, request.body));
                    world.execute(index, &request);
                }
            });
            return None;
        }
        drop(state);
        let reply = self.execute(index, request);
        self.wait_for_cut(index)?;
        reply
    }

    /// Waits while an executor is cut off; `None` if it was.
    fn wait_for_cut(&self, index: usize) -> Option<()> {
        let mut was_cut = false;
        loop {
            let left = self.lock().executors[index].cut_until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return (!was_cut).then_some(());
            }
            was_cut = true;
            thread::sleep(left.min(Duration::from_millis(50)));
        }
    }

    fn execute(&self, index: usize, request: &Request) -> Reply {
        let mut state = self.lock();
        let executor = &mut state.executors[index];
        if !executor.is_up {
            return None;
        }
        let expected = request.header("x-expect-instance");
        if !expected.is_empty() && expected != executor.id {
            return Some((421, json!({ "clockMs": executor.clock_ms() })));
        }
        if !executor.accepts(&request.body) {
            return Some((409, json!({ "clockMs": executor.clock_ms(), "reason": "fence" })));
        }
        match request.path.as_str() {
            "/run-start" => Some(self.start_run(&mut state, index, &request.body)),
            "/run-stop" => {
                let mut hook = state.stop_hook.take();
                let reply = self.stop_run(&mut state.executors[index], &request.body, &mut hook);
                state.stop_hook = hook;
                Some(reply)
            }
            "/hold" => self.hold(state, index, &request.body),
            "/pace" => Some((200, json!({ "clockMs": executor.clock_ms() }))),
            _ => Some((404, json!({}))),
        }
    }

    fn start_run(&self, state: &mut State, index: usize, body: &Value) -> (u16, Value) {
        let task = body["task"].as_str().unwrap_or("").to_owned();
        let number = body["run"].as_u64().unwrap_or(0);
        let work_ms: u64 = body["spec"].as_str().and_then(|spec| spec.strip_prefix("ms=")?.parse().ok()).unwrap_or(500);
        let step = step_of(state, &task);
        let startup = state.startup;
        let executor = &mut state.executors[index];
        let clock_ms = executor.clock_ms();
        let refuse = |reason: &str| (409, json!({ "clockMs": clock_ms, "reason": reason }));
        if executor.runs.contains_key(&(task.clone(), number)) {
            return (200, json!({ "clockMs": clock_ms }));
        }
        executor.extend_lease(body);
        if executor.last_runs.get(&task).is_some_and(|last| number <= *last) {
            return refuse("old");
        }
        if body["deadlineMs"].as_u64().unwrap_or(0) <= clock_ms {
            return refuse("late");
        }
        if state.advice.is_some() {
            let ticket = body["ticket"].as_str().unwrap_or("");
            let is_meant = ticket.starts_with(&format!("{} {} {}", step_name(&task), executor.id, executor.born));
            if !is_meant || state.tickets.get(ticket).is_none_or(|until| Instant::now() >= *until) {
                return refuse("ticket");
            }
        }
        let cpu = step.as_ref().and_then(|step| step["cpu"].as_u64()).unwrap_or(0);
        let used: u64 = executor.runs.values().map(|run| run.cpu).sum();
        if used + cpu > executor.kind.cpu {
            if executor.kind.guards {
                return refuse("room");
            }
            let (id, room) = (executor.id.clone(), executor.kind.cpu);
            self.record.broken(&format!(
                "LIMIT: run {number} of {task} starts on {id}, which then has {} of {room}",
                used + cpu
            ));
        }
        let now = Instant::now();
        let (id, labels) = (executor.id.clone(), executor.kind.labels.clone());
        let is_gang = step.as_ref().is_some_and(|step| step["gang"] == json!(true));
        let work = Duration::from_millis(work_ms);
        let lasts = step.as_ref().is_some_and(|step| step["longRunning"] == json!(true));
        let serves = step.as_ref().is_some_and(|step| step["targetMs"].is_u64());
        let load = if serves { SERVING_TAIL_MS } else { cpu };
        let done_at = (!is_gang).then_some(now + work);
        executor.runs.insert(
            (task.clone(), number),
            Run {
                done_at,
                stops_at: None,
                alone_at: now + GANG_TIMEOUT,
                work,
                cpu,
                at_work_from: now + startup,
                lasts,
                load,
            },
        );
        self.record.line(&format!("run {number} of {task} starts on {id}, labels {}", labels.join(",")));
        state.starts.push((self.record.seconds(), task.clone()));
        let Some(step) = step else {
            self.record.broken(&format!("UNASKED: {task} was never sent"));
            return (200, json!({ "clockMs": clock_ms }));
        };
        let service = state.services.get(task.split('.').next().unwrap_or(""));
        if service.is_some_and(|service| *service != state.executors[index].kind.service) {
            let known = &state.executors[index].kind.service;
            self.record.broken(&format!("ROUTE: {task} is started on {id}, an executor of {known}"));
        }
        let label = step["requiredLabel"].as_str().unwrap_or("");
        if !label.is_empty() && !labels.iter().any(|known| known == label) {
            let labels = labels.join(",");
            self.record
                .broken(&format!("ROUTE: {task} needs label {label}, and was started on {id}, which has {labels}"));
        }
        let others: Vec<String> = state
            .executors
            .iter()
            .filter(|other| other.is_up)
            .flat_map(|other| other.runs.keys().map(|(known, run)| (known, *run, &other.id)))
            .filter(|(known, run, other)| **known == task && (*run != number || **other != id))
            .map(|(_, run, other)| format!("run {run} on {other}"))
            .collect();
        if !others.is_empty() {
            self.record.broken(&format!("TWICE: run {number} of {task} starts on {id} beside {}", others.join(", ")));
        }
        if state.noted.contains(&task) {
            self.record
                .broken(&format!("TWICE: run {number} of {task} starts on {id} after its end was taken note of"));
        }
        for after in step["after"].as_array().into_iter().flatten() {
            self.check_order(state, &task, after.as_u64().unwrap_or(0));
        }
        if let Some(limit) = step["antiAffinity"].as_u64().filter(|limit| *limit > 0) {
            let runs = state.executors[index].runs.keys().filter(|(known, _)| step_name(known) == step_name(&task));
            if runs.count() as u64 > limit {
                self.record.broken(&format!("ROUTE: {task} starts on {id} beyond antiAffinity {limit}"));
            }
        }
        if is_gang {
            complete_gang(state, &task, number, &step);
        }
        (200, json!({ "clockMs": clock_ms }))
    }

    /// Checks that not too many others of a step were away when a stop has ended one of its work items.
    fn check_budget(&self, state: &State, task: &str, id: &str) {
        let Some(step) = step_of(state, task).filter(|_| state.checks_budgets) else { return };
        let Some(budget) = step["optional"].as_u64().filter(|budget| *budget > 0) else { return };
        let now = Instant::now();
        let is_away = |name: &str| {
            let last = state.last_at_work.get(name);
            state.ended_by_order.contains(name) || last.is_some_and(|last| now >= *last + NOTICE)
        };
        let names = (0..step["count"].as_u64().unwrap_or(0)).map(|index| format!("{}.{index}", step_name(task)));
        let away: Vec<String> = names.filter(|name| name != task && is_away(name)).collect();
        if away.len() as u64 >= budget {
            self.record.broken(&format!(
                "AVAIL: a stop ends {task} on {id}, which does not drain, while {away:?} are away; optional is {budget}"
            ));
        }
    }

    fn check_order(&self, state: &State, task: &str, after: u64) {
        let mut parts = task.split('.');
        let (job, occurrence) = (parts.next().unwrap_or(""), parts.next().unwrap_or(""));
        let Some(step) = state.jobs.get(job).and_then(|steps| steps.get(after as usize)) else { return };
        let count = step["count"].as_u64().unwrap_or(0);
        let is_done = |index: u64| state.done.contains(&format!("{job}.{occurrence}.{after}.{index}"));
        let done = (0..count).filter(|index| is_done(*index)).count() as u64;
        let is_complete = if step["gang"] == json!(true) { done > 0 } else { done == count };
        if !is_complete {
            self.record.broken(&format!("ORDER: {task} starts before step {after} is done"));
        }
    }

    fn stop_run(&self, executor: &mut Executor, body: &Value, hook: &mut Option<StopHook>) -> (u16, Value) {
        let task = body["task"].as_str().unwrap_or("").to_owned();
        let number = body["run"].as_u64().unwrap_or(0);
        let is_active = executor.runs.contains_key(&(task.clone(), number));
        let stop_time = match hook.as_ref().filter(|_| is_active) {
            Some(hook) => hook(&task, &executor.id, executor.state == "draining"),
            None => Duration::from_millis(STOP_GRACE_MS / 2),
        };
        for ((known, run), state) in &mut executor.runs {
            if *known == task && *run <= number {
                state.stops_at.get_or_insert(Instant::now() + stop_time);
            }
        }
        self.record.line(&format!("stop of run {number} of {task} at {}", executor.id));
        let last = executor.last_runs.entry(task).or_default();
        *last = (*last).max(number);
        (200, json!({ "clockMs": executor.clock_ms() }))
    }

    fn hold(&self, mut state: MutexGuard<'_, State>, index: usize, body: &Value) -> Reply {
        let deadline = Instant::now() + Duration::from_millis(body["waitMs"].as_u64().unwrap_or(0).min(2_000));
        let cursor = body["ackCursor"].as_u64().unwrap_or(0);
        let born = state.executors[index].born;
        state.executors[index].extend_lease(body);
        let has_lapsed = state.executors[index].clock_ms() >= state.executors[index].lease_end_ms;
        let ended = std::mem::take(&mut state.executors[index].ended);
        let (noted, kept) = ended.into_iter().partition(|(number, ..)| *number <= cursor);
        state.executors[index].ended = kept;
        let noted: Vec<(u64, String, u64, &'static str)> = noted;
        for (_, task, _, how) in noted {
            if how == "done" && !has_lapsed {
                state.noted.insert(task);
            }
        }
        loop {
            let executor = &state.executors[index];
            if !executor.is_up || executor.born != born {
                return None;
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if !executor.ended.is_empty() || left.is_zero() {
                let rows = executor.runs.iter();
                let running: Vec<Value> =
                    rows.map(|((task, run), state)| json!([task, run, "", percent(state), state.load])).collect();
                let ended: Vec<Value> =
                    executor.ended.iter().take(500).map(|(n, task, run, how)| json!([n, task, run, how, ""])).collect();
                let body =
                    json!({ "clockMs": executor.clock_ms(), "born": born, "running": running, "endedRuns": ended });
                return Some((200, body));
            }
            state = self.state.1.wait_timeout(state, left).expect("lock").0;
        }
    }

    /// Checks an order for a machine that is carried out. Returns whether it gets no answer.
    fn check_order_for(&self, state: &mut State, name: &str, request: &Request) -> bool {
        let holder = request.header("x-holder").to_owned();
        let token: u64 = request.header("x-fencing-token").parse().unwrap_or(0);
        let now_s = self.record.seconds();
        let former = state.orders.insert(name.to_owned(), (now_s, holder.clone(), token));
        if let Some((former_s, former_holder, former_token)) = former {
            let is_other = former_holder != holder;
            if token < former_token || (is_other && token == former_token) || (is_other && now_s < former_s + 3.0) {
                self.record.broken(&format!(
                    "ONE: {holder} orders {name} with {token}, {:.1} s after {former_holder} with {former_token}",
                    now_s - former_s
                ));
            }
        }
        for executor in state.executors.iter().filter(|executor| executor.machine == name && executor.is_up) {
            if !executor.runs.is_empty() {
                self.record
                    .line(&format!("{holder} ends runs {:?} of {name}", executor.runs.keys().collect::<Vec<_>>()));
            }
        }
        state.order_count += 1;
        (state.order_count * 7_919) % 100 < state.unanswered_percent
    }

    fn handle_provider(&self, request: &Request) -> Reply {
        thread::sleep(PROVIDER_TIME);
        let mut state = self.lock();
        if state.provider == Provider::Unavailable {
            return Some((503, json!({})));
        }
        let name = request.body["machine"].as_str().unwrap_or("").to_owned();
        match request.path.as_str() {
            "/machines" => {
                let list: Vec<Value> =
                    state.machines.iter().map(|(name, machine)| wire_machine(&state, name, machine)).collect();
                Some((200, json!({ "machines": list, "nextToken": null })))
            }
            "/machine-upkeep" => {
                let wave = request.body["wave"].as_u64().unwrap_or(0);
                let holder = request.header("x-holder").to_owned();
                let Some(machine) = state.machines.get(&name) else { return Some((400, json!({}))) };
                if machine.done_waves.contains(&wave) && machine.state == MachineState::Up {
                    return Some((200, json!({})));
                }
                if machine.state != MachineState::Up {
                    self.record.line(&format!("{holder} orders upkeep of {name}: 409 busy"));
                    return Some((409, json!({ "reason": "busy" })));
                }
                let down = state.machines.iter().filter(|(_, machine)| machine.state == MachineState::Upkeep);
                let down: Vec<String> =
                    down.filter(|(_, machine)| machine.wave == wave).map(|(name, _)| name.clone()).collect();
                self.record
                    .line(&format!("{holder} orders upkeep of {name} for wave {wave}: begins; down already: {down:?}"));
                if state.caps.get(&wave).is_some_and(|cap| down.len() >= *cap) {
                    let cap = state.caps[&wave];
                    self.record.broken(&format!(
                        "LIMIT: upkeep of {name} begins while {down:?} are down for wave {wave}, whose cap is {cap}"
                    ));
                }
                let mut is_unanswered = state.upkeep_hook.as_ref().is_some_and(|hook| hook(&name));
                is_unanswered |= self.check_order_for(&mut state, &name, request);
                take_down(&mut state, &name, MachineState::Upkeep, UPKEEP);
                if let Some(machine) = state.machines.get_mut(&name) {
                    machine.wave = wave;
                    machine.done_waves.insert(wave);
                }
                if is_unanswered {
                    self.record.line(&format!("the order for {name} gets no answer"));
                    return None;
                }
                Some((200, json!({})))
            }
            "/machine-move" => {
                let pool = request.body["pool"].as_str().unwrap_or("").to_owned();
                let Some(machine) = state.machines.get(&name) else { return Some((400, json!({}))) };
                if machine.pool == pool && machine.state == MachineState::Up {
                    return Some((200, json!({})));
                }
                if machine.state != MachineState::Up {
                    return Some((409, json!({ "reason": "busy" })));
                }
                self.record.line(&format!("machine {name} moves to {pool}"));
                let is_unanswered = self.check_order_for(&mut state, &name, request);
                take_down(&mut state, &name, MachineState::Moving, MOVE);
                if let Some(machine) = state.machines.get_mut(&name) {
                    machine.pool = pool;
                }
                (!is_unanswered).then(|| (200, json!({})))
            }
            _ => Some((404, json!({}))),
        }
    }
}

fn percent(run: &Run) -> u64 {
    if run.lasts {
        return if Instant::now() >= run.at_work_from { 100 } else { 10 };
    }
    let Some(done_at) = run.done_at else { return 0 };
    let left = done_at.saturating_duration_since(Instant::now());
    100 - (left.as_millis() * 100 / run.work.as_millis().max(1)).min(100) as u64
}

/// Step of a task whose name is ID.K.STEP.INDEX, if a client has sent it.
fn step_of(state: &State, task: &str) -> Option<Value> {
    let mut parts = task.split('.');
    let steps = state.jobs.get(parts.next()?)?;
    steps.get(parts.nth(1)?.parse::<usize>().ok()?).cloned()
}

/// Name of a task's step, ID.K.STEP.
fn step_name(task: &str) -> &str {
    task.rsplit_once('.').map_or(task, |(step, _)| step)
}

/// Lets a gang begin once all members of one run are present.
fn complete_gang(state: &mut State, task: &str, number: u64, step: &Value) {
    let is_member = |(known, run): &(String, u64)| step_name(known) == step_name(task) && *run == number;
    let present = state.executors.iter().flat_map(|executor| executor.runs.keys()).filter(|key| is_member(key)).count();
    if (present as u64) < step["count"].as_u64().unwrap_or(1) {
        return;
    }
    let now = Instant::now();
    for executor in &mut state.executors {
        for (key, run) in &mut executor.runs {
            if is_member(key) {
                run.done_at = Some(now + run.work);
            }
        }
    }
}

/// Ends the other members of a gang of which one has ended.
fn break_gang(state: &mut State, task: &str, number: u64, record: &Record) {
    if step_of(state, task).is_none_or(|step| step["gang"] != json!(true)) {
        return;
    }
    for executor in &mut state.executors {
        let is_member = |known: &str, run: u64| step_name(known) == step_name(task) && run == number;
        let members: Vec<(String, u64)> =
            executor.runs.keys().filter(|(known, run)| is_member(known, *run)).cloned().collect();
        for (member, run) in members {
            executor.runs.remove(&(member.clone(), run));
            executor.end_count += 1;
            record.line(&format!("run {run} of {member} on {} ends: broken", executor.id));
            executor.ended.push((executor.end_count, member, run, "broken"));
        }
    }
}

fn take_down(state: &mut State, name: &str, machine_state: MachineState, time: Duration) {
    if let Some(machine) = state.machines.get_mut(name) {
        machine.state = machine_state;
        machine.up_at = Some(Instant::now() + time);
    }
    for executor in state.executors.iter_mut().filter(|executor| executor.machine == name && executor.is_up) {
        executor.is_up = false;
        executor.beat_at = None;
        state.ended_by_order.extend(executor.runs.keys().map(|(task, _)| task.clone()));
        executor.runs.clear();
        close_all(&executor.connections);
    }
}

fn wire_machine(state: &State, name: &str, machine: &Machine) -> Value {
    let executor = state.executors.iter().find(|executor| executor.machine == name && executor.is_up);
    let word = match machine.state {
        MachineState::Up if executor.is_none() => "down",
        MachineState::Up => "up",
        MachineState::Moving => "moving",
        MachineState::Upkeep => "upkeep",
    };
    let mut wire = json!({
        "machine": name, "pool": machine.pool, "state": word, "zone": "hall-a", "labels": machine.kind.labels,
        "capacity": { "cpu": machine.kind.cpu, "memMb": 64_000, "gpu": 0 },
    });
    if let Some(executor) = executor {
        wire["id"] = json!(executor.id);
    }
    wire
}
