//! Whether the reads of a feed succeed, in logs and metrics.

use crate::clock::US_PER_MS;
use crate::row_store::RowStoreError;

/// Reads of one feed. A row of failures is logged when it begins and when it ends.
#[derive(Debug)]
pub(super) struct FeedHealth {
    feed: &'static str,
    failing_since_us: Option<u64>,
    /// Number of failures in the present row.
    failures: u64,
}

impl FeedHealth {
    /// `feed` is the feed's name in logs and metrics.
    pub(super) fn new(feed: &'static str) -> FeedHealth {
        FeedHealth { feed, failing_since_us: None, failures: 0 }
    }

    /// Records that a read which was requested at `requested_us` has failed.
    pub(super) fn record_failure(&mut self, requested_us: u64, error: &RowStoreError) {
        metrics::counter!("feed_reads_failed_total", "feed" => self.feed).increment(1);
        self.failures += 1;
        if self.failing_since_us.is_none() {
            self.failing_since_us = Some(requested_us);
            log::warn!("feed={} error={error} outcome=feed_failing", self.feed);
        }
    }

    /// Records that a read has succeeded.
    pub(super) fn record_success(&mut self, now_us: u64) {
        let Some(since_us) = self.failing_since_us.take() else { return };
        let failures = std::mem::take(&mut self.failures);
        let behind_ms = now_us.saturating_sub(since_us) / US_PER_MS;
        log::info!("feed={} failures={failures} behind_ms={behind_ms} outcome=feed_recovered", self.feed);
    }
}
