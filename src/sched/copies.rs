//! Speculative copies: a second run of a task whose first run is expected to take much longer than a fresh one.
//!
//! The first run to complete counts, and the other one is stopped. Copies use only capacity that no waiting task of the
//! pool wants, and only a share of the pool.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::candidate::{set_siblings, Candidate};
use super::job::{RunPhase, Task};
use super::model::{EndedRun, Resources, RunOutcome, Step, TaskRef};
use super::run_times::QueueRunTimes;
use super::scheduler::Scheduler;
use super::task_runs::PlacedRun;
use super::work_counts::Work;
use super::worker::Worker;
use crate::clock::US_PER_MS;

/// A copy starts if the run is expected to take this multiple of a fresh run's time, which includes the chance that the
/// copy itself is slow.
const MIN_GAIN_FACTOR: f64 = 1.5;
/// Added to a fresh run's time: the copy is stored, ordered and started, and its end reported.
const START_OVERHEAD_MS: f64 = 150.0;
/// Minimum effective number of ended runs of the queue. Fewer do not tell a long run from a wrong estimate.
const MIN_SAMPLES: f64 = 8.0;
/// Share of a pool's capacity that copies may hold. A single copy may exceed it, so that small pools can have one.
const MAX_CAPACITY_SHARE: f64 = 0.1;
/// Maximum number of copies started in one pool at a time; each looks at all workers of the pool.
const MAX_STARTS_PER_CHECK: usize = 16;

/// Copies that were started, and how they ended.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CopyCounts {
    pub(crate) started: u64,
    /// The copy completed first.
    pub(crate) first: u64,
    /// The original run completed first.
    pub(crate) late: u64,
    /// Checks of a pool in which copies were wanted but its share for copies was used up.
    pub(crate) over_budget: u64,
}

/// What a decision about a copy is based on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct CopyForecast {
    pub(super) age_ms: u64,
    /// Expected remaining time of the run.
    pub(super) remaining_ms: f64,
    /// Expected time of a fresh run.
    pub(super) fresh_ms: f64,
    pub(super) samples: f64,
    /// Whether the remaining time follows from the reported progress.
    pub(super) is_by_progress: bool,
}

impl CopyForecast {
    /// Forecast for a run of this age and reported progress; `None` if the queue's run times tell nothing about it.
    pub(super) fn of(queue: &QueueRunTimes, estimate_ms: u64, age_ms: u64, percent: u32) -> Option<CopyForecast> {
        let samples = queue.effective_samples();
        if estimate_ms == 0 || samples < MIN_SAMPLES {
            return None;
        }
        let is_by_progress = percent > 0;
        let remaining_ms = match is_by_progress {
            // The percentage is rounded down, so the run may be nearly one percent further.
            true => {
                let done = f64::from(percent.min(99) + 1);
                age_ms as f64 * (100.0 - done) / done
            }
            false => queue.expected_remaining_ms(estimate_ms, age_ms),
        };
        Some(CopyForecast { age_ms, remaining_ms, fresh_ms: queue.expected_ms(estimate_ms), samples, is_by_progress })
    }

    /// Whether a copy is expected to complete so much earlier than the run that it is worth its capacity.
    pub(super) fn is_worthwhile(&self) -> bool {
        self.remaining_ms > self.fresh_ms * MIN_GAIN_FACTOR + START_OVERHEAD_MS
    }
}

/// Copies that a pool has and wants.
#[derive(Debug, Default)]
struct PoolCopies {
    reserved: Resources,
    count: u32,
    wanted: Vec<(CopyForecast, TaskRef)>,
}

impl Scheduler {
    /// Starts copies of runs that are expected to take much longer than fresh ones. Called after a placement round.
    pub(super) fn start_copies(&mut self, now_us: u64) {
        if self.lease_until_us(now_us) <= now_us {
            return;
        }
        let mut pools = self.pool_copies(now_us);
        pools.retain(|_, copies| !copies.wanted.is_empty());
        if pools.is_empty() {
            return;
        }
        for id in self.ready_jobs.iter() {
            if let Some(job) = self.jobs.get(id) {
                pools.remove(&job.queue.pool);
            }
        }
        for (pool, copies) in pools {
            self.start_copies_in_pool(now_us, &pool, copies);
        }
    }

