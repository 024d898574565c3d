//! A leader with workers and hosts for tests that drive the scheduler directly.

use std::sync::Arc;

use super::action::Action;
use super::job::{RunPhase, Task};
use super::model::{
    ActiveRun, HoldAnswer, HostPhase, HostRecord, OrderOutcome, PoolConfig, Step, TaskRef, WorkerEntry,
};
use super::scheduler::Scheduler;
use super::sim::{catalog, settings, step, worker_entry};

pub(super) const SECOND_US: u64 = 1_000_000;
/// ID of the job that most tests submit.
pub(super) const JOB: &str = "long-running";

pub(super) fn entry_in(pool: &str, number: usize) -> WorkerEntry {
    WorkerEntry { pool: pool.into(), ..worker_entry(number, 1) }
}

/// The host of a worker.
pub(super) fn host(entry: &WorkerEntry, is_running: bool) -> HostRecord {
    HostRecord {
        name: entry.host.clone().expect("the worker has a host"),
        pool: entry.pool.clone(),
        phase: HostPhase::Up,
        worker: is_running.then(|| entry.id.clone()),
        capacity: entry.capacity,
        zone: entry.zone.clone(),
        labels: entry.labels.clone(),
    }
}

/// A leader at 10 s with `count` workers in the pool `press`, and the spare host `h9`.
pub(super) fn leader_with_workers(count: usize) -> Scheduler {
    const TAKEOVER_US: u64 = 8_500_000;
    let mut leader = Scheduler::new(TAKEOVER_US, settings());
    let mut config = (*catalog()).clone();
    config.pools.push(PoolConfig { name: "spare".into(), spare: true });
    leader.configure(Arc::new(config));
    let mut hosts = vec![host(&entry_in("spare", 9), false)];
    for number in 0..count {
        let entry = entry_in("press", number);
        hosts.push(host(&entry, true));
        leader.worker_listed(TAKEOVER_US, entry);
    }
    leader.hosts_listed(TAKEOVER_US, TAKEOVER_US, hosts);
    run(&mut leader, TAKEOVER_US, 1_500);
    leader
}

/// Adds hosts to the provider's list.
pub(super) fn add_hosts(leader: &mut Scheduler, added: impl IntoIterator<Item = HostRecord>) {
    add_hosts_at(leader, 10 * SECOND_US, added);
}

/// Adds hosts to the provider's list, which is requested and answered at `now_us`.
pub(super) fn add_hosts_at(leader: &mut Scheduler, now_us: u64, added: impl IntoIterator<Item = HostRecord>) {
    let hosts = leader.hosts.values().cloned().chain(added).collect();
    leader.hosts_listed(now_us, now_us, hosts);
}

/// Lets every worker report that the tasks placed on it run at 100 percent, except those that it has stopped.
pub(super) fn answer_holds(leader: &mut Scheduler, now_us: u64) {
    let ids: Vec<Arc<str>> = leader.workers.keys().cloned().collect();
    for id in ids {
        let mut running = Vec::new();
        for task_ref in &leader.workers[&id].tasks {
            let task = leader.jobs[&task_ref.job].task(task_ref).expect("the task is known");
            let placed = task.run_on(&id).expect("the worker has a run of the task");
            if matches!(placed.phase, RunPhase::Stopping { acknowledged_us: Some(_), .. }) {
                continue;
            }
            let (task, run) = (task_ref.clone(), placed.run);
            running.push(ActiveRun { task, run, checkpoint: "".into(), percent: 100, load: None });
        }
        let clock_ms = 20_000 + now_us / 1_000;
        let answer = HoldAnswer { clock_ms, started_unix_ms: None, is_complete: true, running, ended: Vec::new() };
        leader.on_hold_answer(now_us, now_us, &id, &answer);
    }
}

/// Orders about hosts that a leader gave.
#[derive(Debug, Default)]
pub(super) struct OrderedHosts {
    /// Hosts and the pools to which they were to move.
    pub(super) moves: Vec<(String, String)>,
    pub(super) maintenance_count: usize,
}

/// One step of a leader whose workers answer and whose batch is committed at once; returns the actions that it requests.
pub(super) fn step_with_commit(leader: &mut Scheduler, now_us: u64) -> Vec<Action> {
    answer_holds(leader, now_us);
    leader.tick(now_us, now_us / 1_000);
    let batch = leader.take_batch(now_us);
    leader.batch_committed(now_us, now_us, &batch);
    leader.take_actions()
}

/// Runs the leader with its leadership confirmed, all workers answering and stops acknowledged; `each` is called before
/// each step of 100 ms.
pub(super) fn run_with(
    leader: &mut Scheduler,
    from_us: u64,
    for_ms: u64,
    mut each: impl FnMut(&mut Scheduler, u64),
) -> OrderedHosts {
    let mut orders = OrderedHosts::default();
    for elapsed_ms in (0..for_ms).step_by(100) {
        let now_us = from_us + elapsed_ms * 1_000;
        each(leader, now_us);
        for action in step_with_commit(leader, now_us) {
            match action {
                Action::MoveHost { host, pool } => orders.moves.push((host.to_string(), pool.to_string())),
                Action::MaintainHost { .. } => orders.maintenance_count += 1,
                Action::RaiseFence { worker } => leader.fence_raised(now_us, &worker),
                Action::Stop { worker, task, run } => {
                    leader.on_stop_outcome(now_us, &worker, &task, run, &OrderOutcome::Accepted { clock_ms: None });
                }
                _ => {}
            }
        }
    }
    orders
}

/// The same; returns the moves that the leader ordered.
pub(super) fn run(leader: &mut Scheduler, from_us: u64, for_ms: u64) -> Vec<(String, String)> {
    run_with(leader, from_us, for_ms, |_, _| {}).moves
}

/// The move of a host to the pool `press`.
pub(super) fn to_press(host: &str) -> (String, String) {
    (host.to_owned(), "press".to_owned())
}

pub(super) fn long_step(count: u32, cpu_milli: u64) -> Step {
    let mut long = step(count, &[]);
    long.long_running = true;
    long.needs.cpu_milli = cpu_milli;
    long
}

/// The first task of a job.
pub(super) fn task<'a>(leader: &'a Scheduler, job: &str) -> &'a Task {
    let task_ref = TaskRef { job: job.into(), occurrence: 0, step: 0, index: 0 };
    leader.jobs[job].task(&task_ref).expect("the task is known")
}
