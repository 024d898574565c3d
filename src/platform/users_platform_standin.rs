//! Stand-in for the users' platform, on which jobs run, for tests and for trying out the control role on one machine.
//! The stand-in for the platform behind [`Platform`](super::Platform) is [`crate::standin`].
//!
//! It serves the row store, the workers and an empty host provider over HTTP on loopback. Its workers check the
//! orders that they receive and record violations, such as a task that runs twice at the same time.

mod http;
mod store;
#[cfg(test)]
mod store_tests;
mod worker;
mod worker_faults;
#[cfg(test)]
mod worker_tests;

use std::collections::{HashMap, HashSet};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use jiff::Timestamp;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};

use http::{serve_connection, Delivery, Request};
use store::RowStore;
use worker::{Worker, MAX_LEASE_MS, STOP_GRACE_MS};

pub use worker_faults::WorkerRestart;

/// After how long a late write is applied.
const LATE_WRITE_MS: std::ops::Range<u64> = 1_000..6_000;

/// Runs that the stand-in's workers have executed, and violations that they have detected.
#[derive(Debug, Default)]
pub struct RunLog {
    /// Number of runs that have started.
    pub starts: u64,
    /// Tasks with a run that has succeeded.
    pub done: HashSet<String>,
    /// Number of active runs that were ordered to stop.
    pub stops: u64,
    /// Number of restarts of workers.
    pub restarts: u64,
    /// Number of runs that have started on a worker before its registration or a response told of its restart.
    pub starts_before_announcement: u64,
    /// Tasks whose success the control role has acknowledged, and how; they must not start again.
    acknowledged_done: HashMap<String, String>,
    /// Tasks of which a run or an end was lost with a restart.
    lost: HashSet<String>,
    /// What has happened to the runs of each task, with the time of day.
    events: HashMap<String, Vec<String>>,
    /// Descriptions of the violations.
    pub violations: Vec<String>,
}

impl RunLog {
    fn record(&mut self, task: &str, event: String) {
        self.events.entry(task.to_owned()).or_default().push(format!("{} {event}", time_of_day()));
    }

    fn record_violation(&mut self, task: &str, violation: &str) {
        let events = self.events.get(task).map_or(String::new(), |events| events.join("; "));
        self.violations.push(format!("{violation}. Events of the task: {events}"));
    }
}

/// Whether workers list a stopped run as active until it has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoppingRuns {
    /// All workers list it.
    Listed,
    /// No worker lists it.
    Unlisted,
    /// Every other worker lists it.
    ListedByEvenWorkers,
}

/// Faults of the stand-in's row store, as shares of its calls.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct StoreFaults {
    /// Calls that are answered with 429 and have no effect.
    pub throttled: f64,
    /// Transactions that get no answer. Half of them are applied at once, the others seconds later, if their condition
    /// still holds.
    pub unanswered: f64,
    /// Calls that take effect, but of whose answer only one half arrives, on a connection that stays open.
    pub stalled: f64,
    /// Time that each answer takes. A call takes effect when it arrives.
    pub answer_ms: u64,
}

struct State {
    store: RowStore,
    store_faults: StoreFaults,
    /// Number of calls to the row store by path.
    store_calls: HashMap<String, u64>,
    workers: Vec<Worker>,
    run_log: RunLog,
    rng: SmallRng,
}

/// A fault that a call to the row store meets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StoreFault {
    Throttled,
    Unanswered { delay_ms: u64 },
    Stalled,
}

impl State {
    /// Counts a call to the row store, and returns the fault that it meets and the time that its answer takes.
    fn admit_store_call(&mut self, path: &str) -> (Option<StoreFault>, u64) {
        *self.store_calls.entry(path.to_owned()).or_default() += 1;
        (self.draw_store_fault(path == "/rows-tx"), self.store_faults.answer_ms)
    }

    fn draw_store_fault(&mut self, is_write: bool) -> Option<StoreFault> {
        if self.rng.random_bool(self.store_faults.throttled) {
            return Some(StoreFault::Throttled);
        }
        if self.rng.random_bool(self.store_faults.stalled) {
            return Some(StoreFault::Stalled);
        }
        if !is_write || !self.rng.random_bool(self.store_faults.unanswered) {
            return None;
        }
        let delay_ms = if self.rng.random_bool(0.5) { 0 } else { self.rng.random_range(LATE_WRITE_MS) };
        Some(StoreFault::Unanswered { delay_ms })
    }
}

/// Stand-in for the users' platform. Clones share its state.
#[derive(Clone)]
pub struct UsersPlatformStandIn {
    /// The condition variable is notified of every change to the state.
    state: Arc<(Mutex<State>, Condvar)>,
    /// Address of the row store.
    pub store_address: SocketAddr,
    /// Address of the host provider.
    pub provider_address: SocketAddr,
    /// Duration of each run.
    run_time_ms: u64,
}

impl std::fmt::Debug for UsersPlatformStandIn {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("UsersPlatformStandIn")
            .field("store_address", &self.store_address)
            .field("provider_address", &self.provider_address)
            .finish_non_exhaustive()
    }
}

