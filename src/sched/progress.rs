//! How jobs advance: work items released, done, failed, stopped.

use std::sync::Arc;

use super::action::Action;
use super::job::{RunPhase, TaskState};
use super::model::{EndedRun, JobId, JobPhase, RunOutcome, TaskRef};
use super::scheduler::Scheduler;
use crate::clock::US_PER_MS;

/// Pause before a work item that failed starts again.
const FAILURE_PAUSE_MS: u64 = 20;
/// Pause between two orders to stop the same run.
pub(super) const STOP_RETRY_MS: u64 = 400;
/// Workers remembered for having failed a work item.
const MAX_AVOIDED: usize = 6;

impl Scheduler {
    /// Updates what follows from a job's work items.
    pub(super) fn refresh_job(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if !job.phase.is_final() && job.is_complete() {
            job.phase = JobPhase::Completed;
            log::info!("job={id} outcome=completed");
            self.mark_dirty(id);
        }
        let Some(job) = self.jobs.get(id) else { return };
        let mut is_ready = false;
        if !job.phase.is_final() {
            for (number, occurrence) in &job.occurrences {
                for (step, state) in occurrence.steps.iter().enumerate() {
                    let waits = state.tasks.iter().any(|task| task.state == TaskState::Waiting);
                    is_ready |= waits && job.is_step_unblocked(*number, step);
                }
            }
        }
        if is_ready {
            self.wants_placement = true;
            self.ready.insert(id.clone());
        } else {
            self.ready.remove(id);
        }
    }

    /// Begins the occurrences of a job on a timetable that are due.
    pub(super) fn begin_due_occurrences(&mut self, now_us: u64, now_unix_ms: u64, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if !job.is_scheduled() || job.phase.is_final() {
            return;
        }
        let mut begun = false;
        while job.next_occurrence < job.occurrence_count() && job.due_unix_ms(job.next_occurrence) <= now_unix_ms {
            let number = job.next_occurrence;
            job.begin_occurrence(number);
            begun = true;
        }
        if begun {
            let queue = self.queue_of(&self.jobs[id]);
            if let Some(job) = self.jobs.get_mut(id) {
                job.set_deadline(now_us, queue.stretch, queue.target_latency_ms);
            }
            self.mark_dirty(id);
            self.refresh_job(id);
        }
    }

    pub(super) fn begin_all_due_occurrences(&mut self, now_us: u64, now_unix_ms: u64) {
        let timed: Vec<JobId> = self.timed.iter().cloned().collect();
        for id in timed {
            self.begin_due_occurrences(now_us, now_unix_ms, &id);
            if self.jobs.get(&id).is_none_or(|job| job.phase.is_final()) {
                self.timed.remove(&id);
            }
        }
    }

    /// Takes a work item off its worker; it may start again.
    pub(super) fn release_task(&mut self, now_us: u64, at: &TaskRef) {
        let Some(job) = self.jobs.get_mut(&at.job) else { return };
        let spec = job.spec.clone();
        let Some(task) = job.task_mut(at) else { return };
        let Some(life) = task.placed_on().cloned() else { return };
        task.state = if task.is_done { TaskState::Done } else { TaskState::Waiting };
        task.percent = 0;
        task.load = None;
        task.pace_percent = 100;
        let is_done = task.is_done;
        let step = &spec.steps[at.step as usize];
        if let Some(worker) = self.workers.get_mut(&life.id) {
            if worker.incarnation() == life {
                worker.detach(now_us, at, step);
            }
        }
        if step.gang && !is_done {
            self.stop_gang(now_us, at);
        }
        self.wants_placement = true;
        self.refresh_job(&at.job);
    }

    /// A member of a gang is away: the others cannot work without it.
    fn stop_gang(&mut self, now_us: u64, away: &TaskRef) {
        let Some(job) = self.jobs.get(&away.job) else { return };
        let Some(occurrence) = job.occurrences.get(&away.occurrence) else { return };
        let members = occurrence.steps[away.step as usize].tasks.len();
        for index in 0..members {
            self.order_stop(now_us, &TaskRef { index: index as u32, ..away.clone() });
        }
    }

