//! A stand-in for the users' platform on loopback: its store, workers and registry, speaking its protocol, with checks
//! of what its workers see. For trying the daemon out, and for tests.

mod worker;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use worker::Worker;

type RowAt = (String, String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<RowAt, (u64, Option<String>)>,
}

/// What the workers saw.
#[derive(Debug, Default)]
pub struct RunLog {
    /// Runs that began.
    pub starts: u64,
    /// Work items with a run that ended well.
    pub done: HashSet<String>,
    acknowledged_done: HashSet<String>,
    /// Rules that were violations, each with what was seen.
    pub violations: Vec<String>,
}

#[derive(Default)]
struct State {
    rows: Rows,
    workers: Vec<Worker>,
    run_log: RunLog,
}

/// See the module.
#[derive(Clone)]
pub struct PlatformStandIn {
    state: Arc<(Mutex<State>, Condvar)>,
    /// Address of the store.
    pub store: SocketAddr,
    /// Address of the provider's interface to hosts; it has none.
    pub provider: SocketAddr,
    run_time_ms: u64,
}

impl std::fmt::Debug for PlatformStandIn {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PlatformStandIn")
            .field("store", &self.store)
            .field("provider", &self.provider)
            .finish_non_exhaustive()
    }
}

struct Call {
    method: String,
    path: String,
    query: HashMap<String, String>,
    body: Value,
}

fn base64(bytes: &[u8]) -> String {
    use base64::Engine;
    base64::engine::general_purpose::STANDARD.encode(bytes)
}

impl PlatformStandIn {
    /// Starts the services with a configuration of one queue, `/jobs/` of `print.example`. Each work item runs for
    /// `run_time_ms`.
    pub fn start(worker_count: usize, run_time_ms: u64) -> PlatformStandIn {
        let bind = || TcpListener::bind("127.0.0.1:0").expect("a free port");
        let (store, provider) = (bind(), bind());
        let address = |listener: &TcpListener| listener.local_addr().expect("an address");
        let platform = PlatformStandIn {
            state: Arc::default(),
            store: address(&store),
            provider: address(&provider),
            run_time_ms,
        };
        platform.serve(store, |platform, call| platform.store_call(call));
        platform.serve(provider, |_, _| (200, json!({ "machines": [], "nextToken": null })));
        let config = json!({
            "version": 1,
            "routes": [{ "name": "jobs", "host": "print.example", "pathPrefix": "/jobs/", "service": "press",
                "priority": 0, "attempts": 4, "stretch": 3.0, "targetLatencyMs": 2_000 }],
            "services": [{ "name": "press", "spare": false }],
        });
        platform.put("op", "config", &config);
        for number in 0..worker_count {
            platform.add_worker(number);
        }
        platform
    }

