//! Waves of upkeep, while executors that are not part of them are restarted as planned, one after the other.

use std::thread::sleep;
use std::time::{Duration, Instant};

use serde_json::json;

use super::Setting;
use crate::daemons::eventually;
use crate::world::Kind;

const EXECUTORS: usize = 8;
/// Machines of one wave: 0.375 of all.
const DUE: usize = 3;
/// The grace of stol-grid. Stops take any time up to it.
const STOP_GRACE_MS: u64 = 900;
/// The lasting `work ms` of stol-grid.
const STARTUP: Duration = Duration::from_millis(700);
const JOBS: usize = 3;
const DRAIN: Duration = Duration::from_millis(2_500);
const DOWN: Duration = Duration::from_millis(500);
const GAP: Duration = Duration::from_millis(1_000);
const WATCHED: Duration = Duration::from_millis(80_000);

pub fn run(setting: &Setting) -> Result<(), String> {
    let mut deployment = setting.deploy();
    let world = deployment.world.clone();
    // Spread evenly over the grace by the order of the stops.
    let count = std::sync::atomic::AtomicU64::new(0);
    world.set_stops(STOP_GRACE_MS, move |_, _, _| {
        let number = count.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
        Duration::from_millis(number * 389 % STOP_GRACE_MS)
    });
    world.set_startup(STARTUP);
    let names: Vec<String> = (0..EXECUTORS).map(|index| format!("m-{index}")).collect();
    for name in &names {
        world.add_machine(name, &Kind::new("press", "plate", "r1-1", 16_000));
    }
    deployment.start_daemons(setting, 2)?;
    sleep(Duration::from_millis(2_000));
    let steps = json!([{ "count": 5, "cpu": 1_500, "memMb": 256, "estimateMs": 900, "longRunning": true, "optional": 1,
        "antiAffinity": 1 }]);
    for index in 0..JOBS {
        let id = format!("{:016x}", 0x5c0e_7a21_d94b_0000_u64 + index as u64);
        deployment.submit(setting, index % 2, &id, "ms=600000", steps.clone())?;
        if !eventually(Duration::from_secs(10), || world.running_of(&id) == 5) {
            return Err("the work items do not start".to_owned());
        }
    }
    sleep(Duration::from_millis(3_000));
    world.check_budgets();
    let begin = Instant::now();
    let (mut wave, mut first, mut restarted) = (0, 0, 0);
    let mut due: Vec<String> = Vec::new();
    let mut next_restart = begin + Duration::from_millis(700);
    while begin.elapsed() < WATCHED {
        if wave == 0 || world.upkeeps_of(wave) == due.len() {
            wave += 1;
            due = (0..DUE).map(|index| names[(first + index) % EXECUTORS].clone()).collect();
            first += DUE;
            world.set_cap(wave, 1);
            let row = json!({ "wave": wave, "machines": due, "durationS": 26, "cap": 1 });
            setting.record.line(&format!("the operator writes op/wave/{wave} {row}"));
            deployment.store.put("op", &format!("wave/{wave}"), &row);
        }
        if setting.has_trouble && Instant::now() >= next_restart {
            let other =
                (0..EXECUTORS).map(|index| &names[(restarted + index) % EXECUTORS]).find(|name| !due.contains(name));
            if let Some(id) = other.and_then(|name| world.executor_on(name)) {
                world.restart_as_planned(&id, DRAIN, DOWN);
                next_restart = Instant::now() + DRAIN + DOWN + GAP;
            }
            restarted += 1;
        }
        sleep(Duration::from_millis(20));
    }
    setting.record.line(&format!("{wave} waves, {restarted} restarts"));
    Ok(())
}
