//! Tasks of workers that a new leader does not know yet, and of workers that are gone.
//!
//! A new leader finds placed runs in the record. It attaches them to their workers, as far as these are registered, and
//! releases them once no run can be active any more: when the worker's leases have certainly ended, or when there is
//! evidence that the worker has gone.

use std::sync::Arc;

use foldhash::HashSet;

use super::job::{Task, WorkerIncarnation};
use super::late_starts::LateStart;
use super::model::{JobId, TaskRef};
use super::run_end::Observation;
use super::run_stops::StopReason;
use super::scheduler::Scheduler;
use super::task_runs::PlacedRun;
use super::worker::Worker;
use super::worker_loss::LossCause;
use crate::clock::US_PER_MS;

/// Interval between searches for tasks on workers that are no longer known.
const ORPHAN_CHECK_INTERVAL_MS: u64 = 1_000;

impl Scheduler {
    /// Reserves capacity for a restored job's placed tasks on their workers, so that the tasks stay there until the
    /// workers answer or their leases expire.
    pub(super) fn attach_restored(&mut self, now_us: u64, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let mut placed = Vec::new();
        for (task_ref, task) in job.tasks() {
            for worker in task.worker_ids() {
                placed.push((task_ref.clone(), worker, task.is_done));
            }
        }
        let with_losses = job.tasks().filter(|(_, task)| !task.losses.is_empty());
        let with_losses: Vec<TaskRef> = with_losses.map(|(task_ref, _)| task_ref).collect();
        let is_final = job.phase.is_final();
        self.restore_late_starts(id);
        for task_ref in with_losses {
            self.watch_losses(&task_ref);
        }
        for (task_ref, worker, is_done) in placed {
            self.count_placed(&task_ref);
            self.note_former_leaders_start(&task_ref, &worker);
            self.attach_restored_task(now_us, &task_ref, &worker);
            if is_done {
                self.order_stop(now_us, &task_ref, &worker, StopReason::TaskDone);
            }
            self.give_up_if_exhausted(now_us, &task_ref);
        }
        if is_final {
            self.stop_job_runs(now_us, id);
        }
        self.refresh_job(id);
    }

    /// Attaches a restored task to its worker, or keeps it until the worker is registered. If the worker has restarted,
    /// the run has ended, but a delayed start order may have reached the new incarnation. The task is taken to be there
    /// until that incarnation answers.
    pub(super) fn attach_restored_task(&mut self, now_us: u64, task_ref: &TaskRef, id: &Arc<str>) {
        let known = self.workers.get(id).map(Worker::incarnation);
        let has_answered = self.workers.get(id).is_some_and(|worker| worker.is_synced);
        if let (Some(known), Some(worker)) = (&known, self.placed_incarnation(task_ref, id)) {
            if known.started_unix_ms > worker.started_unix_ms {
                let blame = self.blame_without_report(task_ref);
                self.record_loss(now_us, task_ref, &worker, (LossCause::Crashed, blame));
            }
        }
        let Some(task) = self.jobs.get_mut(&task_ref.job).and_then(|job| job.task_mut(task_ref)) else { return };
        let Some(placed) = task.run_on_mut(id) else { return };
        // The registry may be behind: a worker's answer tells of its restart first.
        let is_current =
            |known: &WorkerIncarnation| has_answered || known.started_unix_ms >= placed.worker.started_unix_ms;
        let Some(known) = known.filter(is_current) else {
            self.unattached_tasks.entry(id.clone()).or_default().push(task_ref.clone());
            return;
        };
        let has_restarted = *placed.worker != known;
        *placed.worker = known.clone();
        self.attach(task_ref, &known);
        if has_restarted {
            self.expect_late_calls(&known.id);
        }
    }

