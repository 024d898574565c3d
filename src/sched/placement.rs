//! Which work item starts next, and on which worker.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::action::Action;
use super::job::{Job, Prospect, RunPhase, TaskState};
use super::model::{JobId, Resources, Step, TaskRef};
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
/// Work items that one round places at most, so that a round stays short.
const MAX_PLACED_PER_ROUND: usize = 400;

/// Order in which jobs get workers; smaller goes first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Urgency {
    priority_of_late: (bool, u32),
    prospect: Prospect,
    id: JobId,
}

/// One round of placing in one pool.
#[derive(Debug)]
struct Round {
    /// Work items that may still be placed.
    left: usize,
    /// Needs for which no worker had room.
    too_large: Vec<Resources>,
}

impl Scheduler {
    /// Places what can start now.
    pub(super) fn place(&mut self, now_us: u64) {
        if !self.wants_placement || now_us < self.place_at_us || self.lease_until_us(now_us) <= now_us {
            return;
        }
        self.wants_placement = false;
        self.place_at_us = now_us + ROUND_GAP_MS * US_PER_MS;
        let mut by_pool: BTreeMap<Arc<str>, Vec<Urgency>> = BTreeMap::new();
        for id in &self.ready {
            let Some(job) = self.jobs.get(id) else { continue };
            let queue = self.queue_of(job);
            by_pool.entry(queue.pool.clone()).or_default().push(self.urgency(now_us, job, queue.priority));
        }
        for (pool, mut jobs) in by_pool {
            let mut workers: Vec<Arc<str>> = Vec::new();
            for worker in self.workers.values() {
                if worker.entry.pool == pool && worker.takes_work(now_us) {
                    workers.push(worker.entry.id.clone());
                }
            }
            if workers.is_empty() {
                continue;
            }
            jobs.sort();
            let mut round = Round { left: MAX_PLACED_PER_ROUND, too_large: Vec::new() };
            for urgency in jobs {
                self.place_job(now_us, &urgency.id, &workers, &mut round);
                if round.left == 0 {
                    self.wants_placement = true;
                    break;
                }
            }
        }
    }

    fn urgency(&self, now_us: u64, job: &Job, priority: u32) -> Urgency {
        let prospect = job.prospect(now_us);
        Urgency { priority_of_late: (!prospect.claims_hosts(), priority), prospect, id: job.id.clone() }
    }

