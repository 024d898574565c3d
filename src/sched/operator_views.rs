//! Views of the scheduler's state for operators.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::demand::waiting_cpu_milli;
use super::explain::{first_waiting, ShareCause, WaitCauses};
use super::job::{Job, ShareClass, StepState, TaskState};
use super::model::{JobPhase, Queue, Resources, Step};
use super::scheduler::Scheduler;
use super::worker::Worker;
use crate::clock::US_PER_MS;
use crate::operator_view::{
    JobView, Listing, OrganisationView, QuotaView, ResourcesView, ShareClassView, StepView, WaitView, WorkerPoolView,
    WorkerState, WorkerView, MAX_ENTRIES,
};

impl Scheduler {
    /// Explains a job; `None` if it is not known.
    pub(crate) fn job_view(&self, now_us: u64, id: &str) -> Option<JobView> {
        let job = self.jobs.get(id)?;
        Some(JobView {
            id: job.id.clone(),
            phase: phase_name(job.phase).to_owned(),
            queue: job.spec.queue.name.clone(),
            pool: job.queue.pool.clone(),
            organisation: job.spec.organisation.clone(),
            share_class: share_class_view(job.share_class),
            deadline_in_ms: (job.deadline_us as i64 - now_us as i64) / US_PER_MS as i64,
            steps: step_views(job),
            waiting: self.wait_view(now_us, job),
        })
    }

    fn wait_view(&self, now_us: u64, job: &Job) -> Option<WaitView> {
        if job.phase.is_final() {
            return None;
        }
        let (task_ref, waiting) = first_waiting(job)?;
        let step = &job.spec.steps[task_ref.step as usize];
        let pool = job.queue.pool.clone();
        let causes = self.wait_causes(now_us, &pool, &task_ref, step);
        Some(WaitView {
            occurrence: task_ref.occurrence,
            step: task_ref.step,
            task: task_ref.index,
            waiting,
            workers: causes.workers,
            cordoned: causes.cordoned,
            not_usable: causes.not_usable,
            without_label: causes.without_label,
            at_step_limit: causes.at_step_limit,
            without_capacity: causes.without_capacity,
            beyond_quota: causes.organisation.is_some_and(|causes| causes.is_quota_exhausted),
            above_share: causes.organisation.is_some_and(|causes| causes.share == ShareCause::AboveShare),
            explanation: explanation(&job.queue, job, step, &causes),
        })
    }

    /// What each organisation has running. Contains only organisations with runs.
    pub(crate) fn running_by_organisation(&self) -> BTreeMap<Arc<str>, Resources> {
        self.usage.iter().map(|(name, usage)| (name.clone(), usage.resources)).collect()
    }

    /// Lists the configured organisations, and those that are no longer configured but have jobs.
    pub(crate) fn organisation_views(&self) -> Listing<OrganisationView> {
        let mut views: BTreeMap<Arc<str>, OrganisationView> = BTreeMap::new();
        for organisation in self.catalog.organisations.iter() {
            let mut view = organisation_view(&organisation.name);
            view.weight = Some(organisation.weight);
            view.quota = quota_view(&organisation.cap);
            views.insert(organisation.name.clone(), view);
        }
        for job in self.jobs.values() {
            let Some(name) = job.spec.organisation.as_ref().filter(|_| !job.phase.is_final()) else { continue };
            let view = views.entry(name.clone()).or_insert_with(|| organisation_view(name));
            view.jobs_waiting += u64::from(job.phase == JobPhase::Queued);
            view.jobs_running += u64::from(job.phase == JobPhase::Running);
            view.jobs_within_rate += u64::from(job.share_class == ShareClass::WithinRate);
            view.jobs_beyond_rate += u64::from(job.share_class == ShareClass::BeyondRate);
        }
        for (name, running) in self.running_by_organisation() {
            let view = views.entry(name.clone()).or_insert_with(|| organisation_view(&name));
            view.running = resources_view(&running);
        }
        for (name, counts) in &self.organisation_counts {
            let Some(view) = views.get_mut(name) else { continue };
            view.completed = counts.completed;
            view.late = counts.late;
        }
        Listing::of(views.into_values())
    }

