//! Event loop of one thread: stakker runs actors and timers, and polls futures whose wakers fired.

mod condvar;
mod executor;
mod net;
mod timer;

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
pub(crate) use net::{connect, Listener, TcpIo};
pub(crate) use timer::{sleep_until, ReactorTimer};

/// Upper bound of one wait for events.
const MAX_WAIT: Duration = Duration::from_secs(60);
const EVENT_CAPACITY: usize = 1024;
/// MioPoll's highest priority, used for wake-ups from other threads.
const WAKER_PRIORITY: u32 = 10;

type LocalFuture = Pin<Box<dyn Future<Output = ()>>>;

thread_local! {
    static CURRENT: RefCell<Option<Rc<Context>>> = const { RefCell::new(None) };
}

/// What futures of this thread need from the loop.
struct Context {
    miopoll: MioPoll,
    deferrer: Deferrer,
    ready: Arc<ReadyQueue>,
    spawned: RefCell<Vec<LocalFuture>>,
}

/// The event loop; create and run it on the same thread.
pub struct Reactor {
    stakker: Stakker,
    context: Rc<Context>,
    executor: ActorOwn<Executor>,
}

impl fmt::Debug for Reactor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Reactor")
    }
}

impl Reactor {
    /// Prepares the loop of this thread.
    ///
    /// # Errors
    /// Fails if the operating system gives no event queue.
    pub fn new() -> io::Result<Reactor> {
        let mut stakker = Stakker::new(Instant::now());
        let events = Events::with_capacity(EVENT_CAPACITY);
        let mut miopoll = MioPoll::new(&mut stakker, Poll::new()?, events, WAKER_PRIORITY)?;
        let ready = Arc::new(ReadyQueue::new(miopoll.waker()));
        let executor = actor!(stakker, Executor::init(ready.clone()), ret_nop!());
        let context = Context { miopoll, deferrer: stakker.deferrer(), ready, spawned: RefCell::default() };
        let context = Rc::new(context);
        CURRENT.with(|current| *current.borrow_mut() = Some(context.clone()));
        Ok(Reactor { stakker, context, executor })
    }

    /// Runs until [`stop`] is called on this thread.
    ///
    /// # Errors
    /// Fails if the operating system's event queue fails.
    pub fn run(&mut self) -> io::Result<()> {
        let mut idle_pending = self.stakker.run(Instant::now(), false);
        let mut io_pending = false;
        while self.stakker.not_shutdown() {
            if self.poll_futures() {
                idle_pending = self.stakker.run(Instant::now(), false);
            }
            let busy = idle_pending || io_pending || self.has_work();
            let wait = self.stakker.next_wait_max(Instant::now(), MAX_WAIT, busy);
            let (activity, more) = self.context.miopoll.poll(wait)?;
            io_pending = more;
            idle_pending = self.stakker.run(Instant::now(), !activity);
        }
        Ok(())
    }

    fn has_work(&self) -> bool {
        !self.context.spawned.borrow().is_empty() || self.context.ready.has_work()
    }

    /// Queues one pass of the executor; `false` if no future is ready.
    fn poll_futures(&mut self) -> bool {
        if !self.has_work() {
            return false;
        }
        let spawned = std::mem::take(&mut *self.context.spawned.borrow_mut());
        call!([self.executor], run_ready(spawned));
        true
    }
}

impl Drop for Reactor {
    fn drop(&mut self) {
        // Futures own sockets registered with this thread's event queue: drop them before it.
        let executor = std::mem::replace(&mut self.executor, actor!(self.stakker, Executor::nothing(), ret_nop!()));
        drop(executor);
        self.stakker.run(Instant::now(), false);
        self.context.spawned.borrow_mut().clear();
        CURRENT.with(|current| current.borrow_mut().take());
    }
}

fn context() -> Option<Rc<Context>> {
    CURRENT.with(|current| current.borrow().clone())
}

/// Starts a future on this thread's loop. Without a loop the future is dropped.
pub(crate) fn spawn(future: impl Future<Output = ()> + 'static) {
    let Some(context) = context() else { return };
    context.spawned.borrow_mut().push(Box::pin(future));
}

/// Ends this thread's loop after the present round.
pub(crate) fn stop() {
    let Some(context) = context() else { return };
    context.deferrer.defer(|stakker| stakker.shutdown(StopCause::Stopped));
}
