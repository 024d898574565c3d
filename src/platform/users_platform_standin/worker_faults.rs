//! Faults of the stand-in's workers: restarts under the same ID, partitions and delayed orders. Also the workers'
//! connections and their registration, which these faults affect.

use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rand::Rng;
use serde_json::json;

use super::worker::{Incarnation, Response};
use super::{serve_connection, Request, State, UsersPlatformStandIn};

/// Interval between the heartbeats with which a worker writes its row in the registry.
pub(super) const HEARTBEAT_MS: u64 = 1_500;
/// A row without heartbeats for so many intervals is removed.
const MISSED_HEARTBEATS: u32 = 3;
/// Interval between checks for due heartbeats.
const HEARTBEAT_CHECK_MS: u64 = 20;
/// Delay after which a call that got no response is executed.
const CALL_DELAY_MS: std::ops::Range<u64> = 500..10_000;
/// Share of the orders that a worker delays while it does so.
const DELAYED_ORDER_SHARE: f64 = 0.5;
/// The same for hold requests.
const DELAYED_HOLD_SHARE: f64 = 0.3;

/// How a worker restarts. By default, it is back at once and its time of day is right.
#[derive(Debug, Clone, Copy, Default)]
pub struct WorkerRestart {
    /// Time for which the worker is down.
    pub down_ms: u64,
    /// Error of the time of day at which the worker says that it started.
    pub time_error_ms: i64,
    /// Reading at which the clock of the new incarnation starts.
    pub clock_start_ms: u64,
    /// Whether connections stay open, and calls that reach the worker while it is down wait until it is back: the new
    /// incarnation executes them, and answers those whose caller still waits.
    pub holds_calls: bool,
    /// Whether runs or ends of a task may be lost for a second time; such a task may be given up.
    pub may_lose_again: bool,
}

pub(super) fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}

impl UsersPlatformStandIn {
    /// Restarts a worker under its ID and address. Its runs and listed ends are gone, and its connections unless
    /// [`WorkerRestart::holds_calls`]. It registers again within one heartbeat interval after it is back.
    ///
    /// Returns `false` and does nothing if that would be the second time that a run or an end of the same task is lost
    /// with a restart, unless [`WorkerRestart::may_lose_again`]: a task with which two workers crash may be given up.
    pub fn restart_worker(&self, index: usize, restart: WorkerRestart) -> bool {
        let mut state = self.lock();
        let lost_tasks = state.workers[index].incarnation.unacknowledged_tasks();
        if !restart.may_lose_again && lost_tasks.iter().any(|task| state.run_log.lost.contains(task)) {
            return false;
        }
        state.run_log.lost.extend(lost_tasks);
        let heartbeat_delay_ms = state.rng.random_range(0..=HEARTBEAT_MS);
        let state = &mut *state;
        let worker = &mut state.workers[index];
        for ((task, number), _) in std::mem::take(&mut worker.incarnation.runs) {
            state.run_log.record(&task, format!("run {number} on {} is gone with a restart", worker.id));
        }
        worker.restarts += 1;
        worker.holds_calls = restart.holds_calls;
        if !restart.holds_calls {
            worker.oldest_connection_restarts = worker.restarts;
            for connection in worker.connections.drain(..).filter_map(|connection| connection.upgrade()) {
                // Fails if the connection is closed already.
                let _ = connection.shutdown(Shutdown::Both);
            }
        }
        let started = Instant::now() + Duration::from_millis(restart.down_ms);
        let started_unix_ms = (unix_ms() + restart.down_ms).saturating_add_signed(restart.time_error_ms);
        worker.incarnation = Incarnation::new(started, started_unix_ms);
        worker.incarnation.clock_start_ms = restart.clock_start_ms;
        worker.next_heartbeat_at = started + Duration::from_millis(heartbeat_delay_ms);
        worker.entry["seq"] = json!(0);
        state.run_log.restarts += 1;
        self.state.1.notify_all();
        true
    }

    /// Cuts a worker off from the daemons and the row store: its runs and its lease go on, but it neither receives
    /// requests nor sends responses, and its row is removed from the registry until it can write it again.
    pub fn cut_off_worker(&self, index: usize, duration_ms: u64) {
        let mut state = self.lock();
        let state = &mut *state;
        let worker = &mut state.workers[index];
        worker.cut_off_until = Instant::now() + Duration::from_millis(duration_ms);
        for (task, number) in worker.incarnation.runs.keys() {
            state.run_log.record(task, format!("{} with run {number} is cut off for {duration_ms} ms", worker.id));
        }
        self.state.1.notify_all();
    }

    /// Makes a worker delay some of the orders to start or stop a run, and some hold requests: they get no response and are
    /// executed up to 10 s later, also while the worker is cut off, and by a later incarnation if it has restarted by then.
    pub fn delay_orders_of_worker(&self, index: usize, duration_ms: u64) {
        self.lock().workers[index].delays_orders_until = Instant::now() + Duration::from_millis(duration_ms);
    }

