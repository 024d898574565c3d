//! The executors of a service are restarted one after the other, as planned: each drains, leaves, and starts again under its
//! id.

use std::thread::sleep;
use std::time::Duration;

use serde_json::json;

use super::Setting;
use crate::daemons::eventually;
use crate::world::Kind;

const EXECUTORS: usize = 5;
const JOBS: usize = 6;
/// Number of times that all executors are restarted one after the other.
const ROUNDS: usize = 2;
/// Each work item takes longer than an executor serves after it has reported that it drains.
const WORK_MS: u64 = 20_000;
const DRAIN: Duration = Duration::from_millis(2_500);
const DOWN: Duration = Duration::from_millis(100);
const GAP: Duration = Duration::from_millis(1_000);

pub fn run(setting: &Setting) -> Result<(), String> {
    let mut deployment = setting.deploy();
    let world = deployment.world.clone();
    let plate = Kind::new("press", "plate", "r1-1", 4_000);
    let executors: Vec<String> = (0..EXECUTORS).map(|index| world.add_machine(&format!("m-{index}"), &plate)).collect();
    deployment.start_daemons(setting, 2)?;
    sleep(Duration::from_millis(2_000));
    let jobs: Vec<String> =
        (0..JOBS).map(|index| format!("{:016x}", 0x5c0e_7a21_d94b_0000_u64 + index as u64)).collect();
    for (index, job) in jobs.iter().enumerate() {
        let steps = json!([{ "count": 1, "cpu": 1_000, "memMb": 256, "estimateMs": WORK_MS }]);
        deployment.submit(setting, index % 2, job, &format!("ms={WORK_MS}"), steps)?;
    }
    if !eventually(Duration::from_secs(10), || jobs.iter().all(|job| world.running_of(job) == 1)) {
        return Err("the jobs do not start".to_owned());
    }
    sleep(Duration::from_millis(1_000));
    for executor in executors.iter().cycle().take(ROUNDS * EXECUTORS) {
        if setting.has_trouble {
            world.restart_as_planned(executor, DRAIN, DOWN);
        }
        sleep(DRAIN + DOWN + GAP);
    }
    let daemon = &deployment.daemons[0];
    eventually(Duration::from_secs(40), || {
        let is_final =
            |job: &String| ["completed", "failed", "cancelled"].iter().any(|word| daemon.state(job).contains(word));
        sleep(Duration::from_millis(200));
        jobs.iter().all(is_final)
    });
    for job in &jobs {
        let state = daemon.state(job);
        let starts = world.starts_of(job).len();
        setting.record.line(&format!("job {job}: {state}, {starts} starts"));
        if state.contains("failed") {
            setting.record.broken(&format!(
                "LOST: job {job} is shown as failed; no run of it has ended as failed, and no executor has crashed"
            ));
        }
    }
    Ok(())
}
