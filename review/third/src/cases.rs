//! The cases.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::daemons::{job_state, request, Daemon};
use crate::world::{Advice, Record, World, ADVICE_VALID_MS};
use crate::Verdict;

pub fn play(case: &str, record: &Path, folder: &Path, has_trouble: bool) -> Verdict {
    let setup = |services: Value, routes: Value| {
        let record = Record::create(record);
        record.line(&format!("case={case} trouble={has_trouble}"));
        World::start(record, &json!({ "version": 7, "routes": routes, "services": services, "limits": {} }))
    };
    match case {
        "forgotten-history" => {
            forgotten_history(&setup(services(&["press"]), routes(&[("jobs", "press")])), folder, has_trouble)
        }
        "advice" => {
            let settings = Advice { is_needed: true, decide_ms: 5, each_ms: 1 };
            let mut routes = routes(&[("jobs", "press")]);
            routes[0]["advice"] =
                json!({ "decideMs": settings.decide_ms, "eachMs": settings.each_ms, "validMs": ADVICE_VALID_MS });
            let world = setup(services(&["press"]), routes);
            world.lock().advice = settings;
            advice(&world, folder, has_trouble)
        }
        _ => Verdict::CouldNotRun(format!("no case {case}")),
    }
}

fn services(names: &[&str]) -> Value {
    let service = |name: &&str| {
        json!({ "name": name, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false,
        "enforcesCapacity": true, "spare": false })
    };
    names.iter().map(service).collect()
}

/// Routes by the name of their path and their service.
fn routes(routes: &[(&str, &str)]) -> Value {
    let route = |(name, service): &(&str, &str)| {
        json!({ "name": name, "host": "print.example",
        "pathPrefix": format!("/{name}/"), "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 600, "priority": 0,
        "service": service, "attempts": 3, "stretch": 1.6 })
    };
    routes.iter().map(route).collect()
}

fn start_daemons(world: &World, folder: &Path, count: usize) -> Result<Vec<Daemon>, Verdict> {
    let mut daemons: Vec<Daemon> = (0..count).map(|number| Daemon::prepare(world, folder, number)).collect();
    for daemon in &mut daemons {
        daemon.start();
    }
    for daemon in &daemons {
        if !daemon.wait_ready(Duration::from_secs(10)) {
            return Err(Verdict::CouldNotRun(format!("{} is not ready", daemon.name)));
        }
    }
    Ok(daemons)
}

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn wait_for(within: Duration, mut is_so: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + within;
    while Instant::now() < until {
        if is_so() {
            return true;
        }
        sleep_ms(50);
    }
    false
}

/// A job of one step.
fn job(spec: &str, step: Value) -> Value {
    json!({ "spec": spec, "steps": [step] })
}

fn submit(world: &World, daemon: &Daemon, path: &str, job: &Value) -> bool {
    (0..5).any(|_| {
        let answer = request(world, daemon, "POST", path, Some(job));
        let is_accepted = answer.is_some_and(|(status, _)| status == 200);
        if !is_accepted {
            sleep_ms(300);
        }
        is_accepted
    })
}

