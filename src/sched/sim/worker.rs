//! Simulated workers, and the invariants that are checked whenever a run starts.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::super::action::StartRun;
use super::super::model::{
    ActiveRun, EndedRun, HoldAnswer, OrderOutcome, OrderRefusal, RunOutcome, TaskRef, WorkerEntry,
};
use super::capacity::FormerCapacity;
use super::message::HoldRequest;
use super::sharing::Pace;
use super::stops::PendingStop;
use super::{Message, Sim, Violation, DELAY_US, FENCES_PER_TERM, MAX_ATTEMPTS, ORDER_TIMEOUT_US, TICK_US};
use crate::clock::US_PER_MS;

/// Time from the start of a long-running run until it reports 100 percent.
const WARM_UP_US: u64 = 1_500 * US_PER_MS;

/// Maximum number of ended runs that a worker lists in one answer.
const MAX_LISTED_ENDED_RUNS: usize = 500;

#[derive(Debug, Clone)]
pub(super) struct Run {
    pub(super) started_us: u64,
    pub(super) ends_us: u64,
    pub(super) fails: bool,
    pub(super) is_long_running: bool,
    pub(super) reports_progress: bool,
    pub(super) pace: Pace,
    /// A stop order that has arrived. The run goes on until it takes effect.
    pub(super) stop: Option<PendingStop>,
}

impl Run {
    /// Reported progress: 0 for runs that report none.
    pub(super) fn percent(&self, now_us: u64) -> u32 {
        if !self.reports_progress {
            return 0;
        }
        let elapsed_us = now_us.saturating_sub(self.started_us);
        let full_us = if self.is_long_running { WARM_UP_US } else { self.ends_us - self.started_us };
        (elapsed_us * 100 / full_us.max(1)).min(100) as u32
    }

    /// How the run ends now, if it does.
    fn outcome_at(&self, now_us: u64, is_lease_over: bool) -> Option<RunOutcome> {
        let stop_us = self.stop.map_or(u64::MAX, |stop| stop.at_us);
        if now_us >= self.ends_us && self.ends_us <= stop_us {
            return Some(if self.fails { RunOutcome::Failed } else { RunOutcome::Done });
        }
        if now_us >= stop_us {
            return Some(RunOutcome::Stopped);
        }
        is_lease_over.then_some(RunOutcome::LeaseExpired)
    }

    pub(super) fn is_fully_at_work(&self, now_us: u64) -> bool {
        self.percent(now_us) >= 100
    }
}

#[derive(Debug)]
pub(super) struct SimWorker {
    pub(super) entry: WorkerEntry,
    pub(super) is_up: bool,
    pub(super) partitioned_until_us: u64,
    pub(super) started_us: u64,
    /// Reading of the worker's clock when it started.
    pub(super) clock_start_ms: u64,
    pub(super) clock_rate: f64,
    /// Highest fencing token seen.
    pub(super) token: u64,
    pub(super) lease_end_ms: u64,
    /// Active runs by task and number, also those that are being stopped.
    pub(super) runs: BTreeMap<(TaskRef, u32), Run>,
    /// Highest number of a run of each task that has ended, or was ordered to stop.
    pub(super) highest_ended_run: HashMap<TaskRef, u32>,
    pub(super) ended: Vec<EndedRun>,
    /// Number of the latest ended run.
    pub(super) last_ended_number: u64,
    pub(super) acknowledged_cursor: u64,
    /// Runs up to this number ended before the lease last expired. The leader may have given up these runs, so they do
    /// not count as acknowledged.
    pub(super) lapsed_lease_cursor: u64,
    /// Capacity before the worker shrank.
    pub(super) former_capacity: Option<FormerCapacity>,
}

impl SimWorker {
    pub(super) fn clock_ms(&self, now_us: u64) -> u64 {
        self.clock_start_ms + ((now_us - self.started_us) as f64 * self.clock_rate) as u64 / US_PER_MS
    }

    /// Extends the lease, by at most `max_lease_ms` on the worker's own clock.
    fn extend_lease(&mut self, now_us: u64, lease_end_ms: u64, max_lease_ms: u64) {
        let longest_ms = self.clock_ms(now_us) + max_lease_ms;
        self.lease_end_ms = self.lease_end_ms.max(lease_end_ms.min(longest_ms));
    }

