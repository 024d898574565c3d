//! Stand-in for the platform's store, with the calls that the daemons make.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde_json::{json, Value};

use crate::http::{serve, Reply, Request};

const TRANSACTION_TIME: Duration = Duration::from_millis(5);
const READ_TIME: Duration = Duration::from_millis(4);
const PAGE_ROWS: usize = 500;

type RowId = (String, String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    /// Version and value in base64 of each row; the value of a removed row is `None`.
    rows: BTreeMap<RowId, (u64, Option<String>)>,
    /// Version since which the changes are known.
    history_since: u64,
}

/// Daemons that get no answers for a while.
struct Silence {
    daemons: Vec<String>,
    until: Instant,
    /// Their transactions are performed this long after their arrival, if their condition still holds then.
    late: Duration,
    /// If set, only the first transaction that writes a row with this in its key is performed, the others never.
    only: Option<String>,
    performed: usize,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<Rows>, Condvar)>,
    started: Instant,
    silence: Arc<Mutex<Option<Silence>>>,
}

impl Store {
    pub fn new() -> Store {
        Store { state: Arc::default(), started: Instant::now(), silence: Arc::default() }
    }

    /// Leaves all calls of some daemons unanswered for `time`, and performs their transactions `late` after their arrival.
    pub fn fall_silent(&self, daemons: &[&str], time: Duration, late: Duration) {
        self.silence_daemons(daemons, time, late, None);
    }

    /// The same, but performs only the first transaction that writes a row whose key has `only` in it.
    pub fn fall_silent_but_once(&self, daemons: &[&str], time: Duration, late: Duration, only: &str) {
        self.silence_daemons(daemons, time, late, Some(only.to_owned()));
    }

    fn silence_daemons(&self, daemons: &[&str], time: Duration, late: Duration, only: Option<String>) {
        let daemons = daemons.iter().map(|daemon| (*daemon).to_owned()).collect();
        let silence = Silence { daemons, until: Instant::now() + time, late, only, performed: 0 };
        *self.silence.lock().expect("lock") = Some(silence);
    }

