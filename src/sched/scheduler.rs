//! The leader's view of jobs, workers and hosts, and the methods that feed events into it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use foldhash::{HashMap, HashSet};

use super::action::Action;
use super::admission_load::AdmissionReports;
use super::copies::CopyCounts;
use super::dirty_jobs::DirtyJobs;
use super::forecast::DemandForecast;
use super::host_moves::HostMoves;
use super::host_orders::HostOrders;
use super::job::{Job, ShareClass, Task};
use super::late_starts::LateStarts;
use super::model::{Catalog, HostRecord, JobId, JobPhase, JobSpec, Queue, ReportedPhase, Resources, Step, TaskRef};
use super::organisation_counts::OrganisationCounts;
use super::placement_round::CompleteRounds;
use super::policies::Policies;
use super::ready_jobs::ReadyJobs;
use super::record::{restore_job, RecordError};
use super::refused_batches::BatchLimit;
use super::run_end::ReleaseCounts;
use super::run_stops::StopCounts;
use super::run_times::RunTimes;
use super::share::ArrivalRates;
use super::stages::{Stage, StageLog};
use super::start_orders::WithdrawnCounts;
use super::start_rate::StartRate;
use super::usage::Usage;
use super::waves::Waves;
use super::work_counts::WorkCounts;
use super::worker::Worker;
use super::worker_loss::LostWorkers;
use crate::clock::US_PER_MS;

/// A leader whose timer is late by this much has too little processor time.
const BEHIND_LAG_MS: u64 = 20;
/// Interval of the periodic work in [`Scheduler::tick`].
const SWEEP_INTERVAL_MS: u64 = 100;

/// Limits and times set by the deployment.
#[derive(Debug, Clone)]
pub(crate) struct SchedSettings {
    /// Longest lease that workers accept.
    pub(crate) max_lease_ms: u64,
    pub(crate) stop_grace_ms: u64,
    /// Time that must pass between the last order of one leader and the first order of another for the same host.
    pub(crate) leader_change_wait_ms: u64,
    /// How long a host is away while it moves to another pool.
    pub(crate) host_move_ms: u64,
    /// How long a host is away for maintenance.
    pub(crate) host_maintenance_ms: u64,
    /// Host orders that the provider accepts per second.
    pub(crate) host_orders_per_s: u32,
    pub(crate) policies: Policies,
}