    /// Lists the configured pools.
    pub(crate) fn pool_views(&self, now_us: u64) -> Listing<WorkerPoolView> {
        let mut views: BTreeMap<Arc<str>, WorkerPoolView> = BTreeMap::new();
        for pool in &self.catalog.pools {
            let (name, spare) = (pool.name.clone(), pool.spare);
            let (workers, usable_workers, capacity_milli, reserved_milli, demand_milli) = (0, 0, 0, 0, 0);
            let view =
                WorkerPoolView { name, spare, workers, usable_workers, capacity_milli, reserved_milli, demand_milli };
            views.insert(pool.name.clone(), view);
        }
        for worker in self.workers.values() {
            let Some(view) = views.get_mut(&worker.entry.pool) else { continue };
            view.workers += u32::from(worker.is_listed);
            view.usable_workers += u32::from(worker.accepts_new_tasks(now_us));
            view.capacity_milli += if worker.is_usable() { worker.entry.capacity.cpu_milli } else { 0 };
            view.reserved_milli += worker.reserved.cpu_milli;
            view.demand_milli += worker.reserved.cpu_milli;
        }
        let mut quotas = self.quota_budget();
        for job in self.ready_jobs_on_time_first() {
            let Some(view) = views.get_mut(&job.queue.pool) else { continue };
            view.demand_milli += waiting_cpu_milli(job, &mut quotas);
        }
        Listing::of(views.into_values())
    }

    /// Lists the workers, or those of one pool.
    pub(crate) fn worker_views(&self, now_us: u64, pool: Option<&str>) -> Listing<WorkerView> {
        let selected = self.workers.values().filter(|worker| pool.is_none_or(|pool| *worker.entry.pool == *pool));
        Listing::of(selected.map(|worker| WorkerView {
            id: worker.entry.id.clone(),
            pool: worker.entry.pool.clone(),
            zone: worker.entry.zone.clone(),
            state: worker_state(now_us, worker),
            tasks: worker.tasks.len(),
            failure_average: worker.failure_average(),
        }))
    }
}

fn step_views(job: &Job) -> Listing<StepView> {
    let mut workers_left = MAX_ENTRIES;
    let mut steps = Vec::new();
    let mut left_out = 0;
    for (number, occurrence) in &job.occurrences {
        for (index, state) in occurrence.steps.iter().enumerate() {
            if steps.len() == MAX_ENTRIES {
                left_out += 1;
                continue;
            }
            let blocked = !job.is_step_unblocked(*number, index);
            steps.push(step_view(*number, index as u32, blocked, state, &mut workers_left));
        }
    }
    Listing { entries: steps, left_out }
}

fn step_view(occurrence: u32, step: u32, blocked: bool, state: &StepState, workers_left: &mut usize) -> StepView {
    let (mut waiting, mut placed, mut failures) = (0, 0, 0);
    let mut workers: Vec<Arc<str>> = Vec::new();
    for task in &state.tasks {
        failures += u64::from(task.failures);
        match &task.state {
            TaskState::Waiting => waiting += 1,
            TaskState::Placed { worker, .. } => {
                placed += 1;
                workers.push(worker.id.clone());
            }
            TaskState::Done => {}
        }
    }
    workers.sort();
    workers.dedup();
    let workers = Listing::within(workers_left, workers);
    StepView { occurrence, step, blocked, waiting, placed, done: state.done_count as usize, failures, workers }
}

fn organisation_view(name: &Arc<str>) -> OrganisationView {
    OrganisationView {
        name: name.clone(),
        weight: None,
        quota: None,
        running: ResourcesView::default(),
        jobs_waiting: 0,
        jobs_running: 0,
        jobs_within_rate: 0,
        jobs_beyond_rate: 0,
        completed: 0,
        late: 0,
    }
}

