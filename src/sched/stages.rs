//! How long jobs and tasks take for each stage on their way from acceptance to the published result.
//!
//! A task's times belong to its latest run: [`Stage::Placed`] lasts until that run was placed and so includes earlier
//! runs, and the stages add up to the time from when the task could start until its end was noticed. They are recorded
//! once, when the run completes, or for a long-running task when its first run begins. The leader takes the recorded
//! times with [`Scheduler::passed_stages`].

use super::job::Task;
use super::model::{JobId, JobPhase, Step, TaskRef};
use super::scheduler::Scheduler;
use crate::clock::{US_PER_MS, US_PER_S};

/// Times kept until the leader takes them, which it does after each event. Further ones are not counted.
const MAX_PASSED: usize = 8_192;
const REPORT_INTERVAL_US: u64 = US_PER_S;

/// A stage, named after the event that ends it. The first and the last belong to jobs, the others to tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// From the acceptance by a daemon until the leader has read the stored submission.
    Read,
    /// From when the task could start until it was placed.
    Placed,
    /// Until the run was committed to the store.
    Committed,
    /// Until the start order was sent.
    Ordered,
    /// Until the worker had accepted the order or listed the run.
    Begun,
    /// Until the end of the run was noticed.
    Ended,
    /// From the last end of a run until the job's final phase was committed, from where callers learn of it.
    Published,
}

impl Stage {
    pub(crate) const COUNT: usize = 7;
    pub(crate) const ALL: [Stage; Stage::COUNT] =
        [Stage::Read, Stage::Placed, Stage::Committed, Stage::Ordered, Stage::Begun, Stage::Ended, Stage::Published];
    /// Stages of a task.
    const OF_TASK: [Stage; 5] = [Stage::Placed, Stage::Committed, Stage::Ordered, Stage::Begun, Stage::Ended];

    /// Label value in metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Stage::Read => "read",
            Stage::Placed => "placed",
            Stage::Committed => "committed",
            Stage::Ordered => "ordered",
            Stage::Begun => "begun",
            Stage::Ended => "ended",
            Stage::Published => "published",
        }
    }
}

/// Stages that the latest run of a task has passed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct TaskStages {
    /// When the latest of these stages ended; 0 if the run was not placed by this leader.
    since_us: u64,
    /// Duration of each stage of [`Stage::OF_TASK`], at most 71 minutes.
    elapsed_us: [u32; Stage::OF_TASK.len()],
    is_recorded: bool,
}

impl TaskStages {
    /// Begins anew with a run that has been placed.
    pub(super) fn place(&mut self, ready_us: u64, now_us: u64) {
        *self = TaskStages { since_us: ready_us, is_recorded: self.is_recorded, ..TaskStages::default() };
        self.pass(Stage::Placed, now_us);
    }

    /// Ends a stage. A stage without an event of its own, such as the beginning of a run that got no answer, counts
    /// towards the next one.
    pub(super) fn pass(&mut self, stage: Stage, now_us: u64) {
        if self.since_us == 0 {
            return;
        }
        if let Some(index) = Stage::OF_TASK.iter().position(|known| *known == stage) {
            self.elapsed_us[index] = u32::try_from(now_us.saturating_sub(self.since_us)).unwrap_or(u32::MAX);
        }
        self.since_us = now_us;
    }

    fn total_us(&self) -> u64 {
        self.elapsed_us.iter().map(|elapsed_us| u64::from(*elapsed_us)).sum()
    }
}

/// The task that took the longest beyond its estimated run time since the last report.
#[derive(Debug)]
struct SlowestTask {
    task: TaskRef,
    run: u32,
    estimate_ms: u64,
    stages: TaskStages,
    beyond_estimate_us: u64,
}

/// Durations of stages that the leader has not taken yet, and the slowest task since the last report.
#[derive(Debug, Default)]
pub(crate) struct StageLog {
    passed: Vec<(Stage, u64)>,
    slowest: Option<SlowestTask>,
    next_report_us: u64,
}

impl StageLog {
    pub(super) fn record(&mut self, stage: Stage, elapsed_us: u64) {
        if self.passed.len() < MAX_PASSED {
            self.passed.push((stage, elapsed_us));
        }
    }

    /// Records the stages of a task, unless that has been done or its run was placed by another leader.
    pub(super) fn record_task(&mut self, task_ref: &TaskRef, step: &Step, task: &mut Task) {
        if task.stages.is_recorded || task.stages.since_us == 0 {
            return;
        }
        task.stages.is_recorded = true;
        for (stage, elapsed_us) in Stage::OF_TASK.into_iter().zip(task.stages.elapsed_us) {
            if stage != Stage::Ended || !step.long_running {
                self.record(stage, u64::from(elapsed_us));
            }
        }
        let beyond_estimate_us = match step.long_running {
            true => task.stages.total_us(),
            false => task.stages.total_us().saturating_sub(step.estimate_ms * US_PER_MS),
        };
        if self.slowest.as_ref().is_none_or(|known| beyond_estimate_us > known.beyond_estimate_us) {
            self.slowest = Some(SlowestTask {
                task: task_ref.clone(),
                run: task.run,
                estimate_ms: step.estimate_ms,
                stages: task.stages,
                beyond_estimate_us,
            });
        }
    }

    #[cfg(test)]
    pub(super) fn slowest_task(&self) -> Option<&TaskRef> {
        self.slowest.as_ref().map(|slowest| &slowest.task)
    }

    /// Logs the slowest task since the last report, at most once per [`REPORT_INTERVAL_US`].
    pub(super) fn report_slowest(&mut self, now_us: u64) {
        if now_us < self.next_report_us {
            return;
        }
        let Some(slowest) = self.slowest.take() else { return };
        self.next_report_us = now_us + REPORT_INTERVAL_US;
        let [placed, committed, ordered, begun, ended] =
            slowest.stages.elapsed_us.map(|elapsed_us| u64::from(elapsed_us) / US_PER_MS);
        log::info!(
            "job={} task={}.{}.{} run={} placed_ms={placed} committed_ms={committed} ordered_ms={ordered} \
             begun_ms={begun} ended_ms={ended} estimate_ms={} outcome=slowest_stage",
            slowest.task.job,
            slowest.task.occurrence,
            slowest.task.step,
            slowest.task.index,
            slowest.run,
            slowest.estimate_ms
        );
    }
}

impl Scheduler {
    /// Takes the durations of the stages that jobs and tasks have passed since the last call, in microseconds.
    pub(crate) fn passed_stages(&mut self) -> impl Iterator<Item = (Stage, u64)> + '_ {
        self.stage_log.passed.drain(..)
    }

    /// Records that a task's latest run is in progress.
    pub(super) fn run_begun(&mut self, now_us: u64, task_ref: &TaskRef) {
        let Some(job) = self.jobs.get_mut(&task_ref.job) else { return };
        let spec = job.spec.clone();
        let Some(task) = job.task_mut(task_ref) else { return };
        task.stages.pass(Stage::Begun, now_us);
        let step = &spec.steps[task_ref.step as usize];
        if step.long_running {
            self.stage_log.record_task(task_ref, step, task);
        }
    }

    /// Records that a job's phase is committed. A cancelled job's end does not follow from the end of a run.
    pub(super) fn phase_published(&mut self, now_us: u64, id: &JobId, phase: JobPhase) {
        let Some(job) = self.jobs.get(id) else { return };
        if matches!(phase, JobPhase::Completed | JobPhase::Failed) && job.last_end_us > 0 {
            self.stage_log.record(Stage::Published, now_us.saturating_sub(job.last_end_us));
        }
    }
}
