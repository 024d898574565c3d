//! Stores submissions, many in one transaction.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;

use futures::channel::oneshot;

use super::{job_partition, Node, CANCEL_SUFFIX, JOB_PARTITIONS, JOB_TABLE, OVER_TABLE};
use crate::clock::US_PER_MS;
use crate::reactor::{spawn, Signal};
use crate::sched::model::{JobId, JobPhase};
use crate::sched::record::encode_final_phase;
use crate::store::{CommitEnd, RowKey, StoreError, StoreTransaction, ABSENT};

/// Submissions in one transaction, each of which takes three of its hundred entries.
const MAX_GROUP: usize = 30;
/// Largest size of one transaction's values; the store takes 1 MB.
const MAX_GROUP_BYTES: usize = 500_000;
const RETRY_MS: u64 = 60;

/// What became of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stored {
    /// It is stored, by this attempt or an earlier one.
    Yes,
    /// It is not, and never will be by this attempt.
    No,
    /// The store did not say in time.
    Unknown,
}

impl Stored {
    /// Name in metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            Stored::Yes => "yes",
            Stored::No => "no",
            Stored::Unknown => "unknown",
        }
    }
}

struct Submission {
    id: JobId,
    value: Vec<u8>,
    deadline_us: u64,
    /// A call that may have stored it got no answer.
    may_be_stored: bool,
    reply: oneshot::Sender<Stored>,
}

/// Submissions waiting for their partition's next transaction.
#[derive(Default)]
pub(super) struct Intake {
    waiting: RefCell<BTreeMap<String, Vec<Submission>>>,
    arrived: Signal,
}

impl Intake {
    /// Stores a submission.
    pub(super) async fn submit(&self, id: JobId, value: Vec<u8>, deadline_us: u64) -> Stored {
        let (reply, answer) = oneshot::channel();
        let partition = job_partition(&id);
        let submission = Submission { id, value, deadline_us, may_be_stored: false, reply };
        self.waiting.borrow_mut().entry(partition).or_default().push(submission);
        self.arrived.notify();
        // The writer lives as long as the daemon.
        answer.await.unwrap_or(Stored::Unknown)
    }

    fn has_waiting(&self, partition: &str) -> bool {
        self.waiting.borrow().get(partition).is_some_and(|waiting| !waiting.is_empty())
    }

    fn take_group(&self, partition: &str) -> Vec<Submission> {
        let mut waiting = self.waiting.borrow_mut();
        let Some(waiting) = waiting.get_mut(partition) else { return Vec::new() };
        let mut bytes = 0;
        let mut count = 0;
        for submission in waiting.iter() {
            bytes += submission.value.len();
            if count == MAX_GROUP || (count > 0 && bytes > MAX_GROUP_BYTES) {
                break;
            }
            count += 1;
        }
        waiting.drain(..count).collect()
    }
}

/// Starts one writer for each partition.
pub(super) fn start(node: &Rc<Node>) {
    for number in 0..JOB_PARTITIONS {
        spawn(write(node.clone(), format!("j{number}")));
    }
}

async fn write(node: Rc<Node>, partition: String) {
    loop {
        node.intake.arrived.until(|| node.intake.has_waiting(&partition)).await;
        let mut group = node.intake.take_group(&partition);
        // A caller may send the same job twice at once.
        let mut seen = HashSet::new();
        let (mut group_once, twice): (Vec<_>, Vec<_>) = group.drain(..).partition(|one| seen.insert(one.id.clone()));
        while !group_once.is_empty() {
            group_once = store_group(&node, &partition, group_once).await;
        }
        let mut waiting = node.intake.waiting.borrow_mut();
        waiting.entry(partition.clone()).or_default().extend(twice);
    }
}

