//! Tasks that crash the workers that start them, and workers that come back after a crash.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use super::super::model::{TaskRef, WorkerEntry};
use super::worker::sim_worker;
use super::{Sim, Violation, START_UNIX_MS};
use crate::clock::US_PER_MS;

/// Time from the start of a crashing task until its worker crashes.
const CRASH_AFTER_START_US: u64 = 10 * US_PER_MS;
/// Time until the registry drops the entry of a worker that has crashed.
const ENTRY_LAPSE_US: u64 = 4_500 * US_PER_MS;
/// A crashing task may start fewer than this many times after [`CRASHES_BEFORE_LIMIT`] workers have crashed.
const MAX_STARTS_AFTER_LIMIT: u32 = 3;
const CRASHES_BEFORE_LIMIT: u32 = 3;

/// Under which ID a host's next worker registers after a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::sched) enum NextWorkerId {
    New,
    Same,
}

/// Crashes that are due, and what they have hit.
#[derive(Debug)]
pub(super) struct Crashes {
    /// Tasks that crash every worker that starts them.
    tasks: HashSet<TaskRef>,
    due: Vec<(u64, Arc<str>)>,
    returning: Vec<(u64, WorkerEntry)>,
    lapsing: Vec<(u64, Arc<str>)>,
    next_id: NextWorkerId,
    /// Time until the host of a crashed worker has a new one.
    down_us: u64,
    life_count: u32,
    /// Number of workers that crashed with a run of each task.
    with_task: HashMap<TaskRef, u32>,
    starts_after_limit: HashMap<TaskRef, u32>,
    /// For each crash that a task has caused, the number of other tasks that lost a run in it.
    others_lost: Vec<usize>,
}

impl Default for Crashes {
    fn default() -> Crashes {
        Crashes {
            tasks: HashSet::new(),
            due: Vec::new(),
            returning: Vec::new(),
            lapsing: Vec::new(),
            next_id: NextWorkerId::New,
            down_us: 3_200 * US_PER_MS,
            life_count: 0,
            with_task: HashMap::new(),
            starts_after_limit: HashMap::new(),
            others_lost: Vec::new(),
        }
    }
}

impl Sim {
    /// Makes a task crash every worker that starts it. The host has a new worker after `down_ms`.
    pub(in crate::sched) fn add_crashing_task(&mut self, task: TaskRef, next_id: NextWorkerId, down_ms: u64) {
        self.crashes.tasks.insert(task);
        self.crashes.next_id = next_id;
        self.crashes.down_us = down_ms * US_PER_MS;
    }

    /// Number of workers that have crashed with a run of the task.
    pub(in crate::sched) fn crash_count(&self, task: &TaskRef) -> u32 {
        self.crashes.with_task.get(task).copied().unwrap_or(0)
    }

    /// For each crash that a task has caused, the number of other tasks that lost a run in it.
    pub(in crate::sched) fn others_lost(&self) -> &[usize] {
        &self.crashes.others_lost
    }

    /// Whether so many workers have crashed with runs of a task of the job that it may be given up.
    pub(in crate::sched) fn may_be_given_up(&self, job: &str) -> bool {
        self.crashes.with_task.iter().any(|(task, count)| &*task.job == job && *count >= 2)
    }

    /// Notes the start of a run, which may crash its worker.
    pub(super) fn check_crashing_start(&mut self, task: &TaskRef, worker: &Arc<str>) {
        if !self.crashes.tasks.contains(task) {
            return;
        }
        self.crashes.due.push((self.now_us + CRASH_AFTER_START_US, worker.clone()));
        if self.crash_count(task) < CRASHES_BEFORE_LIMIT {
            return;
        }
        let starts = self.crashes.starts_after_limit.entry(task.clone()).or_default();
        *starts += 1;
        if *starts >= MAX_STARTS_AFTER_LIMIT {
            let text =
                format!("CRASHING TASK: {task:?} starts again after {CRASHES_BEFORE_LIMIT} workers have crashed");
            self.violations.push(Violation(text));
        }
    }

    /// Counts the crash of a worker for the tasks that it runs.
    pub(super) fn count_crash(&mut self, id: &Arc<str>) {
        let Some(worker) = self.workers.get(id) else { return };
        // An end that the leader has not read is lost as well, so it cannot tell such a run from one that was active.
        let unread = worker.ended.iter().map(|ended_run| &ended_run.task);
        let lost: HashSet<&TaskRef> = worker.runs.keys().map(|(task, _)| task).chain(unread).collect();
        for task in lost {
            *self.crashes.with_task.entry(task.clone()).or_default() += 1;
        }
    }

    pub(super) fn advance_crashes(&mut self) {
        let now_us = self.now_us;
        for id in take_due(&mut self.crashes.due, now_us) {
            self.crash_by_task(&id);
        }
        for entry in take_due(&mut self.crashes.returning, now_us) {
            let worker = sim_worker(now_us, entry.clone(), 1.0);
            self.workers.insert(entry.id.clone(), worker);
            self.registry.insert(entry);
        }
        for id in take_due(&mut self.crashes.lapsing, now_us) {
            if self.workers.get(&id).is_some_and(|worker| !worker.is_up) {
                self.workers.remove(&id);
                self.registry.remove(&id);
            }
        }
    }

    fn crash_by_task(&mut self, id: &Arc<str>) {
        if !self.workers.get(id).is_some_and(|worker| worker.is_up) {
            return;
        }
        self.count_crash(id);
        let crashing = &self.crashes.tasks;
        let Some(worker) = self.workers.get_mut(id) else { return };
        self.crashes.others_lost.push(worker.runs.keys().filter(|(task, _)| !crashing.contains(task)).count());
        worker.is_up = false;
        worker.runs.clear();
        let mut entry = worker.entry.clone();
        self.crashes.life_count += 1;
        let life = self.crashes.life_count;
        let return_us = self.now_us + self.crashes.down_us;
        entry.started_unix_ms =
            self.draw_start_unix_ms(entry.started_unix_ms, START_UNIX_MS + return_us / US_PER_MS + u64::from(life));
        if self.crashes.next_id == NextWorkerId::New {
            entry.id = format!("{}-{life}", entry.host.as_deref().unwrap_or("host")).into();
            self.crashes.lapsing.push((self.now_us + ENTRY_LAPSE_US, id.clone()));
        }
        self.crashes.returning.push((return_us, entry));
    }
}

/// Takes the values whose time has come.
fn take_due<T>(timed: &mut Vec<(u64, T)>, now_us: u64) -> Vec<T> {
    let mut due = Vec::new();
    for (at_us, value) in std::mem::take(timed) {
        if at_us <= now_us {
            due.push(value);
        } else {
            timed.push((at_us, value));
        }
    }
    due
}
