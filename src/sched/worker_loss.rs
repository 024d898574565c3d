//! Workers that were lost with runs of a task.
//!
//! A worker that crashes reports no ends of its runs. That it has crashed shows when a later incarnation of it, or
//! another worker on its host, registers. Until then, a silent worker may as well be cut off and come back.

use std::sync::Arc;

use foldhash::HashMap;

use super::job::{RunPhase, WorkerIncarnation};
use super::model::{TaskRef, WorkerEntry};
use super::scheduler::Scheduler;
use super::task_runs::PlacedRun;

/// Why the runs of a worker are released although it has not reported their ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LossCause {
    /// The worker's process has ended without notice.
    Crashed,
    /// The worker's leases have ended. It may have crashed, or be cut off.
    Silent,
    /// The worker had announced that it would leave, or its host was taken away on purpose.
    Planned,
}

impl LossCause {
    pub(crate) const ALL: [LossCause; 3] = [LossCause::Crashed, LossCause::Silent, LossCause::Planned];

    /// Name in logs and metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            LossCause::Crashed => "crashed",
            LossCause::Silent => "silent",
            LossCause::Planned => "planned",
        }
    }
}

/// A worker that was lost while it had a run of a task.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct WorkerLoss {
    pub(crate) worker: WorkerIncarnation,
    pub(crate) is_crash: bool,
    /// Whether the worker had listed the run as active.
    pub(crate) was_reported: bool,
}

/// Number of runs lost for each cause since they were last taken, in the order of [`LossCause::ALL`].
pub(crate) type LossCounts = [u64; LossCause::ALL.len()];

/// Workers that were lost, as far as it may still turn out why, and who is on their hosts.
#[derive(Debug, Default)]
pub(super) struct LostWorkers {
    /// Tasks that lost a run with a silent worker, by worker ID.
    silent: HashMap<Arc<str>, SilentWorker>,
    /// Worker on each host that started last, as far as registered.
    latest_on_host: HashMap<Arc<str>, WorkerIncarnation>,
    counts: LossCounts,
}

#[derive(Debug)]
struct SilentWorker {
    started_unix_ms: u64,
    tasks: Vec<TaskRef>,
}

impl Scheduler {
    /// Why the runs of a worker are released now, if it may have crashed.
    pub(super) fn loss_cause(&self, id: &Arc<str>) -> LossCause {
        let Some(worker) = self.workers.get(id) else { return LossCause::Silent };
        let is_host_leaving = worker.entry.host.as_ref().is_some_and(|host| self.is_host_leaving(host));
        if worker.entry.draining || is_host_leaving {
            return LossCause::Planned;
        }
        if worker.is_superseded {
            return LossCause::Crashed;
        }
        LossCause::Silent
    }

    /// Records that a run was lost with its worker. Called before the run is released.
    pub(super) fn record_loss(&mut self, task_ref: &TaskRef, worker: &WorkerIncarnation, cause: LossCause) {
        self.lost_workers.counts[cause as usize] += 1;
        let Some(task) = self.jobs.get_mut(&task_ref.job).and_then(|job| job.task_mut(task_ref)) else { return };
        let Some(placed) = task.run_on(&worker.id) else { return };
        if cause == LossCause::Planned || task.is_done || !may_have_started(&placed) {
            return;
        }
        let was_reported = placed.report.is_listed;
        let is_crash = cause == LossCause::Crashed;
        let is_known = task.losses.iter().any(|loss| loss.worker == *worker);
        if is_known {
            return;
        }
        task.losses.push(WorkerLoss { worker: worker.clone(), is_crash, was_reported });
        if cause == LossCause::Silent {
            self.watch_silent(task_ref, worker);
        }
        self.log_losses(task_ref, worker, "run_lost");
    }

    /// Waits for evidence of what has happened to a worker that a task was lost with.
    pub(super) fn watch_silent(&mut self, task_ref: &TaskRef, worker: &WorkerIncarnation) {
        let started_unix_ms = worker.started_unix_ms;
        let silent = self.lost_workers.silent.entry(worker.id.clone());
        let silent = silent.or_insert_with(|| SilentWorker { started_unix_ms, tasks: Vec::new() });
        if silent.started_unix_ms < started_unix_ms {
            *silent = SilentWorker { started_unix_ms, tasks: Vec::new() };
        }
        silent.tasks.push(task_ref.clone());
    }

