//! An executor with a work item that serves is lost for good, and all others with room run work items that fill.

use std::thread::sleep;
use std::time::Duration;

use serde_json::json;

use super::Setting;
use crate::daemons::eventually;
use crate::world::Kind;

const EXECUTORS: usize = 8;
const FILLING: &str = "5c0e7a21d94b0001";
const SERVING: &str = "5c0e7a21d94b0002";
const BINDING: &str = "5c0e7a21d94b0003";

pub fn run(setting: &Setting) -> Result<(), String> {
    let mut deployment = setting.deploy();
    let world = deployment.world.clone();
    for index in 0..EXECUTORS {
        world.add_machine(&format!("m-{index}"), &Kind::new("press", "plate", "r1-1", 16_000));
    }
    // Another service, whose machines are in use as well.
    let mut configuration = super::configuration(true);
    configuration["version"] = json!(5);
    configuration["services"] = json!([{ "name": "press", "enforcesCapacity": true, "spare": false },
        { "name": "bind", "enforcesCapacity": true, "spare": false }]);
    let mut route = configuration["routes"][0].clone();
    route["name"] = json!("binding");
    route["pathPrefix"] = json!("/binding/");
    route["service"] = json!("bind");
    configuration["routes"] = json!([configuration["routes"][0].clone(), route]);
    deployment.store.put("op", "config", &configuration);
    for index in 0..4 {
        world.add_machine(&format!("b-{index}"), &Kind::new("bind", "plate", "r1-2", 16_000));
    }
    deployment.start_daemons(setting, 2)?;
    sleep(Duration::from_millis(2_000));
    let filling = json!([{ "count": 4, "cpu": 4_000, "memMb": 256, "estimateMs": 900, "longRunning": true, "fills": true,
        "antiAffinity": 1, "image": "plates" }]);
    let serving = json!([{ "count": 4, "cpu": 1_500, "memMb": 256, "estimateMs": 900, "longRunning": true, "targetMs": 200,
        "antiAffinity": 1, "optional": 1, "image": "press" }]);
    for (job, steps) in [(FILLING, filling), (SERVING, serving)] {
        deployment.submit(setting, 0, job, "ms=600000", steps)?;
        if !eventually(Duration::from_secs(10), || world.running_of(job) == 4) {
            return Err(format!("the work items of {job} do not start"));
        }
    }
    let binding = json!([{ "count": 4, "cpu": 1_500, "memMb": 256, "estimateMs": 900, "longRunning": true,
        "antiAffinity": 1, "optional": 1, "image": "bind" }]);
    world.add_job(BINDING, &binding);
    let body = json!({ "spec": "ms=600000", "steps": binding }).to_string();
    deployment.daemons[0].caller().send_to(&setting.record, ("POST", &format!("/binding/{BINDING}")), &body);
    if !eventually(Duration::from_secs(10), || world.running_of(BINDING) == 4) {
        return Err("the work items of the other service do not start".to_owned());
    }
    sleep(Duration::from_millis(3_000));
    if setting.has_trouble {
        let executors = world.executors_of(&format!("{SERVING}.0.0"));
        world.lose(&executors[0].0);
    }
    // The lease of the lost run is over after 10 s; then 6 s, 4 s and 3 s, and some more.
    for _ in 0..8 {
        sleep(Duration::from_millis(4_000));
        let (serves, fills) = (world.running_of(SERVING), world.running_of(FILLING));
        setting.record.line(&format!("at work: {serves} of 4 that serve, {fills} of 4 that fill"));
    }
    for machine in world.machines() {
        setting.record.line(&machine);
    }
    // None of its work items has been started since the loss, so that one has had nothing running all the time.
    let starts = world.starts_of(SERVING).len();
    setting.record.line(&format!("starts of work items that serve in all: {starts}"));
    if world.running_of(SERVING) < 4 && starts == 4 {
        setting.record.broken(
            "LOST: a work item that lasts has nothing running for over 20 s, with room for it on four executors",
        );
    }
    Ok(())
}
