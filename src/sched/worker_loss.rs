//! Workers that were lost with runs of a task.
//!
//! A worker that crashes reports no ends of its runs. That it has crashed shows when a later incarnation of it registers,
//! or when another worker that has registered on its host answers, unless the provider's list names someone else there: an
//! entry in the registry alone may come from another writer. Until then, a silent worker may as well be cut off and come
//! back.
//!
//! A crash is blamed on the runs that the worker had not listed yet, since the others have begun without a crash; if it
//! had listed all of them, on all. Tasks that may be at fault are [isolated](super::isolation). A task that is to blame too
//! often is given up, and its job fails. The losses are part of the job's record.

use std::sync::Arc;

use foldhash::{HashMap, HashSet};
use serde::{Deserialize, Serialize};

use super::host_successors::{RegisteredWorker, Replacement};
use super::isolation::ISOLATION_WAIT_MS;
use super::job::{RunPhase, Task, WorkerIncarnation};
use super::model::TaskRef;
use super::scheduler::Scheduler;
use super::task_runs::PlacedRun;
use super::worker::Worker;
use crate::clock::US_PER_MS;

/// A task is given up once it may be to blame for so many crashes, if it is the only suspect of one of them.
const MAX_CRASHES_SOLE: usize = 2;
/// A task is given up once it may be to blame for so many crashes.
const MAX_CRASHES_BLAMED: usize = 3;
/// A task is given up as one to blame only if so many workers crashed for certain after its run had begun for certain.
const MIN_CERTAIN_CRASHES: usize = 2;
/// A task is given up once it has lost so many workers, to blame or not, and whether they crashed or are only silent.
const MAX_LOSSES: usize = 5;
/// A long-running task that has run for this long is not to blame for a crash of its worker, and its losses are forgotten:
/// in the course of time it loses workers that others crash.
pub(super) const STABLE_RUN_MS: u64 = 10_000;

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

/// Why a worker was silent, as it turns out later.
#[derive(Debug, Clone, Copy)]
pub(super) enum SilenceCause {
    Crashed,
    /// The same incarnation answers again.
    CutOff,
    /// It has announced that it leaves.
    Planned,
}

impl SilenceCause {
    /// Outcome in logs.
    fn outcome(self) -> &'static str {
        match self {
            SilenceCause::Crashed => "loss_was_crash",
            SilenceCause::CutOff => "loss_was_cut",
            SilenceCause::Planned => "loss_was_planned",
        }
    }
}

/// Whether a run may have crashed the worker with which it was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Blame {
    /// The worker had listed the run, and others that it had not.
    None,
    /// The run is one of several that may have.
    Shared,
    /// No other run may have.
    Sole,
}

/// A worker that was lost while it had a run of a task.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct WorkerLoss {
    pub(crate) worker: WorkerIncarnation,
    /// Whether the worker crashed for certain.
    pub(crate) is_crash: bool,
    /// Whether the run had begun for certain. Otherwise its start order may never have arrived.
    pub(crate) has_begun: bool,
    pub(crate) blame: Blame,
}

/// Tasks that may have crashed a worker.
#[derive(Debug)]
pub(super) struct CrashSuspects {
    tasks: HashSet<TaskRef>,
    blame: Blame,
}

impl CrashSuspects {
    pub(super) fn blame_of(&self, task_ref: &TaskRef) -> Blame {
        if self.tasks.contains(task_ref) {
            self.blame
        } else {
            Blame::None
        }
    }
}

/// Number of runs lost for each cause since they were last taken, in the order of [`LossCause::ALL`].
pub(crate) type LossCounts = [u64; LossCause::ALL.len()];

/// Workers that were lost, as far as it may still turn out why, and who is on their hosts.
#[derive(Debug, Default)]
pub(super) struct LostWorkers {
    /// Tasks that lost a run with a silent worker, by worker ID.
    silent: HashMap<Arc<str>, SilentWorker>,
    /// Worker on each host that was registered last, and started after the one before it.
    pub(super) latest_on_host: HashMap<Arc<str>, RegisteredWorker>,
    /// Replacements for which only an entry in the registry speaks.
    pub(super) unconfirmed_replacements: Vec<Replacement>,
    /// Tasks that may have crashed a worker, see [`Task::is_suspect`].
    pub(super) suspects: HashSet<TaskRef>,
    counts: LossCounts,
    given_up_count: u64,
}