    /// Copies of each pool whose workers have tasks that may have copies.
    fn pool_copies(&self, now_us: u64) -> BTreeMap<Arc<str>, PoolCopies> {
        let mut pools: BTreeMap<Arc<str>, PoolCopies> = BTreeMap::new();
        for worker in self.workers.values() {
            if worker.speculative_count == 0 {
                continue;
            }
            self.work_counts.add(Work::CopiesChecked, worker.tasks.len());
            for task_ref in &worker.tasks {
                let Some(step) = self.step_of(task_ref).filter(|step| step.allows_copies()) else { continue };
                let Some(task) = self.task(task_ref) else { continue };
                let Some(placed) = task.run_on(&worker.entry.id) else { continue };
                if placed.is_copy || task.is_done {
                    let copies = pools.entry(worker.entry.pool.clone()).or_default();
                    copies.reserved.add(&step.reserved());
                    copies.count += 1;
                    continue;
                }
                let Some((pool, forecast)) = self.copy_forecast(now_us, task_ref, task, placed) else { continue };
                if forecast.is_worthwhile() {
                    pools.entry(pool).or_default().wanted.push((forecast, task_ref.clone()));
                }
            }
        }
        pools
    }

    /// Forecast for a run that may get a copy, and the pool for the copy.
    fn copy_forecast(
        &self,
        now_us: u64,
        task_ref: &TaskRef,
        task: &Task,
        placed: PlacedRun<'_>,
    ) -> Option<(Arc<str>, CopyForecast)> {
        let RunPhase::Running { since_us } = placed.phase else { return None };
        let job = self.jobs.get(&task_ref.job)?;
        let queue = &job.queue;
        // The failure of a copy must not use up the last attempt while the other run may still complete.
        // A copy of a task that may have crashed a worker could crash another one.
        if !task.losses.is_empty()
            || task.copy.is_some()
            || job.phase.is_final()
            || task.failures + 1 >= queue.max_attempts
        {
            return None;
        }
        let run_times = self.run_times.queue(&queue.name)?;
        let estimate_ms = job.spec.steps[task_ref.step as usize].estimate_ms;
        let age_ms = now_us.saturating_sub(since_us) / US_PER_MS;
        let mut forecast = CopyForecast::of(run_times, estimate_ms, age_ms, placed.report.percent)?;
        // The tasks of a step take about the same time, so a copy of a long one takes as long as its siblings.
        let siblings_ms = job.shortest_run_ms(task_ref).unwrap_or(0);
        forecast.fresh_ms = forecast.fresh_ms.max(siblings_ms as f64);
        Some((queue.pool.clone(), forecast))
    }

    fn start_copies_in_pool(&mut self, now_us: u64, pool: &Arc<str>, mut copies: PoolCopies) {
        let mut workers = self.candidates(now_us, pool);
        let budget = self.copy_budget(pool);
        copies.wanted.sort_by(|(a, _), (b, _)| (b.remaining_ms - b.fresh_ms).total_cmp(&(a.remaining_ms - a.fresh_ms)));
        for (forecast, task_ref) in copies.wanted.into_iter().take(MAX_STARTS_PER_CHECK) {
            let Some(step) = self.step_of(&task_ref).cloned() else { continue };
            let mut reserved = copies.reserved;
            reserved.add(&step.reserved());
            if copies.count > 0 && !reserved.fits_in(&budget) {
                self.copy_counts.over_budget += 1;
                break;
            }
            let organisation = self.jobs.get(&task_ref.job).and_then(|job| self.organisation_of(job)).cloned();
            if !self.may_start_within_quota(now_us, organisation.as_ref(), &task_ref, &step) {
                continue;
            }
            let Some(index) = self.choose_for_copy(now_us, &task_ref, &step, &workers) else { continue };
            workers[index].reserve(&step);
            copies.reserved = reserved;
            copies.count += 1;
            let worker = workers[index].id.clone();
            self.start_copy(now_us, &task_ref, &worker, forecast);
        }
    }

