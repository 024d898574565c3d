//! State transitions of jobs and tasks: completion and failure.

use std::sync::Arc;

use super::job::{RunPhase, TaskState, WorkerIncarnation};
use super::model::{EndedRun, JobId, JobPhase, RunOutcome, TaskRef};
use super::run_end::Observation;
use super::run_stops::StopReason;
use super::scheduler::Scheduler;
use super::stages::Stage;
use crate::clock::US_PER_MS;

/// Delay before a failed task is placed again.
const RETRY_DELAY_MS: u64 = 20;
/// Maximum number of workers that a task avoids because it failed there.
const MAX_AVOIDED_WORKERS: usize = 6;

impl Scheduler {
    /// Completes a job whose tasks have all completed, and updates whether it has tasks that could start.
    pub(super) fn refresh_job(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if !job.phase.is_final() && job.is_complete() {
            job.phase = JobPhase::Completed;
            log::info!("job={id} outcome=completed");
            self.count_completed(id);
            self.mark_dirty(id);
        }
        let Some(job) = self.jobs.get(id) else { return };
        let mut is_ready = false;
        if !job.phase.is_final() {
            for (number, occurrence) in &job.occurrences {
                for (step, state) in occurrence.steps.iter().enumerate() {
                    let has_waiting = state.tasks.iter().any(|task| task.state == TaskState::Waiting);
                    is_ready |= has_waiting && job.is_step_unblocked(*number, step);
                }
            }
        }
        if is_ready {
            self.wants_placement = true;
            self.ready_jobs.insert(id);
        } else {
            self.ready_jobs.remove(id);
        }
    }

    /// Begins all occurrences of a recurring job that are due.
    pub(super) fn begin_due_occurrences(&mut self, now_us: u64, now_unix_ms: u64, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if !job.is_recurring() || job.phase.is_final() {
            return;
        }
        let mut has_begun = false;
        while job.is_occurrence_due(now_unix_ms) {
            let number = job.next_occurrence;
            job.begin_occurrence(number);
            has_begun = true;
        }
        if has_begun {
            let queue = self.jobs[id].queue.clone();
            if let Some(job) = self.jobs.get_mut(id) {
                job.set_begun(now_us);
                job.set_deadline(now_us, queue.stretch, queue.target_latency_ms);
            }
            self.mark_dirty(id);
            self.refresh_job(id);
        }
    }

    /// Begins the due occurrences of all recurring jobs.
    pub(super) fn begin_all_due_occurrences(&mut self, now_us: u64, now_unix_ms: u64) {
        let recurring: Vec<JobId> = self.recurring_jobs.iter().cloned().collect();
        for id in recurring {
            self.begin_due_occurrences(now_us, now_unix_ms, &id);
            if self.jobs.get(&id).is_none_or(|job| job.phase.is_final()) {
                self.recurring_jobs.remove(&id);
            }
        }
    }

    /// Places a run of a task on a worker and reserves its capacity: the only run of the task, or a copy of the one that
    /// it has.
    pub(super) fn place_run(
        &mut self,
        now_us: u64,
        task_ref: &TaskRef,
        incarnation: &WorkerIncarnation,
        run: u32,
        phase: RunPhase,
    ) {
        let Some(task) = self.jobs.get_mut(&task_ref.job).and_then(|job| job.task_mut(task_ref)) else { return };
        task.add_run(now_us, incarnation.clone(), run, phase);
        self.count_placed(task_ref);
        self.attach(task_ref, incarnation);
    }

    /// Stops all members of a gang: they cannot run without the missing one.
    pub(super) fn stop_gang(&mut self, now_us: u64, missing: &TaskRef) {
        let Some(job) = self.jobs.get(&missing.job) else { return };
        let Some(occurrence) = job.occurrences.get(&missing.occurrence) else { return };
        let members = occurrence.steps[missing.step as usize].tasks.len();
        for index in 0..members {
            let member = TaskRef { index: index as u32, ..missing.clone() };
            self.stop_task_runs(now_us, &member, StopReason::GangIncomplete);
        }
    }

