//! Bodies buffered whole in memory, with a size limit for each and a shared budget for all.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Why a body could not be buffered.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BodyError {
    #[error("the body is larger than {max_bytes} bytes")]
    TooLarge { max_bytes: usize },
    #[error("too many bodies are in progress")]
    BudgetExceeded,
    #[error("the body ended early: {0}")]
    ReadFailed(#[from] hyper::Error),
}

/// Limit on the memory that many bodies use together; clones share it.
#[derive(Debug, Clone)]
pub(crate) struct ByteBudget {
    used_bytes: Arc<AtomicUsize>,
    max_bytes: usize,
}

impl ByteBudget {
    pub(crate) fn new(max_bytes: usize) -> ByteBudget {
        ByteBudget { used_bytes: Arc::default(), max_bytes }
    }

    pub(crate) fn used_bytes(&self) -> usize {
        self.used_bytes.load(Ordering::Relaxed)
    }
}

/// Bytes reserved from a budget; dropping it releases them.
#[derive(Debug)]
pub(crate) struct ReservedBytes {
    budget: ByteBudget,
    count: usize,
}

impl ReservedBytes {
    /// A reservation of no bytes yet.
    pub(crate) fn new(budget: &ByteBudget) -> ReservedBytes {
        ReservedBytes { budget: budget.clone(), count: 0 }
    }

    /// Reserves `additional` bytes; `false` if they exceed the budget.
    pub(crate) fn grow(&mut self, additional: usize) -> bool {
        let used_bytes = &self.budget.used_bytes;
        if used_bytes.fetch_add(additional, Ordering::Relaxed) + additional > self.budget.max_bytes {
            used_bytes.fetch_sub(additional, Ordering::Relaxed);
            return false;
        }
        self.count += additional;
        true
    }
}

impl Drop for ReservedBytes {
    fn drop(&mut self) {
        self.budget.used_bytes.fetch_sub(self.count, Ordering::Relaxed);
    }
}

/// A complete body and the bytes reserved for it.
#[derive(Debug)]
pub(crate) struct BufferedBody {
    pub(crate) bytes: Bytes,
    pub(crate) reserved: ReservedBytes,
}

impl BufferedBody {
    /// Returns the body and releases its reservation.
    pub(crate) fn into_bytes(self) -> Bytes {
        self.bytes
    }
}

/// Reads a body to its end. Copies the data only if it arrives in several frames.
pub(crate) async fn collect_body(
    mut body: Incoming,
    max_bytes: usize,
    budget: &ByteBudget,
) -> Result<BufferedBody, BodyError> {
    let mut reserved = ReservedBytes::new(budget);
    let mut first_frame = Bytes::new();
    let mut joined = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        if reserved.count + data.len() > max_bytes {
            return Err(BodyError::TooLarge { max_bytes });
        }
        if !reserved.grow(data.len()) {
            return Err(BodyError::BudgetExceeded);
        }
        if first_frame.is_empty() {
            first_frame = data;
            continue;
        }
        if joined.is_empty() {
            joined.extend_from_slice(&first_frame);
        }
        joined.extend_from_slice(&data);
    }
    let bytes = if joined.is_empty() { first_frame } else { joined.freeze() };
    Ok(BufferedBody { bytes, reserved })
}