    /// Capacity that copies may hold in a pool.
    fn copy_budget(&self, pool: &str) -> Resources {
        let mut capacity = Resources::default();
        for worker in self.workers.values() {
            if &*worker.entry.pool == pool && worker.is_usable() {
                capacity.add(&worker.entry.capacity);
            }
        }
        let share = |all: u64| (all as f64 * MAX_CAPACITY_SHARE) as u64;
        Resources { cpu_milli: share(capacity.cpu_milli), mem_mb: share(capacity.mem_mb), gpus: share(capacity.gpus) }
    }

    /// Index of the best worker for a copy: on another host than the task's run, and if possible in another rack.
    fn choose_for_copy(
        &mut self,
        now_us: u64,
        task_ref: &TaskRef,
        step: &Step,
        workers: &[Candidate],
    ) -> Option<usize> {
        let job = self.jobs.get(&task_ref.job)?;
        let task = job.task(task_ref)?;
        let original = self.workers.get(&task.placed_on()?.id)?;
        let rack = original.entry.labels.last().cloned();
        let is_suitable = |worker: &Candidate| {
            step.reserved().fits_in(&worker.free_capacity)
                && !worker.is_slow
                && !task.avoided_workers.contains(&worker.id)
                && self.workers.get(&worker.id).is_some_and(|known| is_on_another_host(known, original))
        };
        let suitable = workers.iter().enumerate().filter(|(_, worker)| is_suitable(worker));
        let (indexes, mut trial): (Vec<usize>, Vec<Candidate>) =
            suitable.map(|(index, worker)| (index, worker.clone())).unzip();
        if trial.is_empty() {
            return None;
        }
        set_siblings(&mut trial, &self.siblings_per_worker(task_ref, step));
        let needs_advice = job.queue.advice.is_some();
        if needs_advice {
            self.allow_workers_with_ticket(now_us, task_ref, &mut trial);
        }
        let mut in_other_racks = trial.clone();
        in_other_racks.iter_mut().for_each(|worker| worker.is_allowed &= worker.labels.last() != rack.as_ref());
        let chosen = self
            .choose(now_us, task_ref, step, &in_other_racks)
            .or_else(|| self.choose(now_us, task_ref, step, &trial));
        if chosen.is_none() && needs_advice {
            self.request_tickets(now_us, std::slice::from_ref(task_ref), step, &trial);
        }
        chosen.map(|index| indexes[index])
    }

    fn start_copy(&mut self, now_us: u64, task_ref: &TaskRef, worker: &Arc<str>, forecast: CopyForecast) {
        let Some(task) = self.task(task_ref) else { return };
        let Some(original) = task.placed_on() else { return };
        let run = task.last_run + 1;
        log::info!(
            "job={} task={}.{}.{} run={run} worker={worker} original_run={} original_worker={} age_ms={} \
             remaining_ms={:.0} fresh_ms={:.0} samples={:.0} by_progress={} outcome=copy_started",
            task_ref.job,
            task_ref.occurrence,
            task_ref.step,
            task_ref.index,
            task.run,
            original.id,
            forecast.age_ms,
            forecast.remaining_ms,
            forecast.fresh_ms,
            forecast.samples,
            forecast.is_by_progress
        );
        self.copy_counts.started += 1;
        self.assign(now_us, task_ref, worker, run);
    }

    /// Counts and logs which of two runs of a task completed first. Called before the other one is stopped.
    pub(super) fn record_completion_with_copy(&mut self, now_us: u64, task_ref: &TaskRef, run: u32) {
        let Some(job) = self.jobs.get(&task_ref.job) else { return };
        let Some(task) = job.task(task_ref) else { return };
        let is_copy_first = task.copy.as_ref().is_some_and(|copy| copy.run == run);
        log::info!(
            "job={} task={}.{}.{} run={run} runs={} outcome={}",
            task_ref.job,
            task_ref.occurrence,
            task_ref.step,
            task_ref.index,
            task.worker_ids().join(","),
            if is_copy_first { "copy_first" } else { "copy_late" }
        );
        match is_copy_first {
            true => self.copy_counts.first += 1,
            false => self.copy_counts.late += 1,
        }
        // The time of the original run will not be known; its age says that the worker took at least this long.
        let original = task.placed_runs().find(|placed| is_copy_first && !placed.is_copy);
        let Some((RunPhase::Running { since_us }, worker)) = original.map(|placed| (placed.phase, placed.worker))
        else {
            return;
        };
        let times = (job.spec.steps[task_ref.step as usize].estimate_ms, now_us.saturating_sub(since_us) / US_PER_MS);
        let (worker, queue) = (worker.id.clone(), job.spec.queue.name.clone());
        self.record_speed(now_us, &worker, &queue, times);
    }

