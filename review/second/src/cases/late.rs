//! A job needs a larger machine than its service has, and the leader is killed right after the job was accepted.

use std::thread::sleep;
use std::time::Duration;

use serde_json::json;

use super::Setting;
use crate::world::Kind;

/// The leader is down for this long.
const DOWN: Duration = Duration::from_millis(3_000);
/// `finish_s`, after which nothing may be missing for 3 s.
const FINISH: Duration = Duration::from_millis(14_000);
const JOB: &str = "5c0e7a21d94b36f8";

pub fn run(setting: &Setting) -> Result<(), String> {
    let mut deployment = setting.deploy();
    let world = deployment.world.clone();
    let mut configuration = super::configuration(true);
    configuration["version"] = json!(5);
    configuration["services"] = json!([{ "name": "press", "enforcesCapacity": true, "spare": false },
        { "name": "store", "enforcesCapacity": true, "spare": true }]);
    deployment.store.put("op", "config", &configuration);
    for index in 0..4 {
        world.add_machine(&format!("m-{index}"), &Kind::new("press", "plate", "r1-1", 4_000));
    }
    for index in 4..7 {
        world.add_machine(&format!("m-{index}"), &Kind::new("store", "plate", "r1-2", 16_000));
    }
    deployment.start_daemons(setting, 2)?;
    sleep(Duration::from_millis(3_000));
    let leader = deployment.store.leader();
    let leading = deployment.daemons.iter().position(|daemon| Some(&daemon.name) == leader.as_ref()).unwrap_or(0);
    let steps = json!([{ "count": 2, "cpu": 8_000, "memMb": 256, "estimateMs": 500 }]);
    deployment.submit(setting, 1 - leading, JOB, "ms=500", steps)?;
    if setting.has_trouble {
        deployment.daemons[leading].kill();
        setting.record.line("the leader is killed");
    }
    sleep(DOWN);
    if setting.has_trouble {
        deployment.daemons[leading].start();
        setting.record.line("it starts again");
    }
    for wait in [FINISH, Duration::from_millis(3_000), FINISH] {
        sleep(wait);
        let state = deployment.daemons[0].state(JOB);
        setting
            .record
            .line(&format!("{} work items have started; the job's state is {state}", world.starts_of(JOB).len()));
    }
    for machine in world.machines() {
        setting.record.line(&machine);
    }
    if world.starts_of(JOB).is_empty() {
        setting
            .record
            .broken(&format!("LOST: no work item of job {JOB} has started, with idle machines that can run them"));
    }
    Ok(())
}
