//! Best-effort runs of the simulation disturb the runs with a latency target beside them, as far as their pace allows.

use std::collections::HashMap;
use std::sync::Arc;

use super::super::model::{OrderOutcome, OrderRefusal, Step, TaskRef};
use super::message::Message;
use super::worker::{Run, SimWorker};
use super::{Sim, Violation, DELAY_US, ORDER_TIMEOUT_US};
use crate::clock::US_PER_MS;

/// Time from an order until a run keeps its new pace.
const PACE_US: u64 = 100 * US_PER_MS;
/// Best-effort runs must not keep others over their target for longer than this.
const HARM_US: u64 = 4_000 * US_PER_MS;

/// Tail latencies of the runs with a latency target.
#[derive(Debug, Clone, Default)]
pub(in crate::sched) struct Latencies {
    /// Tail latency without best-effort runs on the worker.
    pub(in crate::sched) undisturbed_ms: u64,
    /// Added by each best-effort run at full pace.
    pub(in crate::sched) disturbance_ms: u64,
    /// Since when tasks have been over their target.
    over_since_us: HashMap<TaskRef, u64>,
}

impl Latencies {
    pub(in crate::sched) fn new(undisturbed_ms: u64, disturbance_ms: u64) -> Latencies {
        Latencies { undisturbed_ms, disturbance_ms, over_since_us: HashMap::new() }
    }
}

/// Pace of a run, as a percentage.
#[derive(Debug, Clone, Copy)]
pub(super) struct Pace {
    now_percent: u32,
    /// When the pace changes, and to what.
    next: Option<(u64, u32)>,
}

impl Pace {
    pub(super) const FULL: Pace = Pace { now_percent: 100, next: None };

    fn at(self, now_us: u64) -> u32 {
        self.next.filter(|(at_us, _)| now_us >= *at_us).map_or(self.now_percent, |(_, percent)| percent)
    }
}

impl Sim {
    fn sim_step(&self, task_ref: &TaskRef) -> Option<&Step> {
        self.specs.get(&task_ref.job)?.steps.get(task_ref.step as usize)
    }

    /// Sum of the paces of the best-effort runs on a worker, as a percentage of one run.
    fn best_effort_pace(&self, worker: &SimWorker) -> u64 {
        let runs = worker
            .runs
            .iter()
            .filter(|((task_ref, _), _)| self.sim_step(task_ref).is_some_and(|step| step.best_effort));
        runs.map(|(_, run)| u64::from(run.pace.at(self.now_us))).sum()
    }

    /// Pace of a task's run, on whichever worker it is.
    pub(in crate::sched) fn pace_of(&self, task_ref: &TaskRef) -> Option<u32> {
        let mut runs = self.workers.values().flat_map(|worker| &worker.runs);
        runs.find(|((task, _), _)| task == task_ref).map(|(_, run)| run.pace.at(self.now_us))
    }

    /// What a worker reports as the load of a run.
    pub(super) fn load_of(&self, worker: &SimWorker, task_ref: &TaskRef, run: &Run) -> Option<u64> {
        let latencies = self.latencies.as_ref()?;
        self.sim_step(task_ref)?.target_ms?;
        let disturbance_ms = latencies.disturbance_ms * self.best_effort_pace(worker) / 100;
        Some(if run.is_fully_at_work(self.now_us) { latencies.undisturbed_ms + disturbance_ms } else { 0 })
    }

    pub(super) fn send_pace(&mut self, worker: Arc<str>, task: TaskRef, run: u32, percent: u32) {
        let is_lost = self.chance(self.faults.order_loss_rate);
        let after_us = if is_lost { ORDER_TIMEOUT_US } else { DELAY_US };
        let (leader, token) = (self.leader, self.token * super::FENCES_PER_TERM);
        self.send(after_us, Message::Pace { worker, task, run, percent, leader, token, is_lost });
    }

    pub(super) fn handle_pace(
        &mut self,
        (worker, task, run): (&Arc<str>, &TaskRef, u32),
        percent: u32,
        token: u64,
    ) -> OrderOutcome {
        if !self.is_reachable(worker) {
            return OrderOutcome::Unanswered;
        }
        let now_us = self.now_us;
        let Some(worker) = self.workers.get_mut(worker) else { return OrderOutcome::Unanswered };
        if token / super::FENCES_PER_TERM < worker.token / super::FENCES_PER_TERM {
            return OrderOutcome::Refused(OrderRefusal::Fenced);
        }
        if let Some(known) = worker.runs.get_mut(&(task.clone(), run)) {
            known.pace = Pace { now_percent: known.pace.at(now_us), next: Some((now_us + PACE_US, percent)) };
        }
        OrderOutcome::Accepted { clock_ms: None }
    }

    /// Checks that no task stays over its target because of best-effort runs that go on.
    pub(super) fn check_harm(&mut self) {
        let Some(mut latencies) = self.latencies.take() else { return };
        let mut over_since_us = HashMap::new();
        for worker in self.workers.values().filter(|worker| worker.is_up) {
            let pace = self.best_effort_pace(worker);
            let tail_ms = latencies.undisturbed_ms + latencies.disturbance_ms * pace / 100;
            for ((task_ref, _), run) in &worker.runs {
                let Some(target_ms) = self.sim_step(task_ref).and_then(|step| step.target_ms) else { continue };
                let is_harmed = tail_ms > target_ms && latencies.undisturbed_ms <= target_ms && pace > 0;
                if !is_harmed || !run.is_fully_at_work(self.now_us) {
                    continue;
                }
                let since_us = latencies.over_since_us.get(task_ref).copied().unwrap_or(self.now_us);
                if self.now_us > since_us + HARM_US && self.violations.len() < 10 {
                    self.violations.push(Violation(format!("HARM: {task_ref:?} over its target since {since_us} us")));
                }
                over_since_us.insert(task_ref.clone(), since_us);
            }
        }
        latencies.over_since_us = over_since_us;
        self.latencies = Some(latencies);
    }
}
