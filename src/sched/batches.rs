//! Batches of changes for the store. A run is committed before its start order is sent, and the end of a run before it
//! is acknowledged to its worker.

use std::collections::BTreeMap;
use std::sync::Arc;

use foldhash::HashSet;

use super::action::Batch;
use super::dirty_jobs::Waiting;
use super::model::{JobId, JobPhase, ReportedPhase, TaskRef};
use super::phase_rows::split_pending_counts;
use super::record::encode_job;
use super::refused_batches::MAX_BATCH_RECORDS;
use super::scheduler::Scheduler;
use super::work_counts::Work;
use crate::clock::US_PER_MS;
use crate::row_store::MAX_TRANSACTION_BYTES;

/// Minimum time between two updates of the stored numbers of queued jobs.
const PENDING_REPORT_INTERVAL_MS: u64 = 500;

impl Scheduler {
    /// Marks a job's state to be stored with the next batch that has room.
    pub(super) fn mark_dirty(&mut self, id: &JobId) {
        self.is_pending_report_stale = true;
        self.dirty_jobs.mark(id, Waiting::ForRecord);
    }

    /// Marks a job's state to be stored, after others if many must be: it only has progressed.
    pub(super) fn mark_progressed(&mut self, id: &JobId) {
        self.is_pending_report_stale = true;
        self.dirty_jobs.mark(id, Waiting::Nothing);
    }

    /// Queues a run to be started once its job's state is committed.
    pub(super) fn queue_start(&mut self, task_ref: &TaskRef, run: u32) {
        self.mark_dirty(&task_ref.job);
        self.uncommitted_starts.push((task_ref.clone(), run));
    }

    /// Whether there are changes to commit.
    pub(crate) fn wants_commit(&self, now_us: u64) -> bool {
        !self.dirty_jobs.is_empty()
            || !self.records_to_remove.is_empty()
            || self.waves.has_changed()
            || self.host_orders.wants_commit()
            || self.is_pending_report_due(now_us)
    }

    fn is_pending_report_due(&self, now_us: u64) -> bool {
        self.is_pending_report_stale
            && now_us >= self.pending_counts_checked_us + PENDING_REPORT_INTERVAL_MS * US_PER_MS
    }

    /// Number of queued jobs of each queue.
    fn pending_counts(&self) -> Vec<(Arc<str>, u64)> {
        let mut counts: BTreeMap<Arc<str>, u64> = BTreeMap::new();
        for job in self.jobs.values() {
            if job.phase == JobPhase::Queued {
                *counts.entry(job.spec.queue.name.clone()).or_default() += 1;
            }
        }
        counts.into_iter().collect()
    }

    /// Takes the next batch to commit. Only one batch may be in flight.
    pub(crate) fn take_batch(&mut self, now_us: u64) -> Batch {
        self.is_commit_in_flight = true;
        let mut batch = Batch::default();
        self.take_records(&mut batch);
        self.take_starts(&mut batch);
        if self.batch_limit.allows_other_rows() {
            self.take_other_rows(now_us, &mut batch);
        }
        for id in &self.unacknowledged_workers {
            let Some(worker) = self.workers.get(id) else { continue };
            let cursor = self.acknowledgeable_cursor(worker);
            if cursor > worker.stored_cursor {
                batch.acknowledged.push((worker.entry.id.clone(), worker.entry.started_unix_ms, cursor));
            }
        }
        batch
    }

    /// Takes records up to the limits on their number and their size, and the phases that changed with them.
    fn take_records(&mut self, batch: &mut Batch) {
        let mut bytes = 0;
        while batch.records.len() < self.batch_limit.max_records() {
            let Some(id) = self.dirty_jobs.first().cloned() else { break };
            let Some(job) = self.jobs.get(&id) else {
                self.dirty_jobs.remove(&id);
                continue;
            };
            let record = encode_job(job);
            self.work_counts.add(Work::RecordsEncoded, 1);
            bytes += record.len();
            if bytes > MAX_TRANSACTION_BYTES && !batch.records.is_empty() {
                break;
            }
            if job.published_phase != job.phase {
                batch.phases.push(job.spec.reported_phase(id.clone(), job.phase));
            }
            self.dirty_jobs.remove(&id);
            batch.records.push((id, record));
        }
    }

    /// Takes the starts of the runs that the batch's records contain.
    fn take_starts(&mut self, batch: &mut Batch) {
        let recorded: HashSet<&JobId> = batch.records.iter().map(|(id, _)| id).collect();
        let starts = std::mem::take(&mut self.uncommitted_starts);
        let (committable, deferred) = starts.into_iter().partition(|(task_ref, _)| recorded.contains(&task_ref.job));
        batch.starts = committable;
        self.uncommitted_starts = deferred;
    }

