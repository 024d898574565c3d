//! Series of faults in which half of the workers go dark, come back under their IDs and are cut off soon after, while a
//! leader is killed or paused. Calls that reach a worker while it is dark are executed by its new incarnation.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::Rng;
use sardineseam::{UsersPlatformStandIn, WorkerRestart};

use super::control_daemon::ControlDaemon;
use super::control_faults::Faults;

/// Time for which a restarting worker is dark.
const DARK_MS: u64 = 600;
/// Time from the start of one series to that of the next one; the cuts of neighbours overlap.
const SERIES_GAP_MS: std::ops::Range<u64> = 3_000..7_000;
/// Time from the return of the workers until they are cut off.
const CUT_AFTER_RETURN_MS: std::ops::Range<u64> = 40..2_000;
/// The same in half of the series: the leader has not learned of the restart yet.
const CUT_SOON_MS: std::ops::Range<u64> = 40..300;
const CUT_MS: std::ops::RangeInclusive<u64> = 9_000..=12_000;
/// Time from the fault of the leader to the cut.
const LEADER_FAULT_BEFORE_CUT_MS: std::ops::RangeInclusive<u64> = 100..=600;
const LEADER_PAUSE_MS: std::ops::Range<u64> = 2_000..8_000;
const LEADER_DOWN_MS: std::ops::Range<u64> = 300..4_000;
/// Time from the cut to a second restart, which happens while the worker is cut off.
const SECOND_RESTART_MS: std::ops::Range<u64> = 500..8_000;
/// For how long a worker of a series delays calls, from shortly before its restart.
const DELAYS_CALLS_MS: u64 = 4_000;
/// Time from the start of the delays to the restart.
const DELAYS_LEAD_MS: u64 = 200;
/// Time from the start of a burst of jobs to the restart.
const BURST_LEAD_MS: u64 = 300;
/// Reading at which the clock of an incarnation starts, unless it nearly continues that of the former one.
const CLOCK_START_MS: std::ops::Range<u64> = 0..6_000_000;
/// Difference of a clock that nearly continues that of the former incarnation.
const CLOCK_JUMP_MS: std::ops::RangeInclusive<i64> = -300..=300;
const STEP: Duration = Duration::from_millis(2);

#[derive(Debug, Clone, Copy)]
enum Step {
    Restart { worker: usize, clock_start_ms: u64 },
    CutOff { worker: usize, duration_ms: u64 },
    DelayCalls { worker: usize },
    KillLeader { down_ms: u64 },
    PauseLeader { duration_ms: u64 },
    Burst { is_on: bool },
}

/// What the threads that submit jobs know of the plan.
#[derive(Debug, Default)]
pub struct RecutPhase {
    /// Whether workers restart about now; many jobs are submitted then.
    pub is_burst: AtomicBool,
    /// Whether all steps have been taken.
    pub is_over: AtomicBool,
}

/// The steps of all series, with the times at which they are due since the start of the plan.
#[derive(Debug)]
pub struct RecutPlan {
    steps: Vec<(u64, Step)>,
    /// For each worker, when its latest incarnation starts, and the reading of its clock then.
    clocks: Vec<(u64, u64)>,
    started: Instant,
}

impl RecutPlan {
    /// Restarts all workers at once, so that their clocks start anywhere, and draws the series.
    pub fn start(platform: &UsersPlatformStandIn, workers: usize, series: usize, rng: &mut SmallRng) -> RecutPlan {
        let clocks: Vec<(u64, u64)> = (0..workers).map(|_| (0, rng.random_range(CLOCK_START_MS))).collect();
        for (worker, (_, clock_start_ms)) in clocks.iter().enumerate() {
            let restart = WorkerRestart { clock_start_ms: *clock_start_ms, ..WorkerRestart::default() };
            platform.restart_worker(worker, restart);
        }
        let mut plan = RecutPlan { steps: Vec::new(), clocks, started: Instant::now() };
        let mut at_ms = 0;
        for _ in 0..series {
            at_ms += rng.random_range(SERIES_GAP_MS);
            plan.add_series(at_ms, rng);
        }
        plan.steps.sort_by_key(|(at_ms, _)| *at_ms);
        plan
    }