/// LOST: after `within`, each job must be completed, or have had something running within the last 3 s.
fn judge_jobs(world: &World, daemons: &[Daemon], paths: &[String], within: Duration) -> Verdict {
    let until = Instant::now() + within;
    let mut last_active: Vec<Instant> = vec![Instant::now(); paths.len()];
    while Instant::now() < until {
        for (path, at) in paths.iter().zip(&mut last_active) {
            let id = path.rsplit('/').next().unwrap_or("");
            if world.lock().active_runs(id) > 0 {
                *at = Instant::now();
            }
        }
        sleep_ms(50);
    }
    let mut broken = false;
    for (path, at) in paths.iter().zip(last_active) {
        let state = job_state(world, &daemons[0], path);
        let idle = at.elapsed();
        let active = world.lock().all_active_runs();
        let is_lost = !matches!(state.as_deref(), Some("completed")) && idle > Duration::from_secs(3);
        world.record.line(&format!(
            "job={path} state={state:?} nothing_running_for_ms={} runs_on_all_executors={active} lost={is_lost}",
            idle.as_millis()
        ));
        broken |= is_lost;
    }
    if broken {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// LOST: the store is slow and forgets its history while the first jobs of a rush arrive.
fn forgotten_history(world: &World, folder: &Path, has_trouble: bool) -> Verdict {
    const SLOW_ANSWER_MS: u64 = 240;
    const SLOW_FOR: Duration = Duration::from_millis(4_500);
    for machine in ["m-1", "m-2", "m-3"] {
        world.add_machine(machine, "press", &["a", "r1-1"], 16_000);
    }
    let daemons = match start_daemons(world, folder, 2) {
        Ok(daemons) => daemons,
        Err(verdict) => return verdict,
    };
    let lasting = json!({ "count": 1, "cpu": 1000, "memMb": 512, "longRunning": true });
    if !submit(world, &daemons[0], "/jobs/0000000000000a10", &job("cpu=1000 mem=512", lasting))
        || !wait_for(Duration::from_secs(10), || world.lock().active_runs("0000000000000a10") == 1)
    {
        return Verdict::CouldNotRun("the first job does not run".to_owned());
    }
    sleep_ms(3_000);
    let slow_until = Instant::now() + SLOW_FOR;
    if has_trouble {
        world.slow_store(Some(SLOW_ANSWER_MS));
    }
    sleep_ms(1_500);
    if has_trouble {
        world.drop_history();
    }
    let small = job("run-ms=500 cpu=1000 mem=512", json!({ "count": 2, "cpu": 1000, "memMb": 512, "estimateMs": 500 }));
    let paths: Vec<String> = (1..8).map(|digit| format!("/jobs/{digit}000000000000b0{digit}")).collect();
    // Each client sends its job, and sends it again until it is accepted.
    let accepted = thread::scope(|scope| {
        let mut clients = Vec::new();
        for (number, path) in paths.iter().enumerate() {
            let (daemon, small) = (&daemons[number % 2], &small);
            clients.push(scope.spawn(move || submit(world, daemon, path, small)));
            sleep_ms(75);
        }
        clients.into_iter().all(|client| client.join().unwrap_or(false))
    });
    if !accepted {
        return Verdict::CouldNotRun("a job is not accepted".to_owned());
    }
    thread::sleep(slow_until.saturating_duration_since(Instant::now()));
    world.slow_store(None);
    // All is calm from here on.
    sleep_ms(5_000);
    judge_jobs(world, &daemons, &paths, Duration::from_secs(14))
}

/// LOST: the executors with a label crash, and come back under new ids.
fn advice(world: &World, folder: &Path, has_trouble: bool) -> Verdict {
    const LABELLED: [&str; 2] = ["m-1", "m-2"];
    const OTHERS: usize = 60;
    const OTHERS_IN_RACK: usize = 12;
    const DOWN_MS: u64 = 4_500;
    for machine in LABELLED {
        world.add_machine(machine, "press", &["a", "r1-1"], 16_000);
    }
    for number in 0..OTHERS {
        let rack = format!("r1-{}", number / OTHERS_IN_RACK + 2);
        world.add_machine(&format!("m-{}", number + 3), "press", &["b", &rack], 16_000);
    }
    let daemons = match start_daemons(world, folder, 2) {
        Ok(daemons) => daemons,
        Err(verdict) => return verdict,
    };
    let step = json!({ "count": 2, "cpu": 1000, "memMb": 512, "estimateMs": 500, "requiredLabel": "a" });
    let labelled = job("run-ms=500 cpu=1000 mem=512", step);
    let first = "/jobs/00000000000000a1";
    let is_done = submit(world, &daemons[0], first, &labelled)
        && wait_for(Duration::from_secs(10), || job_state(world, &daemons[1], first).as_deref() == Some("completed"));
    if !is_done {
        return Verdict::CouldNotRun("the first job is not completed".to_owned());
    }
    if has_trouble {
        for machine in LABELLED {
            world.crash_machine(machine, DOWN_MS);
        }
    }
    // All is calm from the end of this time on.
    sleep_ms(DOWN_MS + 7_000);
    let up = world.lock().up_count();
    world.record.line(&format!("executors up={up}"));
    let second = "/jobs/00000000000000b2";
    if !submit(world, &daemons[1], second, &labelled) {
        return Verdict::CouldNotRun("the second job is not accepted".to_owned());
    }
    // Other jobs of the queue come and go.
    let other = json!({ "count": 2, "cpu": 1000, "memMb": 512, "estimateMs": 500 });
    let other = job("run-ms=500 cpu=1000 mem=512", other);
    for number in 0..10 {
        if !submit(world, &daemons[number % 2], &format!("/jobs/000000000000c0{number:02}"), &other) {
            return Verdict::CouldNotRun("another job is not accepted".to_owned());
        }
        sleep_ms(1_000);
    }
    judge_jobs(world, &daemons, &[second.to_owned()], Duration::from_secs(14))
}
