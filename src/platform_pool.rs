//! Runs blocking platform calls on a few threads and hands the results to futures.

use std::fmt;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use futures::channel::oneshot;

use crate::platform::{Platform, PlatformError};

/// Calls that may wait for a thread.
const MAX_WAITING_CALLS: usize = 64;

type Call = Box<dyn FnOnce(&dyn Platform) + Send>;

/// Threads that call the platform.
#[derive(Clone)]
pub(crate) struct PlatformPool {
    platform: Arc<dyn Platform>,
    calls: SyncSender<Call>,
}

impl fmt::Debug for PlatformPool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PlatformPool")
    }
}

impl PlatformPool {
    /// Starts `thread_count` threads; they end with the last clone of the pool.
    pub(crate) fn start(platform: Arc<dyn Platform>, thread_count: usize) -> PlatformPool {
        let (calls, receiver) = sync_channel::<Call>(MAX_WAITING_CALLS);
        let receiver = Arc::new(Mutex::new(receiver));
        for _ in 0..thread_count {
            let platform = platform.clone();
            let receiver = receiver.clone();
            thread::spawn(move || {
                while let Some(call) = next(&receiver) {
                    call(&*platform);
                }
            });
        }
        PlatformPool { platform, calls }
    }

    /// The platform itself, for threads that may block.
    pub(crate) fn platform(&self) -> &Arc<dyn Platform> {
        &self.platform
    }

    /// Runs `call` on one of the threads.
    pub(crate) async fn call<T: Send + 'static>(
        &self,
        operation: &'static str,
        call: impl FnOnce(&dyn Platform) -> Result<T, PlatformError> + Send + 'static,
    ) -> Result<T, PlatformError> {
        let (sender, receiver) = oneshot::channel();
        let run: Call = Box::new(move |platform| {
            // The future may have been dropped meanwhile; its result interests nobody then.
            let _ = sender.send(call(platform));
        });
        let unavailable = |reason: &str| PlatformError::Unavailable { operation, reason: reason.to_owned() };
        match self.calls.try_send(run) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => return Err(unavailable("too many calls wait for the platform")),
            Err(TrySendError::Disconnected(_)) => return Err(unavailable("the platform threads have ended")),
        }
        receiver.await.unwrap_or_else(|_| {
            Err(PlatformError::AnswerLost { operation, reason: "the platform thread ended".to_owned() })
        })
    }
}

fn next(receiver: &Mutex<Receiver<Call>>) -> Option<Call> {
    receiver.lock().unwrap_or_else(PoisonError::into_inner).recv().ok()
}
