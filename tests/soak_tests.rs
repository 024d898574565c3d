//! Runs jobs on daemon processes while randomized faults are injected, several at the same time: signals kill, pause,
//! stop and restart daemons, a proxy stalls or closes their connections to the store, and workers restart under their
//! IDs, are cut off or execute orders late. The store throttles calls, applies writes without an answer, some of them seconds
//! late, goes silent in the middle of answers, and drops its history, at last while it is slow. Some daemons have links of little
//! bandwidth, on which a configuration that grows takes seconds to arrive. The workers of the stand-in record violations, such as a
//! task that runs twice at the same time; there must be none, every accepted job that is not cancelled must complete, and every
//! daemon must come to serve the newest configuration.
//! In a second test, workers restart and are cut off soon after, while long tasks run and leaders are killed.
//!
//! `SOAK_SEEDS=1..51 cargo test --release --test soak_tests` runs seeds 1 to 50; the default is seeds 1 to 3 of the first
//! test, and seed 1 of the second one.

mod support;

use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use sardineseam::{StoppingRuns, StoreFaults, UsersPlatformStandIn};
use support::control_daemon::ControlDaemon;
use support::control_faults::{inject_into_worker, Faults};
use support::recut_faults::{RecutPhase, RecutPlan};
use support::{eventually, try_http_within, Answer};

const DAEMONS: usize = 3;
const WORKERS: usize = 4;
/// Jobs are submitted in rounds, so that faults also meet workers without runs.
const ROUNDS: usize = 8;
const JOBS_PER_ROUND: usize = 5;
/// Partitions over which jobs are spread by their highest digit, and the number of those that all rounds use.
const PARTITIONS: usize = 8;
const COMMON_PARTITIONS: usize = 4;
const SHORT_RUN_MS: u64 = 300;
/// Runs of this time are often stopped before they end.
const LONG_RUN_MS: u64 = 1_500;
/// Longer than the longest lease.
const VERY_LONG_RUN_MS: u64 = 11_000;
/// Tasks of the job that [`submit`] sends.
const TASKS_PER_JOB: usize = 4;
/// Longest pause after a round.
const MAX_PAUSE_MS: u64 = 3_000;
const PAUSE_STEP: Duration = Duration::from_millis(10);
/// Time that each answer of the store takes while it is slow.
const SLOW_ANSWER_MS: u64 = 120;
/// Pause between the jobs of a burst.
const BURST_INTERVAL: Duration = Duration::from_millis(50);
const STORE_FAULTS: StoreFaults = StoreFaults { throttled: 0.01, unanswered: 0.02, stalled: 0.01, answer_ms: 0 };
/// Bandwidth of the links to the store that are narrow.
const NARROW_LINK_BYTES_PER_S: std::ops::Range<u64> = 150_000..600_000;
/// Queues that a configuration has in addition to the first one. The largest one takes seconds to arrive on a narrow link.
const FURTHER_QUEUES: std::ops::Range<usize> = 100..2_500;
/// Timeout of a caller's request; a paused daemon does not answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The second test: number of workers, of which each series of restarts and cuts affects half.
const RECUT_WORKERS: usize = 16;
const RECUT_SERIES: usize = 4;
const RECUT_SUBMITTERS: u64 = 3;
const RECUT_TASKS_PER_JOB: usize = 8;
/// So little that no task waits for a worker: a task that is released too early starts again at once.
const RECUT_TASK_CPU: u64 = 100;
/// Pause of a submitter after a job; the shorter ones are those around restarts.
const RECUT_PAUSE_MS: std::ops::Range<u64> = 300..1_200;
const RECUT_BURST_PAUSE_MS: std::ops::Range<u64> = 10..60;
/// Longer than the longest lease.
const RECUT_RUN_MS: std::ops::RangeInclusive<u64> = 11_000..=12_000;
const RECUT_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time from the last step until all jobs are final.
const RECUT_TIMEOUT: Duration = Duration::from_secs(150);
/// Share of the jobs that may be given up, because a task of theirs has crashed several workers as far as can be told.
const RECUT_GIVEN_UP: f64 = 0.1;

/// One run of the first test, or of the second one, which shares its daemons and platform.
struct Soak {
    seed: u64,
    rng: SmallRng,
    platform: UsersPlatformStandIn,
    daemons: Vec<ControlDaemon>,
    faults: Faults,
    /// IDs of the accepted jobs, and whether they were cancelled.
    jobs: Vec<(String, bool)>,
    /// Version of the configuration, and its number of further queues.
    configuration: (u64, usize),
}

/// A job id that no other seed or number has. Its highest digit tells the partition.
fn job_id(seed: u64, number: usize, partition: usize) -> String {
    format!("{:016x}", (seed << 32) | (number as u64) << 8 | (partition as u64) << 60)
}

