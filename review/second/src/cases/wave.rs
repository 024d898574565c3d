//! The platform's calls for machines are unavailable for a short time, and an upkeep that they have begun gets no answer.

use std::sync::atomic::{AtomicU32, Ordering};
use std::thread::{sleep, spawn};
use std::time::Duration;

use serde_json::json;

use super::Setting;
use crate::daemons::eventually;
use crate::world::{Kind, Provider};

const WAVE: u64 = 1;
const MACHINES: usize = 12;
/// Machines that are due: 0.42 of all.
const DUE: usize = 5;
/// The calls are unavailable for this long, from the second and the fourth upkeep on.
const OUTAGE: Duration = Duration::from_millis(1_200);

pub fn run(setting: &Setting) -> Result<(), String> {
    let mut deployment = setting.deploy();
    let world = deployment.world.clone();
    let names: Vec<String> = (0..MACHINES).map(|index| format!("m-{index}")).collect();
    for name in &names {
        world.add_machine(name, &Kind::new("press", "plate", "r1-1", 4_000));
    }
    deployment.start_daemons(setting, 2)?;
    sleep(Duration::from_millis(3_000));
    if setting.has_trouble {
        let (count, provider, record) = (AtomicU32::new(0), world.clone(), setting.record.clone());
        world.set_upkeep_hook(move |_| {
            let number = count.fetch_add(1, Ordering::SeqCst) + 1;
            if number != 2 && number != 4 {
                return false;
            }
            let (provider, record) = (provider.clone(), record.clone());
            spawn(move || {
                provider.set_provider(Provider::Unavailable);
                record.line("the calls for machines are unavailable");
                sleep(OUTAGE);
                provider.set_provider(Provider::Serves);
                record.line("the calls for machines are served again");
            });
            true
        });
    }
    world.set_cap(WAVE, 1);
    let due = &names[..DUE];
    let wave = json!({ "wave": WAVE, "machines": due, "durationS": 30, "cap": 1 });
    setting.record.line(&format!("the operator writes op/wave/{WAVE} {wave}"));
    deployment.store.put("op", &format!("wave/{WAVE}"), &wave);
    let is_done = eventually(Duration::from_secs(60), || world.upkeeps_of(WAVE) == DUE);
    sleep(Duration::from_millis(3_500));
    let status = deployment.store.text("status", "", &format!("wave/{WAVE}")).unwrap_or_default();
    setting.record.line(&format!("all machines have had their upkeep: {is_done}; status {status}"));
    Ok(())
}
