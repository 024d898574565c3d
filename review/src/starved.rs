//! Small jobs come while a burst takes all room for some seconds. Afterwards they are late, and come after other late jobs,
//! which need more room than any worker has left.

use std::thread;
use std::time::{Duration, Instant};

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use sardineseam::UsersPlatformStandIn;
use serde_json::json;

use crate::http::call;
use crate::workers::Workers;
use crate::{Script, Verdict};

const WORKERS: usize = 6;
const WORKER_CPU: u64 = 16_000;
/// Processor needs of a lasting item, of which each worker runs one, of the item of a large job, and of a small item.
const LASTING_CPU: u64 = 2_000;
const LARGE_CPU: u64 = 15_000;
const SMALL_CPU: u64 = 500;
const LARGE_JOBS: usize = 60;
/// Time between two large jobs, which is the usual one of the sheet's large jobs: 2.43 a second.
const LARGE_INTERVAL: Duration = Duration::from_millis(412);
const SMALL_JOBS: usize = 10;
/// The burst: jobs that come at once, with as many items in all as there is room for. Each item takes 3.5 s.
const BURST_JOBS: u64 = WORKERS as u64;
const BURST_ITEMS: u64 = (WORKER_CPU - LASTING_CPU) / SMALL_CPU;
/// Time from the burst to the small jobs.
const BURST_LEAD: Duration = Duration::from_millis(500);
/// `finish_s`, and the 3 s of the rule.
const FINISH: Duration = Duration::from_secs(14);
const NOTHING_RUNS: Duration = Duration::from_secs(3);

pub fn run(script: &Script) -> Verdict {
    let platform = UsersPlatformStandIn::start(0, 1_000);
    // `stretch` and the aim of the users' quick jobs.
    let config = json!({ "version": 5, "services": [{ "name": "press", "spare": false }], "limits": {}, "routes": [
        { "name": "jobs", "host": "print.example", "pathPrefix": "/jobs/", "service": "press", "priority": 0,
            "attempts": 4, "stretch": 1.6, "targetLatencyMs": 600 }] });
    let row = json!({ "table": "op", "part": "", "key": "config", "value": STANDARD.encode(config.to_string()) });
    let body = json!({ "expectedRev": [], "upserts": [row], "remove": [] }).to_string();
    call(platform.store_address, "POST", "/rows-tx", &[], body.as_bytes(), Duration::from_secs(2));
    let workers = Workers::start(WORKERS, WORKER_CPU, platform.store_address, &script.record, true);
    let daemons = match script.start_daemons(3, &platform) {
        Ok(daemons) => daemons,
        Err(reason) => return Verdict::CouldNotRun(reason),
    };
    thread::sleep(Duration::from_secs(2));
    let lasting = json!({ "spec": "lasting", "steps": [{ "count": WORKERS, "cpu": LASTING_CPU, "memMb": 1_000,
        "estimateMs": 900, "longRunning": true, "antiAffinity": 1 }] });
    let large = json!({ "spec": "ms=1000", "steps": [
        { "count": 1, "cpu": LARGE_CPU, "memMb": 1_000, "estimateMs": 1_000 }] });
    let small = json!({ "spec": "ms=100", "steps": [
        { "count": 2, "cpu": SMALL_CPU, "memMb": 100, "estimateMs": 100, "requiredLabel": "a" }] });
    let mut is_accepted = script.submit(&daemons[0], "1a00000000000000", &lasting) == Some(200);
    thread::sleep(Duration::from_secs(3));
    for number in 0..LARGE_JOBS {
        let id = format!("{:x}b00000000000{number:03x}", number % 16);
        is_accepted &= script.submit(&daemons[number % 3], &id, &large) == Some(200);
        thread::sleep(LARGE_INTERVAL);
    }
    thread::sleep(Duration::from_secs(6));
    if !is_accepted || workers.active().len() != WORKERS {
        return Verdict::CouldNotRun("the lasting job is not at work, or a job was not accepted".to_owned());
    }
    if script.has_trouble {
        let burst = json!({ "spec": "ms=3500", "steps": [
            { "count": BURST_ITEMS, "cpu": SMALL_CPU, "memMb": 100, "estimateMs": 3_500 }] });
        let mut answers =
            (0..BURST_JOBS).map(|number| script.submit(&daemons[0], &format!("{number:x}d{:014x}", 0), &burst));
        if !answers.all(|status| status == Some(200)) {
            return Verdict::CouldNotRun("the burst was not accepted".to_owned());
        }
    }
    thread::sleep(BURST_LEAD);
    let ended_at = Instant::now();
    let mut ids: Vec<String> = Vec::new();
    for number in 0..SMALL_JOBS {
        let id = format!("{:x}c00000000000{number:03x}", number % 16);
        if script.submit(&daemons[1], &id, &small) == Some(200) {
            ids.push(id);
        }
    }
    if ids.is_empty() {
        return Verdict::CouldNotRun("no small job was accepted".to_owned());
    }
    // That was the end of the traffic.
    thread::sleep(FINISH.saturating_sub(ended_at.elapsed()));
    let mut stuck = ids.clone();
    stuck.retain(|id| !script.state(&daemons[1], id).contains("completed"));
    let from = Instant::now();
    let mut most_active = 0;
    while from.elapsed() < NOTHING_RUNS {
        let active = workers.active();
        most_active = most_active.max(active.len() as u64);
        stuck.retain(|id| !active.iter().any(|task| task.starts_with(&**id)));
        thread::sleep(Duration::from_millis(20));
    }
    for id in &ids {
        script.record.line(&format!("client: GET {id} -> {}", script.state(&daemons[1], id)));
    }
    let (used, capacity) = (most_active * LASTING_CPU, WORKERS as u64 * WORKER_CPU);
    script.record.line(&format!(
        "{} of {} small jobs are not completed and had nothing running for 3 s; {used} of {capacity} thousandths of a \
         core were in use",
        stuck.len(),
        ids.len()
    ));
    let has_room = capacity - used > 2 * 2 * SMALL_CPU && used * 2 < capacity;
    if !stuck.is_empty() && has_room {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
