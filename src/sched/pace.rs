//! Slows best-effort tasks down where they raise the latency of tasks with a latency target.
//!
//! The pace of a run is the percentage of its CPU time that it may use. Beside tasks whose latency is not known yet,
//! best-effort tasks stand still. From then on, their pace rises step by step while the latency is low, and falls fast
//! once it comes near the target.

use std::sync::Arc;

use super::action::Action;
use super::job::RunPhase;
use super::model::{OrderOutcome, TaskRef};
use super::scheduler::Scheduler;
use super::task_runs::RunReport;
use super::worker::Worker;
use crate::clock::US_PER_MS;

/// Pace of a run that nothing slows down.
pub(super) const FULL_PACE_PERCENT: u32 = 100;
/// Ratio of tail latency to target above which best-effort tasks on the same worker are slowed down.
const SLOW_DOWN_RATIO: f64 = 0.9;
/// Ratio of tail latency to target below which they are sped up again.
const SPEED_UP_RATIO: f64 = 0.6;
/// Percentage points by which they are sped up at a time.
const SPEED_UP_PERCENT: u32 = 10;
/// Time from a change of pace until the next increase: reported latencies cover the last half second.
const SPEED_UP_INTERVAL_MS: u64 = 700;
/// Delay before an order that was not acknowledged is repeated.
const RETRY_DELAY_MS: u64 = 200;

/// What the tasks with a latency target on a worker allow the best-effort tasks there.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Latency {
    /// There are no such tasks.
    NoTarget,
    /// The latency of at least one is not known yet.
    Unknown,
    /// Highest ratio of tail latency to target.
    Ratio(f64),
}

impl Latency {
    /// Pace for a best-effort run, as a percentage.
    fn pace_for(self, now_us: u64, report: &RunReport) -> u32 {
        let current = match report.pace_percent {
            // The run has begun, or its worker was found, since its pace was last set beside other tasks.
            _ if report.pace_ordered_us == 0 => 0,
            Some(percent) => percent,
            None => 0,
        };
        match self {
            Latency::NoTarget => FULL_PACE_PERCENT,
            Latency::Unknown => 0,
            Latency::Ratio(ratio) if ratio > 1.0 => 0,
            Latency::Ratio(ratio) if ratio > SLOW_DOWN_RATIO => current / 2,
            Latency::Ratio(ratio)
                if ratio < SPEED_UP_RATIO
                    && report.pace_ordered_us > 0
                    && now_us >= report.pace_ordered_us + SPEED_UP_INTERVAL_MS * US_PER_MS =>
            {
                (current + SPEED_UP_PERCENT).min(FULL_PACE_PERCENT)
            }
            Latency::Ratio(_) => current,
        }
    }
}

impl Scheduler {
    /// Adjusts the pace of best-effort tasks.
    pub(super) fn pace_best_effort_tasks(&mut self, now_us: u64) {
        let mut orders: Vec<(Arc<str>, TaskRef, u32)> = Vec::new();
        for worker in self.workers.values() {
            if worker.best_effort_count == 0 {
                continue;
            }
            let latency = self.latency_on(worker);
            for task_ref in &worker.tasks {
                if !self.step_of(task_ref).is_some_and(|step| step.best_effort) {
                    continue;
                }
                let Some(placed) = self.task(task_ref).and_then(|task| task.run_on(&worker.entry.id)) else { continue };
                let RunPhase::Running { .. } = placed.phase else { continue };
                let percent = latency.pace_for(now_us, placed.report);
                let may_order = placed.report.pace_percent.is_some()
                    || now_us >= placed.report.pace_ordered_us + RETRY_DELAY_MS * US_PER_MS;
                if placed.report.pace_percent != Some(percent) && may_order {
                    orders.push((worker.entry.id.clone(), task_ref.clone(), percent));
                }
            }
        }
        for (worker, task_ref, percent) in orders {
            let Some(task) = self.jobs.get_mut(&task_ref.job).and_then(|job| job.task_mut(&task_ref)) else { continue };
            let Some(placed) = task.run_on_mut(&worker) else { continue };
            placed.report.pace_percent = Some(percent);
            placed.report.pace_ordered_us = now_us;
            let run = placed.run;
            log::debug!("job={} worker={worker} run={run} percent={percent} outcome=paced", task_ref.job);
            self.actions.push(Action::Pace { worker, task: task_ref, run, percent });
        }
    }

    /// Latency of the tasks with a target on a worker. It is known once all of them are fully at work and report one.
    fn latency_on(&self, worker: &Worker) -> Latency {
        if worker.latency_target_count == 0 {
            return Latency::NoTarget;
        }
        let mut worst_ratio: f64 = 0.0;
        for task_ref in &worker.tasks {
            let Some(target_ms) = self.step_of(task_ref).and_then(|step| step.target_ms) else { continue };
            let Some(placed) = self.task(task_ref).and_then(|task| task.run_on(&worker.entry.id)) else { continue };
            match (placed.phase, placed.report.load) {
                (RunPhase::Stopping { .. }, _) => {}
                (RunPhase::Running { .. }, Some(tail_ms)) if placed.report.percent >= 100 => {
                    worst_ratio = worst_ratio.max(tail_ms as f64 / target_ms as f64);
                }
                _ => return Latency::Unknown,
            }
        }
        Latency::Ratio(worst_ratio)
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
        if placed.report.pace_percent == Some(percent) {
            placed.report.pace_percent = None;
        }
    }
}
