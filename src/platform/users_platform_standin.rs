//! Stand-in for the users' platform, on which jobs run, for tests and for trying out the control role on one machine.
//! The stand-in for the platform behind [`Platform`](super::Platform) is [`crate::standin`].
//!
//! It serves the row store, the workers and an empty host provider over HTTP on loopback. Its workers check the
//! orders that they receive and record violations, such as a task that runs twice at the same time.

mod worker;
mod worker_faults;
#[cfg(test)]
mod worker_tests;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use jiff::Timestamp;
use percent_encoding::percent_decode_str;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use serde_json::{json, Value};

use worker::{Response, Worker, MAX_LEASE_MS, STOP_GRACE_MS};

pub use worker_faults::WorkerRestart;

/// Maximum number of rows in a page of the store.
const MAX_PAGE_ROWS: usize = 500;

/// Table, partition and key.
type RowId = (String, String, String);

#[derive(Default)]
struct RowStore {
    /// Version of the last change.
    version: u64,
    /// Version and base64 value of each row; the value of a deleted row is `None`.
    rows: BTreeMap<RowId, (u64, Option<String>)>,
}

impl RowStore {
    fn put(&mut self, table: &str, key: &str, value: &Value) {
        self.put_bytes(table, key, value.to_string().as_bytes());
    }

    fn put_bytes(&mut self, table: &str, key: &str, value: &[u8]) {
        self.version += 1;
        let id = (table.to_owned(), String::new(), key.to_owned());
        self.rows.insert(id, (self.version, Some(base64(value))));
    }

    /// Removes a row, if it exists.
    fn remove(&mut self, table: &str, key: &str) {
        let id = (table.to_owned(), String::new(), key.to_owned());
        let Some(row) = self.rows.get_mut(&id).filter(|(_, value)| value.is_some()) else { return };
        self.version += 1;
        *row = (self.version, None);
    }
}

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

