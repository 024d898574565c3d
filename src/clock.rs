//! Monotonic time as a number of microseconds, so that tests and benchmarks can run the decision logic in virtual time.

use std::time::{Duration, Instant};

/// Microseconds in a millisecond.
pub const US_PER_MS: u64 = 1_000;
/// Microseconds in a second.
pub const US_PER_S: u64 = 1_000_000;
/// Milliseconds per second.
pub(crate) const MS_PER_S: u64 = 1_000;

/// Converts between the operating system's monotonic clock and microseconds since the clock's start.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock whose current time is one second, so that a deadline of zero is always in the past.
    pub fn new() -> Clock {
        let now = Instant::now();
        Clock { start: now.checked_sub(Duration::from_secs(1)).unwrap_or(now) }
    }

    /// Microseconds since the clock's start.
    pub fn now_us(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// The instant at which `now_us` returns `at_us`.
    pub fn instant(&self, at_us: u64) -> Instant {
        self.start + Duration::from_micros(at_us)
    }
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::new()
    }
}
