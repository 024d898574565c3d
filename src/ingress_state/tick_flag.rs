//! Flag by which at most one loop ticks the dispatcher.

#[cfg(test)]
mod tick_flag_tests;

use std::sync::atomic::{AtomicBool, Ordering};

/// Whether a loop ticks the dispatcher.
#[derive(Debug, Default)]
pub(super) struct TickFlag(AtomicBool);

impl TickFlag {
    /// Sets the flag. Returns whether the caller must start a loop, because none was running.
    pub(super) fn try_start(&self) -> bool {
        !self.0.swap(true, Ordering::AcqRel)
    }

    /// Whether the running loop must continue. The flag is cleared before `any_queued` is checked, so that a request that
    /// is queued during the check is not missed. If that request starts a loop, this one ends.
    pub(super) fn keep_ticking(&self, any_queued: impl FnOnce() -> bool) -> bool {
        self.0.store(false, Ordering::Release);
        any_queued() && self.try_start()
    }
}