/// Time of day in UTC, as in the daemons' logs.
fn time_of_day() -> String {
    Timestamp::now().strftime("%H:%M:%S%.3f").to_string()
}

/// A configuration with one queue, in a fleet that is not shared.
fn configuration(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [{ "name": "jobs", "host": "print.example", "pathPrefix": "/jobs/", "service": "press",
            "priority": 0, "attempts": 4, "stretch": 3.0, "targetLatencyMs": 2_000 }],
        "services": [{ "name": "press", "spare": false }],
    })
}

/// The same with `count` further queues.
fn configuration_with_queues(version: u64, count: usize) -> Value {
    let mut config = configuration(version);
    let first = config["routes"][0].clone();
    let further = (0..count).map(|number| {
        let mut queue = first.clone();
        queue["name"] = json!(format!("more-{number}"));
        queue["pathPrefix"] = json!(format!("/more/{number}/"));
        queue
    });
    config["routes"].as_array_mut().expect("a list").extend(further);
    config
}

impl UsersPlatformStandIn {
    /// Starts the services and `worker_count` workers, with one queue `print.example/jobs/`. Each run takes
    /// `run_time_ms`.
    pub fn start(worker_count: usize, run_time_ms: u64) -> UsersPlatformStandIn {
        UsersPlatformStandIn::start_seeded(worker_count, run_time_ms, StoppingRuns::Listed, 0)
    }

    /// Like [`UsersPlatformStandIn::start`]; random choices of the workers depend on `seed`.
    pub fn start_seeded(
        worker_count: usize,
        run_time_ms: u64,
        stopping_runs: StoppingRuns,
        seed: u64,
    ) -> UsersPlatformStandIn {
        let bind = || TcpListener::bind("127.0.0.1:0").expect("a free port");
        let (store, provider) = (bind(), bind());
        let address = |listener: &TcpListener| listener.local_addr().expect("an address");
        let state = State {
            store: RowStore::default(),
            store_faults: StoreFaults::default(),
            store_calls: HashMap::new(),
            workers: Vec::new(),
            run_log: RunLog::default(),
            rng: SmallRng::seed_from_u64(seed),
        };
        let platform = UsersPlatformStandIn {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            store_address: address(&store),
            provider_address: address(&provider),
            run_time_ms,
        };
        platform.serve(store, |platform, request| platform.handle_store_request(request));
        platform.serve(provider, |_, _| Delivery::Whole(200, json!({ "machines": [], "nextToken": null })));
        platform.put("op", "config", &configuration(1));
        for index in 0..worker_count {
            platform.add_worker(index, stopping_runs);
        }
        platform.keep_workers_registered();
        platform
    }

    /// Replaces the configuration by one with a higher `version`, in which `organisations`, given by name and key, share
    /// the fleet. The queue `print.example/open/` needs no key.
    pub fn share_fleet(&self, version: u64, organisations: &[(&str, &str)]) {
        self.share_fleet_with_queues(version, organisations, 0);
    }

    /// The same with `queues` further queues, see [`UsersPlatformStandIn::add_queues`].
    pub fn share_fleet_with_queues(&self, version: u64, organisations: &[(&str, &str)], queues: usize) {
        let tenants: Vec<Value> =
            organisations.iter().map(|(name, key)| json!({ "name": name, "apiKeys": [key], "weight": 4 })).collect();
        let mut config = configuration_with_queues(version, queues);
        let mut open = config["routes"][0].clone();
        open["name"] = json!("open");
        open["pathPrefix"] = json!("/open/");
        open["public"] = json!(true);
        config["routes"].as_array_mut().expect("a list").push(open);
        config["tenants"] = json!(tenants);
        self.put("op", "config", &config);
    }

    /// Replaces the configuration by one with a higher `version` and `count` further queues, which are
    /// `print.example/more/0/`, `print.example/more/1/` and so on.
    pub fn add_queues(&self, version: u64, count: usize) {
        self.put("op", "config", &configuration_with_queues(version, count));
    }

    /// Writes a row of another writer, in the partition that workers and operators use.
    pub fn put_row(&self, table: &str, key: &str, value: &[u8]) {
        let mut state = self.lock();
        state.store.put_bytes(table, key, value);
        drop(state);
        self.state.1.notify_all();
    }

    /// Cuts pages of rows at this number of rows.
    pub fn limit_pages(&self, rows: usize) {
        self.lock().store.limits.page_rows = rows;
    }

    /// Replaces the faults of the row store.
    pub fn set_store_faults(&self, faults: StoreFaults) {
        self.lock().store_faults = faults;
    }

    /// Drops the history of changes, so that requests for the changes since an earlier version are answered with 410.
    pub fn drop_store_history(&self) {
        self.lock().store.drop_history();
        self.state.1.notify_all();
    }

    /// Number of calls to the row store so far with this path.
    pub fn store_call_count(&self, path: &str) -> u64 {
        self.lock().store_calls.get(path).copied().unwrap_or(0)
    }

    /// Refuses calls with more than `call_bytes`, and calls that write a row of more than `row_bytes`.
    pub fn limit_writes(&self, call_bytes: usize, row_bytes: usize) {
        let mut state = self.lock();
        state.store.limits.call_bytes = call_bytes;
        state.store.limits.row_bytes = row_bytes;
    }

