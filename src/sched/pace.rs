//! Slows best-effort tasks down where they raise the latency of tasks with a latency target.
//!
//! The pace of a run is the percentage of its CPU time that it may use.

use std::sync::Arc;

use super::action::Action;
use super::job::RunPhase;
use super::model::{OrderOutcome, TaskRef};
use super::scheduler::Scheduler;

/// Ratio of tail latency to target above which best-effort tasks on the same worker are slowed down.
const SLOW_DOWN_RATIO: f64 = 0.9;
/// Ratio of tail latency to target below which they are sped up again.
const SPEED_UP_RATIO: f64 = 0.6;
/// Percentage points by which they are sped up at a time.
const SPEED_UP_PERCENT: u32 = 10;

impl Scheduler {
    /// Adjusts the pace of best-effort tasks on workers that also run tasks with a latency target.
    pub(super) fn pace_best_effort_tasks(&mut self) {
        let mut orders: Vec<(Arc<str>, TaskRef, u32)> = Vec::new();
        for worker in self.workers.values() {
            if worker.latency_target_count == 0 || worker.best_effort_count == 0 {
                continue;
            }
            let mut worst_ratio: f64 = 0.0;
            for task_ref in &worker.tasks {
                let Some(target_ms) = self.step_of(task_ref).and_then(|step| step.target_ms) else { continue };
                let load = self.task(task_ref);
                let load = load.and_then(|task| task.run_on(&worker.entry.id)).and_then(|placed| placed.report.load);
                worst_ratio = worst_ratio.max(load.unwrap_or(0) as f64 / target_ms as f64);
            }
            for task_ref in &worker.tasks {
                if !self.step_of(task_ref).is_some_and(|step| step.best_effort) {
                    continue;
                }
                let Some(task) = self.task(task_ref) else { continue };
                let Some(placed) = task.run_on(&worker.entry.id) else { continue };
                if !matches!(placed.phase, RunPhase::Running { .. }) {
                    continue;
                }
                let pace_percent = placed.report.pace_percent;
                let percent = match worst_ratio {
                    ratio if ratio > 1.0 => 0,
                    ratio if ratio > SLOW_DOWN_RATIO => pace_percent / 2,
                    ratio if ratio < SPEED_UP_RATIO => (pace_percent + SPEED_UP_PERCENT).min(100),
                    _ => pace_percent,
                };
                if percent != pace_percent {
                    orders.push((worker.entry.id.clone(), task_ref.clone(), percent));
                }
            }
        }
        for (worker, task_ref, percent) in orders {
            let Some(task) = self.jobs.get_mut(&task_ref.job).and_then(|job| job.task_mut(&task_ref)) else { continue };
            let Some(placed) = task.run_on_mut(&worker) else { continue };
            placed.report.pace_percent = percent;
            let run = placed.run;
            self.actions.push(Action::Pace { worker, task: task_ref, run, percent });
        }
    }

    /// Handles the outcome of an order to change a task's pace.
    pub(crate) fn on_pace_outcome(
        &mut self,
        worker: &Arc<str>,
        task_ref: &TaskRef,
        run: u32,
        percent: u32,
        outcome: &OrderOutcome,
    ) {
        if matches!(outcome, OrderOutcome::Accepted { .. }) {
            return;
        }
        log::warn!(
            "job={} worker={worker} run={run} percent={percent} end={outcome:?} outcome=pace_not_acknowledged",
            task_ref.job
        );
        let Some(task) = self.jobs.get_mut(&task_ref.job).and_then(|job| job.task_mut(task_ref)) else { return };
        let Some(placed) = task.run_on_mut(worker).filter(|placed| placed.run == run) else { return };
        if placed.report.pace_percent == percent {
            // The actual pace is unknown now: the next check starts again from full pace.
            placed.report.pace_percent = 100;
        }
    }
}
