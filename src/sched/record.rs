//! Encoding of the stored rows of the scheduler: submissions, and the state of jobs and hosts.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::job::{Job, RunPhase, Task, TaskState, WorkerIncarnation};
use super::late_starts::LateStart;
use super::model::{FinishedJob, JobOrigin, JobPhase, JobSpec, TaskRef};
use super::packed_row::{pack, unpack};
use super::task_runs::PlacedRun;
use super::worker_loss::{Blame, WorkerLoss};

/// A stored row that cannot be decoded.
#[derive(Debug, thiserror::Error)]
#[error("cannot decode stored row: {0}")]
pub(crate) struct RecordError(pub(super) String);

#[derive(Debug, Serialize, Deserialize)]
struct JobRecord {
    phase: JobPhase,
    next_occurrence: u32,
    /// ID and start time of each worker that has a placed run; [`StateRecord::Placed`] holds an index into this
    /// list.
    workers: Vec<(Arc<str>, u64)>,
    /// Tasks that have been placed at least once or are done.
    tasks: Vec<TaskRecord>,
}

#[derive(Debug, Serialize, Deserialize)]
struct TaskRecord {
    occurrence: u32,
    step: u32,
    index: u32,
    state: StateRecord,
    run: u32,
    highest_ended_run: u32,
    failures: u32,
    checkpoint: Arc<str>,
}

/// What the record of a task with copies holds in addition.
#[derive(Debug, Serialize, Deserialize)]
struct CopyRecord {
    /// Position of the task in [`JobRecord::tasks`].
    task: u32,
    /// Highest number of any run.
    last_run: u32,
    /// Worker, as an index into [`JobRecord::workers`], and number of a second run: a copy, or a run of a task that is
    /// done which must still be stopped.
    run: Option<(u16, u32)>,
}

/// A worker that was lost with a run of a task.
#[derive(Debug, Serialize, Deserialize)]
struct LossRecord {
    /// Position of the task in [`JobRecord::tasks`].
    task: u32,
    /// Index into [`JobRecord::workers`].
    worker: u16,
    is_crash: bool,
    has_begun: bool,
    blame: Blame,
}

#[derive(Debug, Serialize, Deserialize)]
enum StateRecord {
    Waiting,
    Placed { worker: u16 },
    Done,
}

/// A start order that may still be carried out by a later incarnation of its worker.
#[derive(Debug, Serialize, Deserialize)]
struct LateStartRecord {
    /// Position of the task in [`JobRecord::tasks`].
    task: u32,
    /// Index into [`JobRecord::workers`].
    worker: u16,
    run: u32,
}

pub(super) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Serialization cannot fail: the types contain only strings, numbers, enums and lists.
    bincode::serde::encode_to_vec(value, bincode::config::standard()).unwrap_or_default()
}

pub(super) fn decode<T: for<'de> Deserialize<'de>>(bytes: &[u8]) -> Result<T, RecordError> {
    decode_prefix(bytes).map(|(value, _)| value)
}

/// Decodes a value from the first bytes; returns it with their number.
pub(super) fn decode_prefix<T: for<'de> Deserialize<'de>>(bytes: &[u8]) -> Result<(T, usize), RecordError> {
    // The store bounds the size of a row, so a greater length within a row must be corrupt.
    const MAX_BYTES: usize = 4 << 20;
    let config = bincode::config::standard().with_limit::<MAX_BYTES>();
    bincode::serde::decode_from_slice(bytes, config).map_err(|error| RecordError(error.to_string()))
}

/// Encodes a job as submitted. The organisation follows the other fields only if there is one, so that rows of versions
/// without organisations can be read, and they can read those of jobs without one.
pub(crate) fn encode_spec(spec: &JobSpec) -> Vec<u8> {
    let mut row = encode(spec);
    if let Some(organisation) = &spec.organisation {
        row.extend(encode(organisation));
    }
    row
}

/// Decodes a job as submitted.
pub(crate) fn decode_spec(bytes: &[u8]) -> Result<JobSpec, RecordError> {
    let (mut spec, read): (JobSpec, usize) = decode_prefix(bytes)?;
    if read < bytes.len() {
        spec.organisation = Some(decode(&bytes[read..])?);
    }
    Ok(spec)
}

/// Encodes the final phase that replaces the submission of a finished job. The job's origin follows if it belongs to an
/// organisation; see [`encode_spec`].
pub(crate) fn encode_final_phase(phase: JobPhase, origin: Option<&JobOrigin>) -> Vec<u8> {
    let mut row = encode(&phase);
    if let Some(origin) = origin {
        row.extend(encode(origin));
    }
    row
}

/// Follows the origin in the row of a job that was cancelled before it was submitted. Earlier versions read such a row as
/// that of a cancelled job.
const CANCELLED_BEFORE_SUBMISSION: u8 = 1;