/// Makes one attempt and returns the submissions that need another one.
async fn store_group(node: &Rc<Node>, partition: &str, mut group: Vec<Submission>) -> Vec<Submission> {
    let mut transaction = StoreTransaction::default();
    for submission in &group {
        let at = RowKey::new(JOB_TABLE, partition, &submission.id);
        transaction.expected.push((at.clone(), ABSENT));
        transaction.expected.push((RowKey::new(OVER_TABLE, partition, &submission.id), ABSENT));
        transaction.writes.push((at, submission.value.clone()));
    }
    match node.store.commit(&transaction).await {
        Ok(CommitEnd::Applied { .. }) => {
            for submission in group {
                finish(node, submission, Stored::Yes);
            }
            return Vec::new();
        }
        Ok(CommitEnd::Conflict { current }) => {
            let mut left = Vec::new();
            for submission in group {
                if current.iter().any(|row| row.at.key == submission.id && row.version != ABSENT) {
                    finish(node, submission, Stored::Yes);
                } else {
                    left.push(submission);
                }
            }
            return left;
        }
        Err(StoreError::AnswerLost(reason)) => {
            for submission in &mut group {
                log::warn!("job={} error={reason} outcome=submission_unanswered", submission.id);
                submission.may_be_stored = true;
            }
        }
        Err(error) => {
            for submission in &group {
                log::info!("job={} error={error} outcome=submission_not_stored", submission.id);
            }
        }
    }
    let retry_at_us = node.now_us() + RETRY_MS * US_PER_MS;
    let mut left = Vec::new();
    for submission in group {
        if !submission.may_be_stored {
            finish(node, submission, Stored::No);
        } else if retry_at_us > submission.deadline_us {
            finish(node, submission, Stored::Unknown);
        } else {
            left.push(submission);
        }
    }
    if !left.is_empty() {
        node.sleep_ms(RETRY_MS).await;
    }
    left
}

fn finish(node: &Rc<Node>, submission: Submission, stored: Stored) {
    if stored == Stored::Yes {
        node.status.borrow_mut().note_stored(&submission.id);
    }
    // The caller may have hung up.
    let _ = submission.reply.send(stored);
}

/// Stores the wish to cancel a job.
pub(super) async fn cancel(node: &Rc<Node>, id: &str) -> Stored {
    let at = RowKey::new(JOB_TABLE, &job_partition(id), &format!("{id}{CANCEL_SUFFIX}"));
    let transaction = StoreTransaction { writes: vec![(at, vec![1])], ..StoreTransaction::default() };
    match node.store.commit(&transaction).await {
        Ok(CommitEnd::Applied { .. }) => Stored::Yes,
        Ok(CommitEnd::Conflict { .. }) => Stored::No,
        Err(StoreError::AnswerLost(_)) => Stored::Unknown,
        Err(error) => {
            log::debug!("job={id} error={error} outcome=cancel_not_stored");
            Stored::No
        }
    }
}

/// Removes the submissions of jobs that are over; a mark stays, so that a submission that is sent again is known.
/// Returns the jobs that are still there.
pub(super) async fn remove_over(node: &Rc<Node>, jobs: &[(JobId, JobPhase)]) -> Vec<(JobId, JobPhase)> {
    let mut by_partition: BTreeMap<String, Vec<(JobId, JobPhase)>> = BTreeMap::new();
    for (id, phase) in jobs {
        by_partition.entry(job_partition(id)).or_default().push((id.clone(), *phase));
    }
    let mut left = Vec::new();
    for (partition, jobs) in by_partition {
        for group in jobs.chunks(MAX_GROUP) {
            let mut transaction = StoreTransaction::default();
            for (id, phase) in group {
                let mark = RowKey::new(OVER_TABLE, &partition, id);
                transaction.writes.push((mark, encode_final_phase(*phase)));
                transaction.removals.push(RowKey::new(JOB_TABLE, &partition, id));
                if *phase == JobPhase::Cancelled {
                    transaction.removals.push(RowKey::new(JOB_TABLE, &partition, &format!("{id}{CANCEL_SUFFIX}")));
                }
            }
            match node.store.commit(&transaction).await {
                Ok(CommitEnd::Applied { .. }) => {}
                Ok(CommitEnd::Conflict { .. }) => left.extend(group.iter().cloned()),
                Err(error) => {
                    log::debug!("partition={partition} jobs={} error={error} outcome=not_removed", group.len());
                    left.extend(group.iter().cloned());
                }
            }
        }
    }
    left
}
