//! Batches concurrent claims into shared transactions.

use std::sync::{Mutex, MutexGuard, PoisonError};

use futures::channel::oneshot;

use super::claim_closer::now_s;
use super::claims::{claim, Claim, ClaimResult, MAX_ROWS_PER_TRANSACTION};
use crate::async_platform::AsyncPlatform;
use crate::platform::PlatformError;

#[derive(Debug)]
struct PendingClaim {
    claim: Claim,
    result: oneshot::Sender<ClaimResult>,
}

#[derive(Debug, Default)]
struct BatcherState {
    pending: Vec<PendingClaim>,
    /// Whether a call of [`ClaimBatcher::claim`] is writing batches.
    writing: bool,
}

/// Writes claims in batches. Claims that arrive while one batch is being written form the next.
#[derive(Debug)]
pub(crate) struct ClaimBatcher {
    platform: AsyncPlatform,
    state: Mutex<BatcherState>,
}

impl ClaimBatcher {
    pub(crate) fn new(platform: AsyncPlatform) -> ClaimBatcher {
        ClaimBatcher { platform, state: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, BatcherState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes one claim.
    ///
    /// If no batch is being written, this call writes batches until no claims are pending, including those of other
    /// calls. Its future must therefore not be dropped before it completes.
    pub(crate) async fn claim(&self, claim: Claim) -> ClaimResult {
        let (sender, receiver) = oneshot::channel();
        let is_writer = {
            let mut state = self.lock();
            state.pending.push(PendingClaim { claim, result: sender });
            !std::mem::replace(&mut state.writing, true)
        };
        if is_writer {
            while let Some(batch) = self.next_batch() {
                self.write(batch).await;
            }
        }
        receiver.await.unwrap_or_else(|_| ClaimResult::Failed {
            row_may_exist: true,
            error: PlatformError::ResponseLost { operation: "claim", reason: "the writer ended".to_owned() },
        })
    }

    fn next_batch(&self) -> Option<Vec<PendingClaim>> {
        let mut state = self.lock();
        if state.pending.is_empty() {
            state.writing = false;
            return None;
        }
        let count = state.pending.len().min(MAX_ROWS_PER_TRANSACTION);
        Some(state.pending.drain(..count).collect())
    }

    async fn write(&self, batch: Vec<PendingClaim>) {
        let claims: Vec<Claim> = batch.iter().map(|pending| pending.claim.clone()).collect();
        metrics::counter!("claims_total").increment(claims.len() as u64);
        metrics::counter!("claim_groups_total").increment(1);
        let written = self.platform.call("claim", move |platform| Ok(claim(platform, &claims, now_s()))).await;
        let results = match written {
            Ok(results) => results,
            Err(error) => {
                let row_may_exist = matches!(error, PlatformError::ResponseLost { .. });
                vec![ClaimResult::Failed { row_may_exist, error }; batch.len()]
            }
        };
        for (pending, result) in batch.into_iter().zip(results) {
            // Requests run to completion even if their callers disconnect, so the receiver still exists.
            let _ = pending.result.send(result);
        }
    }
}
