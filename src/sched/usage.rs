//! What the runs of each organisation hold, over all pools, and whether quotas let tasks start.
//!
//! A run counts from its placement until its task is released, whatever its phase: so unanswered orders, runs that are
//! being stopped, and runs of lost workers count until they have certainly ended. Runs that a worker lists but should
//! not have count until the worker no longer lists them or its leases have ended.

use std::sync::Arc;

use foldhash::HashMap;

use super::explain::first_waiting;
use super::job::{Job, TaskState};
use super::model::{JobId, Resources, Step, TaskRef};
use super::organisation::{Organisation, Organisations};
use super::scheduler::Scheduler;
use crate::clock::US_PER_MS;

/// Minimum time between two log lines about the quota of one organisation.
const LOG_INTERVAL_MS: u64 = 1_000;

/// What the runs of one organisation hold.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct RunningUsage {
    pub(super) resources: Resources,
    pub(super) run_count: u32,
}

impl RunningUsage {
    fn add(&mut self, needs: &Resources) {
        self.resources.add(needs);
        self.run_count += 1;
    }

    /// Whether a quota lets `count` further tasks with these needs start together. One task may start if nothing runs,
    /// since it would otherwise wait for ever.
    pub(super) fn has_headroom(&self, cap: &Resources, needs: &Resources, count: u32) -> bool {
        if self.run_count == 0 && count == 1 {
            return true;
        }
        let mut total = needs.times(count);
        total.add(&self.resources);
        total.fits_in(cap)
    }

    /// Number of further tasks with these needs that a quota lets start, one after the other.
    fn headroom_for(&self, cap: &Resources, needs: &Resources) -> u32 {
        if !self.has_headroom(cap, needs, 1) {
            return 0;
        }
        cap.minus(&self.resources).count_of(needs).max(1)
    }
}

/// Running usage of each organisation. Each change costs the same, whatever the number of organisations and runs.
#[derive(Debug, Default)]
pub(super) struct Usage {
    /// Only organisations with runs.
    by_organisation: HashMap<Arc<str>, RunningUsage>,
    /// Runs that workers list but should not have, by worker, with their organisations and needs. They are included in
    /// `by_organisation`.
    untracked: HashMap<Arc<str>, Vec<(Arc<str>, Resources)>>,
    /// When the next log line about the quota of an organisation may be written.
    next_log_us: HashMap<Arc<str>, u64>,
}

impl Usage {
    pub(super) fn of(&self, organisation: &str) -> RunningUsage {
        self.by_organisation.get(organisation).copied().unwrap_or_default()
    }

    /// All organisations with runs, in no particular order.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &RunningUsage)> {
        self.by_organisation.iter()
    }

    pub(super) fn add(&mut self, organisation: &Arc<str>, needs: &Resources) {
        self.by_organisation.entry(organisation.clone()).or_default().add(needs);
    }

    pub(super) fn remove(&mut self, organisation: &str, needs: &Resources) {
        let Some(usage) = self.by_organisation.get_mut(organisation) else { return };
        usage.resources = usage.resources.minus(needs);
        usage.run_count -= 1;
        if usage.run_count == 0 {
            self.by_organisation.remove(organisation);
        }
    }

    pub(super) fn has_untracked(&self, worker: &str) -> bool {
        self.untracked.contains_key(worker)
    }

    /// Replaces the untracked runs of a worker. Returns whether any were known before, so that usage may have fallen.
    pub(super) fn set_untracked(&mut self, worker: &Arc<str>, runs: Vec<(Arc<str>, Resources)>) -> bool {
        for (organisation, needs) in &runs {
            self.add(organisation, needs);
        }
        let former = match runs.is_empty() {
            true => self.untracked.remove(worker),
            false => self.untracked.insert(worker.clone(), runs),
        };
        for (organisation, needs) in former.iter().flatten() {
            self.remove(organisation, needs);
        }
        former.is_some()
    }

    /// Untracked runs of all workers, for a recount.
    #[cfg(any(test, feature = "lab"))]
    pub(super) fn untracked_runs(&self) -> impl Iterator<Item = &(Arc<str>, Resources)> {
        self.untracked.values().flatten()
    }

    /// Workers with untracked runs.
    fn workers_with_untracked(&self) -> impl Iterator<Item = &Arc<str>> {
        self.untracked.keys()
    }

    pub(super) fn retain_log_times(&mut self, organisations: &Organisations) {
        self.next_log_us.retain(|name, _| organisations.get(name).is_some());
    }

    /// Whether a line about an organisation's quota may be written now; if so, the next one is due later.
    pub(super) fn takes_log_line(&mut self, now_us: u64, organisation: &Arc<str>) -> bool {
        if self.next_log_us.get(organisation).is_some_and(|next_us| now_us < *next_us) {
            return false;
        }
        self.next_log_us.insert(organisation.clone(), now_us + LOG_INTERVAL_MS * US_PER_MS);
        true
    }
}

