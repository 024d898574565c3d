//! Condition variable for futures of one thread.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context as TaskContext, Poll, Waker};

/// Wakes the futures that wait for a condition when the state it depends on may have changed.
#[derive(Debug, Default)]
pub(crate) struct Condvar {
    wakers: RefCell<HashMap<u64, Waker>>,
    last_id: Cell<u64>,
}

impl Condvar {
    /// Wakes every waiting future, which then checks its condition again.
    pub(crate) fn notify(&self) {
        for waker in self.wakers.borrow().values() {
            waker.wake_by_ref();
        }
    }

    /// Waits until `condition` holds. It is checked immediately and after each [`Condvar::notify`].
    pub(crate) fn wait_until<C: Fn() -> bool + Unpin>(&self, condition: C) -> WaitUntil<'_, C> {
        WaitUntil { condvar: self, condition, id: None }
    }
}

/// Future of [`Condvar::wait_until`].
pub(crate) struct WaitUntil<'a, C> {
    condvar: &'a Condvar,
    condition: C,
    id: Option<u64>,
}

impl<C: Fn() -> bool + Unpin> Future for WaitUntil<'_, C> {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut TaskContext<'_>) -> Poll<()> {
        if (self.condition)() {
            return Poll::Ready(());
        }
        let id = self.id.unwrap_or_else(|| {
            self.condvar.last_id.set(self.condvar.last_id.get() + 1);
            self.condvar.last_id.get()
        });
        self.id = Some(id);
        self.condvar.wakers.borrow_mut().insert(id, cx.waker().clone());
        Poll::Pending
    }
}

impl<C> Drop for WaitUntil<'_, C> {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.condvar.wakers.borrow_mut().remove(&id);
        }
    }
}
