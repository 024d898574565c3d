//! A wave of upkeep, while executors that are not part of it are shut down as planned.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use serde_json::json;

use super::Setting;
use crate::daemons::eventually;
use crate::world::Kind;

const EXECUTORS: usize = 8;
/// Machines that are due: 0.375 of all.
const DUE: usize = 3;
/// The grace of stol-grid.
const STOP_GRACE_MS: u64 = 900;
/// How long stops take on executors of the wave, and on those that drain.
const SLOW_STOP: Duration = Duration::from_millis(700);
const QUICK_STOP: Duration = Duration::from_millis(100);
const JOBS: usize = 3;
/// Executors that are shut down: 0.375 of all, one at a time.
const MAX_DRAINS: usize = 3;
/// Time from a stop for the wave to the report of an executor that drains.
const DRAIN_AFTER: Duration = Duration::from_millis(200);
const DRAIN: Duration = Duration::from_millis(2_500);
const DOWN: Duration = Duration::from_millis(500);
const GAP: Duration = Duration::from_millis(1_000);

/// Executors that have reported that they drain, and when the last one did.
#[derive(Default)]
struct Drained {
    ids: BTreeSet<String>,
    last: Option<Instant>,
}

pub fn run(setting: &Setting) -> Result<(), String> {
    let mut deployment = setting.deploy();
    let world = deployment.world.clone();
    let drained: Arc<Mutex<Drained>> = Arc::default();
    let due: Vec<String> = (0..DUE).map(|index| format!("m-{index}")).collect();
    let (draining, planning, trouble, spared) = (drained.clone(), world.clone(), setting.has_trouble, due.clone());
    world.set_stops(STOP_GRACE_MS, move |task, _, drains| {
        if drains {
            return QUICK_STOP;
        }
        // An executor of the same step, outside the wave, reports that it drains; one at a time.
        let (draining, planning, spared) = (draining.clone(), planning.clone(), spared.clone());
        let step = task.rsplit_once('.').map_or("", |(step, _)| step).to_owned();
        if trouble {
            spawn(move || {
                sleep(DRAIN_AFTER);
                let mut draining = draining.lock().expect("lock");
                let is_one_draining = draining.last.is_some_and(|at| at.elapsed() < DRAIN + DOWN + GAP);
                let others = planning.executors_of(&step);
                let other = others.iter().find(|(id, machine)| !spared.contains(machine) && !draining.ids.contains(id));
                if let Some((id, _)) = other.filter(|_| !is_one_draining && draining.ids.len() < MAX_DRAINS) {
                    draining.ids.insert(id.clone());
                    draining.last = Some(Instant::now());
                    planning.restart_as_planned(id, DRAIN, DOWN);
                }
            });
        }
        SLOW_STOP
    });
    for index in 0..EXECUTORS {
        world.add_machine(&format!("m-{index}"), &Kind::new("press", "plate", "r1-1", 16_000));
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
    world.set_cap(1, 1);
    let wave = json!({ "wave": 1, "machines": due, "durationS": 26, "cap": 1 });
    setting.record.line(&format!("the operator writes op/wave/1 {wave}"));
    deployment.store.put("op", "wave/1", &wave);
    let is_done = eventually(Duration::from_secs(45), || world.upkeeps_of(1) == DUE);
    setting.record.line(&format!("all machines have had their upkeep: {is_done}"));
    Ok(())
}
