//! The store gives two of six daemons no answers for a time, and performs one of their transactions seconds later. A client hands a
//! job in at one of them, sends it again at the other one, is refused there, and cancels the job.

use std::thread::sleep;
use std::time::Duration;

use serde_json::json;

use super::Setting;
use crate::world::Kind;

const JOB: &str = "5c0e7a21d94b36f8";
const DAEMONS: u8 = 6;
/// For this long, the store gives two of the daemons no answers.
const SILENCE: Duration = Duration::from_millis(4_000);
/// The store performs the first submission this long after their arrival.
const LATE: Duration = Duration::from_millis(5_500);
const CANCEL_S: f64 = 3.0;

pub fn run(setting: &Setting) -> Result<(), String> {
    let mut deployment = setting.deploy();
    let world = deployment.world.clone();
    for index in 0..3 {
        world.add_machine(&format!("m-{index}"), &Kind::new("press", "plate", "r1-1", 4_000));
    }
    deployment.start_daemons(setting, DAEMONS)?;
    sleep(Duration::from_millis(2_000));
    let leader = deployment.store.leader();
    let daemons: Vec<_> = deployment.daemons.iter().filter(|daemon| Some(&daemon.name) != leader.as_ref()).collect();
    let [first, second, third, ..] = daemons.as_slice() else { return Err("too few daemons".to_owned()) };
    if setting.has_trouble {
        deployment.store.fall_silent_but_once(&[&first.name, &second.name], SILENCE, LATE, JOB);
        let (silence_ms, late_ms) = (SILENCE.as_millis(), LATE.as_millis());
        setting.record.line(&format!(
            "for {silence_ms} ms, the store gives {} and {} no answers, and performs the first submission {late_ms} ms late",
            first.name, second.name
        ));
    }
    let steps = json!([{ "count": 1, "cpu": 1_000, "memMb": 256, "estimateMs": 20_000 }]);
    world.add_job(JOB, &steps);
    let body = json!({ "spec": "ms=20000", "steps": steps }).to_string();
    if first.client(&setting.record, ("POST", JOB), &body) != Some(200) {
        // After 504, the same job is sent again, at another daemon.
        second.client(&setting.record, ("POST", JOB), &body);
    }
    sleep(Duration::from_millis(200));
    let cancelled = third.client(&setting.record, ("DELETE", JOB), "");
    let cancelled_s = setting.record.seconds();
    if !cancelled.is_some_and(|status| status == 410 || (200..300).contains(&status)) {
        return Err("the cancelling is not acknowledged".to_owned());
    }
    // By then, the late transaction was performed more than 3 s before, so that no disturbance is near.
    sleep(Duration::from_millis(11_500));
    for (start_s, task) in world.starts_of(JOB) {
        let after_s = start_s - cancelled_s;
        setting.record.line(&format!("{task} was started {after_s:.1} s after the job's cancelling was acknowledged"));
    }
    let (running, now_s) = (world.running_of(JOB), setting.record.seconds());
    let state = third.state(JOB);
    setting.record.line(&format!("{running} work items of the job are at work; its state is {state}"));
    if running > 0 && now_s > cancelled_s + CANCEL_S {
        let after_s = now_s - cancelled_s;
        setting.record.broken(&format!(
            "UNASKED: a work item is at work {after_s:.1} s after its job's cancelling was acknowledged"
        ));
    }
    Ok(())
}