    /// Notes the start orders of former leaders that had no answer, as the record has them.
    fn restore_late_starts(&mut self, id: &JobId) {
        let until_us = self.former_leader_calls_end_us();
        let Some(job) = self.jobs.get_mut(id) else { return };
        let mut recorded = Vec::new();
        let with_late_starts = job.tasks().filter(|(_, task)| !task.late_starts.is_empty());
        let with_late_starts: Vec<TaskRef> = with_late_starts.map(|(task_ref, _)| task_ref).collect();
        for task_ref in with_late_starts {
            let Some(task) = job.task_mut(&task_ref) else { continue };
            for late_start in std::mem::take(&mut task.late_starts) {
                recorded.push((task_ref.clone(), LateStart { until_us, ..late_start }));
            }
        }
        for (task_ref, late_start) in recorded {
            self.note_late_start(&task_ref, late_start);
        }
    }

    /// Notes that the former leader's order for a restored run may not have been carried out yet.
    fn note_former_leaders_start(&mut self, task_ref: &TaskRef, id: &Arc<str>) {
        let until_us = self.former_leader_calls_end_us();
        let task = self.jobs.get(&task_ref.job).and_then(|job| job.task(task_ref));
        let Some(run) = task.and_then(|task| task.run_on(id)).map(|placed| placed.run) else { return };
        let is_repeated = self.is_late_start(task_ref, id, run);
        let worker = id.clone();
        self.note_late_start(task_ref, LateStart { worker, started_unix_ms: None, run, until_us, is_repeated });
    }

    /// Notes that calls of a former leader may still reach a worker which has restarted since, and has not answered.
    fn expect_late_calls(&mut self, id: &Arc<str>) {
        let Some(worker) = self.workers.get(id).filter(|worker| !worker.is_synced) else { return };
        let lease_end_us = self.lease_end_on_later_incarnation_us(worker);
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.unknown_lease_end_us = worker.unknown_lease_end_us.max(lease_end_us);
    }

    /// Incarnation of a worker on which a run of a task is placed.
    pub(super) fn placed_incarnation(&self, task_ref: &TaskRef, id: &str) -> Option<WorkerIncarnation> {
        let task = self.jobs.get(&task_ref.job)?.task(task_ref)?;
        task.run_on(id).map(|placed| placed.worker.clone())
    }

    /// Reserves capacity for a task on its worker, if that incarnation of the worker is known.
    pub(super) fn attach(&mut self, task_ref: &TaskRef, incarnation: &WorkerIncarnation) {
        let Some(step) = self.jobs.get(&task_ref.job).and_then(|job| job.spec.steps.get(task_ref.step as usize)) else {
            return;
        };
        let Some(worker) = self.workers.get_mut(&incarnation.id) else { return };
        if worker.incarnation() == *incarnation {
            worker.attach(task_ref.clone(), step);
        }
    }

    /// Frees the capacity that a task has reserved on its worker.
    pub(super) fn detach(&mut self, now_us: u64, task_ref: &TaskRef, id: &str) {
        let Some(step) = self.jobs.get(&task_ref.job).and_then(|job| job.spec.steps.get(task_ref.step as usize)) else {
            return;
        };
        if let Some(worker) = self.workers.get_mut(id) {
            worker.detach(now_us, task_ref, step);
        }
    }

    /// Releases tasks on workers whose leases have certainly expired.
    pub(super) fn expire_leases(&mut self, now_us: u64) {
        let former_leader_leases_ended = now_us >= self.former_leader_leases_end_us();
        let mut lost = Vec::new();
        for worker in self.workers.values() {
            if worker.tasks.is_empty() {
                continue;
            }
            let never_answered = !worker.is_synced && former_leader_leases_ended;
            let long_silent = !worker.is_listed && now_us > worker.last_answer_us + self.lease_expiry_wait_us();
            let leases_ended = worker.lease_certainly_expired(now_us) || (long_silent && former_leader_leases_ended);
            if leases_ended || never_answered {
                lost.push((worker.entry.id.clone(), Observation::LeasesExpired { now_us }));
            } else if worker.is_replaced() {
                lost.push((worker.entry.id.clone(), Observation::WorkerGone));
            }
        }
        for (id, observation) in lost {
            let cause = self.loss_cause(&id);
            self.release_lost_tasks(now_us, &id, cause, observation);
        }
        if former_leader_leases_ended && now_us >= self.next_orphan_check_us {
            self.next_orphan_check_us = now_us + ORPHAN_CHECK_INTERVAL_MS * US_PER_MS;
            let orphans = self.orphans();
            self.release_orphans(now_us, &orphans, Observation::LeasesExpired { now_us });
            self.prune_silent_workers();
            self.expire_late_starts(now_us);
        }
    }

