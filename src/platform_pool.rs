//! Runs blocking platform calls on a few threads and hands the results to futures.

use std::fmt;
use std::sync::Arc;

use crate::blocking_pool::{BlockingCallError, BlockingPool};
use crate::platform::{Platform, PlatformError};

/// Threads that call the platform.
#[derive(Clone)]
pub(crate) struct PlatformPool {
    platform: Arc<dyn Platform>,
    workers: BlockingPool,
}

impl fmt::Debug for PlatformPool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PlatformPool")
    }
}

impl PlatformPool {
    /// Starts `thread_count` threads; they end with the last clone of the pool.
    pub(crate) fn start(platform: Arc<dyn Platform>, thread_count: usize) -> PlatformPool {
        PlatformPool { platform, workers: BlockingPool::start(thread_count) }
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
        let platform = self.platform.clone();
        let result = self.workers.call(move || call(&*platform)).await;
        result.unwrap_or_else(|error| {
            let reason = error.to_string();
            Err(match error {
                BlockingCallError::Busy => PlatformError::Unavailable { operation, reason },
                BlockingCallError::Ended => PlatformError::AnswerLost { operation, reason },
            })
        })
    }
}