    /// Takes the end of a run on a worker. Hearing of it again changes nothing.
    pub(super) fn run_ended(&mut self, now_us: u64, worker: &Arc<str>, row: &EndedRun) {
        let at = &row.task;
        let Some(job) = self.jobs.get_mut(&at.job) else {
            log::warn!("job={} worker={worker} run={} outcome=end_of_unknown_job", at.job, row.run);
            return;
        };
        let Some(task) = job.task_mut(at) else { return };
        let is_here = task.placed_on().is_some_and(|life| life.id == *worker) && task.run == row.run;
        let level = match row.kind {
            RunOutcome::Done if is_here => log::Level::Debug,
            _ => log::Level::Info,
        };
        log::log!(
            level,
            "job={} task={}.{}.{} run={} worker={worker} end={:?} current={is_here} outcome=ended",
            at.job,
            at.occurrence,
            at.step,
            at.index,
            row.run,
            row.kind
        );
        if row.run <= task.settled_run && !is_here {
            return;
        }
        let ran_since_us = match &task.state {
            TaskState::Placed { phase: RunPhase::Running { since_us }, .. } if is_here => Some(*since_us),
            _ => None,
        };
        task.settled_run = task.settled_run.max(row.run);
        if !row.checkpoint.is_empty() {
            task.checkpoint = row.checkpoint.clone();
        }
        let long_running = job.spec.steps[at.step as usize].long_running;
        if let (RunOutcome::Done, Some(since_us)) = (row.kind, ran_since_us) {
            let estimate_ms = job.spec.steps[at.step as usize].estimate_ms;
            let queue = job.spec.queue.name.clone();
            self.duties.note_run_time(&queue, estimate_ms, now_us.saturating_sub(since_us) / US_PER_MS);
        }
        self.mark_dirty(&at.job);
        match row.kind {
            RunOutcome::Done if !long_running => self.task_done(now_us, at, row.run),
            RunOutcome::Done | RunOutcome::Failed => self.task_failed(now_us, worker, at, is_here),
            RunOutcome::Stopped
            | RunOutcome::LeaseExpired
            | RunOutcome::GangMemberEnded
            | RunOutcome::GangIncomplete => {
                if is_here {
                    self.release_task(now_us, at);
                }
            }
        }
        if let Some(worker) = self.workers.get_mut(worker) {
            match row.kind {
                RunOutcome::Done => worker.succeeded(),
                RunOutcome::Failed if !long_running => worker.record_failure(now_us, &at.job),
                _ => {}
            }
        }
    }

    fn task_done(&mut self, now_us: u64, at: &TaskRef, run: u32) {
        let Some(job) = self.jobs.get(&at.job) else { return };
        let step = &job.spec.steps[at.step as usize];
        // One end of a gang's member stands for all members.
        let members = if step.gang { 0..step.count } else { at.index..at.index + 1 };
        for index in members {
            self.finish_task(now_us, &TaskRef { index, ..at.clone() }, run);
        }
        self.refresh_job(&at.job);
    }

    fn finish_task(&mut self, now_us: u64, at: &TaskRef, run: u32) {
        let Some(job) = self.jobs.get_mut(&at.job) else { return };
        let Some(task) = job.task_mut(at) else { return };
        if task.is_done {
            return;
        }
        task.is_done = true;
        let has_later_run = task.run != run && task.placed_on().is_some();
        if task.placed_on().is_none() {
            task.state = TaskState::Done;
        }
        if let Some(occurrence) = job.occurrences.get_mut(&at.occurrence) {
            occurrence.steps[at.step as usize].done += 1;
        }
        if has_later_run {
            // It holds its worker's room until it has been stopped.
            self.order_stop(now_us, at);
        } else {
            self.release_task(now_us, at);
        }
        self.wants_placement = true;
    }

