//! Single-threaded event loop on stakker and mio. An actor of stakker polls the futures whose wakers fired.

mod condvar;
mod executor;
mod net;
mod timer;

#[cfg(test)]
mod executor_tests;
#[cfg(test)]
mod reactor_tests;

use std::cell::RefCell;
use std::fmt;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mio::{Events, Poll};
use stakker::{actor, call, ret_nop, ActorOwn, Deferrer, Stakker, StopCause};
use stakker_mio::MioPoll;

use executor::{Executor, ReadyQueue};

pub(crate) use condvar::Condvar;
pub(crate) use executor::Priority;
pub(crate) use net::{connect, Listener, TcpIo, Traffic};
pub(crate) use timer::{sleep_until, ReactorTimer};

/// Maximum time that one poll blocks if no timer is due earlier.
const MAX_POLL_WAIT: Duration = Duration::from_secs(60);
const EVENT_CAPACITY: usize = 1024;
/// Priority of wake-ups from other threads; the highest that [`MioPoll`] has.
const WAKER_PRIORITY: u32 = 10;

type LocalFuture = Pin<Box<dyn Future<Output = ()>>>;

/// A future that the executor has not taken over yet.
struct Spawned {
    future: LocalFuture,
    priority: Priority,
}

thread_local! {
    static CURRENT: RefCell<Option<Rc<ReactorHandle>>> = const { RefCell::new(None) };
}

/// What futures of this thread need of the event loop.
struct ReactorHandle {
    miopoll: MioPoll,
    deferrer: Deferrer,
    ready: Arc<ReadyQueue>,
    spawned: RefCell<Vec<Spawned>>,
}

/// Event loop of one thread; must run on the thread that created it.
pub struct Reactor {
    stakker: Stakker,
    handle: Rc<ReactorHandle>,
    executor: ActorOwn<Executor>,
}

impl fmt::Debug for Reactor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Reactor")
    }
}

impl Reactor {
    /// Creates the event loop of the current thread.
    ///
    /// # Errors
    /// Fails if the operating system cannot create an event queue.
    pub fn new() -> io::Result<Reactor> {
        let mut stakker = Stakker::new(Instant::now());
        let events = Events::with_capacity(EVENT_CAPACITY);
        let mut miopoll = MioPoll::new(&mut stakker, Poll::new()?, events, WAKER_PRIORITY)?;
        let ready = Arc::new(ReadyQueue::new(miopoll.waker()));
        let executor = actor!(stakker, Executor::init(ready.clone()), ret_nop!());
        let handle = ReactorHandle { miopoll, deferrer: stakker.deferrer(), ready, spawned: RefCell::default() };
        let handle = Rc::new(handle);
        CURRENT.with(|current| *current.borrow_mut() = Some(handle.clone()));
        Ok(Reactor { stakker, handle, executor })
    }

    /// Runs the event loop until [`stop`] is called on this thread.
    ///
    /// # Errors
    /// Fails if the operating system's event queue fails.
    pub fn run(&mut self) -> io::Result<()> {
        let mut idle_pending = self.stakker.run(Instant::now(), false);
        let mut io_pending = false;
        while self.stakker.not_shutdown() {
            if self.schedule_executor() {
                idle_pending = self.stakker.run(Instant::now(), false);
                // A future may have stopped the event loop, which would otherwise wait for one more event.
                if !self.stakker.not_shutdown() {
                    break;
                }
            }
            let busy = idle_pending || io_pending || self.has_work();
            let wait = self.stakker.next_wait_max(Instant::now(), MAX_POLL_WAIT, busy);
            let (activity, more) = self.handle.miopoll.poll(wait)?;
            io_pending = more;
            idle_pending = self.stakker.run(Instant::now(), !activity);
        }
        Ok(())
    }

    /// Whether the executor has futures to poll.
    fn has_work(&self) -> bool {
        !self.handle.spawned.borrow().is_empty() || self.handle.ready.has_work()
    }

    /// Defers one pass of the executor to the next run of stakker; `false` if no future is ready.
    fn schedule_executor(&mut self) -> bool {
        if !self.has_work() {
            return false;
        }
        let spawned = std::mem::take(&mut *self.handle.spawned.borrow_mut());
        call!([self.executor], run_ready(spawned));
        true
    }
}

impl Drop for Reactor {
    fn drop(&mut self) {
        // Futures own sockets that are registered with this thread's event queue, so they are dropped first.
        let executor = std::mem::replace(&mut self.executor, actor!(self.stakker, Executor::empty(), ret_nop!()));
        drop(executor);
        self.stakker.run(Instant::now(), false);
        self.handle.spawned.borrow_mut().clear();
        CURRENT.with(|current| current.borrow_mut().take());
    }
}

/// Handle to this thread's event loop, if it has one.
fn current_handle() -> Option<Rc<ReactorHandle>> {
    CURRENT.with(|current| current.borrow().clone())
}

/// Spawns a future on this thread's event loop. If the thread has none, the future is dropped.
pub(crate) fn spawn(future: impl Future<Output = ()> + 'static) {
    spawn_with(Priority::Normal, future);
}

/// Spawns a future as [`spawn`] does, with a priority.
pub(crate) fn spawn_with(priority: Priority, future: impl Future<Output = ()> + 'static) {
    let Some(handle) = current_handle() else { return };
    handle.spawned.borrow_mut().push(Spawned { future: Box::pin(future), priority });
}

/// Makes [`Reactor::run`] on this thread return after its current iteration.
pub(crate) fn stop() {
    let Some(handle) = current_handle() else { return };
    handle.deferrer.defer(|stakker| stakker.shutdown(StopCause::Stopped));
}