/// Encodes the row that keeps a cancelled job from being submitted later.
pub(crate) fn encode_cancelled_before_submission(origin: &JobOrigin) -> Vec<u8> {
    let mut row = encode_final_phase(JobPhase::Cancelled, Some(origin));
    row.push(CANCELLED_BEFORE_SUBMISSION);
    row
}

/// Decodes the row that replaces the submission of a finished job.
pub(crate) fn decode_finished_job(bytes: &[u8]) -> Result<FinishedJob, RecordError> {
    let (phase, read) = decode_prefix(bytes)?;
    if read == bytes.len() {
        return Ok(FinishedJob { phase, origin: None, was_submitted: true });
    }
    let (origin, origin_bytes) = decode_prefix(&bytes[read..])?;
    let was_submitted = bytes.get(read + origin_bytes) != Some(&CANCELLED_BEFORE_SUBMISSION);
    Ok(FinishedJob { phase, origin: Some(origin), was_submitted })
}

/// Encodes a list of hosts.
pub(crate) fn encode_hosts(hosts: &[Arc<str>]) -> Vec<u8> {
    encode(&hosts)
}

/// Decodes a list of hosts.
pub(crate) fn decode_hosts(bytes: &[u8]) -> Result<Vec<Arc<str>>, RecordError> {
    decode(bytes)
}

/// Encodes the state of a job and its tasks. Copies, losses and late start orders follow the other fields, and only if there
/// are any, so that rows without them are the same as those of earlier versions. Those versions ignore what they do not know, but
/// cannot read the record of a job that is so large that it is compressed, see [`pack`].
pub(crate) fn encode_job(job: &Job) -> Vec<u8> {
    let mut record =
        JobRecord { phase: job.phase, next_occurrence: job.next_occurrence, workers: Vec::new(), tasks: Vec::new() };
    let mut copies: Vec<CopyRecord> = Vec::new();
    let mut losses: Vec<LossRecord> = Vec::new();
    let mut late_starts: Vec<LateStartRecord> = Vec::new();
    // The runs that are left are found in the lists of their workers.
    let recorded_tasks = (!job.is_record_refused).then(|| job.tasks()).into_iter().flatten();
    for (task_ref, task) in recorded_tasks {
        if let Some((last_run, second_run)) = second_run(job, &task_ref, task) {
            let run = second_run.map(|placed| (index_of(&mut record.workers, placed.worker), placed.run));
            copies.push(CopyRecord { task: record.tasks.len() as u32, last_run, run });
        }
        let state = match &task.state {
            // Unless it is a copy's, a run that still has to be stopped need not be recorded: a new leader finds it in
            // its worker's list.
            TaskState::Placed { .. } if task.is_done => StateRecord::Done,
            TaskState::Waiting if task.run == 0 => continue,
            TaskState::Waiting => StateRecord::Waiting,
            TaskState::Done => StateRecord::Done,
            TaskState::Placed { worker, .. } => StateRecord::Placed { worker: index_of(&mut record.workers, worker) },
        };
        for loss in &task.losses {
            let (position, worker) = (record.tasks.len() as u32, index_of(&mut record.workers, &loss.worker));
            let WorkerLoss { is_crash, has_begun, blame, .. } = *loss;
            losses.push(LossRecord { task: position, worker, is_crash, has_begun, blame });
        }
        for late_start in &task.late_starts {
            let worker = WorkerIncarnation { id: late_start.worker.clone(), started_unix_ms: 0 };
            let (position, worker) = (record.tasks.len() as u32, index_of(&mut record.workers, &worker));
            late_starts.push(LateStartRecord { task: position, worker, run: late_start.run });
        }
        record.tasks.push(TaskRecord {
            occurrence: task_ref.occurrence,
            step: task_ref.step,
            index: task_ref.index,
            state,
            run: task.run,
            highest_ended_run: task.highest_ended_run,
            failures: task.failures,
            checkpoint: task.checkpoint.clone(),
        });
    }
    let mut row = encode(&record);
    if !copies.is_empty() || !losses.is_empty() || !late_starts.is_empty() {
        row.extend(encode(&copies));
    }
    if !losses.is_empty() || !late_starts.is_empty() {
        row.extend(encode(&losses));
    }
    if !late_starts.is_empty() {
        row.extend(encode(&late_starts));
    }
    pack(row)
}

/// What [`CopyRecord`] holds of a task; `None` if the task has had no copy.
fn second_run<'a>(job: &Job, task_ref: &TaskRef, task: &'a Task) -> Option<(u32, Option<PlacedRun<'a>>)> {
    if !job.spec.steps[task_ref.step as usize].allows_copies() {
        return None;
    }
    let second_run = task.placed_runs().find(|placed| placed.is_copy || task.is_done);
    (second_run.is_some() || task.last_run != task.run).then_some((task.last_run, second_run))
}

