//! State of a job, its occurrences and their steps.

mod task;

use std::collections::BTreeMap;
use std::sync::Arc;

use foldhash::{HashMap, HashSet};

use super::critical_path::{critical_paths_ms, MeasuredRunTimes};
use super::model::{JobId, JobPhase, JobSpec, Queue, TaskRef};
use crate::clock::US_PER_MS;

pub(crate) use task::{RunPhase, Task, TaskState, WorkerIncarnation};

/// A job's result is worth nothing to its caller once the job has taken this multiple of its allowed time.
const EXPIRY_FACTOR: f64 = 3.0;

/// Limit on the tasks of one job, over all its occurrences, when it is submitted: the record of a larger one may not fit in
/// a row of the store. The users' platform specifies none.
pub(crate) const MAX_JOB_TASKS: u64 = 2_500;
/// Limit on the tasks of a stored job, which an earlier version may have accepted. A leader holds them all, and so does the
/// next one.
pub(crate) const MAX_STORED_JOB_TASKS: u64 = 10_000;

/// State of one step in one occurrence.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct StepState {
    pub(crate) tasks: Vec<Task>,
    /// Number of tasks that have completed.
    pub(crate) done_count: u32,
    /// When the last task completed; 0 if this leader has not seen it.
    pub(crate) completed_us: u64,
    pub(crate) advice: StepAdvice,
    /// Since when waiting tasks have found no worker that they would not share, see [`sharing`](super::sharing).
    pub(crate) lacks_unshared_since_us: Option<u64>,
    pub(crate) measured: Option<MeasuredRunTimes>,
}

/// Answers of the advice service about the workers that may run a step.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct StepAdvice {
    /// Tickets by worker ID.
    pub(crate) tickets: HashMap<Arc<str>, Ticket>,
    /// Workers for which the service issued no ticket.
    pub(crate) refused: HashSet<Arc<str>>,
    /// Whether a request to the service is in flight.
    pub(crate) is_requested: bool,
    pub(crate) next_request_us: u64,
}

/// Permission of the advice service to run the tasks of a step on a worker.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Ticket {
    pub(crate) text: Arc<str>,
    /// When the ticket expires.
    pub(crate) until_us: u64,
}

/// Whether a job can still meet its deadline. Sorts by urgency: by variant first, then by the time in the variant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum DeadlineForecast {
    /// The job has long-running tasks, which are always due.
    LongRunning,
    /// The job meets its deadline if its remaining steps start by this time.
    OnTime { latest_start_us: u64 },
    /// The job misses its deadline, but its result still has value if the remaining steps start by this time.
    Late { latest_start_us: u64 },
    /// The job cannot complete while its result has value.
    Expired { deadline_us: u64 },
}

impl DeadlineForecast {
    /// Whether hosts are moved to the job's pool for its tasks.
    pub(crate) fn claims_hosts(self) -> bool {
        matches!(self, DeadlineForecast::LongRunning | DeadlineForecast::OnTime { .. })
    }
}

/// Whether a job arrived within its organisation's guaranteed rate. Jobs within the rate are placed first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ShareClass {
    /// The organisation submits jobs no faster than its weight allows, or the job belongs to no organisation.
    #[default]
    WithinRate,
    /// Placed only after all waiting jobs of the pool that are within their rate.
    BeyondRate,
}

/// Time that a job may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TimeBudget {
    /// The job should complete within this time.
    pub(crate) allowed_ms: u64,
    /// After this time the result is worth nothing to the caller.
    pub(crate) worthless_after_ms: u64,
}

impl TimeBudget {
    /// The budget of a job by its critical path and the rules of its queue.
    pub(crate) fn of(critical_path_ms: u64, stretch: f64, target_latency_ms: u64) -> TimeBudget {
        let allowed_ms = critical_path_ms as f64 * stretch + target_latency_ms as f64;
        TimeBudget { allowed_ms: allowed_ms as u64, worthless_after_ms: (allowed_ms * EXPIRY_FACTOR) as u64 }
    }
}

