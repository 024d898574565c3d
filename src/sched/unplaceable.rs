//! Tasks that no worker of their pool can take, even once all tasks that are not long-running have ended.
//!
//! The balance of a pool compares sums of CPU. Such a task waits although the sums say that there is capacity: the
//! workers already run as many tasks of its step as they may, or lack its label, or each has too little capacity.
//!
//! Long-running tasks on hosts that a wave drains leave one after the other, as their disruption budget allows, and each
//! needs a worker to go to. If its pool has none, the wave stands still, so the next few count as well.

use std::collections::BTreeMap;
use std::sync::Arc;

use foldhash::HashMap;

use super::candidate::Candidate;
use super::job::{Job, TaskState};
use super::model::{HostPhase, HostRecord, JobSpec, Step, TaskRef};
use super::scheduler::Scheduler;
use super::usage::QuotaBudget;

/// Number of a step's tasks on hosts that waves drain for which workers are provided ahead. While one task moves, the hosts
/// that the two before it have left are down.
const REPLACEMENTS_AHEAD: u32 = 3;

/// Why tasks need another worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PlaceNeed {
    Waiting,
    /// The tasks are at work, but their hosts are drained for a wave.
    Leaving,
}

/// Tasks of one step that no worker of its pool can take.
#[derive(Debug)]
pub(super) struct UnplaceableTasks {
    pub(super) need: PlaceNeed,
    pub(super) pool: Arc<str>,
    spec: Arc<JobSpec>,
    step_index: usize,
    /// Tasks of the step on each worker.
    pub(super) siblings: HashMap<Arc<str>, u32>,
    /// Number of hosts that would take the tasks.
    pub(super) host_count: u32,
}

impl UnplaceableTasks {
    pub(super) fn step(&self) -> &Step {
        &self.spec.steps[self.step_index]
    }
}

/// Waiting tasks of one step.
#[derive(Debug)]
struct WaitingStep {
    step_index: usize,
    siblings: HashMap<Arc<str>, u32>,
    waiting: u32,
}

/// Workers and incoming hosts of each pool, with the capacity that the tasks considered so far leave them.
type PoolCandidates = BTreeMap<Arc<str>, Vec<Candidate>>;

impl Scheduler {
    /// Finds the waiting tasks of long-running and on-time jobs that no worker or incoming host of their pool can take,
    /// but that some host could run.
    pub(super) fn unplaceable_tasks(&self, now_us: u64) -> Vec<UnplaceableTasks> {
        let mut pools = self.pool_candidates(now_us);
        let mut quotas = self.quota_budget();
        let mut found = Vec::new();
        for id in self.ready_jobs.iter() {
            let Some(job) = self.jobs.get(id) else { continue };
            if !self.host_moves.on_time_jobs.contains(id) {
                continue;
            }
            let pool = job.queue.pool.clone();
            // Hosts cannot move to a pool that is not configured any more.
            let Some(candidates) = pools.get_mut(&pool) else { continue };
            for waiting_step in self.waiting_steps(job, &mut quotas) {
                let WaitingStep { step_index, siblings, waiting } = waiting_step;
                let step = &job.spec.steps[step_index];
                let missing = reserve(candidates, step, &siblings, waiting);
                if missing == 0 {
                    continue;
                }
                let host_count = self.reserve_on_new_hosts(candidates, step, missing);
                if host_count > 0 {
                    let (pool, spec) = (pool.clone(), job.spec.clone());
                    let need = PlaceNeed::Waiting;
                    found.push(UnplaceableTasks { need, pool, spec, step_index, siblings, host_count });
                }
            }
        }
        self.add_leaving_tasks(&mut pools, &mut found);
        found
    }

    /// Adds the long-running tasks that leave their hosts next for a wave, if no worker or incoming host of their pool
    /// can take them.
    fn add_leaving_tasks(&self, pools: &mut PoolCandidates, found: &mut Vec<UnplaceableTasks>) {
        for (first, count) in self.steps_on_drained_hosts() {
            let Some(job) = self.jobs.get(&first.job) else { continue };
            let pool = job.queue.pool.clone();
            let Some(candidates) = pools.get_mut(&pool) else { continue };
            let (spec, step_index) = (job.spec.clone(), first.step as usize);
            let step = &spec.steps[step_index];
            let siblings = self.siblings_per_worker(&first, step);
            let missing = reserve(candidates, step, &siblings, count.min(REPLACEMENTS_AHEAD));
            let host_count = self.reserve_on_new_hosts(candidates, step, missing);
            if host_count > 0 {
                found.push(UnplaceableTasks {
                    need: PlaceNeed::Leaving,
                    pool,
                    spec: spec.clone(),
                    step_index,
                    siblings,
                    host_count,
                });
            }
        }
    }

