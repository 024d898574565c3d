//! Commits the scheduler's batches to the store, which also renews leadership.

use std::rc::Rc;

use super::election::LeaderRows;
use super::leader::Leader;
use super::term::{conflict_cause, renewal_transaction, ConflictCause, TransactionId};
use super::{
    pending_counts_key, ADMISSION_KEY, HOST_TABLE, LEADER_PARTITION, ORDERED_HOSTS_KEY, PHASE_TABLE, RECORD_TABLE,
    WAVE_TABLE,
};
use crate::clock::{US_PER_MS, US_PER_S};
use crate::row_store::{RowId, RowStoreCommitOutcome, RowStoreError, RowStoreTransaction};
use crate::sched::action::Batch;
use crate::sched::phase_rows::{
    encode_admission, encode_further_pending_counts, encode_pending_counts, encode_published_phases,
    split_pending_counts,
};
use crate::sched::record::encode_hosts;

/// Minimum time between the starts of two transactions, so that several changes share one.
const MIN_COMMIT_INTERVAL_MS: u64 = 12;
/// Maximum time between the starts of two transactions. Each one shows the other daemons that the leader is active.
const RENEWAL_INTERVAL_MS: u64 = 500;
const RETRY_DELAY_MS: u64 = 40;

/// Commits one batch after the other until leadership has ended.
pub(super) async fn run(leader: &Rc<Leader>) {
    let mut last_commit_us = 0;
    loop {
        wait_for_work(leader, last_commit_us).await;
        if leader.has_ended.get() {
            return;
        }
        let now_us = leader.now_us();
        let batch = leader.scheduler.borrow_mut().take_batch(now_us);
        last_commit_us = now_us;
        if !commit_batch(leader, batch).await {
            return;
        }
        leader.run_scheduler();
    }
}

/// Waits until there is something to commit, leadership must be renewed or leadership has ended.
async fn wait_for_work(leader: &Rc<Leader>, last_commit_us: u64) {
    let renew_at_us = last_commit_us + RENEWAL_INTERVAL_MS * US_PER_MS;
    loop {
        let now_us = leader.now_us();
        if leader.has_ended.get() || now_us >= renew_at_us {
            return;
        }
        leader.scheduler.borrow_mut().acknowledge_without_commit();
        if leader.scheduler.borrow().wants_commit(now_us) {
            let earliest_us = last_commit_us + MIN_COMMIT_INTERVAL_MS * US_PER_MS;
            if now_us < earliest_us {
                leader.daemon.sleep_ms((earliest_us - now_us).div_ceil(US_PER_MS)).await;
            }
            return;
        }
        let wait_ms = (renew_at_us - now_us).div_ceil(US_PER_MS);
        let deadline = std::time::Instant::now() + std::time::Duration::from_millis(wait_ms);
        let woken = leader
            .writer_condvar
            .wait_until(|| leader.has_ended.get() || leader.scheduler.borrow().wants_commit(leader.now_us()));
        let _ = crate::endpoint_client::timeout_at(deadline, woken).await;
    }
}

/// Retries a batch until it is committed or refused. Returns `false` if leadership has ended first.
async fn commit_batch(leader: &Rc<Leader>, batch: Batch) -> bool {
    let id = TransactionId::random();
    let mut transaction = build_transaction(leader, &batch, &id);
    for attempt in 0_u64.. {
        if leader.has_ended.get() {
            return false;
        }
        if attempt > 0 {
            // By now, this would pass for a new report.
            transaction.writes.retain(|(id, _)| &*id.key != ADMISSION_KEY);
        }
        let sent_us = leader.now_us();
        match leader.daemon.store.commit(&transaction).await {
            Ok(RowStoreCommitOutcome::Applied { version }) => {
                let elapsed_us = leader.now_us() - sent_us;
                metrics::histogram!("leader_commit_seconds").record(elapsed_us as f64 / US_PER_S as f64);
                leader.sequence_version.set(version);
                leader.raise_fences();
                leader.scheduler.borrow_mut().batch_committed(leader.now_us(), sent_us, &batch);
                return true;
            }
            Ok(RowStoreCommitOutcome::Conflict { .. }) => match read_conflict_cause(leader, &id).await {
                Ok(ConflictCause::AlreadyApplied { sequence_version }) => {
                    leader.sequence_version.set(sequence_version);
                    leader.raise_fences();
                    leader.scheduler.borrow_mut().batch_committed(leader.now_us(), sent_us, &batch);
                    return true;
                }
                Ok(_) => return false,
                Err(error) => {
                    log::debug!("error={error} outcome=leader_read_failed");
                    leader.daemon.sleep_ms(RETRY_DELAY_MS).await;
                }
            },
            Err(RowStoreError::ResponseLost(reason)) => {
                // Warns only once for each batch: a store that resets connections does so many times a second.
                let level = if attempt == 0 { log::Level::Warn } else { log::Level::Debug };
                log::log!(level, "error={reason} outcome=batch_unanswered");
                leader.daemon.sleep_ms(RETRY_DELAY_MS).await;
            }
            Err(RowStoreError::Refused(reason)) => {
                take_back(leader, batch, &transaction, &reason);
                leader.daemon.sleep_ms(RETRY_DELAY_MS).await;
                return true;
            }
            Err(error) => {
                log::debug!("error={error} outcome=batch_not_committed");
                leader.daemon.sleep_ms(RETRY_DELAY_MS).await;
            }
        }
    }
    false
}

