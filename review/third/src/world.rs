//! The platform of a small deployment: its store, executors, machines and advice service, on loopback addresses.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fs::File;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{json, Value};

use crate::http::{serve_connection, Request, Response};
use crate::store::Store;

/// `holdMaxMs`, `stopGraceMs`, `moveS` and `upkeepS` of the settings.
pub const HOLD_MAX_MS: u64 = 10_000;
pub const STOP_GRACE_MS: u64 = 200;
pub const MOVE_MS: u64 = 1_500;
pub const UPKEEP_MS: u64 = 2_000;
/// Time from the start of a lasting work item until it is at work.
const STARTUP_MS: u64 = 700;
const HEARTBEAT_MS: u64 = 1_500;
/// Time without heartbeats after which an executor's entry is removed: three intervals of 1,500 ms.
const SILENCE_MS: u64 = 4_500;
const ANSWER_MS: u64 = 4;
/// `validMs` of queues with advice.
pub const ADVICE_VALID_MS: u64 = 3_000;

/// What the system did, as executors, clients and the platform have seen it.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        Record { file: Mutex::new(File::create(path).expect("record.txt is created")), started: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let time = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("lock");
        let _ = writeln!(file, "{time:8.3} {text}");
    }
}

/// What a job's `spec` says of the work items of a step: as words of the form `name=number`, or as a JSON list with an object
/// for each step.
fn spec_number(spec: &str, task: &str, name: &str) -> Option<u64> {
    if spec.starts_with('[') {
        let step: usize = task.split('.').nth(2)?.parse().ok()?;
        let steps: Value = serde_json::from_str(spec).ok()?;
        return steps[step][name].as_u64();
    }
    let mut words = spec.split(' ').filter_map(|word| word.split_once('='));
    words.find(|(key, _)| *key == name).and_then(|(_, value)| value.parse().ok())
}

#[derive(Debug)]
pub struct Run {
    pub started: Instant,
    /// When it ends as done; `None` if it lasts.
    ends: Option<Instant>,
    stops: Option<Instant>,
    cpu: u64,
    mem_mb: u64,
}

/// One life of a machine.
#[derive(Debug)]
pub struct Executor {
    pub id: String,
    pub machine: String,
    address: SocketAddr,
    started: Instant,
    born: u64,
    /// Cleared when the process has ended.
    up: Arc<AtomicBool>,
    ended_at: Option<Instant>,
    seq: u64,
    next_heartbeat: Instant,
    connections: Vec<TcpStream>,
    lease_end_ms: u64,
    fence: u64,
    pub runs: BTreeMap<(String, u64), Run>,
    last_runs: HashMap<String, u64>,
    ended: Vec<Value>,
    last_end: u64,
}