    /// Whether a worker is not known, or all leases that it may have been granted have certainly ended.
    pub(super) fn has_no_lease(&self, now_us: u64, id: &Arc<str>) -> bool {
        let Some(worker) = self.workers.get(id) else { return now_us >= self.lease_end_on_unknown_worker_us() };
        if worker.lease_end_ms > 0 {
            return worker.lease_certainly_expired(now_us);
        }
        let is_long_silent = now_us > worker.last_answer_us + self.lease_expiry_wait_us();
        is_long_silent && now_us >= self.former_leader_leases_end_us()
    }

    /// Tasks placed on workers, or incarnations of workers, that are not known.
    pub(crate) fn orphans(&self) -> Vec<TaskRef> {
        let mut orphans = Vec::new();
        for job in self.jobs.values() {
            if job.occurrences.is_empty() {
                continue;
            }
            for (task_ref, task) in job.tasks() {
                if task.placed_runs().any(|placed| !self.has_incarnation(placed.worker)) {
                    orphans.push(task_ref);
                }
            }
        }
        orphans
    }

    /// Releases those tasks that are still orphans.
    fn release_orphans(&mut self, now_us: u64, orphans: &[TaskRef], observation: Observation) {
        for task_ref in orphans {
            let task = self.jobs.get(&task_ref.job).and_then(|job| job.task(task_ref));
            let is_orphan = |placed: &PlacedRun<'_>| !self.has_incarnation(placed.worker);
            let runs = task.into_iter().flat_map(Task::placed_runs).filter(is_orphan);
            let workers: Vec<WorkerIncarnation> = runs.map(|placed| placed.worker.clone()).collect();
            for worker in workers {
                let task = self.jobs.get(&task_ref.job).and_then(|job| job.task(task_ref));
                let placed = task.and_then(|task| task.run_on(&worker.id));
                if placed.is_none_or(|placed| self.run_over(&placed, observation).is_none()) {
                    continue;
                }
                let blame = self.blame_without_report(task_ref);
                self.record_loss(now_us, task_ref, &worker, (LossCause::Silent, blame));
                let worker = worker.id;
                log::warn!(
                    "job={} task={}.{} worker={worker} outcome=worker_gone",
                    task_ref.job,
                    task_ref.step,
                    task_ref.index
                );
                self.release_if_over(now_us, task_ref, &worker, observation);
                self.mark_dirty(&task_ref.job);
                self.give_up_if_exhausted(now_us, task_ref);
            }
        }
    }

    /// Releases the tasks of workers that have gone, without waiting for their leases: no host runs them according to a
    /// list that was requested at `requested_us`, and they had left the registry by then.
    pub(super) fn release_tasks_of_gone_workers(&mut self, now_us: u64, requested_us: u64) {
        if !self.provider_lists_all_workers() {
            return;
        }
        let on_hosts: HashSet<Arc<str>> = self.hosts.values().filter_map(|host| host.worker.clone()).collect();
        let mut gone = Vec::new();
        let mut present = on_hosts.clone();
        for (id, worker) in &self.workers {
            let has_left = !worker.is_listed && worker.unlisted_us < requested_us;
            if has_left && !worker.tasks.is_empty() && !on_hosts.contains(id) {
                gone.push(id.clone());
            }
            if !has_left {
                present.insert(id.clone());
            }
        }
        self.settle_late_starts_of_gone_workers(|id| !present.contains(id));
        for id in &gone {
            let cause = self.loss_cause(id);
            self.release_lost_tasks(now_us, id, cause, Observation::WorkerGone);
        }
        let unattached: Vec<Arc<str>> = self.unattached_tasks.keys().cloned().collect();
        for id in unattached {
            if on_hosts.contains(&id) || self.workers.contains_key(&id) {
                continue;
            }
            let orphans = self.unattached_tasks.remove(&id).unwrap_or_default();
            self.release_orphans(now_us, &orphans, Observation::WorkerGone);
        }
    }

