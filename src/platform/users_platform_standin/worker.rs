//! Workers of the stand-in. They do no work: a run succeeds after a fixed time, or ends with `lapsed` if its worker's
//! lease expires first. A stopped run ends after a random time up to [`STOP_GRACE_MS`].

use std::collections::{BTreeMap, HashMap};
use std::net::TcpStream;
use std::sync::{MutexGuard, Weak};
use std::time::{Duration, Instant};

use rand::Rng;
use serde_json::{json, Value};

use super::worker_faults::unix_ms;
use super::{time_of_day, Request, State, StoppingRuns, UsersPlatformStandIn};

/// Longest time from a stop order to the end of the run.
pub(super) const STOP_GRACE_MS: u64 = 300;
/// Longest lease; longer ones are shortened.
pub(super) const MAX_LEASE_MS: u64 = 10_000;
/// A job's spec with this prefix sets the duration of its runs.
const RUN_TIME_PREFIX: &str = "run-ms=";

/// Status and body; `None` if the request gets no response.
pub(super) type Response = Option<(u16, Value)>;

/// An active run of a task.
#[derive(Debug)]
pub(super) struct Run {
    /// Time of day of the start.
    started: String,
    /// Time at which the run succeeds, unless it ends earlier.
    started_at: Instant,
    succeeds_at: Instant,
    /// Time at which the run ends because of a stop order.
    pub(super) stops_at: Option<Instant>,
}

/// One execution of a worker's process. All runs on it share one lease.
#[derive(Debug)]
pub(super) struct Incarnation {
    /// Start of the process and zero of its clock; in the future while the worker is down.
    pub(super) started: Instant,
    /// Start of the process according to the time of day.
    pub(super) started_unix_ms: u64,
    /// Reading of the worker's clock when it started.
    pub(super) clock_start_ms: u64,
    /// Whether the worker's registration or a response has told of this incarnation.
    pub(super) is_announced: bool,
    /// End of the lease, in milliseconds on the worker's clock.
    lease_end_ms: u64,
    /// Highest fencing token seen so far.
    fencing_token: u64,
    /// Active runs, including stopped ones that have not ended yet, by task and number.
    pub(super) runs: BTreeMap<(String, u64), Run>,
    /// By task, the highest number of a run that has ended or was ordered to stop. It and lower ones must not start.
    last_runs: HashMap<String, u64>,
    /// Ended runs that have not been acknowledged, as the arrays of the response to `/hold`.
    ended: Vec<Value>,
    /// Number of the last ended run.
    last_end: u64,
}

/// A worker, with what lasts beyond a restart.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) id: String,
    pub(super) incarnation: Incarnation,
    /// Number of restarts, which identifies the incarnation.
    pub(super) restarts: u64,
    /// Whether a stopped run is listed as active until it has ended.
    lists_stopping_runs: bool,
    pub(super) connections: Vec<Weak<TcpStream>>,
    /// Connections that were opened after fewer restarts are closed.
    pub(super) oldest_connection_restarts: u64,
    /// Whether calls wait while the worker is down after its latest restart.
    pub(super) holds_calls: bool,
    /// Until then, no request reaches the worker, no response leaves it, and it writes no heartbeats.
    pub(super) cut_off_until: Instant,
    /// Until then, some orders get no response and are executed later.
    pub(super) delays_orders_until: Instant,
    /// Row of the worker in the registry.
    pub(super) entry: Value,
    pub(super) next_heartbeat_at: Instant,
    pub(super) last_heartbeat_at: Instant,
}

impl UsersPlatformStandIn {
    /// Executes a request to the worker, unless it has restarted since the request's connection was opened.
    pub(super) fn execute(&self, index: usize, restarts: u64, request: &Request) -> Response {
        match request.path.as_str() {
            "/run-start" => self.start_run(index, restarts, &request.body),
            "/run-stop" => self.stop_run(index, restarts, &request.body),
            "/hold" => self.renew_lease(index, restarts, &request.body),
            _ => Some((404, json!({}))),
        }
    }

