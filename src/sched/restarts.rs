//! Workers that restart under their ID.
//!
//! Orders name only the ID of a worker. One that is sent before the leader knows of a restart is carried out by the new
//! incarnation, so the runs placed on a worker may be on either one. Workers set their start times by their time of day,
//! which may be stepped, so start times tell incarnations apart but do not order them: the worker's own answers do.

use std::sync::Arc;

use super::action::Action;
use super::job::RunPhase;
use super::model::{HoldAnswer, OrderOutcome, TaskRef, WorkerEntry};
use super::run_end::Observation;
use super::run_stops::StopReason;
use super::scheduler::Scheduler;
use super::task_runs::RunReport;
use super::worker::Worker;

/// Start times of former incarnations that are kept for each worker.
const MAX_FORMER_STARTS: usize = 8;

/// A registry entry of an incarnation that has not answered yet. It may be of a former one, which the registry still has.
#[derive(Debug, Clone)]
pub(crate) struct UnconfirmedEntry {
    pub(crate) entry: WorkerEntry,
    /// When the leader read it.
    pub(crate) read_us: u64,
}

/// What the first answer of a new incarnation says about runs.
#[derive(Debug, Clone, Copy)]
pub(super) struct FirstList<'a> {
    requested_us: u64,
    answer: &'a HoldAnswer,
}

impl FirstList<'_> {
    /// Whether a run is listed, as active or as ended.
    fn contains(&self, task_ref: &TaskRef, run: u32) -> bool {
        let HoldAnswer { running, ended, .. } = self.answer;
        running.iter().any(|active_run| active_run.run == run && active_run.task == *task_ref)
            || ended.iter().any(|ended_run| ended_run.run == run && ended_run.task == *task_ref)
    }
}

/// What a restart means for a run that was placed on the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RestartEffect {
    /// The run ended with the former incarnation.
    Lost,
    /// The run ended with the former incarnation, or its order may still reach the new one, so that it is stopped there.
    MayArrive,
    /// The order has just been sent, or accepted by one of the incarnations: the next list tells by which.
    Undecided,
    /// The new incarnation has, or had, the run.
    Listed,
}

impl RestartEffect {
    /// Whether the run counts as lost with the former incarnation.
    fn is_loss(self) -> bool {
        match self {
            RestartEffect::Lost | RestartEffect::MayArrive => true,
            RestartEffect::Undecided | RestartEffect::Listed => false,
        }
    }
}

impl Scheduler {
    /// Compares the incarnation that has answered a hold request with the known one. Returns `false` if the answer comes
    /// from a former one.
    pub(super) fn confirm_incarnation(
        &mut self,
        now_us: u64,
        sent_us: u64,
        id: &Arc<str>,
        answer: &HoldAnswer,
    ) -> bool {
        let Some(worker) = self.workers.get_mut(id) else { return false };
        let Some(started_unix_ms) = answer.started_unix_ms else {
            worker.suspected_restart_us = None;
            return true;
        };
        if worker.former_starts_unix_ms.contains(&started_unix_ms) && sent_us < worker.known_since_us {
            return false;
        }
        if worker.entry.started_unix_ms == started_unix_ms {
            worker.suspected_restart_us.take_if(|suspected_us| *suspected_us <= sent_us);
            worker.unconfirmed_entry.take_if(|unconfirmed| unconfirmed.read_us < sent_us);
        } else {
            let listed = worker.unconfirmed_entry.take().map(|unconfirmed| unconfirmed.entry);
            let listed = listed.filter(|entry| entry.started_unix_ms == started_unix_ms);
            let entry = listed.unwrap_or_else(|| WorkerEntry { started_unix_ms, ..worker.entry.clone() });
            self.worker_restarted(now_us, entry, Some(FirstList { requested_us: sent_us, answer }));
        }
        self.worker_lives(now_us, id, started_unix_ms, true);
        true
    }