    /// Steps with long-running tasks on hosts that waves drain: a reference to their first task, and the number of such
    /// tasks.
    fn steps_on_drained_hosts(&self) -> BTreeMap<TaskRef, u32> {
        let mut counts: BTreeMap<TaskRef, u32> = BTreeMap::new();
        for host in self.waves.draining_hosts() {
            for (task_ref, _) in self.runs_on(host) {
                if self.step_of(&task_ref).is_some_and(|step| step.long_running) {
                    *counts.entry(TaskRef { index: 0, ..task_ref }).or_default() += 1;
                }
            }
        }
        counts
    }

    /// Steps of a job with tasks that could start, also by their quota.
    fn waiting_steps(&self, job: &Job, quotas: &mut QuotaBudget<'_>) -> Vec<WaitingStep> {
        let mut steps = Vec::new();
        for (number, occurrence) in &job.occurrences {
            for (step_index, state) in occurrence.steps.iter().enumerate() {
                if !job.is_step_unblocked(*number, step_index) {
                    continue;
                }
                let waiting = state.tasks.iter().filter(|task| task.state == TaskState::Waiting).count() as u32;
                let step = &job.spec.steps[step_index];
                let waiting = quotas.take(job.spec.organisation.as_ref(), step, waiting);
                if waiting == 0 {
                    continue;
                }
                let siblings = match step.long_running {
                    true => self.siblings_per_worker(&job.task_ref(*number, step_index, 0), step),
                    false => HashMap::default(),
                };
                steps.push(WaitingStep { step_index, siblings, waiting });
            }
        }
        steps
    }

    /// Usable workers of the configured pools, and hosts that are moving there.
    fn pool_candidates(&self, now_us: u64) -> PoolCandidates {
        let pools = self.catalog.pools.iter().filter(|pool| !pool.spare);
        let mut candidates: PoolCandidates = pools.map(|pool| (pool.name.clone(), Vec::new())).collect();
        for worker in self.workers.values() {
            let Some(in_pool) = candidates.get_mut(&worker.entry.pool) else { continue };
            if worker.is_usable() {
                in_pool.push(Candidate::of_worker(worker));
            }
        }
        for (name, pool) in self.host_moves.incoming_hosts(now_us) {
            let (Some(host), Some(in_pool)) = (self.hosts.get(name), candidates.get_mut(pool)) else { continue };
            in_pool.push(Candidate::of_host(host));
        }
        for (name, host) in &self.hosts {
            let Some(in_pool) = candidates.get_mut(&host.pool) else { continue };
            if host.phase == HostPhase::Moving && !self.host_moves.is_moving(name) {
                in_pool.push(Candidate::of_host(host));
            }
        }
        candidates
    }

    /// Adds to a pool the hosts that `missing` tasks of a step need, and returns their number; 0 if no host could run
    /// one.
    fn reserve_on_new_hosts(&self, candidates: &mut Vec<Candidate>, step: &Step, missing: u32) -> u32 {
        let (label, needs) = (step.required_label.as_ref(), step.reserved());
        let can_run = |host: &&HostRecord| step.max_per_worker != Some(0) && host.offers(label, &needs);
        let Some(host) = self.hosts.values().filter(can_run).max_by_key(|host| host.capacity.cpu_milli) else {
            return 0;
        };
        let mut missing = missing;
        let mut host_count = 0;
        while missing > 0 {
            let mut added =
                vec![Candidate { id: format!("new-{}", candidates.len()).into(), ..Candidate::of_host(host) }];
            missing = reserve(&mut added, step, &HashMap::default(), missing);
            candidates.append(&mut added);
            host_count += 1;
        }
        host_count
    }
}

/// Reserves capacity for the waiting tasks of a step as far as workers can take them, and returns the number of the
/// others. Tasks of a step that is neither long-running nor a gang can run one after the other, so one place is enough
/// for them, and nothing is reserved.
fn reserve(candidates: &mut [Candidate], step: &Step, siblings: &HashMap<Arc<str>, u32>, waiting: u32) -> u32 {
    if !step.long_running && !step.gang {
        let can_run = candidates.iter().any(|candidate| candidate.can_ever_run(step, 0));
        return u32::from(!can_run);
    }
    let mut missing = waiting;
    for candidate in candidates {
        if missing == 0 {
            break;
        }
        let here = siblings.get(&candidate.id).copied().unwrap_or(0);
        let places = candidate.places_for(step, here).min(missing);
        missing -= places;
        if !step.long_running {
            continue;
        }
        for _ in 0..places {
            candidate.reserve(step);
        }
    }
    missing
}
