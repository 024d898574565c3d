//! Timers for futures, based on stakker's.

use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context as TaskContext, Poll, Waker};
use std::time::{Duration, Instant};

use stakker::FixedTimerKey;

use super::current_handle;

/// Returns a future that completes at `deadline`.
pub(crate) fn sleep_until(deadline: Instant) -> Sleep {
    Sleep { deadline, state: None }
}

#[derive(Debug, Default)]
struct SleepState {
    fired: bool,
    /// Set when the future is dropped; a timer that has not been added by then is never added.
    cancelled: bool,
    key: Option<FixedTimerKey>,
    waker: Option<Waker>,
}

#[derive(Debug, Default)]
struct SharedState(Mutex<SleepState>);

impl SharedState {
    fn lock(&self) -> MutexGuard<'_, SleepState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Future of [`sleep_until`].
#[derive(Debug)]
pub(crate) struct Sleep {
    deadline: Instant,
    state: Option<Arc<SharedState>>,
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut TaskContext<'_>) -> Poll<()> {
        if let Some(state) = &self.state {
            let mut state = state.lock();
            if state.fired {
                return Poll::Ready(());
            }
            state.waker = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let state = Arc::new(SharedState::default());
        state.lock().waker = Some(cx.waker().clone());
        add_timer(self.deadline, &state);
        self.state = Some(state);
        Poll::Pending
    }
}

/// Adds the timer of a sleep as soon as stakker is accessible.
fn add_timer(deadline: Instant, state: &Arc<SharedState>) {
    let Some(handle) = current_handle() else { return };
    let state = state.clone();
    handle.deferrer.defer(move |stakker| {
        if state.lock().cancelled {
            return;
        }
        let timer_state = state.clone();
        let key = stakker.timer_add(deadline, move |_| fire(&timer_state));
        state.lock().key = Some(key);
    });
}

fn fire(state: &SharedState) {
    let waker = {
        let mut state = state.lock();
        state.fired = true;
        state.key = None;
        state.waker.take()
    };
    if let Some(waker) = waker {
        waker.wake();
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        let Some(state) = self.state.take() else { return };
        let key = {
            let mut state = state.lock();
            state.cancelled = true;
            state.key.take()
        };
        let (Some(key), Some(handle)) = (key, current_handle()) else { return };
        handle.deferrer.defer(move |stakker| {
            stakker.timer_del(key);
        });
    }
}

impl hyper::rt::Sleep for Sleep {}

/// Implementation of hyper's timer trait on this thread's event loop.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReactorTimer;

impl hyper::rt::Timer for ReactorTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn hyper::rt::Sleep>> {
        self.sleep_until(Instant::now() + duration)
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn hyper::rt::Sleep>> {
        Box::pin(sleep_until(deadline))
    }
}
