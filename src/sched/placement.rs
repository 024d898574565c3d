//! Decides which task starts next, and on which worker.

use std::collections::btree_map::Entry;
use std::collections::BTreeMap;
use std::sync::Arc;

use foldhash::HashMap;

use super::candidate::{score, set_siblings, Candidate, Score};
use super::fair_order::FairOrder;
use super::isolation::may_isolate_another;
use super::job::{Job, RunPhase, TaskState};
use super::model::{JobId, Step, TaskRef};
use super::organisation::Organisation;
use super::placement_round::PlacementRound;
use super::ranked_workers::RankedWorkers;
use super::scheduler::Scheduler;
use super::urgency::Urgency;
use super::usage::BlockedJobs;
use super::work_counts::Work;
use super::worker::Worker;
use crate::clock::US_PER_MS;

/// Minimum time between two placement rounds, in which ended runs and new jobs accumulate.
const MIN_ROUND_INTERVAL_MS: u64 = 8;
/// The interval between rounds grows by 1 ms per this many ready jobs.
const READY_JOBS_PER_MS: u64 = 16;
/// Rounds of a leader that is behind come later by as much as it is behind, up to this.
const MAX_ROUND_BACKOFF_MS: u64 = 40;
/// A job that its quota blocks is only looked up, which costs a small part of considering it.
const BLOCKED_JOBS_PER_READY_JOB: usize = 16;

/// Jobs to place in a round, by pool.
#[derive(Debug, Default)]
struct Ranking {
    by_pool: BTreeMap<Arc<str>, Vec<Urgency>>,
    blocked: BlockedJobs,
    /// Number of jobs whose urgency was determined.
    ranked_count: usize,
}

impl Scheduler {
    /// Runs a placement round if one is wanted and due.
    pub(super) fn place(&mut self, now_us: u64) {
        let is_wanted = self.wants_placement || self.complete_rounds.are_due(now_us) || now_us >= self.placement_due_us;
        if !is_wanted || now_us < self.next_placement_us || self.lease_until_us(now_us) <= now_us {
            return;
        }
        self.wants_placement = false;
        self.placement_due_us = u64::MAX;
        self.work_counts.add(Work::Rounds, 1);
        let Ranking { by_pool, blocked, mut ranked_count } = self.rank_jobs(now_us);
        self.log_blocked(now_us, &blocked);
        let mut rounds: BTreeMap<Arc<str>, PlacementRound> = BTreeMap::new();
        let pool_count = by_pool.len();
        for (index, (pool, jobs)) in by_pool.into_iter().enumerate() {
            let max_starts = self.max_starts(now_us, pool_count - index);
            let mut round = self.new_round(now_us, &pool, max_starts);
            self.place_in_pool(now_us, &pool, jobs, &mut round);
            rounds.insert(pool, round);
        }
        ranked_count += self.place_late_jobs(now_us, &mut rounds);
        self.complete_rounds.record(now_us, &rounds);
        for (pool, round) in rounds {
            if round.workers.is_empty() {
                continue;
            }
            match round.unplaceable_needs.is_empty() {
                true => self.pools_without_room.remove(&pool),
                false => self.pools_without_room.insert(pool),
            };
        }
        let considered_jobs = ranked_count + blocked.count / BLOCKED_JOBS_PER_READY_JOB;
        let backoff_ms = self.lag_ms.min(MAX_ROUND_BACKOFF_MS);
        let interval_ms = MIN_ROUND_INTERVAL_MS + considered_jobs as u64 / READY_JOBS_PER_MS + backoff_ms;
        self.next_placement_us = now_us + interval_ms * US_PER_MS;
    }

    fn new_round(&self, now_us: u64, pool: &str, max_starts: usize) -> PlacementRound {
        PlacementRound::new(self.candidates(now_us, pool), max_starts, self.complete_rounds.is_due_in(now_us, pool))
    }

    /// The urgency of all jobs that have begun or can be on time; the others are set aside.
    fn rank_jobs(&mut self, now_us: u64) -> Ranking {
        let mut ranking = Ranking::default();
        let mut late: Vec<(JobId, Arc<str>)> = Vec::new();
        // With organisations, late jobs come before on-time ones of organisations beyond their rate.
        let may_set_aside = self.catalog.organisations.is_empty();
        for id in self.ready_jobs.considered() {
            let Some(job) = self.jobs.get(id) else { continue };
            if let Some(organisation) = self.organisation_that_blocks(job) {
                ranking.blocked.record(&organisation.name, id);
                continue;
            }
            ranking.ranked_count += 1;
            let urgency = Urgency::of(now_us, job, job.queue.priority);
            let pool = &job.queue.pool;
            if urgency.is_late() && may_set_aside && !job.is_recurring() && !job.has_begun() {
                late.push((id.clone(), pool.clone()));
                continue;
            }
            if urgency.is_late() && self.is_behind() {
                self.has_postponed_jobs = true;
                continue;
            }
            match ranking.by_pool.get_mut(pool) {
                Some(jobs) => jobs.push(urgency),
                None => drop(ranking.by_pool.insert(pool.clone(), vec![urgency])),
            }
        }
        for (id, pool) in late {
            self.ready_jobs.set_late(&id, &pool);
        }
        self.work_counts.add(Work::JobsRanked, ranking.ranked_count);
        ranking
    }