/// Gives a batch that the store refuses back to the scheduler, which forms a smaller one.
fn take_back(leader: &Rc<Leader>, batch: Batch, transaction: &RowStoreTransaction, reason: &str) {
    let (records, entries) = (batch.records.len(), transaction.entry_count());
    let bytes: usize = transaction.writes.iter().map(|(_, value)| value.len()).sum();
    let consequence = leader.scheduler.borrow_mut().batch_refused(leader.now_us(), batch);
    metrics::counter!("leader_batches_refused_total", "consequence" => consequence.label()).increment(1);
    log::error!(
        "records={records} entries={entries} bytes={bytes} consequence={} error={reason} outcome=batch_refused",
        consequence.label()
    );
}

/// Reads why the transaction with this ID has conflicted.
async fn read_conflict_cause(leader: &Rc<Leader>, id: &TransactionId) -> Result<ConflictCause, RowStoreError> {
    let rows = LeaderRows::read(&leader.daemon.store).await?;
    let cause = conflict_cause(leader.fencing_token, id, rows.owner(), rows.sequence());
    metrics::counter!("leader_conflicts_total", "cause" => cause.label()).increment(1);
    log::info!("token={} cause={} outcome=batch_conflict", leader.fencing_token, cause.label());
    Ok(cause)
}

fn build_transaction(leader: &Rc<Leader>, batch: &Batch, id: &TransactionId) -> RowStoreTransaction {
    let mut transaction = renewal_transaction(leader.fencing_token, leader.sequence_version.get(), id);
    for id in &batch.removed_records {
        transaction.removals.push(RowId::new(RECORD_TABLE, LEADER_PARTITION, id));
    }
    for (id, record) in &batch.records {
        transaction.writes.push((RowId::new(RECORD_TABLE, LEADER_PARTITION, id), record.clone()));
    }
    if !batch.phases.is_empty() {
        // The key is unique: each version of the sequence row is followed by exactly one transaction of the leader.
        let key = format!("{:016x}", leader.sequence_version.get());
        transaction
            .writes
            .push((RowId::new(PHASE_TABLE, LEADER_PARTITION, &key), encode_published_phases(&batch.phases)));
    }
    for (wave, hosts) in &batch.waves {
        let row_id = RowId::new(WAVE_TABLE, LEADER_PARTITION, &wave.to_string());
        transaction.writes.push((row_id, encode_hosts(hosts)));
    }
    if let Some(hosts) = &batch.ordered_hosts {
        let row_id = RowId::new(HOST_TABLE, LEADER_PARTITION, ORDERED_HOSTS_KEY);
        transaction.writes.push((row_id, encode_hosts(hosts)));
    }
    if let Some(pending_counts) = &batch.pending_counts {
        let parts = split_pending_counts(pending_counts);
        for (index, part) in parts.iter().enumerate() {
            let row_id = RowId::new(PHASE_TABLE, LEADER_PARTITION, &pending_counts_key(index));
            let row = match index {
                0 => encode_pending_counts(part, parts.len()),
                _ => encode_further_pending_counts(part),
            };
            transaction.writes.push((row_id, row));
        }
    }
    if let Some(report) = &batch.admission {
        let row_id = RowId::new(PHASE_TABLE, LEADER_PARTITION, ADMISSION_KEY);
        transaction.writes.push((row_id, encode_admission(report)));
    }
    transaction
}
