//! Workers that restart under their ID, and how the leader learns of it.

use std::ops::RangeInclusive;
use std::sync::Arc;

use rand::Rng;

use super::message::{HoldRequest, Message};
use super::worker::sim_worker;
use super::{Sim, DELAY_US, ORDER_TIMEOUT_US};
use crate::clock::US_PER_MS;

/// By how much a worker's time of day is stepped when it restarts.
const MAX_CLOCK_STEP_MS: u64 = 8_000;

/// How the time of day of workers is stepped when they restart.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(in crate::sched) enum ClockSteps {
    #[default]
    None,
    /// The new incarnation starts earlier than the former one, by its own time.
    Back,
    Ahead,
    /// One of the others, drawn at each restart.
    Mixed,
}

/// How a hold request to an incarnation that has ended fails.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(in crate::sched) enum HoldEnd {
    ConnectionReset,
    Timeout,
    /// One of the others, drawn for each request.
    #[default]
    Mixed,
}

/// What happens when a worker restarts under its ID.
#[derive(Debug)]
pub(in crate::sched) struct Restarts {
    pub(in crate::sched) clock_steps: ClockSteps,
    pub(in crate::sched) hold_end: HoldEnd,
    /// Time until the new incarnation writes its entry to the registry.
    pub(in crate::sched) heartbeat_ms: RangeInclusive<u64>,
    /// Whether orders and hold requests that were delayed for seconds on their way to the former incarnation reach the new
    /// one.
    pub(in crate::sched) receives_delayed_calls: bool,
    /// Upper bound of the reading at which the clock of a new incarnation starts.
    pub(in crate::sched) max_clock_start_ms: u64,
}

impl Default for Restarts {
    fn default() -> Restarts {
        Restarts {
            clock_steps: ClockSteps::None,
            hold_end: HoldEnd::Mixed,
            heartbeat_ms: 0..=1_500,
            receives_delayed_calls: false,
            max_clock_start_ms: 0,
        }
    }
}

impl Sim {
    /// Crashes a worker, which restarts at once under its ID. The leader learns of it from the registry or from the
    /// worker's answer to a hold request.
    pub(in crate::sched) fn crash(&mut self, number: usize) {
        self.restart(&format!("w{number}").into());
    }

    /// Crashes one of the workers that are up, which restarts at once.
    pub(super) fn crash_any(&mut self) {
        let up: Vec<Arc<str>> =
            self.workers.values().filter(|worker| worker.is_up).map(|worker| worker.entry.id.clone()).collect();
        if !up.is_empty() {
            let index = self.rng.random_range(0..up.len());
            self.restart(&up[index]);
        }
    }

    fn restart(&mut self, id: &Arc<str>) {
        self.count_crash(id);
        let Some(former) = self.workers.get(id) else { return };
        let mut entry = former.entry.clone();
        let partitioned_until_us = former.partitioned_until_us;
        entry.draining = false;
        entry.started_unix_ms = self.draw_start_unix_ms(entry.started_unix_ms, self.unix_ms());
        let rate = self.rng.random_range(0.98..1.0);
        let mut worker = sim_worker(self.now_us, entry, rate);
        worker.partitioned_until_us = partitioned_until_us;
        worker.started_us = self.now_us;
        worker.clock_start_ms = self.rng.random_range(0..=self.restarts.max_clock_start_ms);
        self.workers.insert(id.clone(), worker);
        let heartbeat_us = self.rng.random_range(self.restarts.heartbeat_ms.clone()) * US_PER_MS;
        self.registry.write_later(self.now_us + heartbeat_us, id.clone());
        self.last_disturbance_us = self.now_us;
    }

    /// Start time, by its own time of day, of a new incarnation that starts at `unix_ms`. It always differs from that of
    /// the former one.
    pub(super) fn draw_start_unix_ms(&mut self, former_unix_ms: u64, unix_ms: u64) -> u64 {
        let steps = match self.restarts.clock_steps {
            ClockSteps::Mixed => [ClockSteps::None, ClockSteps::Back, ClockSteps::Ahead][self.rng.random_range(0..3)],
            steps => steps,
        };
        let step_ms = self.rng.random_range(1..=MAX_CLOCK_STEP_MS);
        let start_unix_ms = match steps {
            ClockSteps::None | ClockSteps::Mixed => unix_ms,
            ClockSteps::Back => former_unix_ms.min(unix_ms) - step_ms,
            ClockSteps::Ahead => unix_ms + step_ms,
        };
        start_unix_ms + u64::from(start_unix_ms == former_unix_ms)
    }

    /// Lets a hold request fail whose recipient has restarted.
    pub(super) fn fail_hold_of_former_incarnation(&mut self, request: HoldRequest) {
        let is_reset = match self.restarts.hold_end {
            HoldEnd::ConnectionReset => true,
            HoldEnd::Timeout => false,
            HoldEnd::Mixed => self.chance(0.5),
        };
        let after_us = if is_reset { DELAY_US } else { ORDER_TIMEOUT_US };
        let HoldRequest { worker, sent_us, leader, .. } = request;
        self.send(after_us, Message::HoldAnswer { worker, sent_us, leader, answer: None });
    }
}
