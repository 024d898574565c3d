//! Availability of long-running tasks as their workers have it, and the check of disruption budgets.

use super::super::model::TaskRef;
use super::worker::Run;
use super::{Sim, Violation};
use crate::clock::US_PER_MS;

/// A task that is not at work for this long counts as unavailable, whatever the cause.
const UNAVAILABLE_AFTER_US: u64 = 4_500 * US_PER_MS;
/// A lease that expires this long after the latest fault counts as an order of the leader.
const CALM_US: u64 = 12_000 * US_PER_MS;

/// Since when a task is away, and whether an order ended its latest run. Both are cleared when it is fully at work.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct TaskAvailability {
    was_ended_by_order: bool,
    away_since_us: Option<u64>,
}

impl TaskAvailability {
    fn is_unavailable(&self, now_us: u64) -> bool {
        let is_long_away = self.away_since_us.is_some_and(|since_us| now_us >= since_us + UNAVAILABLE_AFTER_US);
        self.was_ended_by_order || is_long_away
    }
}

impl Sim {
    /// Tasks of the first occurrence of all steps with a disruption budget.
    fn budgeted_tasks(&self) -> Vec<TaskRef> {
        let mut tasks = Vec::new();
        for (id, spec) in &self.specs {
            for (number, step) in spec.steps.iter().enumerate() {
                if step.max_unavailable.is_none() {
                    continue;
                }
                for index in 0..step.count {
                    tasks.push(TaskRef { job: id.clone(), occurrence: 0, step: number as u32, index });
                }
            }
        }
        tasks
    }

    fn is_fully_at_work(&self, task: &TaskRef) -> bool {
        let workers = self.workers.values().filter(|worker| worker.is_up);
        workers.flat_map(|worker| worker.runs_of(task)).any(|(_, run)| run.is_fully_at_work(self.now_us))
    }

    pub(super) fn update_availability(&mut self) {
        for task in self.budgeted_tasks() {
            let is_fully_at_work = self.is_fully_at_work(&task);
            let availability = self.availability.entry(task).or_default();
            if is_fully_at_work {
                *availability = TaskAvailability::default();
            } else {
                availability.away_since_us.get_or_insert(self.now_us);
            }
        }
    }

    /// Whether all tasks of steps with a disruption budget are fully at work.
    pub(in crate::sched) fn are_budgeted_tasks_at_work(&self) -> bool {
        self.budgeted_tasks().iter().all(|task| self.is_fully_at_work(task))
    }

    /// Checks the step's budget when an order ends a run. Called once the run has been removed from its worker.
    pub(super) fn check_disruption(&mut self, task: &TaskRef, run: &Run, is_draining: bool, cause: &str) {
        let now_us = self.now_us;
        let step = self.specs.get(&task.job).and_then(|spec| spec.steps.get(task.step as usize));
        let Some((count, max_unavailable)) = step.and_then(|step| Some((step.count, step.max_unavailable?))) else {
            return;
        };
        let availability = self.availability.entry(task.clone()).or_default();
        availability.was_ended_by_order = true;
        availability.away_since_us.get_or_insert(now_us);
        if !run.is_fully_at_work(now_us) || is_draining || self.cancelled.contains_key(&task.job) {
            return;
        }
        self.disruption_count += 1;
        let mut others_unavailable = 0;
        for index in 0..count {
            let other = TaskRef { index, ..task.clone() };
            if other == *task {
                continue;
            }
            let availability = self.availability.get(&other);
            others_unavailable += u32::from(availability.is_some_and(|other| other.is_unavailable(now_us)));
        }
        if others_unavailable >= max_unavailable {
            self.violations.push(Violation(format!(
                "UNAVAILABLE at {} ms: {task:?} is ended by {cause}; {others_unavailable} others of its step are \
                 unavailable, and {max_unavailable} may be",
                now_us / US_PER_MS
            )));
        }
    }

    /// A lease that expires without any fault counts as an order.
    pub(super) fn check_lease_expiry(&mut self, task: &TaskRef, run: &Run, is_draining: bool) {
        if self.now_us >= self.last_disturbance_us + CALM_US {
            self.check_disruption(task, run, is_draining, "the expiry of its lease");
        }
    }
}