    /// Places the jobs that were set aside, in pools where the others have left room. Returns their number.
    fn place_late_jobs(&mut self, now_us: u64, rounds: &mut BTreeMap<Arc<str>, PlacementRound>) -> usize {
        let pools = self.ready_jobs.pools_with_late();
        if self.is_behind() {
            self.has_postponed_jobs |= !pools.is_empty();
            return 0;
        }
        let mut ranked_count = 0;
        for pool in pools {
            let round = match rounds.entry(pool.clone()) {
                Entry::Occupied(entry) => entry.into_mut(),
                Entry::Vacant(entry) => {
                    let max_starts = self.max_starts(now_us, 1);
                    entry.insert(self.new_round(now_us, &pool, max_starts))
                }
            };
            if !round.allows_late_jobs() {
                continue;
            }
            let jobs = self.ready_jobs.late_in(&pool).filter_map(|id| self.jobs.get(id));
            let jobs: Vec<Urgency> = jobs.map(|job| Urgency::of(now_us, job, job.queue.priority)).collect();
            ranked_count += jobs.len();
            self.place_in_pool(now_us, &pool, jobs, round);
        }
        self.work_counts.add(Work::JobsRanked, ranked_count);
        ranked_count
    }

    /// Number of tasks that may start in the next of `pools_left` pools.
    fn max_starts(&mut self, now_us: u64, pools_left: usize) -> usize {
        let allowance = self.start_rate.allowance(now_us);
        allowance.map_or(usize::MAX, |allowance| allowance.div_ceil(pools_left.max(1)))
    }

    /// Places jobs of one pool until the round ends.
    fn place_in_pool(&mut self, now_us: u64, pool: &str, mut jobs: Vec<Urgency>, round: &mut PlacementRound) {
        if round.workers.is_empty() {
            return;
        }
        // The order matters only where some tasks find no worker.
        if self.pools_without_room.contains(pool) {
            self.give_up_late_jobs(now_us, pool, &round.workers, &mut jobs);
        }
        if let Some(starts_per_s) = self.start_rate.limit_per_s() {
            self.give_up_beyond_rate(now_us, starts_per_s, &mut jobs);
        }
        let level = self.fair_level(jobs.iter().map(|job| (job.share_class, job.organisation.as_ref())));
        let mut order = FairOrder::new(jobs, level, self.settings.policies.late_jobs);
        let mut workers = std::mem::take(&mut round.workers);
        while let Some(urgency) = order.next(|organisation| self.weighted_share(organisation)) {
            // Starts of long-running tasks are not limited.
            if round.placements_left == 0 && !urgency.is_long_running() {
                self.wants_placement = true;
                break;
            }
            self.place_job(now_us, &urgency.id, &mut workers, round);
            if round.has_no_capacity() {
                break;
            }
        }
        round.workers = workers;
    }

    /// Places the waiting tasks of a job's steps whose dependencies have completed.
    fn place_job(&mut self, now_us: u64, id: &JobId, workers: &mut [Candidate], round: &mut PlacementRound) {
        let Some(job) = self.jobs.get(id) else { return };
        let spec = job.spec.clone();
        let needs_advice = job.queue.advice.is_some();
        let organisation = self.organisation_of(job).cloned();
        let (mut is_quota_exhausted, mut has_tried) = (false, false);
        let numbers: Vec<u32> = job.occurrences.keys().copied().collect();
        for number in numbers {
            for (index, step) in spec.steps.iter().enumerate() {
                let Some(job) = self.jobs.get(id) else { return };
                if !job.is_step_unblocked(number, index) {
                    continue;
                }
                let first = job.task_ref(number, index, 0);
                if !self.may_start_within_quota(now_us, organisation.as_ref(), &first, step) {
                    is_quota_exhausted = true;
                    continue;
                }
                has_tried = true;
                if !step.gang && !round.may_fit(&step.reserved()) {
                    round.steps_without_capacity += u32::from(!step.long_running);
                    continue;
                }
                let Some(job) = self.jobs.get(id) else { return };
                let (waiting, has_delayed) = waiting_tasks(job, number, index, now_us);
                self.wants_placement |= has_delayed;
                if waiting.is_empty() {
                    continue;
                }
                if needs_advice {
                    self.allow_workers_with_ticket(now_us, &waiting[0], workers);
                }
                if step.avoids_sharing() {
                    self.allow_sharing(now_us, &waiting[0], workers);
                }
                if step.gang {
                    self.place_gang(now_us, &waiting, step, workers);
                } else {
                    self.place_tasks(now_us, &waiting, (step, organisation.as_ref()), workers, round);
                }
                let is_round_over = round.placements_left == 0 && !step.long_running;
                if needs_advice {
                    if !is_round_over {
                        self.request_missing_tickets(now_us, &waiting, (step, organisation.as_ref()), workers);
                    }
                    workers.iter_mut().for_each(|worker| worker.is_allowed = true);
                }
                if step.avoids_sharing() {
                    self.note_sharing(now_us, &waiting[0], step, workers);
                }
                if is_round_over {
                    return;
                }
            }
        }
        if has_tried || !is_quota_exhausted {
            self.refresh_job_without_placement(id);
        }
    }

