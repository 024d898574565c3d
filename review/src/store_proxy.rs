//! A proxy before the store of the platform stand-in, which adds what the users' pages say of the store and the stand-in
//! does not have: the limit on a transaction, and disturbances.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::http::{call, serve, Reply, Request};
use crate::record::Record;

/// "A call holds at most 100 entries and at most 1 MB": counted here as 2^20 bytes of decoded values, the most lenient way.
const MAX_ENTRIES: usize = 100;
const MAX_VALUE_BYTES: usize = 1 << 20;
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Clone)]
pub struct StoreProxy {
    pub address: SocketAddr,
    down_until: Arc<Mutex<Instant>>,
}

impl StoreProxy {
    pub fn start(upstream: SocketAddr, record: &Record) -> StoreProxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let proxy = StoreProxy { address, down_until: Arc::new(Mutex::new(Instant::now())) };
        let (served, record) = (proxy.clone(), record.clone());
        serve(listener, move |request| served.handle(upstream, &record, request));
        proxy
    }

    /// The store answers 503 to every call for this time: nothing is done.
    pub fn set_down(&self, duration: Duration) {
        *self.down_until.lock().expect("lock") = Instant::now() + duration;
    }

    fn is_down(&self) -> bool {
        Instant::now() < *self.down_until.lock().expect("lock")
    }

    fn handle(&self, upstream: SocketAddr, record: &Record, request: &Request) -> Reply {
        if self.is_down() {
            return Reply::Answer(503, b"{}".to_vec());
        }
        if request.path() == "/rows-tx" {
            let (entries, bytes) = transaction_size(&request.body);
            if entries > MAX_ENTRIES || bytes > MAX_VALUE_BYTES {
                record
                    .line(&format!("store: refuses a transaction with {entries} entries and {bytes} bytes of values"));
                return Reply::Answer(400, b"{\"error\":\"the transaction is too large\"}".to_vec());
            }
        }
        match call(upstream, &request.method, &request.target, &[], &request.body, CALL_TIMEOUT) {
            Some(_) if self.is_down() => Reply::Answer(503, b"{}".to_vec()),
            Some((status, body)) => Reply::Answer(status, body),
            None => Reply::Close,
        }
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