/// Ids look like random ones, and are the same in each run.
fn executor_id(number: u64) -> String {
    const SEED: u64 = 26;
    let mut bits = (SEED << 32 | number).wrapping_add(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    format!("i-{:08x}", (bits ^ (bits >> 31)) >> 32)
}

/// What an executor writes of itself.
fn entry_of(host: &Machine, machine: &str, executor: &Executor) -> Value {
    json!({
        "service": host.pool, "addr": executor.address.to_string(), "zone": "hall-a", "version": "v1", "slots": 8,
        "state": "ready", "coldRemainingMs": 0, "capacity": { "cpu": host.cpu, "memMb": host.mem_mb, "gpu": 0 },
        "labels": host.labels, "machine": machine, "born": executor.born, "seq": executor.seq,
    })
}

impl Executor {
    fn new(id: &str, machine: &str, address: SocketAddr, up: Arc<AtomicBool>) -> Executor {
        Executor {
            id: id.to_owned(),
            machine: machine.to_owned(),
            address,
            started: Instant::now(),
            born: unix_ms(),
            up,
            ended_at: None,
            seq: 1,
            next_heartbeat: Instant::now() + Duration::from_millis(HEARTBEAT_MS),
            connections: Vec::new(),
            lease_end_ms: 0,
            fence: 0,
            runs: BTreeMap::new(),
            last_runs: HashMap::new(),
            ended: Vec::new(),
            last_end: 0,
        }
    }

    pub fn is_up(&self) -> bool {
        self.up.load(Ordering::SeqCst)
    }

    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1
    }

    fn accept_fence(&mut self, body: &Value) -> bool {
        let fence = body["fence"].as_u64().unwrap_or(0);
        let accepted = fence >= self.fence;
        self.fence = self.fence.max(fence);
        accepted
    }

    fn extend_lease(&mut self, body: &Value) {
        let deadline_ms = body["deadlineMs"].as_u64().unwrap_or(0);
        self.lease_end_ms = self.lease_end_ms.max(deadline_ms.min(self.clock_ms() + HOLD_MAX_MS));
    }

    fn end_run(&mut self, record: &Record, key: &(String, u64), how: &str) {
        if self.runs.remove(key).is_none() {
            return;
        }
        self.last_end += 1;
        self.ended.push(json!([self.last_end, key.0, key.1, how, ""]));
        let last = self.last_runs.entry(key.0.clone()).or_default();
        *last = (*last).max(key.1);
        record.line(&format!("executor={} task={} run={} end={how}", self.id, key.0, key.1));
    }

    /// Ends the runs whose time has come, and all of them if the lease has expired.
    fn end_due(&mut self, record: &Record) {
        let now = Instant::now();
        let is_expired = self.clock_ms() > self.lease_end_ms;
        let mut due = Vec::new();
        for (key, run) in &self.runs {
            if run.ends.is_some_and(|at| at <= now) {
                due.push((key.clone(), "done"));
            } else if run.stops.is_some_and(|at| at <= now) {
                due.push((key.clone(), "stopped"));
            } else if is_expired {
                due.push((key.clone(), "lapsed"));
            }
        }
        for (key, how) in due {
            self.end_run(record, &key, how);
        }
    }

    fn lists(&self) -> Value {
        let mut running = Vec::new();
        for ((task, run), state) in &self.runs {
            let ms = state.started.elapsed().as_millis() as u64;
            let percent = match state.ends {
                Some(ends) => (ms * 100 / (ends.duration_since(state.started).as_millis() as u64).max(1)).min(99),
                None => (ms * 100 / STARTUP_MS).min(100),
            };
            running.push(json!([task, run, "", percent, 10]));
        }
        json!({ "clockMs": self.clock_ms(), "born": self.born, "running": running, "endedRuns": self.ended })
    }
}

#[derive(Debug)]
pub struct Machine {
    pub pool: String,
    pub state: &'static str,
    pub labels: Vec<String>,
    cpu: u64,
    mem_mb: u64,
    /// When a new executor joins the pool.
    returns: Option<Instant>,
    pub upkeeps: BTreeSet<u64>,
}

/// The advice service.
#[derive(Debug, Default, Clone, Copy)]
pub struct Advice {
    /// Whether starts need a ticket.
    pub is_needed: bool,
    /// `decideMs` and `eachMs` of the queues.
    pub decide_ms: u64,
    pub each_ms: u64,
}

pub struct State {
    pub store: Store,
    pub executors: Vec<Executor>,
    pub machines: BTreeMap<String, Machine>,
    next_executor: u64,
    pub advice: Advice,
    /// Step, executor and end of each ticket.
    tickets: HashMap<String, (String, String, Instant)>,
    /// How long the store takes to answer.
    store_answer_ms: u64,
}

impl State {
    /// The executor of a machine that is up.
    pub fn executor_on(&self, machine: &str) -> Option<&Executor> {
        self.executors.iter().find(|executor| executor.is_up() && executor.machine == machine)
    }

    /// Runs of a job that are active now.
    pub fn active_runs(&self, job: &str) -> usize {
        let up = self.executors.iter().filter(|executor| executor.is_up());
        up.flat_map(|executor| executor.runs.keys()).filter(|(task, _)| task.starts_with(job)).count()
    }

    /// Runs that are active now.
    pub fn all_active_runs(&self) -> usize {
        self.executors.iter().filter(|executor| executor.is_up()).map(|executor| executor.runs.len()).sum()
    }

    pub fn up_count(&self) -> usize {
        self.executors.iter().filter(|executor| executor.is_up()).count()
    }
}

/// The whole platform. Clones share its state.
#[derive(Clone)]
pub struct World {
    state: Arc<(Mutex<State>, Condvar)>,
    pub record: Arc<Record>,
    pub store_address: SocketAddr,
    pub provider_address: SocketAddr,
    pub advice_address: SocketAddr,
    /// Held by the call that the advice service handles.
    advice_turn: Arc<Mutex<()>>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}