    /// Withholds the acknowledgement of a run that ended as done while another run of its task may still be active: a
    /// delayed start order could otherwise start that run after the acknowledgement.
    pub(super) fn withhold_acknowledgement(&mut self, id: &Arc<str>, ended_run: &EndedRun) {
        let is_withheld = ended_run.outcome == RunOutcome::Done && self.has_run_besides_end(&ended_run.task);
        if let Some(worker) = self.workers.get_mut(id).filter(|_| is_withheld) {
            worker.withheld_ends.push((ended_run.number, ended_run.task.clone()));
        }
    }

    /// Whether a task is done but has a run that is not known to have ended. Only tasks that may have copies count.
    fn has_run_besides_end(&self, task_ref: &TaskRef) -> bool {
        let Some(step) = self.step_of(task_ref) else { return false };
        let task = self.task(task_ref);
        step.allows_copies() && task.is_some_and(|task| task.is_done && task.placed_on().is_some())
    }

    /// Highest number of an ended run of a worker that may be acknowledged once the jobs are stored that are not dirty.
    pub(super) fn acknowledgeable_cursor(&self, worker: &Worker) -> u64 {
        let withheld = worker.withheld_ends.iter().filter(|(_, task_ref)| self.has_run_besides_end(task_ref));
        let unstored = worker.unstored_ends.iter().filter(|(_, job)| self.dirty_jobs.contains(job));
        let kept = withheld.map(|(number, _)| *number).chain(unstored.map(|(number, _)| *number));
        kept.min().map_or(worker.processed_cursor, |first| worker.processed_cursor.min(first - 1))
    }

    /// Forgets the withheld ends of a worker that may be acknowledged by now.
    pub(super) fn discard_withheld_ends(&mut self, id: &Arc<str>) {
        let Some(worker) = self.workers.get_mut(id).filter(|worker| !worker.withheld_ends.is_empty()) else { return };
        let mut withheld = std::mem::take(&mut worker.withheld_ends);
        withheld.retain(|(_, task_ref)| self.has_run_besides_end(task_ref));
        if let Some(worker) = self.workers.get_mut(id) {
            worker.withheld_ends = withheld;
        }
    }

    /// CPU reserved by copies on a worker, in thousandths of a core.
    pub(super) fn copies_cpu_milli(&self, worker: &Worker) -> u64 {
        if worker.speculative_count == 0 {
            return 0;
        }
        let copies = worker.tasks.iter().filter(|task_ref| self.is_copy_on(task_ref, worker));
        copies.filter_map(|task_ref| self.step_of(task_ref)).map(|step| step.reserved().cpu_milli).sum()
    }

    /// Whether a task's run on a worker is a copy.
    pub(super) fn is_copy_on(&self, task_ref: &TaskRef, worker: &Worker) -> bool {
        let task = self.task(task_ref);
        task.and_then(|task| task.run_on(&worker.entry.id)).is_some_and(|placed| placed.is_copy)
    }

    /// Takes the counts of copies since the last call.
    pub(crate) fn take_copy_counts(&mut self) -> CopyCounts {
        std::mem::take(&mut self.copy_counts)
    }
}

/// Whether two workers are on different hosts, as far as they report theirs.
fn is_on_another_host(worker: &Worker, other: &Worker) -> bool {
    let is_same_host = worker.entry.host.is_some() && worker.entry.host == other.entry.host;
    worker.entry.id != other.entry.id && !is_same_host
}

/// Logs that one of two runs of a task is gone while the other remains.
pub(super) fn log_remaining_run(task_ref: &TaskRef, task: &Task, gone_from: &Arc<str>) {
    log::info!(
        "job={} task={}.{}.{} gone_from={gone_from} remaining_run={} done={} outcome=copy_ended",
        task_ref.job,
        task_ref.occurrence,
        task_ref.step,
        task_ref.index,
        task.run,
        task.is_done
    );
}