    fn add_series(&mut self, dark_at_ms: u64, rng: &mut SmallRng) {
        let mut workers: Vec<usize> = (0..self.clocks.len()).collect();
        workers.shuffle(rng);
        workers.truncate(self.clocks.len() / 2);
        let cut_after_ms = if rng.random_bool(0.5) { CUT_SOON_MS } else { CUT_AFTER_RETURN_MS };
        let cut_at_ms = dark_at_ms + DARK_MS + rng.random_range(cut_after_ms);
        self.steps.push((dark_at_ms - BURST_LEAD_MS, Step::Burst { is_on: true }));
        self.steps.push((dark_at_ms + DARK_MS, Step::Burst { is_on: false }));
        let delays_calls = rng.random_bool(0.5);
        let restarts_twice = rng.random_bool(0.3);
        for worker in workers {
            if delays_calls {
                self.steps.push((dark_at_ms - DELAYS_LEAD_MS, Step::DelayCalls { worker }));
            }
            self.add_restart(dark_at_ms, worker, rng);
            let duration_ms = rng.random_range(CUT_MS);
            self.steps.push((cut_at_ms, Step::CutOff { worker, duration_ms }));
            if restarts_twice && rng.random_bool(0.5) {
                self.add_restart(cut_at_ms + rng.random_range(SECOND_RESTART_MS), worker, rng);
            }
        }
        let fault = match rng.random_range(0..10) {
            0..7 => Step::KillLeader { down_ms: rng.random_range(LEADER_DOWN_MS) },
            7..9 => Step::PauseLeader { duration_ms: rng.random_range(LEADER_PAUSE_MS) },
            _ => return,
        };
        let fault_at_ms = cut_at_ms - rng.random_range(LEADER_FAULT_BEFORE_CUT_MS);
        self.steps.push((fault_at_ms, fault));
    }

    fn add_restart(&mut self, at_ms: u64, worker: usize, rng: &mut SmallRng) {
        let (former_at_ms, former_start_ms) = self.clocks[worker];
        let returns_at_ms = at_ms + DARK_MS;
        let clock_start_ms = if rng.random_bool(0.2) {
            let continued_ms = former_start_ms + returns_at_ms.saturating_sub(former_at_ms);
            continued_ms.saturating_add_signed(rng.random_range(CLOCK_JUMP_MS))
        } else {
            rng.random_range(CLOCK_START_MS)
        };
        self.clocks[worker] = (returns_at_ms, clock_start_ms);
        self.steps.push((at_ms, Step::Restart { worker, clock_start_ms }));
    }

    /// Takes the steps when they are due. The faults of daemons that are not over at the last step are left active.
    pub fn play(
        self,
        platform: &UsersPlatformStandIn,
        daemons: &mut [ControlDaemon],
        faults: &mut Faults,
        phase: &RecutPhase,
    ) {
        for (at_ms, step) in self.steps {
            while self.started.elapsed() < Duration::from_millis(at_ms) {
                faults.clear_due(daemons);
                thread::sleep(STEP);
            }
            match step {
                Step::Restart { worker, clock_start_ms } => {
                    let restart = WorkerRestart {
                        down_ms: DARK_MS,
                        clock_start_ms,
                        holds_calls: true,
                        may_lose_again: true,
                        ..WorkerRestart::default()
                    };
                    platform.restart_worker(worker, restart);
                }
                Step::CutOff { worker, duration_ms } => platform.cut_off_worker(worker, duration_ms),
                Step::DelayCalls { worker } => platform.delay_orders_of_worker(worker, DELAYS_CALLS_MS),
                Step::KillLeader { down_ms } => faults.kill_leader(daemons, platform, down_ms),
                Step::Burst { is_on } => phase.is_burst.store(is_on, Ordering::Relaxed),
                Step::PauseLeader { duration_ms } => faults.pause_leader(daemons, platform, duration_ms),
            }
        }
        phase.is_over.store(true, Ordering::Relaxed);
    }
}
