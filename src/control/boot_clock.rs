//! Time that goes on while the machine is suspended.

use rustix::time::{clock_gettime, ClockId, Timespec};

use crate::clock::{US_PER_MS, US_PER_S};

/// Readings of the operating system's boot-time clock, which no adjustment of the time of day changes.
#[derive(Debug, Clone, Copy)]
pub(super) struct BootClock {
    start_us: u64,
}

fn micros(time: Timespec) -> u64 {
    time.tv_sec as u64 * US_PER_S + time.tv_nsec as u64 / 1_000
}

impl BootClock {
    /// Starts a clock at one second, so that a deadline of zero always lies in the past.
    pub(super) fn new() -> BootClock {
        let now_us = micros(clock_gettime(ClockId::Boottime));
        BootClock { start_us: now_us.saturating_sub(US_PER_S) }
    }

    /// Microseconds since the clock's start.
    pub(super) fn now_us(&self) -> u64 {
        micros(clock_gettime(ClockId::Boottime)).saturating_sub(self.start_us)
    }

    /// Time of day, in Unix milliseconds.
    pub(super) fn unix_ms(&self) -> u64 {
        micros(clock_gettime(ClockId::Realtime)) / US_PER_MS
    }
}
