//! Closes claims in the background, and deletes expired ones.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use super::claims::{close, close_batch, delete_expired, ClaimClosing, MAX_ROWS_PER_TRANSACTION};
use crate::daemon::Daemon;
use crate::error::Result;
use crate::platform::PlatformError;
use crate::plugin::{Plugin, Stage};
use crate::reactor::spawn;

const RETRY_DELAY_MS: u64 = 1_000;
/// Time between two checks for a claim row that may be written late.
const LATE_ROW_RECHECK_DELAY_MS: u64 = 2_000;
/// Checks for a claim row that may be written late. If its transaction takes effect after the last check, retries
/// with the key are told that the outcome is unknown until the row expires.
pub(crate) const MAX_LATE_ROW_RECHECKS: u32 = 60;
const SWEEP_INTERVAL_MS: u64 = 60_000;
/// Each sweep deletes the expired claims of one partition. A claim's partition is the first byte of its hashed key.
const SWEEP_PARTITIONS: usize = 256;
/// Closings beyond this number are dropped. Their rows stay without a result, so retries are told that the outcome is
/// unknown.
pub(crate) const MAX_QUEUED_CLOSINGS: usize = 4_096;

inventory::submit! {
    Plugin { name: "keyed", stage: Stage::Membership, start }
}

fn start(daemon: &Rc<Daemon>) -> Result<()> {
    spawn(write_closings(daemon.clone()));
    spawn(sweep_expired_claims(daemon.clone()));
    Ok(())
}

/// Bounded queue of closings that have not been acknowledged by the platform. Each comes with the version of its
/// claim's row, if that is known.
#[derive(Debug, Default)]
pub(crate) struct ClosingQueue {
    queue: VecDeque<(ClaimClosing, Option<u64>)>,
    /// Closings in the batch that is being written.
    in_flight: usize,
}

impl ClosingQueue {
    /// Queues a closing. Returns `false` if the queue is full.
    pub(crate) fn push(&mut self, closing: ClaimClosing, row_version: Option<u64>) -> bool {
        if self.queue.len() >= MAX_QUEUED_CLOSINGS {
            return false;
        }
        self.queue.push_back((closing, row_version));
        true
    }

    /// Number of closings that are queued or being written.
    pub(crate) fn len(&self) -> usize {
        self.queue.len() + self.in_flight
    }

    fn has_queued(&self) -> bool {
        !self.queue.is_empty()
    }

    fn take_batch(&mut self) -> Vec<(ClaimClosing, Option<u64>)> {
        self.in_flight = self.queue.len().min(MAX_ROWS_PER_TRANSACTION);
        self.queue.drain(..self.in_flight).collect()
    }

    /// Records that the batch taken last has been written.
    fn batch_written(&mut self) {
        self.in_flight = 0;
    }

    /// Puts the batch taken last back at the head of the queue.
    fn requeue(&mut self, batch: Vec<(ClaimClosing, Option<u64>)>) {
        self.in_flight = 0;
        for closing in batch.into_iter().rev() {
            self.queue.push_front(closing);
        }
    }
}

/// Queues a closing. If the queue is full, the closing is dropped and counted, and its key leaves the registry, which
/// only the closing would have removed it from. The table then decides on further requests with the key.
pub(crate) fn queue_closing(daemon: &Daemon, closing: ClaimClosing, row_version: Option<u64>) {
    let row_key = closing.claim.row_key.clone();
    if !daemon.closings.borrow_mut().push(closing, row_version) {
        metrics::counter!("claim_closings_dropped_total").increment(1);
        daemon.ingress.key_registry().remove_completed(&row_key);
    }
    daemon.closings_condvar.notify();
}

/// Writes queued closings to the platform's table in batches.
async fn write_closings(daemon: Rc<Daemon>) {
    loop {
        daemon.closings_condvar.wait_until(|| daemon.closings.borrow().has_queued()).await;
        let batch = daemon.closings.borrow_mut().take_batch();
        let to_write = batch.clone();
        let result = daemon.platform.call("close", move |platform| write_batch(platform, &to_write)).await;
        match result {
            Ok(missing) => {
                daemon.closings.borrow_mut().batch_written();
                for closing in missing {
                    spawn(recheck_later(daemon.clone(), closing));
                }
                let mut registry = daemon.ingress.key_registry();
                for (closing, _) in &batch {
                    registry.remove_completed(&closing.claim.row_key);
                }
            }
            Err(_) => {
                metrics::counter!("claim_closings_retried_total").increment(batch.len() as u64);
                daemon.closings.borrow_mut().requeue(batch);
                daemon.sleep_ms(RETRY_DELAY_MS).await;
            }
        }
    }
}

/// Queues a closing again after a delay, because the transaction that inserts its row may still take effect.
async fn recheck_later(daemon: Rc<Daemon>, closing: ClaimClosing) {
    daemon.sleep_ms(LATE_ROW_RECHECK_DELAY_MS).await;
    let rechecks_left = closing.rechecks_left - 1;
    queue_closing(&daemon, ClaimClosing { rechecks_left, ..closing }, None);
}

/// Closes all claims of a batch in one transaction if their row versions are known. Otherwise, or if a row has changed
/// or the answer is lost, closes them one by one. Returns the closings whose rows are missing and must be
/// checked again.
pub(super) fn write_batch(
    platform: &dyn crate::platform::Platform,
    batch: &[(ClaimClosing, Option<u64>)],
) -> Result<Vec<ClaimClosing>, PlatformError> {
    let versioned: Option<Vec<(ClaimClosing, u64)>> =
        batch.iter().map(|(closing, row_version)| Some((closing.clone(), (*row_version)?))).collect();
    if let Some(versioned) = versioned {
        match close_batch(platform, &versioned) {
            Ok(()) => return Ok(Vec::new()),
            Err(error @ PlatformError::Unavailable { .. }) => return Err(error),
            Err(_) => {}
        }
    }
    let mut missing = Vec::new();
    for (closing, _) in batch {
        if !close(platform, closing)? && closing.rechecks_left > 0 {
            missing.push(closing.clone());
        }
    }
    Ok(missing)
}

/// Deletes expired claims, one partition at a time.
async fn sweep_expired_claims(daemon: Rc<Daemon>) {
    let mut partition = 0;
    loop {
        daemon.sleep_ms(SWEEP_INTERVAL_MS).await;
        partition = (partition + 1) % SWEEP_PARTITIONS;
        if !sweeps_partition(&daemon, partition) {
            continue;
        }
        let hash_prefix = format!("{partition:02x}");
        let deleted =
            daemon.platform.call("sweep", move |platform| delete_expired(platform, &hash_prefix, now_s())).await;
        metrics::counter!("claims_swept_total").increment(deleted.unwrap_or(0) as u64);
    }
}

/// Whether this daemon sweeps the partition. Partitions are assigned round-robin to the live daemons, in the order of
/// their names.
fn sweeps_partition(daemon: &Daemon, partition: usize) -> bool {
    let others = daemon.registry.borrow().live_others();
    let position = others.iter().filter(|other| other.name < daemon.settings.name).count();
    partition % (others.len() + 1) == position
}

/// Current time in seconds since the Unix epoch.
pub(crate) fn now_s() -> i64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    i64::try_from(since_epoch.as_secs()).unwrap_or(i64::MAX)
}
