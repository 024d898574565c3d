//! What at-most-once costs: callers' keys claimed in the table, tickets of a daemon, and no key at all.

mod support;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use support::{http, percentile, OnePool};

const SEQUENTIAL: usize = 400;
const THREADS: usize = 32;
const PER_THREAD: usize = 60;
const OUTAGE_REQUESTS: usize = 100;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    NoKey,
    Claim,
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

    /// Sends one request, the ticket fetched before; returns its time in milliseconds and whether it ran.
    fn send(&self, kind: Kind, name: &str) -> (f64, bool) {
        let key = match kind {
            Kind::NoKey => None,
            Kind::Claim => Some(name.to_owned()),
            Kind::Ticket => Some(self.ticket()),
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
    let OnePool { platform, daemon, .. } = &OnePool::start(10);
    let base = format!("http://{}", daemon.address("callers"));
    let writes = || {
        let (_, stats) = http("GET", &format!("{platform}/stats"), b"");
        serde_json::from_str::<serde_json::Value>(&stats).expect("JSON")["writes"].as_u64().expect("a number")
    };

    println!("| way | p50 ms | p99 ms | writes a request, one at a time | writes a request, 32 at a time | served in outage |");
    println!("|---|---|---|---|---|---|");
    for (kind, name) in [(Kind::NoKey, "no key"), (Kind::Claim, "claim in the table"), (Kind::Ticket, "ticket")] {
        let caller = Caller::new(&base);
        for number in 0..SEQUENTIAL / 4 {
            caller.send(kind, &format!("w{number}"));
        }
        thread::sleep(Duration::from_millis(300));
        let before = writes();
        let mut times: Vec<f64> = (0..SEQUENTIAL).map(|number| caller.send(kind, &format!("s{number}")).0).collect();
        thread::sleep(Duration::from_millis(300));
        let alone = (writes() - before) as f64 / SEQUENTIAL as f64;

        let before = writes();
        let ran = Arc::new(AtomicU64::new(0));
        let threads: Vec<_> = (0..THREADS)
            .map(|thread| {
                let (base, ran) = (base.clone(), ran.clone());
                thread::spawn(move || {
                    let caller = Caller::new(&base);
                    for number in 0..PER_THREAD {
                        let (_, done) = caller.send(kind, &format!("p{thread}-{number}"));
                        ran.fetch_add(u64::from(done), Ordering::Relaxed);
                    }
                })
            })
            .collect();
        threads.into_iter().for_each(|thread| thread.join().expect("ended"));
        thread::sleep(Duration::from_millis(300));
        let together = (writes() - before) as f64 / ran.load(Ordering::Relaxed) as f64;

        http("PUT", &format!("{platform}/faults"), br#"{"down": true}"#);
        let served = (0..OUTAGE_REQUESTS).filter(|number| caller.send(kind, &format!("o{number}")).1).count();
        http("PUT", &format!("{platform}/faults"), br#"{"down": false}"#);
        thread::sleep(Duration::from_millis(1_500));
        let (p50, p99) = (percentile(&mut times, 50.0), percentile(&mut times, 99.0));
        let served = served as f64 / OUTAGE_REQUESTS as f64 * 100.0;
        println!("| {name} | {p50:.3} | {p99:.3} | {alone:.2} | {together:.2} | {served:.0}% |");
    }
}
