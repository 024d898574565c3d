//! Session with one worker: sends the hold requests that renew its lease and ask for its active and ended runs.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::leader::Leader;
use crate::endpoint_client::timeout_at;
use crate::platform::workers::{LeaseRenewal, WorkerAddress};
use crate::reactor::Condvar;
use crate::sched::action::HoldPlan;

/// Runs a worker's session until the worker is gone or leadership has ended.
pub(super) async fn run(leader: Rc<Leader>, worker: Arc<str>, condvar: Rc<Condvar>) {
    while !leader.has_ended.get() {
        let sent_us = leader.now_us();
        let plan = leader.scheduler.borrow_mut().plan_hold(sent_us, &worker);
        match plan {
            HoldPlan::Close => break,
            HoldPlan::WaitUntil { at_us } => {
                let deadline = Instant::now() + Duration::from_micros(at_us.saturating_sub(sent_us));
                // `wait_until` checks its condition once before it waits, which must not count as a notification. After
                // a notification the loop plans again, since the next hold request may be due earlier.
                let checks = Cell::new(0_u32);
                let woken = condvar.wait_until(|| {
                    checks.set(checks.get() + 1);
                    checks.get() > 1
                });
                let _ = timeout_at(deadline, woken).await;
            }
            HoldPlan::Send { address, lease_end_ms, acknowledged, wait_ms } => {
                let address = WorkerAddress { id: worker.clone(), address };
                let renewal =
                    LeaseRenewal { lease_end_ms, fencing_token: leader.fence_for(&worker), acknowledged, wait_ms };
                let answer = leader.worker_client.renew_lease(&address, &renewal).await;
                if leader.has_ended.get() {
                    break;
                }
                let now_us = leader.now_us();
                match answer {
                    Ok(answer) => leader.scheduler.borrow_mut().on_hold_answer(now_us, sent_us, &worker, &answer),
                    Err(outcome) => leader.scheduler.borrow_mut().on_hold_failure(now_us, &worker, &outcome),
                }
                leader.run_scheduler();
            }
        }
    }
    leader.session_condvars.borrow_mut().remove(&worker);
}
