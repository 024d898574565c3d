//! Explains why a job's tasks wait.

use std::fmt;
use std::sync::Arc;

use foldhash::HashMap;

use super::job::{DeadlineForecast, Job, ShareClass, TaskState};
use super::model::{Step, TaskRef};
use super::scheduler::Scheduler;
use super::worker::Worker;

/// Maximum number of long-running jobs of a pool that one report explains.
const MAX_LOGGED_LONG_RUNNING: usize = 4;

/// For one waiting task: how many workers of its pool cannot run it, each counted under the first cause that applies.
/// [`fmt::Display`] writes the counts under the names that operators know from the log.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(crate) struct WaitCauses {
    pub(crate) workers: u32,
    /// On a host that is about to be taken away.
    pub(crate) cordoned: u32,
    /// Not in the registry, not answering, draining or blocked.
    pub(crate) not_usable: u32,
    pub(crate) without_label: u32,
    /// Already run as many tasks of the step as [`Step::max_per_worker`] allows.
    pub(crate) at_step_limit: u32,
    pub(crate) without_capacity: u32,
    /// What holds the task by its organisation; `None` if it has none.
    pub(crate) organisation: Option<OrganisationCauses>,
}

/// Whether the quota or the share of its organisation holds a waiting task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct OrganisationCauses {
    pub(crate) is_quota_exhausted: bool,
    pub(crate) share: ShareCause,
}

/// Where a waiting job stands among those of other organisations.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ShareCause {
    /// Its organisation holds no more than its fair share.
    None,
    /// Jobs of organisations that hold less for their weight come first.
    AboveShare,
    /// All jobs within the rate of their organisation come first.
    BeyondRate,
}

impl fmt::Display for OrganisationCauses {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let quota = if self.is_quota_exhausted { "exhausted" } else { "free" };
        let share = match self.share {
            ShareCause::None => "within",
            ShareCause::AboveShare => "above_share",
            ShareCause::BeyondRate => "beyond_rate",
        };
        write!(f, "quota={quota} share={share}")
    }
}

impl fmt::Display for WaitCauses {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "workers={} cordoned={} not_usable={} without_label={} enough_of_step={} without_room={}",
            self.workers, self.cordoned, self.not_usable, self.without_label, self.at_step_limit, self.without_capacity
        )?;
        match &self.organisation {
            Some(causes) => write!(f, " {causes}"),
            None => Ok(()),
        }
    }
}

impl Scheduler {
    /// Logs why the most urgent waiting jobs of a pool wait: the long-running ones, otherwise one.
    pub(super) fn log_wait_causes(&self, now_us: u64, pool: &str) {
        let mut waiting: Vec<(DeadlineForecast, &Job)> = Vec::new();
        for id in self.ready_jobs.iter() {
            let Some(job) = self.jobs.get(id) else { continue };
            if &*job.queue.pool != pool {
                continue;
            }
            waiting.push((job.deadline_forecast(now_us), job));
        }
        waiting.sort_by_key(|(forecast, _)| *forecast);
        let long_running = waiting.iter().filter(|(forecast, _)| *forecast == DeadlineForecast::LongRunning).count();
        for (_, job) in waiting.iter().take(MAX_LOGGED_LONG_RUNNING.min(long_running).max(1)) {
            self.log_wait_cause(now_us, pool, job);
        }
    }

    fn log_wait_cause(&self, now_us: u64, pool: &str, job: &Job) {
        let Some((task_ref, waiting)) = first_waiting(job) else { return };
        let step = &job.spec.steps[task_ref.step as usize];
        let causes = self.wait_causes(now_us, pool, &task_ref, step);
        log::info!(
            "job={} step={}.{} gang={} label={} waiting={waiting} {causes} outcome=waiting",
            job.id,
            task_ref.occurrence,
            task_ref.step,
            step.gang,
            step.required_label.as_deref().unwrap_or("none")
        );
    }

    /// What holds a waiting task by its organisation.
    fn organisation_causes(&self, pool: &str, task_ref: &TaskRef, step: &Step) -> Option<OrganisationCauses> {
        let job = self.jobs.get(&task_ref.job)?;
        let name = job.spec.organisation.as_ref()?;
        let is_quota_exhausted = self.organisation_of(job).is_some_and(|organisation| {
            !self.usage.of(name).has_headroom(&organisation.cap, &step.needs, step.started_together())
        });
        let in_pool = self.ready_jobs.iter().filter_map(|id| self.jobs.get(id));
        let in_pool = in_pool.filter(|job| &*job.queue.pool == pool);
        let level = self.fair_level(in_pool.map(|job| (job.share_class, job.spec.organisation.as_ref())));
        let share = match job.share_class {
            ShareClass::BeyondRate => ShareCause::BeyondRate,
            ShareClass::WithinRate if job.is_long_running() => ShareCause::None,
            ShareClass::WithinRate if self.weighted_share(name) > level => ShareCause::AboveShare,
            ShareClass::WithinRate => ShareCause::None,
        };
        Some(OrganisationCauses { is_quota_exhausted, share })
    }

    /// Counts what keeps a task off each worker of its pool.
    pub(crate) fn wait_causes(&self, now_us: u64, pool: &str, task_ref: &TaskRef, step: &Step) -> WaitCauses {
        let siblings = self.siblings_per_worker(task_ref, step);
        let mut causes =
            WaitCauses { organisation: self.organisation_causes(pool, task_ref, step), ..WaitCauses::default() };
        for worker in self.workers.values() {
            if &*worker.entry.pool != pool {
                continue;
            }
            causes.workers += 1;
            if worker.is_cordoned {
                causes.cordoned += 1;
            } else if !worker.accepts_new_tasks(now_us) {
                causes.not_usable += 1;
            } else if !has_label(worker, step) {
                causes.without_label += 1;
            } else if is_at_step_limit(worker, step, &siblings) {
                causes.at_step_limit += 1;
            } else if !step.reserved().fits_in(&worker.free_capacity()) {
                causes.without_capacity += 1;
            }
        }
        causes
    }
}

fn has_label(worker: &Worker, step: &Step) -> bool {
    step.required_label.as_ref().is_none_or(|label| worker.entry.labels.contains(label))
}

fn is_at_step_limit(worker: &Worker, step: &Step, siblings: &HashMap<Arc<str>, u32>) -> bool {
    let here = siblings.get(&worker.entry.id).copied().unwrap_or(0);
    step.max_per_worker.is_some_and(|limit| here >= limit)
}

/// The first task that could start, and how many tasks of its step wait.
pub(super) fn first_waiting(job: &Job) -> Option<(TaskRef, usize)> {
    for (number, occurrence) in &job.occurrences {
        for (step, state) in occurrence.steps.iter().enumerate() {
            if !job.is_step_unblocked(*number, step) {
                continue;
            }
            let mut waits = state.tasks.iter().enumerate().filter(|(_, task)| task.state == TaskState::Waiting);
            let Some((first, _)) = waits.next() else { continue };
            return Some((job.task_ref(*number, step, first), waits.count() + 1));
        }
    }
    None
}