    /// Handles a registry entry of another incarnation than the known one. The registry is behind, so a worker that has
    /// answered is asked.
    pub(super) fn other_incarnation_listed(&mut self, now_us: u64, entry: WorkerEntry) {
        let Some(worker) = self.workers.get_mut(&entry.id) else { return };
        worker.is_listed = true;
        if worker.former_starts_unix_ms.contains(&entry.started_unix_ms) {
            log::info!("worker={} started_unix_ms={} outcome=stale_entry", entry.id, entry.started_unix_ms);
            return;
        }
        if !worker.is_synced {
            self.worker_restarted(now_us, entry, None);
            return;
        }
        worker.next_hold_us = worker.next_hold_us.min(now_us);
        let id = entry.id.clone();
        let known = worker.unconfirmed_entry.as_ref().map(|known| known.entry.started_unix_ms);
        let is_new = known != Some(entry.started_unix_ms);
        let read_us = worker.unconfirmed_entry.as_ref().filter(|_| !is_new).map_or(now_us, |known| known.read_us);
        worker.unconfirmed_entry = Some(Box::new(UnconfirmedEntry { entry, read_us }));
        if is_new {
            self.wake_session(id);
        }
    }

    /// Handles the restart of a worker, which is known from the new incarnation's first answer, or else from the registry.
    /// Runs that the new incarnation lists go on. Start orders that were not answered may still reach it, so their runs
    /// are stopped there before the tasks are placed again.
    fn worker_restarted(&mut self, now_us: u64, entry: WorkerEntry, list: Option<FirstList<'_>>) {
        let id = entry.id.clone();
        let effects = self.restart_effects(&id, list);
        self.log_restart(now_us, &entry, &effects);
        self.worker_lives(now_us, &id, entry.started_unix_ms, false);
        for (task_ref, effect) in &effects {
            if !effect.is_loss() {
                self.detach(now_us, task_ref, &id);
            }
        }
        let lost = effects.iter().filter(|(_, effect)| effect.is_loss());
        let lost: Vec<TaskRef> = lost.map(|(task_ref, _)| task_ref.clone()).collect();
        let requested_us = list.filter(|list| list.answer.is_complete).map(|list| list.requested_us);
        let observation = Observation::WorkerRestarted { requested_us };
        let cause = self.restart_cause(&id);
        self.release_lost(now_us, &id, &lost, cause, observation);
        self.set_untracked_usage(&id, Vec::new());
        self.replace_incarnation(now_us, entry);
        for (task_ref, effect) in effects {
            // Of a gang that is lost, the other members were ordered to stop with the first one.
            let was_stopped = effect == RestartEffect::Lost && self.placed_incarnation(&task_ref, &id).is_some();
            if was_stopped {
                self.carry_over(now_us, &task_ref, &id, RestartEffect::MayArrive);
            } else if effect != RestartEffect::Lost {
                self.carry_over(now_us, &task_ref, &id, effect);
            }
        }
        self.attach_unattached(now_us, &id);
        self.open_session(&id);
        self.actions.push(Action::RaiseFence { worker: id });
    }

