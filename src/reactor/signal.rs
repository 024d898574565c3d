//! Wakes futures of one thread when something they wait for may have changed.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context as TaskContext, Poll, Waker};

/// A change that futures wait for.
#[derive(Debug, Default)]
pub(crate) struct Signal {
    wakers: RefCell<HashMap<u64, Waker>>,
    last_id: Cell<u64>,
}

impl Signal {
    /// Makes every waiting future check its condition again.
    pub(crate) fn notify(&self) {
        for waker in self.wakers.borrow().values() {
            waker.wake_by_ref();
        }
    }

    /// Waits until `condition` holds; it is checked at once and after each [`Signal::notify`].
    pub(crate) fn until<C: Fn() -> bool + Unpin>(&self, condition: C) -> Until<'_, C> {
        Until { signal: self, condition, id: None }
    }
}

/// Future of [`Signal::until`].
pub(crate) struct Until<'a, C> {
    signal: &'a Signal,
    condition: C,
    id: Option<u64>,
}

impl<C: Fn() -> bool + Unpin> Future for Until<'_, C> {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut TaskContext<'_>) -> Poll<()> {
        if (self.condition)() {
            return Poll::Ready(());
        }
        let id = self.id.unwrap_or_else(|| {
            self.signal.last_id.set(self.signal.last_id.get() + 1);
            self.signal.last_id.get()
        });
        self.id = Some(id);
        self.signal.wakers.borrow_mut().insert(id, cx.waker().clone());
        Poll::Pending
    }
}

impl<C> Drop for Until<'_, C> {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.signal.wakers.borrow_mut().remove(&id);
        }
    }
}
