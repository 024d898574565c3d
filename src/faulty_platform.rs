//! A platform for tests whose calls fail at chosen places.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};

use crate::platform::{HostChanges, Platform, PlatformError};
use crate::standin::{EmbeddedPlatform, StandIn};
use crate::table::{CommitOutcome, Row, Transaction};

/// What happens to one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// The call has no effect.
    Refused,
    /// The call takes effect and its answer is lost.
    AnswerLost,
}

/// A platform whose `at`-th call suffers a fault; later calls may fail, too.
pub(crate) struct FaultyPlatform {
    inner: EmbeddedPlatform,
    calls: AtomicU32,
    at: u32,
    fault: Fault,
    down_after: bool,
    /// Runs just before the first commit.
    pub(crate) before_commit: Mutex<Option<Box<dyn FnOnce() + Send>>>,
}

impl FaultyPlatform {
    pub(crate) fn new(standin: &Arc<StandIn>, at: u32, fault: Fault, down_after: bool) -> FaultyPlatform {
        FaultyPlatform {
            inner: EmbeddedPlatform::new(standin.clone(), "z"),
            calls: AtomicU32::new(0),
            at,
            fault,
            down_after,
            before_commit: Mutex::new(None),
        }
    }

    fn call<T>(&self, effect: impl FnOnce() -> Result<T, PlatformError>) -> Result<T, PlatformError> {
        let number = self.calls.fetch_add(1, Ordering::SeqCst);
        let unavailable = PlatformError::Unavailable { operation: "test", reason: "fault".to_owned() };
        if number > self.at && self.down_after {
            return Err(unavailable);
        }
        match self.fault {
            Fault::Refused if number == self.at => Err(unavailable),
            Fault::AnswerLost if number == self.at => {
                effect()?;
                Err(PlatformError::AnswerLost { operation: "test", reason: "fault".to_owned() })
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
        let race = self.before_commit.lock().expect("lock").take();
        if let Some(race) = race {
            race();
        }
        self.call(|| self.inner.commit(transaction))
    }

    fn put_object(&self, key: &str, body: &[u8]) -> Result<(), PlatformError> {
        self.call(|| self.inner.put_object(key, body))
    }

    fn get_object(&self, key: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        self.call(|| self.inner.get_object(key))
    }

    fn host_changes(&self, cursor: u64) -> Result<HostChanges, PlatformError> {
        self.call(|| self.inner.host_changes(cursor))
    }
}