#[derive(Debug)]
struct SilentWorker {
    started_unix_ms: u64,
    tasks: Vec<TaskRef>,
}

impl Scheduler {
    /// Why the runs of a worker are released that no longer answers.
    pub(super) fn loss_cause(&self, id: &Arc<str>) -> LossCause {
        let Some(worker) = self.workers.get(id) else { return LossCause::Silent };
        if self.was_to_leave(worker) {
            LossCause::Planned
        } else if worker.superseded_us.is_some() {
            LossCause::Crashed
        } else {
            LossCause::Silent
        }
    }

    /// Why the runs of a worker are released of which a later incarnation has started.
    pub(super) fn restart_cause(&self, id: &Arc<str>) -> LossCause {
        match self.workers.get(id).is_some_and(|worker| self.was_to_leave(worker)) {
            true => LossCause::Planned,
            false => LossCause::Crashed,
        }
    }

    /// Whether the known incarnation of a worker had announced that it would leave, or its host is taken away.
    fn was_to_leave(&self, worker: &Worker) -> bool {
        worker.entry.draining || worker.entry.host.as_ref().is_some_and(|host| self.is_host_leaving(host))
    }

    /// Tasks that may have crashed a worker: those whose runs it had not listed yet or, if it had listed all, all of them
    /// except long-running ones that had run for long.
    pub(super) fn crash_suspects(&self, now_us: u64, id: &Arc<str>) -> CrashSuspects {
        let mut unlisted = HashSet::default();
        let mut listed = HashSet::default();
        for task_ref in self.workers.get(id).into_iter().flat_map(|worker| &worker.tasks) {
            let Some(job) = self.jobs.get(&task_ref.job) else { continue };
            let is_long_running = job.spec.steps[task_ref.step as usize].long_running;
            let Some(placed) = job.task(task_ref).and_then(|task| task.run_on(id)) else { continue };
            if !may_have_started(&placed) {
                continue;
            }
            if placed.report.is_listed || (is_long_running && placed.phase == RunPhase::Restored) {
                if !is_long_running || ran_for_ms(now_us, placed.phase) < STABLE_RUN_MS {
                    listed.insert(task_ref.clone());
                }
            } else {
                unlisted.insert(task_ref.clone());
            }
        }
        if unlisted.is_empty() {
            return CrashSuspects { tasks: listed, blame: Blame::Shared };
        }
        let blame = if unlisted.len() == 1 { Blame::Sole } else { Blame::Shared };
        CrashSuspects { tasks: unlisted, blame }
    }

    /// Records that a run was lost with its worker, and whether it may have crashed it. Called before the run is released.
    pub(super) fn record_loss(
        &mut self,
        now_us: u64,
        task_ref: &TaskRef,
        worker: &WorkerIncarnation,
        (cause, blame): (LossCause, Blame),
    ) {
        self.lost_workers.counts[cause as usize] += 1;
        let Some(job) = self.jobs.get_mut(&task_ref.job) else { return };
        let is_long_running = job.spec.steps[task_ref.step as usize].long_running;
        let Some(task) = job.task_mut(task_ref) else { return };
        let Some(placed) = task.run_on(&worker.id) else { return };
        if cause == LossCause::Planned || task.is_done || !may_have_started(&placed) {
            return;
        }
        if (is_long_running && blame == Blame::None) || task.losses.iter().any(|loss| loss.worker == *worker) {
            return;
        }
        // A run whose order may still arrive is kept through several restarts, but can have been lost only once.
        if task.losses.len() >= task.last_run as usize {
            return;
        }
        let (is_crash, has_begun) = (cause == LossCause::Crashed, has_begun(&placed));
        task.losses.push(WorkerLoss { worker: worker.clone(), is_crash, has_begun, blame });
        task.isolated_until_us = now_us + ISOLATION_WAIT_MS * US_PER_MS;
        self.watch_losses(task_ref);
        self.log_losses(task_ref, worker, "run_lost");
    }

