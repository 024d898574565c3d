//! Large jobs are at work when the store is down for a while. Afterwards the progress of all of them has to be stored, in a
//! transaction that exceeds the store's limit.

use std::thread;
use std::time::{Duration, Instant};

use sardineseam::UsersPlatformStandIn;
use serde_json::json;

use crate::daemons::Daemon;
use crate::store_proxy::StoreProxy;
use crate::workers::Workers;
use crate::{Script, Verdict};

const WORKERS: usize = 12;
const WORKER_CPU: u64 = 16_000;
const JOBS: usize = 26;
/// Work items of the first step of each job, and their processor needs.
const ITEMS: usize = 1_800;
const ITEM_CPU: u64 = 50;
/// Work items of the second step. They end once all jobs have come so far, those of each next job a little later.
const LAST_ITEMS: usize = 48;
const LAST_ITEMS_PER_WORKER: usize = 4;
const ENDS_APART_MS: u64 = 150;
/// Time for all jobs to come so far.
const MOST_WAIT: Duration = Duration::from_secs(60);
/// Time between two jobs.
const INTERVAL: Duration = Duration::from_millis(412);
/// The store is down from shortly before the first of these ends, as long as `platform_down` of the site file.
const DOWN_LEAD: Duration = Duration::from_millis(300);
const DOWN: Duration = Duration::from_millis(4_500);
/// `contactMs`.
const CONTACT: Duration = Duration::from_secs(3);
const LATER_JOB: &str = "f0e1d2c3b4a59687";
/// `finish_s`, and the 3 s of the rule.
const FINISH: Duration = Duration::from_secs(14);
const NOTHING_RUNS: Duration = Duration::from_secs(3);

pub fn run(script: &Script) -> Verdict {
    let platform = UsersPlatformStandIn::start(0, 1_000);
    let workers = Workers::start(WORKERS, WORKER_CPU, platform.store_address, &script.record, true);
    let proxy = StoreProxy::start(platform.store_address, &script.record);
    let mut daemons: Vec<Daemon> =
        (1..=3).map(|number| Daemon::prepare(&script.folder, number, &platform, proxy.address, |_| {})).collect();
    daemons.iter_mut().for_each(Daemon::start);
    if let Err(reason) = script.wait_until_ready(&mut daemons, &platform) {
        return Verdict::CouldNotRun(reason);
    }
    thread::sleep(Duration::from_secs(1));
    let mut ids = Vec::new();
    for number in 0..JOBS {
        let id = format!("{:x}c0e7a21d94b3{:03x}", number % 16, number);
        let last_ms = 1 + number as u64 * ENDS_APART_MS;
        let body = json!({ "spec": format!("ms=1300 last-ms={last_ms}"), "steps": [
            { "count": ITEMS, "cpu": ITEM_CPU, "memMb": 20, "estimateMs": 1_300, "checkpoint": true },
            { "count": LAST_ITEMS, "cpu": ITEM_CPU, "memMb": 20, "estimateMs": 8_000, "checkpoint": true, "after": [0],
                "antiAffinity": LAST_ITEMS_PER_WORKER }] });
        if script.submit(&daemons[number % 3], &id, &body) != Some(200) {
            return Verdict::CouldNotRun("a job was not accepted".to_owned());
        }
        ids.push(id);
        thread::sleep(INTERVAL);
    }
    let from = Instant::now();
    loop {
        thread::sleep(Duration::from_millis(500));
        let last_items = workers.active().iter().filter(|task| task.contains(".0.1.")).count();
        script.record.line(&format!("workers: {} done, {last_items} items of the second steps", workers.count("done")));
        if last_items == JOBS * LAST_ITEMS {
            break;
        }
        if from.elapsed() > MOST_WAIT {
            return Verdict::CouldNotRun("the first steps took too long".to_owned());
        }
    }
    workers.release_last(Instant::now() + DOWN_LEAD);
    if script.has_trouble {
        script.record.line("the store is down");
        proxy.set_down(DOWN);
    }
    thread::sleep(DOWN + CONTACT);
    let body = json!({ "spec": "ms=500", "steps": [{ "count": 4, "cpu": 100, "memMb": 20, "estimateMs": 500 }] });
    if script.submit(&daemons[0], LATER_JOB, &body) != Some(200) {
        return Verdict::CouldNotRun("the later job was not accepted".to_owned());
    }
    // That was the end of the traffic.
    thread::sleep(FINISH);
    let mut stuck = ids.clone();
    stuck.push(LATER_JOB.to_owned());
    stuck.retain(|id| !script.state(&daemons[1], id).contains("completed"));
    let from = Instant::now();
    let mut most_active = 0;
    while from.elapsed() < NOTHING_RUNS {
        let active = workers.active();
        most_active = most_active.max(active.len());
        stuck.retain(|id| !active.iter().any(|task| task.starts_with(&**id)));
        thread::sleep(Duration::from_millis(20));
    }
    for id in ids.iter().map(String::as_str).chain([LATER_JOB]) {
        script.record.line(&format!("client: GET {id} -> {}", script.state(&daemons[2], id)));
    }
    script.record.line(&format!("{} jobs are not completed and had nothing running for 3 s: {stuck:?}", stuck.len()));
    let capacity = WORKERS as u64 * WORKER_CPU;
    script.record.line(&format!("at most {most_active} work items ran, on {capacity} thousandths of a core"));
    let has_room = most_active as u64 * ITEM_CPU * 2 < capacity;
    // The items of the others have ended, though nobody has taken note of that.
    if stuck.iter().any(|id| id == LATER_JOB) && has_room {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