/// One execution of all steps. A recurring job has several occurrences, any other job has one.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Occurrence {
    /// When this leader learned that the occurrence has begun.
    pub(crate) begun_us: u64,
    pub(crate) steps: Vec<StepState>,
}

/// A job that the leader keeps track of.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Job {
    pub(crate) id: JobId,
    pub(crate) spec: Arc<JobSpec>,
    /// The queue as configured now, or as configured when the job was accepted if it no longer exists.
    pub(crate) queue: Arc<Queue>,
    pub(crate) phase: JobPhase,
    pub(crate) occurrences: BTreeMap<u32, Occurrence>,
    /// Number of the next occurrence to begin.
    pub(crate) next_occurrence: u32,
    /// When the job was accepted.
    pub(crate) accepted_us: u64,
    /// Time by which the job should complete.
    pub(crate) deadline_us: u64,
    /// Time from which the result is worth nothing to the caller.
    pub(crate) expires_us: u64,
    /// Phase last reported to callers.
    pub(crate) published_phase: JobPhase,
    /// Whether the phase is final, no run is left, and the state of the tasks has been dropped.
    pub(crate) is_finished: bool,
    /// Whether the store has refused the job's record. The record then holds only the phase, which is final.
    pub(crate) is_record_refused: bool,
    pub(crate) share_class: ShareClass,
    /// When the latest end of a run was noticed before the phase became final; 0 if this leader has noticed none.
    pub(crate) last_end_us: u64,
    /// Critical path from each step: the highest sum of run times of steps that depend on each other, starting with
    /// this step. Run times are measured as far as possible, otherwise estimated.
    critical_paths_ms: Vec<u64>,
    deadline_rules: DeadlineRules,
}

/// Rules for a job's deadline, and the time from which they count.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct DeadlineRules {
    begin_us: u64,
    stretch: f64,
    target_latency_ms: u64,
}

impl Job {
    /// Creates a job with no occurrence.
    pub(crate) fn new(id: JobId, spec: Arc<JobSpec>) -> Job {
        Job {
            id,
            critical_paths_ms: critical_paths_ms(&spec.steps, |_| None),
            deadline_rules: DeadlineRules::default(),
            queue: spec.queue.clone(),
            spec,
            phase: JobPhase::Queued,
            occurrences: BTreeMap::new(),
            next_occurrence: 0,
            accepted_us: 0,
            deadline_us: 0,
            expires_us: 0,
            published_phase: JobPhase::Queued,
            is_finished: false,
            is_record_refused: false,
            share_class: ShareClass::default(),
            last_end_us: 0,
        }
    }

    /// Whether the job runs several times, at fixed intervals.
    pub(crate) fn is_recurring(&self) -> bool {
        self.spec.recurring_occurrences > 0
    }

    /// Total number of occurrences, past and future.
    pub(crate) fn occurrence_count(&self) -> u32 {
        self.spec.recurring_occurrences.max(1)
    }

    /// Number of occurrences that may begin. Only stored jobs that were accepted without this limit have more.
    fn max_occurrences(&self) -> u32 {
        let tasks: u64 = self.spec.steps.iter().map(|step| u64::from(step.count)).sum();
        u32::try_from(MAX_STORED_JOB_TASKS / tasks.max(1)).unwrap_or(u32::MAX).max(1)
    }

    /// Whether another occurrence may begin at a time.
    pub(crate) fn is_occurrence_due(&self, now_unix_ms: u64) -> bool {
        self.next_occurrence < self.occurrence_count().min(self.max_occurrences())
            && self.due_unix_ms(self.next_occurrence) <= now_unix_ms
    }

    /// Creates the tasks of an occurrence.
    pub(crate) fn begin_occurrence(&mut self, number: u32) {
        let steps = self.spec.steps.iter().map(|step| StepState {
            tasks: (0..step.count).map(|_| Task::new()).collect(),
            done_count: 0,
            completed_us: 0,
            advice: StepAdvice::default(),
            lacks_unshared_since_us: None,
            measured: None,
        });
        self.occurrences.insert(number, Occurrence { begun_us: 0, steps: steps.collect() });
        self.next_occurrence = self.next_occurrence.max(number + 1);
    }

