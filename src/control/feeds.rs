//! What the leader hears of: submissions, workers, hosts.

use std::rc::Rc;

use super::leader::Leader;
use super::{CANCEL_SUFFIX, JOB_TABLE};
use crate::platform::workers::worker_entry;
use crate::sched::model::JobId;
use crate::sched::record::decode_spec;
use crate::sched::scheduler::Scheduler;
use crate::store::{RowPage, StoreError, StoredRow};

/// Longest wait for new jobs or changed workers.
const WATCH_MS: u64 = 1_000;
/// Pause between two looks at new jobs, in which further ones gather.
const JOB_PAUSE_MS: u64 = 10;
/// The same for changes of workers.
const WORKER_PAUSE_MS: u64 = 100;
const WATCH_RETRY_MS: u64 = 100;
/// Time between readings of the provider's list of hosts.
const HOSTS_MS: u64 = 500;

pub(super) async fn follow_jobs(leader: Rc<Leader>, mut version: u64) {
    while !leader.is_over.get() {
        match leader.node.store.changes(JOB_TABLE, version, WATCH_MS).await {
            Ok(page) => {
                version = version.max(page.version);
                take_jobs(&leader, &page);
                leader.node.sleep_ms(JOB_PAUSE_MS).await;
            }
            Err(StoreError::HistoryGone) => match read_jobs(&leader).await {
                Ok(read) => version = read,
                Err(error) => log::warn!("error={error} outcome=jobs_unread"),
            },
            Err(error) => {
                log::debug!("error={error} outcome=jobs_unread");
                leader.node.sleep_ms(WATCH_RETRY_MS).await;
            }
        }
    }
}

/// Reads all submissions again, where the history of their changes was dropped.
pub(super) async fn read_jobs(leader: &Rc<Leader>) -> Result<u64, StoreError> {
    let mut version = u64::MAX;
    for partition in leader.node.store.partitions(JOB_TABLE).await? {
        let page = leader.node.store.read_all(JOB_TABLE, &partition).await?;
        version = version.min(page.version);
        take_jobs(leader, &page);
    }
    Ok(if version == u64::MAX { 0 } else { version })
}

pub(super) fn take_jobs(leader: &Rc<Leader>, page: &RowPage) {
    if leader.is_over.get() {
        return;
    }
    let now_us = leader.now_us();
    let unix_ms = leader.node.clock.unix_ms();
    {
        let mut scheduler = leader.scheduler.borrow_mut();
        for row in &page.rows {
            if row.at.key.ends_with(CANCEL_SUFFIX) {
                take_cancel(&mut scheduler, now_us, row);
                continue;
            }
            let Some(value) = &row.value else { continue };
            if scheduler.knows(&row.at.key) {
                continue;
            }
            match decode_spec(value) {
                Ok(spec) => scheduler.submit(now_us, unix_ms, row.at.key.clone(), spec),
                Err(error) => log::error!("job={} error={error} outcome=submission_unreadable", row.at.key),
            }
        }
    }
    leader.pump();
}

pub(super) async fn follow_workers(leader: Rc<Leader>, version: u64) {
    let mut version = Some(version);
    while !leader.is_over.get() {
        let store = &leader.node.store;
        let read = match version {
            Some(after) => store.worker_changes(after, WATCH_MS).await,
            None => store.worker_rows().await,
        };
        match read {
            Ok(page) => {
                take_workers(&leader, &page, version.is_none());
                version = Some(page.version.max(version.unwrap_or(0)));
                leader.pump();
                leader.node.sleep_ms(WORKER_PAUSE_MS).await;
            }
            Err(StoreError::HistoryGone) => version = None,
            Err(error) => {
                log::debug!("error={error} outcome=workers_unread");
                leader.node.sleep_ms(WATCH_RETRY_MS).await;
            }
        }
    }
}

pub(super) fn take_workers(leader: &Rc<Leader>, page: &RowPage, is_whole: bool) {
    let now_us = leader.now_us();
    let mut scheduler = leader.scheduler.borrow_mut();
    if is_whole {
        scheduler.replace_registry(now_us, page.rows.iter().filter_map(worker_entry).collect());
        return;
    }
    for row in &page.rows {
        match worker_entry(row) {
            Some(entry) => scheduler.worker_listed(now_us, entry),
            None => scheduler.worker_unlisted(&row.at.key),
        }
    }
}

pub(super) async fn follow_hosts(leader: Rc<Leader>) {
    let Some(client) = leader.hosts.clone() else { return };
    while !leader.is_over.get() {
        match client.list().await {
            Ok(hosts) => leader.scheduler.borrow_mut().hosts_listed(leader.now_us(), hosts),
            Err(reason) => log::debug!("error={reason} outcome=hosts_unread"),
        }
        leader.pump();
        leader.node.sleep_ms(HOSTS_MS).await;
    }
}

pub(super) fn take_cancel(scheduler: &mut Scheduler, now_us: u64, row: &StoredRow) {
    if row.value.is_none() {
        return;
    }
    if let Some(id) = row.at.key.strip_suffix(CANCEL_SUFFIX) {
        scheduler.cancel(now_us, &JobId::from(id));
    }
}