impl World {
    pub fn start(record: Record, config: &Value) -> World {
        let bind = || TcpListener::bind("127.0.0.1:0").expect("a free port");
        let (store, provider, advice) = (bind(), bind(), bind());
        let state = State {
            store: Store::default(),
            executors: Vec::new(),
            machines: BTreeMap::new(),
            next_executor: 0,
            advice: Advice::default(),
            tickets: HashMap::new(),
            store_answer_ms: ANSWER_MS,
        };
        let world = World {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            record: Arc::new(record),
            store_address: store.local_addr().expect("an address"),
            provider_address: provider.local_addr().expect("an address"),
            advice_address: advice.local_addr().expect("an address"),
            advice_turn: Arc::default(),
        };
        world.operator_writes("config", config);
        world.serve(store, World::handle_store);
        world.serve(provider, World::handle_provider);
        world.serve(advice, World::handle_advice);
        let ticking = world.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(10));
            ticking.tick();
        });
        world
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("lock")
    }

    fn notify(&self) {
        self.state.1.notify_all();
    }

    fn serve(&self, listener: TcpListener, handler: fn(&World, &Request) -> Response) {
        let world = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let world = world.clone();
                thread::spawn(move || serve_connection(stream, |request| handler(&world, request)));
            }
        });
    }

    /// Writes a row of the operator; the store's answer confirms it.
    pub fn operator_writes(&self, name: &str, value: &Value) {
        self.lock().store.put("op", name, value);
        self.record.line(&format!("operator writes op/{name} {value}"));
        self.notify();
    }

    /// Sets how long the store takes to answer.
    pub fn slow_store(&self, answer_ms: Option<u64>) {
        let answer_ms = answer_ms.unwrap_or(ANSWER_MS);
        self.lock().store_answer_ms = answer_ms;
        self.record.line(&format!("store answers after {answer_ms} ms"));
    }

    /// The store forgets its history of changes.
    pub fn drop_history(&self) {
        let mut state = self.lock();
        state.store.drop_history();
        self.record.line(&format!("store forgets its history up to version {}", state.store.version()));
        self.notify();
    }

    /// Adds a machine with an executor.
    pub fn add_machine(&self, name: &str, pool: &str, labels: &[&str], cpu: u64) {
        let machine = Machine {
            pool: pool.to_owned(),
            state: "up",
            labels: labels.iter().map(|label| (*label).to_owned()).collect(),
            cpu,
            mem_mb: 65_536,
            returns: None,
            upkeeps: BTreeSet::new(),
        };
        let mut state = self.lock();
        state.machines.insert(name.to_owned(), machine);
        self.start_executor(&mut state, name);
    }

    /// Starts an executor on a machine, which registers itself.
    fn start_executor(&self, state: &mut State, machine: &str) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener.set_nonblocking(true).expect("a nonblocking listener");
        state.next_executor += 1;
        let id = executor_id(state.next_executor);
        let up = Arc::new(AtomicBool::new(true));
        let executor = Executor::new(&id, machine, listener.local_addr().expect("an address"), up.clone());
        let host = &state.machines[machine];
        let entry = entry_of(host, machine, &executor);
        self.record.line(&format!("executor={} machine={machine} service={} joins", executor.id, host.pool));
        state.store.put("servers", &executor.id, &entry);
        state.executors.push(executor);
        self.serve_executor(listener, id, up);
        self.notify();
    }

    fn serve_executor(&self, listener: TcpListener, id: String, up: Arc<AtomicBool>) {
        let world = self.clone();
        thread::spawn(move || {
            while up.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let (world, id) = (world.clone(), id.clone());
                if let (Ok(copy), Some(executor)) =
                    (stream.try_clone(), world.lock().executors.iter_mut().find(|executor| executor.id == id))
                {
                    executor.connections.push(copy);
                }
                thread::spawn(move || serve_connection(stream, |request| world.handle_executor(&id, request)));
            }
        });
    }

    /// Ends the executor of a machine: its runs terminate, and its port is closed.
    fn end_executor(&self, state: &mut State, machine: &str, why: &str) {
        let Some(executor) = state.executors.iter_mut().find(|known| known.is_up() && known.machine == machine) else {
            return;
        };
        executor.up.store(false, Ordering::SeqCst);
        executor.ended_at = Some(Instant::now());
        for connection in executor.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        let runs: Vec<String> = executor.runs.keys().map(|(task, run)| format!("{task}/{run}")).collect();
        executor.runs.clear();
        self.record.line(&format!("executor={} machine={machine} ends: {why}; runs={}", executor.id, runs.join(",")));
    }

    /// A machine's executor crashes, and is back after some time, under a new id.
    pub fn crash_machine(&self, machine: &str, down_ms: u64) {
        let mut state = self.lock();
        self.end_executor(&mut state, machine, "crashed");
        if let Some(host) = state.machines.get_mut(machine) {
            host.state = "down";
            host.returns = Some(Instant::now() + Duration::from_millis(down_ms));
        }
        self.notify();
    }

    fn tick(&self) {
        let mut state = self.lock();
        let state = &mut *state;
        for executor in state.executors.iter_mut().filter(|executor| executor.is_up()) {
            executor.end_due(&self.record);
        }
        for executor in &mut state.executors {
            let is_silent = executor.ended_at.is_some_and(|at| at.elapsed() > Duration::from_millis(SILENCE_MS));
            if is_silent {
                executor.ended_at = None;
                state.store.remove("servers", &executor.id);
                self.record.line(&format!("executor={} entry removed", executor.id));
            }
        }
        let now = Instant::now();
        for executor in state.executors.iter_mut().filter(|executor| executor.is_up()) {
            if now < executor.next_heartbeat {
                continue;
            }
            executor.next_heartbeat = now + Duration::from_millis(HEARTBEAT_MS);
            executor.seq += 1;
            let entry = entry_of(&state.machines[&executor.machine], &executor.machine, executor);
            state.store.put("servers", &executor.id, &entry);
        }
        let due: Vec<String> = state
            .machines
            .iter()
            .filter(|(_, machine)| machine.returns.is_some_and(|at| at <= now))
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            let machine = state.machines.get_mut(&name).expect("a machine");
            machine.returns = None;
            machine.state = "up";
            self.start_executor(state, &name);
        }
        self.notify();
    }

    /// Calls take effect when they arrive; their answers may take longer.
    fn handle_store(&self, request: &Request) -> Response {
        let answer = match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/rows-tx") => {
                let answer = self.lock().store.commit(&request.body);
                self.notify();
                answer
            }
            ("GET", "/rows-get") => self.lock().store.read(request),
            ("GET", "/rows-parts") => self.lock().store.parts(request),
            ("GET", "/rows-feed") => self.wait_for_changes(request),
            _ => (404, json!({})),
        };
        let answer_ms = self.lock().store_answer_ms;
        thread::sleep(Duration::from_millis(answer_ms));
        Some(answer)
    }

    fn wait_for_changes(&self, request: &Request) -> (u16, Value) {
        let deadline = Instant::now() + Duration::from_millis(request.number("waitMs").min(30_000));
        let (table, after) = (request.text("table"), request.number("after"));
        let mut state = self.lock();
        loop {
            if !state.store.has_history_since(after) {
                self.record.line(&format!("store answers 410 to a feed of table {table} after version {after}"));
                return (410, json!({}));
            }
            if let Some(answer) = state.store.changes(table, after) {
                return answer;
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return (200, json!({ "rows": [], "ver": state.store.version(), "nowMs": 1 }));
            }
            state = self.state.1.wait_timeout(state, left).expect("lock").0;
        }
    }

    /// Orders take effect when they arrive.
    fn handle_provider(&self, request: &Request) -> Response {
        let answer = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/machines") => return Some((200, self.machine_list())),
            ("POST", "/machine-move") => self.move_machine(request),
            ("POST", "/machine-upkeep") => self.maintain_machine(request),
            _ => (404, json!({})),
        };
        let header = |name: &str| request.headers.get(name).cloned().unwrap_or_default();
        let (holder, fence) = (header("x-holder"), header("x-fencing-token"));
        self.record.line(&format!(
            "provider {} {} holder={holder} fence={fence} -> {} {}",
            request.path, request.body, answer.0, answer.1
        ));
        thread::sleep(Duration::from_millis(ANSWER_MS));
        Some(answer)
    }

    /// The policy allows all executors of kind `a`, and nine of ten others. The service handles one call at a time.
    fn handle_advice(&self, request: &Request) -> Response {
        let step = request.body["step"].as_str()?.to_owned();
        let workers: Vec<String> =
            request.body["workers"].as_array()?.iter().filter_map(Value::as_str).map(str::to_owned).collect();
        let turn = self.advice_turn.lock().expect("lock");
        let advice = self.lock().advice;
        thread::sleep(Duration::from_millis(advice.decide_ms + advice.each_ms * workers.len() as u64));
        drop(turn);
        let mut good = Vec::new();
        let mut state = self.lock();
        for worker in &workers {
            let known = state.executors.iter().find(|known| known.id == *worker);
            let is_labelled =
                known.is_some_and(|known| state.machines[&known.machine].labels.iter().any(|label| label == "a"));
            if !is_labelled && u32::from_str_radix(&worker[2..], 16).unwrap_or(0) % 10 == 0 {
                continue;
            }
            let ticket = format!("t-{}", state.tickets.len() + 1);
            let until = Instant::now() + Duration::from_millis(ADVICE_VALID_MS);
            state.tickets.insert(ticket.clone(), (step.clone(), worker.clone(), until));
            good.push(json!([worker, ticket]));
        }
        drop(state);
        self.record.line(&format!("advice step={step} asked={} good={}", workers.join(","), good.len()));
        Some((200, json!({ "good": good, "validMs": ADVICE_VALID_MS })))
    }

    fn machine_list(&self) -> Value {
        let state = self.lock();
        let mut machines = Vec::new();
        for (name, machine) in &state.machines {
            machines.push(json!({
                "machine": name, "pool": machine.pool, "state": machine.state, "zone": "hall-a",
                "labels": machine.labels, "capacity": { "cpu": machine.cpu, "memMb": machine.mem_mb, "gpu": 0 },
                "id": state.executor_on(name).map(|executor| executor.id.clone()),
            }));
        }
        json!({ "machines": machines, "nextToken": null })
    }

    fn move_machine(&self, request: &Request) -> (u16, Value) {
        let (name, pool) =
            (request.body["machine"].as_str().unwrap_or(""), request.body["pool"].as_str().unwrap_or(""));
        let mut state = self.lock();
        let Some(machine) = state.machines.get_mut(name) else { return (400, json!({})) };
        if machine.pool == pool {
            return (200, json!({}));
        }
        if machine.state != "up" {
            return (409, json!({ "reason": "busy" }));
        }
        machine.pool = pool.to_owned();
        machine.state = "moving";
        machine.returns = Some(Instant::now() + Duration::from_millis(MOVE_MS));
        self.take_down(&mut state, name, "moved");
        (200, json!({}))
    }

    fn maintain_machine(&self, request: &Request) -> (u16, Value) {
        let name = request.body["machine"].as_str().unwrap_or("");
        let wave = request.body["wave"].as_u64().unwrap_or(0);
        let mut state = self.lock();
        let order = state.store.get("op", "", &format!("wave/{wave}"));
        let order: Value = order.and_then(|row| serde_json::from_slice(&row).ok()).unwrap_or_default();
        let is_named = order["machines"].as_array().is_some_and(|names| names.iter().any(|named| named == name));
        let Some(machine) = state.machines.get_mut(name) else { return (400, json!({})) };
        if !is_named {
            return (409, json!({ "reason": "wave" }));
        }
        if machine.upkeeps.contains(&wave) {
            return (200, json!({}));
        }
        if machine.state != "up" {
            return (409, json!({ "reason": "busy" }));
        }
        machine.upkeeps.insert(wave);
        machine.state = "upkeep";
        machine.returns = Some(Instant::now() + Duration::from_millis(UPKEEP_MS));
        self.take_down(&mut state, name, "upkeep");
        (200, json!({}))
    }

    /// Ends a machine's executor on an order: it leaves the registry.
    fn take_down(&self, state: &mut State, machine: &str, why: &str) {
        let id = state.executor_on(machine).map(|executor| executor.id.clone());
        self.end_executor(state, machine, why);
        if let Some(id) = id {
            state.store.remove("servers", &id);
            for executor in state.executors.iter_mut().filter(|executor| executor.id == id) {
                executor.ended_at = None;
            }
        }
        self.notify();
    }

    fn handle_executor(&self, id: &str, request: &Request) -> Response {
        let expected = request.headers.get("x-expect-instance");
        if expected.is_some_and(|expected| expected != id) {
            return Some((421, json!({})));
        }
        match request.path.as_str() {
            "/run-start" => self.start_run(id, &request.body),
            "/run-stop" => self.stop_run(id, &request.body),
            "/hold" => self.hold(id, &request.body),
            "/pace" => {
                Some((200, json!({ "clockMs": self.lock().executors.iter().find(|known| known.id == id)?.clock_ms() })))
            }
            _ => Some((404, json!({}))),
        }
    }

    fn start_run(&self, id: &str, body: &Value) -> Response {
        let (task, run) = (body["task"].as_str()?.to_owned(), body["run"].as_u64()?);
        let spec = body["spec"].as_str().unwrap_or("");
        let mut state = self.lock();
        let (cpu, mem) = {
            let machine = &state.executors.iter().find(|known| known.id == id)?.machine;
            (state.machines[machine].cpu, state.machines[machine].mem_mb)
        };
        let executor = state.executors.iter_mut().find(|known| known.id == id && known.is_up())?;
        executor.end_due(&self.record);
        let clock = executor.clock_ms();
        let refuse = |reason: &str| {
            self.record.line(&format!("executor={id} refuses task={task} run={run}: {reason}"));
            Some((409, json!({ "clockMs": clock, "reason": reason })))
        };
        if !executor.accept_fence(body) {
            return refuse("fence");
        }
        executor.extend_lease(body);
        if executor.runs.contains_key(&(task.clone(), run)) {
            return Some((200, json!({ "clockMs": clock })));
        }
        if executor.last_runs.get(&task).is_some_and(|last| run <= *last) {
            return refuse("old");
        }
        if body["deadlineMs"].as_u64().unwrap_or(0) <= clock {
            return refuse("late");
        }
        if state.advice.is_needed {
            let step = task.rsplit_once('.').map_or("", |(step, _)| step);
            let ticket = state.tickets.get(body["ticket"].as_str().unwrap_or(""));
            let is_valid =
                ticket.is_some_and(|(known, worker, until)| known == step && worker == id && Instant::now() < *until);
            if !is_valid {
                return refuse("ticket");
            }
        }
        let executor = state.executors.iter_mut().find(|known| known.id == id && known.is_up())?;
        let needs = spec_number(spec, &task, "cpu").unwrap_or(0);
        let needs_mem = spec_number(spec, &task, "mem").unwrap_or(0);
        let used: u64 = executor.runs.values().map(|run| run.cpu).sum();
        let used_mem: u64 = executor.runs.values().map(|run| run.mem_mb).sum();
        if used + needs > cpu || used_mem + needs_mem > mem {
            return refuse("room");
        }
        let now = Instant::now();
        let ends = spec_number(spec, &task, "run-ms").map(|ms| now + Duration::from_millis(ms));
        let state_of_run = Run { started: now, ends, stops: None, cpu: needs, mem_mb: needs_mem };
        executor.runs.insert((task.clone(), run), state_of_run);
        self.record.line(&format!("executor={id} starts task={task} run={run}"));
        self.notify();
        Some((200, json!({ "clockMs": clock })))
    }

    fn stop_run(&self, id: &str, body: &Value) -> Response {
        let (task, run) = (body["task"].as_str()?.to_owned(), body["run"].as_u64()?);
        let mut state = self.lock();
        let executor = state.executors.iter_mut().find(|known| known.id == id && known.is_up())?;
        let clock = executor.clock_ms();
        if !executor.accept_fence(body) {
            return Some((409, json!({ "clockMs": clock, "reason": "fence" })));
        }
        for (_, state) in executor.runs.range_mut((task.clone(), 0)..=(task.clone(), run)) {
            state.stops.get_or_insert(Instant::now() + Duration::from_millis(STOP_GRACE_MS / 2));
        }
        self.record.line(&format!("executor={id} is told to stop task={task} run={run}"));
        let last = executor.last_runs.entry(task).or_default();
        *last = (*last).max(run);
        Some((200, json!({ "clockMs": clock })))
    }

    fn hold(&self, id: &str, body: &Value) -> Response {
        let deadline = Instant::now() + Duration::from_millis(body["waitMs"].as_u64().unwrap_or(0).min(2_000));
        let cursor = body["ackCursor"].as_u64().unwrap_or(0);
        let mut state = self.lock();
        {
            let executor = state.executors.iter_mut().find(|known| known.id == id && known.is_up())?;
            executor.end_due(&self.record);
            if !executor.accept_fence(body) {
                return Some((409, json!({ "clockMs": executor.clock_ms(), "reason": "fence" })));
            }
            executor.extend_lease(body);
            executor.ended.retain(|row| row[0].as_u64().unwrap_or(0) > cursor);
        }
        loop {
            let executor = state.executors.iter_mut().find(|known| known.id == id && known.is_up())?;
            executor.end_due(&self.record);
            let left = deadline.saturating_duration_since(Instant::now());
            if !executor.ended.is_empty() || left.is_zero() {
                return Some((200, executor.lists()));
            }
            state = self.state.1.wait_timeout(state, left).expect("lock").0;
        }
    }
}