    /// Handles a sign that a worker lives with a certain start time: an earlier incarnation has crashed, and the same
    /// one was only cut off.
    pub(super) fn worker_lives(&mut self, id: &Arc<str>, started_unix_ms: u64, has_answered: bool) {
        let Some(silent) = self.lost_workers.silent.get(id) else { return };
        let was_cut_off = silent.started_unix_ms == started_unix_ms;
        if silent.started_unix_ms > started_unix_ms || (was_cut_off && !has_answered) {
            return;
        }
        self.resolve_silent(id, !was_cut_off);
    }

    /// Notes a registered worker on its host. A worker that started there earlier has ended.
    pub(super) fn worker_on_host_registered(&mut self, entry: &WorkerEntry) {
        let Some(host) = &entry.host else { return };
        let registered = WorkerIncarnation { id: entry.id.clone(), started_unix_ms: entry.started_unix_ms };
        let Some(known) = self.lost_workers.latest_on_host.insert(host.clone(), registered.clone()) else { return };
        if known.id == registered.id {
            return;
        }
        let (former, latest) =
            if known.started_unix_ms < registered.started_unix_ms { (known, registered) } else { (registered, known) };
        if let Some(worker) = self.workers.get_mut(&former.id) {
            worker.is_superseded = true;
            // Each host that changes its pool has a new worker, but its former one has no tasks.
            let level = if worker.tasks.is_empty() { log::Level::Debug } else { log::Level::Info };
            log::log!(level, "worker={} host={host} successor={} outcome=superseded", former.id, latest.id);
        }
        self.lost_workers.latest_on_host.insert(host.clone(), latest);
        if self
            .lost_workers
            .silent
            .get(&former.id)
            .is_some_and(|silent| silent.started_unix_ms == former.started_unix_ms)
        {
            self.resolve_silent(&former.id, true);
        }
    }

    /// Records for all tasks lost with a silent worker whether it has crashed.
    fn resolve_silent(&mut self, id: &Arc<str>, has_crashed: bool) {
        let Some(SilentWorker { started_unix_ms, tasks }) = self.lost_workers.silent.remove(id) else { return };
        let worker = WorkerIncarnation { id: id.clone(), started_unix_ms };
        for task_ref in tasks {
            let Some(task) = self.jobs.get_mut(&task_ref.job).and_then(|job| job.task_mut(&task_ref)) else { continue };
            let Some(index) = task.losses.iter().position(|loss| loss.worker == worker) else { continue };
            if has_crashed {
                task.losses[index].is_crash = true;
            } else {
                task.losses.remove(index);
            }
            let outcome = if has_crashed { "loss_was_crash" } else { "loss_was_cut" };
            self.log_losses(&task_ref, &worker, outcome);
        }
    }

    fn log_losses(&self, task_ref: &TaskRef, worker: &WorkerIncarnation, outcome: &str) {
        let Some(task) = self.jobs.get(&task_ref.job).and_then(|job| job.task(task_ref)) else { return };
        let loss = task.losses.iter().find(|loss| loss.worker == *worker);
        log::info!(
            "job={} task={}.{}.{} worker={} reported={} lost_workers={} crashed_workers={} outcome={outcome}",
            task_ref.job,
            task_ref.occurrence,
            task_ref.step,
            task_ref.index,
            worker.id,
            loss.is_some_and(|loss| loss.was_reported),
            task.losses.len(),
            task.crash_count()
        );
    }

    /// Forgets silent workers whose tasks are of interest no more.
    pub(super) fn prune_silent_workers(&mut self) {
        let jobs = &self.jobs;
        let is_open = |task_ref: &TaskRef| jobs.get(&task_ref.job).is_some_and(|job| !job.phase.is_final());
        self.lost_workers.silent.retain(|_, silent| silent.tasks.iter().any(is_open));
    }

    /// Takes the numbers of runs lost since the last call.
    pub(crate) fn take_loss_counts(&mut self) -> LossCounts {
        std::mem::take(&mut self.lost_workers.counts)
    }
}

/// Whether a run may have begun on its worker.
fn may_have_started(placed: &PlacedRun<'_>) -> bool {
    match placed.phase {
        RunPhase::Committing => false,
        // A run that is stopped before its worker has listed it is one whose start order may never have arrived.
        RunPhase::Stopping { .. } => placed.report.is_listed,
        RunPhase::Ordered | RunPhase::Unanswered { .. } | RunPhase::Running { .. } | RunPhase::Restored => true,
    }
}
