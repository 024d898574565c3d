//! Runs jobs on daemon processes while randomized faults are injected: signals kill, pause, stop and restart daemons,
//! and a proxy stalls or closes their connections to the store. The workers of the stand-in record violations, such as
//! a task that runs twice at the same time; there must be none, and every accepted job must complete.
//!
//! `SOAK_SEEDS=1..51 cargo test --release --test soak_tests` runs seeds 1 to 50; the default is seeds 1 to 3.

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
const TASK_RUN_TIME_MS: u64 = 300;
/// Tasks of the job that [`submit`] sends.
const TASKS_PER_JOB: usize = 4;
/// Timeout of a caller's request; a paused daemon does not answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

struct Daemon {
    name: String,
    /// Address of the job API for callers.
    front_address: String,
    settings_path: PathBuf,
    proxy: Proxy,
    child: Option<Child>,
}

fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").expect("a free port").local_addr().expect("an address").port()
}

fn prepare_daemon(seed: u64, number: usize, platform: &UsersPlatformStandIn) -> Daemon {
    let proxy = Proxy::start(platform.store_address);
    let name = format!("daemon-{number}");
    let front_address = format!("127.0.0.1:{}", free_port());
    let settings_path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}-{name}.json"));
    let readiness_address = ([127, 0, 0, 1], free_port()).into();
    let caller_address = front_address.parse().expect("an address");
    let text = platform.settings(&name, caller_address, readiness_address, proxy.address);
    std::fs::write(&settings_path, text).expect("the settings file is written");
    Daemon { name, front_address, settings_path, proxy, child: None }
}

impl Daemon {
    fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.settings_path.with_extension("log"))
            .expect("a log file");
        let child = Command::new(env!("CARGO_BIN_EXE_sardineseamd"))
            .arg("--control")
            .env("SARDINESEAM_BOOT", &self.settings_path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("the daemon starts"));
    }

    fn signal(&self, name: &str) {
        let Some(child) = &self.child else { return };
        let sent = Command::new("kill").args([&format!("-{name}"), &child.id().to_string()]).status();
        assert!(sent.expect("kill runs").success());
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Fails if the process has already exited.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A job id that no other seed or number has. Its highest digit varies, so that jobs spread over the partitions.
fn job_id(seed: u64, number: usize) -> String {
    format!("{:016x}", (seed << 32) | (number as u64) << 8 | (number as u64 % 8) << 60)
}

/// Sends a job to daemons chosen at random until one accepts it.
fn submit(daemons: &[Daemon], rng: &mut SmallRng, id: &str) {
    let body = br#"{"spec":"print","steps":[{"count":3,"cpu":1000,"memMb":100,"estimateMs":300},
        {"count":1,"cpu":1000,"memMb":100,"estimateMs":300,"after":[0]}]}"#;
    eventually("a daemon accepts the job", || {
        let daemon = &daemons[rng.random_range(0..daemons.len())];
        let headers = [("host", "print.example"), ("x-deadline-ms", "2000")];
        let answer = try_http_within(
            CALL_TIMEOUT,
            "POST",
            &format!("http://{}/jobs/{id}", daemon.front_address),
            &headers,
            body,
        );
        answer.is_some_and(|answer| answer.status == 200)
    });
}

fn is_completed(daemons: &[Daemon], id: &str) -> bool {
    daemons.iter().any(|daemon| {
        let headers = [("host", "print.example")];
        let answer =
            try_http_within(CALL_TIMEOUT, "GET", &format!("http://{}/jobs/{id}", daemon.front_address), &headers, b"");
        answer.is_some_and(|answer| answer.body.contains("completed"))
    })
}

/// A fault that has been injected, with the number of the daemon that it affects.
enum Fault {
    /// SIGKILL was sent.
    Killed(usize),
    /// SIGSTOP was sent.
    Paused(usize),
    /// SIGTERM was sent.
    Stopped(usize),
    /// The daemon's connections to the store are stalled or closed.
    StoreUnreachable(usize),
}

/// Injects a random fault: at the leader with a probability of 0.6, otherwise at a daemon chosen at random.
fn inject_fault(daemons: &mut [Daemon], platform: &UsersPlatformStandIn, rng: &mut SmallRng) -> Fault {
    let leader = platform.leader();
    let leader_number = daemons.iter().position(|daemon| Some(&daemon.name) == leader.as_ref());
    let target = match leader_number {
        Some(number) if rng.random_bool(0.6) => number,
        _ => rng.random_range(0..daemons.len()),
    };
    match rng.random_range(0..5) {
        0 => {
            daemons[target].kill();
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
            daemons[target].proxy.set_mode(if kind == 3 { Mode::Stall } else { Mode::Disconnect });
            Fault::StoreUnreachable(target)
        }
    }
}

/// Ends a fault; a daemon that was killed or stopped is started again.
fn clear_fault(daemons: &mut [Daemon], fault: &Fault) {
    match *fault {
        Fault::Killed(number) => daemons[number].start(),
        Fault::Paused(number) => daemons[number].signal("CONT"),
        Fault::Stopped(number) => {
            daemons[number].kill();
            daemons[number].start();
        }
        Fault::StoreUnreachable(number) => daemons[number].proxy.set_mode(Mode::Forward),
    }
}

fn run_seed(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let platform = UsersPlatformStandIn::start(WORKERS, TASK_RUN_TIME_MS);
    let mut daemons: Vec<Daemon> = (0..DAEMONS).map(|number| prepare_daemon(seed, number, &platform)).collect();
    daemons.iter_mut().for_each(Daemon::start);

    let mut fault: Option<(Fault, Instant)> = None;
    for number in 0..JOBS {
        submit(&daemons, &mut rng, &job_id(seed, number));
        if fault.as_ref().is_some_and(|(_, ends_at)| Instant::now() >= *ends_at) {
            clear_fault(&mut daemons, &fault.take().expect("a fault").0);
        }
        if fault.is_none() && rng.random_bool(0.3) {
            let duration_ms = rng.random_range(200..4_000);
            fault = Some((
                inject_fault(&mut daemons, &platform, &mut rng),
                Instant::now() + Duration::from_millis(duration_ms),
            ));
        }
    }
    if let Some((fault, _)) = fault {
        clear_fault(&mut daemons, &fault);
    }
    for number in 0..JOBS {
        let id = job_id(seed, number);
        eventually(&format!("seed {seed}: job {id} is completed"), || is_completed(&daemons, &id));
    }

    let (completed_tasks, violations) = platform.with_run_log(|log| (log.done.len(), log.violations.clone()));
    assert_eq!(violations, Vec::<String>::new(), "seed {seed}");
    assert_eq!(completed_tasks, JOBS * TASKS_PER_JOB, "seed {seed}");
}

fn seeds() -> Vec<u64> {
    let Ok(range) = std::env::var("SOAK_SEEDS") else { return vec![1, 2, 3] };
    let (from, to) = range.split_once("..").expect("SOAK_SEEDS must be FROM..TO, two numbers");
    let bound = |text: &str| text.parse::<u64>().expect("SOAK_SEEDS must be FROM..TO, two numbers");
    (bound(from)..bound(to)).collect()
}

#[test]
fn accepted_jobs_complete_once_despite_kills_pauses_stops_and_store_outages() {
    for seed in seeds() {
        run_seed(seed);
    }
}
