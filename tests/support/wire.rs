//! The users' platform on loopback: its store, workers and registry, speaking its protocol, with checks of what its
//! workers see.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

type RowAt = (String, String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<RowAt, (u64, Option<String>)>,
}

struct Run {
    number: u64,
    ends: Instant,
}

/// One worker: it runs what it is told to and remembers how that ended.
struct Worker {
    id: String,
    started: Instant,
    lease_end_ms: u64,
    token: u64,
    runs: BTreeMap<String, Run>,
    over: HashMap<String, u64>,
    ended: Vec<Value>,
    next_end: u64,
    acknowledged: u64,
}

/// What the workers saw.
#[derive(Default)]
pub struct Seen {
    pub starts: u64,
    /// Work items with a run that ended well.
    pub done: HashSet<String>,
    noted_done: HashSet<String>,
    pub broken: Vec<String>,
}

#[derive(Default)]
struct State {
    rows: Rows,
    workers: Vec<Worker>,
    seen: Seen,
}

/// See the module.
#[derive(Clone)]
pub struct Platform {
    state: Arc<(Mutex<State>, Condvar)>,
    pub store: SocketAddr,
    pub provider: SocketAddr,
    run_time: Duration,
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

impl Platform {
    /// Starts the services with a configuration of one queue, `/jobs/` of `print.example`.
    pub fn start(worker_count: usize, run_time: Duration) -> Platform {
        let bind = || TcpListener::bind("127.0.0.1:0").expect("a free port");
        let (store, provider) = (bind(), bind());
        let address = |listener: &TcpListener| listener.local_addr().expect("an address");
        let platform =
            Platform { state: Arc::default(), store: address(&store), provider: address(&provider), run_time };
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
        self.lock().workers.push(Worker {
            id: id.clone(),
            started: Instant::now(),
            lease_end_ms: 0,
            token: 0,
            runs: BTreeMap::new(),
            over: HashMap::new(),
            ended: Vec::new(),
            next_end: 0,
            acknowledged: 0,
        });
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
    pub fn seen<T>(&self, look: impl FnOnce(&Seen) -> T) -> T {
        look(&self.lock().seen)
    }

    fn serve(&self, listener: TcpListener, answer: impl Fn(&Platform, &Call) -> (u16, Value) + Send + Sync + 'static) {
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

    fn worker_call(&self, number: usize, call: &Call) -> (u16, Value) {
        match call.path.as_str() {
            "/run-start" => self.start_run(number, &call.body),
            "/run-stop" => self.stop_run(number, &call.body),
            "/hold" => self.hold(number, &call.body),
            _ => (404, json!({})),
        }
    }

    fn start_run(&self, number: usize, body: &Value) -> (u16, Value) {
        let task = body["task"].as_str().unwrap_or("").to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        let mut state = self.lock();
        state.settle();
        let clock = state.workers[number].clock_ms();
        let refuse = |reason: &str| (409, json!({ "clockMs": clock, "reason": reason }));
        let worker = &mut state.workers[number];
        if !worker.admits(body) {
            return refuse("fence");
        }
        worker.extend(body);
        if worker.runs.get(&task).is_some_and(|known| known.number == run) {
            return (200, json!({ "clockMs": clock }));
        }
        if worker.over.get(&task).is_some_and(|over| run <= *over) {
            return refuse("old");
        }
        if body["deadlineMs"].as_u64().unwrap_or(0) <= clock {
            return refuse("late");
        }
        worker.runs.insert(task.clone(), Run { number: run, ends: Instant::now() + self.run_time });
        state.seen.starts += 1;
        let elsewhere = state.workers.iter().filter(|worker| worker.runs.contains_key(&task)).count();
        if elsewhere > 1 {
            state.seen.broken.push(format!("TWICE: {task} runs on {elsewhere} workers"));
        }
        if state.seen.noted_done.contains(&task) {
            state.seen.broken.push(format!("TWICE: {task} starts after it was done"));
        }
        self.state.1.notify_all();
        (200, json!({ "clockMs": clock }))
    }

    fn stop_run(&self, number: usize, body: &Value) -> (u16, Value) {
        let task = body["task"].as_str().unwrap_or("").to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        let mut state = self.lock();
        state.settle();
        let worker = &mut state.workers[number];
        let clock = worker.clock_ms();
        if !worker.admits(body) {
            return (409, json!({ "clockMs": clock, "reason": "fence" }));
        }
        if worker.runs.get(&task).is_some_and(|known| known.number <= run) {
            worker.end(&task, "stopped");
        }
        let over = worker.over.entry(task).or_default();
        *over = (*over).max(run);
        self.state.1.notify_all();
        (200, json!({ "clockMs": clock }))
    }

    fn hold(&self, number: usize, body: &Value) -> (u16, Value) {
        let deadline = Instant::now() + Duration::from_millis(body["waitMs"].as_u64().unwrap_or(0));
        let mut state = self.lock();
        state.settle();
        if !state.workers[number].admits(body) {
            let clock = state.workers[number].clock_ms();
            return (409, json!({ "clockMs": clock, "reason": "fence" }));
        }
        state.workers[number].extend(body);
        state.note(number, body["ackCursor"].as_u64().unwrap_or(0));
        loop {
            state.settle();
            let worker = &state.workers[number];
            let left = deadline.saturating_duration_since(Instant::now());
            if !worker.ended.is_empty() || left.is_zero() {
                let running: Vec<Value> =
                    worker.runs.iter().map(|(task, run)| json!([task, run.number, "", 50])).collect();
                let answer = json!({ "clockMs": worker.clock_ms(), "born": 1, "running": running,
                    "endedRuns": worker.ended });
                return (200, answer);
            }
            let next_end = worker.runs.values().map(|run| run.ends).min();
            let until_end = next_end.map_or(left, |ends| ends.saturating_duration_since(Instant::now()));
            state = self.state.1.wait_timeout(state, left.min(until_end)).expect("lock").0;
        }
    }
}

impl Worker {
    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1
    }

    fn admits(&mut self, body: &Value) -> bool {
        let token = body["fence"].as_u64().unwrap_or(0);
        if token < self.token {
            return false;
        }
        self.token = token;
        true
    }

    fn extend(&mut self, body: &Value) {
        self.lease_end_ms = self.lease_end_ms.max(body["deadlineMs"].as_u64().unwrap_or(0));
    }

    fn end(&mut self, task: &str, how: &str) {
        let Some(run) = self.runs.remove(task) else { return };
        self.next_end += 1;
        self.ended.push(json!([self.next_end, task, run.number, how, ""]));
        let over = self.over.entry(task.to_owned()).or_default();
        *over = (*over).max(run.number);
    }
}

impl State {
    /// Ends the runs whose time or lease is over.
    fn settle(&mut self) {
        let now = Instant::now();
        for worker in &mut self.workers {
            let lapsed = worker.clock_ms() > worker.lease_end_ms;
            let over: Vec<(String, bool)> = worker
                .runs
                .iter()
                .filter(|(_, run)| lapsed || now >= run.ends)
                .map(|(task, run)| (task.clone(), now >= run.ends))
                .collect();
            for (task, is_done) in over {
                worker.end(&task, if is_done { "done" } else { "lapsed" });
                if is_done {
                    self.seen.done.insert(task);
                }
            }
        }
    }

    /// Forgets ends up to `acknowledged`.
    fn note(&mut self, number: usize, acknowledged: u64) {
        let worker = &mut self.workers[number];
        worker.acknowledged = worker.acknowledged.max(acknowledged);
        let lapsed = worker.clock_ms() > worker.lease_end_ms;
        let (noted, left) =
            std::mem::take(&mut worker.ended).into_iter().partition(|row| row[0].as_u64().unwrap_or(0) <= acknowledged);
        worker.ended = left;
        let noted: Vec<Value> = noted;
        for row in noted {
            if row[3] == "done" && !lapsed {
                self.seen.noted_done.insert(row[1].as_str().unwrap_or("").to_owned());
            }
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
