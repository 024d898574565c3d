//! Stores and removes submissions, in batches of one transaction each, and stores cancellation requests.

#[cfg(test)]
mod submissions_tests;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::channel::oneshot;

use super::access::{reauthorize, AccessError, Caller};
use super::{job_partition, ControlDaemon, CANCEL_SUFFIX, FINISHED_TABLE, JOB_PARTITIONS, JOB_TABLE};
use crate::endpoint_client::timeout_at;
use crate::reactor::{spawn, Condvar};
use crate::row_store::{
    RowId, RowStoreCommitOutcome, RowStoreError, RowStoreTransaction, StoredRow, ABSENT_ROW_VERSION,
    MAX_TRANSACTION_BYTES,
};
use crate::sched::model::{JobId, JobOrigin, JobPhase, JobSpec, ReportedPhase};
use crate::sched::record::{decode_finished_job, encode_cancelled_before_submission, encode_final_phase, encode_spec};

/// Maximum number of jobs in one transaction. Each takes three of the 100 entries that the store allows.
const MAX_BATCH_JOBS: usize = 30;
const RETRY_DELAY_MS: u64 = 60;

/// Whether a submission or a cancellation request was stored. Its `Debug` form is part of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stored {
    Yes,
    /// A submission of the job was stored already: by an earlier attempt, or by another caller.
    Existing,
    /// Not stored: the job was cancelled before it was submitted.
    Cancelled,
    /// Not stored, and this attempt will not store it later either.
    No,
    /// The store did not answer in time: it may have been stored.
    Unknown,
    /// Not stored: while the submission waited for the store, its caller lost the right to use the queue.
    Refused(AccessError),
}

impl Stored {
    /// Label value in metrics.
    pub(super) fn label(self) -> &'static str {
        match self {
            Stored::Yes => "yes",
            Stored::Existing => "existing",
            Stored::Cancelled => "cancelled",
            Stored::No => "no",
            Stored::Unknown => "unknown",
            Stored::Refused(_) => "refused",
        }
    }
}

struct Submission {
    id: JobId,
    value: Vec<u8>,
    origin: JobOrigin,
    caller: Caller,
    /// When its caller gets an answer, whatever is known then.
    deadline: Instant,
    /// Whether it has been sent to the store.
    is_sent: Rc<Cell<bool>>,
    /// An earlier attempt was not answered and may have stored it, or a concurrent request has sent the same job.
    may_be_stored: bool,
    reply: oneshot::Sender<Stored>,
}

impl Submission {
    /// What is known if the present attempt has certainly stored nothing.
    fn outcome_without_answer(&self) -> Stored {
        if self.may_be_stored {
            Stored::Unknown
        } else {
            Stored::No
        }
    }
}

/// Submissions that wait for the next transaction of their partition.
#[derive(Default)]
pub(super) struct SubmissionQueue {
    /// Submissions by partition.
    waiting: RefCell<BTreeMap<String, Vec<Submission>>>,
    arrival_condvar: Condvar,
}

impl SubmissionQueue {
    /// Queues a submission and waits for the result until `deadline`. A submission that has not been sent by then is
    /// withdrawn.
    pub(super) async fn submit(&self, id: JobId, spec: &JobSpec, caller: &Caller, deadline: Instant) -> Stored {
        let (reply, answer) = oneshot::channel();
        let partition = job_partition(&id);
        let is_sent = Rc::new(Cell::new(false));
        let submission = Submission {
            id,
            value: encode_spec(spec),
            origin: spec.origin(),
            caller: caller.clone(),
            deadline,
            is_sent: is_sent.clone(),
            may_be_stored: false,
            reply,
        };
        self.waiting.borrow_mut().entry(partition).or_default().push(submission);
        self.arrival_condvar.notify();
        match timeout_at(deadline, answer).await {
            // The sender is dropped without a result only when the daemon stops: the writers never end.
            Some(answer) => answer.unwrap_or(Stored::Unknown),
            None if is_sent.get() => Stored::Unknown,
            None => Stored::No,
        }
    }

    fn has_waiting(&self, partition: &str) -> bool {
        self.waiting.borrow().get(partition).is_some_and(|waiting| !waiting.is_empty())
    }

    fn take_batch(&self, partition: &str) -> Vec<Submission> {
        let mut waiting = self.waiting.borrow_mut();
        let Some(waiting) = waiting.get_mut(partition) else { return Vec::new() };
        // The callers of these have been told that they are not stored, or have disconnected.
        waiting.retain(|submission| submission.is_sent.get() || !submission.reply.is_canceled());
        let mut bytes = 0;
        let mut count = 0;
        for submission in waiting.iter() {
            bytes += submission.value.len();
            if count == MAX_BATCH_JOBS || (count > 0 && bytes > MAX_TRANSACTION_BYTES) {
                break;
            }
            count += 1;
        }
        let batch: Vec<Submission> = waiting.drain(..count).collect();
        for submission in &batch {
            submission.is_sent.set(true);
        }
        batch
    }