    /// Updates a job's state as [`Scheduler::refresh_job`] does, but does not ask for another placement round.
    fn refresh_job_without_placement(&mut self, id: &JobId) {
        let wants_placement = self.wants_placement;
        self.refresh_job(id);
        self.wants_placement = wants_placement;
    }

    /// Places tasks of a step one by one, until no worker can take the next one.
    fn place_tasks(
        &mut self,
        now_us: u64,
        waiting: &[TaskRef],
        (step, organisation): (&Step, Option<&Arc<Organisation>>),
        workers: &mut [Candidate],
        round: &mut PlacementRound,
    ) {
        let needs = step.reserved();
        let mut chosen: Vec<Arc<str>> = Vec::new();
        let mut ranked: Option<RankedWorkers> = None;
        let tracks_siblings = step.has_placement_by_siblings();
        if tracks_siblings {
            set_siblings(workers, &self.siblings_per_worker(&waiting[0], step));
        }
        for task_ref in waiting {
            if (round.placements_left == 0 && !step.long_running)
                || !self.may_start_within_quota(now_us, organisation, task_ref, step)
            {
                break;
            }
            let is_shared = self.is_choice_shared(task_ref, step);
            let best = match is_shared {
                true => ranked.get_or_insert_with(|| self.rank_workers(step, workers)).take_best(),
                false => self.choose(now_us, task_ref, step, workers),
            };
            let Some(index) = best else {
                if self.has_own_choice(now_us, task_ref) {
                    continue;
                }
                if step.long_running {
                    reserve_worker_for_long_running(step, workers);
                }
                if step.has_no_placement_constraints() && workers.iter().all(|worker| worker.is_allowed) {
                    round.record_unplaceable(needs);
                    // Long-running tasks come first, so those that do not fit must not end the round.
                    round.steps_without_capacity += u32::from(!step.long_running);
                }
                break;
            };
            self.reserve(task_ref, step, &mut workers[index]);
            workers[index].siblings += u32::from(tracks_siblings);
            match &mut ranked {
                Some(ranked) if is_shared => ranked.put_back(index, step, workers),
                _ => ranked = None,
            }
            let worker = workers[index].id.clone();
            let run = self.task(task_ref).map_or(1, |task| task.last_run + 1);
            self.assign(now_us, task_ref, &worker, run);
            self.start_rate.record_start();
            round.record_placed();
            chosen.push(worker);
        }
        if tracks_siblings {
            workers.iter_mut().for_each(|worker| worker.siblings = 0);
        }
        if let Some(task_ref) = waiting.first().filter(|_| !chosen.is_empty()) {
            log::info!(
                "job={} step={}.{} placed={} waiting={} workers={} outcome=placed",
                task_ref.job,
                task_ref.occurrence,
                task_ref.step,
                chosen.len(),
                waiting.len() - chosen.len(),
                chosen.join(",")
            );
        }
    }

    /// Number of tasks of the same step and occurrence on each worker, for steps where placement depends on it.
    pub(super) fn siblings_per_worker(&self, task_ref: &TaskRef, step: &Step) -> HashMap<Arc<str>, u32> {
        let mut counts = HashMap::default();
        if !step.has_placement_by_siblings() {
            return counts;
        }
        let Some(job) = self.jobs.get(&task_ref.job) else { return counts };
        let Some(occurrence) = job.occurrences.get(&task_ref.occurrence) else { return counts };
        for task in &occurrence.steps[task_ref.step as usize].tasks {
            for worker in task.worker_ids() {
                *counts.entry(worker).or_default() += 1;
            }
        }
        counts
    }

