//! Groups claims that are made at the same time into one transaction.

use std::sync::{Mutex, MutexGuard, PoisonError};

use futures::channel::oneshot;

use super::claims::{claim, Claim, ClaimResult, MAX_ROWS_PER_TRANSACTION};
use crate::platform::PlatformError;
use crate::platform_pool::PlatformPool;

#[derive(Debug)]
struct Waiting {
    claim: Claim,
    result: oneshot::Sender<ClaimResult>,
}

#[derive(Debug, Default)]
struct State {
    waiting: Vec<Waiting>,
    writing: bool,
}

/// While one group is being written, the next one gathers.
#[derive(Debug)]
pub(crate) struct ClaimBatcher {
    platform: PlatformPool,
    state: Mutex<State>,
}

impl ClaimBatcher {
    pub(crate) fn new(platform: PlatformPool) -> ClaimBatcher {
        ClaimBatcher { platform, state: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes one claim. The first of a group writes it; the future must not be dropped before it ends.
    pub(crate) async fn claim(&self, claim: Claim) -> ClaimResult {
        let (sender, receiver) = oneshot::channel();
        let lead = {
            let mut state = self.lock();
            state.waiting.push(Waiting { claim, result: sender });
            !std::mem::replace(&mut state.writing, true)
        };
        if lead {
            while let Some(group) = self.next_batch() {
                self.write(group).await;
            }
        }
        receiver.await.unwrap_or_else(|_| ClaimResult::Failed {
            maybe_written: true,
            error: PlatformError::AnswerLost { operation: "claim", reason: "the writer ended".to_owned() },
        })
    }

    fn next_batch(&self) -> Option<Vec<Waiting>> {
        let mut state = self.lock();
        if state.waiting.is_empty() {
            state.writing = false;
            return None;
        }
        let count = state.waiting.len().min(MAX_ROWS_PER_TRANSACTION);
        Some(state.waiting.drain(..count).collect())
    }

    async fn write(&self, group: Vec<Waiting>) {
        let claims: Vec<Claim> = group.iter().map(|waiting| waiting.claim.clone()).collect();
        metrics::counter!("claims_total").increment(claims.len() as u64);
        metrics::counter!("claim_groups_total").increment(1);
        let written = self.platform.call("claim", move |platform| Ok(claim(platform, &claims))).await;
        let results = match written {
            Ok(results) => results,
            Err(error) => {
                let maybe_written = matches!(error, PlatformError::AnswerLost { .. });
                vec![ClaimResult::Failed { maybe_written, error }; group.len()]
            }
        };
        for (waiting, result) in group.into_iter().zip(results) {
            // The request that waits for it is not dropped.
            let _ = waiting.result.send(result);
        }
    }
}