    pub(super) fn record_end(&mut self, task: &TaskRef, run: u32, outcome: RunOutcome) {
        self.last_ended_number += 1;
        let ended =
            EndedRun { number: self.last_ended_number, task: task.clone(), run, outcome, checkpoint: Arc::from("") };
        self.ended.push(ended);
        let highest = self.highest_ended_run.entry(task.clone()).or_default();
        *highest = (*highest).max(run);
    }
}

impl Sim {
    pub(super) fn is_reachable(&self, id: &Arc<str>) -> bool {
        self.workers.get(id).is_some_and(|worker| worker.is_up && self.now_us >= worker.partitioned_until_us)
    }

    /// Whether a worker carries out a call now. One that was delayed may have reached it before it was cut off.
    fn takes_call(&self, id: &Arc<str>, is_delayed: bool) -> bool {
        self.is_reachable(id) || (is_delayed && self.workers.get(id).is_some_and(|worker| worker.is_up))
    }

    pub(super) fn handle_start(&mut self, start: &StartRun, token: u64, is_delayed: bool) -> OrderOutcome {
        let now_us = self.now_us;
        if !self.takes_call(&start.worker, is_delayed) {
            return OrderOutcome::Unanswered;
        }
        let fails = self.chance(self.faults.run_failure_rate);
        let step = self.specs.get(&start.task.job).and_then(|spec| spec.steps.get(start.task.step as usize));
        let is_long_running = step.is_some_and(|step| step.long_running);
        let run_duration_us = if is_long_running { u64::MAX / 2 } else { self.draw_run_duration_us(start) };
        let reports_progress = is_long_running || self.stragglers.report_progress;
        let max_lease_ms = self.settings.max_lease_ms;
        let ticket_refusal = self.ticket_refusal(start);
        let Some(worker) = self.workers.get_mut(&start.worker) else { return OrderOutcome::Unanswered };
        let clock_ms = worker.clock_ms(now_us);
        if token < worker.token {
            return OrderOutcome::Refused(OrderRefusal::Fenced);
        }
        worker.token = token;
        worker.extend_lease(now_us, start.lease_end_ms, max_lease_ms);
        let same_run = worker.runs.get(&(start.task.clone(), start.run));
        if same_run.is_some_and(|run| run.stop.is_none()) {
            return OrderOutcome::Accepted { clock_ms: Some(clock_ms) };
        }
        if worker.highest_ended_run.get(&start.task).is_some_and(|highest| start.run <= *highest) {
            return OrderOutcome::Refused(OrderRefusal::StaleRun);
        }
        if start.lease_end_ms <= clock_ms {
            return OrderOutcome::Refused(OrderRefusal::LeaseExpired);
        }
        if let Some(refusal) = ticket_refusal {
            return OrderOutcome::Refused(refusal);
        }
        let ends_us = now_us + run_duration_us;
        let run =
            Run { started_us: now_us, ends_us, fails, is_long_running, reports_progress, pace: Pace::FULL, stop: None };
        worker.runs.insert((start.task.clone(), start.run), run);
        self.start_count += 1;
        self.stop_times.run_started(now_us, &start.task);
        self.check_start(start, token, is_delayed);
        if self.end_late_gang_member(start) {
            return OrderOutcome::Accepted { clock_ms: Some(clock_ms) };
        }
        self.check_capacity(&start.task, &start.worker);
        self.check_quota(&start.task);
        self.check_crashing_start(&start.task, &start.worker);
        OrderOutcome::Accepted { clock_ms: Some(clock_ms) }
    }