    /// Locks the state with all ends of runs up to now; `None` if the worker has restarted.
    fn lock_incarnation(&self, index: usize, restarts: u64) -> Option<MutexGuard<'_, State>> {
        let mut state = self.lock();
        state.end_due_runs();
        (state.workers[index].restarts == restarts).then_some(state)
    }

    fn start_run(&self, index: usize, restarts: u64, body: &Value) -> Response {
        let task = body["task"].as_str().unwrap_or("").to_owned();
        let number = body["run"].as_u64().unwrap_or(0);
        let run_time_ms = body["spec"].as_str().and_then(|spec| spec.strip_prefix(RUN_TIME_PREFIX)?.parse().ok());
        let mut state = self.lock_incarnation(index, restarts)?;
        let time = time_of_day();
        let worker = &mut state.workers[index];
        let (id, incarnation) = (worker.id.clone(), &mut worker.incarnation);
        let clock = incarnation.clock_ms();
        let refuse = |reason: &str| Some((409, json!({ "clockMs": clock, "reason": reason })));
        if !incarnation.accept_token(body) {
            return refuse("fence");
        }
        incarnation.extend_lease(body);
        if incarnation.runs.contains_key(&(task.clone(), number)) {
            return Some((200, json!({ "clockMs": clock })));
        }
        if incarnation.last_runs.get(&task).is_some_and(|last| number <= *last) {
            return refuse("old");
        }
        if body["deadlineMs"].as_u64().unwrap_or(0) <= clock {
            return refuse("late");
        }
        let is_unannounced = !incarnation.is_announced;
        let others = state.active_runs(&task);
        let now = Instant::now();
        let run = Run {
            started: time.clone(),
            started_at: now,
            succeeds_at: now + Duration::from_millis(run_time_ms.unwrap_or(self.run_time_ms)),
            stops_at: None,
        };
        state.workers[index].incarnation.runs.insert((task.clone(), number), run);
        state.run_log.starts += 1;
        state.run_log.starts_before_announcement += u64::from(is_unannounced);
        state.run_log.record(&task, format!("run {number} starts on {id}"));
        if !others.is_empty() {
            let violation =
                format!("task {task}: run {number} starts on {id} at {time} while active: {}", others.join(", "));
            state.run_log.record_violation(&task, &violation);
        }
        if let Some(acknowledged) = state.run_log.acknowledged_done.get(&task) {
            let violation = format!(
                "task {task}: run {number} starts on {id} at {time} after its success was acknowledged: \
                 {acknowledged}"
            );
            state.run_log.record_violation(&task, &violation);
        }
        self.state.1.notify_all();
        Some((200, json!({ "clockMs": clock })))
    }

    fn stop_run(&self, index: usize, restarts: u64, body: &Value) -> Response {
        let task = body["task"].as_str().unwrap_or("").to_owned();
        let number = body["run"].as_u64().unwrap_or(0);
        let mut state = self.lock_incarnation(index, restarts)?;
        let state = &mut *state;
        let worker = &mut state.workers[index];
        let incarnation = &mut worker.incarnation;
        let clock = incarnation.clock_ms();
        if !incarnation.accept_token(body) {
            return Some((409, json!({ "clockMs": clock, "reason": "fence" })));
        }
        for ((_, number), run) in incarnation.runs.range_mut((task.clone(), 0)..=(task.clone(), number)) {
            if run.stops_at.is_some() {
                continue;
            }
            let delay_ms = state.rng.random_range(0..=STOP_GRACE_MS);
            run.stops_at = Some(Instant::now() + Duration::from_millis(delay_ms));
            state.run_log.stops += 1;
            state.run_log.record(&task, format!("run {number} on {} is stopped, ends in {delay_ms} ms", worker.id));
        }
        let last_run = incarnation.last_runs.entry(task).or_default();
        *last_run = (*last_run).max(number);
        self.state.1.notify_all();
        Some((200, json!({ "clockMs": clock })))
    }

    fn renew_lease(&self, index: usize, restarts: u64, body: &Value) -> Response {
        let deadline = Instant::now() + Duration::from_millis(body["waitMs"].as_u64().unwrap_or(0));
        let mut state = self.lock_incarnation(index, restarts)?;
        let incarnation = &mut state.workers[index].incarnation;
        if !incarnation.accept_token(body) {
            return Some((409, json!({ "clockMs": incarnation.clock_ms(), "reason": "fence" })));
        }
        incarnation.extend_lease(body);
        state.acknowledge_ends(index, body["ackCursor"].as_u64().unwrap_or(0));
        loop {
            state.end_due_runs();
            let worker = &mut state.workers[index];
            if worker.restarts != restarts {
                return None;
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !worker.incarnation.ended.is_empty() || remaining.is_zero() {
                return Some((200, worker.list_runs()));
            }
            let next_end_at = worker.incarnation.runs.values().map(|run| worker.incarnation.end_of(run).0).min();
            let until_end = next_end_at.map_or(remaining, |ends_at| ends_at.saturating_duration_since(Instant::now()));
            state = self.state.1.wait_timeout(state, remaining.min(until_end)).expect("lock").0;
        }
    }
}

