//! Workers considered in a placement round, and how well each suits a task.

use std::cmp::Reverse;
use std::sync::Arc;

use foldhash::HashMap;

use super::model::{HostRecord, Resources, Step};
use super::scheduler::Scheduler;
use super::work_counts::Work;
use super::worker::Worker;

/// A worker that started less than this long ago is not the first choice for a task that may crash its worker.
const NEW_WORKER_MS: u64 = 10_000;
/// Share of a pool's workers that may get work last because they are slow. If more of them look slow, the comparison is
/// at fault rather than the workers.
const MAX_SLOW_SHARE: f64 = 0.2;

/// A worker considered in a placement round.
#[derive(Debug, Clone)]
pub(super) struct Candidate {
    pub(super) id: Arc<str>,
    /// Capacity that is free now.
    pub(super) free_capacity: Resources,
    /// Capacity that is not reserved by long-running tasks: it is free once all other tasks have ended.
    pub(super) capacity_excluding_long_running: Resources,
    /// The first label is the kind of host, the last one its rack.
    pub(super) labels: Arc<[Arc<str>]>,
    pub(super) task_count: usize,
    /// Whether the worker gets no further tasks for now, because one of its tasks may crash it.
    pub(super) is_isolated: bool,
    /// Whether the worker has started lately. It may be one that crashes again and again.
    pub(super) is_new: bool,
    pub(super) long_running_count: u32,
    /// Tasks of the step that is being placed; only counted if the step's placement depends on it.
    pub(super) siblings: u32,
    /// Tasks with a latency target ([`Step::target_ms`]).
    pub(super) latency_target_count: u32,
    /// Tasks that use only CPU time that others leave idle ([`Step::best_effort`]).
    pub(super) best_effort_count: u32,
    /// Moving average of failed runs, in tenths.
    pub(super) failure_tenths: u32,
    /// Whether the worker is set aside because its runs take clearly longer than elsewhere.
    pub(super) is_slow: bool,
    /// Whether the advice service, where the queue requires it, allows the worker for the present step.
    pub(super) is_allowed: bool,
    /// Whether tasks of the present step may share the worker with tasks that they disturb, or that disturb them.
    pub(super) may_share: bool,
    /// Whether a wave has yet to take its host down.
    pub(super) awaits_maintenance: bool,
    /// Whether the worker is kept free for a long-running task that waits for capacity there.
    pub(super) is_reserved: bool,
}

impl Candidate {
    pub(super) fn of_worker(worker: &Worker) -> Candidate {
        Candidate {
            id: worker.entry.id.clone(),
            free_capacity: worker.free_capacity(),
            capacity_excluding_long_running: worker.capacity_excluding_long_running(),
            labels: worker.entry.labels.clone(),
            task_count: worker.tasks.len(),
            is_isolated: false,
            is_new: worker.uptime_ms() < NEW_WORKER_MS,
            long_running_count: worker.long_running_count,
            siblings: 0,
            latency_target_count: worker.latency_target_count,
            best_effort_count: worker.best_effort_count,
            failure_tenths: (worker.failure_average() * 10.0) as u32,
            is_slow: false,
            is_allowed: true,
            may_share: false,
            awaits_maintenance: false,
            is_reserved: false,
        }
    }

    /// A host whose worker has not started yet.
    pub(super) fn of_host(host: &HostRecord) -> Candidate {
        Candidate {
            id: host.name.clone(),
            free_capacity: host.capacity,
            capacity_excluding_long_running: host.capacity,
            labels: host.labels.clone(),
            task_count: 0,
            is_isolated: false,
            is_new: true,
            long_running_count: 0,
            siblings: 0,
            latency_target_count: 0,
            best_effort_count: 0,
            failure_tenths: 0,
            is_slow: false,
            is_allowed: true,
            may_share: false,
            awaits_maintenance: false,
            is_reserved: false,
        }
    }

    /// Whether a task could run on the worker without sharing it, at the latest once all tasks there have ended that are
    /// not long-running.
    /// `siblings` is the number of tasks of the same step that stay there.
    pub(super) fn can_ever_run(&self, step: &Step, siblings: u32) -> bool {
        self.admits(step, siblings)
            && !self.would_share(step)
            && step.reserved().fits_in(&self.capacity_excluding_long_running)
    }

    /// Number of tasks of a step that could run on the worker at the same time, apart from `siblings`, once all tasks
    /// there have ended that are not long-running.
    pub(super) fn places_for(&self, step: &Step, siblings: u32) -> u32 {
        if !self.can_ever_run(step, siblings) {
            return 0;
        }
        let limit = step.max_per_worker.map_or(u32::MAX, |limit| limit.saturating_sub(siblings));
        self.capacity_excluding_long_running.count_of(&step.reserved()).min(limit)
    }

    /// Whether a task of a step can start on the worker now.
    pub(super) fn can_take(&self, step: &Step) -> bool {
        let is_free = !self.is_isolated && (!self.is_reserved || step.long_running);
        is_free
            && step.reserved().fits_in(&self.free_capacity)
            && self.admits(step, self.siblings)
            && (self.may_share || !self.would_share(step))
    }

