//! Tickets of the advice service, which decides for some queues on which workers a step may run.

use std::sync::Arc;

use super::action::Action;
use super::candidate::Candidate;
use super::model::{Advice, JobId, TaskRef};
use super::scheduler::Scheduler;
use crate::clock::US_PER_MS;

/// Maximum number of workers named in one request to the advice service.
const MAX_WORKERS_PER_ADVICE_REQUEST: usize = 30;
/// Delay before the advice service is asked about a step again.
const ADVICE_RETRY_DELAY_MS: u64 = 300;
/// A ticket is used only if it remains valid for longer than this.
const TICKET_MARGIN_MS: u64 = 150;

impl Scheduler {
    /// Workers with a valid ticket for a step. If none of them has capacity, asks the advice service about workers that
    /// do.
    pub(super) fn workers_with_ticket(
        &mut self,
        now_us: u64,
        id: &JobId,
        number: u32,
        step: usize,
        workers: &[Candidate],
    ) -> Vec<Arc<str>> {
        let mut to_ask = Vec::new();
        let Some(job) = self.jobs.get_mut(id) else { return Vec::new() };
        let Some(occurrence) = job.occurrences.get_mut(&number) else { return Vec::new() };
        let needs = job.spec.steps[step].reserved();
        let advice = &mut occurrence.steps[step].advice;
        advice.tickets.retain(|(_, _, until_us)| *until_us > now_us + TICKET_MARGIN_MS * US_PER_MS);
        let allowed: Vec<Arc<str>> = advice.tickets.iter().map(|(worker, _, _)| worker.clone()).collect();
        let with_capacity =
            workers.iter().filter(|worker| needs.fits_in(&worker.free_capacity)).map(|worker| &worker.id);
        let has_allowed = with_capacity.clone().any(|id| allowed.contains(id));
        if !has_allowed && !advice.is_requested && now_us >= advice.next_request_us {
            for id in with_capacity {
                if !advice.refused.contains(id) && to_ask.len() < MAX_WORKERS_PER_ADVICE_REQUEST {
                    to_ask.push(id.clone());
                }
            }
        }
        if !to_ask.is_empty() {
            advice.is_requested = true;
            self.actions.push(Action::RequestAdvice {
                job: id.clone(),
                occurrence: number,
                step: step as u32,
                workers: to_ask,
            });
        }
        allowed
    }

    /// Handles the advice service's answer about a step, given as job ID, occurrence and step index. The answer is
    /// `None` if the request failed.
    pub(crate) fn on_advice_answer(
        &mut self,
        now_us: u64,
        step: (&JobId, u32, u32),
        asked: &[Arc<str>],
        answer: Option<&Advice>,
    ) {
        let (id, number, step) = step;
        let valid_ms = self.jobs.get(id).and_then(|job| job.queue.advice).map_or(0, |advice| advice.valid_ms);
        let Some(occurrence) = self.jobs.get_mut(id).and_then(|job| job.occurrences.get_mut(&number)) else { return };
        let advice = &mut occurrence.steps[step as usize].advice;
        advice.is_requested = false;
        advice.next_request_us = now_us + ADVICE_RETRY_DELAY_MS * US_PER_MS;
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

    /// A valid ticket for starting a task on a worker.
    pub(super) fn ticket(&self, now_us: u64, task_ref: &TaskRef, worker: &Arc<str>) -> Option<Arc<str>> {
        let occurrence = self.jobs.get(&task_ref.job)?.occurrences.get(&task_ref.occurrence)?;
        let tickets = &occurrence.steps[task_ref.step as usize].advice.tickets;
        let held = tickets.iter().rev().find(|(id, _, until_us)| id == worker && *until_us > now_us);
        held.map(|(_, ticket, _)| ticket.clone())
    }

    /// Discards a worker's tickets for a step after the worker rejected one.
    pub(super) fn drop_ticket(&mut self, task_ref: &TaskRef, worker: &Arc<str>) {
        let Some(job) = self.jobs.get_mut(&task_ref.job) else { return };
        let Some(occurrence) = job.occurrences.get_mut(&task_ref.occurrence) else { return };
        occurrence.steps[task_ref.step as usize].advice.tickets.retain(|(id, _, _)| id != worker);
    }
}
