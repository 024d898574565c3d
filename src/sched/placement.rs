//! Which work item starts next, and on which worker.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::action::Action;
use super::candidate::{racks, score, Candidate, Round, Score};
use super::job::{DeadlineForecast, Job, RunPhase, TaskState};
use super::model::{Advice, JobId, Resources, Step, TaskRef};
use super::scheduler::Scheduler;
use super::worker::Worker;
use crate::clock::US_PER_MS;

/// Workers about which advice is asked in one call.
const MAX_ADVISED: usize = 30;
/// Pause before advice is asked again after it failed or allowed nobody with room.
const ADVICE_PAUSE_MS: u64 = 300;
/// A ticket must hold at least this long to be used.
const TICKET_MARGIN_MS: u64 = 150;
/// Least time between two rounds, in which ends and arrivals gather.
const ROUND_GAP_MS: u64 = 8;
/// A longer list of jobs is gone through less often.
const READY_JOBS_PER_MS: u64 = 16;
/// Jobs in a row for which there was no room, after which a round ends.
const MAX_WITHOUT_ROOM: u32 = 48;
/// Work items that one round places at most, so that a round stays short.
const MAX_PLACED_PER_ROUND: usize = 400;

/// Order in which jobs get workers; smaller goes first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Urgency {
    priority_of_late: (bool, u32),
    prospect: DeadlineForecast,
    id: JobId,
}

impl Scheduler {
    /// Places what can start now.
    pub(super) fn place(&mut self, now_us: u64) {
        if !self.wants_placement || now_us < self.place_at_us || self.lease_until_us(now_us) <= now_us {
            return;
        }
        self.wants_placement = false;
        let gap_ms = ROUND_GAP_MS + self.ready.len() as u64 / READY_JOBS_PER_MS;
        self.place_at_us = now_us + gap_ms * US_PER_MS;
        let mut by_pool: BTreeMap<Arc<str>, Vec<Urgency>> = BTreeMap::new();
        for id in &self.ready {
            let Some(job) = self.jobs.get(id) else { continue };
            let queue = self.queue_of(job);
            by_pool.entry(queue.pool.clone()).or_default().push(self.urgency(now_us, job, queue.priority));
        }
        for (pool, mut jobs) in by_pool {
            let mut workers = self.candidates(now_us, &pool);
            if workers.is_empty() {
                continue;
            }
            jobs.sort();
            let mut round = Round { left: MAX_PLACED_PER_ROUND, too_large: Vec::new(), without_room: 0 };
            for urgency in jobs {
                self.place_job(now_us, &urgency.id, &mut workers, &mut round);
                if round.without_room >= MAX_WITHOUT_ROOM {
                    break;
                }
                if round.left == 0 {
                    self.wants_placement = true;
                    break;
                }
            }
        }
    }

    fn urgency(&self, now_us: u64, job: &Job, priority: u32) -> Urgency {
        let prospect = job.deadline_forecast(now_us);
        // Work that lasts is owed at all times, whatever its queue.
        let priority = if prospect == DeadlineForecast::LongRunning { 0 } else { priority };
        Urgency { priority_of_late: (!prospect.claims_hosts(), priority), prospect, id: job.id.clone() }
    }