fn call(daemon_address: &str, method: &str, id: &str, body: &str) -> Option<Answer> {
    let headers = [("host", "print.example"), ("x-deadline-ms", "2000")];
    let url = format!("http://{daemon_address}/jobs/{id}");
    try_http_within(CALL_TIMEOUT, method, &url, &headers, body.as_bytes())
}

impl Soak {
    fn start(test: &str, seed: u64, workers: usize) -> Soak {
        let stopping_runs = match seed % 3 {
            0 => StoppingRuns::Listed,
            1 => StoppingRuns::ListedByEvenWorkers,
            _ => StoppingRuns::Unlisted,
        };
        let platform = UsersPlatformStandIn::start_seeded(workers, SHORT_RUN_MS, stopping_runs, seed);
        platform.set_store_faults(STORE_FAULTS);
        let test = format!("{test}-{seed}");
        let mut daemons: Vec<ControlDaemon> =
            (0..DAEMONS).map(|number| ControlDaemon::prepare(&test, number, &platform)).collect();
        daemons.iter_mut().for_each(ControlDaemon::start);
        let rng = SmallRng::seed_from_u64(seed);
        Soak { seed, rng, platform, daemons, faults: Faults::default(), jobs: Vec::new(), configuration: (1, 0) }
    }

    /// Makes the links of up to two daemons narrow.
    fn narrow_links(&mut self) {
        for daemon in self.daemons.iter().take(DAEMONS - 1) {
            if self.rng.random_bool(0.5) {
                daemon.proxy.limit_bandwidth(self.rng.random_range(NARROW_LINK_BYTES_PER_S));
            }
        }
    }

    fn replace_configuration(&mut self) {
        self.configuration = (self.configuration.0 + 1, self.rng.random_range(FURTHER_QUEUES));
        self.platform.add_queues(self.configuration.0, self.configuration.1);
    }

    /// Waits until every daemon serves the newest configuration: its last queue is there, and the one after it is not.
    fn wait_for_configuration(&self) {
        let (version, queues) = self.configuration;
        let status = |daemon: &ControlDaemon, number: usize| {
            let url = format!("http://{}/more/{number}/", daemon.front_address);
            try_http_within(CALL_TIMEOUT, "GET", &url, &[("host", "print.example")], b"").map(|answer| answer.status)
        };
        for daemon in &self.daemons {
            eventually(&format!("seed {}: {} has configuration {version}", self.seed, daemon.name), || {
                status(daemon, queues - 1) == Some(200) && status(daemon, queues) == Some(404)
            });
        }
    }

    /// Sends a request to daemons chosen at random until one answers with one of these status codes.
    fn call_until_answered(&mut self, what: &str, (method, id, body): (&str, &str, &str), statuses: &[u16]) {
        let seed = self.seed;
        eventually(&format!("seed {seed}: {what} job {id}"), || {
            self.faults.clear_due(&mut self.daemons);
            let daemon = &self.daemons[self.rng.random_range(0..DAEMONS)];
            call(&daemon.front_address, method, id, body).is_some_and(|answer| statuses.contains(&answer.status))
        });
    }

