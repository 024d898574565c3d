//! The advice service of the simulation: it handles one request at a time, and its tickets expire.

use std::collections::HashSet;
use std::sync::Arc;

use super::super::action::StartRun;
use super::super::model::{Advice, AdvicePolicy, Catalog, JobId, OrderRefusal, Queue};
use super::message::Message;
use super::{Sim, Violation, DELAY_US};
use crate::clock::US_PER_MS;

/// Maximum number of workers that a request may name.
const MAX_WORKERS: usize = 100;

/// How the advice service decides, and how long that takes.
#[derive(Debug, Clone, Default)]
pub(in crate::sched) struct AdviceService {
    pub(in crate::sched) decide_ms: u64,
    /// Additional time for each worker that a request names.
    pub(in crate::sched) each_ms: u64,
    pub(in crate::sched) valid_ms: u64,
    /// Workers that get no ticket.
    pub(in crate::sched) refused: HashSet<Arc<str>>,
    /// Until then, requests fail.
    pub(in crate::sched) fails_until_us: u64,
    /// When the service has handled all requests that have arrived.
    pub(in crate::sched) busy_until_us: u64,
    pub(in crate::sched) request_count: u32,
}

/// Content of a ticket.
fn ticket_text(worker: &str, started_unix_ms: u64, until_us: u64) -> String {
    format!("{worker} {started_unix_ms} {until_us}")
}

impl Sim {
    /// Makes the only queue one with advice.
    pub(in crate::sched) fn use_advice(&mut self, service: AdviceService) {
        let policy = Some(AdvicePolicy { valid_ms: service.valid_ms });
        let mut catalog = Catalog { version: self.catalog.version + 1, ..(*self.catalog).clone() };
        let queues = catalog.queues.iter();
        catalog.queues = queues.map(|queue| Arc::new(Queue { advice: policy, ..(**queue).clone() })).collect();
        self.catalog = Arc::new(catalog);
        self.scheduler.configure(self.catalog.clone());
        self.advice = Some(service);
    }

    /// Sends a request of the leader to the service, which answers it after the earlier ones.
    pub(super) fn request_advice(&mut self, job: JobId, occurrence: u32, step: u32, workers: Vec<Arc<str>>) {
        let (now_us, leader) = (self.now_us, self.leader);
        let Some(service) = &mut self.advice else { return };
        service.request_count += 1;
        if workers.is_empty() || workers.len() > MAX_WORKERS {
            self.violations.push(Violation(format!("ADVICE: a request about {} workers", workers.len())));
            return;
        }
        let work_us = (service.decide_ms + service.each_ms * workers.len() as u64) * US_PER_MS;
        service.busy_until_us = service.busy_until_us.max(now_us + DELAY_US) + work_us;
        let answered_us = service.busy_until_us;
        let until_us = answered_us + service.valid_ms * US_PER_MS;
        let is_answered = now_us >= service.fails_until_us;
        let allowed: Vec<Arc<str>> = workers.iter().filter(|id| !service.refused.contains(*id)).cloned().collect();
        let mut tickets = Vec::new();
        for id in allowed {
            let Some(worker) = self.workers.get(&id) else { continue };
            let text = ticket_text(&id, worker.entry.started_unix_ms, until_us);
            tickets.push((id, Arc::from(text)));
        }
        let advice = is_answered.then_some(Advice { tickets, valid_ms: None });
        let answer = Message::AdviceAnswer { step: (job, occurrence, step), workers, leader, advice };
        self.send(answered_us + DELAY_US - now_us, answer);
    }

    /// Why a worker refuses a start order without a valid ticket, if the queue requires one.
    pub(super) fn ticket_refusal(&self, start: &StartRun) -> Option<OrderRefusal> {
        self.advice.as_ref()?;
        let worker = self.workers.get(&start.worker)?;
        let valid_until_us = start.ticket.as_ref().and_then(|ticket| {
            let (text, until_us) = ticket.rsplit_once(' ')?;
            let until_us: u64 = until_us.parse().ok()?;
            let expected = ticket_text(&start.worker, worker.entry.started_unix_ms, until_us);
            expected.starts_with(text).then_some(until_us)
        });
        let is_valid = valid_until_us.is_some_and(|until_us| self.now_us < until_us);
        (!is_valid).then_some(OrderRefusal::TicketRejected)
    }
}
