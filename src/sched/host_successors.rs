//! Workers that have taken the place of others on their hosts.
//!
//! An entry in the registry alone does not show that the former worker of a host has ended: it may come from another writer.
//! The successor must have answered this leader, and the provider's latest list must name nobody else on the host.

use std::sync::Arc;

use super::job::WorkerIncarnation;
use super::model::WorkerEntry;
use super::scheduler::Scheduler;
use super::worker_loss::SilenceCause;

/// A worker, and when it was first found in the registry.
#[derive(Debug, Clone)]
pub(super) struct RegisteredWorker {
    pub(super) incarnation: WorkerIncarnation,
    pub(super) registered_us: u64,
}

/// A worker on whose host another one has registered later, which may have taken its place.
#[derive(Debug)]
pub(super) struct Replacement {
    host: Arc<str>,
    former: WorkerIncarnation,
    latest: RegisteredWorker,
}

impl Scheduler {
    /// Notes a registered worker on its host. A worker that started and was registered there earlier may have ended.
    pub(super) fn worker_on_host_registered(&mut self, now_us: u64, entry: &WorkerEntry) {
        let Some(host) = &entry.host else { return };
        let incarnation = WorkerIncarnation { id: entry.id.clone(), started_unix_ms: entry.started_unix_ms };
        let latest = RegisteredWorker { incarnation, registered_us: now_us };
        let known = self.lost_workers.latest_on_host.get(host);
        // A copy of the registry may be old, and bring back the entry of a worker that has ended.
        if known.is_some_and(|known| known.incarnation.started_unix_ms >= entry.started_unix_ms) {
            return;
        }
        let Some(known) = self.lost_workers.latest_on_host.insert(host.clone(), latest.clone()) else { return };
        // Times of day may be stepped, so of two workers in one copy of the registry it is not known which one is later.
        if known.incarnation.id == entry.id || known.registered_us == now_us {
            return;
        }
        let replacements = &mut self.lost_workers.unconfirmed_replacements;
        for replacement in replacements.iter_mut().filter(|replacement| replacement.host == *host) {
            replacement.latest = latest.clone();
        }
        replacements.push(Replacement { host: host.clone(), former: known.incarnation, latest });
    }

    /// Takes workers to have ended whose successors on their hosts have answered this leader.
    pub(super) fn confirm_replacements(&mut self, now_us: u64) {
        let replacements = std::mem::take(&mut self.lost_workers.unconfirmed_replacements);
        for replacement in replacements {
            if self.is_moot(&replacement) {
                continue;
            }
            if !self.has_taken_over_host(&replacement) {
                self.lost_workers.unconfirmed_replacements.push(replacement);
                continue;
            }
            self.worker_replaced(now_us, &replacement);
        }
    }

    /// Whether the former worker of a replacement has answered since, or is of no interest any more.
    fn is_moot(&self, Replacement { former, latest, .. }: &Replacement) -> bool {
        let worker = self.workers.get(&former.id);
        let has_answered = worker.is_some_and(|worker| worker.report_requested_us > latest.registered_us);
        has_answered || former.id == latest.incarnation.id || (worker.is_none() && !self.is_silent_loss(former))
    }

    /// Whether the latest worker of a replacement lives, and the provider names nobody else on its host.
    fn has_taken_over_host(&self, Replacement { host, latest, .. }: &Replacement) -> bool {
        let id = &latest.incarnation.id;
        let has_answered = self.workers.get(id).is_some_and(|worker| worker.is_synced);
        let named = self.hosts.get(host).and_then(|record| record.worker.as_ref());
        has_answered && self.has_incarnation(&latest.incarnation) && named.is_none_or(|named| named == id)
    }

    fn worker_replaced(&mut self, now_us: u64, Replacement { host, former, latest }: &Replacement) {
        if let Some(worker) = self.workers.get_mut(&former.id) {
            worker.superseded_us.get_or_insert(latest.registered_us);
            // Each host that changes its pool has a new worker, but its former one has no tasks.
            let level = if worker.tasks.is_empty() { log::Level::Debug } else { log::Level::Info };
            let successor = &latest.incarnation.id;
            log::log!(level, "worker={} host={host} successor={successor} outcome=superseded", former.id);
        }
        if self.is_silent_loss(former) {
            self.resolve_silent(now_us, &former.id, SilenceCause::Crashed);
        }
    }
}
