//! Feeds of the leader, which pass changes of jobs, workers and hosts to the scheduler.

use std::rc::Rc;

use super::feed_health::FeedHealth;
use super::leader::Leader;
use super::{job_reads, CANCEL_SUFFIX, JOB_TABLE};
use crate::clock::US_PER_MS;
use crate::platform::workers::decode_worker_entry;
use crate::row_store::{RowPage, RowStoreError, StoredRow};
use crate::sched::model::JobId;
use crate::sched::record::decode_spec;
use crate::sched::scheduler::Scheduler;

/// Time for which the store holds a request for changes while there are none.
const LONG_POLL_MS: u64 = 1_000;
/// Delay between reads of new jobs, so that several are handled together.
const JOB_BATCH_DELAY_MS: u64 = 10;
/// Delay between reads of changed workers, so that several are handled together.
const WORKER_BATCH_DELAY_MS: u64 = 100;
const RETRY_DELAY_MS: u64 = 100;
const HOST_POLL_INTERVAL_MS: u64 = 500;

/// Passes new jobs and cancellations to the scheduler. `version` is the store version that was read last.
pub(super) async fn follow_jobs(leader: Rc<Leader>, mut version: u64) {
    let mut has_read_changes = true;
    let mut health = FeedHealth::new("jobs");
    while !leader.has_ended.get() {
        let requested_us = leader.now_us();
        match leader.daemon.store.wait_for_changes(JOB_TABLE, version, LONG_POLL_MS).await {
            Ok(page) => {
                has_read_changes = true;
                health.record_success(leader.now_us());
                version = version.max(page.version);
                add_jobs(&leader, &page);
                leader.scheduler.borrow_mut().submissions_read(version);
                leader.daemon.sleep_ms(JOB_BATCH_DELAY_MS).await;
            }
            Err(RowStoreError::HistoryGone) => {
                // New jobs wait for a reload, but a store that drops its history again and again must not be read without end.
                if !has_read_changes {
                    leader.daemon.sleep_ms(RETRY_DELAY_MS).await;
                }
                has_read_changes = false;
                version = reload_jobs(&leader).await.unwrap_or(version);
            }
            Err(error) => {
                health.record_failure(requested_us, &error);
                leader.daemon.sleep_ms(RETRY_DELAY_MS).await;
            }
        }
    }
}

/// Reads all jobs again after the store has dropped the history of their changes; returns the version to continue from,
/// or `None` if the read has failed.
async fn reload_jobs(leader: &Rc<Leader>) -> Option<u64> {
    let started_us = leader.now_us();
    let mut rows = 0;
    let read = job_reads::read_jobs(&leader.daemon, |page| {
        rows += page.rows.len();
        add_jobs(leader, &page);
    });
    let version = read.await;
    let outcome = if version.is_ok() { "read" } else { "failed" };
    metrics::counter!("job_reloads_total", "outcome" => outcome).increment(1);
    match version {
        Ok(version) => {
            let elapsed_ms = (leader.now_us() - started_us) / US_PER_MS;
            log::info!("rows={rows} version={version} elapsed_ms={elapsed_ms} outcome=jobs_reloaded");
            Some(version)
        }
        Err(error) => {
            log::warn!("rows={rows} error={error} outcome=job_reload_failed");
            None
        }
    }
}

/// Submits the page's jobs that the scheduler does not know yet, and applies its cancellations.
pub(super) fn add_jobs(leader: &Rc<Leader>, page: &RowPage) {
    if leader.has_ended.get() {
        return;
    }
    let now_us = leader.now_us();
    let unix_ms = leader.daemon.clock.unix_ms();
    {
        let mut scheduler = leader.scheduler.borrow_mut();
        for row in &page.rows {
            if row.id.key.ends_with(CANCEL_SUFFIX) {
                apply_cancellation(&mut scheduler, now_us, row);
                continue;
            }
            let Some(value) = &row.value else { continue };
            if scheduler.has_job(&row.id.key) {
                continue;
            }
            match decode_spec(value) {
                Ok(spec) => scheduler.submit(now_us, unix_ms, row.id.key.clone(), spec),
                Err(error) => log::error!("job={} error={error} outcome=submission_unreadable", row.id.key),
            }
        }
    }
    leader.run_scheduler();
}

/// Passes changes of the registry of workers to the scheduler. `version` is the store version that was read last.
pub(super) async fn follow_workers(leader: Rc<Leader>, version: u64) {
    // `None` after the store has dropped the history: all rows are read again.
    let mut version = Some(version);
    let mut health = FeedHealth::new("workers");
    while !leader.has_ended.get() {
        let requested_us = leader.now_us();
        let store = &leader.daemon.store;
        let read = match version {
            Some(after) => store.worker_changes(after, LONG_POLL_MS).await,
            None => store.worker_rows().await,
        };
        match read {
            Ok(page) => {
                health.record_success(leader.now_us());
                update_workers(&leader, &page, version.is_none());
                version = Some(page.version.max(version.unwrap_or(0)));
                leader.run_scheduler();
                leader.daemon.sleep_ms(WORKER_BATCH_DELAY_MS).await;
            }
            Err(RowStoreError::HistoryGone) => version = None,
            Err(error) => {
                health.record_failure(requested_us, &error);
                leader.daemon.sleep_ms(RETRY_DELAY_MS).await;
            }
        }
    }
}

/// Applies worker rows. A snapshot holds all registered workers: those missing from it have been removed.
pub(super) fn update_workers(leader: &Rc<Leader>, page: &RowPage, is_snapshot: bool) {
    let now_us = leader.now_us();
    let mut scheduler = leader.scheduler.borrow_mut();
    if is_snapshot {
        scheduler.replace_registry(now_us, page.rows.iter().filter_map(decode_worker_entry).collect());
        return;
    }
    for row in &page.rows {
        match decode_worker_entry(row) {
            Some(entry) => scheduler.worker_listed(now_us, entry),
            None => scheduler.worker_unlisted(now_us, &row.id.key),
        }
    }
}

/// Polls the provider's list of hosts.
pub(super) async fn follow_hosts(leader: Rc<Leader>) {
    let Some(client) = leader.host_client.clone() else { return };
    let mut is_complete = true;
    while !leader.has_ended.get() {
        let requested_us = leader.now_us();
        match client.list().await {
            Ok(list) => {
                if list.is_complete != is_complete {
                    is_complete = list.is_complete;
                    log::warn!("is_complete={is_complete} hosts={} outcome=host_list_changed", list.hosts.len());
                }
                leader.scheduler.borrow_mut().host_list_read(leader.now_us(), requested_us, list);
            }
            Err(reason) => log::debug!("error={reason} outcome=host_list_failed"),
        }
        leader.run_scheduler();
        leader.daemon.sleep_ms(HOST_POLL_INTERVAL_MS).await;
    }
}

/// Applies a row of the job table if it is a cancellation request.
pub(super) fn apply_cancellation(scheduler: &mut Scheduler, now_us: u64, row: &StoredRow) {
    if row.value.is_none() {
        return;
    }
    if let Some(id) = row.id.key.strip_suffix(CANCEL_SUFFIX) {
        scheduler.cancel(now_us, &JobId::from(id));
    }
}