fn resources_view(resources: &Resources) -> ResourcesView {
    ResourcesView { cpu_milli: resources.cpu_milli, mem_mb: resources.mem_mb, gpus: resources.gpus }
}

fn quota_view(cap: &Resources) -> Option<QuotaView> {
    let limit = |value: u64| (value != u64::MAX).then_some(value);
    let quota = QuotaView { cpu_milli: limit(cap.cpu_milli), mem_mb: limit(cap.mem_mb), gpus: limit(cap.gpus) };
    (quota != QuotaView::default()).then_some(quota)
}

fn share_class_view(class: ShareClass) -> ShareClassView {
    match class {
        ShareClass::WithinRate => ShareClassView::WithinRate,
        ShareClass::BeyondRate => ShareClassView::BeyondRate,
    }
}

fn phase_name(phase: JobPhase) -> &'static str {
    match phase {
        JobPhase::Queued => "queued",
        JobPhase::Running => "running",
        JobPhase::Completed => "completed",
        JobPhase::Failed => "failed",
        JobPhase::Cancelled => "cancelled",
    }
}

fn worker_state(now_us: u64, worker: &Worker) -> WorkerState {
    if !worker.is_listed {
        WorkerState::Unlisted
    } else if worker.is_silent {
        WorkerState::Silent
    } else if !worker.is_synced {
        WorkerState::Unknown
    } else if worker.entry.draining {
        WorkerState::Draining
    } else if worker.is_cordoned {
        WorkerState::Cordoned
    } else if !worker.accepts_new_tasks(now_us) {
        WorkerState::Blocked
    } else {
        WorkerState::Usable
    }
}

fn explanation(queue: &Queue, job: &Job, step: &Step, causes: &WaitCauses) -> String {
    let mut reasons = organisation_reasons(job, causes);
    if step.gang {
        reasons.push(format!("the {} tasks of the gang must start at the same time", step.count));
    }
    if queue.advice.is_some() {
        reasons.push("the advice service decides which workers may run the task".to_owned());
    }
    let pool = &queue.pool;
    if causes.workers == 0 {
        reasons.push(format!("pool {pool} has no workers"));
        return reasons.join("; ");
    }
    let label = step.required_label.as_deref().unwrap_or("none");
    let counts = [
        (causes.cordoned, "on a host that is about to be moved or maintained".to_owned()),
        (causes.not_usable, "not registered, not answering, draining or blocked".to_owned()),
        (causes.without_label, format!("without the label {label}")),
        (causes.at_step_limit, "already running as many tasks of the step as it allows".to_owned()),
        (causes.without_capacity, "without enough free capacity".to_owned()),
    ];
    let blocked: u32 = counts.iter().map(|(count, _)| count).sum();
    let mut parts: Vec<String> =
        counts.iter().filter(|(count, _)| *count > 0).map(|(count, reason)| format!("{count} {reason}")).collect();
    if blocked < causes.workers {
        parts.push(format!("{} with room for the task", causes.workers - blocked));
    }
    reasons.push(format!("workers in pool {pool}: {}, of which {}", causes.workers, parts.join(", ")));
    reasons.join("; ")
}

/// Reasons for which the job's organisation gets no more room.
fn organisation_reasons(job: &Job, causes: &WaitCauses) -> Vec<String> {
    let (Some(name), Some(causes)) = (&job.spec.organisation, causes.organisation) else { return Vec::new() };
    let mut reasons = Vec::new();
    if causes.is_quota_exhausted {
        reasons.push(format!("the task would exceed the quota of organisation {name}"));
    }
    match causes.share {
        ShareCause::None => {}
        ShareCause::AboveShare => {
            reasons.push(format!("organisation {name} holds more than its share, so others come first"));
        }
        ShareCause::BeyondRate => {
            reasons.push("the job is beyond its organisation's rate, so jobs within their rates come first".to_owned());
        }
    }
    reasons
}
