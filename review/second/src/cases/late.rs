//! A job needs a larger machine than its service has, and the calls about machines are unavailable when it comes.

use std::thread::sleep;
use std::time::Duration;

use serde_json::json;

use super::Setting;
use crate::world::{Kind, Provider};

/// The calls about machines are unavailable for this long.
const OUTAGE: Duration = Duration::from_millis(5_000);
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
    if setting.has_trouble {
        world.set_provider(Provider::Unavailable);
        setting.record.line("the calls for machines are unavailable");
    }
    let steps = json!([{ "count": 2, "cpu": 8_000, "memMb": 256, "estimateMs": 500 }]);
    deployment.submit(setting, 0, JOB, "ms=500", steps)?;
    sleep(OUTAGE);
    if setting.has_trouble {
        world.set_provider(Provider::Serves);
        setting.record.line("the calls for machines are served again");
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
