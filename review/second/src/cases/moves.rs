//! Random demand in two pools, waves of upkeep and disturbances of the calls about machines. Not a case.

use std::collections::BTreeSet;
use std::thread::sleep;
use std::time::{Duration, Instant};

use serde_json::json;

use super::explore::Random;
use super::Setting;
use crate::daemons::eventually;
use crate::world::{Kind, Provider};

pub fn run(setting: &Setting) -> Result<(), String> {
    let seed: u64 = std::env::var("SEED").ok().and_then(|text| text.parse().ok()).unwrap_or(1);
    let mut random = Random::new(seed);
    let mut deployment = setting.deploy();
    let world = deployment.world.clone();
    let mut configuration = super::configuration(true);
    configuration["version"] = json!(5);
    let mut route = configuration["routes"][0].clone();
    route["name"] = json!("bound");
    route["pathPrefix"] = json!("/bound/");
    route["service"] = json!("bind");
    configuration["routes"].as_array_mut().unwrap().push(route);
    configuration["services"] = json!([{ "name": "press", "enforcesCapacity": true, "spare": false },
        { "name": "bind", "enforcesCapacity": true, "spare": false }, { "name": "store", "enforcesCapacity": true, "spare": true }]);
    deployment.store.put("op", "config", &configuration);
    for index in 0..12 {
        let service = ["press", "bind", "store"][index % 3];
        world.add_machine(&format!("m-{index:02}"), &Kind::new(service, "plate", &format!("r1-{}", index % 4), 4_000));
    }
    deployment.start_daemons(setting, 3)?;
    sleep(Duration::from_millis(1_500));
    if setting.has_trouble {
        world.set_unanswered(25);
    }
    let ends = Instant::now() + Duration::from_secs(45);
    let mut jobs: Vec<(String, String)> = Vec::new();
    let mut wave = 0;
    let mut long_count = 0;
    let mut number = 0;
    let mut down: Vec<(usize, Instant)> = Vec::new();
    let mut stopped: Vec<(usize, Instant)> = Vec::new();
    let mut outage_until: Option<Instant> = None;
    while Instant::now() < ends {
        let now = Instant::now();
        let back: Vec<usize> = down.iter().filter(|(_, until)| now >= *until).map(|(daemon, _)| *daemon).collect();
        down.retain(|(_, until)| now < *until);
        for daemon in back {
            deployment.daemons[daemon].start();
        }
        stopped.retain(|(daemon, until)| {
            if now >= *until {
                deployment.daemons[*daemon].signal("CONT");
            }
            now < *until
        });
        if outage_until.is_some_and(|until| now >= until) {
            outage_until = None;
            world.set_provider(Provider::Serves);
        }
        let turn = (setting.record.seconds() as u64 / 5) % 2;
        let prefix =
            if random.below(8) < 7 { ["jobs", "bound"][turn as usize] } else { ["bound", "jobs"][turn as usize] };
        if random.below(10) < 6 && number < 200 {
            let id = format!("{:016x}", (random.below(16) << 60) | (seed << 32) | number);
            let is_long = random.below(12) == 0 && long_count < 3;
            long_count += u64::from(is_long);
            let work = if is_long { 100_000 } else { [200, 400, 800, 1_500][random.below(4) as usize] };
            let steps = if is_long {
                json!([{ "count": 3, "cpu": 1_000, "memMb": 100, "estimateMs": work, "longRunning": true, "optional": 1 }])
            } else {
                json!([{ "count": 4, "cpu": 1_000, "memMb": 100, "estimateMs": work }])
            };
            number += 1;
            world.add_job(&id, &steps);
            world.set_service(&id, if prefix == "jobs" { "press" } else { "bind" });
            let body = json!({ "spec": format!("ms={work}"), "steps": steps }).to_string();
            for _ in 0..12 {
                let caller = deployment.daemons[random.below(3) as usize].caller();
                if caller.send_to(&setting.record, ("POST", &format!("/{prefix}/{id}")), &body) == Some(200) {
                    if !is_long {
                        jobs.push((id, prefix.to_owned()));
                    }
                    break;
                }
            }
        }
        if random.below(100) < 2 && wave < 3 {
            wave += 1;
            let machines: Vec<String> =
                (0..12).filter(|_| random.below(2) == 0).map(|index| format!("m-{index:02}")).collect();
            world.set_cap(wave, 2);
            deployment.store.put(
                "op",
                &format!("wave/{wave}"),
                &json!({ "wave": wave, "machines": machines, "durationS": 20, "cap": 2 }),
            );
        }
        if setting.has_trouble && random.below(100) < 12 {
            match random.below(5) {
                0 if down.is_empty() => {
                    let leader = deployment.store.leader();
                    let daemon =
                        (0..3).find(|index| Some(&deployment.daemons[*index].name) == leader.as_ref()).unwrap_or(0);
                    deployment.daemons[daemon].kill();
                    setting.record.line(&format!("{} is killed", deployment.daemons[daemon].name));
                    down.push((daemon, now + Duration::from_millis(200 + random.below(3_000))));
                }
                1 if stopped.is_empty() && down.is_empty() => {
                    let daemon = random.below(3) as usize;
                    deployment.daemons[daemon].signal("STOP");
                    setting.record.line(&format!("{} freezes", deployment.daemons[daemon].name));
                    stopped.push((daemon, now + Duration::from_millis(500 + random.below(5_000))));
                }
                2 | 3 if outage_until.is_none() => {
                    world.set_provider(Provider::Unavailable);
                    outage_until = Some(now + Duration::from_millis(300 + random.below(2_000)));
                }
                _ => {
                    let name = deployment.daemons[random.below(3) as usize].name.clone();
                    deployment.store.fall_silent(
                        &[&name],
                        Duration::from_millis(500 + random.below(3_000)),
                        Duration::from_millis(1_000 + random.below(4_500)),
                    );
                }
            }
        }
        sleep(Duration::from_millis(30 + random.below(120)));
    }
    for (daemon, _) in stopped {
        deployment.daemons[daemon].signal("CONT");
    }
    for (daemon, _) in down {
        deployment.daemons[daemon].start();
    }
    world.set_provider(Provider::Serves);
    let mut open: BTreeSet<(String, String)> = jobs.iter().cloned().collect();
    let daemons = &deployment.daemons;
    eventually(Duration::from_secs(40), || {
        open.retain(|(id, prefix)| !daemons[0].state_at(&format!("/{prefix}/{id}")).contains("completed"));
        sleep(Duration::from_millis(300));
        open.is_empty()
    });
    for (id, prefix) in &open {
        setting.record.broken(&format!("LOST: job {id} is {}", daemons[0].state_at(&format!("/{prefix}/{id}"))));
    }
    setting.record.line(&format!("{} jobs", jobs.len()));
    Ok(())
}
