//! A worker reports that it drains while orders to it are waiting, because it does not answer for a while.

use std::thread;
use std::time::Duration;

use sardineseam::UsersPlatformStandIn;
use serde_json::json;

use crate::workers::Workers;
use crate::{Script, Verdict};

/// One worker of 16 is disturbed and drains: a share of 0.0625.
const WORKERS: usize = 16;
const JOB: &str = "5c0e7a21d94b36f8";
const ITEMS: usize = 30;
/// Time for which the worker's requests hang.
const HANG: Duration = Duration::from_millis(2_700);
/// Time from the submission to the worker's report that it drains.
const DRAIN_AFTER: Duration = Duration::from_millis(400);
/// `drainMs` of the settings of the users' small deployments.
const DRAIN_MS: Duration = Duration::from_millis(2_000);
/// "It continues serving for `drainMs` after the store has accepted that report and a little longer".
const LITTLE_LONGER: Duration = Duration::from_millis(800);
const WATCH: Duration = Duration::from_secs(12);

pub fn run(script: &Script) -> Verdict {
    let platform = UsersPlatformStandIn::start(0, 1_000);
    let workers = Workers::start(WORKERS, 16_000, platform.store_address, &script.record, true);
    // The work items need a label that only this worker has at first, so that the case does not depend on the order of
    // placement. Later another worker gets it, too.
    workers.set_labels(0, &["b", "r1"]);
    let daemons = match script.start_daemons(3, &platform) {
        Ok(daemons) => daemons,
        Err(reason) => return Verdict::CouldNotRun(reason),
    };
    thread::sleep(Duration::from_secs(3));
    let job = json!({ "spec": "ms=1000", "steps": [
        { "count": ITEMS, "cpu": 500, "memMb": 500, "estimateMs": 1_000, "requiredLabel": "b" }] });
    if script.has_trouble {
        script.record.line("worker w0: requests hang");
        workers.hang(0, HANG);
    }
    if script.submit(&daemons[0], JOB, &job) != Some(200) {
        return Verdict::CouldNotRun("the job was not accepted".to_owned());
    }
    thread::sleep(DRAIN_AFTER);
    let Some(accepted_at) = workers.drain(0) else {
        return Verdict::CouldNotRun("the store did not accept the report".to_owned());
    };
    script.record.line("worker w0: the store has accepted that it drains");
    thread::sleep(DRAIN_MS + LITTLE_LONGER);
    workers.set_labels(1, &["b", "r1"]);
    script.record.line("worker w0: exits");
    workers.exit(0);
    thread::sleep(WATCH);
    let mut starts = 0;
    let mut late = 0;
    for event in workers.events().iter().filter(|event| event.kind == "start" && event.worker == "w0") {
        starts += 1;
        late += usize::from(event.at > accepted_at + DRAIN_MS);
    }
    let gone = workers.events().iter().filter(|event| event.kind == "gone").count();
    script.record.line(&format!("{gone} runs were lost when w0 exited"));
    script.record.line(&format!("{starts} starts on w0, {late} of them more than {DRAIN_MS:?} after the report"));
    match (starts, late) {
        (0, _) => Verdict::CouldNotRun("no order arrived".to_owned()),
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