    /// Puts back submissions of jobs that another submission of the same batch has just sent and may have stored.
    fn requeue_duplicates(&self, partition: &str, duplicates: Vec<Submission>) {
        let mut waiting = self.waiting.borrow_mut();
        let waiting = waiting.entry(partition.to_owned()).or_default();
        for mut submission in duplicates {
            submission.may_be_stored = true;
            waiting.push(submission);
        }
    }
}

/// Starts one writer for each partition.
pub(super) fn start_writers(daemon: &Rc<ControlDaemon>) {
    for number in 0..JOB_PARTITIONS {
        spawn(run_writer(daemon.clone(), format!("j{number}")));
    }
}

/// Stores the submissions of one partition, one batch after the other.
async fn run_writer(daemon: Rc<ControlDaemon>, partition: String) {
    loop {
        daemon.submissions.arrival_condvar.wait_until(|| daemon.submissions.has_waiting(&partition)).await;
        daemon.refresh_configuration().await;
        let mut batch = daemon.submissions.take_batch(&partition);
        if !daemon.store.is_reachable() {
            for submission in batch {
                log::info!("job={} outcome=not_sent_while_store_unreachable", submission.id);
                let stored = submission.outcome_without_answer();
                complete(&daemon, submission, stored);
            }
            continue;
        }
        // Concurrent requests may submit the same job; each batch contains it only once.
        let mut seen = HashSet::new();
        let (mut unique, duplicates): (Vec<_>, Vec<_>) =
            batch.drain(..).partition(|submission| seen.insert(submission.id.clone()));
        while !unique.is_empty() {
            unique = store_batch(&daemon, &partition, unique).await;
        }
        daemon.submissions.requeue_duplicates(&partition, duplicates);
    }
}

/// Refuses the submissions whose callers have lost the right to use their queue since they were authorised, and returns
/// the others. One that may be stored already is kept: its caller must not be told that it never runs.
fn refuse_unauthorized(
    batch: Vec<Submission>,
    check: impl Fn(&Submission) -> Result<(), AccessError>,
) -> Vec<Submission> {
    let mut authorized = Vec::with_capacity(batch.len());
    for submission in batch {
        match check(&submission) {
            Err(error) if !submission.may_be_stored => {
                // The receiver is gone if the caller has disconnected.
                let _ = submission.reply.send(Stored::Refused(error));
            }
            Ok(()) | Err(_) => authorized.push(submission),
        }
    }
    authorized
}

/// Makes one attempt to store a batch and returns the submissions that must be retried.
async fn store_batch(daemon: &Rc<ControlDaemon>, partition: &str, batch: Vec<Submission>) -> Vec<Submission> {
    let catalog = daemon.catalog();
    let may_accept_keys = daemon.may_accept_keys();
    let mut batch = refuse_unauthorized(batch, |submission| match &catalog {
        Some(catalog) => reauthorize(catalog, may_accept_keys, &submission.origin.queue, &submission.caller),
        None => Ok(()),
    });
    if batch.is_empty() {
        return batch;
    }
    let mut transaction = RowStoreTransaction::default();
    for submission in &batch {
        let row_id = RowId::new(JOB_TABLE, partition, &submission.id);
        transaction.expected.push((row_id.clone(), ABSENT_ROW_VERSION));
        transaction.expected.push((RowId::new(FINISHED_TABLE, partition, &submission.id), ABSENT_ROW_VERSION));
        transaction.writes.push((row_id, submission.value.clone()));
    }
    match daemon.store.commit(&transaction).await {
        Ok(RowStoreCommitOutcome::Applied { .. }) => {
            for submission in batch {
                complete(daemon, submission, Stored::Yes);
            }
            return Vec::new();
        }
        Ok(RowStoreCommitOutcome::Conflict { current }) => {
            let mut remaining = Vec::new();
            for submission in batch {
                let mut rows = current.iter().filter(|row| row.id.key == submission.id);
                match rows.find(|row| row.version != ABSENT_ROW_VERSION) {
                    Some(row) if is_cancelled_before_submission(row) => complete(daemon, submission, Stored::Cancelled),
                    Some(_) => complete(daemon, submission, Stored::Existing),
                    None => remaining.push(submission),
                }
            }
            return remaining;
        }
        Err(RowStoreError::Refused(reason)) if batch.len() > 1 => {
            log::warn!("partition={partition} jobs={} error={reason} outcome=submissions_refused", batch.len());
            let mut remaining = Vec::new();
            for submission in batch {
                remaining.extend(Box::pin(store_batch(daemon, partition, vec![submission])).await);
            }
            return remaining;
        }
        Err(RowStoreError::ResponseLost(reason)) => {
            for submission in &mut batch {
                log::warn!("job={} error={reason} outcome=submission_unanswered", submission.id);
                submission.may_be_stored = true;
            }
        }
        Err(error) => {
            for submission in &batch {
                log::info!("job={} error={error} outcome=submission_not_stored", submission.id);
            }
        }
    }
    let retry_at = Instant::now() + Duration::from_millis(RETRY_DELAY_MS);
    let mut remaining = Vec::new();
    for submission in batch {
        if !submission.may_be_stored {
            complete(daemon, submission, Stored::No);
        } else if retry_at > submission.deadline {
            complete(daemon, submission, Stored::Unknown);
        } else {
            remaining.push(submission);
        }
    }
    if !remaining.is_empty() {
        daemon.sleep_ms(RETRY_DELAY_MS).await;
    }
    remaining
}