    fn draw_job_body(&mut self) -> String {
        let run_ms = match self.rng.random_range(0..20) {
            0..7 => LONG_RUN_MS,
            7..9 => VERY_LONG_RUN_MS,
            _ => SHORT_RUN_MS,
        };
        format!(
            r#"{{"spec":"run-ms={run_ms}","steps":[{{"count":3,"cpu":1000,"memMb":100,"estimateMs":{run_ms}}},
            {{"count":1,"cpu":1000,"memMb":100,"estimateMs":{run_ms},"after":[0]}}]}}"#
        )
    }

    fn submit(&mut self) {
        let id = job_id(self.seed, self.jobs.len(), self.jobs.len() % COMMON_PARTITIONS);
        let body = self.draw_job_body();
        self.call_until_answered("a daemon accepts", ("POST", &id, &body), &[200]);
        self.jobs.push((id, false));
    }

    /// Submits the first jobs of some partitions, soon after each other, while the store is slow and has dropped its history,
    /// so that the leader reads all jobs again. No fault of a daemon follows, after which another leader would read them.
    fn submit_to_slow_store_without_history(&mut self) {
        let seed = self.seed;
        self.faults.clear_all(&mut self.daemons);
        let addresses: Vec<String> = self.daemons.iter().map(|daemon| daemon.front_address.clone()).collect();
        let burst: Vec<(String, String)> = (COMMON_PARTITIONS..PARTITIONS)
            .map(|partition| (job_id(seed, self.jobs.len() + partition, partition), self.draw_job_body()))
            .collect();
        self.platform.set_store_faults(StoreFaults { answer_ms: SLOW_ANSWER_MS, ..StoreFaults::default() });
        self.platform.drop_store_history();
        thread::sleep(Duration::from_millis(self.rng.random_range(0..2 * SLOW_ANSWER_MS)));
        thread::scope(|scope| {
            for (id, body) in &burst {
                let addresses = &addresses;
                scope.spawn(move || {
                    let mut daemons = addresses.iter().cycle();
                    eventually(&format!("seed {seed}: a daemon accepts job {id}"), || {
                        let answer = daemons.next().and_then(|address| call(address, "POST", id, body));
                        answer.is_some_and(|answer| answer.status == 200)
                    });
                });
                thread::sleep(BURST_INTERVAL);
            }
        });
        self.jobs.extend(burst.into_iter().map(|(id, _)| (id, false)));
    }

    fn cancel_random_job(&mut self) {
        let number = self.rng.random_range(0..self.jobs.len());
        let id = self.jobs[number].0.clone();
        self.call_until_answered("a daemon cancels", ("DELETE", &id, ""), &[200, 202, 204, 410]);
        self.jobs[number].1 = true;
    }

    fn run_round(&mut self) {
        for _ in 0..2 {
            if self.rng.random_bool(0.3) {
                self.faults.inject_into_daemon(&mut self.daemons, &self.platform, &mut self.rng);
            }
        }
        if self.rng.random_bool(0.3) {
            self.platform.drop_store_history();
        }
        if self.rng.random_bool(0.4) {
            self.replace_configuration();
        }
        for _ in 0..JOBS_PER_ROUND {
            if self.rng.random_bool(0.5) {
                inject_into_worker(&self.platform, WORKERS, &mut self.rng);
            }
            self.submit();
            if self.rng.random_bool(0.1) {
                self.cancel_random_job();
            }
        }
        let ends_at = Instant::now() + Duration::from_millis(self.rng.random_range(0..MAX_PAUSE_MS));
        while Instant::now() < ends_at {
            self.faults.clear_due(&mut self.daemons);
            if self.rng.random_bool(0.01) {
                inject_into_worker(&self.platform, WORKERS, &mut self.rng);
            }
            thread::sleep(PAUSE_STEP);
        }
    }

    /// Panics if the job has failed: no run fails, and no task loses runs or ends with two restarts of workers.
    fn is_final(&self, id: &str, is_cancelled: bool) -> bool {
        self.daemons.iter().filter_map(|daemon| call(&daemon.front_address, "GET", id, "")).any(|answer| {
            assert!(!answer.body.contains("failed"), "seed {}: job {id} has failed", self.seed);
            answer.body.contains("completed") || (is_cancelled && answer.body.contains("cancelled"))
        })
    }

    fn check_violations(&self) {
        let violations = self.platform.with_run_log(|log| log.violations.clone());
        assert_eq!(violations, Vec::<String>::new(), "seed {}", self.seed);
    }

    /// Waits until all jobs are final, and checks what the workers have executed.
    fn finish(&mut self) {
        self.faults.clear_all(&mut self.daemons);
        self.platform.set_store_faults(STORE_FAULTS);
        for (id, is_cancelled) in &self.jobs {
            eventually(&format!("seed {}: job {id} is final", self.seed), || {
                self.check_violations();
                self.is_final(id, *is_cancelled)
            });
        }
        self.check_violations();
        let kept: Vec<&String> = self.jobs.iter().filter(|(_, cancelled)| !cancelled).map(|(id, _)| id).collect();
        let is_kept = |task: &&String| kept.iter().any(|id| task.starts_with(id.as_str()));
        let completed_tasks = self.platform.with_run_log(|log| log.done.iter().filter(is_kept).count());
        assert_eq!(completed_tasks, kept.len() * TASKS_PER_JOB, "seed {}", self.seed);
    }
}

fn run_seed(seed: u64) {
    let started = Instant::now();
    let mut soak = Soak::start("soak", seed, WORKERS);
    soak.narrow_links();
    soak.replace_configuration();
    for _ in 0..ROUNDS {
        soak.run_round();
        soak.check_violations();
    }
    soak.submit_to_slow_store_without_history();
    soak.finish();
    soak.wait_for_configuration();
    soak.platform.with_run_log(|log| {
        println!(
            "seed {seed}: {} s, {} starts, {} of them before a restart was announced, {} stops, {} restarts of workers",
            started.elapsed().as_secs(),
            log.starts,
            log.starts_before_announcement,
            log.stops,
            log.restarts
        );
    });
}

