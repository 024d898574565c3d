//! Workers of the stand-in: they run what they are told to and remember how that ended.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use super::{Call, PlatformStandIn, State};

#[derive(Debug)]
pub(super) struct Run {
    number: u64,
    ends: Instant,
}

/// One worker: it runs what it is told to and remembers how that ended.
#[derive(Debug)]
pub(super) struct Worker {
    started: Instant,
    lease_end_ms: u64,
    token: u64,
    runs: BTreeMap<String, Run>,
    over: HashMap<String, u64>,
    ended: Vec<Value>,
    next_end: u64,
    acknowledged: u64,
}

impl PlatformStandIn {
    pub(super) fn worker_call(&self, number: usize, call: &Call) -> (u16, Value) {
        match call.path.as_str() {
            "/run-start" => self.start_run(number, &call.body),
            "/run-stop" => self.stop_run(number, &call.body),
            "/hold" => self.hold(number, &call.body),
            _ => (404, json!({})),
        }
    }

    fn start_run(&self, number: usize, body: &Value) -> (u16, Value) {
        let task = body["task"].as_str().unwrap_or("").to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        let mut state = self.lock();
        state.settle();
        let clock = state.workers[number].clock_ms();
        let refuse = |reason: &str| (409, json!({ "clockMs": clock, "reason": reason }));
        let worker = &mut state.workers[number];
        if !worker.admits(body) {
            return refuse("fence");
        }
        worker.extend(body);
        if worker.runs.get(&task).is_some_and(|known| known.number == run) {
            return (200, json!({ "clockMs": clock }));
        }
        if worker.over.get(&task).is_some_and(|over| run <= *over) {
            return refuse("old");
        }
        if body["deadlineMs"].as_u64().unwrap_or(0) <= clock {
            return refuse("late");
        }
        worker
            .runs
            .insert(task.clone(), Run { number: run, ends: Instant::now() + Duration::from_millis(self.run_time_ms) });
        state.run_log.starts += 1;
        let elsewhere = state.workers.iter().filter(|worker| worker.runs.contains_key(&task)).count();
        if elsewhere > 1 {
            state.run_log.violations.push(format!("TWICE: {task} runs on {elsewhere} workers"));
        }
        if state.run_log.acknowledged_done.contains(&task) {
            state.run_log.violations.push(format!("TWICE: {task} starts after it was done"));
        }
        self.state.1.notify_all();
        (200, json!({ "clockMs": clock }))
    }

    fn stop_run(&self, number: usize, body: &Value) -> (u16, Value) {
        let task = body["task"].as_str().unwrap_or("").to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        let mut state = self.lock();
        state.settle();
        let worker = &mut state.workers[number];
        let clock = worker.clock_ms();
        if !worker.admits(body) {
            return (409, json!({ "clockMs": clock, "reason": "fence" }));
        }
        if worker.runs.get(&task).is_some_and(|known| known.number <= run) {
            worker.end(&task, "stopped");
        }
        let over = worker.over.entry(task).or_default();
        *over = (*over).max(run);
        self.state.1.notify_all();
        (200, json!({ "clockMs": clock }))
    }

    fn hold(&self, number: usize, body: &Value) -> (u16, Value) {
        let deadline = Instant::now() + Duration::from_millis(body["waitMs"].as_u64().unwrap_or(0));
        let mut state = self.lock();
        state.settle();
        if !state.workers[number].admits(body) {
            let clock = state.workers[number].clock_ms();
            return (409, json!({ "clockMs": clock, "reason": "fence" }));
        }
        state.workers[number].extend(body);
        state.note(number, body["ackCursor"].as_u64().unwrap_or(0));
        loop {
            state.settle();
            let worker = &state.workers[number];
            let left = deadline.saturating_duration_since(Instant::now());
            if !worker.ended.is_empty() || left.is_zero() {
                let running: Vec<Value> =
                    worker.runs.iter().map(|(task, run)| json!([task, run.number, "", 50])).collect();
                let answer = json!({ "clockMs": worker.clock_ms(), "born": 1, "running": running,
                    "endedRuns": worker.ended });
                return (200, answer);
            }
            let next_end = worker.runs.values().map(|run| run.ends).min();
            let until_end = next_end.map_or(left, |ends| ends.saturating_duration_since(Instant::now()));
            state = self.state.1.wait_timeout(state, left.min(until_end)).expect("lock").0;
        }
    }
}

impl Worker {
    pub(super) fn new() -> Worker {
        Worker {
            started: Instant::now(),
            lease_end_ms: 0,
            token: 0,
            runs: BTreeMap::new(),
            over: HashMap::new(),
            ended: Vec::new(),
            next_end: 0,
            acknowledged: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1
    }

    fn admits(&mut self, body: &Value) -> bool {
        let token = body["fence"].as_u64().unwrap_or(0);
        if token < self.token {
            return false;
        }
        self.token = token;
        true
    }

    fn extend(&mut self, body: &Value) {
        self.lease_end_ms = self.lease_end_ms.max(body["deadlineMs"].as_u64().unwrap_or(0));
    }

    fn end(&mut self, task: &str, how: &str) {
        let Some(run) = self.runs.remove(task) else { return };
        self.next_end += 1;
        self.ended.push(json!([self.next_end, task, run.number, how, ""]));
        let over = self.over.entry(task.to_owned()).or_default();
        *over = (*over).max(run.number);
    }
}

impl State {
    /// Ends the runs whose time or lease is over.
    fn settle(&mut self) {
        let now = Instant::now();
        for worker in &mut self.workers {
            let lapsed = worker.clock_ms() > worker.lease_end_ms;
            let over: Vec<(String, bool)> = worker
                .runs
                .iter()
                .filter(|(_, run)| lapsed || now >= run.ends)
                .map(|(task, run)| (task.clone(), now >= run.ends))
                .collect();
            for (task, is_done) in over {
                worker.end(&task, if is_done { "done" } else { "lapsed" });
                if is_done {
                    self.run_log.done.insert(task);
                }
            }
        }
    }

    /// Forgets ends up to `acknowledged`.
    fn note(&mut self, number: usize, acknowledged: u64) {
        let worker = &mut self.workers[number];
        worker.acknowledged = worker.acknowledged.max(acknowledged);
        let lapsed = worker.clock_ms() > worker.lease_end_ms;
        let (noted, left) =
            std::mem::take(&mut worker.ended).into_iter().partition(|row| row[0].as_u64().unwrap_or(0) <= acknowledged);
        worker.ended = left;
        let noted: Vec<Value> = noted;
        for row in noted {
            if row[3] == "done" && !lapsed {
                self.run_log.acknowledged_done.insert(row[1].as_str().unwrap_or("").to_owned());
            }
        }
    }
}
