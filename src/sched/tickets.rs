//! Tickets of the advice service, which decides for some queues on which workers a step may run.

use std::sync::Arc;

use foldhash::{HashMap, HashSet};

use super::action::Action;
use super::candidate::{set_siblings, Candidate};
use super::job::{StepAdvice, TaskState, Ticket};
use super::model::{Advice, JobId, Step, TaskRef};
use super::organisation::Organisation;
use super::scheduler::Scheduler;
use crate::clock::US_PER_MS;

/// Maximum number of workers named in one request to the advice service.
const MAX_WORKERS_PER_REQUEST: usize = 100;
/// A request names at least this many workers, if there are as many that can take a task: some may be refused.
const MIN_WORKERS_PER_REQUEST: usize = 30;
/// Delay before the advice service is asked about a step again after a request that has brought no usable answer.
const REQUEST_RETRY_DELAY_MS: u64 = 300;
/// A ticket is used only if it remains valid for longer than this.
const TICKET_MARGIN_MS: u64 = 150;

impl StepAdvice {
    fn has_usable_ticket(&self, now_us: u64, worker: &str) -> bool {
        self.tickets.get(worker).is_some_and(|ticket| ticket.until_us > now_us + TICKET_MARGIN_MS * US_PER_MS)
    }
}

impl Scheduler {
    fn advice_of(&self, task_ref: &TaskRef) -> Option<&StepAdvice> {
        let occurrence = self.jobs.get(&task_ref.job)?.occurrences.get(&task_ref.occurrence)?;
        Some(&occurrence.steps[task_ref.step as usize].advice)
    }

    fn advice_of_mut(&mut self, task_ref: &TaskRef) -> Option<&mut StepAdvice> {
        let occurrence = self.jobs.get_mut(&task_ref.job)?.occurrences.get_mut(&task_ref.occurrence)?;
        Some(&mut occurrence.steps[task_ref.step as usize].advice)
    }

    /// Allows only the workers that have a ticket for the task's step.
    pub(super) fn allow_workers_with_ticket(&self, now_us: u64, task_ref: &TaskRef, workers: &mut [Candidate]) {
        let advice = self.advice_of(task_ref);
        for worker in workers {
            worker.is_allowed = advice.is_some_and(|advice| advice.has_usable_ticket(now_us, &worker.id));
        }
    }

    /// Asks the advice service about workers for the tasks of a step that have found none among the workers with a ticket.
    /// `workers` are as the placement of the step has left them; those with a ticket are allowed.
    pub(super) fn request_missing_tickets(
        &mut self,
        now_us: u64,
        tasks: &[TaskRef],
        (step, organisation): (&Step, Option<&Arc<Organisation>>),
        workers: &[Candidate],
    ) {
        let is_waiting = |task_ref: &&TaskRef| self.task(task_ref).is_some_and(|task| task.state == TaskState::Waiting);
        let waiting: Vec<TaskRef> = tasks.iter().filter(is_waiting).cloned().collect();
        let Some(first) = waiting.first() else { return };
        if !self.may_start_within_quota(now_us, organisation, first, step) {
            return;
        }
        self.request_tickets(now_us, &waiting, step, workers);
    }

    /// Asks the advice service about workers that could take the waiting tasks of a step if they had a ticket.
    pub(super) fn request_tickets(&mut self, now_us: u64, waiting: &[TaskRef], step: &Step, workers: &[Candidate]) {
        let Some(advice) = self.advice_of(&waiting[0]) else { return };
        if advice.is_requested {
            return;
        }
        if now_us < advice.next_request_us {
            self.placement_due_us = self.placement_due_us.min(advice.next_request_us);
            return;
        }
        let asked = match step.gang {
            true => self.workers_to_ask_for_gang(now_us, waiting, step, workers),
            false => self.workers_to_ask(now_us, waiting, step, workers),
        };
        if asked.is_empty() {
            return;
        }
        let Some(advice) = self.advice_of_mut(&waiting[0]) else { return };
        advice.is_requested = true;
        let TaskRef { job, occurrence, step, .. } = waiting[0].clone();
        self.actions.push(Action::RequestAdvice { job, occurrence, step, workers: asked });
    }

    /// Workers without a ticket that the waiting tasks would be placed on, and others that could take one of them.
    fn workers_to_ask(&self, now_us: u64, waiting: &[TaskRef], step: &Step, workers: &[Candidate]) -> Vec<Arc<str>> {
        let Some(advice) = self.advice_of(&waiting[0]) else { return Vec::new() };
        let is_unknown = |worker: &&Candidate| !worker.is_allowed && !advice.refused.contains(&worker.id);
        let mut trial: Vec<Candidate> = workers.iter().filter(is_unknown).cloned().collect();
        trial.iter_mut().for_each(|worker| worker.is_allowed = true);
        let siblings = self.siblings_per_worker(&waiting[0], step);
        set_siblings(&mut trial, &siblings);
        let has_free_capacity: Vec<bool> = trial.iter().map(|worker| worker.can_take(step)).collect();
        let mut asked = Asked::default();
        // Each of these tasks takes one worker at the most.
        for task_ref in waiting.iter().take(MAX_WORKERS_PER_REQUEST) {
            let Some(index) = self.choose(now_us, task_ref, step, &trial) else {
                if self.has_own_choice(now_us, task_ref) {
                    continue;
                }
                break;
            };
            self.reserve(task_ref, step, &mut trial[index]);
            trial[index].siblings += u32::from(step.has_placement_by_siblings());
            asked.add(&trial[index].id);
        }
        if asked.is_empty() && step.long_running && !has_reservable_worker(step, workers, &siblings) {
            // One of these is kept free for the task once it has a ticket.
            let reservable = trial.iter().filter(|worker| worker.can_ever_run(step, worker.siblings));
            asked.fill_up(reservable.map(|worker| &worker.id));
        } else if !asked.is_empty() {
            let others = trial.iter().zip(&has_free_capacity).filter(|(_, has_free_capacity)| **has_free_capacity);
            asked.fill_up(others.map(|(worker, _)| &worker.id));
        }
        asked.workers
    }