/// Counts how many waiting tasks quotas would let start, if they were started in the order in which they are counted.
#[derive(Debug)]
pub(super) struct QuotaBudget<'a> {
    usage: &'a Usage,
    organisations: &'a Organisations,
    /// Usage of each organisation once the tasks counted so far have started.
    expected: HashMap<Arc<str>, RunningUsage>,
}

impl QuotaBudget<'_> {
    /// Number of a step's `waiting` tasks that may start.
    pub(super) fn take(&mut self, organisation: Option<&Arc<str>>, step: &Step, waiting: u32) -> u32 {
        let Some(organisation) = organisation.and_then(|name| self.organisations.get(name)) else { return waiting };
        let name = &organisation.name;
        let expected = self.expected.entry(name.clone()).or_insert_with(|| self.usage.of(name));
        let count = match step.gang {
            true if expected.has_headroom(&organisation.cap, &step.needs, waiting) => waiting,
            true => 0,
            false => waiting.min(expected.headroom_for(&organisation.cap, &step.needs)),
        };
        expected.resources.add(&step.needs.times(count));
        expected.run_count = expected.run_count.saturating_add(count);
        count
    }
}

/// Jobs that their quotas keep out of a placement round.
#[derive(Debug, Default)]
pub(super) struct BlockedJobs {
    pub(super) count: usize,
    /// One job of each organisation.
    examples: HashMap<Arc<str>, JobId>,
}

impl BlockedJobs {
    pub(super) fn record(&mut self, organisation: &Arc<str>, id: &JobId) {
        self.count += 1;
        if !self.examples.contains_key(organisation) {
            self.examples.insert(organisation.clone(), id.clone());
        }
    }
}

impl Scheduler {
    /// The organisation of a job, if its quota lets no task of any of the job's steps start.
    pub(super) fn organisation_that_blocks(&self, job: &Job) -> Option<&Arc<Organisation>> {
        let organisation = self.organisation_of(job)?;
        let usage = self.usage.of(&organisation.name);
        let may_start = |step: &Step| usage.has_headroom(&organisation.cap, &step.needs, step.started_together());
        (!job.spec.steps.iter().any(may_start)).then_some(organisation)
    }

    /// Logs which quotas keep jobs out of a placement round.
    pub(super) fn log_blocked(&mut self, now_us: u64, blocked: &BlockedJobs) {
        for id in blocked.examples.values() {
            let Some(job) = self.jobs.get(id) else { continue };
            let Some((task_ref, _)) = first_waiting(job) else { continue };
            let (spec, organisation) = (job.spec.clone(), self.organisation_of(job).cloned());
            let step = &spec.steps[task_ref.step as usize];
            // Called for its log line only.
            self.may_start_within_quota(now_us, organisation.as_ref(), &task_ref, step);
        }
    }