/// Whether a row that was in the way of a submission keeps the job from being submitted at all.
fn is_cancelled_before_submission(row: &StoredRow) -> bool {
    let Some(value) = row.value.as_ref().filter(|_| &*row.id.table == FINISHED_TABLE) else { return false };
    decode_finished_job(value).is_ok_and(|finished| !finished.was_submitted)
}

fn complete(daemon: &Rc<ControlDaemon>, submission: Submission, stored: Stored) {
    if stored == Stored::Yes {
        daemon.status.borrow_mut().mark_stored(&submission.id, Some(submission.origin));
    }
    // The receiver is gone if the caller has disconnected.
    let _ = submission.reply.send(stored);
}

/// Stores a cancellation request for a job.
pub(super) async fn cancel(daemon: &Rc<ControlDaemon>, id: &str) -> Stored {
    let row_id = RowId::new(JOB_TABLE, &job_partition(id), &format!("{id}{CANCEL_SUFFIX}"));
    let transaction = RowStoreTransaction { writes: vec![(row_id, vec![1])], ..RowStoreTransaction::default() };
    cancel_outcome(id, daemon.store.commit(&transaction).await)
}

/// Cancels a job that is not stored: a submission that an earlier call has sent, and that the store performs late, finds
/// the row in its way. [`Stored::Existing`] if the job was submitted or cancelled meanwhile.
pub(super) async fn cancel_before_submission(daemon: &Rc<ControlDaemon>, id: &str, origin: &JobOrigin) -> Stored {
    let partition = job_partition(id);
    let finished = RowId::new(FINISHED_TABLE, &partition, id);
    let transaction = RowStoreTransaction {
        expected: vec![
            (RowId::new(JOB_TABLE, &partition, id), ABSENT_ROW_VERSION),
            (finished.clone(), ABSENT_ROW_VERSION),
        ],
        writes: vec![(finished, encode_cancelled_before_submission(origin))],
        ..RowStoreTransaction::default()
    };
    cancel_outcome(id, daemon.store.commit(&transaction).await)
}

fn cancel_outcome(id: &str, outcome: Result<RowStoreCommitOutcome, RowStoreError>) -> Stored {
    match outcome {
        Ok(RowStoreCommitOutcome::Applied { .. }) => Stored::Yes,
        Ok(RowStoreCommitOutcome::Conflict { .. }) => Stored::Existing,
        Err(RowStoreError::ResponseLost(_)) => Stored::Unknown,
        Err(error) => {
            log::debug!("job={id} error={error} outcome=cancel_not_stored");
            Stored::No
        }
    }
}

/// Finished jobs whose submissions were to be removed.
#[derive(Debug, Default)]
pub(super) struct Removal {
    pub(super) removed: Vec<ReportedPhase>,
    /// Version of the store after the last removal.
    pub(super) version: u64,
    /// Jobs for which the removal has to be retried.
    pub(super) remaining: Vec<ReportedPhase>,
}

/// Replaces the submissions of finished jobs by their final phases, so that a job submitted again is still recognised.
pub(super) async fn remove_finished(daemon: &Rc<ControlDaemon>, jobs: &[ReportedPhase]) -> Removal {
    let mut by_partition: BTreeMap<String, Vec<ReportedPhase>> = BTreeMap::new();
    for finished in jobs {
        by_partition.entry(job_partition(&finished.job)).or_default().push(finished.clone());
    }
    let mut removal = Removal::default();
    for (partition, jobs) in by_partition {
        for batch in jobs.chunks(MAX_BATCH_JOBS) {
            match daemon.store.commit(&removal_transaction(&partition, batch)).await {
                Ok(RowStoreCommitOutcome::Applied { version }) => {
                    removal.version = removal.version.max(version);
                    removal.removed.extend_from_slice(batch);
                }
                Ok(RowStoreCommitOutcome::Conflict { .. }) => removal.remaining.extend_from_slice(batch),
                Err(error) => {
                    log::debug!(
                        "partition={partition} jobs={} error={error} outcome=submissions_not_removed",
                        batch.len()
                    );
                    removal.remaining.extend_from_slice(batch);
                }
            }
        }
    }
    removal
}

fn removal_transaction(partition: &str, jobs: &[ReportedPhase]) -> RowStoreTransaction {
    let mut transaction = RowStoreTransaction::default();
    for ReportedPhase { job: id, phase, origin } in jobs {
        let finished_row_id = RowId::new(FINISHED_TABLE, partition, id);
        transaction.writes.push((finished_row_id, encode_final_phase(*phase, origin.as_ref())));
        transaction.removals.push(RowId::new(JOB_TABLE, partition, id));
        if *phase == JobPhase::Cancelled {
            transaction.removals.push(RowId::new(JOB_TABLE, partition, &format!("{id}{CANCEL_SUFFIX}")));
        }
    }
    transaction
}
