//! Decides which jobs a caller sees: those of its organisation, and those that belong to none.

#[cfg(test)]
mod ownership_tests;

use std::rc::Rc;

use super::access::Caller;
use super::status::KnownJob;
use super::{job_partition, ControlDaemon, FINISHED_TABLE, JOB_TABLE};
use crate::row_store::RowStoreError;
use crate::sched::model::{JobId, JobOrigin, JobPhase};
use crate::sched::record::{decode_finished_job, decode_spec};

/// Whether a caller may know of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Visibility {
    Visible,
    /// To this caller, the job does not exist.
    Hidden,
    /// The job's origin is needed to decide.
    Undecided,
}

/// What a caller may know of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum JobLookup {
    Visible(JobPhase),
    /// The job belongs to others.
    Hidden,
    /// The job was cancelled before it was submitted, so that it never will be.
    NeverSubmitted,
    Absent,
}

/// What the store holds of a job.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum StoredJob {
    Job(KnownJob),
    NeverSubmitted,
    Absent,
}

/// Decides whether a caller of `queue` may know of a job. Jobs of one organisation are hidden from the others. A queue
/// may have changed between public and requiring a key since a job was accepted in it: whoever may use the queue now then
/// sees the job.
pub(super) fn visibility(caller: &Caller, queue: &str, origin: Option<&JobOrigin>) -> Visibility {
    let organisation = caller.organisation();
    let Some(origin) = origin else {
        // Stored rows leave out the origin of a job that belongs to no organisation.
        return if organisation.is_none() { Visibility::Visible } else { Visibility::Undecided };
    };
    let is_own = origin.organisation.as_ref() == organisation;
    let either_has_no_organisation = origin.organisation.is_none() || organisation.is_none();
    if is_own || (either_has_no_organisation && *origin.queue == *queue) {
        return Visibility::Visible;
    }
    Visibility::Hidden
}

/// Looks up a job for a caller of `queue`: in this daemon's status view and, if that does not suffice, in the store.
pub(super) async fn find_job(
    daemon: &Rc<ControlDaemon>,
    caller: &Caller,
    queue: &str,
    id: &JobId,
) -> Result<JobLookup, RowStoreError> {
    let known = daemon.status.borrow().job(id);
    if let Some(known) = &known {
        match visibility(caller, queue, known.origin.as_deref()) {
            Visibility::Visible => return Ok(JobLookup::Visible(known.phase)),
            Visibility::Hidden => return Ok(JobLookup::Hidden),
            Visibility::Undecided => {}
        }
    }
    let stored = match read_job(daemon, id).await? {
        StoredJob::Job(stored) => Some(stored),
        StoredJob::NeverSubmitted => return Ok(JobLookup::NeverSubmitted),
        StoredJob::Absent => None,
    };
    // A phase that the leader has published is newer than that of the submission.
    let Some(job) = merge(known, stored) else { return Ok(JobLookup::Absent) };
    match visibility(caller, queue, job.origin.as_deref()) {
        Visibility::Hidden => Ok(JobLookup::Hidden),
        // A finished job whose rows name no origin belongs to no organisation. Its queue is no longer known.
        Visibility::Visible | Visibility::Undecided => Ok(JobLookup::Visible(job.phase)),
    }
}

/// Combines what the status view knows of a job with what the store holds.
fn merge(known: Option<KnownJob>, stored: Option<KnownJob>) -> Option<KnownJob> {
    match (known, stored) {
        (Some(known), Some(stored)) => Some(KnownJob { phase: known.phase, origin: stored.origin.or(known.origin) }),
        (known, stored) => known.or(stored),
    }
}

/// Reads a job's phase and origin from the store. A job whose submission is still stored counts as queued.
pub(super) async fn read_job(daemon: &Rc<ControlDaemon>, id: &JobId) -> Result<StoredJob, RowStoreError> {
    let partition = job_partition(id);
    let stored = daemon.store.read_page(JOB_TABLE, &partition, id, 1).await?;
    if let Some(value) = stored.rows.iter().find(|row| row.id.key == *id).and_then(|row| row.value.as_ref()) {
        let origin = match decode_spec(value) {
            Ok(spec) => Some(spec.origin()),
            Err(error) => {
                log::error!("job={id} error={error} outcome=submission_unreadable");
                None
            }
        };
        let mut status = daemon.status.borrow_mut();
        status.mark_stored(id, origin.clone());
        return Ok(StoredJob::Job(KnownJob { phase: JobPhase::Queued, origin: origin.map(Into::into) }));
    }
    let finished = daemon.store.read_page(FINISHED_TABLE, &partition, id, 1).await?;
    let Some(value) = finished.rows.iter().find(|row| row.id.key == *id).and_then(|row| row.value.as_ref()) else {
        return Ok(StoredJob::Absent);
    };
    let finished = decode_finished_job(value).map_err(|error| RowStoreError::Protocol(error.to_string()))?;
    if !finished.was_submitted {
        return Ok(StoredJob::NeverSubmitted);
    }
    Ok(StoredJob::Job(KnownJob { phase: finished.phase, origin: finished.origin.map(Into::into) }))
}
