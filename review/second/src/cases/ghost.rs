//! An executor is cut off and runs on, while an entry of another writer names its machine.

use std::thread::sleep;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::json;

use super::Setting;
use crate::daemons::eventually;
use crate::world::Kind;

const EXECUTORS: usize = 7;
/// One of seven executors is cut off for this long.
const CUT: Duration = Duration::from_millis(5_500);
const ENTRY_AFTER: Duration = Duration::from_millis(1_000);

pub fn run(setting: &Setting) -> Result<(), String> {
    let mut deployment = setting.deploy();
    let world = deployment.world.clone();
    let plate = Kind::new("press", "plate", "r1-1", 4_000);
    for index in 0..EXECUTORS {
        world.add_machine(&format!("m-{index}"), &plate);
    }
    deployment.start_daemons(setting, 2)?;
    sleep(Duration::from_millis(2_000));
    let jobs: Vec<String> = (0..4).map(|index| format!("{:016x}", 0x5c0e_7a21_d94b_0000_u64 + index as u64)).collect();
    for (index, job) in jobs.iter().enumerate() {
        let steps = json!([{ "count": 1, "cpu": 1_000, "memMb": 256, "estimateMs": 15_000 }]);
        deployment.submit(setting, index % 2, job, "ms=15000", steps)?;
    }
    if !eventually(Duration::from_secs(10), || jobs.iter().all(|job| world.running_of(job) == 1)) {
        return Err("the jobs do not start".to_owned());
    }
    sleep(Duration::from_millis(1_500));
    // The executor with the jobs, and its machine.
    let ids = world.executor_ids();
    let index = (0..EXECUTORS).max_by_key(|index| world.running_on(&ids[*index]).len()).unwrap_or(0);
    if setting.has_trouble {
        world.cut(index, CUT);
        sleep(ENTRY_AFTER);
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64);
        // `coldRemainingMs`, `seq`, `capacity` and `labels` are missing; `version` and `slots` are of another type.
        let entry = json!({
            "service": "press", "addr": "127.0.0.1:9", "zone": "hall-a", "state": "ready", "machine": format!("m-{index}"),
            "born": born, "version": 7, "slots": "many",
        });
        setting.record.line(&format!("another writer writes servers/agent-{index} {entry}"));
        deployment.store.put("servers", &format!("agent-{index}"), &entry);
    }
    sleep(Duration::from_millis(20_000));
    for job in &jobs {
        setting.record.line(&format!("job {job}: {}", deployment.daemons[0].state(job)));
    }
    Ok(())
}
