//! Thread pool that runs blocking calls and returns their results as futures.

#[cfg(test)]
mod blocking_pool_tests;

use std::fmt;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use futures::channel::oneshot;

/// Calls that can wait for a thread; further ones fail with [`BlockingCallError::Busy`].
const MAX_QUEUED_CALLS: usize = 64;

type QueuedCall = Box<dyn FnOnce() + Send>;

/// Why a call returned no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum BlockingCallError {
    /// The queue is full; the call was not made.
    #[error("too many calls wait for a thread")]
    Busy,
    /// The call panicked, or its thread ended; the call may have taken effect.
    #[error("the call ended without a result")]
    Ended,
}

/// Handle to the pool's threads, which end when its last clone is dropped.
#[derive(Clone)]
pub(crate) struct BlockingPool {
    calls: SyncSender<QueuedCall>,
}

impl fmt::Debug for BlockingPool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("BlockingPool")
    }
}

impl BlockingPool {
    /// Starts `thread_count` threads.
    pub(crate) fn start(thread_count: usize) -> BlockingPool {
        let (calls, receiver) = sync_channel::<QueuedCall>(MAX_QUEUED_CALLS);
        let receiver = Arc::new(Mutex::new(receiver));
        for _ in 0..thread_count {
            let receiver = receiver.clone();
            thread::spawn(move || {
                while let Some(call) = next_call(&receiver) {
                    // A panic drops the sender of the result, which ends the wait for it. A client library panics, for
                    // example, if it cannot start a thread.
                    let _ = catch_unwind(AssertUnwindSafe(call));
                }
            });
        }
        BlockingPool { calls }
    }

    /// Runs `call` on one of the threads and waits for its result.
    pub(crate) async fn call<T: Send + 'static>(
        &self,
        call: impl FnOnce() -> T + Send + 'static,
    ) -> Result<T, BlockingCallError> {
        let (sender, receiver) = oneshot::channel();
        let queued_call: QueuedCall = Box::new(move || {
            // Fails if the waiting future has been dropped, in which case the result is not needed.
            let _ = sender.send(call());
        });
        match self.calls.try_send(queued_call) {
            Ok(()) => receiver.await.map_err(|_| BlockingCallError::Ended),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => Err(BlockingCallError::Busy),
        }
    }
}

fn next_call(receiver: &Mutex<Receiver<QueuedCall>>) -> Option<QueuedCall> {
    receiver.lock().unwrap_or_else(PoisonError::into_inner).recv().ok()
}
