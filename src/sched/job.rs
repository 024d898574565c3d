//! State of a job and its work items.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::model::{JobId, JobPhase, JobSpec, Step, TaskRef};
use crate::clock::US_PER_MS;

/// A job is worth something up to so many times its objective.
const LATE_FACTOR: f64 = 3.0;

/// One life of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct WorkerIncarnation {
    pub(crate) id: Arc<str>,
    pub(crate) started_unix_ms: u64,
}

/// How far a placed run has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// Its record is being written; no order has gone out.
    Persisting,
    /// The order is under way.
    Ordered,
    /// The order got no answer; the worker's next list tells.
    Unanswered { since_us: u64 },
    /// The worker accepted it, or lists it.
    Running { since_us: u64 },
    /// It must end before anything else happens. `acknowledged_us` is when the worker confirmed the stop.
    Stopping { next_retry_us: u64, acknowledged_us: Option<u64> },
    /// A former leader placed it; its worker has not been heard yet.
    Inherited,
}

/// Where a work item stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// Nowhere; it may be waiting for other steps.
    Waiting,
    Placed {
        worker: WorkerIncarnation,
        phase: RunPhase,
    },
    Done,
}

/// One work item.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Task {
    pub(crate) state: TaskState,
    /// Number of the latest run.
    pub(crate) run: u32,
    /// Highest run whose end has been taken into account.
    pub(crate) settled_run: u32,
    /// It is done. A later run of it may still have to be stopped.
    pub(crate) is_done: bool,
    pub(crate) failures: u32,
    pub(crate) checkpoint: Arc<str>,
    /// Workers on which it failed.
    pub(crate) avoided_workers: Vec<Arc<str>>,
    /// No start before this time.
    pub(crate) not_before_us: u64,
    /// Progress in percent, and since when it has not changed.
    pub(crate) percent: u32,
    pub(crate) percent_since_us: u64,
    /// When a work item that lasts was last at work, for its share of allowed absences.
    pub(crate) load: Option<u64>,
    /// Share of time it may use, in percent.
    pub(crate) pace_percent: u32,
}

impl Task {
    fn new() -> Task {
        Task {
            state: TaskState::Waiting,
            run: 0,
            settled_run: 0,
            is_done: false,
            failures: 0,
            checkpoint: Arc::from(""),
            avoided_workers: Vec::new(),
            not_before_us: 0,
            percent: 0,
            percent_since_us: 0,
            load: None,
            pace_percent: 100,
        }
    }

    pub(crate) fn placed_on(&self) -> Option<&WorkerIncarnation> {
        match &self.state {
            TaskState::Placed { worker, .. } => Some(worker),
            TaskState::Waiting | TaskState::Done => None,
        }
    }

    /// Whether it does its work at full share.
    pub(crate) fn is_fully_running(&self) -> bool {
        matches!(self.state, TaskState::Placed { phase: RunPhase::Running { .. }, .. }) && self.percent >= 100
    }
}

/// The work items of one step.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct StepState {
    pub(crate) tasks: Vec<Task>,
    pub(crate) done: u32,
    /// Tickets of workers that may run the step, and when the service was last asked.
    pub(crate) advice: StepAdvice,
}

/// What the advice service said about a step.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct StepAdvice {
    /// Worker, ticket, and when it ends.
    pub(crate) tickets: Vec<(Arc<str>, Arc<str>, u64)>,
    pub(crate) refused: Vec<Arc<str>>,
    pub(crate) is_requested: bool,
    pub(crate) next_request_us: u64,
}

/// What a job's open work can still be worth, best first; within each kind, what must begin earliest comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum DeadlineForecast {
    /// Work that lasts is owed at all times.
    LongRunning,
    /// It can meet its objective if it begins by then.
    OnTime {
        latest_start_us: u64,
    },
    /// It can be done while a late answer is worth something.
    Late {
        latest_start_us: u64,
    },
    Expired {
        deadline_us: u64,
    },
}

impl DeadlineForecast {
    /// Whether hosts are brought to a pool for it.
    pub(crate) fn claims_hosts(self) -> bool {
        matches!(self, DeadlineForecast::LongRunning | DeadlineForecast::OnTime { .. })
    }
}

/// One time that the steps run.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Occurrence {
    pub(crate) steps: Vec<StepState>,
}

/// See the module.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Job {
    pub(crate) id: JobId,
    pub(crate) spec: Arc<JobSpec>,
    pub(crate) phase: JobPhase,
    pub(crate) occurrences: BTreeMap<u32, Occurrence>,
    /// Next occurrence to begin.
    pub(crate) next_occurrence: u32,
    /// End of its objective.
    pub(crate) deadline_us: u64,
    /// When it is so late that it is worth nothing to its caller.
    pub(crate) worthless_us: u64,
    /// Phase that callers are told.
    pub(crate) told: JobPhase,
    /// Nothing is left to run or to stop.
    pub(crate) is_over: bool,
    /// For each step, the longest chain of estimated work from it to the end.
    chains_ms: Vec<u64>,
}

fn chains_ms(steps: &[Step]) -> Vec<u64> {
    let mut longest = vec![0; steps.len()];
    for index in (0..steps.len()).rev() {
        let mut rest = 0;
        for (later, other) in steps.iter().enumerate().skip(index + 1) {
            if other.after.contains(&(index as u32)) {
                rest = rest.max(longest[later]);
            }
        }
        longest[index] = rest + steps[index].estimate_ms;
    }
    longest
}