    pub(crate) fn task(&self, task_ref: &TaskRef) -> Option<&Task> {
        self.occurrences
            .get(&task_ref.occurrence)?
            .steps
            .get(task_ref.step as usize)?
            .tasks
            .get(task_ref.index as usize)
    }

    pub(crate) fn task_mut(&mut self, task_ref: &TaskRef) -> Option<&mut Task> {
        let occurrence = self.occurrences.get_mut(&task_ref.occurrence)?;
        occurrence.steps.get_mut(task_ref.step as usize)?.tasks.get_mut(task_ref.index as usize)
    }

    pub(crate) fn task_ref(&self, occurrence: u32, step: usize, index: usize) -> TaskRef {
        TaskRef { job: self.id.clone(), occurrence, step: step as u32, index: index as u32 }
    }

    /// Whether all steps that a step depends on have completed.
    pub(crate) fn is_step_unblocked(&self, occurrence: u32, step: usize) -> bool {
        let Some(state) = self.occurrences.get(&occurrence) else { return false };
        for after in &self.spec.steps[step].after {
            let before = *after as usize;
            if state.steps[before].done_count < self.spec.steps[before].count {
                return false;
            }
        }
        true
    }

    /// Sets the time at which the latest occurrences began, as far as it is not known yet.
    pub(crate) fn set_begun(&mut self, now_us: u64) {
        for occurrence in self.occurrences.values_mut() {
            if occurrence.begun_us == 0 {
                occurrence.begun_us = now_us;
            }
        }
    }

    /// When the tasks of a step could start: the occurrence had begun, and the steps that it depends on had completed.
    pub(crate) fn ready_us(&self, occurrence: u32, step: usize) -> u64 {
        let Some(state) = self.occurrences.get(&occurrence) else { return 0 };
        let completed = self.spec.steps[step].after.iter().map(|before| state.steps[*before as usize].completed_us);
        completed.fold(state.begun_us, u64::max)
    }

    /// All tasks of the occurrences that have begun.
    pub(crate) fn tasks(&self) -> impl Iterator<Item = (TaskRef, &Task)> {
        self.occurrences.iter().flat_map(move |(number, occurrence)| {
            occurrence.steps.iter().enumerate().flat_map(move |(step, state)| {
                let tasks = state.tasks.iter().enumerate();
                tasks.map(move |(index, task)| (self.task_ref(*number, step, index), task))
            })
        })
    }

    /// Whether a run of any of the job's tasks has been recorded.
    pub(crate) fn has_begun(&self) -> bool {
        let mut steps = self.occurrences.values().flat_map(|occurrence| &occurrence.steps);
        steps.any(|step| step.tasks.iter().any(|task| task.run > 0))
    }

    /// Whether a worker may still have a run of the job.
    pub(crate) fn has_placed_tasks(&self) -> bool {
        self.tasks().any(|(_, task)| task.placed_on().is_some())
    }

    pub(crate) fn is_long_running(&self) -> bool {
        self.spec.steps.iter().any(|step| step.long_running)
    }

    /// Whether all occurrences have completed.
    pub(crate) fn is_complete(&self) -> bool {
        if self.is_long_running() || self.next_occurrence < self.occurrence_count() {
            return false;
        }
        self.occurrences.values().all(|occurrence| {
            let steps = occurrence.steps.iter().zip(&self.spec.steps);
            steps.into_iter().all(|(state, step)| state.done_count >= step.count)
        })
    }

    /// Critical path from a step to the end of the job, including the step.
    pub(crate) fn critical_path_from_ms(&self, step: usize) -> u64 {
        self.critical_paths_ms.get(step).copied().unwrap_or(0)
    }

    /// Critical path of the whole job.
    pub(crate) fn critical_path_ms(&self) -> u64 {
        self.critical_paths_ms.iter().copied().max().unwrap_or(0)
    }

    /// Time at which an occurrence is due.
    pub(crate) fn due_unix_ms(&self, occurrence: u32) -> u64 {
        self.spec.first_run_unix_ms + u64::from(occurrence) * self.spec.interval_ms
    }