    /// Whether the provider lists the host of every registered worker. Otherwise, workers may run on hosts that it does
    /// not list.
    fn provider_lists_all_workers(&self) -> bool {
        let mut hosts = self.workers.values().filter(|worker| worker.is_listed).map(|worker| &worker.entry.host);
        let is_on_listed_host =
            |host: &Option<Arc<str>>| host.as_ref().is_some_and(|name| self.hosts.contains_key(name));
        hosts.clone().next().is_some() && hosts.all(is_on_listed_host)
    }

    /// Releases all tasks of a worker on which no run can be active any more. How their runs ended is not known.
    pub(super) fn release_lost_tasks(
        &mut self,
        now_us: u64,
        id: &Arc<str>,
        cause: LossCause,
        observation: Observation,
    ) {
        let Some(worker) = self.workers.get(id) else { return };
        let mut lost = Vec::new();
        for task_ref in &worker.tasks {
            let task = self.jobs.get(&task_ref.job).and_then(|job| job.task(task_ref));
            let placed = task.and_then(|task| task.run_on(id));
            if placed.is_some_and(|placed| self.run_over(&placed, observation).is_some()) {
                lost.push(task_ref.clone());
            }
        }
        self.release_lost(now_us, id, &lost, cause, observation);
        if let Some(worker) = self.workers.get_mut(id).filter(|worker| worker.tasks.is_empty()) {
            worker.lease_end_ms = 0;
        }
    }

    /// Logs from what it follows that a run is lost: whether this leader knows its incarnation, and of late start orders.
    fn log_lost_run(&self, now_us: u64, task_ref: &TaskRef, id: &Arc<str>, cause: LossCause) {
        let Some(worker) = self.workers.get(id) else { return };
        let Some(placed) = self.task(task_ref).and_then(|task| task.run_on(id)) else { return };
        log::info!(
            "job={} task={}.{}.{} run={} worker={id} silent_ms={} phase={:?} confirmed={} answered={} late_starts={} \
             cause={} outcome=lease_over",
            task_ref.job,
            task_ref.occurrence,
            task_ref.step,
            task_ref.index,
            placed.run,
            now_us.saturating_sub(worker.last_answer_us) / US_PER_MS,
            placed.phase,
            placed.report.is_confirmed,
            worker.is_synced,
            placed.report.late_starts_until_us > 0,
            cause.label()
        );
    }

    /// Records the loss of these tasks' runs with their worker, and releases those that are over.
    pub(super) fn release_lost(
        &mut self,
        now_us: u64,
        id: &Arc<str>,
        lost: &[TaskRef],
        cause: LossCause,
        observation: Observation,
    ) {
        let Some(worker) = self.workers.get(id) else { return };
        let incarnation = worker.incarnation();
        if !lost.is_empty() {
            log::warn!(
                "worker={id} tasks={} cause={} evidence={observation:?} outcome=leases_over",
                lost.len(),
                cause.label()
            );
        }
        let suspects = self.crash_suspects(now_us, id);
        for task_ref in lost {
            self.log_lost_run(now_us, task_ref, id, cause);
            let blame = suspects.blame_of(task_ref);
            self.record_loss(now_us, task_ref, &incarnation, (cause, blame));
            self.release_if_over(now_us, task_ref, id, observation);
            self.mark_dirty(&task_ref.job);
            self.give_up_if_exhausted(now_us, task_ref);
        }
    }
}