/// The leader's view of jobs, workers and hosts.
pub(crate) struct Scheduler {
    pub(super) settings: SchedSettings,
    pub(super) catalog: Arc<Catalog>,
    pub(super) jobs: HashMap<JobId, Job>,
    pub(super) workers: BTreeMap<Arc<str>, Worker>,
    pub(super) hosts: BTreeMap<Arc<str>, HostRecord>,
    pub(super) actions: Vec<Action>,
    pub(super) ready_jobs: ReadyJobs,
    /// Jobs whose cancellation arrived before their submission.
    pub(super) cancelled_before_submit: HashSet<JobId>,
    /// Jobs whose records must be stored again.
    pub(super) dirty_jobs: DirtyJobs,
    pub(super) batch_limit: BatchLimit,
    /// Workers with ended runs that are not acknowledged yet.
    pub(super) unacknowledged_workers: BTreeSet<Arc<str>>,
    /// Whether a batch has been taken and is not committed yet.
    pub(super) is_commit_in_flight: bool,
    /// Runs to start once their job's record is committed.
    pub(super) uncommitted_starts: Vec<(TaskRef, u32)>,
    /// Finished jobs ([`Job::is_finished`]) whose submissions are to be removed.
    pub(super) finished_jobs: Vec<ReportedPhase>,
    /// Jobs whose submissions have been removed, so that their records can be removed.
    pub(super) records_to_remove: Vec<JobId>,
    /// Jobs whose submissions have been removed, and the version of the store after the removal. Kept until the changes up
    /// to that version have been read.
    pub(super) removed_jobs: HashMap<JobId, u64>,
    /// When a placement round is due without any other event, for tasks that wait for a time; `u64::MAX` if there are none.
    pub(super) placement_due_us: u64,
    /// What the runs of each organisation hold.
    pub(super) usage: Usage,
    pub(super) arrival_rates: ArrivalRates,
    /// Capacity of all usable workers, if there are organisations that share it.
    pub(super) fleet_capacity: Resources,
    pub(super) forecast: DemandForecast,
    pub(super) run_times: RunTimes,
    pub(super) copy_counts: CopyCounts,
    pub(super) host_moves: HostMoves,
    pub(super) waves: Waves,
    pub(super) host_orders: HostOrders,
    /// Whether a former leader has placed runs.
    pub(super) has_former_leader: bool,
    /// Time of day of the latest tick.
    pub(super) now_unix_ms: u64,
    /// When this leader took over.
    pub(super) leader_since_us: u64,
    /// When the latest confirmed renewal of leadership was sent.
    pub(super) leadership_renewed_us: u64,
    /// Orders that end work rely only on what workers have reported when asked after this time: the takeover, or the
    /// end of the latest gap in the renewals of leadership.
    pub(super) knowledge_since_us: u64,
    /// Restored tasks on workers that were not registered when the tasks were restored, by worker ID.
    pub(super) unattached_tasks: HashMap<Arc<str>, Vec<TaskRef>>,
    pub(super) lost_workers: LostWorkers,
    /// Number of queued jobs of each queue, as last reported.
    pub(super) reported_pending_counts: Vec<(Arc<str>, u64)>,
    /// When these numbers were last compared with the current ones.
    pub(super) pending_counts_checked_us: u64,
    /// Whether the numbers of queued jobs may have changed since then.
    pub(super) is_pending_report_stale: bool,
    pub(super) admission_reports: AdmissionReports,
    /// Recurring jobs that have not reached a final phase.
    pub(super) recurring_jobs: BTreeSet<JobId>,
    next_sweep_us: u64,
    /// Whether late jobs were left out of a placement round because the leader is behind.
    pub(super) has_postponed_jobs: bool,
    pub(super) start_rate: StartRate,
    /// By how much the leader is behind its own timer; falls slowly.
    pub(super) lag_ms: u64,
    /// The least by which a tick was late since the limit on starts was last adjusted.
    least_late_ms: Option<u64>,
    /// When tasks on workers that are no longer known are searched for next.
    pub(super) next_orphan_check_us: u64,
    /// Worker on each host, as last listed by the provider or the registry.
    pub(super) worker_by_host: HashMap<Arc<str>, Arc<str>>,
    /// IDs of the workers in `workers` by the host that they name.
    pub(super) workers_naming_host: HashMap<Arc<str>, BTreeSet<Arc<str>>>,
    pub(super) next_placement_us: u64,
    /// Pools in which tasks found no worker in the latest placement round.
    pub(super) pools_without_room: BTreeSet<Arc<str>>,
    /// Whether something has changed that may let a task start.
    pub(super) wants_placement: bool,
    pub(super) complete_rounds: CompleteRounds,
    pub(super) stage_log: StageLog,
    pub(super) work_counts: WorkCounts,
    pub(super) stop_counts: StopCounts,
    pub(super) withdrawn_counts: WithdrawnCounts,
    /// Number of start orders that were sent again since it was last taken.
    pub(super) start_repeat_count: u64,
    pub(super) late_starts: LateStarts,
    pub(super) release_counts: ReleaseCounts,
    pub(super) organisation_counts: HashMap<Arc<str>, OrganisationCounts>,
}

