//! Many jobs come at once, in a queue whose steps need the advice service's decision.

use std::collections::BTreeSet;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use serde_json::json;

use super::Setting;
use crate::world::{Advice, Kind};

const EXECUTORS: usize = 10;
/// A call that names all executors takes 200 ms.
const ADVICE: Advice =
    Advice { decide: Duration::from_millis(100), each: Duration::from_millis(10), valid: Duration::from_millis(3_000) };
/// Time between two jobs: the service is busy for 0.8 of the time.
const PAUSE: Duration = Duration::from_millis(250);
/// For [`BURST`], 2.6 times as many jobs come.
const BURST_FACTOR: f64 = 2.6;
const BURST: Duration = Duration::from_millis(4_000);
const TRAFFIC: Duration = Duration::from_millis(40_000);
const BURST_AT: Duration = Duration::from_millis(10_000);
/// `finish_s`.
const FINISH: Duration = Duration::from_millis(14_000);

pub fn run(setting: &Setting) -> Result<(), String> {
    let mut deployment = setting.deploy();
    let world = deployment.world.clone();
    world.set_advice(ADVICE);
    let mut configuration = super::configuration(true);
    configuration["version"] = json!(5);
    configuration["routes"][0]["advice"] = json!({ "decideMs": 100, "eachMs": 10, "validMs": 3_000 });
    deployment.store.put("op", "config", &configuration);
    for index in 0..EXECUTORS {
        world.add_machine(&format!("m-{index}"), &Kind::new("press", "plate", "r1-1", 16_000));
    }
    deployment.start_daemons(setting, 2)?;
    sleep(Duration::from_millis(2_000));
    let begin = Instant::now();
    let mut accepted: Vec<String> = Vec::new();
    let steps = json!([{ "count": 2, "cpu": 1_000, "memMb": 256, "estimateMs": 400 }]);
    let mut clients = Vec::new();
    let mut number = 0_u64;
    while begin.elapsed() < TRAFFIC {
        let id = format!("{:016x}", (number % 8) << 60 | 0x0c0e_7a21_d94b_0000 | number);
        number += 1;
        world.add_job(&id, &steps);
        let body = json!({ "spec": "ms=400", "steps": steps }).to_string();
        let (front, record) = (deployment.daemons[number as usize % 2].caller(), setting.record.clone());
        clients.push(spawn(move || (front.send(&record, ("POST", &id), &body) == Some(200)).then_some(id)));
        let is_burst = setting.has_trouble && (BURST_AT..BURST_AT + BURST).contains(&begin.elapsed());
        sleep(if is_burst { PAUSE.div_f64(BURST_FACTOR) } else { PAUSE });
    }
    setting.record.line("the traffic ends");
    for client in clients {
        accepted.extend(client.join().ok().flatten());
    }
    sleep(FINISH);
    let waiting = |id: &String| world.starts_of(id).is_empty();
    let before: BTreeSet<String> = accepted.iter().filter(|id| waiting(id)).cloned().collect();
    sleep(Duration::from_millis(3_000));
    let after: Vec<&String> = before.iter().filter(|id| waiting(id)).collect();
    setting.record.line(&format!(
        "{} jobs accepted, {} without a start for {} s",
        accepted.len(),
        after.len(),
        FINISH.as_secs() + 3
    ));
    if !after.is_empty() {
        setting.record.broken(&format!(
            "LOST: {} accepted jobs have nothing running, with room for them; the first is {}",
            after.len(),
            after[0]
        ));
    }
    Ok(())
}