    /// Workers that a gang would be placed on, and others that could take one of its tasks. Those that have a ticket are
    /// asked about again, so that the tickets of the gang do not run out one after the other.
    fn workers_to_ask_for_gang(
        &self,
        now_us: u64,
        waiting: &[TaskRef],
        step: &Step,
        workers: &[Candidate],
    ) -> Vec<Arc<str>> {
        let Some(advice) = self.advice_of(&waiting[0]) else { return Vec::new() };
        let mut trial = workers.to_vec();
        trial.iter_mut().for_each(|worker| worker.is_allowed = !advice.refused.contains(&worker.id));
        let Some(mut gang) = self.find_gang(now_us, waiting, step, &trial).map(|(chosen, _)| chosen) else {
            return Vec::new();
        };
        // If the gang needs more workers than a request may name, those whose tickets last longest come last.
        gang.sort_by_key(|id| advice.tickets.get(id).map_or(0, |ticket| ticket.until_us));
        let mut asked = Asked::default();
        gang.iter().for_each(|id| asked.add(id));
        let others =
            trial.iter().filter(|worker| worker.can_take(step) && !advice.has_usable_ticket(now_us, &worker.id));
        asked.fill_up(others.map(|worker| &worker.id));
        asked.workers
    }

    /// Handles the advice service's answer about a step, given as job ID, occurrence and step index. The answer is
    /// `None` if the request failed.
    pub(crate) fn on_advice_answer(
        &mut self,
        now_us: u64,
        (job, occurrence, step): (&JobId, u32, u32),
        asked: &[Arc<str>],
        answer: Option<&Advice>,
    ) {
        let policy = self.jobs.get(job).and_then(|job| job.queue.advice);
        let task_ref = TaskRef { job: job.clone(), occurrence, step, index: 0 };
        let Some(advice) = self.advice_of_mut(&task_ref) else { return };
        advice.is_requested = false;
        let retry_us = now_us + REQUEST_RETRY_DELAY_MS * US_PER_MS;
        let Some(answer) = answer else {
            advice.next_request_us = retry_us;
            self.placement_due_us = self.placement_due_us.min(retry_us);
            return;
        };
        let valid_ms = answer.valid_ms.or(policy.map(|policy| policy.valid_ms)).unwrap_or(0);
        let until_us = now_us + valid_ms * US_PER_MS;
        // Tickets that are too short-lived to be used would be asked for again at once.
        advice.next_request_us = if valid_ms > TICKET_MARGIN_MS { now_us } else { retry_us };
        advice.tickets.retain(|_, ticket| ticket.until_us > now_us);
        for worker in asked {
            match answer.tickets.iter().find(|(id, _)| id == worker) {
                Some((_, text)) => {
                    advice.tickets.insert(worker.clone(), Ticket { text: text.clone(), until_us });
                }
                // The answer about a worker does not change.
                None => {
                    advice.refused.insert(worker.clone());
                }
            }
        }
        self.wants_placement = true;
    }

    /// A valid ticket for starting a task on a worker.
    pub(super) fn ticket(&self, now_us: u64, task_ref: &TaskRef, worker: &str) -> Option<Arc<str>> {
        let ticket = self.advice_of(task_ref)?.tickets.get(worker)?;
        (ticket.until_us > now_us).then(|| ticket.text.clone())
    }

    /// Discards a worker's ticket for a step after the worker rejected it.
    pub(super) fn drop_ticket(&mut self, task_ref: &TaskRef, worker: &str) {
        if let Some(advice) = self.advice_of_mut(task_ref) {
            advice.tickets.remove(worker);
        }
    }
}

/// Whether a worker with a ticket can be kept free for a task of a step. `siblings` holds the tasks of the step on each
/// worker.
fn has_reservable_worker(step: &Step, workers: &[Candidate], siblings: &HashMap<Arc<str>, u32>) -> bool {
    workers.iter().any(|worker| worker.can_ever_run(step, siblings.get(&worker.id).copied().unwrap_or(0)))
}

/// Workers that a request names, each once.
#[derive(Debug, Default)]
struct Asked {
    workers: Vec<Arc<str>>,
    known: HashSet<Arc<str>>,
}

impl Asked {
    fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Adds a worker, unless the request is full.
    fn add(&mut self, id: &Arc<str>) {
        if self.workers.len() < MAX_WORKERS_PER_REQUEST && self.known.insert(id.clone()) {
            self.workers.push(id.clone());
        }
    }

    /// Adds workers until the request names [`MIN_WORKERS_PER_REQUEST`].
    fn fill_up<'a>(&mut self, ids: impl Iterator<Item = &'a Arc<str>>) {
        for id in ids {
            if self.workers.len() >= MIN_WORKERS_PER_REQUEST {
                return;
            }
            self.add(id);
        }
    }
}