struct State {
    store: RowStore,
    workers: Vec<Worker>,
    run_log: RunLog,
    rng: SmallRng,
    /// Maximum number of rows in a page.
    page_rows: usize,
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

#[derive(Clone)]
struct Request {
    /// ID of the worker that the request is for.
    expected_instance: Option<String>,
    method: String,
    path: String,
    query: HashMap<String, String>,
    body: Value,
}

/// Time of day in UTC, as in the daemons' logs.
fn time_of_day() -> String {
    Timestamp::now().strftime("%H:%M:%S%.3f").to_string()
}

fn base64(bytes: &[u8]) -> String {
    use base64::Engine;
    base64::engine::general_purpose::STANDARD.encode(bytes)
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
            workers: Vec::new(),
            run_log: RunLog::default(),
            rng: SmallRng::seed_from_u64(seed),
            page_rows: MAX_PAGE_ROWS,
        };
        let platform = UsersPlatformStandIn {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            store_address: address(&store),
            provider_address: address(&provider),
            run_time_ms,
        };
        platform.serve(store, |platform, request| platform.handle_store_request(request));
        platform.serve(provider, |_, _| (200, json!({ "machines": [], "nextToken": null })));
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
        let tenants: Vec<Value> =
            organisations.iter().map(|(name, key)| json!({ "name": name, "apiKeys": [key], "weight": 4 })).collect();
        let mut config = configuration(version);
        let mut open = config["routes"][0].clone();
        open["name"] = json!("open");
        open["pathPrefix"] = json!("/open/");
        open["public"] = json!(true);
        config["routes"].as_array_mut().expect("a list").push(open);
        config["tenants"] = json!(tenants);
        self.put("op", "config", &config);
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
        self.lock().page_rows = rows;
    }

    fn add_worker(&self, index: usize, stopping_runs: StoppingRuns) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let entry = json!({
            "service": "press", "addr": listener.local_addr().expect("an address").to_string(), "zone": "a",
            "state": "ready", "capacity": { "cpu": 8_000, "memMb": 32_000, "gpu": 0 },
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
        use base64::Engine;
        let state = self.lock();
        let id = ("lead".to_owned(), "sched".to_owned(), "owner".to_owned());
        let value = state.store.rows.get(&id)?.1.clone()?;
        let text = String::from_utf8(base64::engine::general_purpose::STANDARD.decode(value).ok()?).ok()?;
        text.split(' ').next().map(str::to_owned)
    }

    /// Calls `read` with the run log, while the state is locked.
    pub fn with_run_log<T>(&self, read: impl FnOnce(&RunLog) -> T) -> T {
        read(&self.lock().run_log)
    }

    fn serve(
        &self,
        listener: TcpListener,
        handler: impl Fn(&UsersPlatformStandIn, &Request) -> (u16, Value) + Send + Sync + 'static,
    ) {
        let platform = self.clone();
        let handler = Arc::new(handler);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (platform, handler) = (platform.clone(), handler.clone());
                thread::spawn(move || serve_connection(&stream, |request| Some(handler(&platform, request))));
            }
        });
    }

    fn handle_store_request(&self, request: &Request) -> (u16, Value) {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/rows-tx") => self.commit(&request.body),
            ("GET", "/rows-get") => self.read_rows(request),
            ("GET", "/rows-feed") => self.wait_for_changes(request),
            ("GET", "/rows-parts") => {
                let state = self.lock();
                let table = &request.query["table"];
                let parts: std::collections::BTreeSet<&String> =
                    state.store.rows.keys().filter(|id| id.0 == *table).map(|id| &id.1).collect();
                (200, json!({ "parts": parts, "morePages": false }))
            }
            _ => (404, json!({})),
        }
    }

    fn commit(&self, body: &Value) -> (u16, Value) {
        let id = |row: &Value| {
            let text = |name: &str| row[name].as_str().unwrap_or("").to_owned();
            (text("table"), text("part"), text("key"))
        };
        let rows_in = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let mut state = self.lock();
        let mut conflicts = Vec::new();
        for row in rows_in("expectedRev") {
            let current_version =
                state.store.rows.get(&id(&row)).filter(|(_, value)| value.is_some()).map_or(0, |(version, _)| *version);
            if current_version != row["ver"].as_u64().unwrap_or(0) {
                let (table, part, key) = id(&row);
                conflicts
                    .push(json!({ "table": table, "part": part, "key": key, "ver": current_version, "value": "" }));
            }
        }
        if !conflicts.is_empty() {
            return (412, json!({ "rows": conflicts, "ver": state.store.version }));
        }
        state.store.version += 1;
        let version = state.store.version;
        for row in rows_in("upserts") {
            state.store.rows.insert(id(&row), (version, row["value"].as_str().map(str::to_owned)));
        }
        for row in rows_in("remove") {
            state.store.rows.insert(id(&row), (version, None));
        }
        self.state.1.notify_all();
        (200, json!({ "ver": version, "nowMs": 1 }))
    }

    fn read_rows(&self, request: &Request) -> (u16, Value) {
        let state = self.lock();
        let limit: usize = request.query.get("limit").and_then(|limit| limit.parse().ok()).unwrap_or(MAX_PAGE_ROWS);
        let limit = limit.min(state.page_rows);
        let from = (request.query["table"].clone(), request.query["part"].clone(), request.query["from"].clone());
        let mut rows = Vec::new();
        let mut has_more = false;
        for (id, (version, value)) in state.store.rows.range(from.clone()..) {
            if (&id.0, &id.1) != (&from.0, &from.1) {
                break;
            }
            let Some(value) = value else { continue };
            has_more = rows.len() == limit;
            if has_more {
                break;
            }
            rows.push(json!({ "table": id.0, "part": id.1, "key": id.2, "value": value, "ver": version }));
        }
        (200, json!({ "rows": rows, "morePages": has_more, "ver": state.store.version, "nowMs": 1 }))
    }

    fn wait_for_changes(&self, request: &Request) -> (u16, Value) {
        let number = |name: &str| request.query.get(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(number("waitMs"));
        let mut state = self.lock();
        loop {
            let mut rows = Vec::new();
            for (id, (version, value)) in &state.store.rows {
                if id.0 == request.query["table"] && *version > number("after") {
                    let is_deleted = value.is_none();
                    rows.push(json!({ "table": id.0, "part": id.1, "key": id.2, "value": value, "ver": version,
                        "tombstone": is_deleted }));
                }
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !rows.is_empty() || remaining.is_zero() {
                return (200, json!({ "rows": rows, "ver": state.store.version, "nowMs": 1 }));
            }
            state = self.state.1.wait_timeout(state, remaining).expect("lock").0;
        }
    }
}

/// Serves requests until one gets no response.
fn serve_connection(stream: &TcpStream, handler: impl Fn(&Request) -> Response) {
    let mut stream = stream;
    let _ = stream.set_nodelay(true);
    while let Some(request) = read_request(&mut stream) {
        let Some((status, body)) = handler(&request) else { return };
        let body = body.to_string();
        let response = format!(
            "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

fn read_request(stream: &mut impl Read) -> Option<Request> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let header = |name: &str| {
        let mut fields = head.lines().filter_map(|line| line.split_once(':'));
        fields.find(|(field, _)| field.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim().to_owned())
    };
    let length = header("content-length").and_then(|length| length.parse().ok());
    let expected_instance = header("x-expect-instance");
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).ok()?;
    let mut words = head.split(' ');
    let method = words.next()?.to_owned();
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let decode = |text: &str| percent_decode_str(text).decode_utf8_lossy().into_owned();
    let query = pairs.map(|(name, value)| (decode(name), decode(value))).collect();
    let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
    Some(Request { expected_instance, method, path: path.to_owned(), query, body })
}