    /// Number of calls to the store that were refused because of a limit.
    pub fn refused_call_count(&self) -> u64 {
        self.lock().store.refused_calls
    }

    fn add_worker(&self, index: usize, stopping_runs: StoppingRuns) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let entry = json!({
            "service": "press", "addr": listener.local_addr().expect("an address").to_string(), "zone": "a",
            "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0, "seq": 0, "capacity": { "cpu": 8_000, "memMb": 32_000, "gpu": 0 },
            "labels": ["a", "r1"], "machine": format!("m{index}"),
        });
        let mut state = self.lock();
        state.workers.push(Worker::new(index, stopping_runs, entry));
        state.write_due_heartbeats();
        drop(state);
        self.serve_worker(index, listener);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("lock")
    }

    fn put(&self, table: &str, key: &str, value: &Value) {
        self.lock().store.put(table, key, value);
        self.state.1.notify_all();
    }

    /// Content of the settings file for a daemon with this name and these listen addresses. `store` is the address at
    /// which the daemon reaches the row store: [`UsersPlatformStandIn::store_address`], or that of a proxy.
    pub fn settings(&self, daemon: &str, callers: SocketAddr, readiness: SocketAddr, store: SocketAddr) -> String {
        let settings = json!({
            "node": daemon, "zone": "a",
            "listen": { "front": callers.to_string(), "readiness": readiness.to_string() },
            "limits": { "cpuShare": 0.5 }, "orders": "call",
            "bounds": { "holdMaxMs": MAX_LEASE_MS, "stopGraceMs": STOP_GRACE_MS, "leaseMs": 3_000, "moveS": 1.5, "upkeepS": 2,
                "graceS": 6 },
            "platform": { "addr": store.to_string() },
            "cloudApi": { "addr": self.provider_address.to_string(), "dutyPerS": 64 },
        });
        settings.to_string()
    }

    /// Name of the leading daemon, according to the leader row in the store.
    pub fn leader(&self) -> Option<String> {
        let value = self.lock().store.value("lead", "sched", "owner")?;
        let text = String::from_utf8(value).ok()?;
        text.split(' ').next().map(str::to_owned)
    }

    /// Calls `read` with the run log, while the state is locked.
    pub fn with_run_log<T>(&self, read: impl FnOnce(&RunLog) -> T) -> T {
        read(&self.lock().run_log)
    }

    fn serve(
        &self,
        listener: TcpListener,
        handler: impl Fn(&UsersPlatformStandIn, &Request) -> Delivery + Send + Sync + 'static,
    ) {
        let platform = self.clone();
        let handler = Arc::new(handler);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (platform, handler) = (platform.clone(), handler.clone());
                thread::spawn(move || serve_connection(&stream, |request| handler(&platform, request)));
            }
        });
    }

    /// Handles a request to the row store.
    fn handle_store_request(&self, request: &Request) -> Delivery {
        let (fault, answer_ms) = self.lock().admit_store_call(&request.path);
        let delivery = self.answer_store_request(request, fault);
        thread::sleep(Duration::from_millis(answer_ms));
        delivery
    }

    fn answer_store_request(&self, request: &Request, fault: Option<StoreFault>) -> Delivery {
        match fault {
            None => Some(self.execute_store_request(request)).into(),
            Some(StoreFault::Throttled) => Delivery::Whole(429, json!({})),
            Some(StoreFault::Stalled) => {
                let (status, body) = self.execute_store_request(request);
                Delivery::Stalled(status, body)
            }
            Some(StoreFault::Unanswered { delay_ms: 0 }) => {
                self.execute_store_request(request);
                Delivery::None
            }
            Some(StoreFault::Unanswered { delay_ms }) => {
                let (platform, request) = (self.clone(), request.clone());
                thread::spawn(move || {
                    thread::sleep(Duration::from_millis(delay_ms));
                    platform.execute_store_request(&request);
                });
                Delivery::None
            }
        }
    }

    fn execute_store_request(&self, request: &Request) -> (u16, Value) {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/rows-tx") => {
                let response = self.lock().store.commit(request);
                self.state.1.notify_all();
                response
            }
            ("GET", "/rows-get") => self.lock().store.read(request),
            ("GET", "/rows-feed") => self.wait_for_changes(request),
            ("GET", "/rows-parts") => self.lock().store.list_partitions(request),
            _ => (404, json!({})),
        }
    }

    fn wait_for_changes(&self, request: &Request) -> (u16, Value) {
        let deadline = Instant::now() + Duration::from_millis(request.number("waitMs"));
        let mut state = self.lock();
        loop {
            if !state.store.has_history_since(request.number("after")) {
                return (410, json!({}));
            }
            let changes = state.store.changes(&request.query["table"], request.number("after"));
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !changes.is_empty() || remaining.is_zero() {
                return (200, json!({ "rows": changes, "ver": state.store.version(), "nowMs": 1 }));
            }
            state = self.state.1.wait_timeout(state, remaining).expect("lock").0;
        }
    }
}
