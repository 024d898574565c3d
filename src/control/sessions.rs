//! Keeps one worker's lease and learns what runs and ends there.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::leader::Leader;
use crate::endpoint_client::before;
use crate::platform::workers::{HoldOrder, WorkerAddress};
use crate::reactor::Signal;
use crate::sched::action::HoldPlan;

/// Looks at a worker until it is gone or leadership ends.
pub(super) async fn keep(leader: Rc<Leader>, worker: Arc<str>, signal: Rc<Signal>) {
    while !leader.is_over.get() {
        let asked_us = leader.now_us();
        let plan = leader.scheduler.borrow_mut().plan_hold(asked_us, &worker);
        match plan {
            HoldPlan::Close => break,
            HoldPlan::WaitUntil { at_us } => {
                let deadline = Instant::now() + Duration::from_micros(at_us.saturating_sub(asked_us));
                // The first check only registers; whoever notifies may have brought the next look forward.
                let checks = Cell::new(0_u32);
                let woken = signal.until(|| {
                    checks.set(checks.get() + 1);
                    checks.get() > 1
                });
                let _ = before(deadline, woken).await;
            }
            HoldPlan::Send { address, lease_end_ms, acknowledged, wait_ms } => {
                let address = WorkerAddress { id: worker.clone(), address };
                let order = HoldOrder { lease_end_ms, fencing_token: leader.token, acknowledged, wait_ms };
                let answer = leader.workers.hold(&address, &order).await;
                if leader.is_over.get() {
                    break;
                }
                let now_us = leader.now_us();
                match answer {
                    Ok(answer) => leader.scheduler.borrow_mut().on_hold_answer(now_us, asked_us, &worker, &answer),
                    Err(end) => leader.scheduler.borrow_mut().on_hold_failure(now_us, &worker, &end),
                }
                leader.pump();
            }
        }
    }
    leader.session_signals.borrow_mut().remove(&worker);
}
