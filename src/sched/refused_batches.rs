//! Batches that the store refuses as they are.
//!
//! A batch that is repeated without a change would be refused again, and nothing else would be stored. So the next batch
//! holds fewer records, down to one record and nothing else. If the store refuses even that one, but accepts a renewal of
//! leadership without it, the record itself is at fault: its job ends, and all others go on.

use super::action::Batch;
use super::model::JobId;
use super::scheduler::Scheduler;

/// Maximum number of records in one batch. A transaction of the store holds at most 100 entries, and a batch also has
/// entries other than records.
pub(super) const MAX_BATCH_RECORDS: usize = 90;

/// How many records the next batch may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BatchLimit {
    /// Up to this many, and everything else that is to be stored.
    Records(usize),
    /// One record and nothing else.
    OneRecord {
        /// Whether the store has accepted a renewal since it refused a record that was alone in its batch.
        is_store_proven: bool,
    },
    /// None, and nothing else: the batch only renews leadership.
    RenewalOnly,
}

impl BatchLimit {
    pub(super) const MAX: BatchLimit = BatchLimit::Records(MAX_BATCH_RECORDS);

    pub(super) fn max_records(self) -> usize {
        match self {
            BatchLimit::Records(count) => count,
            BatchLimit::OneRecord { .. } => 1,
            BatchLimit::RenewalOnly => 0,
        }
    }

    /// Whether batches hold rows other than records.
    pub(super) fn allows_other_rows(self) -> bool {
        matches!(self, BatchLimit::Records(_))
    }

    /// The limit after a batch was committed.
    pub(super) fn after_commit(self) -> BatchLimit {
        match self {
            BatchLimit::Records(count) => BatchLimit::Records((count * 2).min(MAX_BATCH_RECORDS)),
            BatchLimit::OneRecord { .. } => BatchLimit::Records(2),
            BatchLimit::RenewalOnly => BatchLimit::OneRecord { is_store_proven: true },
        }
    }

    /// The limit after a batch with this many records was refused.
    fn after_refusal(self, record_count: usize) -> BatchLimit {
        match self {
            BatchLimit::Records(_) if record_count > 1 => BatchLimit::Records(record_count / 2),
            BatchLimit::Records(_) => BatchLimit::OneRecord { is_store_proven: false },
            BatchLimit::OneRecord { .. } | BatchLimit::RenewalOnly => BatchLimit::RenewalOnly,
        }
    }
}

/// What follows from the refusal of a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RefusalConsequence {
    /// The next batch holds less.
    Reduced,
    /// A job has ended because the store refuses its record.
    JobFailed,
    /// The store refuses even the phase of a job that has ended for this reason. It is not stored.
    RecordDropped,
    /// The store refuses even a renewal of leadership.
    RenewalRefused,
}

impl RefusalConsequence {
    /// Name in logs and metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            RefusalConsequence::Reduced => "reduced",
            RefusalConsequence::JobFailed => "job_failed",
            RefusalConsequence::RecordDropped => "record_dropped",
            RefusalConsequence::RenewalRefused => "renewal_refused",
        }
    }
}

impl Scheduler {
    /// Takes back a batch that the store refuses as it is. Its content is part of later batches.
    pub(crate) fn batch_refused(&mut self, now_us: u64, batch: Batch) -> RefusalConsequence {
        let limit = self.batch_limit;
        self.is_commit_in_flight = false;
        self.batch_limit = limit.after_refusal(batch.records.len());
        if limit == BatchLimit::RenewalOnly {
            return RefusalConsequence::RenewalRefused;
        }
        self.dirty_jobs.put_back(batch.records.iter().map(|(id, _)| id));
        self.uncommitted_starts.extend(batch.starts);
        self.records_to_remove.extend(batch.removed_records);
        self.waves.put_back(&batch.waves);
        self.host_orders.put_back(batch.ordered_hosts.is_some(), batch.host_orders);
        if batch.pending_counts.is_some() {
            self.reported_pending_counts.clear();
            self.is_pending_report_stale = true;
        }
        match batch.records.as_slice() {
            [(id, record)] if limit == (BatchLimit::OneRecord { is_store_proven: true }) => {
                self.batch_limit = BatchLimit::MAX;
                self.record_refused(now_us, id, record.len())
            }
            _ => RefusalConsequence::Reduced,
        }
    }

    /// Ends a job whose record the store refuses. From now on, its record holds only its phase.
    fn record_refused(&mut self, now_us: u64, id: &JobId, bytes: usize) -> RefusalConsequence {
        let Some(job) = self.jobs.get_mut(id) else { return RefusalConsequence::Reduced };
        if job.is_record_refused {
            log::error!("job={id} bytes={bytes} outcome=record_dropped");
            self.dirty_jobs.remove(id);
            return RefusalConsequence::RecordDropped;
        }
        log::error!("job={id} bytes={bytes} outcome=record_refused");
        job.is_record_refused = true;
        self.fail_job(now_us, id);
        RefusalConsequence::JobFailed
    }
}
