//! Randomized faults of daemons with the control role and of the workers, several of them at the same time.

use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::Rng;
use sardineseam::{UsersPlatformStandIn, WorkerRestart};

use super::control_daemon::ControlDaemon;
use super::proxy::Mode;

/// Number of daemons that have a fault at the same time; at least one other daemon must accept jobs.
const MAX_DAEMON_FAULTS: usize = 2;
/// Time for which a fault lasts.
const DURATION_MS: std::ops::Range<u64> = 200..4_000;
/// Error of the time of day that a restarted worker may report.
const TIME_ERROR_MS: std::ops::RangeInclusive<i64> = -3_000..=3_000;

#[derive(Debug, Clone, Copy)]
enum DaemonFault {
    /// SIGKILL was sent.
    Killed,
    /// SIGSTOP was sent.
    Paused,
    /// SIGTERM was sent.
    Stopped,
    /// The connections to the store are stalled or closed.
    StoreUnreachable,
}

struct ActiveFault {
    daemon: usize,
    fault: DaemonFault,
    ends_at: Instant,
}

fn leader_number(daemons: &[ControlDaemon], platform: &UsersPlatformStandIn) -> Option<usize> {
    let leader = platform.leader();
    daemons.iter().position(|daemon| Some(&daemon.name) == leader.as_ref())
}

/// Daemons' faults that have not ended yet. The faults of workers end by themselves.
#[derive(Default)]
pub struct Faults {
    active: Vec<ActiveFault>,
}

impl Faults {
    /// Injects a random fault: at the leader with a probability of 0.6, otherwise at a daemon chosen at random.
    pub fn inject_into_daemon(
        &mut self,
        daemons: &mut [ControlDaemon],
        platform: &UsersPlatformStandIn,
        rng: &mut SmallRng,
    ) {
        let target = match leader_number(daemons, platform) {
            Some(number) if rng.random_bool(0.6) => number,
            _ => rng.random_range(0..daemons.len()),
        };
        if !self.may_affect(target) {
            return;
        }
        let daemon = &mut daemons[target];
        let fault = match rng.random_range(0..5) {
            0 => {
                daemon.kill();
                DaemonFault::Killed
            }
            1 => {
                daemon.signal("STOP");
                DaemonFault::Paused
            }
            2 => {
                daemon.signal("TERM");
                DaemonFault::Stopped
            }
            kind => {
                daemon.proxy.set_mode(if kind == 3 { Mode::Stall } else { Mode::Disconnect });
                DaemonFault::StoreUnreachable
            }
        };
        self.add(target, fault, rng.random_range(DURATION_MS));
    }

    /// Kills the leader, if any, and starts it again after `down_ms`.
    pub fn kill_leader(&mut self, daemons: &mut [ControlDaemon], platform: &UsersPlatformStandIn, down_ms: u64) {
        let Some(target) = leader_number(daemons, platform).filter(|target| self.may_affect(*target)) else { return };
        daemons[target].kill();
        self.add(target, DaemonFault::Killed, down_ms);
    }

    /// Pauses the leader, if any.
    pub fn pause_leader(&mut self, daemons: &mut [ControlDaemon], platform: &UsersPlatformStandIn, duration_ms: u64) {
        let Some(target) = leader_number(daemons, platform).filter(|target| self.may_affect(*target)) else { return };
        daemons[target].signal("STOP");
        self.add(target, DaemonFault::Paused, duration_ms);
    }

    fn may_affect(&self, daemon: usize) -> bool {
        self.active.len() < MAX_DAEMON_FAULTS && !self.active.iter().any(|active| active.daemon == daemon)
    }

    fn add(&mut self, daemon: usize, fault: DaemonFault, duration_ms: u64) {
        let ends_at = Instant::now() + Duration::from_millis(duration_ms);
        self.active.push(ActiveFault { daemon, fault, ends_at });
    }

    /// Ends the faults of daemons that are due; daemons that were killed or stopped are started again.
    pub fn clear_due(&mut self, daemons: &mut [ControlDaemon]) {
        let now = Instant::now();
        self.clear(daemons, |active| active.ends_at <= now);
    }

    pub fn clear_all(&mut self, daemons: &mut [ControlDaemon]) {
        self.clear(daemons, |_| true);
    }

    fn clear(&mut self, daemons: &mut [ControlDaemon], ends: impl Fn(&ActiveFault) -> bool) {
        let (ended, active) = std::mem::take(&mut self.active).into_iter().partition(ends);
        self.active = active;
        let ended: Vec<ActiveFault> = ended;
        for ActiveFault { daemon, fault, .. } in ended {
            let daemon = &mut daemons[daemon];
            match fault {
                DaemonFault::Killed => daemon.start(),
                DaemonFault::Paused => daemon.signal("CONT"),
                DaemonFault::Stopped => {
                    daemon.kill();
                    daemon.start();
                }
                DaemonFault::StoreUnreachable => daemon.proxy.set_mode(Mode::Forward),
            }
        }
    }
}

/// Reading at which the clock of a restarted worker starts.
const CLOCK_START_MS: std::ops::Range<u64> = 0..6_000_000;
/// Time from a restart until the worker is cut off.
const CUT_AFTER_RESTART_MS: std::ops::Range<u64> = 40..1_500;
/// Longer than the longest lease.
const CUT_AFTER_RESTART_FOR_MS: u64 = 12_000;

/// Injects a random fault into a worker: a restart in three of five cases, otherwise a partition or delayed orders.
pub fn inject_into_worker(platform: &UsersPlatformStandIn, workers: usize, rng: &mut SmallRng) {
    let target = rng.random_range(0..workers);
    match rng.random_range(0..11) {
        10 => restart_and_cut_off(platform, target, rng),
        0..6 => {
            let down_ms = if rng.random_bool(0.7) { 0 } else { rng.random_range(DURATION_MS) };
            let time_error_ms = if rng.random_bool(0.8) { 0 } else { rng.random_range(TIME_ERROR_MS) };
            let clock_start_ms = rng.random_range(CLOCK_START_MS);
            platform.restart_worker(
                target,
                WorkerRestart { down_ms, time_error_ms, clock_start_ms, ..WorkerRestart::default() },
            );
        }
        6..8 => platform.cut_off_worker(target, rng.random_range(DURATION_MS)),
        _ => platform.delay_orders_of_worker(target, rng.random_range(DURATION_MS)),
    }
}

/// Restarts a worker and cuts it off soon after, while calls to it are executed late.
fn restart_and_cut_off(platform: &UsersPlatformStandIn, target: usize, rng: &mut SmallRng) {
    platform.delay_orders_of_worker(target, rng.random_range(DURATION_MS));
    let clock_start_ms = rng.random_range(CLOCK_START_MS);
    platform.restart_worker(target, WorkerRestart { clock_start_ms, ..WorkerRestart::default() });
    let (platform, cut_after_ms) = (platform.clone(), rng.random_range(CUT_AFTER_RESTART_MS));
    thread::spawn(move || {
        thread::sleep(Duration::from_millis(cut_after_ms));
        platform.cut_off_worker(target, CUT_AFTER_RESTART_FOR_MS);
    });
}