/// Index of a worker in the record's list, to which it is added if necessary.
fn index_of(workers: &mut Vec<(Arc<str>, u64)>, worker: &WorkerIncarnation) -> u16 {
    let same = |known: &(Arc<str>, u64)| known.0 == worker.id && known.1 == worker.started_unix_ms;
    let index = workers.iter().position(same).unwrap_or_else(|| {
        workers.push((worker.id.clone(), worker.started_unix_ms));
        workers.len() - 1
    });
    index as u16
}

/// Restores the state of a job as recorded by a former leader. Placed runs become [`RunPhase::Restored`].
pub(crate) fn restore_job(job: &mut Job, bytes: &[u8]) -> Result<(), RecordError> {
    let row = unpack(bytes).map_err(|error| RecordError(error.to_string()))?;
    let (record, rest): (JobRecord, &[u8]) = split_prefix(&row)?;
    let (copies, rest): (Vec<CopyRecord>, &[u8]) = split_optional(rest)?;
    let (losses, rest): (Vec<LossRecord>, &[u8]) = split_optional(rest)?;
    let (late_starts, _): (Vec<LateStartRecord>, &[u8]) = split_optional(rest)?;
    job.phase = record.phase;
    job.published_phase = record.phase;
    for number in 0..record.next_occurrence.min(job.occurrence_count()) {
        job.begin_occurrence(number);
    }
    let mut task_refs = Vec::with_capacity(record.tasks.len());
    for task_record in record.tasks {
        let task_ref = TaskRef {
            job: job.id.clone(),
            occurrence: task_record.occurrence,
            step: task_record.step,
            index: task_record.index,
        };
        task_refs.push(task_ref.clone());
        let Some(task) = job.task_mut(&task_ref) else { continue };
        task.run = task_record.run;
        task.last_run = task_record.run;
        task.highest_ended_run = task_record.highest_ended_run;
        task.failures = task_record.failures;
        task.checkpoint = task_record.checkpoint;
        task.state = match task_record.state {
            StateRecord::Waiting => TaskState::Waiting,
            StateRecord::Done => TaskState::Done,
            StateRecord::Placed { worker } => {
                TaskState::Placed { worker: worker_at(&record.workers, worker)?, phase: RunPhase::Restored }
            }
        };
        task.report.pace_percent = None;
        if matches!(task.state, TaskState::Done) {
            task.is_done = true;
            if let Some(occurrence) = job.occurrences.get_mut(&task_ref.occurrence) {
                occurrence.steps[task_ref.step as usize].done_count += 1;
            }
        }
    }
    for copy in copies {
        let task_ref = task_refs.get(copy.task as usize);
        let Some(task) = task_ref.and_then(|task_ref| job.task_mut(task_ref)) else { continue };
        task.last_run = task.last_run.max(copy.last_run);
        if let Some((worker, run)) = copy.run {
            task.add_run(0, worker_at(&record.workers, worker)?, run, RunPhase::Restored);
            if let Some(copy) = &mut task.copy {
                copy.report.pace_percent = None;
            }
        }
    }
    for loss in losses {
        let task_ref = task_refs.get(loss.task as usize);
        let Some(task) = task_ref.and_then(|task_ref| job.task_mut(task_ref)) else { continue };
        let LossRecord { is_crash, has_begun, blame, .. } = loss;
        task.losses.push(WorkerLoss { worker: worker_at(&record.workers, loss.worker)?, is_crash, has_begun, blame });
    }
    for late_start in late_starts {
        let task_ref = task_refs.get(late_start.task as usize);
        let Some(task) = task_ref.and_then(|task_ref| job.task_mut(task_ref)) else { continue };
        let worker = worker_at(&record.workers, late_start.worker)?.id;
        // The leader that restores the record knows when the orders of former leaders end.
        let run = late_start.run;
        // The former leader may have sent the order again since it wrote the record.
        task.late_starts.push(LateStart { worker, started_unix_ms: None, run, until_us: 0, is_repeated: true });
    }
    Ok(())
}

/// Decodes a value from the first bytes; returns it with the others.
fn split_prefix<T: for<'de> Deserialize<'de>>(bytes: &[u8]) -> Result<(T, &[u8]), RecordError> {
    let (value, read) = decode_prefix(bytes)?;
    Ok((value, &bytes[read..]))
}

/// The same for a list that may be missing.
fn split_optional<T: for<'de> Deserialize<'de>>(bytes: &[u8]) -> Result<(Vec<T>, &[u8]), RecordError> {
    if bytes.is_empty() {
        return Ok((Vec::new(), bytes));
    }
    split_prefix(bytes)
}

/// The worker at an index of the record's list.
fn worker_at(workers: &[(Arc<str>, u64)], index: u16) -> Result<WorkerIncarnation, RecordError> {
    let Some((id, started_unix_ms)) = workers.get(index as usize) else {
        return Err(RecordError("a task refers to a worker that the record does not list".to_owned()));
    };
    Ok(WorkerIncarnation { id: id.clone(), started_unix_ms: *started_unix_ms })
}
