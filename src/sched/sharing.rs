//! Workers that tasks with a latency target share with best-effort tasks, which disturb them.
//!
//! A task is placed on a worker without tasks of the other kind if there is one. Otherwise it waits for a short time, in
//! which a host may move to the pool, and then shares a worker. There, [`pace`](super::pace) slows the best-effort tasks
//! down as far as the latency of the others requires.

use super::candidate::Candidate;
use super::job::{StepState, TaskState};
use super::model::{Step, TaskRef};
use super::scheduler::Scheduler;
use crate::clock::US_PER_MS;

/// How long tasks wait for a worker of their own kind. A host that moves to the pool takes about as long.
const UNSHARED_WAIT_MS: u64 = 1_500;

impl Step {
    /// Whether it matters which kind of tasks a worker runs.
    pub(super) fn avoids_sharing(&self) -> bool {
        self.best_effort || self.target_ms.is_some()
    }
}

impl Candidate {
    /// Whether a task of this step would disturb tasks on the worker, or be disturbed by them.
    pub(super) fn would_share(&self, step: &Step) -> bool {
        (step.best_effort && self.latency_target_count > 0) || (step.target_ms.is_some() && self.best_effort_count > 0)
    }
}

impl Scheduler {
    fn step_state(&self, task_ref: &TaskRef) -> Option<&StepState> {
        let occurrence = self.jobs.get(&task_ref.job)?.occurrences.get(&task_ref.occurrence)?;
        occurrence.steps.get(task_ref.step as usize)
    }

    /// Lets the tasks of a step share workers if they have waited long enough for others.
    pub(super) fn allow_sharing(&self, now_us: u64, task_ref: &TaskRef, workers: &mut [Candidate]) {
        let since_us = self.step_state(task_ref).and_then(|state| state.lacks_unshared_since_us);
        let may_share = since_us.is_some_and(|since_us| now_us >= since_us + UNSHARED_WAIT_MS * US_PER_MS);
        workers.iter_mut().for_each(|worker| worker.may_share = may_share);
    }

    /// Notes whether tasks of a step have found no worker without tasks of the other kind, and asks for a placement round
    /// when they may share one.
    pub(super) fn note_sharing(&mut self, now_us: u64, task_ref: &TaskRef, step: &Step, workers: &mut [Candidate]) {
        workers.iter_mut().for_each(|worker| worker.may_share = false);
        let can_share = workers.iter().any(|worker| worker.would_share(step));
        let Some(occurrence) =
            self.jobs.get_mut(&task_ref.job).and_then(|job| job.occurrences.get_mut(&task_ref.occurrence))
        else {
            return;
        };
        let state = &mut occurrence.steps[task_ref.step as usize];
        if !can_share || state.tasks.iter().all(|task| task.state != TaskState::Waiting) {
            state.lacks_unshared_since_us = None;
            return;
        }
        let since_us = *state.lacks_unshared_since_us.get_or_insert(now_us);
        let due_us = since_us + UNSHARED_WAIT_MS * US_PER_MS;
        if now_us < due_us {
            self.placement_due_us = self.placement_due_us.min(due_us);
        }
    }
}
