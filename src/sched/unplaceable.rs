//! Waiting tasks that no worker of their pool can take, even once all tasks that are not long-running have ended.
//!
//! The balance of a pool compares sums of CPU. Such a task waits although the sums say that there is capacity: the
//! workers already run as many tasks of its step as they may, or lack its label, or each has too little capacity.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::candidate::Candidate;
use super::job::{Job, TaskState};
use super::model::{HostPhase, HostRecord, Resources, Step};
use super::scheduler::Scheduler;

/// Tasks of one step that no worker of its pool can take.
#[derive(Debug)]
pub(super) struct UnplaceableTasks {
    pub(super) pool: Arc<str>,
    pub(super) step: Step,
    /// Tasks of the step on each worker.
    pub(super) siblings: HashMap<Arc<str>, u32>,
    /// Number of hosts that would take the tasks.
    pub(super) host_count: u32,
}

/// Workers and hosts of one pool, with the capacity that the tasks considered so far leave them.
#[derive(Debug, Default)]
struct PoolCapacity {
    candidates: Vec<Candidate>,
}

impl PoolCapacity {
    /// Reserves capacity for one task of a step; `siblings` counts the step's tasks on each candidate.
    fn reserve(&mut self, step: &Step, siblings: &mut HashMap<Arc<str>, u32>) -> bool {
        for candidate in &mut self.candidates {
            let here = siblings.get(&candidate.id).copied().unwrap_or(0);
            if !candidate.can_ever_run(step, here) {
                continue;
            }
            candidate.reserve(step);
            *siblings.entry(candidate.id.clone()).or_default() += 1;
            return true;
        }
        false
    }

    /// Adds a host of the kind that the pool would have to get for a step.
    fn add_host(&mut self, number: usize, step: &Step, capacity: Resources) {
        let labels = step.required_label.clone().into_iter().collect();
        self.candidates.push(Candidate::of_host(format!("new-{number}").into(), capacity, labels));
    }
}

impl Scheduler {
    /// Finds the waiting tasks of long-running and on-time jobs that no worker or incoming host of their pool can take.
    pub(super) fn unplaceable_tasks(&self, now_us: u64) -> Vec<UnplaceableTasks> {
        let largest_host = self.largest_host();
        let mut pools: BTreeMap<Arc<str>, PoolCapacity> = BTreeMap::new();
        let mut found = Vec::new();
        for id in &self.ready_jobs {
            let Some(job) = self.jobs.get(id) else { continue };
            if !self.host_moves.on_time_jobs.contains(id) {
                continue;
            }
            let pool = self.queue_of(job).pool.clone();
            let capacity = pools.entry(pool.clone()).or_insert_with(|| self.pool_capacity(now_us, &pool));
            for (step, siblings, waiting) in self.waiting_steps(job) {
                let host_count = missing_hosts(capacity, &step, siblings.clone(), waiting, largest_host);
                if host_count > 0 {
                    found.push(UnplaceableTasks { pool: pool.clone(), step, siblings, host_count });
                }
            }
        }
        found
    }

    /// Steps of a job with tasks that could start, with the step's tasks on each worker and the number of waiting ones.
    fn waiting_steps(&self, job: &Job) -> Vec<(Step, HashMap<Arc<str>, u32>, u32)> {
        let mut steps = Vec::new();
        for (number, occurrence) in &job.occurrences {
            for (index, state) in occurrence.steps.iter().enumerate() {
                if !job.is_step_unblocked(*number, index) {
                    continue;
                }
                let waiting = state.tasks.iter().filter(|task| task.state == TaskState::Waiting).count() as u32;
                if waiting == 0 {
                    continue;
                }
                let step = job.spec.steps[index].clone();
                let siblings = match step.long_running {
                    true => self.siblings_per_worker(&job.task_ref(*number, index, 0), &step),
                    false => HashMap::new(),
                };
                steps.push((step, siblings, waiting));
            }
        }
        steps
    }

    /// Usable workers of a pool, and hosts that are moving there.
    fn pool_capacity(&self, now_us: u64, pool: &str) -> PoolCapacity {
        let in_pool = self.workers.values().filter(|worker| &*worker.entry.pool == pool && worker.is_usable());
        let mut candidates: Vec<Candidate> = in_pool.map(Candidate::of_worker).collect();
        for (name, target) in self.host_moves.incoming_hosts(now_us) {
            let Some(host) = self.hosts.get(name) else { continue };
            if &**target == pool {
                candidates.push(Candidate::of_host(name.clone(), host.capacity, host.labels.clone()));
            }
        }
        for (name, host) in &self.hosts {
            if &*host.pool == pool && host.phase == HostPhase::Moving && !self.host_moves.is_moving(name) {
                candidates.push(Candidate::of_host(name.clone(), host.capacity, host.labels.clone()));
            }
        }
        PoolCapacity { candidates }
    }

    /// Capacity of the host with the most CPU.
    fn largest_host(&self) -> Resources {
        let largest = self.hosts.values().max_by_key(|host| host.capacity.cpu_milli);
        largest.map(|host: &HostRecord| host.capacity).unwrap_or_default()
    }
}

/// Number of hosts that a pool lacks for the waiting tasks of a step.
fn missing_hosts(
    capacity: &mut PoolCapacity,
    step: &Step,
    mut siblings: HashMap<Arc<str>, u32>,
    waiting: u32,
    new_host: Resources,
) -> u32 {
    if !step.long_running && !step.gang {
        // The tasks of such a step can run one after the other.
        let can_run = capacity.candidates.iter().any(|candidate| candidate.can_ever_run(step, 0));
        return u32::from(!can_run);
    }
    let mut trial = PoolCapacity { candidates: capacity.candidates.clone() };
    let mut hosts = 0;
    for number in 0..waiting {
        if trial.reserve(step, &mut siblings) {
            continue;
        }
        trial.add_host(capacity.candidates.len() + number as usize, step, new_host);
        hosts += 1;
        if !trial.reserve(step, &mut siblings) {
            // Not even a host without tasks can run one.
            hosts = 0;
            break;
        }
    }
    if step.long_running {
        *capacity = trial;
    }
    hosts
}