    /// Index of the best worker that has capacity for a task.
    pub(super) fn choose(&self, now_us: u64, task_ref: &TaskRef, step: &Step, workers: &[Candidate]) -> Option<usize> {
        let task = self.task(task_ref)?;
        let is_suspect = self.is_suspect(task_ref);
        let must_be_alone = self.must_be_alone(now_us, task_ref, task);
        if must_be_alone && !may_isolate_another(workers) {
            return None;
        }
        self.work_counts.add(Work::WorkersCompared, workers.len());
        let mut best: Option<(Score, usize)> = None;
        for (index, worker) in workers.iter().enumerate() {
            if !worker.can_take(step)
                || (must_be_alone && worker.task_count > 0)
                || !self.may_start_on(task, &worker.id)
            {
                continue;
            }
            let score = score(worker, step, task.avoided_workers.contains(&worker.id), is_suspect);
            if best.as_ref().is_none_or(|(known, _)| score < *known) {
                best = Some((score, index));
            }
        }
        best.map(|(_, index)| index)
    }

    /// Whether a task that finds no worker may leave one to others of its step: it has to start on a worker without other
    /// tasks, or on the worker that a late start order for it may still reach.
    pub(super) fn has_own_choice(&self, now_us: u64, task_ref: &TaskRef) -> bool {
        let has_late_start = self.task(task_ref).is_some_and(|task| !task.late_starts.is_empty());
        has_late_start || self.waits_to_be_alone(now_us, task_ref)
    }

    /// Whether the tasks of a step that this one belongs to may all be placed by one comparison of the workers: nothing but
    /// the step tells which worker is the best.
    fn is_choice_shared(&self, task_ref: &TaskRef, step: &Step) -> bool {
        let task = self.task(task_ref);
        let has_own_choice = task.is_none_or(|task| !task.avoided_workers.is_empty() || !task.late_starts.is_empty())
            || self.is_suspect(task_ref);
        !step.long_running && !has_own_choice
    }

    /// Compares the workers for the tasks of a step whose choice is shared.
    fn rank_workers(&self, step: &Step, workers: &[Candidate]) -> RankedWorkers {
        self.work_counts.add(Work::WorkersCompared, workers.len());
        RankedWorkers::new(step, workers)
    }

    /// Places a run of a task on a worker. The start order is sent once the job's record is committed.
    pub(super) fn assign(&mut self, now_us: u64, task_ref: &TaskRef, worker: &Arc<str>, run: u32) {
        let Some(incarnation) = self.workers.get(worker).map(Worker::incarnation) else { return };
        let Some(job) = self.jobs.get_mut(&task_ref.job) else { return };
        let ready_us = job.ready_us(task_ref.occurrence, task_ref.step as usize);
        let Some(task) = job.task_mut(task_ref) else { return };
        if task.placed_on().is_none() {
            // The stages of a task with a copy are those of its other run.
            task.stages.place(ready_us, now_us);
        }
        self.place_run(now_us, task_ref, &incarnation, run, RunPhase::Committing);
        log::debug!(
            "job={} task={}.{}.{} run={run} worker={worker} outcome=assigned",
            task_ref.job,
            task_ref.occurrence,
            task_ref.step,
            task_ref.index
        );
        self.ready_jobs.set_begun(&task_ref.job);
        self.queue_start(task_ref, run);
    }
}

/// Keeps all other tasks off the worker that is likely to be the first with enough capacity for a long-running task:
/// the one with the most free CPU. Otherwise small tasks would take the capacity as it becomes free, and the
/// long-running task would wait for as long as there are small tasks.
fn reserve_worker_for_long_running(step: &Step, workers: &mut [Candidate]) {
    let mut best: Option<&mut Candidate> = None;
    for worker in workers {
        if worker.is_reserved || !worker.can_ever_run(step, worker.siblings) {
            continue;
        }
        if best.as_ref().is_none_or(|known| worker.free_capacity.cpu_milli > known.free_capacity.cpu_milli) {
            best = Some(worker);
        }
    }
    if let Some(worker) = best {
        worker.is_reserved = true;
    }
}

/// Tasks of a step that wait and may start now, and whether others wait for their retry delay to pass.
fn waiting_tasks(job: &Job, number: u32, step: usize, now_us: u64) -> (Vec<TaskRef>, bool) {
    let mut waiting = Vec::new();
    let mut has_delayed = false;
    let Some(occurrence) = job.occurrences.get(&number) else { return (waiting, has_delayed) };
    for (index, task) in occurrence.steps[step].tasks.iter().enumerate() {
        if task.state != TaskState::Waiting {
            continue;
        }
        if now_us < task.not_before_us {
            has_delayed = true;
            continue;
        }
        waiting.push(job.task_ref(number, step, index));
    }
    (waiting, has_delayed)
}