    fn place_job(&mut self, now_us: u64, id: &JobId, workers: &[Arc<str>], round: &mut Round) {
        let Some(job) = self.jobs.get(id) else { return };
        let spec = job.spec.clone();
        let needs_advice = self.queue_of(job).advice.is_some();
        let numbers: Vec<u32> = job.occurrences.keys().copied().collect();
        for number in numbers {
            for (index, step) in spec.steps.iter().enumerate() {
                let Some(job) = self.jobs.get(id) else { return };
                if !job.is_step_open(number, index) {
                    continue;
                }
                let (waiting, has_paused) = waiting_tasks(job, number, index, now_us);
                self.wants_placement |= has_paused;
                if waiting.is_empty() {
                    continue;
                }
                let allowed = match needs_advice {
                    true => self.advised(now_us, id, number, index, workers),
                    false => workers.to_vec(),
                };
                if step.gang {
                    self.place_gang(now_us, &waiting, step, &allowed);
                } else {
                    self.place_tasks(now_us, &waiting, step, &allowed, round);
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
        self.refresh(id);
        self.wants_placement = wants_placement;
    }

    fn place_tasks(&mut self, now_us: u64, waiting: &[TaskRef], step: &Step, workers: &[Arc<str>], round: &mut Round) {
        let needs = step.reserved();
        if round.too_large.iter().any(|failed| failed.fits_in(&needs)) {
            return;
        }
        let mut placed = 0;
        let mut per_worker = self.members_per_worker(&waiting[0]);
        for at in waiting {
            if round.left == 0 {
                break;
            }
            let Some(worker) = self.choose(at, step, workers, &per_worker) else {
                if step.has_no_wishes() {
                    round.too_large.push(needs);
                }
                break;
            };
            *per_worker.entry(worker.clone()).or_default() += 1;
            let run = self.jobs.get(&at.job).and_then(|job| job.task(at)).map_or(1, |task| task.run + 1);
            self.assign(now_us, at, &worker, run);
            round.left -= 1;
            placed += 1;
        }
        if placed > 0 {
            let at = &waiting[0];
            log::info!(
                "job={} step={}.{} placed={placed} waiting={} outcome=placed",
                at.job,
                at.occurrence,
                at.step,
                waiting.len() - placed
            );
        }
    }

    /// Places all members of a gang, or none.
    fn place_gang(&mut self, now_us: u64, waiting: &[TaskRef], step: &Step, workers: &[Arc<str>]) {
        if waiting.len() < step.count as usize {
            return;
        }
        let racks = self.racks(step, workers);
        for workers in racks {
            if self.try_gang(now_us, waiting, step, &workers) {
                return;
            }
        }
    }

    /// Sets of workers on which a gang may be placed, best first.
    fn racks(&self, step: &Step, workers: &[Arc<str>]) -> Vec<Vec<Arc<str>>> {
        let mut sets = Vec::new();
        if step.same_rack {
            let mut by_rack: BTreeMap<Option<Arc<str>>, Vec<Arc<str>>> = BTreeMap::new();
            for id in workers {
                let rack = self.workers.get(id).and_then(|worker| worker.rack().cloned());
                by_rack.entry(rack).or_default().push(id.clone());
            }
            sets.extend(by_rack.into_values());
        }
        sets.push(workers.to_vec());
        sets
    }

    fn try_gang(&mut self, now_us: u64, waiting: &[TaskRef], step: &Step, workers: &[Arc<str>]) -> bool {
        let mut per_worker = HashMap::new();
        let mut chosen = Vec::new();
        let saved: Vec<(Arc<str>, Worker)> =
            workers.iter().filter_map(|id| Some((id.clone(), self.workers.get(id)?.clone()))).collect();
        for at in waiting {
            let Some(worker) = self.choose(at, step, workers, &per_worker) else { break };
            *per_worker.entry(worker.clone()).or_default() += 1;
            if let Some(state) = self.workers.get_mut(&worker) {
                state.reserved.add(&step.reserved());
            }
            chosen.push(worker);
        }
        for (id, worker) in saved {
            self.workers.insert(id, worker);
        }
        if chosen.len() < waiting.len() {
            return false;
        }
        let Some(job) = self.jobs.get(&waiting[0].job) else { return false };
        let run = waiting.iter().filter_map(|at| job.task(at)).map(|task| task.run + 1).max().unwrap_or(1);
        // All members resume from the same point.
        let checkpoint = waiting.iter().filter_map(|at| job.task(at)).map(|task| task.checkpoint.clone());
        let checkpoint = checkpoint.max().unwrap_or_else(|| Arc::from(""));
        for (at, worker) in waiting.iter().zip(chosen) {
            if let Some(task) = self.jobs.get_mut(&at.job).and_then(|job| job.task_mut(at)) {
                task.checkpoint = checkpoint.clone();
            }
            self.assign(now_us, at, &worker, run);
        }
        true
    }

    /// How many work items of the same step and occurrence each worker has.
    fn members_per_worker(&self, at: &TaskRef) -> HashMap<Arc<str>, u32> {
        let mut counts = HashMap::new();
        let Some(job) = self.jobs.get(&at.job) else { return counts };
        let Some(occurrence) = job.occurrences.get(&at.occurrence) else { return counts };
        for task in &occurrence.steps[at.step as usize].tasks {
            if let Some(life) = task.life() {
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
        workers: &[Arc<str>],
        per_worker: &HashMap<Arc<str>, u32>,
    ) -> Option<Arc<str>> {
        let task = self.jobs.get(&at.job)?.task(at)?;
        let reserved = step.reserved();
        let mut best: Option<(Score, &Arc<str>)> = None;
        for id in workers {
            let Some(worker) = self.workers.get(id) else { continue };
            if !reserved.fits_in(&worker.room()) {
                continue;
            }
            if step.required_label.as_ref().is_some_and(|label| !worker.entry.labels.contains(label)) {
                continue;
            }
            let members = per_worker.get(id).copied().unwrap_or(0);
            if step.max_per_worker.is_some_and(|most| members >= most) {
                continue;
            }
            // Work that fills disturbs work that serves: they are kept apart.
            if (step.fills && worker.serving > 0) || (step.target_ms.is_some() && worker.filling > 0) {
                continue;
            }
            let score = score(worker, step, task.avoid.contains(id), members);
            if best.as_ref().is_none_or(|(known, _)| score < *known) {
                best = Some((score, id));
            }
        }
        best.map(|(_, id)| id.clone())
    }

    /// Places a work item; its order goes out once that is written.
    fn assign(&mut self, now_us: u64, at: &TaskRef, worker: &Arc<str>, run: u32) {
        let Some(life) = self.workers.get(worker).map(Worker::life) else { return };
        let Some(task) = self.jobs.get_mut(&at.job).and_then(|job| job.task_mut(at)) else { return };
        task.run = run;
        task.percent = 0;
        task.percent_since_us = now_us;
        task.state = TaskState::Placed { at: life.clone(), phase: RunPhase::Writing };
        self.attach(at, &life);
        log::debug!("job={} task={}.{}.{} run={run} worker={worker}", at.job, at.occurrence, at.step, at.index);
        self.note_intent(at, run);
    }

    /// Workers whose tickets for a step hold; asks for advice about others.
    fn advised(&mut self, now_us: u64, id: &JobId, number: u32, step: usize, workers: &[Arc<str>]) -> Vec<Arc<str>> {
        let mut ask = Vec::new();
        let Some(job) = self.jobs.get_mut(id) else { return Vec::new() };
        let Some(occurrence) = job.occurrences.get_mut(&number) else { return Vec::new() };
        let needs = job.spec.steps[step].reserved();
        let advice = &mut occurrence.steps[step].advice;
        advice.tickets.retain(|(_, _, until_us)| *until_us > now_us + TICKET_MARGIN_MS * US_PER_MS);
        let allowed: Vec<Arc<str>> = advice.tickets.iter().map(|(worker, _, _)| worker.clone()).collect();
        let has_room = |id: &Arc<str>| self.workers.get(id).is_some_and(|worker| needs.fits_in(&worker.room()));
        let usable: Vec<Arc<str>> = allowed.into_iter().filter(|id| workers.contains(id)).collect();
        if !usable.iter().any(has_room) && !advice.asking && now_us >= advice.ask_again_us {
            for id in workers {
                if !advice.refused.contains(id) && !usable.contains(id) && has_room(id) && ask.len() < MAX_ADVISED {
                    ask.push(id.clone());
                }
            }
        }
        if !ask.is_empty() {
            advice.asking = true;
            self.actions.push(Action::AskAdvice {
                job: id.clone(),
                occurrence: number,
                step: step as u32,
                workers: ask,
            });
        }
        usable
    }

    /// Takes the advice service's answer, or the fact that there is none.
    pub(crate) fn advice_ended(
        &mut self,
        now_us: u64,
        step: (&JobId, u32, u32),
        asked: &[Arc<str>],
        tickets: Option<(&[(Arc<str>, Arc<str>)], Option<u64>)>,
    ) {
        let (id, number, step) = step;
        let valid_ms = self.jobs.get(id).and_then(|job| self.queue_of(job).advice).map_or(0, |advice| advice.valid_ms);
        let Some(occurrence) = self.jobs.get_mut(id).and_then(|job| job.occurrences.get_mut(&number)) else { return };
        let advice = &mut occurrence.steps[step as usize].advice;
        advice.asking = false;
        advice.ask_again_us = now_us + ADVICE_PAUSE_MS * US_PER_MS;
        let Some((tickets, told_valid_ms)) = tickets else { return };
        let until_us = now_us + told_valid_ms.unwrap_or(valid_ms) * US_PER_MS;
        for worker in asked {
            match tickets.iter().find(|(id, _)| id == worker) {
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

/// Smaller is better.
#[derive(Debug, PartialEq, PartialOrd)]
struct Score {
    /// It failed there before.
    is_avoided: bool,
    is_far_from_data: bool,
    /// Members of the same step there; a loss of one worker should not take many.
    members: u32,
    /// Work that lasts keeps a host from being moved: it gathers where there is some already.
    lasting: Reverse<u32>,
    failure_tenths: u32,
    /// Room left afterwards: full workers leave others free to be moved away.
    room_left_milli: u64,
}

fn score(worker: &Worker, step: &Step, is_avoided: bool, members: u32) -> Score {
    let is_far_from_data = step.data_rack.as_ref().is_some_and(|rack| worker.rack() != Some(rack));
    Score {
        is_avoided,
        is_far_from_data,
        members: if step.long_running { members } else { 0 },
        lasting: Reverse(if step.long_running { worker.lasting.min(1) } else { 0 }),
        failure_tenths: (worker.failure_average() * 10.0) as u32,
        room_left_milli: worker.room().cpu_milli.saturating_sub(step.reserved().cpu_milli),
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
