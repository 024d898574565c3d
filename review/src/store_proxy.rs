//! A proxy before the store of the platform stand-in, which adds what the users' pages say of the store and the stand-in
//! does not have: the limit on a transaction, and disturbances.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::http::{call, serve, Reply, Request};
use crate::record::Record;

/// "A call holds at most 100 entries and at most 1 MB": counted here as 2^20 bytes of decoded values, the most lenient way.
const MAX_ENTRIES: usize = 100;
const MAX_VALUE_BYTES: usize = 1 << 20;
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// What is wrong with the store, or the path to it, for now.
#[derive(Clone, Copy)]
struct Trouble {
    /// Until then, it answers 503 to every call: nothing is done.
    down_until: Instant,
    /// Until then, the path to it is cut: calls are lost.
    cut_until: Instant,
    /// Until then, [`LostAnswers`] apply.
    loses_until: Instant,
}

/// Writes that are done late and not answered.
#[derive(Clone, Copy)]
pub struct LostAnswers {
    /// Writes of which the body contains this are chosen.
    pub containing: &'static str,
    /// Time after which they are done, if their condition still holds then.
    pub done_after: Duration,
}

/// A daemon's path to the store.
#[derive(Clone)]
pub struct StoreProxy {
    pub address: SocketAddr,
    trouble: Arc<Mutex<Trouble>>,
    lost_answers: Arc<Mutex<Option<LostAnswers>>>,
    /// Writes while answers are lost, and those of them that were not answered.
    counts: Arc<Mutex<(u32, u32)>>,
    record: Record,
}

impl StoreProxy {
    pub fn start(upstream: SocketAddr, record: &Record) -> StoreProxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let now = Instant::now();
        let trouble = Trouble { down_until: now, cut_until: now, loses_until: now };
        let proxy = StoreProxy {
            address,
            trouble: Arc::new(Mutex::new(trouble)),
            lost_answers: Arc::default(),
            counts: Arc::default(),
            record: record.clone(),
        };
        let served = proxy.clone();
        serve(listener, move |request| served.handle(upstream, request));
        proxy
    }

    /// The store answers 503 to every call for this time: nothing is done.
    pub fn set_down(&self, duration: Duration) {
        self.trouble.lock().expect("lock").down_until = Instant::now() + duration;
    }

    /// The path to the store is cut for this time.
    pub fn cut(&self, duration: Duration) {
        self.trouble.lock().expect("lock").cut_until = Instant::now() + duration;
    }

    /// The store loses answers for this time.
    pub fn lose_answers(&self, duration: Duration, lost_answers: LostAnswers) {
        *self.lost_answers.lock().expect("lock") = Some(lost_answers);
        self.trouble.lock().expect("lock").loses_until = Instant::now() + duration;
    }

    fn trouble(&self) -> Trouble {
        *self.trouble.lock().expect("lock")
    }

    fn is_down(&self) -> bool {
        Instant::now() < self.trouble().down_until
    }

    /// Waits for the end of a cut; whether there was one.
    fn is_cut(&self) -> bool {
        let left = self.trouble().cut_until.saturating_duration_since(Instant::now());
        thread::sleep(left);
        !left.is_zero()
    }

    fn handle(&self, upstream: SocketAddr, request: &Request) -> Reply {
        if self.is_cut() {
            return Reply::Close;
        }
        if self.is_down() {
            return Reply::Answer(503, b"{}".to_vec());
        }
        if let Some(lost) = self.lost_answer(request) {
            self.record.line(&format!("store: a write is not answered, and done {:?} later", lost.done_after));
            thread::sleep(lost.done_after);
            let answer = call(upstream, &request.method, &request.target, &[], &request.body, CALL_TIMEOUT);
            self.record.line(&format!("store: the late write ends with {:?}", answer.map(|(status, _)| status)));
            return Reply::Close;
        }
        if request.path() == "/rows-tx" {
            let (entries, bytes) = transaction_size(&request.body);
            if entries > MAX_ENTRIES || bytes > MAX_VALUE_BYTES {
                self.record
                    .line(&format!("store: refuses a transaction with {entries} entries and {bytes} bytes of values"));
                return Reply::Answer(400, b"{\"error\":\"the transaction is too large\"}".to_vec());
            }
        }
        match call(upstream, &request.method, &request.target, &[], &request.body, CALL_TIMEOUT) {
            _ if self.is_cut() => Reply::Close,
            Some(_) if self.is_down() => Reply::Answer(503, b"{}".to_vec()),
            Some((status, body)) => Reply::Answer(status, body),
            None => Reply::Close,
        }
    }
}

impl StoreProxy {
    fn lost_answer(&self, request: &Request) -> Option<LostAnswers> {
        let lost = (*self.lost_answers.lock().expect("lock"))?;
        if request.path() != "/rows-tx" || Instant::now() >= self.trouble().loses_until {
            return None;
        }
        let is_chosen = String::from_utf8_lossy(&request.body).contains(lost.containing);
        let mut counts = self.counts.lock().expect("lock");
        counts.0 += 1;
        counts.1 += u32::from(is_chosen);
        is_chosen.then_some(lost)
    }

    /// Number of writes while answers were lost, and of those that were not answered.
    pub fn counts(&self) -> (u32, u32) {
        *self.counts.lock().expect("lock")
    }
}

/// Number of entries of a transaction, and the size of its values once they are decoded.
fn transaction_size(body: &[u8]) -> (usize, usize) {
    let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
    let rows = |name: &str| body[name].as_array().map_or(0, Vec::len);
    let entries = rows("expectedRev") + rows("upserts") + rows("remove");
    let upserts = body["upserts"].as_array().into_iter().flatten();
    let bytes = upserts.map(|row| row["value"].as_str().map_or(0, |text| text.len() / 4 * 3)).sum();
    (entries, bytes)
}