    /// Processes the end of a run. Repeated reports of the same end have no effect.
    pub(super) fn run_ended(&mut self, now_us: u64, worker: &Arc<str>, ended_run: &EndedRun) {
        let task_ref = &ended_run.task;
        let Some(job) = self.jobs.get_mut(&task_ref.job) else {
            log::warn!("job={} worker={worker} run={} outcome=end_of_unknown_job", task_ref.job, ended_run.run);
            return;
        };
        let Some(task) = job.task_mut(task_ref) else { return };
        let is_current = task.run_on(worker).is_some_and(|placed| placed.run == ended_run.run);
        let level = match ended_run.outcome {
            RunOutcome::Done if is_current => log::Level::Debug,
            _ => log::Level::Info,
        };
        log::log!(
            level,
            "job={} task={}.{}.{} run={} worker={worker} end={:?} current={is_current} outcome=ended",
            task_ref.job,
            task_ref.occurrence,
            task_ref.step,
            task_ref.index,
            ended_run.run,
            ended_run.outcome
        );
        // A late start order may complete the task after a later run of it has ended.
        if ended_run.run <= task.highest_ended_run && !is_current && ended_run.outcome != RunOutcome::Done {
            return;
        }
        let ended = task.run_on(worker).filter(|_| is_current);
        let ran_since_us = match ended.map(|placed| placed.phase) {
            Some(RunPhase::Running { since_us }) => Some(since_us),
            _ => None,
        };
        // A checkpoint of a copy may be older than those of the run beside it.
        let may_keep_checkpoint = !ended.is_some_and(|placed| placed.is_copy);
        task.highest_ended_run = task.highest_ended_run.max(ended_run.run);
        if !ended_run.checkpoint.is_empty() && may_keep_checkpoint {
            task.checkpoint = ended_run.checkpoint.clone();
        }
        let long_running = job.spec.steps[task_ref.step as usize].long_running;
        if !job.phase.is_final() {
            job.last_end_us = now_us;
        }
        if let (RunOutcome::Done, Some(since_us)) = (ended_run.outcome, ran_since_us) {
            let estimate_ms = job.spec.steps[task_ref.step as usize].estimate_ms;
            let queue = job.spec.queue.name.clone();
            let run_ms = now_us.saturating_sub(since_us) / US_PER_MS;
            job.record_run_time(task_ref, run_ms);
            self.run_times.record(&queue, estimate_ms, run_ms);
            self.record_speed(now_us, worker, &queue, (estimate_ms, run_ms));
        }
        self.mark_progressed(&task_ref.job);
        match ended_run.outcome {
            RunOutcome::Done if !long_running => {
                self.task_done(now_us, task_ref, ended_run.run);
                // Another run may have completed the task before.
                if is_current {
                    self.release_if_over(now_us, task_ref, worker, Observation::EndListed);
                }
            }
            // A long-running task should run until it is stopped, so any other end is a failure.
            RunOutcome::Done | RunOutcome::Failed => self.task_failed(now_us, worker, task_ref, is_current),
            RunOutcome::Stopped
            | RunOutcome::LeaseExpired
            | RunOutcome::GangMemberEnded
            | RunOutcome::GangIncomplete => {
                if is_current {
                    self.release_if_over(now_us, task_ref, worker, Observation::EndListed);
                }
            }
        }
        if let Some(worker) = self.workers.get_mut(worker) {
            match ended_run.outcome {
                RunOutcome::Done => worker.record_success(),
                RunOutcome::Failed if !long_running => worker.record_failure(now_us, &task_ref.job),
                _ => {}
            }
        }
    }

    /// Compares a run's time with the median of its queue, for the speed of its worker. `times` are the estimated and the
    /// actual run time, or the age of a run that is stopped because its copy has completed.
    pub(super) fn record_speed(&mut self, now_us: u64, worker: &Arc<str>, queue: &str, times: (u64, u64)) {
        let (estimate_ms, run_ms) = times;
        let ratio = self.run_times.queue(queue).and_then(|known| known.ratio_to_median(estimate_ms, run_ms));
        let (Some(state), Some(ratio)) = (self.workers.get_mut(worker), ratio) else { return };
        let was_slow = state.speed.is_slow(now_us);
        state.speed.record(now_us, ratio);
        let is_slow = state.speed.is_slow(now_us);
        if is_slow != was_slow {
            let outcome = if is_slow { "slow" } else { "no_longer_slow" };
            log::info!(
                "worker={worker} ratio={:.2} runs={} outcome={outcome}",
                state.speed.ratio(),
                state.speed.run_count()
            );
        }
    }