impl Worker {
    pub(super) fn new(index: usize, stopping_runs: StoppingRuns, entry: Value) -> Worker {
        let now = Instant::now();
        Worker {
            id: format!("w{index}"),
            incarnation: Incarnation::new(now, unix_ms()),
            restarts: 0,
            lists_stopping_runs: match stopping_runs {
                StoppingRuns::Listed => true,
                StoppingRuns::Unlisted => false,
                StoppingRuns::ListedByEvenWorkers => index % 2 == 0,
            },
            connections: Vec::new(),
            oldest_connection_restarts: 0,
            holds_calls: false,
            cut_off_until: now,
            delays_orders_until: now,
            entry,
            next_heartbeat_at: now,
            last_heartbeat_at: now,
        }
    }

    pub(super) fn is_up(&self) -> bool {
        Instant::now() >= self.incarnation.started
    }

    /// Body of the response to `/hold`.
    fn list_runs(&mut self) -> Value {
        let incarnation = &mut self.incarnation;
        incarnation.is_announced = true;
        let now = Instant::now();
        let mut running = Vec::new();
        for ((task, number), run) in &incarnation.runs {
            if run.stops_at.is_none() || self.lists_stopping_runs {
                running.push(json!([task, number, "", run.percent(now)]));
            }
        }
        json!({ "clockMs": incarnation.clock_ms(), "born": incarnation.started_unix_ms, "running": running,
            "endedRuns": incarnation.ended })
    }
}

impl Run {
    /// Progress at a time before the run succeeds.
    fn percent(&self, now: Instant) -> u64 {
        let total_ms = self.succeeds_at.duration_since(self.started_at).as_millis().max(1);
        let elapsed_ms = now.saturating_duration_since(self.started_at).as_millis();
        (elapsed_ms * 100 / total_ms).min(99) as u64
    }
}

impl Incarnation {
    pub(super) fn new(started: Instant, started_unix_ms: u64) -> Incarnation {
        Incarnation {
            started,
            started_unix_ms,
            clock_start_ms: 0,
            is_announced: false,
            lease_end_ms: 0,
            fencing_token: 0,
            runs: BTreeMap::new(),
            last_runs: HashMap::new(),
            ended: Vec::new(),
            last_end: 0,
        }
    }

    pub(super) fn clock_ms(&self) -> u64 {
        self.clock_start_ms + self.started.elapsed().as_millis() as u64 + 1
    }

    fn lease_end_at(&self) -> Instant {
        self.started + Duration::from_millis(self.lease_end_ms.saturating_sub(self.clock_start_ms))
    }

    /// Whether the request's fencing token is at least as high as every earlier one; remembers the token if so.
    fn accept_token(&mut self, body: &Value) -> bool {
        let token = body["fence"].as_u64().unwrap_or(0);
        if token < self.fencing_token {
            return false;
        }
        self.fencing_token = token;
        true
    }

