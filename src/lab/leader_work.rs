//! What the decisions of a leader cost, as counts of what it looks at and as time, at a given size of fleet and backlog.

use std::sync::Arc;
use std::time::Instant;

use crate::clock::{US_PER_MS, US_PER_S};
use crate::sched::model::{HoldAnswer, JobSpec, PoolConfig, Resources, Step, WorkerEntry};
use crate::sched::scheduler::Scheduler;
use crate::sched::sim::{catalog, settings, spec, worker_entry, START_UNIX_MS};
use crate::sched::work_counts::Work;

const BEGIN_US: u64 = 10 * US_PER_S;
const STEP_MS: u64 = 50;

/// Load of a leader.
#[derive(Debug, Clone, Copy)]
pub struct LeaderLoad {
    /// Workers of 16 cores, all full.
    pub workers: usize,
    /// Waiting jobs of eight tasks that can still be on time.
    pub on_time_jobs: usize,
    /// Waiting jobs of eight tasks that cannot.
    pub late_jobs: usize,
}

/// Cost of one tick, averaged.
#[derive(Debug, Clone)]
pub struct LeaderWork {
    /// Units of each kind of work, by name.
    pub units: Vec<(&'static str, f64)>,
    /// Processor time, in microseconds.
    pub tick_us: f64,
}

/// Measures `ticks` ticks, 50 ms apart, of a leader under a load that does not change.
pub fn leader_work(load: LeaderLoad, ticks: u32) -> LeaderWork {
    let mut leader = full_leader(load);
    let mut now_us = BEGIN_US + US_PER_S;
    // The first tick sets the late jobs aside.
    tick(&mut leader, now_us);
    let before = leader.work_counts().clone();
    let started = Instant::now();
    for _ in 0..ticks {
        now_us += STEP_MS * US_PER_MS;
        tick(&mut leader, now_us);
    }
    let tick_us = started.elapsed().as_secs_f64() * US_PER_S as f64 / f64::from(ticks);
    let since = leader.work_counts().since(&before);
    let units = Work::ALL.map(|work| (work.label(), since.of(work) as f64 / f64::from(ticks)));
    LeaderWork { units: units.to_vec(), tick_us }
}

fn full_leader(load: LeaderLoad) -> Scheduler {
    let mut leader = Scheduler::new(BEGIN_US, settings());
    let mut config = (*catalog()).clone();
    config.pools.push(PoolConfig { name: "spare".into(), spare: true });
    leader.configure(Arc::new(config));
    for number in 0..load.workers {
        let entry: WorkerEntry = worker_entry(number, START_UNIX_MS);
        let id = entry.id.clone();
        leader.worker_listed(BEGIN_US, entry);
        let answer = HoldAnswer {
            clock_ms: 20_000,
            started_unix_ms: None,
            is_complete: true,
            running: Vec::new(),
            ended: Vec::new(),
        };
        leader.on_hold_answer(BEGIN_US, BEGIN_US, &id, &answer);
    }
    let filler = Step { count: load.workers as u32, long_running: true, ..task_step(16_000) };
    submit(&mut leader, "filler".to_owned(), spec(vec![filler]));
    tick(&mut leader, BEGIN_US + 100 * US_PER_MS);
    for number in 0..load.on_time_jobs {
        let job = JobSpec { accepted_unix_ms: START_UNIX_MS + 60_000, ..spec(vec![task_step(2_000)]) };
        submit(&mut leader, format!("on-time-{number}"), job);
    }
    for number in 0..load.late_jobs {
        let job = JobSpec { accepted_unix_ms: START_UNIX_MS - 60_000, ..spec(vec![task_step(2_000)]) };
        submit(&mut leader, format!("late-{number}"), job);
    }
    leader
}

fn task_step(cpu_milli: u64) -> Step {
    let needs = Resources { cpu_milli, mem_mb: 1_000, gpus: 0 };
    Step { count: 8, needs, estimate_ms: 500, ..Step::default() }
}

fn submit(leader: &mut Scheduler, id: String, job: JobSpec) {
    leader.submit(BEGIN_US, START_UNIX_MS, id.into(), job);
}

fn tick(leader: &mut Scheduler, now_us: u64) {
    leader.tick(now_us, START_UNIX_MS + now_us / US_PER_MS);
    let batch = leader.take_batch(now_us);
    leader.batch_committed(now_us, now_us, &batch);
    leader.take_actions();
    leader.request_placement();
}
