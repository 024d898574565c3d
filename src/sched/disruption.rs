//! Disruption budgets: how many tasks of a step may be unavailable because of the leader's own orders.
//!
//! Only what workers have reported lately, and after the latest gap in the leader's knowledge, counts as available. Every
//! stop order that can wait is checked here.

use std::sync::Arc;

use super::job::{RunPhase, Task, TaskState};
use super::model::TaskRef;
use super::run_stops::StopReason;
use super::scheduler::Scheduler;
use crate::clock::US_PER_MS;

/// Time for a stop order to reach a worker, in addition to the time that the stop takes.
const STOP_DELIVERY_MS: u64 = 200;

impl Scheduler {
    /// Whether the disruption budget of a task's step allows the task to be stopped now for this reason.
    pub(super) fn may_disrupt(&self, now_us: u64, task_ref: &TaskRef, reason: StopReason) -> bool {
        let Some(max_unavailable) = self.step_of(task_ref).and_then(|step| step.max_unavailable) else { return true };
        let Some(occurrence) = self.jobs.get(&task_ref.job).and_then(|job| job.occurrences.get(&task_ref.occurrence))
        else {
            return true;
        };
        let tasks = &occurrence.steps[task_ref.step as usize].tasks;
        if !tasks[task_ref.index as usize].may_be_at_work() {
            return true;
        }
        let mut others_unavailable = 0;
        for (index, other) in tasks.iter().enumerate() {
            if index as u32 == task_ref.index {
                continue;
            }
            others_unavailable += u32::from(!self.is_available(now_us, other, reason));
        }
        others_unavailable < max_unavailable
    }

    /// Whether a task counts as available in its step's budget: it is fully at work, as its registered worker has
    /// reported lately. Whatever the leader does not know for certain counts as unavailable. A task on a worker that drains
    /// leaves soon, so it counts only for the stops of tasks that leave for the same reason.
    fn is_available(&self, now_us: u64, task: &Task, reason: StopReason) -> bool {
        let Some(worker) = task.placed_on().and_then(|incarnation| self.workers.get(&incarnation.id)) else {
            return false;
        };
        if worker.entry.draining && reason != StopReason::WorkerDraining {
            return false;
        }
        task.is_fully_running() && worker.is_listed && worker.has_reported_since(now_us, self.knowledge_since_us)
    }

    /// Stops long-running tasks of workers that drain, so that they are placed elsewhere: within the disruption budgets
    /// while the workers stay, then all that are left, because they would end with their workers.
    pub(super) fn evict_long_running(&mut self, now_us: u64) {
        let mut evicted = Vec::new();
        for worker in self.workers.values() {
            if !worker.entry.draining || worker.long_running_count == 0 {
                continue;
            }
            for task_ref in &worker.tasks {
                if self.step_of(task_ref).is_some_and(|step| step.long_running) {
                    evicted.push((task_ref.clone(), worker.entry.id.clone()));
                }
            }
        }
        // One after the other: each stop counts in the budget of the next one.
        for (task_ref, worker) in evicted {
            if self.may_evict(now_us, &task_ref, &worker) {
                self.order_stop(now_us, &task_ref, &worker, StopReason::WorkerDraining);
            }
        }
    }

    fn may_evict(&self, now_us: u64, task_ref: &TaskRef, worker: &Arc<str>) -> bool {
        if self.may_disrupt(now_us, task_ref, StopReason::WorkerDraining) {
            return true;
        }
        let leaves_at_us = self.workers.get(worker).map_or(0, |worker| worker.leaves_at_us);
        let stop_us = self.stop_grace_us() + STOP_DELIVERY_MS * US_PER_MS;
        let is_leaving_soon = now_us + stop_us >= leaves_at_us;
        // The stop of another task that was allowed while this one was at work must end before this one does.
        now_us >= leaves_at_us || (is_leaving_soon && !self.is_stop_pending_beside(task_ref))
    }

    /// Whether another task of the step is being stopped on a worker that does not drain.
    fn is_stop_pending_beside(&self, task_ref: &TaskRef) -> bool {
        let Some(occurrence) = self.jobs.get(&task_ref.job).and_then(|job| job.occurrences.get(&task_ref.occurrence))
        else {
            return false;
        };
        let tasks = occurrence.steps[task_ref.step as usize].tasks.iter().enumerate();
        let mut others = tasks.filter(|(index, _)| *index as u32 != task_ref.index);
        others.any(|(_, task)| {
            let TaskState::Placed { worker, phase: RunPhase::Stopping { .. } } = &task.state else { return false };
            self.workers.get(&worker.id).is_some_and(|worker| !worker.entry.draining)
        })
    }

    /// Whether a worker has reported its runs lately.
    pub(super) fn is_reporting(&self, now_us: u64, worker: &str) -> bool {
        let worker = self.workers.get(worker);
        worker.is_some_and(|worker| worker.has_reported_since(now_us, self.knowledge_since_us))
    }
}
