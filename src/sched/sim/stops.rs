//! Runs that go on for a while after their stop order, and the time from a stop order until the task starts again.

use std::collections::HashMap;
use std::sync::Arc;

use rand::Rng;

use super::super::model::{OrderOutcome, OrderRefusal, TaskRef};
use super::worker::{Run, SimWorker};
use super::Sim;
use crate::clock::US_PER_MS;

/// Time that a run which continues from a checkpoint takes to restore it.
const RESTORE_US: u64 = 250 * US_PER_MS;

/// Whether workers list a run as active from its stop order until its end.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(in crate::sched) enum StopListing {
    #[default]
    Listed,
    NotListed,
    /// Every second worker lists such runs.
    ByWorker,
}

impl StopListing {
    pub(super) fn lists_stopping_runs(self, worker: &str) -> bool {
        match self {
            StopListing::Listed => true,
            StopListing::NotListed => false,
            StopListing::ByWorker => worker.bytes().last().is_some_and(|last| last % 2 == 0),
        }
    }
}

/// A stop that has been ordered and has not taken effect.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingStop {
    pub(super) at_us: u64,
    /// Whether the worker was draining when it took the order.
    pub(super) is_draining: bool,
}

/// Times from stop orders of tasks to the next starts of the same tasks.
#[derive(Debug, Default)]
pub(in crate::sched) struct StopTimes {
    sent_us: HashMap<TaskRef, u64>,
    acknowledged_us: HashMap<TaskRef, u64>,
    /// Times from the first stop order to the next start.
    pub(in crate::sched) sent_to_start_us: Vec<u64>,
    /// Times from the first acknowledgement of a stop order to the next start.
    pub(in crate::sched) acknowledged_to_start_us: Vec<u64>,
}

impl StopTimes {
    pub(super) fn stop_sent(&mut self, now_us: u64, task: &TaskRef) {
        self.sent_us.entry(task.clone()).or_insert(now_us);
    }

    pub(super) fn stop_acknowledged(&mut self, now_us: u64, task: &TaskRef) {
        self.acknowledged_us.entry(task.clone()).or_insert(now_us);
    }

    /// Number of tasks that were stopped and have not started again.
    pub(in crate::sched) fn pending_count(&self) -> usize {
        self.sent_us.len()
    }

    pub(super) fn run_started(&mut self, now_us: u64, task: &TaskRef) {
        if let Some(sent_us) = self.sent_us.remove(task) {
            self.sent_to_start_us.push(now_us - sent_us);
        }
        if let Some(acknowledged_us) = self.acknowledged_us.remove(task) {
            self.acknowledged_to_start_us.push(now_us - acknowledged_us);
        }
    }
}

impl SimWorker {
    /// Makes all runs of a task up to a number end within the grace period.
    fn order_stop(&mut self, task: &TaskRef, run: u32, at_us: u64) {
        let is_draining = self.entry.draining;
        for (_, known) in self.runs.range_mut((task.clone(), 0)..=(task.clone(), run)) {
            known.stop.get_or_insert(PendingStop { at_us, is_draining });
        }
        let highest = self.highest_ended_run.entry(task.clone()).or_default();
        *highest = (*highest).max(run);
    }

    /// Active runs of a task, also those that are being stopped, and their numbers.
    pub(super) fn runs_of<'a>(&'a self, task: &TaskRef) -> impl Iterator<Item = (u32, &'a Run)> {
        let runs = self.runs.range((task.clone(), 0)..=(task.clone(), u32::MAX));
        runs.map(|((_, number), run)| (*number, run))
    }
}

impl Sim {
    pub(super) fn handle_stop(&mut self, id: &Arc<str>, task: &TaskRef, run: u32, token: u64) -> OrderOutcome {
        if !self.is_reachable(id) {
            return OrderOutcome::Unanswered;
        }
        let grace_us = self.settings.stop_grace_ms * US_PER_MS;
        let at_us = self.now_us + self.rng.random_range(0..=grace_us);
        let Some(worker) = self.workers.get_mut(id) else { return OrderOutcome::Unanswered };
        if token < worker.token {
            return OrderOutcome::Refused(OrderRefusal::Fenced);
        }
        worker.token = token;
        worker.order_stop(task, run, at_us);
        OrderOutcome::Accepted { clock_ms: None }
    }

    /// Handles the end of a run by a stop order.
    pub(super) fn run_stopped(&mut self, task: &TaskRef, run: &Run, stop: PendingStop) {
        self.keep_progress(task, run);
        self.check_disruption(task, run, stop.is_draining, "a stop order");
    }

    /// The next run of a task that writes checkpoints continues where this one was stopped.
    fn keep_progress(&mut self, task: &TaskRef, stopped: &Run) {
        let step = self.specs.get(&task.job).and_then(|spec| spec.steps.get(task.step as usize));
        if step.is_some_and(|step| step.checkpoints && !step.long_running) {
            let remaining_us = stopped.ends_us.saturating_sub(self.now_us);
            self.task_run_us.insert(task.clone(), remaining_us + RESTORE_US);
        }
    }
}
