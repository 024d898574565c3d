//! How long simulated runs take.

use std::collections::HashMap;
use std::sync::Arc;

use rand::Rng;

use super::super::action::StartRun;
use super::super::model::TaskRef;
use super::Sim;

/// Runs that take longer than the others, and whether runs report their progress.
#[derive(Debug, Default)]
pub(crate) struct Stragglers {
    /// Share of the runs that take [`Stragglers::factor`] times as long.
    pub(in crate::sched) rate: f64,
    pub(in crate::sched) factor: f64,
    /// Factor for the first runs of these tasks.
    pub(in crate::sched) first_runs: HashMap<TaskRef, f64>,
    /// Factor for all runs on these workers.
    pub(in crate::sched) workers: HashMap<Arc<str>, f64>,
    /// Whether runs that are not long-running report their progress in percent.
    pub(crate) report_progress: bool,
}

impl Sim {
    pub(super) fn draw_run_duration_us(&mut self, start: &StartRun) -> u64 {
        let mut factor = 1.0;
        if self.run_time_spread > 0.0 {
            factor *= self.rng.random_range(1.0 - self.run_time_spread..1.0 + self.run_time_spread);
        }
        if self.chance(self.stragglers.rate) {
            factor *= self.stragglers.factor;
        }
        if start.run == 1 {
            factor *= self.stragglers.first_runs.get(&start.task).copied().unwrap_or(1.0);
        }
        factor *= self.stragglers.workers.get(&start.worker).copied().unwrap_or(1.0);
        let average_us = self.task_run_us.get(&start.task).copied().unwrap_or(self.run_duration_us);
        (average_us as f64 * factor) as u64
    }
}