    /// Workers of a pool that take work, with what matters for a choice.
    pub(super) fn candidates(&self, now_us: u64, pool: &str) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        for worker in self.workers.values() {
            if &*worker.entry.pool != pool || !worker.accepts_new_tasks(now_us) {
                continue;
            }
            candidates.push(Candidate {
                id: worker.entry.id.clone(),
                room: worker.free_capacity(),
                room_beside_lasting: worker.capacity_beside_long_running(),
                labels: worker.entry.labels.clone(),
                lasting: worker.long_running_count,
                serving: worker.serving_count,
                filling: worker.best_effort_count,
                failure_tenths: (worker.failure_average() * 10.0) as u32,
                is_allowed: true,
            });
        }
        candidates
    }

    fn place_job(&mut self, now_us: u64, id: &JobId, workers: &mut [Candidate], round: &mut Round) {
        let Some(job) = self.jobs.get(id) else { return };
        let spec = job.spec.clone();
        let needs_advice = self.queue_of(job).advice.is_some();
        let numbers: Vec<u32> = job.occurrences.keys().copied().collect();
        for number in numbers {
            for (index, step) in spec.steps.iter().enumerate() {
                let Some(job) = self.jobs.get(id) else { return };
                if !job.is_step_unblocked(number, index) {
                    continue;
                }
                if !step.gang && !round.may_fit(&step.reserved()) {
                    round.without_room += 1;
                    continue;
                }
                let (waiting, has_paused) = waiting_tasks(job, number, index, now_us);
                self.wants_placement |= has_paused;
                if waiting.is_empty() {
                    continue;
                }
                if needs_advice {
                    let allowed = self.advised(now_us, id, number, index, workers);
                    for worker in workers.iter_mut() {
                        worker.is_allowed = allowed.contains(&worker.id);
                    }
                }
                if step.gang {
                    self.place_gang(now_us, &waiting, step, workers);
                } else {
                    self.place_tasks(now_us, &waiting, step, workers, round);
                }
                if needs_advice {
                    workers.iter_mut().for_each(|worker| worker.is_allowed = true);
                }
                if round.left == 0 {
                    return;
                }
            }
        }
        self.refresh_ready(id);
    }

    fn refresh_ready(&mut self, id: &JobId) {
        let wants_placement = self.wants_placement;
        self.refresh_job(id);
        self.wants_placement = wants_placement;
    }

    fn place_tasks(
        &mut self,
        now_us: u64,
        waiting: &[TaskRef],
        step: &Step,
        workers: &mut [Candidate],
        round: &mut Round,
    ) {
        let needs = step.reserved();
        let mut chosen: Vec<Arc<str>> = Vec::new();
        let mut members = self.members(&waiting[0], step);
        for at in waiting {
            if round.left == 0 {
                break;
            }
            let Some(index) = self.choose(at, step, workers, &members) else {
                if step.long_running {
                    keep_room(step, workers, &members);
                }
                if step.has_no_placement_constraints() && workers.iter().all(|worker| worker.is_allowed) {
                    round.note_too_large(needs);
                    round.without_room += 1;
                }
                break;
            };
            workers[index].take(step);
            let worker = workers[index].id.clone();
            *members.entry(worker.clone()).or_default() += 1;
            let run = self.jobs.get(&at.job).and_then(|job| job.task(at)).map_or(1, |task| task.run + 1);
            self.assign(now_us, at, &worker, run);
            round.note_placed();
            chosen.push(worker);
        }
        if let Some(at) = waiting.first().filter(|_| !chosen.is_empty()) {
            log::info!(
                "job={} step={}.{} placed={} waiting={} workers={} outcome=placed",
                at.job,
                at.occurrence,
                at.step,
                chosen.len(),
                waiting.len() - chosen.len(),
                chosen.join(",")
            );
        }
    }

    /// Places all members of a gang, or none.
    fn place_gang(&mut self, now_us: u64, waiting: &[TaskRef], step: &Step, workers: &mut [Candidate]) {
        if waiting.len() < step.count as usize {
            return;
        }
        let needed_milli = step.reserved().cpu_milli * u64::from(step.count);
        for rack in racks(step, workers) {
            let mut trial = workers.to_vec();
            for worker in &mut trial {
                worker.is_allowed &= rack.is_none() || worker.labels.last() == rack.as_ref();
            }
            let allowed = trial.iter().filter(|worker| worker.is_allowed);
            if allowed.map(|worker| worker.room.cpu_milli).sum::<u64>() < needed_milli {
                continue;
            }
            let Some(chosen) = self.choose_gang(waiting, step, &mut trial) else { continue };
            self.assign_gang(now_us, waiting, &chosen);
            for (worker, tried) in workers.iter_mut().zip(trial) {
                *worker = Candidate { is_allowed: worker.is_allowed, ..tried };
            }
            return;
        }
    }

    fn choose_gang(&self, waiting: &[TaskRef], step: &Step, workers: &mut [Candidate]) -> Option<Vec<Arc<str>>> {
        let mut members = HashMap::new();
        let mut chosen = Vec::new();
        for at in waiting {
            let index = self.choose(at, step, workers, &members)?;
            workers[index].take(step);
            *members.entry(workers[index].id.clone()).or_default() += 1;
            chosen.push(workers[index].id.clone());
        }
        Some(chosen)
    }

    fn assign_gang(&mut self, now_us: u64, waiting: &[TaskRef], chosen: &[Arc<str>]) {
        let Some(job) = self.jobs.get(&waiting[0].job) else { return };
        let run = waiting.iter().filter_map(|at| job.task(at)).map(|task| task.run + 1).max().unwrap_or(1);
        // All members resume from the same point.
        let checkpoint = waiting.iter().filter_map(|at| job.task(at)).map(|task| task.checkpoint.clone());
        let checkpoint = checkpoint.max().unwrap_or_else(|| Arc::from(""));
        for (at, worker) in waiting.iter().zip(chosen) {
            if let Some(task) = self.jobs.get_mut(&at.job).and_then(|job| job.task_mut(at)) {
                task.checkpoint = checkpoint.clone();
            }
            self.assign(now_us, at, worker, run);
        }
    }

    /// How many work items of the same step and occurrence each worker has, where that matters.
    pub(super) fn members(&self, at: &TaskRef, step: &Step) -> HashMap<Arc<str>, u32> {
        let mut counts = HashMap::new();
        if step.max_per_worker.is_none() && !step.long_running {
            return counts;
        }
        let Some(job) = self.jobs.get(&at.job) else { return counts };
        let Some(occurrence) = job.occurrences.get(&at.occurrence) else { return counts };
        for task in &occurrence.steps[at.step as usize].tasks {
            if let Some(life) = task.placed_on() {
                *counts.entry(life.id.clone()).or_default() += 1;
            }
        }
        counts
    }

    /// The best worker for a work item among those with room.
    fn choose(
        &self,
        at: &TaskRef,
        step: &Step,
        workers: &[Candidate],
        members: &HashMap<Arc<str>, u32>,
    ) -> Option<usize> {
        let task = self.jobs.get(&at.job)?.task(at)?;
        let reserved = step.reserved();
        let mut best: Option<(Score, usize)> = None;
        for (index, worker) in workers.iter().enumerate() {
            let members = members.get(&worker.id).copied().unwrap_or(0);
            if !reserved.fits_in(&worker.room) || !worker.admits(step, members) {
                continue;
            }
            let score = score(worker, step, task.avoided_workers.contains(&worker.id), members);
            if best.as_ref().is_none_or(|(known, _)| score < *known) {
                best = Some((score, index));
            }
        }
        best.map(|(_, index)| index)
    }

    /// Places a work item; its order goes out once that is written.
    fn assign(&mut self, now_us: u64, at: &TaskRef, worker: &Arc<str>, run: u32) {
        let Some(life) = self.workers.get(worker).map(Worker::incarnation) else { return };
        let Some(task) = self.jobs.get_mut(&at.job).and_then(|job| job.task_mut(at)) else { return };
        task.run = run;
        task.percent = 0;
        task.percent_since_us = now_us;
        task.state = TaskState::Placed { worker: life.clone(), phase: RunPhase::Persisting };
        self.attach(at, &life);
        log::debug!("job={} task={}.{}.{} run={run} worker={worker}", at.job, at.occurrence, at.step, at.index);
        self.push_intent(at, run);
    }

    /// Workers whose tickets for a step hold; asks for advice about others.
    fn advised(&mut self, now_us: u64, id: &JobId, number: u32, step: usize, workers: &[Candidate]) -> Vec<Arc<str>> {
        let mut ask = Vec::new();
        let Some(job) = self.jobs.get_mut(id) else { return Vec::new() };
        let Some(occurrence) = job.occurrences.get_mut(&number) else { return Vec::new() };
        let needs = job.spec.steps[step].reserved();
        let advice = &mut occurrence.steps[step].advice;
        advice.tickets.retain(|(_, _, until_us)| *until_us > now_us + TICKET_MARGIN_MS * US_PER_MS);
        let allowed: Vec<Arc<str>> = advice.tickets.iter().map(|(worker, _, _)| worker.clone()).collect();
        let with_room = workers.iter().filter(|worker| needs.fits_in(&worker.room)).map(|worker| &worker.id);
        let has_allowed = with_room.clone().any(|id| allowed.contains(id));
        if !has_allowed && !advice.is_requested && now_us >= advice.next_request_us {
            for id in with_room {
                if !advice.refused.contains(id) && ask.len() < MAX_ADVISED {
                    ask.push(id.clone());
                }
            }
        }
        if !ask.is_empty() {
            advice.is_requested = true;
            self.actions.push(Action::RequestAdvice {
                job: id.clone(),
                occurrence: number,
                step: step as u32,
                workers: ask,
            });
        }
        allowed
    }

    /// Takes the advice service's answer, or the fact that there is none.
    pub(crate) fn advice_ended(
        &mut self,
        now_us: u64,
        step: (&JobId, u32, u32),
        asked: &[Arc<str>],
        answer: Option<&Advice>,
    ) {
        let (id, number, step) = step;
        let valid_ms = self.jobs.get(id).and_then(|job| self.queue_of(job).advice).map_or(0, |advice| advice.valid_ms);
        let Some(occurrence) = self.jobs.get_mut(id).and_then(|job| job.occurrences.get_mut(&number)) else { return };
        let advice = &mut occurrence.steps[step as usize].advice;
        advice.is_requested = false;
        advice.next_request_us = now_us + ADVICE_PAUSE_MS * US_PER_MS;
        let Some(answer) = answer else { return };
        let until_us = now_us + answer.valid_ms.unwrap_or(valid_ms) * US_PER_MS;
        for worker in asked {
            match answer.tickets.iter().find(|(id, _)| id == worker) {
                Some((_, ticket)) => advice.tickets.push((worker.clone(), ticket.clone(), until_us)),
                None => advice.refused.push(worker.clone()),
            }
        }
        self.wants_placement = true;
    }

    /// The ticket with which a work item starts on a worker.
    pub(super) fn ticket(&self, now_us: u64, at: &TaskRef, worker: &Arc<str>) -> Option<Arc<str>> {
        let occurrence = self.jobs.get(&at.job)?.occurrences.get(&at.occurrence)?;
        let tickets = &occurrence.steps[at.step as usize].advice.tickets;
        let held = tickets.iter().rev().find(|(id, _, until_us)| id == worker && *until_us > now_us);
        held.map(|(_, ticket, _)| ticket.clone())
    }

    /// A ticket was not accepted.
    pub(super) fn drop_ticket(&mut self, at: &TaskRef, worker: &Arc<str>) {
        let Some(job) = self.jobs.get_mut(&at.job) else { return };
        let Some(occurrence) = job.occurrences.get_mut(&at.occurrence) else { return };
        occurrence.steps[at.step as usize].advice.tickets.retain(|(id, _, _)| id != worker);
    }
}

