//! Runs blocking platform calls on a thread pool and returns their results as futures.

use std::fmt;
use std::sync::Arc;

use crate::blocking_pool::{BlockingCallError, BlockingPool};
use crate::platform::{Platform, PlatformError};

/// Makes the blocking calls of a [`Platform`] on a thread pool. Clones share the threads.
#[derive(Clone)]
pub(crate) struct AsyncPlatform {
    platform: Arc<dyn Platform>,
    threads: BlockingPool,
}

impl fmt::Debug for AsyncPlatform {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("AsyncPlatform")
    }
}

impl AsyncPlatform {
    /// Starts `thread_count` threads, which end when the last clone is dropped.
    pub(crate) fn start(platform: Arc<dyn Platform>, thread_count: usize) -> AsyncPlatform {
        AsyncPlatform { platform, threads: BlockingPool::start(thread_count) }
    }

    /// The platform itself, for code on threads that may block.
    pub(crate) fn platform(&self) -> &Arc<dyn Platform> {
        &self.platform
    }

    /// Runs `call` on one of the threads. `operation` names the call in the error if the thread pool fails to run it.
    pub(crate) async fn call<T: Send + 'static>(
        &self,
        operation: &'static str,
        call: impl FnOnce(&dyn Platform) -> Result<T, PlatformError> + Send + 'static,
    ) -> Result<T, PlatformError> {
        let platform = self.platform.clone();
        let result = self.threads.call(move || call(&*platform)).await;
        result.unwrap_or_else(|error| {
            let reason = error.to_string();
            Err(match error {
                BlockingCallError::Busy => PlatformError::Unavailable { operation, reason },
                BlockingCallError::Ended => PlatformError::ResponseLost { operation, reason },
            })
        })
    }
}
