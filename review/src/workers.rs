//! Workers ("executors" of the users' pages). The spec of a job says what becomes of its runs, as words:
//! `ms=N` succeeds after N ms, `crash-ms=N` crashes the worker after N ms, `lasting` runs until it is stopped, and with
//! `last-ms=N` the items of the second step succeed N ms after [`Workers::release_last`].
//! A crashed worker is back under its ID and address after [`DOWN`].

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde_json::{json, Value};

use crate::http::{call, serve, Reply, Request};
use crate::record::Record;

/// `holdMaxMs` and `stopGraceMs` of the settings.
const MAX_LEASE_MS: u64 = 10_000;
const STOP_TAKES: Duration = Duration::from_millis(100);
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// `checkpointS` of the settings.
const CHECKPOINT_MS: u64 = 1_000;
const DOWN: Duration = Duration::from_millis(3_000);
const LISTED_ENDS: usize = 500;

/// Something that a worker has done.
#[derive(Debug, Clone)]
pub struct Event {
    pub at: Instant,
    pub worker: String,
    /// Number of the worker's life.
    pub life: u32,
    pub task: String,
    pub run: u64,
    /// `start`, `crash`, or how the run ended.
    pub kind: &'static str,
}

struct Run {
    started: Instant,
    spec: Arc<str>,
    /// How long the run takes until it succeeds; `None` if it lasts.
    total_ms: Option<u64>,
    /// Whether this time begins only with [`Workers::release_last`].
    waits: bool,
    stops_at: Option<Instant>,
}

struct Life {
    started: Instant,
    born: u64,
    lease_end_ms: u64,
    fence: u64,
    runs: BTreeMap<(String, u64), Run>,
    last_runs: HashMap<String, u64>,
    ended: Vec<(u64, Value)>,
    last_end: u64,
}

struct Worker {
    id: String,
    address: SocketAddr,
    machine: String,
    state: &'static str,
    labels: Vec<String>,
    cpu: u64,
    number: u32,
    life: Life,
    /// Until then, requests that arrive are neither carried out nor answered; what runs goes on.
    silent_until: Instant,
    next_heartbeat: Instant,
}