    /// Whether a task may run on the worker, its capacity and the other tasks there left aside. `siblings` is the number of tasks of the same
    /// step that run there already.
    fn admits(&self, step: &Step, siblings: u32) -> bool {
        if !self.is_allowed || step.max_per_worker.is_some_and(|limit| siblings >= limit) {
            return false;
        }
        step.required_label.as_ref().is_none_or(|label| self.labels.contains(label))
    }

    /// Reserves capacity for one task.
    pub(super) fn reserve(&mut self, step: &Step) {
        self.free_capacity = self.free_capacity.minus(&step.reserved());
        if step.long_running {
            self.capacity_excluding_long_running = self.capacity_excluding_long_running.minus(&step.reserved());
        }
        self.task_count += 1;
        self.long_running_count += u32::from(step.long_running);
        self.latency_target_count += u32::from(step.target_ms.is_some());
        self.best_effort_count += u32::from(step.best_effort);
    }
}

/// How well a worker suits a task; smaller is better. The fields are compared in order.
#[derive(Debug, PartialEq, PartialOrd)]
pub(super) struct Score {
    /// For a task that may crash its worker: the number of tasks there, and whether the worker has started lately.
    at_risk: (usize, bool),
    /// The task failed on this worker before.
    is_avoided: bool,
    /// The task would disturb others on the worker, or be disturbed.
    would_share: bool,
    is_slow: bool,
    is_far_from_data: bool,
    /// Tasks of the same step on the worker. Long-running tasks are spread, so that losing a worker stops few of them.
    siblings: u32,
    /// A long-running task would soon have to leave the worker again.
    awaits_maintenance: bool,
    /// 1 if both the task and a task on the worker are long-running. Hosts with long-running tasks are not moved
    /// between pools, so workers that already have some are preferred.
    has_long_running: Reverse<u32>,
    failure_tenths: u32,
    /// Free CPU after the placement. Filling workers up leaves others empty, so that their hosts can be moved.
    free_cpu_after_milli: u64,
}

pub(super) fn score(worker: &Candidate, step: &Step, is_avoided: bool, is_suspect: bool) -> Score {
    Score {
        at_risk: if is_suspect { (worker.task_count, worker.is_new) } else { (0, false) },
        is_avoided,
        would_share: worker.would_share(step),
        is_slow: worker.is_slow,
        is_far_from_data: step.data_rack.as_ref().is_some_and(|rack| worker.labels.last() != Some(rack)),
        siblings: if step.long_running { worker.siblings } else { 0 },
        awaits_maintenance: step.long_running && worker.awaits_maintenance,
        has_long_running: Reverse(if step.long_running { worker.long_running_count.min(1) } else { 0 }),
        failure_tenths: worker.failure_tenths,
        free_cpu_after_milli: worker.free_capacity.cpu_milli.saturating_sub(step.reserved().cpu_milli),
    }
}

/// Sets how many tasks of a step each worker has.
pub(super) fn set_siblings(workers: &mut [Candidate], siblings: &HashMap<Arc<str>, u32>) {
    for worker in workers {
        worker.siblings = siblings.get(&worker.id).copied().unwrap_or(0);
    }
}

/// Racks to which a gang may be confined, in the order to try; `None` stands for any mix of racks.
pub(super) fn racks(step: &Step, workers: &[Candidate]) -> Vec<Option<Arc<str>>> {
    let mut racks: Vec<Option<Arc<str>>> = Vec::new();
    if step.same_rack {
        let mut known: Vec<Arc<str>> = workers.iter().filter_map(|worker| worker.labels.last().cloned()).collect();
        known.sort();
        known.dedup();
        racks.extend(known.into_iter().map(Some));
    }
    racks.push(None);
    racks
}

impl Scheduler {
    /// Workers of a pool that may get new tasks.
    pub(super) fn candidates(&self, now_us: u64, pool: &str) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        let mut slow: Vec<(f64, usize)> = Vec::new();
        let isolated = self.isolated_workers(now_us);
        for worker in self.workers.values() {
            if &*worker.entry.pool != pool || !worker.accepts_new_tasks(now_us) {
                continue;
            }
            let is_isolated = isolated.contains(&worker.entry.id);
            let host = worker.entry.host.as_ref();
            let awaits_maintenance = host.is_some_and(|host| self.waves.awaits_maintenance(host));
            if worker.speed.is_slow(now_us) {
                slow.push((worker.speed.ratio(), candidates.len()));
            }
            candidates.push(Candidate { is_isolated, awaits_maintenance, ..Candidate::of_worker(worker) });
        }
        self.work_counts.add(Work::WorkersListed, self.workers.len());
        mark_slow(slow, &mut candidates);
        candidates
    }
}

/// Marks the slowest of the workers that are clearly slower than others, up to a share of them all. `slow` holds how their
/// run times compare, and their indices.
fn mark_slow(mut slow: Vec<(f64, usize)>, candidates: &mut [Candidate]) {
    slow.sort_by(|(a, _), (b, _)| b.total_cmp(a));
    let max_slow = (candidates.len() as f64 * MAX_SLOW_SHARE) as usize;
    for (_, index) in slow.into_iter().take(max_slow) {
        candidates[index].is_slow = true;
    }
}