    /// Computes the deadline and the expiry time from the queue's rules.
    pub(crate) fn set_deadline(&mut self, begin_us: u64, stretch: f64, target_latency_ms: u64) {
        self.accepted_us = begin_us;
        self.deadline_rules = DeadlineRules { begin_us, stretch, target_latency_ms };
        self.update_deadline();
    }

    fn update_deadline(&mut self) {
        let DeadlineRules { begin_us, stretch, target_latency_ms } = self.deadline_rules;
        let budget = TimeBudget::of(self.critical_path_ms(), stretch, target_latency_ms);
        self.deadline_us = begin_us + budget.allowed_ms * US_PER_MS;
        self.expires_us = begin_us + budget.worthless_after_ms * US_PER_MS;
    }

    /// Records how long a task of a step runs. If that is longer than known so far, the deadline is computed again, since
    /// callers allow a job time in proportion to the run times of its tasks.
    pub(crate) fn record_run_time(&mut self, task_ref: &TaskRef, run_ms: u64) {
        let step = task_ref.step as usize;
        let occurrence = self.occurrences.get_mut(&task_ref.occurrence);
        let Some(state) = occurrence.and_then(|occurrence| occurrence.steps.get_mut(step)) else { return };
        let known = state.measured;
        let measured = MeasuredRunTimes::add(known, run_ms);
        state.measured = Some(measured);
        if known.is_some_and(|known| known.longest_ms == measured.longest_ms) {
            return;
        }
        let longest_ms = |step: usize| {
            let measured = self.occurrences.values().filter_map(|occurrence| occurrence.steps[step].measured);
            measured.map(|measured| measured.longest_ms).max()
        };
        self.critical_paths_ms = critical_paths_ms(&self.spec.steps, longest_ms);
        self.update_deadline();
    }

    /// Shortest known run time of the tasks of a step.
    pub(crate) fn shortest_run_ms(&self, task_ref: &TaskRef) -> Option<u64> {
        let step = self.occurrences.get(&task_ref.occurrence)?.steps.get(task_ref.step as usize)?;
        step.measured.map(|measured| measured.shortest_ms)
    }

    /// Predicts from the estimates of the remaining steps whether the job meets its deadline.
    pub(crate) fn deadline_forecast(&self, now_us: u64) -> DeadlineForecast {
        if self.is_long_running() {
            return DeadlineForecast::LongRunning;
        }
        let mut remaining_ms = 0;
        for (number, occurrence) in &self.occurrences {
            for (step, state) in occurrence.steps.iter().enumerate() {
                if state.done_count < self.spec.steps[step].count && self.is_step_unblocked(*number, step) {
                    remaining_ms = remaining_ms.max(self.critical_path_from_ms(step));
                }
            }
        }
        let finish_us = now_us + remaining_ms * US_PER_MS;
        if finish_us <= self.deadline_us {
            return DeadlineForecast::OnTime { latest_start_us: self.deadline_us - remaining_ms * US_PER_MS };
        }
        if finish_us <= self.expires_us {
            return DeadlineForecast::Late { latest_start_us: self.expires_us - remaining_ms * US_PER_MS };
        }
        DeadlineForecast::Expired { deadline_us: self.deadline_us }
    }

    /// Number of tasks that have not started.
    pub(super) fn waiting_tasks(&self) -> u64 {
        let steps = self.occurrences.values().flat_map(|occurrence| &occurrence.steps);
        let tasks = steps.flat_map(|step| &step.tasks);
        tasks.filter(|task| task.state == TaskState::Waiting).count() as u64
    }

    /// Work of the tasks that have not started, by their estimates, in thousandths of a core times milliseconds.
    pub(super) fn waiting_work(&self) -> u64 {
        let mut work: u64 = 0;
        for occurrence in self.occurrences.values() {
            for (step, state) in self.spec.steps.iter().zip(&occurrence.steps) {
                let waiting = state.tasks.iter().filter(|task| task.state == TaskState::Waiting).count() as u64;
                let of_task = step.reserved().cpu_milli.saturating_mul(step.estimate_ms);
                work = work.saturating_add(waiting.saturating_mul(of_task));
            }
        }
        work
    }
}
