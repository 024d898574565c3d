//! What the simulated leader does in each tick: hold requests, commits and orders.

use std::sync::Arc;

use rand::Rng;

use super::super::action::{Action, HoldPlan, StartRun};
use super::super::model::OrderOutcome;
use super::hosts::HostAction;
use super::message::{HoldRequest, Message};
use super::{Sim, Violation, DELAY_US, FENCES_PER_TERM, ORDER_TIMEOUT_US, TICK_US};
use crate::clock::US_PER_MS;

/// What happens to an order on its way to a worker.
#[derive(Debug)]
struct OrderFate {
    is_delayed: bool,
    arrives: bool,
    answered: bool,
    after_us: u64,
}

impl Sim {
    pub(super) fn run_leader(&mut self) {
        if !self.is_leader_up() {
            return;
        }
        self.read_registry();
        self.list_hosts();
        let unix_ms = self.unix_ms();
        self.scheduler.tick(self.now_us, unix_ms);
        for action in self.scheduler.take_actions() {
            self.execute(action);
        }
        let idle: Vec<Arc<str>> =
            self.scheduler.workers.keys().filter(|id| !self.holds_in_flight.contains(*id)).cloned().collect();
        for id in idle {
            let plan = self.scheduler.plan_hold(self.now_us, &id);
            let HoldPlan::Send { lease_end_ms, acknowledged, wait_ms, .. } = plan else { continue };
            self.holds_in_flight.insert(id.clone());
            let until_us = self.now_us + wait_ms * US_PER_MS;
            let request = HoldRequest {
                incarnation_started_us: self.workers.get(&id).map_or(0, |worker| worker.started_us),
                token: self.fence_for(&id),
                worker: id,
                lease_end_ms,
                acknowledged,
                until_us,
                sent_us: self.now_us,
                leader: self.leader,
                is_accepted: false,
                is_delayed: false,
            };
            self.send_hold(request);
        }
        self.scheduler.acknowledge_without_commit();
        if !self.commit_in_flight {
            // An empty batch is committed, too: it renews leadership.
            self.commit_in_flight = true;
            let batch = self.scheduler.take_batch(self.now_us);
            let commit = Message::Commit { leader: self.leader, token: self.token, batch, sent_us: self.now_us };
            self.send(DELAY_US + self.faults.commit_delay_ms * US_PER_MS, commit);
        }
    }

    /// Sends a start order, unless the leader withdraws it.
    pub(super) fn send_start(&mut self, start: StartRun) {
        if self.scheduler.must_wait_to_start(&start.worker) {
            self.send(TICK_US, Message::QueuedStart { start, leader: self.leader });
            return;
        }
        if !self.scheduler.on_start_sent(self.now_us, &start) {
            self.scheduler.on_start_outcome(self.now_us, &start, &OrderOutcome::Withdrawn);
            return;
        }
        if self.scheduler.workers.get(&start.worker).is_some_and(|worker| worker.entry.draining) {
            self.violations.push(Violation(format!("{:?} is ordered on a draining worker", start.task)));
        }
        let OrderFate { is_delayed, arrives, answered, after_us } = self.order_fate();
        if arrives {
            let incarnation = self.workers.get(&start.worker).map(|worker| worker.entry.started_unix_ms);
            let delayed_for_incarnation = incarnation.filter(|_| is_delayed);
            let token = self.fence_for(&start.worker);
            let order = Message::Start { start: start.clone(), token, answered, delayed_for_incarnation };
            self.send(after_us, order);
        }
        if !answered {
            let answer = Message::StartAnswer { start, leader: self.leader, outcome: OrderOutcome::Unanswered };
            self.send(ORDER_TIMEOUT_US, answer);
        }
    }

    /// Fencing token of the current leader's calls to a worker.
    fn fence_for(&self, worker: &Arc<str>) -> u64 {
        self.token * FENCES_PER_TERM + self.raised_fences.get(worker).copied().unwrap_or(0)
    }

    /// Sends a hold request; a share of them gets no answer, and is carried out late.
    fn send_hold(&mut self, request: HoldRequest) {
        if !self.chance(self.faults.hold_delay_rate) {
            self.send(DELAY_US, Message::Hold(request));
            return;
        }
        let HoldRequest { sent_us, leader, .. } = request;
        let answer = Message::HoldAnswer { worker: request.worker.clone(), sent_us, leader, answer: None };
        self.send(ORDER_TIMEOUT_US, answer);
        let late_us = self.rng.random_range(2_000_000..12_000_000);
        self.send(late_us, Message::Hold(HoldRequest { is_delayed: true, ..request }));
    }

    fn order_fate(&mut self) -> OrderFate {
        let roll = self.rng.random::<f64>();
        let delayed_below = self.faults.order_delay_rate;
        let lost_below = delayed_below + self.faults.order_loss_rate;
        let unanswered_below = lost_below + self.faults.answer_loss_rate;
        let is_delayed = roll < delayed_below;
        let after_us = if is_delayed { self.rng.random_range(2_000_000..12_000_000) } else { DELAY_US };
        OrderFate {
            is_delayed,
            arrives: is_delayed || roll >= lost_below,
            answered: roll >= unanswered_below,
            after_us,
        }
    }

    fn execute(&mut self, action: Action) {
        let leader = self.leader;
        match action {
            Action::Start(start) if self.faults.order_queue_ms > 0 => {
                let wait_ms = self.rng.random_range(0..self.faults.order_queue_ms);
                self.send(wait_ms * US_PER_MS, Message::QueuedStart { start, leader });
            }
            Action::Start(start) => self.send_start(start),
            Action::Stop { worker, task, run } => {
                let OrderFate { arrives, answered, after_us, .. } = self.order_fate();
                self.stop_times.stop_sent(self.now_us, &task);
                if arrives {
                    let token = self.fence_for(&worker);
                    let stop = Message::Stop { worker: worker.clone(), task: task.clone(), run, token, answered };
                    self.send(after_us, stop);
                }
                if !answered {
                    let answer = Message::StopAnswer { worker, task, run, leader, outcome: OrderOutcome::Unanswered };
                    self.send(ORDER_TIMEOUT_US, answer);
                }
            }
            Action::MoveHost { host, pool } => self.send_host_order(HostAction::Move { host, pool }),
            Action::MaintainHost { host, wave } => self.send_host_order(HostAction::Maintain { host, wave }),
            Action::ReportWave { wave, complete } => self.report_wave(wave, complete),
            Action::RaiseFence { worker } => {
                self.scheduler.fence_raised(self.now_us, &worker);
                *self.raised_fences.entry(worker).or_default() += 1;
            }
            Action::Pace { worker, task, run, percent } => self.send_pace(worker, task, run, percent),
            Action::RequestAdvice { job, occurrence, step, workers } => {
                self.request_advice(job, occurrence, step, workers);
            }
            Action::WakeSession { .. } | Action::OpenSession { .. } | Action::CheckLeadership => {}
        }
    }
}