    pub(super) fn check_start(&mut self, start: &StartRun, token: u64, is_delayed: bool) {
        let task_ref = &start.task;
        let mut violations = Vec::new();
        let step = self.specs.get(&task_ref.job).and_then(|spec| spec.steps.get(task_ref.step as usize));
        let max_other_runs = usize::from(step.is_some_and(|step| step.allows_copies()));
        let mut others = Vec::new();
        for worker in self.workers.values().filter(|worker| worker.is_up) {
            for (number, run) in worker.runs_of(task_ref) {
                if worker.entry.id == start.worker && number == start.run {
                    continue;
                }
                let stopping = if run.stop.is_some() { " (stopping)" } else { "" };
                others.push(format!("{} as run {number}{stopping}", worker.entry.id));
            }
        }
        if others.len() > max_other_runs {
            let (others, worker, run) = (others.join(" and "), &start.worker, start.run);
            let at_ms = self.now_us / US_PER_MS;
            violations.push(format!(
                "DUPLICATE RUN at {at_ms} ms: {task_ref:?} runs on {others}, and starts on {worker} as run {run}"
            ));
        }
        self.copy_start_count += u32::from(!others.is_empty());
        if self.acknowledged_done.contains(task_ref) {
            violations.push(format!("REPEATED: {task_ref:?} starts after its completion was acknowledged"));
        }
        if self.acknowledged_failures.get(task_ref).copied().unwrap_or(0) >= MAX_ATTEMPTS {
            violations.push(format!("TOO MANY ATTEMPTS: {task_ref:?} starts after {MAX_ATTEMPTS} failures"));
        }
        match self.specs.get(&task_ref.job) {
            None => violations.push(format!("UNKNOWN JOB: {task_ref:?} starts")),
            Some(spec) => {
                for after in &spec.steps[task_ref.step as usize].after {
                    for index in 0..spec.steps[*after as usize].count {
                        let before = TaskRef { step: *after, index, ..task_ref.clone() };
                        if !self.done.contains(&before) {
                            violations.push(format!("DEPENDENCY: {task_ref:?} starts before {before:?} completes"));
                        }
                    }
                }
            }
        }
        let is_cancelled = self.cancelled.get(&task_ref.job).is_some_and(|at_us| self.now_us > at_us + 3_000_000);
        if is_cancelled && token / FENCES_PER_TERM == self.token && !is_delayed {
            violations.push(format!("CANCELLED: {task_ref:?} starts after its job was cancelled"));
        }
        self.violations.extend(violations.into_iter().map(Violation));
    }

    pub(super) fn handle_hold(&mut self, mut request: HoldRequest) {
        let now_us = self.now_us;
        let HoldRequest { worker: ref id, lease_end_ms, acknowledged, sent_us, leader, token, .. } = request;
        if request.is_delayed {
            self.handle_delayed_hold(&request);
            return;
        }
        if !self.is_reachable(id) {
            let answer = Message::HoldAnswer { worker: id.clone(), sent_us, leader, answer: None };
            self.send(ORDER_TIMEOUT_US, answer);
            return;
        }
        let (listing, max_lease_ms) = (self.stop_listing, self.settings.max_lease_ms);
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.started_us != request.incarnation_started_us {
            self.fail_hold_of_former_incarnation(request);
            return;
        }
        if !request.is_accepted && token < worker.token {
            self.send(DELAY_US, Message::HoldAnswer { worker: id.clone(), sent_us, leader, answer: None });
            return;
        }
        worker.token = worker.token.max(token);
        worker.extend_lease(now_us, lease_end_ms.unwrap_or(0), max_lease_ms);
        self.acknowledge_ends(id, acknowledged);
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.ended.is_empty() && now_us < request.until_us {
            // A worker acknowledges on arrival only. The cursor of a former incarnation must not cover later ends.
            request.acknowledged = 0;
            request.is_accepted = true;
            self.send(TICK_US, Message::Hold(request));
            return;
        }
        let lists_stopping_runs = listing.lists_stopping_runs(id);
        let Some(worker) = self.workers.get(id) else { return };
        let listed = worker.runs.iter().filter(|(_, run)| run.stop.is_none() || lists_stopping_runs);
        let running = listed.map(|((task, number), run)| ActiveRun {
            task: task.clone(),
            run: *number,
            checkpoint: Arc::from(""),
            percent: run.percent(now_us),
            load: self.load_of(worker, task, run),
        });
        let answer = HoldAnswer {
            clock_ms: worker.clock_ms(now_us),
            started_unix_ms: Some(worker.entry.started_unix_ms),
            is_complete: true,
            running: running.collect(),
            ended: worker.ended.iter().take(MAX_LISTED_ENDED_RUNS).cloned().collect(),
        };
        self.send(DELAY_US, Message::HoldAnswer { worker: id.clone(), sent_us, leader, answer: Some(answer) });
    }

