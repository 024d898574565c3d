//! Platform for tests, of which one chosen call fails.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};

use crate::platform::{HostChanges, Platform, PlatformError};
use crate::standin::{EmbeddedPlatform, StandIn};
use crate::table::{CommitOutcome, Row, Transaction};

/// Fault of the chosen call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// The call fails without effect.
    Unavailable,
    /// The call takes effect, but its response is lost.
    ResponseLost,
}

/// A platform whose call number `faulty_call`, counted from 0, has a fault. With `fails_afterwards`, all later calls
/// fail without effect.
pub(crate) struct FaultyPlatform {
    inner: EmbeddedPlatform,
    calls: AtomicU32,
    faulty_call: u32,
    fault: Fault,
    fails_afterwards: bool,
    /// Runs just before the next commit, so that a test can make a concurrent change.
    pub(crate) before_commit: Mutex<Option<Box<dyn FnOnce() + Send>>>,
}

impl FaultyPlatform {
    pub(crate) fn new(
        standin: &Arc<StandIn>,
        faulty_call: u32,
        fault: Fault,
        fails_afterwards: bool,
    ) -> FaultyPlatform {
        FaultyPlatform {
            inner: EmbeddedPlatform::new(standin.clone(), "z"),
            calls: AtomicU32::new(0),
            faulty_call,
            fault,
            fails_afterwards,
            before_commit: Mutex::new(None),
        }
    }

    fn call<T>(&self, effect: impl FnOnce() -> Result<T, PlatformError>) -> Result<T, PlatformError> {
        let number = self.calls.fetch_add(1, Ordering::SeqCst);
        let unavailable = PlatformError::Unavailable { operation: "test", reason: "fault".to_owned() };
        if number > self.faulty_call && self.fails_afterwards {
            return Err(unavailable);
        }
        match self.fault {
            Fault::Unavailable if number == self.faulty_call => Err(unavailable),
            Fault::ResponseLost if number == self.faulty_call => {
                effect()?;
                Err(PlatformError::ResponseLost { operation: "test", reason: "fault".to_owned() })
            }
            _ => effect(),
        }
    }
}

impl Platform for FaultyPlatform {
    fn read(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        self.call(|| self.inner.read(key))
    }

    fn scan(&self, prefix: &str) -> Result<Vec<Row>, PlatformError> {
        self.call(|| self.inner.scan(prefix))
    }

    fn commit(&self, transaction: &Transaction) -> Result<CommitOutcome, PlatformError> {
        let concurrent_change = self.before_commit.lock().expect("lock").take();
        if let Some(change) = concurrent_change {
            change();
        }
        self.call(|| self.inner.commit(transaction))
    }

    fn put_object(&self, key: &str, body: &[u8]) -> Result<(), PlatformError> {
        self.call(|| self.inner.put_object(key, body))
    }

    fn get_object(&self, key: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        self.call(|| self.inner.get_object(key))
    }

    fn delete_object(&self, key: &str) -> Result<(), PlatformError> {
        self.call(|| self.inner.delete_object(key))
    }

    fn host_changes(&self, cursor: u64) -> Result<HostChanges, PlatformError> {
        self.call(|| self.inner.host_changes(cursor))
    }
}
