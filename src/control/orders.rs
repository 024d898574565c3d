//! Queues of orders to workers, with a limit on the orders in flight to each worker.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;

use foldhash::HashMap;

use super::leader::Leader;
use crate::platform::workers::{StartOrder, WorkerAddress};
use crate::reactor::spawn;
use crate::sched::action::Action;
use crate::sched::model::OrderOutcome;

/// Maximum number of orders in flight to one worker. Each uses a connection of its own.
const MAX_IN_FLIGHT: u32 = 3;
/// Interval at which a start order that has to wait for an acknowledgement of ends checks whether it is answered.
const ACKNOWLEDGEMENT_CHECK_INTERVAL_MS: u64 = 2;

#[derive(Debug, Default)]
struct WorkerQueue {
    waiting: VecDeque<Action>,
    /// Number of running [`send_queued`] futures; each sends one order at a time.
    senders: u32,
}

/// Order queues of all workers, by worker ID.
#[derive(Debug, Default)]
pub(super) struct OrderQueues {
    queues: RefCell<HashMap<Arc<str>, WorkerQueue>>,
}

impl OrderQueues {
    /// Queues an order, and starts another sender if fewer than `MAX_IN_FLIGHT` are running.
    pub(super) fn push(&self, leader: &Rc<Leader>, order: Action) {
        let worker = match &order {
            Action::Start(start) => start.worker.clone(),
            Action::Stop { worker, .. } | Action::Pace { worker, .. } => worker.clone(),
            _ => return,
        };
        let mut queues = self.queues.borrow_mut();
        let queue = queues.entry(worker.clone()).or_default();
        queue.waiting.push_back(order);
        if queue.senders < MAX_IN_FLIGHT {
            queue.senders += 1;
            spawn(send_queued(leader.clone(), worker));
        }
    }

    /// Takes the next order. If there is none, the sender that asked for it no longer counts as running.
    fn next_order(&self, worker: &Arc<str>) -> Option<Action> {
        let mut queues = self.queues.borrow_mut();
        let queue = queues.get_mut(worker)?;
        let order = queue.waiting.pop_front();
        if order.is_none() {
            queue.senders -= 1;
        }
        order
    }
}

/// Sends a worker's orders one after the other until its queue is empty.
async fn send_queued(leader: Rc<Leader>, worker: Arc<str>) {
    while let Some(order) = leader.orders.next_order(&worker) {
        let address = leader.scheduler.borrow().worker_address(&worker);
        let Some(address) = address.filter(|_| !leader.has_ended.get()) else {
            report_outcome(&leader, &worker, order, OrderOutcome::Withdrawn);
            continue;
        };
        let address = WorkerAddress { id: worker.clone(), address };
        let outcome = send(&leader, &address, &order).await;
        report_outcome(&leader, &worker, order, outcome);
    }
}

async fn send(leader: &Rc<Leader>, address: &WorkerAddress, order: &Action) -> OrderOutcome {
    match order {
        Action::Start(start) => {
            while leader.scheduler.borrow().must_wait_to_start(&start.worker) && !leader.has_ended.get() {
                leader.daemon.sleep_ms(ACKNOWLEDGEMENT_CHECK_INTERVAL_MS).await;
            }
            if !leader.scheduler.borrow_mut().on_start_sent(leader.now_us(), start) {
                return OrderOutcome::Withdrawn;
            }
            let order = StartOrder {
                task: start.task.clone(),
                run: start.run,
                spec: start.spec.clone(),
                lease_end_ms: start.lease_end_ms,
                fencing_token: leader.fence_for(&address.id),
                checkpoint: start.checkpoint.clone(),
                ticket: start.ticket.clone(),
            };
            leader.worker_client.start_run(address, &order).await
        }
        Action::Stop { task, run, .. } => {
            leader.worker_client.stop_run(address, task, *run, leader.fence_for(&address.id)).await
        }
        Action::Pace { task, run, percent, .. } => {
            leader.worker_client.set_pace(address, task, *run, *percent, leader.fence_for(&address.id)).await
        }
        _ => OrderOutcome::NotSent,
    }
}

/// Reports the outcome of an order to the scheduler.
fn report_outcome(leader: &Rc<Leader>, worker: &Arc<str>, order: Action, outcome: OrderOutcome) {
    if leader.has_ended.get() {
        return;
    }
    let now_us = leader.now_us();
    metrics::counter!("worker_orders_total", "kind" => order_kind(&order), "end" => outcome_label(&outcome))
        .increment(1);
    {
        let mut scheduler = leader.scheduler.borrow_mut();
        match &order {
            Action::Start(start) => scheduler.on_start_outcome(now_us, start, &outcome),
            Action::Stop { task, run, .. } => scheduler.on_stop_outcome(now_us, worker, task, *run, &outcome),
            Action::Pace { task, run, percent, .. } => {
                scheduler.on_pace_outcome(worker, task, *run, *percent, &outcome);
            }
            _ => {}
        }
    }
    leader.wake_session(worker);
    leader.run_scheduler();
}

fn order_kind(order: &Action) -> &'static str {
    match order {
        Action::Start(_) => "start",
        Action::Stop { .. } => "stop",
        Action::Pace { .. } => "pace",
        _ => "other",
    }
}

fn outcome_label(outcome: &OrderOutcome) -> &'static str {
    match outcome {
        OrderOutcome::Accepted { .. } => "accepted",
        OrderOutcome::Refused(_) => "refused",
        OrderOutcome::NotSent => "not_sent",
        OrderOutcome::Withdrawn => "withdrawn",
        OrderOutcome::Unanswered => "unanswered",
    }
}
