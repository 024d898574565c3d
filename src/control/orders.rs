//! Sends orders to workers, a few at a time to each.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;

use super::leader::Leader;
use crate::platform::workers::{StartOrder, WorkerAddress};
use crate::reactor::spawn;
use crate::sched::action::Action;
use crate::sched::model::OrderOutcome;

/// Orders under way to one worker at once; each needs a connection of its own.
const MAX_UNDER_WAY: u32 = 3;

#[derive(Debug, Default)]
struct Lane {
    waiting: VecDeque<Action>,
    under_way: u32,
}

/// Orders by worker.
#[derive(Debug, Default)]
pub(super) struct Orders {
    lanes: RefCell<HashMap<Arc<str>, Lane>>,
}

impl Orders {
    /// Takes an order; it is sent when the worker's earlier ones leave room.
    pub(super) fn push(&self, leader: &Rc<Leader>, order: Action) {
        let worker = match &order {
            Action::Start(start) => start.worker.clone(),
            Action::Stop { worker, .. } | Action::Pace { worker, .. } => worker.clone(),
            _ => return,
        };
        let mut lanes = self.lanes.borrow_mut();
        let lane = lanes.entry(worker.clone()).or_default();
        lane.waiting.push_back(order);
        if lane.under_way < MAX_UNDER_WAY {
            lane.under_way += 1;
            spawn(send_all(leader.clone(), worker));
        }
    }

    fn next(&self, worker: &Arc<str>) -> Option<Action> {
        let mut lanes = self.lanes.borrow_mut();
        let lane = lanes.get_mut(worker)?;
        let order = lane.waiting.pop_front();
        if order.is_none() {
            lane.under_way -= 1;
        }
        order
    }
}

async fn send_all(leader: Rc<Leader>, worker: Arc<str>) {
    while let Some(order) = leader.orders.next(&worker) {
        let address = leader.scheduler.borrow().worker_address(&worker);
        let Some(address) = address.filter(|_| !leader.is_over.get()) else {
            finish(&leader, &worker, order, OrderOutcome::NotSent);
            continue;
        };
        let address = WorkerAddress { id: worker.clone(), address };
        let end = send(&leader, &address, &order).await;
        finish(&leader, &worker, order, end);
    }
}

async fn send(leader: &Rc<Leader>, address: &WorkerAddress, order: &Action) -> OrderOutcome {
    match order {
        Action::Start(start) => {
            let order = StartOrder {
                task: start.task.clone(),
                run: start.run,
                spec: start.spec.clone(),
                lease_end_ms: start.lease_end_ms,
                fencing_token: leader.token,
                checkpoint: start.checkpoint.clone(),
                ticket: start.ticket.clone(),
            };
            leader.workers.start(address, &order).await
        }
        Action::Stop { task, run, .. } => leader.workers.stop(address, task, *run, leader.token).await,
        Action::Pace { task, run, percent, .. } => {
            leader.workers.pace(address, task, *run, *percent, leader.token).await
        }
        _ => OrderOutcome::NotSent,
    }
}

fn finish(leader: &Rc<Leader>, worker: &Arc<str>, order: Action, end: OrderOutcome) {
    if leader.is_over.get() {
        return;
    }
    let now_us = leader.now_us();
    metrics::counter!("worker_orders_total", "kind" => kind(&order), "end" => end_name(&end)).increment(1);
    {
        let mut scheduler = leader.scheduler.borrow_mut();
        match &order {
            Action::Start(start) => scheduler.start_ended(now_us, start, &end),
            Action::Stop { task, run, .. } => scheduler.stop_ended(now_us, worker, task, *run, &end),
            Action::Pace { task, run, percent, .. } => {
                scheduler.pace_ended(worker, task, *run, *percent, &end);
            }
            _ => {}
        }
    }
    leader.wake_session(worker);
    leader.pump();
}

fn kind(order: &Action) -> &'static str {
    match order {
        Action::Start(_) => "start",
        Action::Stop { .. } => "stop",
        Action::Pace { .. } => "pace",
        _ => "other",
    }
}

fn end_name(end: &OrderOutcome) -> &'static str {
    match end {
        OrderOutcome::Accepted { .. } => "accepted",
        OrderOutcome::Refused(_) => "refused",
        OrderOutcome::NotSent => "not_sent",
        OrderOutcome::Unanswered => "unanswered",
    }
}