impl Scheduler {
    pub(crate) fn new(now_us: u64, settings: SchedSettings) -> Scheduler {
        Scheduler {
            usage: Usage::default(),
            arrival_rates: ArrivalRates::default(),
            fleet_capacity: Resources::default(),
            forecast: DemandForecast::new(settings.host_move_ms, settings.policies.arrival_growth),
            run_times: RunTimes::default(),
            copy_counts: CopyCounts::default(),
            host_moves: HostMoves::new(now_us, settings.leader_change_wait_ms),
            waves: Waves::default(),
            host_orders: HostOrders::new(),
            settings,
            catalog: Arc::default(),
            jobs: HashMap::default(),
            workers: BTreeMap::new(),
            hosts: BTreeMap::new(),
            actions: Vec::new(),
            ready_jobs: ReadyJobs::default(),
            cancelled_before_submit: HashSet::default(),
            dirty_jobs: DirtyJobs::default(),
            batch_limit: BatchLimit::MAX,
            unacknowledged_workers: BTreeSet::new(),
            is_commit_in_flight: false,
            uncommitted_starts: Vec::new(),
            finished_jobs: Vec::new(),
            records_to_remove: Vec::new(),
            removed_jobs: HashMap::default(),
            placement_due_us: u64::MAX,
            has_former_leader: false,
            now_unix_ms: 0,
            leader_since_us: now_us,
            leadership_renewed_us: now_us,
            knowledge_since_us: now_us,
            unattached_tasks: HashMap::default(),
            lost_workers: LostWorkers::default(),
            reported_pending_counts: Vec::new(),
            pending_counts_checked_us: 0,
            is_pending_report_stale: false,
            admission_reports: AdmissionReports::default(),
            recurring_jobs: BTreeSet::new(),
            next_sweep_us: 0,
            has_postponed_jobs: false,
            start_rate: StartRate::default(),
            lag_ms: 0,
            least_late_ms: None,
            next_orphan_check_us: 0,
            worker_by_host: HashMap::default(),
            workers_naming_host: HashMap::default(),
            next_placement_us: 0,
            pools_without_room: BTreeSet::new(),
            wants_placement: true,
            complete_rounds: CompleteRounds::default(),
            stage_log: StageLog::default(),
            work_counts: WorkCounts::default(),
            stop_counts: StopCounts::default(),
            withdrawn_counts: WithdrawnCounts::default(),
            start_repeat_count: 0,
            late_starts: LateStarts::default(),
            release_counts: ReleaseCounts::default(),
            organisation_counts: HashMap::default(),
        }
    }

    /// Takes the actions requested since the last call.
    pub(crate) fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Applies a configuration unless it is older than the current one.
    pub(crate) fn configure(&mut self, catalog: Arc<Catalog>) {
        if catalog.version < self.catalog.version {
            return;
        }
        self.retain_organisation_counts(&catalog);
        self.catalog = catalog;
        for job in self.jobs.values_mut() {
            job.queue = configured_queue(&self.catalog, &job.spec);
        }
        self.ready_jobs.reconsider_all();
        self.arrival_rates.retain(&self.catalog.organisations);
        self.usage.retain_log_times(&self.catalog.organisations);
        self.wants_placement = true;
    }

    fn new_job(&self, id: JobId, spec: JobSpec) -> Job {
        let mut job = Job::new(id, Arc::new(spec));
        job.queue = configured_queue(&self.catalog, &job.spec);
        job
    }

    /// The task, if its job is known and the occurrence has begun.
    pub(super) fn task(&self, task_ref: &TaskRef) -> Option<&Task> {
        self.jobs.get(&task_ref.job)?.task(task_ref)
    }

    pub(super) fn step_of(&self, task_ref: &TaskRef) -> Option<&Step> {
        self.jobs.get(&task_ref.job)?.spec.steps.get(task_ref.step as usize)
    }

