//! In-memory view of the jobs' phases, so that status requests need not read the store.

#[cfg(test)]
mod status_tests;

use std::rc::Rc;
use std::sync::Arc;

use foldhash::{HashMap, HashSet};

use super::admission::ReceivedReport;
use super::feed_health::FeedHealth;
use super::{pending_counts_part, ControlDaemon, ADMISSION_KEY, LEADER_PARTITION, PHASE_TABLE};
use crate::row_store::{RowStoreError, StoredRow};
use crate::sched::model::{JobId, JobOrigin, JobPhase, ReportedPhase};
use crate::sched::phase_rows::{
    decode_admission, decode_further_pending_counts, decode_pending_counts, decode_published_phases,
};
use crate::sched::record::RecordError;

/// Time for which the store holds a request for changes while there are none.
const LONG_POLL_MS: u64 = 1_000;
/// Delay between reads, so that several changes are handled together.
const BATCH_DELAY_MS: u64 = 200;
const RETRY_DELAY_MS: u64 = 200;

/// What a daemon knows of a job.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct KnownJob {
    pub(super) phase: JobPhase,
    /// `None` if the job belongs to no organisation, or if its origin has not been read yet.
    pub(super) origin: Option<Arc<JobOrigin>>,
}

/// Number of queued jobs of each queue, in as many parts as there are rows.
#[derive(Debug, Default)]
struct PendingCounts {
    /// Number of parts in use. Rows of further ones may be left over from a time with more queues.
    count: usize,
    parts: HashMap<usize, HashMap<Arc<str>, u64>>,
}

impl PendingCounts {
    /// Reads the row of a part. The first one tells how many there are.
    fn read(&mut self, part: usize, row: &[u8]) -> Result<(), RecordError> {
        let counts = if part == 0 {
            let (counts, count) = decode_pending_counts(row)?;
            self.count = count;
            counts
        } else {
            decode_further_pending_counts(row)?
        };
        self.parts.insert(part, counts.into_iter().collect());
        Ok(())
    }

    fn get(&self, queue: &str) -> u64 {
        let in_use = self.parts.iter().filter(|(part, _)| **part < self.count);
        in_use.filter_map(|(_, counts)| counts.get(queue)).next().copied().unwrap_or(0)
    }
}

/// Phases of jobs and numbers of queued jobs, as the leader has stored them.
#[derive(Debug, Default)]
pub(super) struct StatusView {
    /// A job whose submission is stored counts as queued until the leader has stored a phase.
    jobs: HashMap<JobId, KnownJob>,
    /// The origins of all jobs, each held once.
    origins: HashSet<Arc<JobOrigin>>,
    pending_counts: PendingCounts,
    /// How long new jobs would wait, if the leader has reported it.
    admission: Option<ReceivedReport>,
}

impl StatusView {
    /// Phase and origin of a job; `None` if this daemon does not know of the job.
    pub(super) fn job(&self, id: &str) -> Option<KnownJob> {
        self.jobs.get(id).cloned()
    }

    /// Records that a job's submission is stored, and the job's origin if it is known.
    pub(super) fn mark_stored(&mut self, id: &JobId, origin: Option<JobOrigin>) {
        let origin = origin.map(|origin| self.share(origin));
        let known = self.jobs.entry(id.clone()).or_insert(KnownJob { phase: JobPhase::Queued, origin: None });
        known.origin = origin.or(known.origin.take());
    }

    fn share(&mut self, origin: JobOrigin) -> Arc<JobOrigin> {
        if let Some(shared) = self.origins.get(&origin) {
            return shared.clone();
        }
        let shared = Arc::new(origin);
        self.origins.insert(shared.clone());
        shared
    }

    /// Number of queued jobs of a queue.
    pub(super) fn pending_count(&self, queue: &str) -> u64 {
        self.pending_counts.get(queue)
    }

    pub(super) fn admission(&self) -> Option<&ReceivedReport> {
        self.admission.as_ref()
    }

    /// Applies rows that the leader wrote after `written_after_us`. A final phase never changes.
    pub(super) fn apply_rows(&mut self, rows: &[StoredRow], written_after_us: u64) {
        for row in rows {
            self.apply_row(row, written_after_us);
        }
    }

    fn apply_row(&mut self, row: &StoredRow, written_after_us: u64) {
        let Some(value) = &row.value else { return };
        if &*row.id.key == ADMISSION_KEY {
            match decode_admission(value) {
                Ok(report) => self.admission = Some(ReceivedReport { report, written_after_us }),
                Err(error) => log::warn!("error={error} outcome=admission_report_unreadable"),
            }
            return;
        }
        if let Some(part) = pending_counts_part(&row.id.key) {
            if let Err(error) = self.pending_counts.read(part, value) {
                log::warn!("key={} error={error} outcome=pending_counts_unreadable", row.id.key);
            }
            return;
        }
        match decode_published_phases(value) {
            Ok(phases) => {
                for reported in phases {
                    self.apply_phase(reported);
                }
            }
            Err(error) => log::warn!("row={} error={error} outcome=phases_unreadable", row.id.key),
        }
    }

    fn apply_phase(&mut self, reported: ReportedPhase) {
        let ReportedPhase { job, phase, origin } = reported;
        self.mark_stored(&job, origin);
        let Some(known) = self.jobs.get_mut(&job) else { return };
        if !known.phase.is_final() {
            known.phase = phase;
        }
    }
}

/// Keeps the view up to date.
pub(super) async fn follow(daemon: Rc<ControlDaemon>) {
    let mut version = None;
    let mut health = FeedHealth::new("phases");
    // When the request was sent whose answer was the latest.
    let mut answered_request_us = 0;
    loop {
        let requested_us = daemon.now_us();
        // A changed row was written after the previous answer. For a full read, the time of writing is unknown.
        let written_after_us = if version.is_some() { answered_request_us } else { 0 };
        let read = match version {
            None => daemon.store.read_partition(PHASE_TABLE, LEADER_PARTITION).await,
            Some(after) => daemon.store.wait_for_changes(PHASE_TABLE, after, LONG_POLL_MS).await,
        };
        match read {
            Ok(page) => {
                health.record_success(daemon.now_us());
                daemon.status.borrow_mut().apply_rows(&page.rows, written_after_us);
                answered_request_us = requested_us;
                version = Some(page.version.max(version.unwrap_or(0)));
                daemon.sleep_ms(BATCH_DELAY_MS).await;
            }
            Err(RowStoreError::HistoryGone) => version = None,
            Err(error) => {
                health.record_failure(requested_us, &error);
                daemon.sleep_ms(RETRY_DELAY_MS).await;
            }
        }
    }
}
