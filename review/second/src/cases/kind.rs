//! Executors crash and start again under their ids and addresses, as another kind.

use std::thread::sleep;
use std::time::Duration;

use serde_json::json;

use super::Setting;
use crate::daemons::eventually;
use crate::world::Kind;

const EXECUTORS: usize = 4;
/// Time from the start of an executor to its first heartbeat; one is due every 1,500 ms.
const FIRST_BEAT: Duration = Duration::from_millis(1_400);

pub fn run(setting: &Setting) -> Result<(), String> {
    let mut deployment = setting.deploy();
    let world = deployment.world.clone();
    // Each work item fills its executor.
    let (plate, paper) = (Kind::new("press", "plate", "r1-1", 4_000), Kind::new("press", "paper", "r1-2", 4_000));
    let executors: Vec<String> = (0..EXECUTORS).map(|index| world.add_machine(&format!("m-{index}"), &plate)).collect();
    for index in EXECUTORS..2 * EXECUTORS {
        world.add_machine(&format!("m-{index}"), &paper);
    }
    deployment.start_daemons(setting, 2)?;
    sleep(Duration::from_millis(2_000));
    let job = |index: usize| format!("{:016x}", 0x5c0e_7a21_d94b_0000_u64 + index as u64);
    for index in 0..EXECUTORS {
        let steps = json!([{ "count": 1, "cpu": 4_000, "memMb": 256, "estimateMs": 30_000, "requiredLabel": "plate" }]);
        deployment.submit(setting, index % 2, &job(index), "ms=30000", steps)?;
    }
    let is_at_work = |index: usize| world.running_of(&job(index)) == 1;
    if !eventually(Duration::from_secs(10), || (0..EXECUTORS).all(is_at_work)) {
        return Err("the jobs do not start".to_owned());
    }
    sleep(Duration::from_millis(1_500));
    for executor in &executors {
        if setting.has_trouble {
            world.crash(executor, Duration::from_millis(1_000), &paper, FIRST_BEAT);
        }
        sleep(Duration::from_millis(4_000));
    }
    // Jobs whose executor has another kind now wait for one of their own.
    for index in 2 * EXECUTORS..3 * EXECUTORS {
        world.add_machine(&format!("m-{index}"), &plate);
    }
    sleep(Duration::from_millis(4_000));
    for index in 0..EXECUTORS {
        setting.record.line(&format!("job {}: {}", job(index), deployment.daemons[0].state(&job(index))));
    }
    Ok(())
}