    /// Restores a former leader's job. Called before any worker answers. A job without a record has not begun and is
    /// treated as just submitted.
    pub(crate) fn restore(
        &mut self,
        now_us: u64,
        now_unix_ms: u64,
        id: JobId,
        spec: JobSpec,
        record: Option<&[u8]>,
    ) -> Result<(), RecordError> {
        if self.jobs.contains_key(&id) {
            return Ok(());
        }
        let Some(record) = record else {
            if !self.has_job(&id) {
                let job = self.new_job(id, spec);
                match job.spec.organisation {
                    Some(_) => self.classify_later(&job),
                    None => self.record_arrival(now_us, now_unix_ms, &job),
                }
                self.add_submitted(now_us, now_unix_ms, job);
            }
            return Ok(());
        };
        let mut job = self.new_job(id.clone(), spec);
        restore_job(&mut job, record)?;
        self.has_former_leader = true;
        self.now_unix_ms = now_unix_ms;
        job.set_begun(now_us);
        self.set_deadline(now_us, now_unix_ms, &mut job);
        if job.is_recurring() && !job.phase.is_final() {
            self.recurring_jobs.insert(id.clone());
        }
        self.is_pending_report_stale = true;
        if job.spec.organisation.is_some() {
            self.classify_later(&job);
        }
        self.jobs.insert(id.clone(), job);
        self.attach_restored(now_us, &id);
        self.try_finish_job(&id);
        Ok(())
    }

    /// Adds an accepted job. Idempotent, also if the job has finished and its submission has been removed lately.
    pub(crate) fn submit(&mut self, now_us: u64, now_unix_ms: u64, id: JobId, spec: JobSpec) {
        if self.has_job(&id) {
            return;
        }
        let mut job = self.new_job(id, spec);
        job.share_class = self.classify_arrival(now_unix_ms, &job);
        if job.share_class == ShareClass::WithinRate {
            self.record_arrival(now_us, now_unix_ms, &job);
        }
        self.add_submitted(now_us, now_unix_ms, job);
    }

    fn add_submitted(&mut self, now_us: u64, now_unix_ms: u64, mut job: Job) {
        let id = job.id.clone();
        self.set_deadline(now_us, now_unix_ms, &mut job);
        if !job.is_recurring() {
            job.begin_occurrence(0);
            job.set_begun(now_us);
        }
        log::info!(
            "job={id} queue={} tasks={} critical_path_ms={} deadline_in_ms={} outcome=known",
            job.spec.queue.name,
            job.spec.steps.iter().map(|step| step.count).sum::<u32>(),
            job.critical_path_ms(),
            job.deadline_us.saturating_sub(now_us) / US_PER_MS
        );
        self.is_pending_report_stale = true;
        let accepted_us = accepted_us(now_us, now_unix_ms, &job);
        self.stage_log.record(Stage::Read, now_us - accepted_us);
        if job.is_recurring() {
            self.recurring_jobs.insert(id.clone());
        }
        self.jobs.insert(id.clone(), job);
        if self.cancelled_before_submit.remove(&id) {
            self.cancel(now_us, &id);
            return;
        }
        self.begin_due_occurrences(now_us, now_unix_ms, &id);
        self.refresh_job(&id);
    }

    /// Adds a new job to the forecast of its pool. Called once its class is known: jobs beyond the rate are left out, and
    /// so are those that the quota keeps from starting now.
    pub(super) fn record_arrival(&mut self, now_us: u64, now_unix_ms: u64, job: &Job) {
        if self.is_quota_exhausted(job) {
            return;
        }
        let pool = job.queue.clone().pool.clone();
        let ratio = self.run_times.average_ratio(&job.spec.queue.name);
        self.forecast.record_arrival(accepted_us(now_us, now_unix_ms, job), &pool, job, ratio);
    }

    fn set_deadline(&self, now_us: u64, now_unix_ms: u64, job: &mut Job) {
        let queue = job.queue.clone();
        job.set_deadline(accepted_us(now_us, now_unix_ms, job), queue.stretch, queue.target_latency_ms);
    }

