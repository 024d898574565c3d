//! Workers that shut down as planned: they report that they drain, serve on for a while, leave with what they run, and start
//! again under their IDs.

use std::sync::Arc;

use super::worker::sim_worker;
use super::Sim;
use crate::clock::US_PER_MS;

/// Times of a planned restart.
#[derive(Debug, Clone, Copy)]
pub(in crate::sched) struct PlannedRestart {
    /// Time that the worker reports as the least for which it stays.
    pub(in crate::sched) remaining_ms: u64,
    /// Time for which it stays.
    pub(in crate::sched) stays_ms: u64,
    /// Time from when it leaves until it is back.
    pub(in crate::sched) down_ms: u64,
}

/// Planned restarts that have begun.
#[derive(Debug, Default)]
pub(super) struct PlannedRestarts {
    leaving: Vec<(u64, Arc<str>, PlannedRestart)>,
    returning: Vec<(u64, Arc<str>)>,
}

impl Sim {
    /// Begins a planned restart of one of the workers, unless it is down or drains already. The number selects it.
    pub(in crate::sched) fn restart_as_planned(&mut self, number: usize, restart: PlannedRestart) {
        let index = number % self.workers.len().max(1);
        let Some((id, worker)) = self.workers.iter_mut().nth(index) else { return };
        if !worker.is_up || worker.entry.draining {
            return;
        }
        let id = id.clone();
        worker.entry.draining = true;
        worker.entry.remaining_ms = restart.remaining_ms;
        let entry = worker.entry.clone();
        self.registry.insert(entry);
        self.planned_restarts.leaving.push((self.now_us + restart.stays_ms * US_PER_MS, id, restart));
    }

    pub(super) fn advance_planned_restarts(&mut self) {
        let now_us = self.now_us;
        for (at_us, id, restart) in std::mem::take(&mut self.planned_restarts.leaving) {
            if now_us < at_us {
                self.planned_restarts.leaving.push((at_us, id, restart));
                continue;
            }
            let Some(worker) = self.workers.get_mut(&id).filter(|worker| worker.is_up) else { continue };
            worker.is_up = false;
            worker.runs.clear();
            self.registry.remove(&id);
            self.planned_restarts.returning.push((now_us + restart.down_ms * US_PER_MS, id));
        }
        for (at_us, id) in std::mem::take(&mut self.planned_restarts.returning) {
            if now_us < at_us {
                self.planned_restarts.returning.push((at_us, id));
                continue;
            }
            let Some(former) = self.workers.get(&id) else { continue };
            let mut entry = former.entry.clone();
            entry.draining = false;
            entry.remaining_ms = 0;
            entry.started_unix_ms = self.draw_start_unix_ms(entry.started_unix_ms, self.unix_ms());
            self.workers.insert(id, sim_worker(now_us, entry.clone(), 1.0));
            self.registry.insert(entry);
        }
    }
}
