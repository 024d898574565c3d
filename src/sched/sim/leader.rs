//! What the simulated leader does in each tick: hold requests, commits and orders.

use std::sync::Arc;

use rand::Rng;

use super::super::action::{Action, HoldPlan};
use super::super::model::OrderOutcome;
use super::hosts::HostAction;
use super::message::{HoldRequest, Message};
use super::{Sim, DELAY_US, ORDER_TIMEOUT_US};
use crate::clock::US_PER_MS;

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
                worker: id,
                lease_end_ms,
                acknowledged,
                until_us,
                sent_us: self.now_us,
                leader: self.leader,
                token: self.token,
            };
            self.send(DELAY_US, Message::Hold(request));
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

    fn execute(&mut self, action: Action) {
        let (token, leader) = (self.token, self.leader);
        let roll = self.rng.random::<f64>();
        let delayed_below = self.faults.order_delay_rate;
        let lost_below = delayed_below + self.faults.order_loss_rate;
        let unanswered_below = lost_below + self.faults.answer_loss_rate;
        let after_us = if roll < delayed_below { self.rng.random_range(2_000_000..12_000_000) } else { DELAY_US };
        let (arrives, answered) = (roll < delayed_below || roll >= lost_below, roll >= unanswered_below);
        match action {
            Action::Start(start) => {
                if arrives {
                    let incarnation = self.workers.get(&start.worker).map(|worker| worker.entry.started_unix_ms);
                    let delayed_for_incarnation = if roll < delayed_below { incarnation } else { None };
                    self.send(
                        after_us,
                        Message::Start { start: start.clone(), token, answered, delayed_for_incarnation },
                    );
                }
                if !answered {
                    let answer = Message::StartAnswer { start, leader, outcome: OrderOutcome::Unanswered };
                    self.send(ORDER_TIMEOUT_US, answer);
                }
            }
            Action::Stop { worker, task, run } => {
                self.stop_times.stop_sent(self.now_us, &task);
                if arrives {
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
            Action::WakeSession { .. }
            | Action::OpenSession { .. }
            | Action::Pace { .. }
            | Action::RequestAdvice { .. }
            | Action::CheckLeadership => {}
        }
    }
}
