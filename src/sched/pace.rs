//! Slows work that fills down where it disturbs work that serves users.

use std::sync::Arc;

use super::action::Action;
use super::job::{RunPhase, TaskState};
use super::model::{OrderOutcome, TaskRef};
use super::scheduler::Scheduler;

/// Share of its target at which a serving work item's tail calls for slower neighbours.
const SLOW_DOWN_AT: f64 = 0.9;
/// Share below which they may speed up again.
const SPEED_UP_AT: f64 = 0.6;
/// Step in which a neighbour speeds up.
const SPEED_UP_PERCENT: u32 = 10;

impl Scheduler {
    /// Looks at workers that have both kinds of work.
    pub(super) fn pace_fillers(&mut self, _now_us: u64) {
        let mut orders: Vec<(Arc<str>, TaskRef, u32)> = Vec::new();
        for worker in self.workers.values() {
            if worker.serving_count == 0 || worker.best_effort_count == 0 {
                continue;
            }
            let mut worst: f64 = 0.0;
            for at in &worker.tasks {
                let Some(target_ms) = self.step_of(at).and_then(|step| step.target_ms) else { continue };
                let load = self.jobs.get(&at.job).and_then(|job| job.task(at)).and_then(|task| task.load);
                worst = worst.max(load.unwrap_or(0) as f64 / target_ms as f64);
            }
            for at in &worker.tasks {
                if !self.step_of(at).is_some_and(|step| step.best_effort) {
                    continue;
                }
                let Some(task) = self.jobs.get(&at.job).and_then(|job| job.task(at)) else { continue };
                if !matches!(task.state, TaskState::Placed { phase: RunPhase::Running { .. }, .. }) {
                    continue;
                }
                let percent = match worst {
                    worst if worst > 1.0 => 0,
                    worst if worst > SLOW_DOWN_AT => task.pace_percent / 2,
                    worst if worst < SPEED_UP_AT => (task.pace_percent + SPEED_UP_PERCENT).min(100),
                    _ => task.pace_percent,
                };
                if percent != task.pace_percent {
                    orders.push((worker.entry.id.clone(), at.clone(), percent));
                }
            }
        }
        for (worker, at, percent) in orders {
            let Some(task) = self.jobs.get_mut(&at.job).and_then(|job| job.task_mut(&at)) else { continue };
            task.pace_percent = percent;
            let run = task.run;
            self.actions.push(Action::Pace { worker, task: at, run, percent });
        }
    }

    /// An order to slow down or speed up was answered, or was not.
    pub(crate) fn pace_ended(&mut self, worker: &Arc<str>, at: &TaskRef, run: u32, percent: u32, end: &OrderOutcome) {
        if matches!(end, OrderOutcome::Accepted { .. }) {
            return;
        }
        log::warn!("job={} worker={worker} run={run} percent={percent} end={end:?} outcome=pace_refused", at.job);
        let Some(task) = self.jobs.get_mut(&at.job).and_then(|job| job.task_mut(at)) else { return };
        if task.run == run && task.pace_percent == percent {
            // Not known any more: the next look decides anew from full pace.
            task.pace_percent = 100;
        }
    }
}
