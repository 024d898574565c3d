//! A work item that lasts crashes each worker that starts it, 2.5 s after its start. The rule allows two more starts
//! after three workers have crashed under it.

use std::collections::HashSet;
use std::thread;
use std::time::{Duration, Instant};

use sardineseam::UsersPlatformStandIn;
use serde_json::json;

use crate::workers::Workers;
use crate::{Script, Verdict};

const WORKERS: usize = 6;
const LASTING_JOB: &str = "5c0e7a21d94b36f8";
const OTHER_JOB: &str = "a1b2c3d4e5f60718";
const WATCH: Duration = Duration::from_secs(75);
/// Crashes after which starts are counted, and the number of starts then that breaks the rule.
const CRASHES: usize = 3;
const STARTS_AFTER: usize = 3;

pub fn run(script: &Script) -> Verdict {
    let platform = UsersPlatformStandIn::start(0, 1_000);
    let workers = Workers::start(WORKERS, 8_000, platform.store_address, &script.record, true);
    let daemons = match script.start_daemons(3, &platform) {
        Ok(daemons) => daemons,
        Err(reason) => return Verdict::CouldNotRun(reason),
    };
    thread::sleep(Duration::from_secs(2));
    let spec = if script.has_trouble { "lasting crash-ms=2500" } else { "lasting" };
    let lasting = json!({ "spec": spec, "steps": [
        { "count": 1, "cpu": 1_000, "memMb": 1_000, "estimateMs": 900, "longRunning": true }] });
    let other =
        json!({ "spec": "ms=1000", "steps": [{ "count": 4, "cpu": 1_000, "memMb": 500, "estimateMs": 1_000 }] });
    let accepted = [(LASTING_JOB, &lasting), (OTHER_JOB, &other)]
        .iter()
        .all(|(id, body)| script.submit(&daemons[0], id, body) == Some(200));
    if !accepted {
        return Verdict::CouldNotRun("a job was not accepted".to_owned());
    }
    let until = Instant::now() + WATCH;
    while Instant::now() < until {
        thread::sleep(Duration::from_secs(1));
        script.record.line(&format!("client: GET {LASTING_JOB} -> {}", script.state(&daemons[1], LASTING_JOB)));
        let (crashed, starts) = starts_after_crashes(&workers);
        if starts >= STARTS_AFTER {
            script.record.line(&format!("{crashed} workers have crashed; {starts} starts after the third crash"));
            return Verdict::Broken;
        }
    }
    let events = workers.events();
    if !events.iter().any(|event| event.task.starts_with(LASTING_JOB) && event.kind == "start") {
        return Verdict::CouldNotRun("the work item never started".to_owned());
    }
    if !script.state(&daemons[2], OTHER_JOB).contains("completed") {
        return Verdict::CouldNotRun("the other job has not completed".to_owned());
    }
    Verdict::Held
}

/// Number of lives of workers that have crashed under the work item, and of its starts after three of them had.
fn starts_after_crashes(workers: &Workers) -> (usize, usize) {
    let mut crashed = HashSet::new();
    let mut starts = 0;
    for event in workers.events().iter().filter(|event| event.task.starts_with(LASTING_JOB)) {
        match event.kind {
            "crash" => {
                crashed.insert((event.worker.clone(), event.life));
            }
            "start" if crashed.len() >= CRASHES => starts += 1,
            _ => {}
        }
    }
    (crashed.len(), starts)
}