    /// How long a call of a daemon stays unanswered, and after how long it is performed, if it is.
    fn silence_for(&self, daemon: &str, request: &Request) -> Option<(Duration, Option<Duration>)> {
        let mut silence = self.silence.lock().expect("lock");
        let silence = silence.as_mut().filter(|silence| silence.daemons.iter().any(|known| known == daemon))?;
        let left = silence.until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return None;
        }
        if request.path != "/rows-tx" {
            return Some((left, None));
        }
        let upserts = request.body["upserts"].as_array().into_iter().flatten();
        let mut keys = upserts.map(|row| row["key"].as_str().unwrap_or(""));
        let only = silence.only.as_ref();
        let is_performed = only.is_none_or(|only| silence.performed == 0 && keys.any(|key| key.contains(only)));
        silence.performed += usize::from(is_performed);
        Some((left, is_performed.then_some(silence.late)))
    }

    /// Opens an address for one daemon.
    pub fn listen(&self, daemon: &str) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (store, daemon) = (self.clone(), daemon.to_owned());
        serve(listener, Arc::default(), || true, move |request| store.handle(&daemon, request));
        address
    }

    /// Writes a row of the operator or of an executor.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        let mut rows = self.state.0.lock().expect("lock");
        rows.version += 1;
        let row = (rows.version, Some(STANDARD.encode(value.to_string())));
        rows.rows.insert((table.to_owned(), String::new(), key.to_owned()), row);
        drop(rows);
        self.state.1.notify_all();
    }

    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.state.0.lock().expect("lock");
        let id = (table.to_owned(), String::new(), key.to_owned());
        if rows.rows.get(&id).is_none_or(|(_, value)| value.is_none()) {
            return;
        }
        rows.version += 1;
        let row = (rows.version, None);
        rows.rows.insert(id, row);
        drop(rows);
        self.state.1.notify_all();
    }

    /// Content of a row, as text.
    pub fn text(&self, table: &str, part: &str, key: &str) -> Option<String> {
        let rows = self.state.0.lock().expect("lock");
        let value = rows.rows.get(&(table.to_owned(), part.to_owned(), key.to_owned()))?.1.clone()?;
        String::from_utf8(STANDARD.decode(value).ok()?).ok()
    }

    /// Forgets the history of changes.
    pub fn drop_history(&self) {
        let mut rows = self.state.0.lock().expect("lock");
        rows.history_since = rows.version;
        drop(rows);
        self.state.1.notify_all();
    }

    /// Name of the daemon that leads.
    pub fn leader(&self) -> Option<String> {
        self.text("lead", "sched", "owner")?.split(' ').next().map(str::to_owned)
    }

    fn handle(&self, daemon: &str, request: &Request) -> Reply {
        if let Some((left, late)) = self.silence_for(daemon, request) {
            if let Some(late) = late {
                let (store, request) = (self.clone(), request.clone());
                thread::spawn(move || {
                    thread::sleep(late);
                    store.commit(&request);
                });
            }
            thread::sleep(left);
            return None;
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/rows-tx") => {
                thread::sleep(TRANSACTION_TIME);
                Some(self.commit(request))
            }
            ("GET", "/rows-get") => {
                thread::sleep(READ_TIME);
                Some(self.read(request))
            }
            ("GET", "/rows-feed") => Some(self.feed(request)),
            ("GET", "/rows-parts") => {
                thread::sleep(READ_TIME);
                let rows = self.state.0.lock().expect("lock");
                let table = request.query("table");
                let ids = rows.rows.iter().filter(|(id, (_, value))| id.0 == table && value.is_some());
                let parts: BTreeSet<&String> = ids.map(|(id, _)| &id.1).collect();
                Some((200, json!({ "parts": parts, "morePages": false })))
            }
            _ => Some((404, json!({}))),
        }
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn commit(&self, request: &Request) -> (u16, Value) {
        let mut rows = self.state.0.lock().expect("lock");
        let list = |name: &str| request.body[name].as_array().cloned().unwrap_or_default();
        let mut current = Vec::new();
        let mut holds = true;
        for row in list("expectedRev") {
            let id = row_id(&row);
            let (version, value) = rows.rows.get(&id).filter(|(_, value)| value.is_some()).cloned().unwrap_or_default();
            holds &= version == row["ver"].as_u64().unwrap_or(0);
            current.push(wire_row(&id, version, &value));
        }
        if !holds {
            return (412, json!({ "rows": current, "ver": rows.version, "nowMs": self.now_ms() }));
        }
        rows.version += 1;
        let version = rows.version;
        for row in list("upserts") {
            rows.rows.insert(row_id(&row), (version, row["value"].as_str().map(str::to_owned)));
        }
        for row in list("remove") {
            rows.rows.insert(row_id(&row), (version, None));
        }
        drop(rows);
        self.state.1.notify_all();
        (200, json!({ "ver": version, "nowMs": self.now_ms() }))
    }

    fn read(&self, request: &Request) -> (u16, Value) {
        let rows = self.state.0.lock().expect("lock");
        let limit = request.query("limit").parse().unwrap_or(PAGE_ROWS).min(PAGE_ROWS);
        let (table, part) = (request.query("table"), request.query("part"));
        let from = (table.to_owned(), part.to_owned(), request.query("from").to_owned());
        let target = request.query("target");
        let mut page = Vec::new();
        let mut has_more = false;
        for (id, (version, value)) in rows.rows.range(from..) {
            if id.0 != table || id.1 != part || (!target.is_empty() && id.2.as_str() >= target) {
                break;
            }
            if value.is_none() {
                continue;
            }
            has_more = page.len() == limit;
            if has_more {
                break;
            }
            page.push(wire_row(id, *version, value));
        }
        (200, json!({ "rows": page, "morePages": has_more, "ver": rows.version, "nowMs": self.now_ms() }))
    }

    fn feed(&self, request: &Request) -> (u16, Value) {
        let wait_ms = request.query("waitMs").parse().unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let mut rows = self.state.0.lock().expect("lock");
        loop {
            if after < rows.history_since {
                return (410, json!({}));
            }
            let table = request.query("table");
            let changed = rows.rows.iter().filter(|(id, (version, _))| id.0 == table && *version > after);
            let mut changed: Vec<(u64, Value)> =
                changed.map(|(id, (version, value))| (*version, wire_row(id, *version, value))).collect();
            changed.sort_by_key(|(version, _)| *version);
            let left = deadline.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                let changed: Vec<Value> = changed.into_iter().map(|(_, row)| row).collect();
                return (200, json!({ "rows": changed, "ver": rows.version, "nowMs": self.now_ms() }));
            }
            rows = self.state.1.wait_timeout(rows, left).expect("lock").0;
        }
    }
}

fn row_id(row: &Value) -> RowId {
    let text = |name: &str| row[name].as_str().unwrap_or("").to_owned();
    (text("table"), text("part"), text("key"))
}

fn wire_row(id: &RowId, version: u64, value: &Option<String>) -> Value {
    let mut row = json!({ "table": id.0, "part": id.1, "key": id.2, "ver": version });
    match value {
        Some(value) => row["value"] = json!(value),
        None => row["tombstone"] = json!(true),
    }
    row
}
