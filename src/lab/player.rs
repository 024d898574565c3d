//! Plays a workload against the simulated platform.

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Poisson};

use super::arrivals::rate_at;
use super::outcome::{Outcome, QueueOutcome, Sample};
use super::policy::PolicySet;
use super::sizes::factor;
use super::workload::{Fault, LongRunningLoad, QueueLoad, Workload};
use crate::clock::{MS_PER_S, US_PER_MS};
use crate::control::admission::{admit, ReceivedReport};
use crate::sched::critical_path::critical_path_ms;
use crate::sched::job::TimeBudget;
use crate::sched::model::{
    Catalog, JobId, JobPhase, JobSpec, PoolConfig, Queue, Resources, Step, TaskRef, WorkerEntry,
};
use crate::sched::organisation::{Organisation, Organisations};
use crate::sched::scheduler::SchedSettings;
use crate::sched::sim::{spec, Faults, Sim, START_UNIX_MS};

const SPARE_POOL: &str = "spare";
/// Time before the first arrival, in which long-running work starts.
const WARM_UP_MS: u64 = 6_000;
/// Time after the last arrival in which jobs may complete.
const DRAIN_MS: u64 = 20_000;
const STEP_MS: u64 = 20;
const SAMPLE_INTERVAL_MS: u64 = 200;
const MIN_RUN_MS: f64 = 50.0;
const HOSTS_PER_RACK: usize = 20;

/// A job that has not completed.
#[derive(Debug)]
struct OpenJob {
    queue: usize,
    submitted_us: u64,
    on_time_until_us: u64,
    late_until_us: u64,
}

#[derive(Debug, Default)]
struct QueueCounts {
    outcome: QueueOutcome,
    earned: f64,
    completion_ms: Vec<u64>,
}

struct Player<'a> {
    workload: &'a Workload,
    sim: Sim,
    rng: SmallRng,
    queues: Vec<Arc<Queue>>,
    rates: Vec<Vec<(f64, f64)>>,
    open: BTreeMap<JobId, OpenJob>,
    counts: Vec<QueueCounts>,
    outcome: Outcome,
    job_count: u64,
    begin_us: u64,
    next_fault: usize,
    organisations: Organisations,
}

/// Plays a workload from a seed.
pub fn play(workload: &Workload, seed: u64, policies: &PolicySet) -> Outcome {
    let mut faults = workload.faults.clone();
    faults.sort_by(|left, right| left.at_s().total_cmp(&right.at_s()));
    let workload = Workload { faults, ..workload.clone() };
    let mut player = Player::new(&workload, seed, policies);
    let length_ms = (workload.length_s * MS_PER_S as f64) as u64;
    for elapsed_ms in (0..length_ms + DRAIN_MS).step_by(STEP_MS as usize) {
        player.begin_faults(elapsed_ms as f64 / MS_PER_S as f64);
        if elapsed_ms < length_ms {
            player.submit_arrivals(elapsed_ms as f64 / MS_PER_S as f64);
        }
        player.sim.run_for(STEP_MS);
        player.record_completions();
        player.record_fleet(elapsed_ms);
    }
    player.finish()
}

