//! Reads of the whole job table, which has several partitions.

use super::{ControlDaemon, JOB_TABLE};
use crate::row_store::{RowPage, RowStoreError};

/// Number of reads of partitions that may fail before a read of the table fails.
const MAX_FAILED_READS: u32 = 20;
const RETRY_DELAY_MS: u64 = 100;

/// Reads all rows of the job table, and passes those of each partition to `apply` as soon as they are read. Returns the
/// version after which the table's changes must be followed.
///
/// This takes several calls, between which rows change. The version is older than all of them: a partition that gets its
/// first row after the list of partitions was read is in none of the reads.
///
/// # Errors
/// Fails if the version or the list cannot be read, or if too many reads of partitions fail.
pub(super) async fn read_jobs(daemon: &ControlDaemon, mut apply: impl FnMut(RowPage)) -> Result<u64, RowStoreError> {
    let version = daemon.store.newest_version().await?;
    let mut unread = daemon.store.list_partitions(JOB_TABLE).await?;
    let mut failed_reads = 0;
    while !unread.is_empty() {
        // A partition that cannot be read does not keep others from being read.
        let mut failed = Vec::new();
        for partition in unread {
            match daemon.store.read_partition(JOB_TABLE, &partition).await {
                Ok(page) => apply(page),
                Err(error) => {
                    failed_reads += 1;
                    if failed_reads > MAX_FAILED_READS {
                        return Err(error);
                    }
                    log::info!("partition={partition} error={error} outcome=partition_not_read");
                    failed.push(partition);
                }
            }
        }
        unread = failed;
        if !unread.is_empty() {
            daemon.sleep_ms(RETRY_DELAY_MS).await;
        }
    }
    Ok(version)
}
