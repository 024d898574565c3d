//! Encoding of the rows of the table of phases, which every daemon follows: changed phases of jobs, numbers of queued jobs and
//! the report about waits.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::admission::AdmissionReport;
use super::model::{JobId, JobOrigin, JobPhase, ReportedPhase};
#[cfg(doc)]
use super::record::encode_spec;
use super::record::{decode, decode_prefix, encode, RecordError};
use crate::row_store::MAX_ROW_BYTES;

/// Origins of the jobs of a row of phases.
#[derive(Debug, Default, Serialize, Deserialize)]
struct OriginsRecord {
    origins: Vec<JobOrigin>,
    /// For each job of the row, an index into `origins` if the job belongs to an organisation.
    of_jobs: Vec<Option<u16>>,
}

impl OriginsRecord {
    /// Index of an origin in the list, to which it is added if necessary.
    fn index_of(&mut self, origin: &JobOrigin) -> u16 {
        let index = self.origins.iter().position(|known| known == origin).unwrap_or_else(|| {
            self.origins.push(origin.clone());
            self.origins.len() - 1
        });
        index as u16
    }
}

/// Encodes changed phases of jobs, which are reported to callers once they are stored. The origins follow if any of the
/// jobs belongs to an organisation; see [`encode_spec`].
pub(crate) fn encode_published_phases(phases: &[ReportedPhase]) -> Vec<u8> {
    let pairs: Vec<(&JobId, JobPhase)> = phases.iter().map(|reported| (&reported.job, reported.phase)).collect();
    let mut row = encode(&pairs);
    let mut origins = OriginsRecord::default();
    for reported in phases {
        let index = reported.origin.as_ref().map(|origin| origins.index_of(origin));
        origins.of_jobs.push(index);
    }
    if !origins.origins.is_empty() {
        row.extend(encode(&origins));
    }
    row
}

/// Decodes changed phases of jobs.
pub(crate) fn decode_published_phases(bytes: &[u8]) -> Result<Vec<ReportedPhase>, RecordError> {
    let (pairs, read): (Vec<(JobId, JobPhase)>, usize) = decode_prefix(bytes)?;
    let origins = if read < bytes.len() { decode(&bytes[read..])? } else { OriginsRecord::default() };
    let mut phases = Vec::with_capacity(pairs.len());
    for (position, (job, phase)) in pairs.into_iter().enumerate() {
        let origin = match origins.of_jobs.get(position) {
            Some(Some(index)) => match origins.origins.get(*index as usize) {
                Some(origin) => Some(origin.clone()),
                None => return Err(RecordError("a job refers to an origin that the row does not list".to_owned())),
            },
            Some(None) | None => None,
        };
        phases.push(ReportedPhase { job, phase, origin });
    }
    Ok(phases)
}

/// Queues and their numbers of queued jobs.
type QueueCounts = Vec<(Arc<str>, u64)>;

/// Most bytes of a queue with its number of queued jobs, in addition to its name.
const MAX_COUNT_BYTES: usize = 20;

/// Splits the numbers of queued jobs into parts that each fit into a row; at least one part.
pub(crate) fn split_pending_counts(counts: &[(Arc<str>, u64)]) -> Vec<&[(Arc<str>, u64)]> {
    let mut parts = Vec::new();
    let (mut start, mut bytes) = (0, 0);
    for (index, (queue, _)) in counts.iter().enumerate() {
        bytes += queue.len() + MAX_COUNT_BYTES;
        if bytes > MAX_ROW_BYTES && index > start {
            parts.push(&counts[start..index]);
            (start, bytes) = (index, queue.len() + MAX_COUNT_BYTES);
        }
    }
    parts.push(&counts[start..]);
    parts
}

/// Encodes the first part of the numbers of queued jobs. The number of parts follows only if there are several, see
/// [`encode_spec`].
pub(crate) fn encode_pending_counts(first: &[(Arc<str>, u64)], parts: usize) -> Vec<u8> {
    let mut row = encode(&first);
    if parts > 1 {
        row.extend(encode(&parts));
    }
    row
}

/// Decodes the first part of the numbers of queued jobs, and the number of parts.
pub(crate) fn decode_pending_counts(bytes: &[u8]) -> Result<(QueueCounts, usize), RecordError> {
    let (counts, read) = decode_prefix(bytes)?;
    if read == bytes.len() {
        return Ok((counts, 1));
    }
    Ok((counts, decode(&bytes[read..])?))
}

/// Encodes a further part of the numbers of queued jobs.
pub(crate) fn encode_further_pending_counts(counts: &[(Arc<str>, u64)]) -> Vec<u8> {
    encode_beside_phases(&counts)
}

/// Decodes a further part of the numbers of queued jobs.
pub(crate) fn decode_further_pending_counts(bytes: &[u8]) -> Result<QueueCounts, RecordError> {
    decode_beside_phases(bytes)
}

/// Encodes a report about waits.
pub(crate) fn encode_admission(report: &AdmissionReport) -> Vec<u8> {
    encode_beside_phases(report)
}

/// Decodes a report about waits.
pub(crate) fn decode_admission(bytes: &[u8]) -> Result<AdmissionReport, RecordError> {
    decode_beside_phases(bytes)
}

/// Encodes a row of the table of phases that is of another kind. An empty list of phases comes first, because daemons of
/// earlier versions read each row of the table as phases.
fn encode_beside_phases<T: Serialize>(value: &T) -> Vec<u8> {
    let no_phases: [(JobId, JobPhase); 0] = [];
    let mut row = encode(&no_phases.as_slice());
    row.extend(encode(value));
    row
}

fn decode_beside_phases<T: for<'de> Deserialize<'de>>(bytes: &[u8]) -> Result<T, RecordError> {
    let (_, read): (Vec<(JobId, JobPhase)>, usize) = decode_prefix(bytes)?;
    decode(&bytes[read..])
}
