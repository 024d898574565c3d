//! Workers of the stand-in. They do no work: a run succeeds after a fixed time, or ends with `lapsed` if its worker's
//! lease expires first.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use super::{Request, State, UsersPlatformStandIn};

/// An active run of a task.
#[derive(Debug)]
pub(super) struct Run {
    number: u64,
    ends_at: Instant,
}

/// State of one worker. All runs on it share one lease.
#[derive(Debug)]
pub(super) struct Worker {
    started: Instant,
    /// End of the lease, in milliseconds on the worker's clock.
    lease_end_ms: u64,
    /// Highest fencing token seen so far.
    fencing_token: u64,
    /// Active runs, by task.
    runs: BTreeMap<String, Run>,
    /// By task, the highest number of a run that has ended or was ordered to stop. It and lower ones must not start.
    last_runs: HashMap<String, u64>,
    /// Ended runs that have not been acknowledged, as the arrays of the response to `/hold`.
    ended: Vec<Value>,
    /// Number of the last ended run.
    last_end: u64,
    /// Number of the last ended run that has been acknowledged.
    acknowledged: u64,
}

impl UsersPlatformStandIn {
    pub(super) fn handle_worker_request(&self, index: usize, request: &Request) -> (u16, Value) {
        match request.path.as_str() {
            "/run-start" => self.start_run(index, &request.body),
            "/run-stop" => self.stop_run(index, &request.body),
            "/hold" => self.renew_lease(index, &request.body),
            _ => (404, json!({})),
        }
    }

    fn start_run(&self, index: usize, body: &Value) -> (u16, Value) {
        let task = body["task"].as_str().unwrap_or("").to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        let mut state = self.lock();
        state.end_due_runs();
        let clock = state.workers[index].clock_ms();
        let refuse = |reason: &str| (409, json!({ "clockMs": clock, "reason": reason }));
        let worker = &mut state.workers[index];
        if !worker.accept_token(body) {
            return refuse("fence");
        }
        worker.extend_lease(body);
        if worker.runs.get(&task).is_some_and(|current| current.number == run) {
            return (200, json!({ "clockMs": clock }));
        }
        if worker.last_runs.get(&task).is_some_and(|last| run <= *last) {
            return refuse("old");
        }
        if body["deadlineMs"].as_u64().unwrap_or(0) <= clock {
            return refuse("late");
        }
        worker.runs.insert(
            task.clone(),
            Run { number: run, ends_at: Instant::now() + Duration::from_millis(self.run_time_ms) },
        );
        state.run_log.starts += 1;
        let worker_count = state.workers.iter().filter(|worker| worker.runs.contains_key(&task)).count();
        if worker_count > 1 {
            state.run_log.violations.push(format!("task {task} runs on {worker_count} workers at the same time"));
        }
        if state.run_log.acknowledged_done.contains(&task) {
            state.run_log.violations.push(format!("task {task} starts again after its success was acknowledged"));
        }
        self.state.1.notify_all();
        (200, json!({ "clockMs": clock }))
    }

    fn stop_run(&self, index: usize, body: &Value) -> (u16, Value) {
        let task = body["task"].as_str().unwrap_or("").to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        let mut state = self.lock();
        state.end_due_runs();
        let worker = &mut state.workers[index];
        let clock = worker.clock_ms();
        if !worker.accept_token(body) {
            return (409, json!({ "clockMs": clock, "reason": "fence" }));
        }
        if worker.runs.get(&task).is_some_and(|current| current.number <= run) {
            worker.end(&task, "stopped");
        }
        let last_run = worker.last_runs.entry(task).or_default();
        *last_run = (*last_run).max(run);
        self.state.1.notify_all();
        (200, json!({ "clockMs": clock }))
    }

    fn renew_lease(&self, index: usize, body: &Value) -> (u16, Value) {
        let deadline = Instant::now() + Duration::from_millis(body["waitMs"].as_u64().unwrap_or(0));
        let mut state = self.lock();
        state.end_due_runs();
        if !state.workers[index].accept_token(body) {
            let clock = state.workers[index].clock_ms();
            return (409, json!({ "clockMs": clock, "reason": "fence" }));
        }
        state.workers[index].extend_lease(body);
        state.acknowledge_ends(index, body["ackCursor"].as_u64().unwrap_or(0));
        loop {
            state.end_due_runs();
            let worker = &state.workers[index];
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !worker.ended.is_empty() || remaining.is_zero() {
                let running: Vec<Value> =
                    worker.runs.iter().map(|(task, run)| json!([task, run.number, "", 50])).collect();
                let response = json!({ "clockMs": worker.clock_ms(), "born": 1, "running": running,
                    "endedRuns": worker.ended });
                return (200, response);
            }
            let next_end_at = worker.runs.values().map(|run| run.ends_at).min();
            let until_end = next_end_at.map_or(remaining, |ends_at| ends_at.saturating_duration_since(Instant::now()));
            state = self.state.1.wait_timeout(state, remaining.min(until_end)).expect("lock").0;
        }
    }
}

impl Worker {
    pub(super) fn new() -> Worker {
        Worker {
            started: Instant::now(),
            lease_end_ms: 0,
            fencing_token: 0,
            runs: BTreeMap::new(),
            last_runs: HashMap::new(),
            ended: Vec::new(),
            last_end: 0,
            acknowledged: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1
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
        self.lease_end_ms = self.lease_end_ms.max(body["deadlineMs"].as_u64().unwrap_or(0));
    }

    /// Ends the run of `task`, if there is one.
    fn end(&mut self, task: &str, outcome: &str) {
        let Some(run) = self.runs.remove(task) else { return };
        self.last_end += 1;
        self.ended.push(json!([self.last_end, task, run.number, outcome, ""]));
        let last_run = self.last_runs.entry(task.to_owned()).or_default();
        *last_run = (*last_run).max(run.number);
    }
}

impl State {
    /// Ends the runs whose run time is over (`done`) or whose worker's lease has expired (`lapsed`).
    fn end_due_runs(&mut self) {
        let now = Instant::now();
        for worker in &mut self.workers {
            let lease_expired = worker.clock_ms() > worker.lease_end_ms;
            let due: Vec<(String, bool)> = worker
                .runs
                .iter()
                .filter(|(_, run)| lease_expired || now >= run.ends_at)
                .map(|(task, run)| (task.clone(), now >= run.ends_at))
                .collect();
            for (task, is_done) in due {
                worker.end(&task, if is_done { "done" } else { "lapsed" });
                if is_done {
                    self.run_log.done.insert(task);
                }
            }
        }
    }

    /// Drops the worker's ended runs up to number `acknowledged`. Unless the worker's lease has expired, the tasks that
    /// succeeded in these runs must not start again.
    fn acknowledge_ends(&mut self, index: usize, acknowledged: u64) {
        let worker = &mut self.workers[index];
        worker.acknowledged = worker.acknowledged.max(acknowledged);
        let lease_expired = worker.clock_ms() > worker.lease_end_ms;
        let (dropped, kept) =
            std::mem::take(&mut worker.ended).into_iter().partition(|row| row[0].as_u64().unwrap_or(0) <= acknowledged);
        worker.ended = kept;
        let dropped: Vec<Value> = dropped;
        // Rows have the form [number, task, run, outcome, checkpoint].
        for row in dropped {
            if row[3] == "done" && !lease_expired {
                self.run_log.acknowledged_done.insert(row[1].as_str().unwrap_or("").to_owned());
            }
        }
    }
}