    pub(super) fn serve_worker(&self, index: usize, listener: TcpListener) {
        let platform = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let stream = Arc::new(stream);
                let Some(restarts) = platform.register_connection(index, &stream) else { continue };
                let platform = platform.clone();
                thread::spawn(move || {
                    serve_connection(&stream, |request| {
                        platform.handle_worker_request(index, restarts, request).into()
                    });
                });
            }
        });
    }

    /// Returns the number of the worker's restarts so far; `None` if the worker is down and holds no calls.
    fn register_connection(&self, index: usize, stream: &Arc<TcpStream>) -> Option<u64> {
        let mut state = self.lock();
        let worker = &mut state.workers[index];
        worker.connections.retain(|connection| connection.strong_count() > 0);
        worker.connections.push(Arc::downgrade(stream));
        (worker.holds_calls || worker.is_up()).then_some(worker.restarts)
    }

    pub(super) fn handle_worker_request(&self, index: usize, restarts: u64, request: &Request) -> Response {
        let state = self.lock();
        if state.workers[index].cut_off_until > Instant::now() {
            drop(self.wait_until_reachable(index, state));
            return None;
        }
        let mut state = self.wait_until_up(index, restarts, state)?;
        let worker = &state.workers[index];
        let restarts = worker.restarts;
        if request.expected_instance.as_ref().is_some_and(|expected| *expected != worker.id) {
            return Some((421, json!({ "clockMs": worker.incarnation.clock_ms() })));
        }
        let delayed_share = if request.path == "/hold" { DELAYED_HOLD_SHARE } else { DELAYED_ORDER_SHARE };
        if worker.delays_orders_until > Instant::now() && state.rng.random_bool(delayed_share) {
            let delay_ms = state.rng.random_range(CALL_DELAY_MS);
            let (platform, mut request) = (self.clone(), request.clone());
            // Nobody waits for the answer.
            request.body["waitMs"] = json!(0);
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(delay_ms));
                platform.execute_late(index, &request);
            });
            return None;
        }
        drop(state);
        let response = self.execute(index, restarts, request);
        let state = self.lock();
        if state.workers[index].cut_off_until > Instant::now() {
            drop(self.wait_until_reachable(index, state));
            return None;
        }
        if response.is_none() {
            // The caller learns of the restart no earlier than the worker is back.
            drop(self.wait_until_up(index, restarts, state));
        }
        response
    }

    /// Executes a call that was delayed, unless the worker is down and holds no calls.
    fn execute_late(&self, index: usize, request: &Request) {
        let state = self.lock();
        let worker = &state.workers[index];
        if !worker.holds_calls && !worker.is_up() {
            return;
        }
        let restarts = worker.restarts;
        let Some(state) = self.wait_until_up(index, restarts, state) else { return };
        let restarts = state.workers[index].restarts;
        drop(state);
        self.execute(index, restarts, request);
    }

    /// Waits until the worker is up; `None` if connections opened after `restarts` restarts have been closed.
    fn wait_until_up<'a>(
        &self,
        index: usize,
        restarts: u64,
        mut state: MutexGuard<'a, State>,
    ) -> Option<MutexGuard<'a, State>> {
        loop {
            let worker = &state.workers[index];
            if restarts < worker.oldest_connection_restarts {
                return None;
            }
            if worker.is_up() {
                return Some(state);
            }
            let remaining = worker.incarnation.started.saturating_duration_since(Instant::now());
            state = self.state.1.wait_timeout(state, remaining).expect("lock").0;
        }
    }

    /// Waits until the worker is no longer cut off.
    fn wait_until_reachable<'a>(&self, index: usize, mut state: MutexGuard<'a, State>) -> MutexGuard<'a, State> {
        loop {
            let remaining = state.workers[index].cut_off_until.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return state;
            }
            state = self.state.1.wait_timeout(state, remaining).expect("lock").0;
        }
    }

    /// Writes the workers' heartbeats, and removes the rows of those that have been down or cut off for too long.
    pub(super) fn keep_workers_registered(&self) {
        let platform = self.clone();
        thread::spawn(move || loop {
            if platform.lock().write_due_heartbeats() {
                platform.state.1.notify_all();
            }
            thread::sleep(Duration::from_millis(HEARTBEAT_CHECK_MS));
        });
    }
}

impl State {
    /// Returns whether a row of the registry has changed.
    pub(super) fn write_due_heartbeats(&mut self) -> bool {
        let version = self.store.version();
        let now = Instant::now();
        let heartbeat = Duration::from_millis(HEARTBEAT_MS);
        for index in 0..self.workers.len() {
            let worker = &mut self.workers[index];
            let id = worker.id.clone();
            if now < worker.next_heartbeat_at || now < worker.cut_off_until {
                if now >= worker.last_heartbeat_at + heartbeat * MISSED_HEARTBEATS {
                    self.store.remove("servers", &id);
                }
                continue;
            }
            worker.last_heartbeat_at = now;
            worker.next_heartbeat_at = now + heartbeat;
            worker.entry["born"] = json!(worker.incarnation.started_unix_ms);
            worker.entry["seq"] = json!(worker.entry["seq"].as_u64().unwrap_or(0) + 1);
            worker.incarnation.is_announced = true;
            let entry = worker.entry.clone();
            self.store.put("servers", &id, &entry);
        }
        self.store.version() > version
    }
}