    /// Notes that calls to a worker carry a higher fencing token from now on.
    pub(crate) fn fence_raised(&mut self, now_us: u64, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.fence_raised_us = Some(now_us);
        }
    }

    /// Notes the answer to a hold request that was sent at `sent_us`. If it carried the raised fencing token, the worker
    /// refuses all calls that were meant for its former incarnations, so that these grant no more leases.
    pub(super) fn confirm_fence(&mut self, now_us: u64, sent_us: u64, id: &str) {
        let lease_end_us = now_us + self.longest_lease_wait_us();
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.fence_raised_us.take_if(|raised_us| *raised_us <= sent_us).is_some() {
            worker.unknown_lease_end_us = worker.unknown_lease_end_us.min(lease_end_us);
            worker.needs_fence = false;
            self.wants_placement = true;
        }
    }

    /// Notes the clock that an answer to an order shows. If it cannot be that of the known incarnation, the worker is asked
    /// at once, and gets nothing meanwhile that is meant for the known one.
    pub(super) fn note_clock(&mut self, now_us: u64, id: &Arc<str>, outcome: &OrderOutcome) {
        let OrderOutcome::Accepted { clock_ms: Some(clock_ms) } = outcome else { return };
        let Some(worker) = self.workers.get_mut(id).filter(|worker| worker.is_synced) else { return };
        if worker.may_be_own_clock(now_us, *clock_ms) || worker.suspected_restart_us.is_some() {
            return;
        }
        log::warn!(
            "worker={id} clock_ms={clock_ms} known_clock_ms={} started_unix_ms={} outcome=restart_suspected",
            worker.uptime_ms(),
            worker.entry.started_unix_ms
        );
        worker.suspected_restart_us = Some(now_us);
        worker.next_hold_us = now_us;
        self.wake_session(id.clone());
    }

    /// What the restart of a worker means for each run placed on it.
    fn restart_effects(&self, id: &Arc<str>, list: Option<FirstList<'_>>) -> Vec<(TaskRef, RestartEffect)> {
        // A list that is not complete may lack a run of the new incarnation.
        let requested_us = list.filter(|list| list.answer.is_complete).map(|list| list.requested_us);
        let observation = Observation::WorkerRestarted { requested_us };
        let mut effects = Vec::new();
        for task_ref in self.workers.get(id).into_iter().flat_map(|worker| &worker.tasks) {
            let Some(task) = self.jobs.get(&task_ref.job).and_then(|job| job.task(task_ref)) else { continue };
            let Some(placed) = task.run_on(id) else { continue };
            let effect = match (self.run_over(&placed, observation), placed.phase) {
                _ if list.is_some_and(|list| list.contains(task_ref, placed.run)) => RestartEffect::Listed,
                (Some(_), _) => RestartEffect::Lost,
                (None, RunPhase::Ordered | RunPhase::Running { .. }) => RestartEffect::Undecided,
                (None, RunPhase::Unanswered { since_us }) if requested_us.is_none_or(|sent_us| sent_us <= since_us) => {
                    RestartEffect::Undecided
                }
                (None, _) => RestartEffect::MayArrive,
            };
            effects.push((task_ref.clone(), effect));
        }
        effects
    }

    fn log_restart(&self, now_us: u64, entry: &WorkerEntry, effects: &[(TaskRef, RestartEffect)]) {
        let Some(former) = self.workers.get(&entry.id) else { return };
        let count = |wanted| effects.iter().filter(|(_, effect)| *effect == wanted).count();
        log::warn!(
            "worker={} started_unix_ms={} former={} cause={} lost={} may_arrive={} undecided={} listed={} list_age_ms={} \
             outcome=restarted",
            entry.id,
            entry.started_unix_ms,
            former.entry.started_unix_ms,
            self.restart_cause(&entry.id).label(),
            count(RestartEffect::Lost),
            count(RestartEffect::MayArrive),
            count(RestartEffect::Undecided),
            count(RestartEffect::Listed),
            self.list_age_ms(now_us, &entry.id)
        );
    }

    /// Replaces the state of a worker by that of a new incarnation.
    fn replace_incarnation(&mut self, now_us: u64, entry: WorkerEntry) {
        let is_cordoned = self.is_on_leaving_host(&entry);
        let Some(former) = self.remove_worker(&entry.id) else { return };
        let mut worker = Worker::new(now_us, entry);
        worker.has_session = former.has_session;
        worker.is_cordoned = is_cordoned;
        worker.unknown_lease_end_us = self.lease_end_after_restart_us(now_us, &former);
        worker.starts_in_flight = former.starts_in_flight;
        worker.needs_fence = true;
        worker.former_starts_unix_ms = former.former_starts_unix_ms;
        worker.former_starts_unix_ms.push(former.entry.started_unix_ms);
        if worker.former_starts_unix_ms.len() > MAX_FORMER_STARTS {
            worker.former_starts_unix_ms.remove(0);
        }
        self.insert_worker(worker);
    }

    /// Moves a run to the worker's new incarnation, and stops it there unless it is known to be there.
    fn carry_over(&mut self, now_us: u64, task_ref: &TaskRef, id: &Arc<str>, effect: RestartEffect) {
        let Some(incarnation) = self.workers.get(id).map(Worker::incarnation) else { return };
        let Some(task) = self.jobs.get_mut(&task_ref.job).and_then(|job| job.task_mut(task_ref)) else { return };
        let late_starts_until_us = task.late_starts_until_us();
        let Some(placed) = task.run_on_mut(id) else { return };
        *placed.worker = incarnation.clone();
        *placed.report = RunReport { late_starts_until_us, ..RunReport::new(now_us) };
        let run = placed.run;
        if let RunPhase::Stopping { acknowledged_us, .. } = placed.phase {
            *acknowledged_us = None;
            self.push_stop(id, task_ref, run, StopReason::Restarted);
        }
        self.attach(task_ref, &incarnation);
        self.mark_dirty(&task_ref.job);
        // Otherwise the next list decides.
        if effect == RestartEffect::MayArrive && self.may_disrupt(now_us, task_ref, StopReason::Restarted) {
            self.order_stop(now_us, task_ref, id, StopReason::Restarted);
        }
    }
}
