//! What is written, in which order: records before orders, ends before they may be forgotten.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

use super::action::Batch;
use super::model::{JobId, JobPhase, TaskRef};
use super::record::encode_job;
use super::scheduler::Scheduler;
use crate::clock::US_PER_MS;

/// Jobs written in one transaction, which holds at most 100 entries.
const MAX_BATCH_JOBS: usize = 90;
/// Least time between two reports of queue lengths.
const PENDING_REPORT_MS: u64 = 500;

impl Scheduler {
    pub(super) fn mark_dirty(&mut self, id: &JobId) {
        self.pending_moved = true;
        if !self.dirty.contains(id) {
            self.dirty.insert(id.clone());
        }
    }

    /// Has a run written, and ordered after that.
    pub(super) fn push_intent(&mut self, at: &TaskRef, run: u32) {
        self.mark_dirty(&at.job);
        self.intents.push((at.clone(), run));
    }

    /// Whether there is something to write.
    pub(crate) fn wants_commit(&self, now_us: u64) -> bool {
        !self.dirty.is_empty()
            || !self.forgettable.is_empty()
            || self.waves.has_changed()
            || self.host_orders.wants_commit()
            || self.pending_changed(now_us)
    }

    fn pending_changed(&self, now_us: u64) -> bool {
        self.pending_moved && now_us >= self.pending_told_us + PENDING_REPORT_MS * US_PER_MS
    }

    /// Jobs of each queue that have not begun.
    fn pending(&self) -> Vec<(Arc<str>, u64)> {
        let mut counts: BTreeMap<Arc<str>, u64> = BTreeMap::new();
        for job in self.jobs.values() {
            if job.phase == JobPhase::Queued {
                *counts.entry(job.spec.queue.name.clone()).or_default() += 1;
            }
        }
        counts.into_iter().collect()
    }

    /// Takes the next batch to write; exactly one may be under way.
    pub(crate) fn take_batch(&mut self, now_us: u64) -> Batch {
        self.is_writing = true;
        let mut batch = Batch::default();
        let chosen: Vec<JobId> = self.dirty.iter().take(MAX_BATCH_JOBS).cloned().collect();
        for id in &chosen {
            self.dirty.remove(id);
            let Some(job) = self.jobs.get_mut(id) else { continue };
            batch.records.push((id.clone(), encode_job(job)));
            if job.told != job.phase {
                job.told = job.phase;
                batch.phases.push((id.clone(), job.phase));
            }
        }
        let chosen: HashSet<JobId> = chosen.into_iter().collect();
        let room = MAX_BATCH_JOBS - batch.records.len();
        let forgotten = self.forgettable.len().min(room);
        batch.removed_records = self.forgettable.drain(..forgotten).collect();
        let intents = std::mem::take(&mut self.intents);
        let (now, later) = intents.into_iter().partition(|(task, _)| chosen.contains(&task.job));
        batch.intents = now;
        self.intents = later;
        if self.pending_changed(now_us) {
            self.pending_moved = false;
            self.pending_told_us = now_us;
            let pending = self.pending();
            if pending != self.pending_told {
                self.pending_told.clone_from(&pending);
                batch.pending = Some(pending);
            }
        }
        batch.waves = self.waves.take_changed();
        (batch.ordered_hosts, batch.host_orders) = self.host_orders.take(now_us);
        if self.dirty.is_empty() {
            for worker in self.workers.values() {
                if worker.last_seen_end > worker.stored_end {
                    let born = worker.entry.started_unix_ms;
                    batch.acknowledged.push((worker.entry.id.clone(), born, worker.last_seen_end));
                }
            }
        }
        batch
    }

    /// The batch is written: its runs may be ordered and its ends forgotten.
    pub(crate) fn batch_written(&mut self, now_us: u64, sent_us: u64, batch: &Batch) {
        self.is_writing = false;
        self.renewed_us = self.renewed_us.max(sent_us);
        for (id, started_unix_ms, end) in &batch.acknowledged {
            let Some(worker) = self.workers.get_mut(id) else { continue };
            if worker.entry.started_unix_ms == *started_unix_ms {
                worker.stored_end = worker.stored_end.max(*end);
            }
        }
        for (task, run) in &batch.intents {
            self.order_start(now_us, task, *run);
        }
        self.host_orders_written(&batch.host_orders);
        for (id, _) in &batch.records {
            self.retire_if_finished(id);
        }
    }

    /// Ends that changed nothing need no writing before they are forgotten.
    pub(crate) fn acknowledge_without_writing(&mut self) {
        if self.is_writing || !self.dirty.is_empty() {
            return;
        }
        for worker in self.workers.values_mut() {
            worker.stored_end = worker.last_seen_end;
        }
    }

    /// A job that needs no more work keeps only its phase, and is put aside.
    pub(super) fn retire_if_finished(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.phase.is_final() && !job.is_over && !job.has_placed() {
            job.occurrences.clear();
            job.is_over = true;
            self.over.push((id.clone(), job.phase));
        }
    }

    /// Takes the jobs that are over since the last call.
    pub(crate) fn take_retired(&mut self) -> Vec<(JobId, JobPhase)> {
        std::mem::take(&mut self.over)
    }

    /// The submissions of these jobs could not be removed yet.
    pub(crate) fn requeue_retired(&mut self, jobs: Vec<(JobId, JobPhase)>) {
        self.over.extend(jobs);
    }

    /// The submissions of these jobs are removed: nothing reminds a later leader of them.
    pub(crate) fn submissions_removed(&mut self, jobs: &[(JobId, JobPhase)]) {
        for (id, _) in jobs {
            self.jobs.remove(id);
            self.forgettable.push(id.clone());
        }
    }

    /// Records without a submission: a former leader did not come to remove them.
    pub(crate) fn remove_orphaned_records(&mut self, jobs: Vec<JobId>) {
        self.forgettable.extend(jobs);
    }
}