    /// Carries out a hold request whose sender no longer waits for the answer.
    fn handle_delayed_hold(&mut self, request: &HoldRequest) {
        if !self.takes_call(&request.worker, true) {
            return;
        }
        let (now_us, max_lease_ms) = (self.now_us, self.settings.max_lease_ms);
        let Some(worker) = self.workers.get_mut(&request.worker) else { return };
        if request.token < worker.token {
            return;
        }
        worker.token = request.token;
        worker.extend_lease(now_us, request.lease_end_ms.unwrap_or(0), max_lease_ms);
        self.acknowledge_ends(&request.worker, request.acknowledged);
    }

    /// Makes a worker forget its ends up to a number, and notes what the leader has acknowledged with them.
    fn acknowledge_ends(&mut self, id: &Arc<str>, acknowledged: u64) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        for ended_run in &worker.ended {
            if ended_run.number <= acknowledged
                && ended_run.number > worker.acknowledged_cursor.max(worker.lapsed_lease_cursor)
            {
                match ended_run.outcome {
                    RunOutcome::Done => {
                        self.acknowledged_done.insert(ended_run.task.clone());
                    }
                    RunOutcome::Failed => *self.acknowledged_failures.entry(ended_run.task.clone()).or_default() += 1,
                    _ => {}
                }
            }
        }
        worker.acknowledged_cursor = worker.acknowledged_cursor.max(acknowledged.min(worker.last_ended_number));
        worker.ended.retain(|ended_run| ended_run.number > acknowledged);
    }

    pub(super) fn run_workers(&mut self) {
        let now_us = self.now_us;
        let mut ended_by_leader = Vec::new();
        let mut completed = Vec::new();
        for worker in self.workers.values_mut() {
            if !worker.is_up {
                continue;
            }
            let lapsed = worker.clock_ms(now_us) > worker.lease_end_ms;
            if lapsed {
                worker.lapsed_lease_cursor = worker.last_ended_number;
            }
            let mut ended = Vec::new();
            for (key, run) in &worker.runs {
                ended.extend(run.outcome_at(now_us, lapsed).map(|outcome| (key.clone(), outcome)));
            }
            for (key, outcome) in ended {
                let Some(run) = worker.runs.remove(&key) else { continue };
                let (task, number) = key;
                match outcome {
                    RunOutcome::Done => {
                        self.done.insert(task.clone());
                        completed.push((task.clone(), number));
                    }
                    RunOutcome::Failed => *self.failures.entry(task.clone()).or_default() += 1,
                    _ => {}
                }
                worker.record_end(&task, number, outcome);
                if matches!(outcome, RunOutcome::Stopped | RunOutcome::LeaseExpired) {
                    ended_by_leader.push((task, run, worker.entry.draining));
                }
            }
        }
        for (task, number) in completed {
            self.end_gang_of(&task, number);
        }
        for (task, run, is_draining) in ended_by_leader {
            match run.stop {
                Some(stop) if now_us >= stop.at_us => self.run_stopped(&task, &run, stop),
                Some(_) | None => self.check_lease_expiry(&task, &run, is_draining),
            }
        }
    }
}

pub(super) fn sim_worker(now_us: u64, entry: WorkerEntry, clock_rate: f64) -> SimWorker {
    SimWorker {
        entry,
        is_up: true,
        partitioned_until_us: 0,
        started_us: now_us.saturating_sub(1_000_000),
        clock_start_ms: 0,
        clock_rate,
        token: 0,
        lease_end_ms: 0,
        runs: BTreeMap::new(),
        highest_ended_run: HashMap::new(),
        ended: Vec::new(),
        last_ended_number: 0,
        acknowledged_cursor: 0,
        lapsed_lease_cursor: 0,
        former_capacity: None,
    }
}