struct World {
    workers: Vec<Worker>,
    /// From then on the time of items counts that wait for [`Workers::release_last`].
    released: Option<Instant>,
    events: Vec<Event>,
    acknowledged: Vec<(Instant, String, u64, &'static str)>,
}

/// All workers. Clones share them.
#[derive(Clone)]
pub struct Workers {
    world: Arc<(Mutex<World>, Condvar)>,
    store: SocketAddr,
    record: Record,
    /// Whether single starts and ends are written to the record.
    verbose: bool,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}

fn word(spec: &str, name: &str) -> Option<u64> {
    spec.split(' ').find_map(|word| word.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

impl Life {
    fn new(started: Instant, born: u64) -> Life {
        Life {
            started,
            born,
            lease_end_ms: 0,
            fence: 0,
            runs: BTreeMap::new(),
            last_runs: HashMap::new(),
            ended: Vec::new(),
            last_end: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1
    }

    fn accept_fence(&mut self, body: &Value) -> bool {
        let fence = body["fence"].as_u64().unwrap_or(0);
        self.fence = self.fence.max(fence);
        fence == self.fence
    }

    fn extend_lease(&mut self, body: &Value) {
        let end_ms = body["deadlineMs"].as_u64().unwrap_or(0).min(self.clock_ms() + MAX_LEASE_MS);
        self.lease_end_ms = self.lease_end_ms.max(end_ms);
    }

    fn end(&mut self, task: &str, run: u64, how: &'static str) {
        self.last_end += 1;
        self.ended.push((self.last_end, json!([self.last_end, task, run, how, ""])));
        let last = self.last_runs.entry(task.to_owned()).or_default();
        *last = (*last).max(run);
        self.runs.remove(&(task.to_owned(), run));
    }

    fn lists(&self) -> Value {
        let running: Vec<Value> = self
            .runs
            .iter()
            .map(|((task, run), state)| {
                let ran_ms = state.started.elapsed().as_millis() as u64;
                let saved = match ran_ms / CHECKPOINT_MS {
                    0 => String::new(),
                    count => checkpoint(task, *run, count),
                };
                let percent = match state.total_ms {
                    // Slow progress, so that the run does not count as stalled.
                    Some(_) if state.waits => (ran_ms / 1_000).min(99),
                    Some(total_ms) => (ran_ms * 100 / total_ms.max(1)).min(99),
                    None => 100,
                };
                json!([task, run, saved, percent, 10])
            })
            .collect();
        let ended: Vec<&Value> = self.ended.iter().take(LISTED_ENDS).map(|(_, row)| row).collect();
        json!({ "clockMs": self.clock_ms(), "born": self.born, "running": running, "endedRuns": ended })
    }
}

/// Whether a run is of an item that ends only after [`Workers::release_last`].
fn waits_for_release(task: &str, spec: &str) -> bool {
    task.split('.').nth(2) == Some("1") && word(spec, "last-ms").is_some()
}

/// A checkpoint of 16 characters, as in the users' example.
fn checkpoint(task: &str, run: u64, count: u64) -> String {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64 ^ run ^ (count << 32);
    for byte in task.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    format!("{hash:016x}")
}

impl Workers {
    /// Starts workers of `cpu` thousandths of a core each, which register themselves in the store.
    pub fn start(count: usize, cpu: u64, store: SocketAddr, record: &Record, verbose: bool) -> Workers {
        let world = World { workers: Vec::new(), released: None, events: Vec::new(), acknowledged: Vec::new() };
        let workers =
            Workers { world: Arc::new((Mutex::new(world), Condvar::new())), store, record: record.clone(), verbose };
        for index in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            let now = Instant::now();
            workers.lock().workers.push(Worker {
                id: format!("w{index}"),
                address: listener.local_addr().expect("an address"),
                machine: format!("m{index}"),
                state: "ready",
                labels: vec!["a".to_owned(), "r1".to_owned()],
                cpu,
                number: 1,
                life: Life::new(now, unix_ms()),
                silent_until: now,
                next_heartbeat: now,
            });
            let served = workers.clone();
            serve(listener, move |request| served.handle(index, request));
        }
        let ticking = workers.clone();
        thread::spawn(move || loop {
            ticking.tick();
            thread::sleep(Duration::from_millis(10));
        });
        workers
    }

    fn lock(&self) -> MutexGuard<'_, World> {
        self.world.0.lock().expect("lock")
    }

    /// Lets all requests to a worker hang for some time; none of these is carried out.
    pub fn hang(&self, index: usize, duration: Duration) {
        self.lock().workers[index].silent_until = Instant::now() + duration;
        self.world.1.notify_all();
    }

    /// Has a worker report that it drains. Returns when the store has accepted the report.
    pub fn drain(&self, index: usize) -> Option<Instant> {
        let mut world = self.lock();
        world.workers[index].state = "draining";
        let rows = vec![world.workers[index].row()];
        drop(world);
        self.register(&rows).then(Instant::now)
    }

    /// Ends a worker for good: what runs there ends, and its row is removed from the registry.
    pub fn exit(&self, index: usize) {
        let mut world = self.lock();
        let runs: Vec<(String, u64)> = world.workers[index].life.runs.keys().cloned().collect();
        for (task, run) in runs {
            self.note(&mut world, index, &task, run, "gone");
        }
        let worker = &mut world.workers[index];
        worker.number += 1;
        worker.life = Life::new(Instant::now() + Duration::from_secs(3_600), 0);
        let row = json!({ "table": "servers", "part": "", "key": worker.id });
        self.world.1.notify_all();
        drop(world);
        let body = json!({ "expectedRev": [], "upserts": [], "remove": [row] }).to_string();
        call(self.store, "POST", "/rows-tx", &[], body.as_bytes(), Duration::from_secs(2));
    }

    /// Lets the items go on to their ends that wait for this.
    pub fn release_last(&self, at: Instant) {
        self.lock().released = Some(at);
    }

    /// Gives a worker other labels.
    pub fn set_labels(&self, index: usize, labels: &[&str]) {
        self.lock().workers[index].labels = labels.iter().map(|label| (*label).to_owned()).collect();
    }

    pub fn events(&self) -> Vec<Event> {
        self.lock().events.clone()
    }

    /// Number of events of a kind.
    pub fn count(&self, kind: &str) -> usize {
        self.lock().events.iter().filter(|event| event.kind == kind).count()
    }

    /// Tasks with an active run.
    pub fn active(&self) -> Vec<String> {
        let world = self.lock();
        world.workers.iter().flat_map(|worker| worker.life.runs.keys().map(|(task, _)| task.clone())).collect()
    }

    /// When each run's end was acknowledged, and how it had ended.
    pub fn acknowledged(&self) -> Vec<(Instant, String, u64, &'static str)> {
        self.lock().acknowledged.clone()
    }

    fn note(&self, world: &mut World, index: usize, task: &str, run: u64, kind: &'static str) {
        let worker = &world.workers[index];
        if self.verbose {
            self.record.line(&format!("worker {} life {}: {task} run {run} {kind}", worker.id, worker.number));
        }
        let event = Event {
            at: Instant::now(),
            worker: worker.id.clone(),
            life: worker.number,
            task: task.to_owned(),
            run,
            kind,
        };
        world.events.push(event);
    }

    fn handle(&self, index: usize, request: &Request) -> Reply {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        let mut world = self.lock();
        let life = world.workers[index].number;
        if Instant::now() < world.workers[index].life.started {
            return Reply::Close;
        }
        let left = world.workers[index].silent_until.saturating_duration_since(Instant::now());
        if !left.is_zero() {
            drop(world);
            thread::sleep(left);
            return Reply::Close;
        }
        if request.header("x-expect-instance").is_some_and(|expected| expected != world.workers[index].id) {
            return answer(421, json!({ "clockMs": world.workers[index].life.clock_ms() }));
        }
        let reply = match request.path() {
            "/run-start" => self.start_run(&mut world, index, &body),
            "/run-stop" => self.stop_run(&mut world, index, &body),
            "/hold" => return self.hold(world, index, life, &body),
            "/pace" => answer(200, json!({ "clockMs": world.workers[index].life.clock_ms() })),
            _ => answer(404, json!({})),
        };
        if world.workers[index].number != life {
            return Reply::Close;
        }
        self.world.1.notify_all();
        reply
    }

    fn start_run(&self, world: &mut World, index: usize, body: &Value) -> Reply {
        let (task, run) = (body["task"].as_str().unwrap_or("").to_owned(), body["run"].as_u64().unwrap_or(0));
        let spec: Arc<str> = body["spec"].as_str().unwrap_or("").into();
        let life = &mut world.workers[index].life;
        let clock = life.clock_ms();
        let refuse = |reason: &str| answer(409, json!({ "clockMs": clock, "reason": reason }));
        if !life.accept_fence(body) {
            return refuse("fence");
        }
        life.extend_lease(body);
        if life.runs.contains_key(&(task.clone(), run)) {
            return answer(200, json!({ "clockMs": clock }));
        }
        if life.last_runs.get(&task).is_some_and(|last| run <= *last) {
            return refuse("old");
        }
        if body["deadlineMs"].as_u64().unwrap_or(0) <= clock {
            return refuse("late");
        }
        let waits = waits_for_release(&task, &spec);
        let total_ms = word(&spec, if waits { "last-ms" } else { "ms" });
        life.runs.insert((task.clone(), run), Run { started: Instant::now(), spec, total_ms, waits, stops_at: None });
        self.note(world, index, &task, run, "start");
        answer(200, json!({ "clockMs": clock }))
    }

    fn stop_run(&self, world: &mut World, index: usize, body: &Value) -> Reply {
        let (task, run) = (body["task"].as_str().unwrap_or("").to_owned(), body["run"].as_u64().unwrap_or(0));
        let life = &mut world.workers[index].life;
        let clock = life.clock_ms();
        if !life.accept_fence(body) {
            return answer(409, json!({ "clockMs": clock, "reason": "fence" }));
        }
        for (_, state) in life.runs.range_mut((task.clone(), 0)..=(task.clone(), run)) {
            state.stops_at.get_or_insert(Instant::now() + STOP_TAKES);
        }
        let last = life.last_runs.entry(task).or_default();
        *last = (*last).max(run);
        answer(200, json!({ "clockMs": clock }))
    }

    fn hold(&self, mut world: MutexGuard<'_, World>, index: usize, number: u32, body: &Value) -> Reply {
        let deadline = Instant::now() + Duration::from_millis(body["waitMs"].as_u64().unwrap_or(0).min(2_000));
        let life = &mut world.workers[index].life;
        if !life.accept_fence(body) {
            return answer(409, json!({ "clockMs": life.clock_ms(), "reason": "fence" }));
        }
        life.extend_lease(body);
        let cursor = body["ackCursor"].as_u64().unwrap_or(0);
        let (gone, kept): (Vec<_>, Vec<_>) =
            std::mem::take(&mut life.ended).into_iter().partition(|end| end.0 <= cursor);
        life.ended = kept;
        for (_, row) in gone {
            let how = if row[3] == "done" { "done" } else { "other" };
            let task = row[1].as_str().unwrap_or("").to_owned();
            world.acknowledged.push((Instant::now(), task, row[2].as_u64().unwrap_or(0), how));
        }
        loop {
            let worker = &world.workers[index];
            if worker.number != number {
                return Reply::Close;
            }
            let left = worker.silent_until.saturating_duration_since(Instant::now());
            if !left.is_zero() {
                drop(world);
                thread::sleep(left);
                return Reply::Close;
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if !worker.life.ended.is_empty() || left.is_zero() {
                return answer(200, worker.life.lists());
            }
            world = self.world.1.wait_timeout(world, left).expect("lock").0;
        }
    }

    /// Ends runs that are due, lets workers crash and come back, and registers those that are up.
    fn tick(&self) {
        let now = Instant::now();
        let mut rows = Vec::new();
        let mut world = self.lock();
        let released_ms = world.released.map(|released| now.saturating_duration_since(released).as_millis() as u64);
        for index in 0..world.workers.len() {
            let worker = &mut world.workers[index];
            if now < worker.life.started {
                continue;
            }
            let lapsed = worker.life.clock_ms() > worker.life.lease_end_ms;
            let mut due = Vec::new();
            let mut crashes = None;
            for ((task, run), state) in &worker.life.runs {
                let ran_ms = now.saturating_duration_since(state.started).as_millis() as u64;
                let worked_ms = if state.waits { released_ms } else { Some(ran_ms) };
                if word(&state.spec, "crash-ms").is_some_and(|after_ms| ran_ms >= after_ms) {
                    crashes = Some((task.clone(), *run));
                } else if state.stops_at.is_some_and(|at| now >= at) {
                    due.push((task.clone(), *run, "stopped"));
                } else if lapsed {
                    due.push((task.clone(), *run, "lapsed"));
                } else if state
                    .total_ms
                    .is_some_and(|total_ms| worked_ms.is_some_and(|worked_ms| worked_ms >= total_ms))
                {
                    due.push((task.clone(), *run, "done"));
                }
            }
            if let Some((task, run)) = crashes {
                self.note(&mut world, index, &task, run, "crash");
                let worker = &mut world.workers[index];
                worker.number += 1;
                worker.life = Life::new(now + DOWN, unix_ms() + DOWN.as_millis() as u64);
                worker.next_heartbeat = now + DOWN;
                continue;
            }
            for (task, run, how) in due {
                world.workers[index].life.end(&task, run, how);
                self.note(&mut world, index, &task, run, how);
            }
            let worker = &mut world.workers[index];
            if now >= worker.next_heartbeat && now >= worker.silent_until {
                worker.next_heartbeat = now + HEARTBEAT;
                rows.push(worker.row());
            }
        }
        self.world.1.notify_all();
        drop(world);
        if !rows.is_empty() {
            self.register(&rows);
        }
    }

    /// Writes rows of the registry; returns whether the store has accepted them.
    fn register(&self, rows: &[Value]) -> bool {
        let body = json!({ "expectedRev": [], "upserts": rows, "remove": [], "across": false }).to_string();
        let answer = call(self.store, "POST", "/rows-tx", &[], body.as_bytes(), Duration::from_secs(2));
        answer.is_some_and(|(status, _)| status == 200)
    }
}

impl Worker {
    /// The worker's row in the registry.
    fn row(&self) -> Value {
        let entry = json!({
            "service": "press", "addr": self.address.to_string(), "zone": "a", "version": "1", "slots": 8,
            "state": self.state, "coldRemainingMs": 0, "seq": self.life.clock_ms(), "born": self.life.born,
            "capacity": { "cpu": self.cpu, "memMb": 64_000, "gpu": 0 }, "labels": self.labels, "machine": self.machine,
        });
        json!({ "table": "servers", "part": "", "key": self.id, "value": STANDARD.encode(entry.to_string()) })
    }
}

fn answer(status: u16, body: Value) -> Reply {
    Reply::Answer(status, body.to_string().into_bytes())
}