    fn extend_lease(&mut self, body: &Value) {
        let lease_end_ms = body["deadlineMs"].as_u64().unwrap_or(0);
        self.lease_end_ms = self.lease_end_ms.max(lease_end_ms.min(self.clock_ms() + MAX_LEASE_MS));
    }

    /// Tasks with an active run, or with an end that has not been acknowledged.
    pub(super) fn unacknowledged_tasks(&self) -> Vec<String> {
        let ended = self.ended.iter().map(|row| row[1].as_str().unwrap_or("").to_owned());
        self.runs.keys().map(|(task, _)| task.clone()).chain(ended).collect()
    }

    /// When and how a run ends, as things are now.
    fn end_of(&self, run: &Run) -> (Instant, &'static str) {
        let end = match run.stops_at {
            Some(stops_at) => (stops_at, "stopped"),
            None => (run.succeeds_at, "done"),
        };
        if self.lease_end_at() < end.0 {
            return (self.lease_end_at(), "lapsed");
        }
        end
    }

    /// Ends the runs that end by `now`, in order; returns their tasks, numbers and outcomes.
    fn end_runs_due(&mut self, now: Instant) -> Vec<(String, u64, &'static str)> {
        let mut due = Vec::new();
        for (id, run) in &self.runs {
            let (ends_at, outcome) = self.end_of(run);
            if ends_at <= now {
                due.push((ends_at, id.clone(), outcome));
            }
        }
        due.sort_unstable();
        let mut ended = Vec::new();
        for (_, (task, number), outcome) in due {
            self.last_end += 1;
            self.ended.push(json!([self.last_end, task, number, outcome, ""]));
            let last_run = self.last_runs.entry(task.clone()).or_default();
            *last_run = (*last_run).max(number);
            self.runs.remove(&(task.clone(), number));
            ended.push((task, number, outcome));
        }
        ended
    }
}

impl State {
    /// Ends the runs that have succeeded, that have stopped, or whose worker's lease has expired.
    fn end_due_runs(&mut self) {
        let now = Instant::now();
        for worker in &mut self.workers {
            for (task, number, outcome) in worker.incarnation.end_runs_due(now) {
                self.run_log.record(&task, format!("run {number} on {} ends: {outcome}", worker.id));
                if outcome == "done" {
                    self.run_log.done.insert(task);
                }
            }
        }
    }

    /// Descriptions of the active runs of a task on all workers.
    fn active_runs(&self, task: &str) -> Vec<String> {
        let mut active = Vec::new();
        for worker in &self.workers {
            for ((_, number), run) in worker.incarnation.runs.range((task.to_owned(), 0)..=(task.to_owned(), u64::MAX))
            {
                let phase = if run.stops_at.is_some() { "stopping" } else { "running" };
                active.push(format!("run {number} on {} ({phase}, started at {})", worker.id, run.started));
            }
        }
        active
    }

    /// Drops the worker's ended runs up to number `acknowledged`. Unless the worker's lease has expired, the tasks that
    /// succeeded in these runs must not start again.
    fn acknowledge_ends(&mut self, index: usize, acknowledged: u64) {
        let worker = &mut self.workers[index];
        let incarnation = &mut worker.incarnation;
        let lease_expired = incarnation.clock_ms() > incarnation.lease_end_ms;
        let (dropped, kept) = std::mem::take(&mut incarnation.ended)
            .into_iter()
            .partition(|row| row[0].as_u64().unwrap_or(0) <= acknowledged);
        incarnation.ended = kept;
        let dropped: Vec<Value> = dropped;
        // Rows have the form [number, task, run, outcome, checkpoint].
        for row in dropped {
            if row[3] == "done" && !lease_expired {
                let task = row[1].as_str().unwrap_or("").to_owned();
                let end = format!(
                    "end {} of run {} on {}, whose last end was {}, with cursor {acknowledged}",
                    row[0], row[2], worker.id, incarnation.last_end
                );
                self.run_log.record(&task, format!("acknowledged: {end}"));
                self.run_log.acknowledged_done.insert(task, end);
            }
        }
    }
}