    /// Starts to count waiting tasks that quotas would let start.
    pub(super) fn quota_budget(&self) -> QuotaBudget<'_> {
        QuotaBudget { usage: &self.usage, organisations: &self.catalog.organisations, expected: HashMap::default() }
    }

    /// The organisation of a job, if it is still configured. Otherwise the job has no quota.
    pub(super) fn organisation_of(&self, job: &Job) -> Option<&Arc<Organisation>> {
        self.catalog.organisations.get(job.spec.organisation.as_ref()?)
    }

    /// Whether the quota lets no task of a new job start now.
    pub(super) fn is_quota_exhausted(&self, job: &Job) -> bool {
        let Some(organisation) = self.organisation_of(job) else { return false };
        let Some(first) = job.spec.steps.first() else { return false };
        !self.usage.of(&organisation.name).has_headroom(&organisation.cap, &first.needs, first.started_together())
    }

    /// Counts a run of a task that is placed.
    pub(super) fn count_placed(&mut self, task_ref: &TaskRef) {
        let Some(spec) = self.jobs.get(&task_ref.job).map(|job| &job.spec) else { return };
        if let Some(organisation) = &spec.organisation {
            self.usage.add(organisation, &spec.steps[task_ref.step as usize].needs);
        }
    }

    /// Counts a run of a task that is released.
    pub(super) fn count_released(&mut self, task_ref: &TaskRef) {
        let Some(spec) = self.jobs.get(&task_ref.job).map(|job| &job.spec) else { return };
        if let Some(organisation) = &spec.organisation {
            self.usage.remove(organisation, &spec.steps[task_ref.step as usize].needs);
        }
    }

    /// Organisation and needs of a run that a worker should not have, if its job is known and belongs to one.
    pub(super) fn untracked_usage(&self, task_ref: &TaskRef) -> Option<(Arc<str>, Resources)> {
        let spec = &self.jobs.get(&task_ref.job)?.spec;
        Some((spec.organisation.clone()?, spec.steps.get(task_ref.step as usize)?.needs))
    }

    /// Replaces the untracked runs of a worker.
    pub(super) fn set_untracked_usage(&mut self, worker: &Arc<str>, runs: Vec<(Arc<str>, Resources)>) {
        if self.usage.set_untracked(worker, runs) {
            self.wants_placement = true;
        }
    }

    /// Stops counting the untracked runs of workers whose leases have certainly ended.
    pub(super) fn expire_untracked_usage(&mut self, now_us: u64) {
        let mut expired = Vec::new();
        for id in self.usage.workers_with_untracked() {
            if self.has_no_lease(now_us, id) {
                expired.push(id.clone());
            }
        }
        for id in expired {
            self.set_untracked_usage(&id, Vec::new());
        }
    }

    /// Whether the quota of a job's organisation lets a task of a step start, or all tasks if the step is a gang. Logs a
    /// line if it does not, but not more than one in a while.
    pub(super) fn may_start_within_quota(
        &mut self,
        now_us: u64,
        organisation: Option<&Arc<Organisation>>,
        task_ref: &TaskRef,
        step: &Step,
    ) -> bool {
        let Some(Organisation { name, cap, .. }) = organisation.map(|organisation| &**organisation) else {
            return true;
        };
        let usage = self.usage.of(name);
        if usage.has_headroom(cap, &step.needs, step.started_together()) {
            return true;
        }
        if self.has_waiting_task(task_ref) && self.usage.takes_log_line(now_us, name) {
            log::info!(
                "organisation={name} job={} step={}.{} runs={} usage={} needs={} cap={cap} outcome=quota_blocks",
                task_ref.job,
                task_ref.occurrence,
                task_ref.step,
                usage.run_count,
                usage.resources,
                step.needs.times(step.started_together())
            );
        }
        false
    }

    /// Whether a task of the same step and occurrence waits.
    fn has_waiting_task(&self, task_ref: &TaskRef) -> bool {
        let Some(job) = self.jobs.get(&task_ref.job) else { return false };
        let Some(occurrence) = job.occurrences.get(&task_ref.occurrence) else { return false };
        occurrence.steps[task_ref.step as usize].tasks.iter().any(|task| task.state == TaskState::Waiting)
    }
}
