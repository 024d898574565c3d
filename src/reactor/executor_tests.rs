//! Tests of the order in which ready futures are polled.

use std::cell::RefCell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Poll, Waker};

use super::{spawn, spawn_with, stop, Condvar, Priority, Reactor};

type Log = Rc<RefCell<Vec<String>>>;

/// Returns control to the executor until the future is polled again, which it asks for at once.
async fn yield_once() {
    let mut has_yielded = false;
    poll_fn(move |cx| {
        if has_yielded {
            return Poll::Ready(());
        }
        has_yielded = true;
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

/// Waits until another future wakes it through `slot`.
async fn wait_for_wake(slot: Rc<RefCell<Option<Waker>>>) {
    let mut has_waited = false;
    poll_fn(move |cx| {
        if has_waited {
            return Poll::Ready(());
        }
        has_waited = true;
        *slot.borrow_mut() = Some(cx.waker().clone());
        Poll::Pending
    })
    .await;
}

/// Runs futures on an event loop until one of them stops it, and returns what they have logged.
fn run(start: impl FnOnce(Log)) -> Vec<String> {
    let mut reactor = Reactor::new().expect("an event loop");
    let log = Log::default();
    start(log.clone());
    reactor.run().expect("the event loop runs");
    log.take()
}

#[test]
fn future_of_high_priority_does_not_wait_for_all_others_that_are_ready() {
    const OTHERS: usize = 400;
    let polled = run(|log| {
        let condvar = Rc::new(Condvar::default());
        for number in 0..OTHERS {
            let (log, condvar) = (log.clone(), condvar.clone());
            spawn(async move {
                yield_once().await;
                if number == 10 {
                    condvar.notify();
                }
                log.borrow_mut().push("other".to_owned());
            });
        }
        spawn_with(Priority::High, async move {
            let notified = RefCell::new(false);
            condvar.wait_until(|| notified.replace(true)).await;
            log.borrow_mut().push("high".to_owned());
            stop();
        });
    });

    let before = polled.iter().position(|name| name == "high").expect("it is polled");
    assert!(before < 20, "polled after {before} others");
}

#[test]
fn future_that_another_has_woken_goes_on_before_those_that_were_ready_earlier() {
    let polled = run(|log| {
        let slot = Rc::new(RefCell::new(None));
        let (connection_log, connection_slot) = (log.clone(), slot.clone());
        spawn(async move {
            wait_for_wake(connection_slot).await;
            connection_log.borrow_mut().push("connection".to_owned());
        });
        for number in 0..8 {
            let (log, slot) = (log.clone(), slot.clone());
            spawn(async move {
                yield_once().await;
                log.borrow_mut().push(format!("request {number}"));
                if number == 0 {
                    slot.borrow_mut().take().expect("the connection waits").wake();
                }
            });
        }
        spawn(async {
            for _ in 0..4 {
                yield_once().await;
            }
            stop();
        });
    });

    assert_eq!(polled[..3], ["request 0", "connection", "request 1"]);
}

#[test]
fn futures_that_wake_each_other_for_ever_do_not_keep_others_from_running() {
    let polled = run(|log| {
        for _ in 0..2 {
            spawn(async {
                loop {
                    yield_once().await;
                }
            });
        }
        spawn(async move {
            for _ in 0..50 {
                yield_once().await;
            }
            log.borrow_mut().push("done".to_owned());
            stop();
        });
    });

    assert_eq!(polled, ["done"]);
}