impl Job {
    /// A job that has not begun.
    pub(crate) fn new(id: JobId, spec: Arc<JobSpec>) -> Job {
        Job {
            id,
            chains_ms: chains_ms(&spec.steps),
            spec,
            phase: JobPhase::Queued,
            occurrences: BTreeMap::new(),
            next_occurrence: 0,
            deadline_us: 0,
            worthless_us: 0,
            told: JobPhase::Queued,
            is_over: false,
        }
    }

    pub(crate) fn is_scheduled(&self) -> bool {
        self.spec.scheduled_occurrences > 0
    }

    /// Number of occurrences in the job's life.
    pub(crate) fn occurrence_count(&self) -> u32 {
        self.spec.scheduled_occurrences.max(1)
    }

    /// Begins an occurrence.
    pub(crate) fn begin_occurrence(&mut self, number: u32) {
        let steps = self.spec.steps.iter().map(|step| StepState {
            tasks: (0..step.count).map(|_| Task::new()).collect(),
            done: 0,
            advice: StepAdvice::default(),
        });
        self.occurrences.insert(number, Occurrence { steps: steps.collect() });
        self.next_occurrence = self.next_occurrence.max(number + 1);
    }

    pub(crate) fn task(&self, task: &TaskRef) -> Option<&Task> {
        self.occurrences.get(&task.occurrence)?.steps.get(task.step as usize)?.tasks.get(task.index as usize)
    }

    pub(crate) fn task_mut(&mut self, task: &TaskRef) -> Option<&mut Task> {
        let occurrence = self.occurrences.get_mut(&task.occurrence)?;
        occurrence.steps.get_mut(task.step as usize)?.tasks.get_mut(task.index as usize)
    }

    pub(crate) fn task_ref(&self, occurrence: u32, step: usize, index: usize) -> TaskRef {
        TaskRef { job: self.id.clone(), occurrence, step: step as u32, index: index as u32 }
    }

    /// Whether the steps that a step waits for are done.
    pub(crate) fn is_step_unblocked(&self, occurrence: u32, step: usize) -> bool {
        let Some(state) = self.occurrences.get(&occurrence) else { return false };
        for after in &self.spec.steps[step].after {
            let before = *after as usize;
            if state.steps[before].done < self.spec.steps[before].count {
                return false;
            }
        }
        true
    }

    /// Every work item, with its place.
    pub(crate) fn tasks(&self) -> impl Iterator<Item = (TaskRef, &Task)> {
        self.occurrences.iter().flat_map(move |(number, occurrence)| {
            occurrence.steps.iter().enumerate().flat_map(move |(step, state)| {
                let tasks = state.tasks.iter().enumerate();
                tasks.map(move |(index, task)| (self.task_ref(*number, step, index), task))
            })
        })
    }

    /// Whether a run of it may still exist anywhere.
    pub(crate) fn has_placed(&self) -> bool {
        self.tasks().any(|(_, task)| task.placed_on().is_some())
    }

    pub(crate) fn is_long_running(&self) -> bool {
        self.spec.steps.iter().any(|step| step.long_running)
    }

    /// Whether all occurrences are done.
    pub(crate) fn is_complete(&self) -> bool {
        if self.is_long_running() || self.next_occurrence < self.occurrence_count() {
            return false;
        }
        self.occurrences.values().all(|occurrence| {
            let steps = occurrence.steps.iter().zip(&self.spec.steps);
            steps.into_iter().all(|(state, step)| state.done >= step.count)
        })
    }

    /// Longest chain of estimated work from a step to the end, itself included, in milliseconds.
    pub(crate) fn critical_path_from_ms(&self, step: usize) -> u64 {
        self.chains_ms.get(step).copied().unwrap_or(0)
    }

    /// Longest chain of estimated work, in milliseconds.
    pub(crate) fn critical_path_ms(&self) -> u64 {
        self.chains_ms.iter().copied().max().unwrap_or(0)
    }

    /// Unix time at which an occurrence is due, in milliseconds.
    pub(crate) fn due_unix_ms(&self, occurrence: u32) -> u64 {
        self.spec.first_run_unix_ms + u64::from(occurrence) * self.spec.interval_ms
    }

    /// Sets the end of the objective from the queue's rules.
    pub(crate) fn set_deadline(&mut self, begin_us: u64, stretch: f64, target_latency_ms: u64) {
        let allowed_ms = self.critical_path_ms() as f64 * stretch + target_latency_ms as f64;
        self.deadline_us = begin_us + allowed_ms as u64 * US_PER_MS;
        self.worthless_us = begin_us + (allowed_ms * LATE_FACTOR) as u64 * US_PER_MS;
    }

    /// What the job's open work can still be worth.
    pub(crate) fn deadline_forecast(&self, now_us: u64) -> DeadlineForecast {
        if self.is_long_running() {
            return DeadlineForecast::LongRunning;
        }
        let mut rest_ms = 0;
        for (number, occurrence) in &self.occurrences {
            for (step, state) in occurrence.steps.iter().enumerate() {
                if state.done < self.spec.steps[step].count && self.is_step_unblocked(*number, step) {
                    rest_ms = rest_ms.max(self.critical_path_from_ms(step));
                }
            }
        }
        let done_us = now_us + rest_ms * US_PER_MS;
        if done_us <= self.deadline_us {
            return DeadlineForecast::OnTime { latest_start_us: self.deadline_us - rest_ms * US_PER_MS };
        }
        if done_us <= self.worthless_us {
            return DeadlineForecast::Late { latest_start_us: self.worthless_us - rest_ms * US_PER_MS };
        }
        DeadlineForecast::Expired { deadline_us: self.deadline_us }
    }
}