    /// Cancels a job and stops its runs. A job that is not known yet is cancelled when it is submitted.
    pub(crate) fn cancel(&mut self, now_us: u64, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            self.cancelled_before_submit.insert(id.clone());
            return;
        };
        if job.phase.is_final() {
            return;
        }
        job.phase = JobPhase::Cancelled;
        log::info!("job={id} outcome=cancelled");
        self.mark_dirty(id);
        self.stop_job_runs(now_us, id);
        self.refresh_job(id);
    }

    /// Records by how much the timer that drives [`Scheduler::tick`] was late: if the leader has too little processor time,
    /// everything that it does waits for as long.
    pub(crate) fn record_lag(&mut self, late_us: u64) {
        let late_ms = late_us / US_PER_MS;
        self.lag_ms = late_ms.max(self.lag_ms * 7 / 8);
        self.least_late_ms = Some(self.least_late_ms.map_or(late_ms, |known| known.min(late_ms)));
    }

    /// Whether every tick since the last call was late. One late tick tells of one long decision, whose delay passes without
    /// fewer starts; if all are late, more work arrives than is done.
    fn take_standing_queue(&mut self) -> bool {
        self.least_late_ms.take().is_some_and(|late_ms| late_ms >= BEHIND_LAG_MS)
    }

    /// Whether the leader has too little processor time for all that it has to do.
    pub(super) fn is_behind(&self) -> bool {
        self.lag_ms >= BEHIND_LAG_MS
    }

    /// Does the periodic work if it is due, then places tasks.
    pub(crate) fn tick(&mut self, now_us: u64, now_unix_ms: u64) {
        self.now_unix_ms = now_unix_ms;
        let is_sweep_due = now_us >= self.next_sweep_us;
        if is_sweep_due {
            self.next_sweep_us = now_us + SWEEP_INTERVAL_MS * US_PER_MS;
            let has_standing_queue = self.take_standing_queue();
            self.start_rate.adjust(now_us, has_standing_queue);
            self.begin_all_due_occurrences(now_us, now_unix_ms);
            self.confirm_replacements(now_us);
            self.expire_leases(now_us);
            self.expire_untracked_usage(now_us);
            self.retry_stops(now_us);
            self.evict_long_running(now_us);
            self.check_suspects(now_us);
            self.pace_best_effort_tasks(now_us);
            self.advance_waves(now_us);
            self.update_fleet_capacity();
            self.move_hosts(now_us);
            if self.has_postponed_jobs && !self.is_behind() {
                self.has_postponed_jobs = false;
                self.wants_placement = true;
            }
        }
        self.place(now_us);
        // While starts are limited, a copy would take the start of a task that has none.
        if is_sweep_due && !self.is_behind() && self.start_rate.limit_per_s().is_none() {
            self.start_copies(now_us);
        }
        self.stage_log.report_slowest(now_us);
    }

    /// Places tasks between two calls of `tick`.
    pub(crate) fn place_now(&mut self, now_us: u64) {
        self.place(now_us);
    }

    /// Asks for a placement round, as an event does that may let a task start.
    #[cfg(any(test, feature = "lab"))]
    pub(crate) fn request_placement(&mut self) {
        self.wants_placement = true;
    }

    /// What the scheduler has looked at so far.
    pub(crate) fn work_counts(&self) -> &WorkCounts {
        &self.work_counts
    }

    /// Whether the job is known, or was until its submission was removed.
    pub(crate) fn has_job(&self, id: &str) -> bool {
        self.jobs.contains_key(id) || self.removed_jobs.contains_key(id)
    }

    pub(crate) fn worker_address(&self, id: &str) -> Option<SocketAddr> {
        self.workers.get(id).map(|worker| worker.entry.address)
    }
}

/// A job's queue as configured now, or as configured when the job was accepted if the queue no longer exists.
fn configured_queue(catalog: &Catalog, spec: &JobSpec) -> Arc<Queue> {
    catalog.queue(&spec.queue.name).unwrap_or(&spec.queue).clone()
}

/// When a job was accepted, in this process's monotonic time.
fn accepted_us(now_us: u64, now_unix_ms: u64, job: &Job) -> u64 {
    /// Upper bound on the age, in case the clock of the daemon that accepted the job is wrong.
    const MAX_AGE_MS: u64 = 60_000;
    let age_ms = now_unix_ms.saturating_sub(job.spec.accepted_unix_ms).min(MAX_AGE_MS);
    now_us.saturating_sub(age_ms * US_PER_MS)
}
