//! Randomized faults from outside around real daemons: kills, pauses, stops and restarts by signals, and a store that is
//! silent or gone behind a proxy. Workers check what they see; every accepted job must be done in the end.
//!
//! `SOAK_SEEDS=1..51 cargo test --release --test soak_tests` plays the seeds given; without it, a few fixed ones.

mod support;

use std::fs::File;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use sardineseam::UsersPlatformStandIn;
use support::proxy::{Mode, Proxy};
use support::{eventually, try_http_within};

const DAEMONS: usize = 3;
const WORKERS: usize = 4;
const JOBS: usize = 40;
const RUN_TIME_MS: u64 = 300;
const TASKS_PER_JOB: usize = 4;
/// How long a caller waits for a daemon, which may be paused.
const PATIENCE: Duration = Duration::from_secs(2);

struct Daemon {
    name: String,
    front: String,
    settings: PathBuf,
    proxy: Proxy,
    child: Option<Child>,
}

fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").expect("a free port").local_addr().expect("an address").port()
}

fn daemon(seed: u64, number: usize, platform: &UsersPlatformStandIn) -> Daemon {
    let proxy = Proxy::start(platform.store_address);
    let name = format!("daemon-{number}");
    let front = format!("127.0.0.1:{}", free_port());
    let settings = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}-{name}.json"));
    let readiness = ([127, 0, 0, 1], free_port()).into();
    let callers = front.parse().expect("an address");
    let text = platform.settings(&name, callers, readiness, proxy.address);
    std::fs::write(&settings, text).expect("a settings file");
    Daemon { name, front, settings, proxy, child: None }
}

impl Daemon {
    fn start(&mut self) {
        let log = File::options().create(true).append(true).open(self.settings.with_extension("log")).expect("a file");
        let child = Command::new(env!("CARGO_BIN_EXE_sardineseamd"))
            .arg("--control")
            .env("SARDINESEAM_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a file"))
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("the daemon starts"));
    }

    fn signal(&self, name: &str) {
        let Some(child) = &self.child else { return };
        let sent = Command::new("kill").args([&format!("-{name}"), &child.id().to_string()]).status();
        assert!(sent.expect("kill runs").success());
    }

    fn end(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.end();
    }
}

fn job_id(seed: u64, number: usize) -> String {
    format!("{:016x}", (seed << 32) | (number as u64) << 8 | (number as u64 % 8) << 60)
}

/// Sends a job until some daemon accepts it.
fn submit(daemons: &[Daemon], rng: &mut SmallRng, id: &str) {
    let body = br#"{"spec":"print","steps":[{"count":3,"cpu":1000,"memMb":100,"estimateMs":300},
        {"count":1,"cpu":1000,"memMb":100,"estimateMs":300,"after":[0]}]}"#;
    eventually("a daemon accepts the job", || {
        let daemon = &daemons[rng.random_range(0..daemons.len())];
        let headers = [("host", "print.example"), ("x-deadline-ms", "2000")];
        let answer = try_http_within(PATIENCE, "POST", &format!("http://{}/jobs/{id}", daemon.front), &headers, body);
        answer.is_some_and(|answer| answer.status == 200)
    });
}

fn is_completed(daemons: &[Daemon], id: &str) -> bool {
    daemons.iter().any(|daemon| {
        let headers = [("host", "print.example")];
        let answer = try_http_within(PATIENCE, "GET", &format!("http://{}/jobs/{id}", daemon.front), &headers, b"");
        answer.is_some_and(|answer| answer.body.contains("completed"))
    })
}

/// A fault that begins, and what ends it.
enum Fault {
    Killed(usize),
    Paused(usize),
    Stopped(usize),
    Store(usize),
}

fn strike(daemons: &mut [Daemon], platform: &UsersPlatformStandIn, rng: &mut SmallRng) -> Fault {
    let leader = platform.leader();
    let leading = daemons.iter().position(|daemon| Some(&daemon.name) == leader.as_ref());
    let target = match leading {
        Some(number) if rng.random_bool(0.6) => number,
        _ => rng.random_range(0..daemons.len()),
    };
    match rng.random_range(0..5) {
        0 => {
            daemons[target].end();
            Fault::Killed(target)
        }
        1 => {
            daemons[target].signal("STOP");
            Fault::Paused(target)
        }
        2 => {
            daemons[target].signal("TERM");
            Fault::Stopped(target)
        }
        kind => {
            daemons[target].proxy.set(if kind == 3 { Mode::Silent } else { Mode::Cut });
            Fault::Store(target)
        }
    }
}

fn heal(daemons: &mut [Daemon], fault: &Fault) {
    match *fault {
        Fault::Killed(number) => daemons[number].start(),
        Fault::Paused(number) => daemons[number].signal("CONT"),
        Fault::Stopped(number) => {
            daemons[number].end();
            daemons[number].start();
        }
        Fault::Store(number) => daemons[number].proxy.set(Mode::Pass),
    }
}

fn play(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let platform = UsersPlatformStandIn::start(WORKERS, RUN_TIME_MS);
    let mut daemons: Vec<Daemon> = (0..DAEMONS).map(|number| daemon(seed, number, &platform)).collect();
    daemons.iter_mut().for_each(Daemon::start);

    let mut fault: Option<(Fault, Instant)> = None;
    for number in 0..JOBS {
        submit(&daemons, &mut rng, &job_id(seed, number));
        if fault.as_ref().is_some_and(|(_, until)| Instant::now() >= *until) {
            heal(&mut daemons, &fault.take().expect("a fault").0);
        }
        if fault.is_none() && rng.random_bool(0.3) {
            let for_ms = rng.random_range(200..4_000);
            fault = Some((strike(&mut daemons, &platform, &mut rng), Instant::now() + Duration::from_millis(for_ms)));
        }
    }
    if let Some((fault, _)) = fault {
        heal(&mut daemons, &fault);
    }
    for number in 0..JOBS {
        let id = job_id(seed, number);
        eventually(&format!("seed {seed}: job {id} is completed"), || is_completed(&daemons, &id));
    }

    let (done, violations) = platform.with_run_log(|log| (log.done.len(), log.violations.clone()));
    assert_eq!(violations, Vec::<String>::new(), "seed {seed}");
    assert_eq!(done, JOBS * TASKS_PER_JOB, "seed {seed}");
}

fn seeds() -> Vec<u64> {
    let Ok(range) = std::env::var("SOAK_SEEDS") else { return vec![1, 2, 3] };
    let (from, to) = range.split_once("..").expect("SOAK_SEEDS must be FROM..TO");
    let bound = |text: &str| text.parse::<u64>().expect("SOAK_SEEDS must be FROM..TO");
    (bound(from)..bound(to)).collect()
}

#[test]
fn accepted_jobs_are_done_once_through_kills_pauses_and_cuts() {
    for seed in seeds() {
        play(seed);
    }
}