    /// Whether a run that a former leader placed may have crashed its worker, of which this leader has no report.
    pub(super) fn blame_without_report(&self, task_ref: &TaskRef) -> Blame {
        match self.step_of(task_ref) {
            Some(step) if !step.long_running => Blame::Shared,
            Some(_) | None => Blame::None,
        }
    }

    /// Waits for evidence of what has happened to silent workers that a task was lost with, and isolates the task if it
    /// is a suspect.
    pub(super) fn watch_losses(&mut self, task_ref: &TaskRef) {
        let Some(task) = self.jobs.get(&task_ref.job).and_then(|job| job.task(task_ref)) else { return };
        if task.is_suspect() {
            self.lost_workers.suspects.insert(task_ref.clone());
        }
        let silent = task.losses.iter().filter(|loss| !loss.is_crash);
        let silent: Vec<WorkerIncarnation> = silent.map(|loss| loss.worker.clone()).collect();
        for worker in silent {
            self.watch_silent(task_ref, &worker);
        }
    }

    /// Gives up a task that has lost too many workers. Its job fails.
    pub(super) fn give_up_if_exhausted(&mut self, now_us: u64, task_ref: &TaskRef) {
        let Some(job) = self.jobs.get(&task_ref.job) else { return };
        let Some(task) = job.task(task_ref) else { return };
        let (blamed, crashed, lost) = (task.blamed_crash_count(), task.crash_count(), task.losses.len());
        let max_blamed = if task.was_sole_suspect() { MAX_CRASHES_SOLE } else { MAX_CRASHES_BLAMED };
        let is_to_blame = blamed >= max_blamed && crashed >= MIN_CERTAIN_CRASHES;
        // The other tasks of a long-running job are at work, and its failure would stop them all. So only crashes count for
        // which no other task can be to blame.
        let is_exhausted = match job.spec.steps[task_ref.step as usize].long_running {
            true => task.sole_crash_count() >= MAX_CRASHES_SOLE && crashed >= MIN_CERTAIN_CRASHES,
            false => is_to_blame || lost >= MAX_LOSSES,
        };
        if job.phase.is_final() || task.is_done || !is_exhausted {
            return;
        }
        log::warn!(
            "job={} task={}.{}.{} blamed={blamed} crashed_workers={crashed} lost_workers={lost} outcome=given_up",
            task_ref.job,
            task_ref.occurrence,
            task_ref.step,
            task_ref.index
        );
        self.lost_workers.given_up_count += 1;
        self.fail_job(now_us, &task_ref.job);
    }

    fn watch_silent(&mut self, task_ref: &TaskRef, worker: &WorkerIncarnation) {
        let started_unix_ms = worker.started_unix_ms;
        let silent = self.lost_workers.silent.entry(worker.id.clone());
        let silent = silent.or_insert_with(|| SilentWorker { started_unix_ms, tasks: Vec::new() });
        if silent.started_unix_ms < started_unix_ms {
            *silent = SilentWorker { started_unix_ms, tasks: Vec::new() };
        }
        if !silent.tasks.contains(task_ref) {
            silent.tasks.push(task_ref.clone());
        }
    }

    /// Handles a sign that a worker lives with a certain start time: an earlier incarnation has crashed, and the same
    /// one was only cut off.
    pub(super) fn worker_lives(&mut self, now_us: u64, id: &Arc<str>, started_unix_ms: u64, has_answered: bool) {
        let Some(silent) = self.lost_workers.silent.get(id) else { return };
        let was_cut_off = silent.started_unix_ms == started_unix_ms;
        if silent.started_unix_ms > started_unix_ms || (was_cut_off && !has_answered) {
            return;
        }
        let finding = if was_cut_off { SilenceCause::CutOff } else { SilenceCause::Crashed };
        self.resolve_silent(now_us, id, finding);
    }

    /// Handles a report that a worker drains: if it was silent before, it has not crashed.
    pub(super) fn worker_drains(&mut self, now_us: u64, id: &Arc<str>, started_unix_ms: u64) {
        let silent = self.lost_workers.silent.get(id);
        if silent.is_some_and(|silent| silent.started_unix_ms == started_unix_ms) {
            self.resolve_silent(now_us, id, SilenceCause::Planned);
        }
    }

