//! The leader's zone, in which the store is, is cut off from the others. The leader gives up leadership, since most workers
//! do not answer. The store does not answer that write, and does it later, when the same daemon leads again.

use std::thread;
use std::time::Duration;

use sardineseam::UsersPlatformStandIn;
use serde_json::json;

use crate::daemons::Daemon;
use crate::store_proxy::{LostAnswers, StoreProxy};
use crate::workers::Workers;
use crate::{Script, Verdict};

const WORKERS: usize = 8;
/// Workers in the zone of the leader and the store.
const NEAR_WORKERS: usize = 2;
/// `zone_cut` of the site file.
const CUT: Duration = Duration::from_millis(5_500);
/// `platform_lost` of the site file: answers are lost for 4.5 s, writes are done 1 to 6 s later.
const LOSES: Duration = Duration::from_millis(4_500);
/// The write with which a leader gives up leadership holds the text `released`, here as base64.
const LOST: LostAnswers = LostAnswers { containing: "cmVsZWFzZWQ=", done_after: Duration::from_millis(1_100) };
const JOBS: u64 = 110;
const FIRST_ENDS_MS: u64 = 1_500;
const ENDS_APART_MS: u64 = 40;

pub fn run(script: &Script) -> Verdict {
    let platform = UsersPlatformStandIn::start(0, 1_000);
    let workers = Workers::start(WORKERS, 32_000, platform.store_address, &script.record, true);
    let far: Vec<usize> = (NEAR_WORKERS..WORKERS).collect();
    (0..NEAR_WORKERS).for_each(|index| workers.set_labels(index, &["near", "r1"]));
    far.iter().for_each(|index| workers.set_labels(*index, &["far", "r2"]));
    let proxies: Vec<StoreProxy> = (0..3).map(|_| StoreProxy::start(platform.store_address, &script.record)).collect();
    let mut daemons: Vec<Daemon> = Vec::new();
    for (number, proxy) in (1..=3).zip(&proxies) {
        let mut daemon = Daemon::prepare(&script.folder, number, &platform, proxy.address, |_| {});
        daemon.start();
        // The first daemon leads.
        thread::sleep(Duration::from_millis(700));
        daemons.push(daemon);
    }
    if let Err(reason) = script.wait_until_ready(&mut daemons, &platform) {
        return Verdict::CouldNotRun(reason);
    }
    if platform.leader().as_deref() != Some(daemons[0].name.as_str()) {
        return Verdict::CouldNotRun("another daemon leads".to_owned());
    }
    thread::sleep(Duration::from_secs(1));
    let far_job = json!({ "spec": "ms=60000", "steps": [{ "count": far.len(), "cpu": 1_000, "memMb": 100,
        "estimateMs": 60_000, "requiredLabel": "far", "antiAffinity": 1 }] });
    if script.submit(&daemons[0], "fa00000000000000", &far_job) != Some(200) {
        return Verdict::CouldNotRun("a job was not accepted".to_owned());
    }
    for number in 0..JOBS {
        let ms = FIRST_ENDS_MS + number * ENDS_APART_MS;
        let body = json!({ "spec": format!("ms={ms} last-ms=1"), "steps": [
            { "count": 1, "cpu": 100, "memMb": 10, "estimateMs": ms, "requiredLabel": "near" },
            { "count": 1, "cpu": 100, "memMb": 10, "estimateMs": 30_000, "requiredLabel": "near" }] });
        if script.submit(&daemons[0], &format!("{:x}b000000000{number:05x}", number % 16), &body) != Some(200) {
            return Verdict::CouldNotRun("a job was not accepted".to_owned());
        }
    }
    if script.has_trouble {
        script.record.line("the zone is cut off");
        far.iter().for_each(|index| workers.hang(*index, CUT));
        proxies[1..].iter().for_each(|proxy| proxy.cut(CUT));
        proxies[0].lose_answers(LOSES, LOST);
    }
    thread::sleep(CUT + Duration::from_secs(12));
    let (writes, lost) = proxies[0].counts();
    script.record.line(&format!("store: {lost} of the {writes} writes while answers were lost were not answered"));
    let events = workers.events();
    let mut again = 0;
    for (acknowledged_at, task, run, how) in workers.acknowledged() {
        let end = events.iter().find(|event| event.task == task && event.run == run && event.kind == "done");
        let Some(end) = end.filter(|_| how == "done") else { continue };
        // "unless the executor's lease lapsed between the two"
        let has_lapsed = events.iter().any(|event| {
            event.worker == end.worker && event.kind == "lapsed" && event.at >= end.at && event.at <= acknowledged_at
        });
        if has_lapsed {
            continue;
        }
        for start in events.iter().filter(|event| event.task == task && event.kind == "start" && event.at > end.at) {
            again += 1;
            script.record.line(&format!(
                "{task}: run {} started on {}, though run {run} had ended done on {} and was acknowledged",
                start.run, start.worker, end.worker
            ));
        }
    }
    script.record.line(&format!("{again} starts after an acknowledged end as done"));
    if workers.count("done") == 0 {
        return Verdict::CouldNotRun("nothing ran".to_owned());
    }
    if again > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