/// Submits jobs until the plan is over; returns their IDs.
fn submit_until(phase: &RecutPhase, addresses: &[String], seed: u64, submitter: u64) -> Vec<String> {
    let mut rng = SmallRng::seed_from_u64(seed << 8 | submitter);
    let mut jobs = Vec::new();
    while !phase.is_over.load(Ordering::Relaxed) {
        let number = jobs.len() * RECUT_SUBMITTERS as usize + submitter as usize;
        let id = job_id(seed, number, number % PARTITIONS);
        let run_ms = if rng.random_bool(0.35) { rng.random_range(RECUT_RUN_MS) } else { SHORT_RUN_MS };
        let step =
            format!(r#"{{"count":{RECUT_TASKS_PER_JOB},"cpu":{RECUT_TASK_CPU},"memMb":100,"estimateMs":{run_ms}}}"#);
        let body = format!(r#"{{"spec":"run-ms={run_ms}","steps":[{step}]}}"#);
        eventually(&format!("seed {seed}: a daemon accepts job {id}"), || {
            let address = &addresses[rng.random_range(0..addresses.len())];
            call(address, "POST", &id, &body).is_some_and(|answer| answer.status == 200)
        });
        jobs.push(id);
        let is_burst = phase.is_burst.load(Ordering::Relaxed);
        let pause_ms = if is_burst { RECUT_BURST_PAUSE_MS } else { RECUT_PAUSE_MS };
        thread::sleep(Duration::from_millis(rng.random_range(pause_ms)));
    }
    jobs
}

/// Status of a job that is final: completed, or given up because its workers crashed more than once.
fn final_status(addresses: &[String], id: &str) -> Option<&'static str> {
    let answers = addresses.iter().filter_map(|address| call(address, "GET", id, ""));
    answers
        .into_iter()
        .find_map(|answer| ["completed", "failed"].into_iter().find(|status| answer.body.contains(status)))
}

fn run_recut_seed(seed: u64) {
    let started = Instant::now();
    let mut soak = Soak::start("recut", seed, RECUT_WORKERS);
    let addresses: Vec<String> = soak.daemons.iter().map(|daemon| daemon.front_address.clone()).collect();
    let plan = RecutPlan::start(&soak.platform, RECUT_WORKERS, RECUT_SERIES, &mut soak.rng);
    let phase = RecutPhase::default();
    let jobs: Vec<String> = thread::scope(|scope| {
        let (phase, addresses) = (&phase, &addresses);
        let submitters: Vec<_> = (0..RECUT_SUBMITTERS)
            .map(|submitter| scope.spawn(move || submit_until(phase, addresses, seed, submitter)))
            .collect();
        plan.play(&soak.platform, &mut soak.daemons, &mut soak.faults, phase);
        soak.faults.clear_all(&mut soak.daemons);
        submitters.into_iter().flat_map(|submitter| submitter.join().expect("jobs are accepted")).collect()
    });

    let waits_since = Instant::now();
    let mut given_up = 0;
    for id in &jobs {
        let status = loop {
            soak.check_violations();
            if let Some(status) = final_status(&addresses, id) {
                break status;
            }
            assert!(waits_since.elapsed() < RECUT_TIMEOUT, "seed {seed}: job {id} is not final");
            thread::sleep(RECUT_POLL_INTERVAL);
        };
        if status == "failed" {
            given_up += 1;
            continue;
        }
        let is_of_job = |task: &&String| task.starts_with(id.as_str());
        let completed_tasks = soak.platform.with_run_log(|log| log.done.iter().filter(is_of_job).count());
        assert_eq!(completed_tasks, RECUT_TASKS_PER_JOB, "seed {seed}: job {id}");
    }
    soak.check_violations();
    assert!(f64::from(given_up) <= jobs.len() as f64 * RECUT_GIVEN_UP, "seed {seed}: {given_up} jobs are given up");
    let (starts, restarts) = soak.platform.with_run_log(|log| (log.starts, log.restarts));
    println!(
        "recut seed {seed}: {} s, {} jobs, {given_up} of them given up, {starts} starts, {restarts} restarts of workers",
        started.elapsed().as_secs(),
        jobs.len()
    );
}

/// The seeds of `SOAK_SEEDS`, otherwise `default`.
fn seeds(default: &[u64]) -> Vec<u64> {
    let Ok(range) = std::env::var("SOAK_SEEDS") else { return default.to_vec() };
    let (from, to) = range.split_once("..").expect("SOAK_SEEDS must be FROM..TO, two numbers");
    let bound = |text: &str| text.parse::<u64>().expect("SOAK_SEEDS must be FROM..TO, two numbers");
    (bound(from)..bound(to)).collect()
}

#[test]
fn accepted_jobs_complete_once_despite_faults_of_daemons_stores_and_workers() {
    for seed in seeds(&[1, 2, 3]) {
        run_seed(seed);
    }
}

#[test]
fn no_task_runs_twice_on_workers_that_are_back_under_their_ids_and_cut_off() {
    for seed in seeds(&[1]) {
        run_recut_seed(seed);
    }
}
