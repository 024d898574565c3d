//! Keeps tasks that may crash their workers apart from others.
//!
//! Such a suspect next runs on a worker of its own if there is one, and never starts beside the run of another suspect that
//! its worker has not listed yet. So a further crash hits few other tasks, and shows which task is at fault.

use std::sync::Arc;

use foldhash::HashSet;

use super::candidate::Candidate;
use super::job::Task;
use super::model::{Step, TaskRef};
use super::scheduler::Scheduler;
use super::worker_loss::{ran_for_ms, STABLE_RUN_MS};

/// How long a suspect waits for a worker without other tasks. After that it may start beside others.
pub(super) const ISOLATION_WAIT_MS: u64 = 1_000;
/// A suspect that has run for this long no longer keeps other tasks off its worker.
const PROBATION_MS: u64 = 2_000;
/// Share of a pool's workers that may be kept free of other tasks for tasks that may crash them.
const MAX_ISOLATED_SHARE: f64 = 0.125;

impl Scheduler {
    /// Whether a task may start only on a worker without other tasks.
    pub(super) fn must_be_alone(&self, now_us: u64, task_ref: &TaskRef, task: &Task) -> bool {
        now_us < task.isolated_until_us && self.is_suspect(task_ref)
    }

    pub(super) fn is_suspect(&self, task_ref: &TaskRef) -> bool {
        self.lost_workers.suspects.contains(task_ref)
    }

    /// Workers that get no further tasks for now: they have not listed the run of a suspect yet, or their only task is a
    /// suspect that has not run for long.
    pub(super) fn isolated_workers(&self, now_us: u64) -> HashSet<Arc<str>> {
        let mut isolated = HashSet::default();
        for task_ref in &self.lost_workers.suspects {
            let Some(task) = self.task(task_ref) else { continue };
            for placed in task.placed_runs() {
                let id = &placed.worker.id;
                let is_only = self.workers.get(id).is_some_and(|worker| worker.tasks.len() == 1);
                let is_new = ran_for_ms(now_us, placed.phase) < PROBATION_MS;
                if !placed.report.is_listed || (is_only && is_new) {
                    isolated.insert(id.clone());
                }
            }
        }
        isolated
    }

    /// Forgets suspects that are done or have proved stable. While there are others, placement rounds go on without any
    /// other event, since tasks wait for isolated workers.
    pub(super) fn check_suspects(&mut self, now_us: u64) {
        for task_ref in self.stable_suspects(now_us) {
            let Some(task) = self.jobs.get_mut(&task_ref.job).and_then(|job| job.task_mut(&task_ref)) else { continue };
            task.losses.clear();
            self.mark_dirty(&task_ref.job);
        }
        let jobs = &self.jobs;
        self.lost_workers.suspects.retain(|task_ref| {
            let job = jobs.get(&task_ref.job).filter(|job| !job.phase.is_final());
            job.and_then(|job| job.task(task_ref)).is_some_and(|task| !task.is_done && task.is_suspect())
        });
        self.wants_placement |= !self.lost_workers.suspects.is_empty();
    }

    /// Long-running suspects that have run for [`STABLE_RUN_MS`].
    fn stable_suspects(&self, now_us: u64) -> Vec<TaskRef> {
        let mut stable = Vec::new();
        for task_ref in &self.lost_workers.suspects {
            if !self.step_of(task_ref).is_some_and(|step| step.long_running) {
                continue;
            }
            let Some(task) = self.task(task_ref) else { continue };
            if task.placed_runs().any(|placed| ran_for_ms(now_us, placed.phase) >= STABLE_RUN_MS) {
                stable.push(task_ref.clone());
            }
        }
        stable
    }

    /// Reserves capacity for a task on the worker chosen for it.
    pub(super) fn reserve(&self, task_ref: &TaskRef, step: &Step, worker: &mut Candidate) {
        worker.is_isolated = self.is_suspect(task_ref);
        worker.reserve(step);
    }

    /// Whether a task waits for a worker without other tasks.
    pub(super) fn waits_to_be_alone(&self, now_us: u64, task_ref: &TaskRef) -> bool {
        let task = self.task(task_ref);
        task.is_some_and(|task| self.must_be_alone(now_us, task_ref, task))
    }
}

/// Whether a further worker may be kept free of other tasks for a task that may crash it.
pub(super) fn may_isolate_another(workers: &[Candidate]) -> bool {
    let isolated = workers.iter().filter(|worker| worker.is_isolated).count();
    isolated < ((workers.len() as f64 * MAX_ISOLATED_SHARE) as usize).max(1)
}