    /// Whether tasks were lost with this incarnation of a worker, and it is not known why.
    pub(super) fn is_silent_loss(&self, worker: &WorkerIncarnation) -> bool {
        let silent = self.lost_workers.silent.get(&worker.id);
        silent.is_some_and(|silent| silent.started_unix_ms == worker.started_unix_ms)
    }

    /// Records for all tasks lost with a silent worker why it was silent.
    pub(super) fn resolve_silent(&mut self, now_us: u64, id: &Arc<str>, cause: SilenceCause) {
        let Some(SilentWorker { started_unix_ms, tasks }) = self.lost_workers.silent.remove(id) else { return };
        let worker = WorkerIncarnation { id: id.clone(), started_unix_ms };
        for task_ref in tasks {
            let Some(task) = self.jobs.get_mut(&task_ref.job).and_then(|job| job.task_mut(&task_ref)) else { continue };
            let Some(index) = task.losses.iter().position(|loss| loss.worker == worker) else { continue };
            match cause {
                SilenceCause::Crashed => task.losses[index].is_crash = true,
                SilenceCause::CutOff | SilenceCause::Planned => {
                    task.losses.remove(index);
                }
            }
            self.log_losses(&task_ref, &worker, cause.outcome());
            self.mark_dirty(&task_ref.job);
            self.watch_losses(&task_ref);
            self.give_up_if_exhausted(now_us, &task_ref);
        }
    }

    fn log_losses(&self, task_ref: &TaskRef, worker: &WorkerIncarnation, outcome: &str) {
        let Some(task) = self.jobs.get(&task_ref.job).and_then(|job| job.task(task_ref)) else { return };
        let loss = task.losses.iter().find(|loss| loss.worker == *worker);
        log::info!(
            "job={} task={}.{}.{} worker={} blame={:?} lost_workers={} crashed_workers={} outcome={outcome}",
            task_ref.job,
            task_ref.occurrence,
            task_ref.step,
            task_ref.index,
            worker.id,
            loss.map(|loss| loss.blame),
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

    /// Takes the numbers of runs lost and of tasks given up since the last call.
    pub(crate) fn take_loss_counts(&mut self) -> (LossCounts, u64) {
        let given_up = std::mem::take(&mut self.lost_workers.given_up_count);
        (std::mem::take(&mut self.lost_workers.counts), given_up)
    }
}

impl Task {
    /// Number of workers that have certainly crashed after a run of the task had begun there.
    pub(crate) fn crash_count(&self) -> usize {
        self.losses.iter().filter(|loss| loss.is_crash && loss.has_begun).count()
    }

    /// Number of crashes for which the task may be to blame.
    pub(crate) fn blamed_crash_count(&self) -> usize {
        self.losses.iter().filter(|loss| loss.is_crash && loss.blame != Blame::None).count()
    }

    /// Number of crashes that no other task can have caused.
    fn sole_crash_count(&self) -> usize {
        self.losses.iter().filter(|loss| loss.is_crash && loss.blame == Blame::Sole).count()
    }

    /// Whether no other task can have caused one of the crashes.
    fn was_sole_suspect(&self) -> bool {
        self.sole_crash_count() > 0
    }

    /// Whether the task may have crashed a worker: it is to blame for a crash, or has lost several workers.
    pub(crate) fn is_suspect(&self) -> bool {
        self.losses.len() > 1 || self.blamed_crash_count() > 0
    }
}

/// Time for which a run is known to have been active.
pub(super) fn ran_for_ms(now_us: u64, phase: RunPhase) -> u64 {
    match phase {
        RunPhase::Running { since_us } => now_us.saturating_sub(since_us) / US_PER_MS,
        RunPhase::Committing
        | RunPhase::Ordered
        | RunPhase::Unanswered { .. }
        | RunPhase::Stopping { .. }
        | RunPhase::Restored => 0,
    }
}

/// Whether a worker has accepted or listed a run.
fn has_begun(placed: &PlacedRun<'_>) -> bool {
    placed.report.is_listed || matches!(placed.phase, RunPhase::Running { .. })
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