    fn add_worker(&self, number: usize) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let id = format!("w{number}");
        let entry = json!({
            "service": "press", "addr": listener.local_addr().expect("an address").to_string(), "zone": "a",
            "state": "ready", "born": 1, "capacity": { "cpu": 8_000, "memMb": 32_000, "gpu": 0 },
            "labels": ["a", "r1"], "machine": format!("m{number}"), "seq": 1,
        });
        self.lock().workers.push(Worker::new());
        self.put("servers", &id, &entry);
        self.serve(listener, move |platform, call| platform.worker_call(number, call));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("lock")
    }

    fn put(&self, table: &str, key: &str, value: &Value) {
        let mut state = self.lock();
        state.rows.version += 1;
        let version = state.rows.version;
        let at = (table.to_owned(), String::new(), key.to_owned());
        state.rows.rows.insert(at, (version, Some(base64(value.to_string().as_bytes()))));
        self.state.1.notify_all();
    }

    /// Text of the settings file of a daemon that uses this stand-in and listens at these addresses.
    pub fn settings(&self, daemon: &str, callers: SocketAddr, readiness: SocketAddr, store: SocketAddr) -> String {
        let settings = json!({
            "node": daemon, "zone": "a",
            "listen": { "front": callers.to_string(), "readiness": readiness.to_string() },
            "limits": { "cpuShare": 0.5 }, "orders": "call",
            "bounds": { "holdMaxMs": 10_000, "stopGraceMs": 100, "leaseMs": 3_000, "moveS": 1.5, "upkeepS": 2,
                "graceS": 6 },
            "platform": { "addr": store.to_string() },
            "cloudApi": { "addr": self.provider.to_string(), "dutyPerS": 64 },
        });
        settings.to_string()
    }

    /// The daemon that leads, as the store tells it.
    pub fn leader(&self) -> Option<String> {
        use base64::Engine;
        let state = self.lock();
        let at = ("lead".to_owned(), "sched".to_owned(), "owner".to_owned());
        let value = state.rows.rows.get(&at)?.1.clone()?;
        let text = String::from_utf8(base64::engine::general_purpose::STANDARD.decode(value).ok()?).ok()?;
        text.split(' ').next().map(str::to_owned)
    }

    /// Looks at what the workers saw.
    pub fn with_run_log<T>(&self, read: impl FnOnce(&RunLog) -> T) -> T {
        read(&self.lock().run_log)
    }

    fn serve(
        &self,
        listener: TcpListener,
        answer: impl Fn(&PlatformStandIn, &Call) -> (u16, Value) + Send + Sync + 'static,
    ) {
        let platform = self.clone();
        let answer = Arc::new(answer);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (platform, answer) = (platform.clone(), answer.clone());
                thread::spawn(move || serve_connection(stream, |call| answer(&platform, call)));
            }
        });
    }

    fn store_call(&self, call: &Call) -> (u16, Value) {
        match (call.method.as_str(), call.path.as_str()) {
            ("POST", "/rows-tx") => self.transact(&call.body),
            ("GET", "/rows-get") => self.rows(call),
            ("GET", "/rows-feed") => self.feed(call),
            ("GET", "/rows-parts") => {
                let state = self.lock();
                let table = &call.query["table"];
                let parts: std::collections::BTreeSet<&String> =
                    state.rows.rows.keys().filter(|at| at.0 == *table).map(|at| &at.1).collect();
                (200, json!({ "parts": parts, "morePages": false }))
            }
            _ => (404, json!({})),
        }
    }

    fn transact(&self, body: &Value) -> (u16, Value) {
        let at = |row: &Value| {
            let text = |name: &str| row[name].as_str().unwrap_or("").to_owned();
            (text("table"), text("part"), text("key"))
        };
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let mut state = self.lock();
        let mut wrong = Vec::new();
        for row in list("expectedRev") {
            let known = state.rows.rows.get(&at(&row)).filter(|(_, value)| value.is_some()).map_or(0, |(ver, _)| *ver);
            if known != row["ver"].as_u64().unwrap_or(0) {
                let (table, part, key) = at(&row);
                wrong.push(json!({ "table": table, "part": part, "key": key, "ver": known, "value": "" }));
            }
        }
        if !wrong.is_empty() {
            return (412, json!({ "rows": wrong, "ver": state.rows.version }));
        }
        state.rows.version += 1;
        let version = state.rows.version;
        for row in list("upserts") {
            state.rows.rows.insert(at(&row), (version, row["value"].as_str().map(str::to_owned)));
        }
        for row in list("remove") {
            state.rows.rows.insert(at(&row), (version, None));
        }
        self.state.1.notify_all();
        (200, json!({ "ver": version, "nowMs": 1 }))
    }

    fn rows(&self, call: &Call) -> (u16, Value) {
        let state = self.lock();
        let limit: usize = call.query.get("limit").and_then(|limit| limit.parse().ok()).unwrap_or(500);
        let from = (call.query["table"].clone(), call.query["part"].clone(), call.query["from"].clone());
        let mut rows = Vec::new();
        let mut has_more = false;
        for (at, (ver, value)) in state.rows.rows.range(from.clone()..) {
            if (&at.0, &at.1) != (&from.0, &from.1) {
                break;
            }
            let Some(value) = value else { continue };
            has_more = rows.len() == limit;
            if has_more {
                break;
            }
            rows.push(json!({ "table": at.0, "part": at.1, "key": at.2, "value": value, "ver": ver }));
        }
        (200, json!({ "rows": rows, "morePages": has_more, "ver": state.rows.version, "nowMs": 1 }))
    }

    fn feed(&self, call: &Call) -> (u16, Value) {
        let number = |name: &str| call.query.get(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(number("waitMs"));
        let mut state = self.lock();
        loop {
            let mut rows = Vec::new();
            for (at, (ver, value)) in &state.rows.rows {
                if at.0 == call.query["table"] && *ver > number("after") {
                    let dropped = value.is_none();
                    rows.push(json!({ "table": at.0, "part": at.1, "key": at.2, "value": value, "ver": ver,
                        "tombstone": dropped }));
                }
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return (200, json!({ "rows": rows, "ver": state.rows.version, "nowMs": 1 }));
            }
            state = self.state.1.wait_timeout(state, left).expect("lock").0;
        }
    }
}

fn serve_connection(mut stream: TcpStream, answer: impl Fn(&Call) -> (u16, Value)) {
    let _ = stream.set_nodelay(true);
    while let Some(call) = read_call(&mut stream) {
        let (status, body) = answer(&call);
        let body = body.to_string();
        let text = format!(
            "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

fn read_call(stream: &mut TcpStream) -> Option<Call> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse().ok())?
    });
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).ok()?;
    let mut words = head.split(' ');
    let method = words.next()?.to_owned();
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(name, value)| (name.to_owned(), value.replace("%00", "\0"))).collect();
    Some(Call { method, path: path.to_owned(), query, body: serde_json::from_slice(&body).unwrap_or(Value::Null) })
}