/// Keeps all other work off the worker that will soonest have room for a work item that lasts. Small work would take
/// each piece of room as it becomes free, and the work item would wait for as long as there is any.
fn keep_room(step: &Step, workers: &mut [Candidate], members: &HashMap<Arc<str>, u32>) {
    let reserved = step.reserved();
    let mut best: Option<&mut Candidate> = None;
    for worker in workers {
        let members = members.get(&worker.id).copied().unwrap_or(0);
        if !reserved.fits_in(&worker.room_beside_lasting) || !worker.admits(step, members) {
            continue;
        }
        if best.as_ref().is_none_or(|known| worker.room.cpu_milli > known.room.cpu_milli) {
            best = Some(worker);
        }
    }
    if let Some(worker) = best {
        worker.room = Resources::default();
    }
}

/// Work items of a step that wait, and whether others wait for a pause to end.
fn waiting_tasks(job: &Job, number: u32, step: usize, now_us: u64) -> (Vec<TaskRef>, bool) {
    let mut waiting = Vec::new();
    let mut has_paused = false;
    let Some(occurrence) = job.occurrences.get(&number) else { return (waiting, has_paused) };
    for (index, task) in occurrence.steps[step].tasks.iter().enumerate() {
        if task.state != TaskState::Waiting {
            continue;
        }
        if now_us < task.not_before_us {
            has_paused = true;
            continue;
        }
        waiting.push(job.task_ref(number, step, index));
    }
    (waiting, has_paused)
}