    /// Takes everything else that is to be stored.
    fn take_other_rows(&mut self, now_us: u64, batch: &mut Batch) {
        let free_slots = MAX_BATCH_RECORDS - batch.records.len();
        let removable_count = self.records_to_remove.len().min(free_slots);
        batch.removed_records = self.records_to_remove.drain(..removable_count).collect();
        // Entries that are left beside records, removals and the rows that any transaction may have.
        let free_entries = MAX_BATCH_RECORDS - batch.records.len() - batch.removed_records.len();
        let mut further_rows = 0;
        if self.is_pending_report_due(now_us) {
            let pending_counts = self.pending_counts();
            self.pending_counts_checked_us = now_us;
            further_rows = split_pending_counts(&pending_counts).len() - 1;
            if further_rows <= free_entries {
                self.take_pending_counts(pending_counts, batch);
            }
        }
        if further_rows < free_entries {
            batch.admission = self.take_admission_report(now_us);
        }
        batch.waves = self.waves.take_changed();
        (batch.ordered_hosts, batch.host_orders) = self.host_orders.take(now_us);
    }

    fn take_pending_counts(&mut self, pending_counts: Vec<(Arc<str>, u64)>, batch: &mut Batch) {
        self.is_pending_report_stale = false;
        if pending_counts != self.reported_pending_counts {
            self.reported_pending_counts.clone_from(&pending_counts);
            batch.pending_counts = Some(pending_counts);
        }
    }

    /// Forgets the ended runs of a worker up to its stored cursor.
    fn ends_stored(&mut self, id: &Arc<str>) {
        let Some(worker) = self.workers.get_mut(id) else {
            self.unacknowledged_workers.remove(id);
            return;
        };
        let stored_cursor = worker.stored_cursor;
        worker.unstored_ends.retain(|(number, _)| *number > stored_cursor);
        if stored_cursor >= worker.processed_cursor {
            self.unacknowledged_workers.remove(id);
        }
    }

    /// Handles the commit of a batch sent at `sent_us`: its runs are started, and the ended runs that it covers may be
    /// acknowledged. The commit also renews leadership.
    pub(crate) fn batch_committed(&mut self, now_us: u64, sent_us: u64, batch: &Batch) {
        self.is_commit_in_flight = false;
        self.batch_limit = self.batch_limit.after_commit();
        self.leadership_renewed(now_us, sent_us);
        for (id, started_unix_ms, cursor) in &batch.acknowledged {
            let Some(worker) = self.workers.get_mut(id) else { continue };
            if worker.entry.started_unix_ms == *started_unix_ms {
                worker.stored_cursor = worker.stored_cursor.max(*cursor);
                self.ends_stored(id);
                self.hold_after_commit(now_us, id);
            }
        }
        for (task_ref, run) in &batch.starts {
            self.order_start(now_us, task_ref, *run);
        }
        self.host_orders_committed(now_us, &batch.host_orders);
        for reported in &batch.phases {
            if let Some(job) = self.jobs.get_mut(&reported.job) {
                job.published_phase = reported.phase;
            }
            self.phase_published(now_us, &reported.job, reported.phase);
        }
        for (id, _) in &batch.records {
            self.try_finish_job(id);
        }
    }

    /// Allows all processed ended runs to be acknowledged, if no change of a job is left to commit.
    pub(crate) fn acknowledge_without_commit(&mut self) {
        if self.is_commit_in_flight || !self.dirty_jobs.is_empty() {
            return;
        }
        let unacknowledged: Vec<Arc<str>> = self.unacknowledged_workers.iter().cloned().collect();
        for id in unacknowledged {
            let cursor = self.workers.get(&id).map_or(0, |worker| self.acknowledgeable_cursor(worker));
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.stored_cursor = worker.stored_cursor.max(cursor);
            }
            self.ends_stored(&id);
        }
    }

    /// If a job's phase is final and stored, and no run is left, marks it as finished, drops the state of its tasks and
    /// queues its submission for removal.
    pub(super) fn try_finish_job(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let is_stored = job.published_phase == job.phase;
        if job.phase.is_final() && is_stored && !job.is_finished && !job.has_placed_tasks() {
            job.occurrences.clear();
            job.is_finished = true;
            self.finished_jobs.push(job.spec.reported_phase(id.clone(), job.phase));
        }
    }

    /// Takes the jobs that finished since the last call; their submissions can be removed.
    pub(crate) fn take_finished_jobs(&mut self) -> Vec<ReportedPhase> {
        std::mem::take(&mut self.finished_jobs)
    }

    /// Puts back jobs whose submissions could not be removed.
    pub(crate) fn requeue_finished_jobs(&mut self, jobs: Vec<ReportedPhase>) {
        self.finished_jobs.extend(jobs);
    }

    /// Forgets jobs whose submissions have been removed, and queues the removal of their records, which no later leader
    /// needs. Their IDs are kept until the changes up to `version`, which the store had after the removal, have been read:
    /// until then, a read may still return the submissions.
    pub(crate) fn submissions_removed(&mut self, version: u64, jobs: &[ReportedPhase]) {
        for finished in jobs {
            self.jobs.remove(&finished.job);
            self.removed_jobs.insert(finished.job.clone(), version);
            self.records_to_remove.push(finished.job.clone());
        }
    }

    /// Notes that all changes of submissions up to this version have been read.
    pub(crate) fn submissions_read(&mut self, version: u64) {
        self.removed_jobs.retain(|_, removal| *removal > version);
    }

    /// Queues the removal of records without a submission, which a former leader left behind.
    pub(crate) fn remove_orphaned_records(&mut self, jobs: Vec<JobId>) {
        self.records_to_remove.extend(jobs);
    }
}
