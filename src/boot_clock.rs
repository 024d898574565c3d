//! Clock that keeps running while the machine is suspended.

use rustix::time::{clock_gettime, ClockId, Timespec};

use crate::clock::{US_PER_MS, US_PER_S};

/// Reads the operating system's boot-time clock. Adjustments of the time of day do not affect it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BootClock {
    start_us: u64,
}

fn to_micros(time: Timespec) -> u64 {
    time.tv_sec as u64 * US_PER_S + time.tv_nsec as u64 / 1_000
}

impl BootClock {
    /// Returns a clock that starts at one second rather than at zero, so that a time of zero is always in the past.
    pub(crate) fn new() -> BootClock {
        let now_us = to_micros(clock_gettime(ClockId::Boottime));
        BootClock { start_us: now_us.saturating_sub(US_PER_S) }
    }

    /// Microseconds since the start of this clock, plus one second.
    pub(crate) fn now_us(&self) -> u64 {
        to_micros(clock_gettime(ClockId::Boottime)).saturating_sub(self.start_us)
    }

    /// Wall-clock time in Unix milliseconds.
    pub(crate) fn unix_ms(&self) -> u64 {
        to_micros(clock_gettime(ClockId::Realtime)) / US_PER_MS
    }
}
