//! Random jobs and disturbances, drawn from the seed in `SEED`. Not a case.

use std::collections::BTreeSet;
use std::thread::sleep;
use std::time::{Duration, Instant};

use serde_json::json;

use super::Setting;
use crate::daemons::eventually;
use crate::world::Kind;

pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % limit
    }
}

pub fn run(setting: &Setting) -> Result<(), String> {
    let seed: u64 = std::env::var("SEED").ok().and_then(|text| text.parse().ok()).unwrap_or(1);
    let what = std::env::var("WHAT").unwrap_or("gang,timed,chain".to_owned());
    let whats: Vec<&str> = what.split(',').collect();
    let mut random = Random::new(seed);
    let mut deployment = setting.deploy();
    let world = deployment.world.clone();
    let guards = std::env::var("GUARDS").map_or(true, |value| value != "0");
    let plate = Kind { guards, ..Kind::new("press", "plate", "r1-1", 8_000) };
    deployment.store.put("op", "config", &super::configuration(guards));
    for index in 0..6 {
        world.add_machine(&format!("m-{index}"), &plate);
    }
    let executors = world.executor_ids();
    deployment.start_daemons(setting, 3)?;
    sleep(Duration::from_millis(1_500));
    let ends = Instant::now() + Duration::from_secs(45);
    let mut jobs: Vec<(String, bool)> = Vec::new();
    let mut cancelled: Vec<(String, f64)> = Vec::new();
    let mut crashed: BTreeSet<String> = BTreeSet::new();
    let mut stopped: Vec<(usize, Instant)> = Vec::new();
    let mut down: Vec<(usize, Instant)> = Vec::new();
    while Instant::now() < ends {
        let now = Instant::now();
        stopped.retain(|(daemon, until)| {
            if now >= *until {
                deployment.daemons[*daemon].signal("CONT");
            }
            now < *until
        });
        let back: Vec<usize> = down.iter().filter(|(_, until)| now >= *until).map(|(daemon, _)| *daemon).collect();
        down.retain(|(_, until)| now < *until);
        for daemon in back {
            deployment.daemons[daemon].start();
        }
        if random.below(10) < 4 && jobs.len() < 120 {
            let id = format!("{:016x}", (random.below(16) << 60) | (seed << 32) | jobs.len() as u64);
            let work = [200, 400, 800, 1_500][random.below(4) as usize];
            let (steps, extra) = match whats[random.below(whats.len() as u64) as usize] {
                "gang" => (
                    json!([{ "count": 2 + random.below(3), "cpu": 1_500, "memMb": 100, "estimateMs": work, "gang": true },
                        { "count": 1, "cpu": 1_000, "memMb": 100, "estimateMs": work, "after": [0] }]),
                    json!({}),
                ),
                "timed" => {
                    let now_ms =
                        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64;
                    (
                        json!([{ "count": 2, "cpu": 1_000, "memMb": 100, "estimateMs": work }]),
                        json!({ "times": 3, "firstRunMs": now_ms + 500, "intervalMs": 1_500 }),
                    )
                }
                _ => (
                    json!([{ "count": 4, "cpu": 1_000, "memMb": 100, "estimateMs": work, "antiAffinity": 1 },
                        { "count": 2, "cpu": 1_000, "memMb": 100, "estimateMs": work, "after": [0] }]),
                    json!({}),
                ),
            };
            world.add_job(&id, &steps);
            let mut body = json!({ "spec": format!("ms={work}"), "steps": steps });
            for (key, value) in extra.as_object().into_iter().flatten() {
                body[key] = value.clone();
            }
            let body = body.to_string();
            let mut is_accepted = false;
            for _ in 0..12 {
                let daemon = &deployment.daemons[random.below(3) as usize];
                if daemon.client(&setting.record, ("POST", &id), &body) == Some(200) {
                    is_accepted = true;
                    break;
                }
            }
            if is_accepted {
                jobs.push((id, false));
            }
        }
        if setting.has_trouble && random.below(100) < 14 {
            match random.below(10) {
                0 => {
                    let daemon = random.below(3) as usize;
                    if stopped.is_empty() {
                        deployment.daemons[daemon].signal("STOP");
                        setting.record.line(&format!("{} freezes", deployment.daemons[daemon].name));
                        stopped.push((daemon, now + Duration::from_millis(500 + random.below(3_500))));
                    }
                }
                1 => {
                    let daemon = random.below(3) as usize;
                    if down.is_empty() && stopped.iter().all(|(other, _)| *other != daemon) {
                        deployment.daemons[daemon].kill();
                        setting.record.line(&format!("{} is killed", deployment.daemons[daemon].name));
                        down.push((daemon, now + Duration::from_millis(300 + random.below(3_000))));
                    }
                }
                2 | 3 => {
                    let id = &executors[random.below(6) as usize];
                    let tasks = world.running_on(id);
                    let lost: Vec<String> = tasks
                        .iter()
                        .map(|task| task.rsplit_once('.').map_or(task.clone(), |(step, _)| step.to_owned()))
                        .collect();
                    if lost.iter().any(|step| crashed.contains(step)) {
                        continue;
                    }
                    crashed.extend(lost);
                    world.crash(
                        id,
                        Duration::from_millis(random.below(3_000)),
                        &plate,
                        Duration::from_millis(random.below(1_500)),
                    );
                }
                4 | 5 => world.cut(random.below(6) as usize, Duration::from_millis(500 + random.below(5_000))),
                6 => {
                    let name = deployment.daemons[random.below(3) as usize].name.clone();
                    let (time, late) = (500 + random.below(3_500), 1_000 + random.below(4_500));
                    setting.record.line(&format!(
                        "the store is silent to {name} for {time} ms, and performs its calls {late} ms late"
                    ));
                    deployment.store.fall_silent(&[&name], Duration::from_millis(time), Duration::from_millis(late));
                }
                7 => {
                    setting.record.line("the store drops its history");
                    deployment.store.drop_history();
                }
                8 if !jobs.is_empty() => {
                    let number = random.below(jobs.len() as u64) as usize;
                    let id = jobs[number].0.clone();
                    let daemon = &deployment.daemons[random.below(3) as usize];
                    let status = daemon.client(&setting.record, ("DELETE", &id), "");
                    jobs[number].1 = true;
                    if status.is_some_and(|status| status == 410 || status == 200) {
                        cancelled.push((id, setting.record.seconds()));
                    }
                }
                _ => world.delay_orders(random.below(6) as usize, Duration::from_millis(1_000 + random.below(4_000))),
            }
        }
        sleep(Duration::from_millis(50 + random.below(200)));
    }
    for (daemon, _) in stopped {
        deployment.daemons[daemon].signal("CONT");
    }
    for (daemon, _) in down {
        deployment.daemons[daemon].start();
    }
    setting.record.line("all disturbances are over");
    let mut open: BTreeSet<String> = jobs.iter().map(|(id, _)| id.clone()).collect();
    let daemons = &deployment.daemons;
    eventually(Duration::from_secs(40), || {
        open.retain(|id| {
            let state = daemons[0].state(id);
            let is_cancelled = jobs.iter().any(|(job, is_cancelled)| job == id && *is_cancelled);
            !(state.contains("completed") || (is_cancelled && state.contains("cancelled")))
        });
        sleep(Duration::from_millis(300));
        open.is_empty()
    });
    for id in &open {
        setting.record.broken(&format!("LOST: job {id} is {}", daemons[0].state(id)));
    }
    for (id, at_s) in &cancelled {
        if world.running_of(id) > 0 {
            setting.record.broken(&format!("UNASKED: job {id}, cancelled at {at_s:.1} s, is at work"));
        }
        if let Some((start_s, task)) = world.starts_of(id).into_iter().find(|(start_s, _)| *start_s > at_s + 12.0) {
            setting
                .record
                .broken(&format!("UNASKED: {task} starts at {start_s:.1} s, its job was cancelled at {at_s:.1} s"));
        }
    }
    setting.record.line(&format!("{} jobs", jobs.len()));
    Ok(())
}