    fn task_failed(&mut self, now_us: u64, worker: &Arc<str>, at: &TaskRef, is_here: bool) {
        let Some(job) = self.jobs.get(&at.job) else { return };
        let max_attempts = self.queue_of(job).max_attempts;
        let long_running = job.spec.steps[at.step as usize].long_running;
        let Some(task) = self.jobs.get_mut(&at.job).and_then(|job| job.task_mut(at)) else { return };
        task.failures += 1;
        task.not_before_us = now_us + FAILURE_PAUSE_MS * US_PER_MS;
        if !task.avoided_workers.contains(worker) && task.avoided_workers.len() < MAX_AVOIDED {
            task.avoided_workers.push(worker.clone());
        }
        let exhausted = !long_running && task.failures >= max_attempts;
        if is_here {
            self.release_task(now_us, at);
        }
        if !exhausted {
            return;
        }
        let Some(job) = self.jobs.get_mut(&at.job) else { return };
        if job.phase.is_final() {
            return;
        }
        job.phase = JobPhase::Failed;
        log::warn!("job={} attempts={max_attempts} outcome=failed", at.job);
        self.stop_job_runs(now_us, &at.job.clone());
        self.refresh_job(&at.job);
    }

    /// Ends every run of a job.
    pub(super) fn stop_job_runs(&mut self, now_us: u64, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let placed: Vec<TaskRef> =
            job.tasks().filter(|(_, task)| task.placed_on().is_some()).map(|(at, _)| at).collect();
        for at in placed {
            self.order_stop(now_us, &at);
        }
    }

    /// Orders the end of a run, unless that is under way already.
    pub(super) fn order_stop(&mut self, now_us: u64, at: &TaskRef) {
        let Some(task) = self.jobs.get_mut(&at.job).and_then(|job| job.task_mut(at)) else { return };
        let TaskState::Placed { worker: life, phase } = &mut task.state else { return };
        match phase {
            RunPhase::Stopping { .. } => return,
            RunPhase::Persisting => {
                // No order has gone out.
                self.release_task(now_us, at);
                return;
            }
            RunPhase::Ordered | RunPhase::Unanswered { .. } | RunPhase::Running { .. } | RunPhase::Inherited => {}
        }
        *phase = RunPhase::Stopping { next_retry_us: now_us + STOP_RETRY_MS * US_PER_MS, acknowledged_us: None };
        let worker = life.id.clone();
        let run = task.run;
        self.actions.push(Action::Stop { worker, task: at.clone(), run });
    }

    /// Repeats orders to stop that were not confirmed.
    pub(super) fn retry_stops(&mut self, now_us: u64) {
        let mut again = Vec::new();
        for worker in self.workers.values() {
            for at in &worker.tasks {
                let Some(task) = self.jobs.get(&at.job).and_then(|job| job.task(at)) else { continue };
                let TaskState::Placed { phase: RunPhase::Stopping { next_retry_us, acknowledged_us: None }, .. } =
                    task.state
                else {
                    continue;
                };
                if now_us >= next_retry_us {
                    again.push((worker.entry.id.clone(), at.clone(), task.run));
                }
            }
        }
        for (worker, at, run) in again {
            let Some(task) = self.jobs.get_mut(&at.job).and_then(|job| job.task_mut(&at)) else { continue };
            if let TaskState::Placed { phase: RunPhase::Stopping { next_retry_us, .. }, .. } = &mut task.state {
                *next_retry_us = now_us + STOP_RETRY_MS * US_PER_MS;
            }
            self.actions.push(Action::Stop { worker, task: at, run });
        }
    }

    /// Takes the work that lasts off a worker that leaves.
    pub(super) fn evacuate(&mut self, now_us: u64, worker: &Arc<str>) {
        let Some(state) = self.workers.get(worker) else { return };
        let mut leaving = Vec::new();
        for at in &state.tasks {
            let Some(step) = self.step_of(at) else { continue };
            if step.long_running {
                leaving.push(at.clone());
            }
        }
        for at in leaving {
            self.order_stop(now_us, &at);
        }
    }
}
