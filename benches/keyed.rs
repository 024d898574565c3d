//! Measures the cost of running a request at most once: with a key that the daemon claims in the table, with a ticket
//! that a daemon issued, and with neither.

mod support;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use support::{http, percentile, SinglePool};

const SEQUENTIAL_REQUESTS: usize = 400;
const CONCURRENT_CALLERS: usize = 32;
const REQUESTS_PER_CALLER: usize = 60;
const OUTAGE_REQUESTS: usize = 100;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum KeyKind {
    NoKey,
    /// A key chosen by the caller, which the daemon claims in the table.
    Claim,
    /// A ticket that the daemon issued.
    Ticket,
}

struct Caller {
    agent: ureq::Agent,
    base: String,
}

impl Caller {
    fn new(base: &str) -> Caller {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(Duration::from_secs(10)))
            .build();
        Caller { agent: config.into(), base: base.to_owned() }
    }

    fn ticket(&self) -> String {
        let mut answer = self.agent.post(format!("{}/-/ticket", self.base)).send_empty().expect("a ticket");
        let body = answer.body_mut().read_to_string().expect("a body");
        serde_json::from_str::<serde_json::Value>(&body).expect("JSON")["ticket"].as_str().expect("text").to_owned()
    }

    /// Sends one request; returns its latency in milliseconds, without fetching the ticket, and whether it ran.
    fn send(&self, kind: KeyKind, name: &str) -> (f64, bool) {
        let key = match kind {
            KeyKind::NoKey => None,
            KeyKind::Claim => Some(name.to_owned()),
            KeyKind::Ticket => Some(self.ticket()),
        };
        let mut request = self.agent.post(format!("{}/one/charge", self.base));
        if let Some(key) = key {
            request = request.header("Idempotency-Key", key);
        }
        let started = Instant::now();
        let answer = request.send("chair 7");
        let ran = answer.is_ok_and(|answer| answer.headers().get("sardineseam-outcome").is_some_and(|o| o == "ran"));
        (started.elapsed().as_secs_f64() * 1_000.0, ran)
    }
}

fn main() {
    let SinglePool { platform, daemon, .. } = &SinglePool::start(10);
    let base = format!("http://{}", daemon.address("callers"));
    let table_writes = || {
        let (_, stats) = http("GET", &format!("{platform}/stats"), b"");
        serde_json::from_str::<serde_json::Value>(&stats).expect("JSON")["writes"].as_u64().expect("a number")
    };

    println!(
        "| key | p50 ms | p99 ms \
         | writes per request, sequential | writes per request, 32 callers | ran during outage |"
    );
    println!("|---|---|---|---|---|---|");
    for (kind, name) in
        [(KeyKind::NoKey, "none"), (KeyKind::Claim, "claimed in the table"), (KeyKind::Ticket, "ticket")]
    {
        let caller = Caller::new(&base);
        for number in 0..SEQUENTIAL_REQUESTS / 4 {
            caller.send(kind, &format!("w{number}"));
        }
        thread::sleep(Duration::from_millis(300));
        let writes_before = table_writes();
        let mut latencies_ms: Vec<f64> =
            (0..SEQUENTIAL_REQUESTS).map(|number| caller.send(kind, &format!("s{number}")).0).collect();
        thread::sleep(Duration::from_millis(300));
        let sequential_writes = (table_writes() - writes_before) as f64 / SEQUENTIAL_REQUESTS as f64;

        let writes_before = table_writes();
        let ran = Arc::new(AtomicU64::new(0));
        let threads: Vec<_> = (0..CONCURRENT_CALLERS)
            .map(|thread| {
                let (base, ran) = (base.clone(), ran.clone());
                thread::spawn(move || {
                    let caller = Caller::new(&base);
                    for number in 0..REQUESTS_PER_CALLER {
                        let (_, request_ran) = caller.send(kind, &format!("p{thread}-{number}"));
                        ran.fetch_add(u64::from(request_ran), Ordering::Relaxed);
                    }
                })
            })
            .collect();
        threads.into_iter().for_each(|thread| thread.join().expect("the thread ends"));
        thread::sleep(Duration::from_millis(300));
        let concurrent_writes = (table_writes() - writes_before) as f64 / ran.load(Ordering::Relaxed) as f64;

        http("PUT", &format!("{platform}/faults"), br#"{"down": true}"#);
        let outage_ran = (0..OUTAGE_REQUESTS).filter(|number| caller.send(kind, &format!("o{number}")).1).count();
        http("PUT", &format!("{platform}/faults"), br#"{"down": false}"#);
        thread::sleep(Duration::from_millis(1_500));
        let (p50, p99) = (percentile(&mut latencies_ms, 50.0), percentile(&mut latencies_ms, 99.0));
        let outage_ran_percent = outage_ran as f64 / OUTAGE_REQUESTS as f64 * 100.0;
        println!(
            "| {name} | {p50:.3} | {p99:.3} \
             | {sequential_writes:.2} | {concurrent_writes:.2} | {outage_ran_percent:.0}% |"
        );
    }
}