impl<'a> Player<'a> {
    fn new(workload: &'a Workload, seed: u64, policies: &PolicySet) -> Player<'a> {
        let queues: Vec<Arc<Queue>> = workload.queues.iter().map(queue).collect();
        let settings = SchedSettings {
            max_lease_ms: 6_000,
            stop_grace_ms: 200,
            leader_change_wait_ms: 3_000,
            host_move_ms: workload.hosts.move_ms,
            host_maintenance_ms: 2_000,
            host_orders_per_s: workload.hosts.orders_per_s,
            policies: policies.policies,
        };
        let mut sim = Sim::with_entries(seed, entries(workload), Faults::default(), settings);
        sim.stragglers.report_progress = true;
        let catalog = catalog(workload, &queues);
        let organisations = catalog.organisations.clone();
        sim.add_hosts(Arc::new(catalog));
        let rates = workload.queues.iter().enumerate();
        let rates = rates.map(|(index, load)| load.shape.rates(seed ^ index as u64, workload.length_s)).collect();
        let mut player = Player {
            workload,
            sim,
            rng: SmallRng::seed_from_u64(seed),
            rates,
            open: BTreeMap::new(),
            counts: workload.queues.iter().map(|_| QueueCounts::default()).collect(),
            outcome: Outcome::default(),
            job_count: 0,
            begin_us: 0,
            next_fault: 0,
            organisations,
            queues,
        };
        for load in &workload.long_running {
            player.submit_long_running(load);
        }
        player.sim.run_for(WARM_UP_MS);
        player.begin_us = player.sim.now_us;
        player
    }

    fn begin_faults(&mut self, at_s: f64) {
        while let Some(fault) = self.workload.faults.get(self.next_fault).filter(|fault| fault.at_s() <= at_s) {
            self.next_fault += 1;
            let ms = |seconds: &f64| (seconds * MS_PER_S as f64) as u64;
            match fault {
                Fault::StoreAway { for_s, expired_share, .. } => self.sim.stop_store(ms(for_s), *expired_share),
                Fault::LeaderKilled { pause_s, .. } => self.sim.stop_leader(ms(pause_s)),
                Fault::ZoneLost { for_s, zone, .. } => self.sim.partition_zone(zone, ms(for_s)),
                // Taken into account where jobs are submitted.
                Fault::Flood { .. } => {}
            }
        }
    }

    fn submit_arrivals(&mut self, at_s: f64) {
        for index in 0..self.queues.len() {
            let rate = self.workload.queues[index].jobs_per_s * rate_at(&self.rates[index], at_s);
            let mean = rate * STEP_MS as f64 / MS_PER_S as f64;
            let Ok(distribution) = Poisson::new(mean.max(1e-9)) else { continue };
            let usual: f64 = distribution.sample(&mut self.rng);
            for _ in 0..usual as u32 {
                let organisation = self.draw_organisation();
                let copies = organisation.as_ref().map_or(1.0, |name| self.flood_factor(name, at_s));
                let whole = copies.floor() as u32 + u32::from(self.rng.random::<f64>() < copies.fract());
                for _ in 0..whole {
                    self.submit_job(index, organisation.clone());
                }
            }
        }
    }

    fn draw_organisation(&mut self) -> Option<Arc<str>> {
        let all: f64 = self.workload.organisations.iter().map(|load| load.submits).sum();
        let mut roll = self.rng.random::<f64>() * all;
        for load in &self.workload.organisations {
            roll -= load.submits;
            if roll <= 0.0 {
                return Some(load.name.as_str().into());
            }
        }
        None
    }

    /// By how much an organisation submits more than usual.
    fn flood_factor(&self, name: &str, now_s: f64) -> f64 {
        let mut highest: f64 = 1.0;
        for fault in &self.workload.faults {
            let Fault::Flood { at_s, for_s, organisation, factor } = fault else { continue };
            if organisation == name && (*at_s..at_s + for_s).contains(&now_s) {
                highest = highest.max(*factor);
            }
        }
        highest
    }

    fn submit_job(&mut self, index: usize, organisation: Option<Arc<str>>) {
        let load = &self.workload.queues[index];
        let (steps, run_ms) = self.draw_steps(index);
        let true_path_ms = critical_path_ms(&with_run_times(&steps, &run_ms));
        let spec = JobSpec { queue: self.queues[index].clone(), organisation, ..spec(steps) };
        let budget = TimeBudget::of(true_path_ms, load.stretch, load.target_latency_ms);
        self.job_count += 1;
        let counts = &mut self.counts[index];
        counts.outcome.jobs += 1;
        let name = format!("job-{:08}", self.job_count);
        if !is_admitted(&self.sim, &self.organisations, &spec) {
            counts.outcome.refused += 1;
            return;
        }
        for (step, times) in run_ms.iter().enumerate() {
            for (task, ms) in times.iter().enumerate() {
                let task_ref =
                    TaskRef { job: name.as_str().into(), occurrence: 0, step: step as u32, index: task as u32 };
                self.sim.task_run_us.insert(task_ref, ms * US_PER_MS);
            }
        }
        let id = self.sim.submit(&name, spec);
        let submitted_us = self.sim.now_us;
        let open = OpenJob {
            queue: index,
            submitted_us,
            on_time_until_us: submitted_us + budget.allowed_ms * US_PER_MS,
            late_until_us: submitted_us + budget.worthless_after_ms * US_PER_MS,
        };
        self.open.insert(id, open);
    }

    /// Draws the steps of a job, each after the one before, and the run time of each task.
    fn draw_steps(&mut self, index: usize) -> (Vec<Step>, Vec<Vec<u64>>) {
        let load = &self.workload.queues[index];
        let checkpoints = self.rng.random::<f64>() < load.checkpoint_share;
        let step_count = load.steps.draw(&mut self.rng, 1.0).round() as u32;
        let (mut steps, mut run_ms) = (Vec::new(), Vec::new());
        for number in 0..step_count {
            let count = load.width.draw(&mut self.rng, 1.0).round() as u32;
            let cpu_milli = load.cpu_milli.draw(&mut self.rng, 100.0) as u64;
            let step_run_ms = load.run_ms.draw(&mut self.rng, MIN_RUN_MS);
            let estimate_ms = (step_run_ms * factor(&mut self.rng, load.estimate_error)).max(MIN_RUN_MS) as u64;
            let mut times = Vec::new();
            for _ in 0..count {
                let is_long = self.rng.random::<f64>() < load.tail_share;
                times.push((step_run_ms * if is_long { load.tail_factor } else { 1.0 }) as u64);
            }
            let needs = Resources { cpu_milli, mem_mb: 0, gpus: 0 };
            let after = if number > 0 { vec![number - 1] } else { Vec::new() };
            steps.push(Step { count, needs, estimate_ms, after, checkpoints, ..Step::default() });
            run_ms.push(times);
        }
        (steps, run_ms)
    }

    fn submit_long_running(&mut self, load: &LongRunningLoad) {
        let Some(queue) = self.queues.iter().find(|queue| *queue.name == load.queue).cloned() else { return };
        let needs = Resources { cpu_milli: load.cpu_milli, mem_mb: load.mem_mb, gpus: 0 };
        let step = Step {
            count: load.tasks,
            needs,
            long_running: true,
            max_per_worker: Some(1),
            max_unavailable: Some(load.max_unavailable),
            ..Step::default()
        };
        self.job_count += 1;
        self.sim.submit(&format!("long-running-{:04}", self.job_count), JobSpec { queue, ..spec(vec![step]) });
    }

    fn record_completions(&mut self) {
        let (sim, counts, workload) = (&self.sim, &mut self.counts, self.workload);
        self.open.retain(|id, job| {
            let is_completed = sim.phase(id) == Some(JobPhase::Completed);
            if !is_completed && sim.now_us <= job.late_until_us {
                return true;
            }
            let load = &workload.queues[job.queue];
            let counts = &mut counts[job.queue];
            match (is_completed, sim.now_us <= job.on_time_until_us, sim.now_us <= job.late_until_us) {
                (true, true, _) => {
                    counts.outcome.on_time += 1;
                    counts.earned += load.worth;
                }
                (true, false, true) => {
                    counts.outcome.late += 1;
                    counts.earned += load.late_worth;
                }
                (true, false, false) | (false, _, _) => counts.outcome.unserved += 1,
            }
            if is_completed {
                counts.completion_ms.push((sim.now_us - job.submitted_us) / US_PER_MS);
            }
            false
        });
    }

    fn record_fleet(&mut self, elapsed_ms: u64) {
        let hosts = self.sim.hosts_by_pool();
        let in_pools: u32 = hosts.iter().filter(|(pool, _)| ***pool != *SPARE_POOL).map(|(_, count)| count).sum();
        let step_s = STEP_MS as f64 / MS_PER_S as f64;
        let fleet = &mut self.outcome.fleet;
        fleet.host_seconds += f64::from(in_pools) * step_s;
        let reserved = self.sim.reserved_milli_by_pool();
        let reserved_milli: u64 = reserved.values().sum();
        fleet.used_host_seconds += reserved_milli as f64 / self.workload.hosts.cpu_milli as f64 * step_s;
        if elapsed_ms % SAMPLE_INTERVAL_MS != 0 {
            return;
        }
        for pool in &self.workload.pools {
            let balance = self.sim.latest_balance(pool);
            let cores = |milli: u64| milli as f64 / 1_000.0;
            self.outcome.samples.push(Sample {
                at_s: elapsed_ms as f64 / MS_PER_S as f64,
                pool: pool.clone(),
                hosts: hosts.get(pool.as_str()).copied().unwrap_or(0),
                reserved_cores: cores(reserved.get(pool.as_str()).copied().unwrap_or(0)),
                demand_cores: cores(balance.present_demand),
                forecast_cores: cores(balance.expected_demand),
                late_cores: cores(balance.late_demand),
            });
        }
    }

    fn finish(mut self) -> Outcome {
        for job in self.open.values() {
            self.counts[job.queue].outcome.unserved += 1;
        }
        for (mut counts, load) in self.counts.into_iter().zip(&self.workload.queues) {
            counts.completion_ms.sort_unstable();
            let mut outcome = counts.outcome;
            let owed = f64::from(outcome.jobs) * load.worth;
            outcome.earned_share = if owed > 0.0 { counts.earned / owed } else { 1.0 };
            outcome.p50_ms = quantile(&counts.completion_ms, 0.5);
            outcome.p95_ms = quantile(&counts.completion_ms, 0.95);
            self.outcome.queues.insert(load.name.clone(), outcome);
        }
        self.outcome.fleet.moves = self.sim.move_count;
        self.outcome.fleet.starts = self.sim.start_count;
        self.outcome.violations = self.sim.violations.iter().map(|violation| violation.0.clone()).collect();
        self.outcome
    }
}

/// Whether a daemon accepts the job, by the latest report of the leader.
fn is_admitted(sim: &Sim, organisations: &Organisations, spec: &JobSpec) -> bool {
    let report = sim.admission.clone();
    let received = report.map(|report| ReceivedReport { report, written_after_us: sim.admission_stored_us });
    admit(sim.now_us, spec, organisations, received.as_ref()).is_ok()
}

fn quantile(sorted: &[u64], share: f64) -> u64 {
    let index = (sorted.len() as f64 * share) as usize;
    sorted.get(index.min(sorted.len().saturating_sub(1))).copied().unwrap_or(0)
}

/// The steps with the run times that their longest tasks have instead of the estimates.
fn with_run_times(steps: &[Step], run_ms: &[Vec<u64>]) -> Vec<Step> {
    let mut actual = Vec::new();
    for (step, times) in steps.iter().zip(run_ms) {
        actual.push(Step { estimate_ms: times.iter().copied().max().unwrap_or(0), ..step.clone() });
    }
    actual
}

fn queue(load: &QueueLoad) -> Arc<Queue> {
    Arc::new(Queue {
        name: load.name.as_str().into(),
        host: "lab.example".into(),
        path_prefix: format!("/{}/", load.name).into(),
        pool: load.pool.as_str().into(),
        priority: load.priority,
        max_attempts: 3,
        stretch: load.stretch,
        target_latency_ms: load.target_latency_ms,
        advice: None,
        requires_key: false,
    })
}

fn catalog(workload: &Workload, queues: &[Arc<Queue>]) -> Catalog {
    let mut pools = vec![PoolConfig { name: SPARE_POOL.into(), spare: true }];
    pools.extend(workload.pools.iter().map(|name| PoolConfig { name: name.as_str().into(), spare: false }));
    let mut organisations = Organisations::default();
    for load in &workload.organisations {
        let cpu_milli = if load.cap_cpu_milli > 0 { load.cap_cpu_milli } else { u64::MAX };
        let cap = Resources { cpu_milli, ..Resources::MAX };
        let organisation = Organisation { name: load.name.as_str().into(), weight: load.weight, cap };
        if let Err(error) = organisations.add(organisation, []) {
            log::warn!("organisation={} error={error} outcome=left_out", load.name);
        }
    }
    Catalog { version: 1, queues: queues.to_vec(), pools, organisations }
}

/// Workers on all hosts, in the spare pool at first.
fn entries(workload: &Workload) -> Vec<WorkerEntry> {
    let hosts = &workload.hosts;
    let mut entries = Vec::new();
    for number in 0..hosts.count {
        entries.push(WorkerEntry {
            id: format!("w{number}").into(),
            address: ([10, 0, (number >> 8) as u8, number as u8], 1_000).into(),
            pool: SPARE_POOL.into(),
            zone: hosts.zones[number % hosts.zones.len()].as_str().into(),
            started_unix_ms: START_UNIX_MS,
            draining: false,
            remaining_ms: 0,
            capacity: Resources { cpu_milli: hosts.cpu_milli, mem_mb: hosts.mem_mb, gpus: 0 },
            labels: ["a".into(), format!("r{}", number / HOSTS_PER_RACK).into()].into(),
            host: Some(format!("h{number}").into()),
        });
    }
    entries
}
