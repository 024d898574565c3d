//! Rows in which jobs last: what was submitted, and what has become of it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::job::{Job, RunPhase, TaskState, WorkerIncarnation};
use super::model::{JobId, JobPhase, JobSpec, TaskRef};

/// Why a row of our own cannot be used.
#[derive(Debug, thiserror::Error)]
#[error("a stored row cannot be decoded: {0}")]
pub(crate) struct RecordError(String);

#[derive(Debug, Serialize, Deserialize)]
struct JobRecord {
    phase: JobPhase,
    next_occurrence: u32,
    /// Lives of workers, referred to by their place.
    lives: Vec<(Arc<str>, u64)>,
    /// Work items that have been placed at least once.
    tasks: Vec<TaskRecord>,
}

#[derive(Debug, Serialize, Deserialize)]
struct TaskRecord {
    occurrence: u32,
    step: u32,
    index: u32,
    state: StateRecord,
    run: u32,
    settled_run: u32,
    failures: u32,
    checkpoint: Arc<str>,
}

#[derive(Debug, Serialize, Deserialize)]
enum StateRecord {
    Waiting,
    Placed { life: u16 },
    Done,
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Plain structs of texts and numbers always serialize.
    bincode::serde::encode_to_vec(value, bincode::config::standard()).unwrap_or_default()
}

fn decode<T: for<'de> Deserialize<'de>>(bytes: &[u8]) -> Result<T, RecordError> {
    // Rows are bounded by the store; a length inside one may claim no more than that.
    const MAX_BYTES: usize = 4 << 20;
    let config = bincode::config::standard().with_limit::<MAX_BYTES>();
    let decoded = bincode::serde::decode_from_slice(bytes, config);
    decoded.map(|(value, _)| value).map_err(|error| RecordError(error.to_string()))
}

/// Encodes a submission.
pub(crate) fn encode_spec(spec: &JobSpec) -> Vec<u8> {
    encode(spec)
}

/// Decodes a submission.
pub(crate) fn decode_spec(bytes: &[u8]) -> Result<JobSpec, RecordError> {
    decode(bytes)
}

/// Encodes the final phase of a job whose submission is removed.
pub(crate) fn encode_final_phase(phase: JobPhase) -> Vec<u8> {
    encode(&phase)
}

/// Decodes the final phase of a job whose submission is removed.
pub(crate) fn decode_final_phase(bytes: &[u8]) -> Result<JobPhase, RecordError> {
    decode(bytes)
}

/// Encodes the phases that callers are told from now on.
pub(crate) fn encode_published_phases(phases: &[(JobId, JobPhase)]) -> Vec<u8> {
    encode(&phases)
}

/// Decodes the phases that callers are told.
pub(crate) fn decode_published_phases(bytes: &[u8]) -> Result<Vec<(JobId, JobPhase)>, RecordError> {
    decode(bytes)
}

/// Encodes the number of jobs of each queue that have not begun.
pub(crate) fn encode_pending(pending: &[(Arc<str>, u64)]) -> Vec<u8> {
    encode(&pending)
}

/// Decodes the number of jobs of each queue that have not begun.
pub(crate) fn decode_pending(bytes: &[u8]) -> Result<Vec<(Arc<str>, u64)>, RecordError> {
    decode(bytes)
}

/// Encodes a list of hosts.
pub(crate) fn encode_hosts(hosts: &[Arc<str>]) -> Vec<u8> {
    encode(&hosts)
}

/// Decodes a list of hosts.
pub(crate) fn decode_hosts(bytes: &[u8]) -> Result<Vec<Arc<str>>, RecordError> {
    decode(bytes)
}

/// Encodes what has become of a job.
pub(crate) fn encode_job(job: &Job) -> Vec<u8> {
    let mut record =
        JobRecord { phase: job.phase, next_occurrence: job.next_occurrence, lives: Vec::new(), tasks: Vec::new() };
    for (at, task) in job.tasks() {
        let state = match &task.state {
            // A run that still has to be stopped is found again in its worker's list.
            TaskState::Placed { .. } if task.is_done => StateRecord::Done,
            TaskState::Waiting if task.run == 0 => continue,
            TaskState::Waiting => StateRecord::Waiting,
            TaskState::Done => StateRecord::Done,
            TaskState::Placed { worker, .. } => StateRecord::Placed { life: life_number(&mut record.lives, worker) },
        };
        record.tasks.push(TaskRecord {
            occurrence: at.occurrence,
            step: at.step,
            index: at.index,
            state,
            run: task.run,
            settled_run: task.settled_run,
            failures: task.failures,
            checkpoint: task.checkpoint.clone(),
        });
    }
    encode(&record)
}

fn life_number(lives: &mut Vec<(Arc<str>, u64)>, life: &WorkerIncarnation) -> u16 {
    let same = |known: &(Arc<str>, u64)| known.0 == life.id && known.1 == life.started_unix_ms;
    let place = lives.iter().position(same).unwrap_or_else(|| {
        lives.push((life.id.clone(), life.started_unix_ms));
        lives.len() - 1
    });
    place as u16
}

/// Restores what a former leader wrote about a job. Its placed runs count as inherited.
pub(crate) fn restore_job(job: &mut Job, bytes: &[u8]) -> Result<(), RecordError> {
    let record: JobRecord = decode(bytes)?;
    job.phase = record.phase;
    job.told = record.phase;
    for number in 0..record.next_occurrence.min(job.occurrence_count()) {
        job.begin_occurrence(number);
    }
    for row in record.tasks {
        let at = TaskRef { job: job.id.clone(), occurrence: row.occurrence, step: row.step, index: row.index };
        let Some(task) = job.task_mut(&at) else { continue };
        task.run = row.run;
        task.settled_run = row.settled_run;
        task.failures = row.failures;
        task.checkpoint = row.checkpoint;
        task.state = match row.state {
            StateRecord::Waiting => TaskState::Waiting,
            StateRecord::Done => TaskState::Done,
            StateRecord::Placed { life } => match record.lives.get(life as usize) {
                Some((id, started_unix_ms)) => TaskState::Placed {
                    worker: WorkerIncarnation { id: id.clone(), started_unix_ms: *started_unix_ms },
                    phase: RunPhase::Inherited,
                },
                None => return Err(RecordError("a run refers to no worker".to_owned())),
            },
        };
        if matches!(task.state, TaskState::Done) {
            task.is_done = true;
            if let Some(occurrence) = job.occurrences.get_mut(&at.occurrence) {
                occurrence.steps[at.step as usize].done += 1;
            }
        }
    }
    Ok(())
}