    fn task_done(&mut self, now_us: u64, task_ref: &TaskRef, run: u32) {
        let Some(job) = self.jobs.get(&task_ref.job) else { return };
        let step = &job.spec.steps[task_ref.step as usize];
        // The completion of one member completes the whole gang.
        let members = if step.gang { 0..step.count } else { task_ref.index..task_ref.index + 1 };
        for index in members {
            self.mark_task_done(now_us, &TaskRef { index, ..task_ref.clone() }, run);
        }
        self.refresh_job(&task_ref.job);
    }

    fn mark_task_done(&mut self, now_us: u64, task_ref: &TaskRef, run: u32) {
        let Some(job) = self.jobs.get_mut(&task_ref.job) else { return };
        let spec = job.spec.clone();
        let Some(task) = job.task_mut(task_ref) else { return };
        if task.is_done {
            return;
        }
        task.is_done = true;
        task.losses.clear();
        if task.run == run && task.placed_on().is_some() {
            task.stages.pass(Stage::Ended, now_us);
            self.stage_log.record_task(task_ref, &spec.steps[task_ref.step as usize], task);
        }
        let has_copy = task.copy.is_some();
        let placed: Vec<(Arc<str>, u32)> =
            task.placed_runs().map(|placed| (placed.worker.id.clone(), placed.run)).collect();
        if placed.is_empty() {
            task.state = TaskState::Done;
        }
        if let Some(occurrence) = job.occurrences.get_mut(&task_ref.occurrence) {
            let step = &mut occurrence.steps[task_ref.step as usize];
            step.done_count += 1;
            step.completed_us = now_us;
        }
        if has_copy {
            self.record_completion_with_copy(now_us, task_ref, run);
        }
        for (worker, placed_run) in placed {
            if placed_run == run {
                self.release_if_over(now_us, task_ref, &worker, Observation::EndListed);
            } else {
                // Another run holds resources of its worker until it has been stopped.
                self.order_stop(now_us, task_ref, &worker, StopReason::TaskDone);
            }
        }
        self.wants_placement = true;
    }

    fn task_failed(&mut self, now_us: u64, worker: &Arc<str>, task_ref: &TaskRef, is_current: bool) {
        let Some(job) = self.jobs.get(&task_ref.job) else { return };
        let max_attempts = job.queue.max_attempts;
        let long_running = job.spec.steps[task_ref.step as usize].long_running;
        let Some(task) = self.jobs.get_mut(&task_ref.job).and_then(|job| job.task_mut(task_ref)) else { return };
        task.failures += 1;
        task.not_before_us = now_us + RETRY_DELAY_MS * US_PER_MS;
        if !task.avoided_workers.contains(worker) && task.avoided_workers.len() < MAX_AVOIDED_WORKERS {
            task.avoided_workers.push(worker.clone());
        }
        let is_exhausted = !long_running && task.failures >= max_attempts;
        if is_current {
            self.release_if_over(now_us, task_ref, worker, Observation::EndListed);
        }
        if !is_exhausted {
            return;
        }
        log::warn!("job={} attempts={max_attempts} outcome=attempts_exhausted", task_ref.job);
        self.fail_job(now_us, &task_ref.job);
    }

    /// Ends a job that cannot complete, unless its phase is final already.
    pub(super) fn fail_job(&mut self, now_us: u64, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.phase.is_final() {
            return;
        }
        job.phase = JobPhase::Failed;
        log::warn!("job={id} outcome=failed");
        self.mark_dirty(id);
        self.stop_job_runs(now_us, id);
        self.refresh_job(id);
    }
}
