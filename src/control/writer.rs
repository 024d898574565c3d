//! Writes the leader's batches, one after the other.

use std::rc::Rc;

use super::election::{owner_row, sequence_row};
use super::leader::Leader;
use super::{HOST_TABLE, LEADER_PARTITION, ORDERED_KEY, PENDING_KEY, PHASE_TABLE, RECORD_TABLE, WAVE_TABLE};
use crate::clock::{US_PER_MS, US_PER_S};
use crate::sched::action::Batch;
use crate::sched::record::{encode_hosts, encode_pending, encode_published_phases};
use crate::store::{CommitEnd, RowKey, StoreError, StoreTransaction, StoredRow};

/// Least time between the beginnings of two transactions, in which changes gather.
const COMMIT_GAP_MS: u64 = 12;
/// Longest time without a transaction: each one tells the other daemons that the leader lives.
const RENEW_MS: u64 = 500;
const COMMIT_RETRY_MS: u64 = 40;

/// Writes the scheduler's batches one after the other, until leadership is lost.
pub(super) async fn write(leader: &Rc<Leader>) {
    let mut last_begun_us = 0;
    loop {
        wait_for_work(leader, last_begun_us).await;
        if leader.is_over.get() {
            return;
        }
        let now_us = leader.now_us();
        let batch = leader.scheduler.borrow_mut().take_batch(now_us);
        last_begun_us = now_us;
        if !write_batch(leader, &batch).await {
            return;
        }
        leader.pump();
    }
}

async fn wait_for_work(leader: &Rc<Leader>, last_begun_us: u64) {
    let renew_at_us = last_begun_us + RENEW_MS * US_PER_MS;
    loop {
        let now_us = leader.now_us();
        if leader.is_over.get() || now_us >= renew_at_us {
            return;
        }
        leader.scheduler.borrow_mut().acknowledge_without_writing();
        if leader.scheduler.borrow().wants_commit(now_us) {
            let earliest_us = last_begun_us + COMMIT_GAP_MS * US_PER_MS;
            if now_us < earliest_us {
                leader.node.sleep_ms((earliest_us - now_us).div_ceil(US_PER_MS)).await;
            }
            return;
        }
        let wait_ms = (renew_at_us - now_us).div_ceil(US_PER_MS);
        let deadline = std::time::Instant::now() + std::time::Duration::from_millis(wait_ms);
        let woken =
            leader.changed.until(|| leader.is_over.get() || leader.scheduler.borrow().wants_commit(leader.now_us()));
        let _ = crate::endpoint_client::before(deadline, woken).await;
    }
}

/// Repeats one batch until it is written; `false` if leadership is lost.
async fn write_batch(leader: &Rc<Leader>, batch: &Batch) -> bool {
    let transaction = transaction(leader, batch);
    for attempts in 0_u64.. {
        if leader.is_over.get() {
            return false;
        }
        let sent_us = leader.now_us();
        match leader.node.store.commit(&transaction).await {
            Ok(CommitEnd::Applied { version }) => {
                let taken_us = leader.now_us() - sent_us;
                metrics::histogram!("leader_commit_seconds").record(taken_us as f64 / US_PER_S as f64);
                leader.sequence.set(version);
                leader.scheduler.borrow_mut().batch_written(leader.now_us(), sent_us, batch);
                return true;
            }
            Ok(CommitEnd::Conflict { current }) => {
                let Some(sequence) = unanswered_success(leader, &current) else { return false };
                // Only this batch's own attempts are unaccounted for, so one of them was applied.
                leader.sequence.set(sequence);
                leader.scheduler.borrow_mut().batch_written(leader.now_us(), sent_us, batch);
                return true;
            }
            Err(StoreError::AnswerLost(reason)) => {
                // One line for each batch: a store that resets connections does so many times a second.
                let level = if attempts == 0 { log::Level::Warn } else { log::Level::Debug };
                log::log!(level, "error={reason} outcome=batch_unanswered");
                leader.node.sleep_ms(COMMIT_RETRY_MS).await;
            }
            Err(error) => {
                log::debug!("error={error} outcome=batch_not_written");
                leader.node.sleep_ms(COMMIT_RETRY_MS).await;
            }
        }
    }
    false
}

/// The new version of the sequence row, if this daemon still leads.
fn unanswered_success(leader: &Rc<Leader>, current: &[StoredRow]) -> Option<u64> {
    let mut sequence = None;
    for row in current {
        if row.at == owner_row() && row.version != leader.token {
            return None;
        }
        if row.at == sequence_row() && row.version > leader.sequence.get() {
            sequence = Some(row.version);
        }
    }
    sequence
}

fn transaction(leader: &Rc<Leader>, batch: &Batch) -> StoreTransaction {
    let mut transaction = StoreTransaction {
        expected: vec![(owner_row(), leader.token), (sequence_row(), leader.sequence.get())],
        writes: vec![(sequence_row(), Vec::new())],
        removals: Vec::new(),
    };
    for id in &batch.removed_records {
        transaction.removals.push(RowKey::new(RECORD_TABLE, LEADER_PARTITION, id));
    }
    for (id, record) in &batch.records {
        transaction.writes.push((RowKey::new(RECORD_TABLE, LEADER_PARTITION, id), record.clone()));
    }
    if !batch.phases.is_empty() {
        // The row before this transaction's was written by this leader or the last one, so the number is new.
        let key = format!("{:016x}", leader.sequence.get());
        transaction
            .writes
            .push((RowKey::new(PHASE_TABLE, LEADER_PARTITION, &key), encode_published_phases(&batch.phases)));
    }
    for (wave, hosts) in &batch.waves {
        let at = RowKey::new(WAVE_TABLE, LEADER_PARTITION, &wave.to_string());
        transaction.writes.push((at, encode_hosts(hosts)));
    }
    if let Some(hosts) = &batch.ordered_hosts {
        let at = RowKey::new(HOST_TABLE, LEADER_PARTITION, ORDERED_KEY);
        transaction.writes.push((at, encode_hosts(hosts)));
    }
    if let Some(pending) = &batch.pending {
        let at = RowKey::new(PHASE_TABLE, LEADER_PARTITION, PENDING_KEY);
        transaction.writes.push((at, encode_pending(pending)));
    }
    transaction
}
