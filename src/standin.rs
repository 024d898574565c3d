//! In-memory stand-in for the platform behind [`Platform`], which daemons use to route requests: table, object store,
//! lagging host list and workers. It is for tests and local development, and faults can be injected.
//!
//! The stand-in for the users' platform, on which jobs run, is [`UsersPlatformStandIn`](crate::UsersPlatformStandIn).

mod api_server;
mod faults;
mod server;
mod state;
#[cfg(test)]
mod state_tests;
mod tasks;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use crate::clock::Clock;
use crate::platform::{HostChanges, Platform, PlatformError};
use crate::table::{CommitOutcome, Row, Transaction};

pub use faults::{FaultChange, Faults};
pub use server::StandInServer;
pub(crate) use server::ZONE_HEADER;
pub use state::{CallCounts, HostUpdate, StandInState};
pub use tasks::{Task, TaskState, TaskUpdate, Tasks};

/// The stand-in's state and injected faults, shared by [`EmbeddedPlatform`] and [`StandInServer`].
#[derive(Debug)]
pub struct StandIn {
    clock: Clock,
    state: Mutex<StandInState>,
    faults: Mutex<Faults>,
}

impl StandIn {
    /// A stand-in with empty state and no faults.
    pub fn new() -> Arc<StandIn> {
        Arc::new(StandIn {
            clock: Clock::new(),
            state: Mutex::new(StandInState::default()),
            faults: Mutex::new(Faults::default()),
        })
    }

    /// Current time on the stand-in's clock, in microseconds.
    pub fn now_us(&self) -> u64 {
        self.clock.now_us()
    }

    /// Locks the state for direct access, unaffected by injected faults.
    pub fn state(&self) -> MutexGuard<'_, StandInState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The faults that are injected at present.
    pub fn faults(&self) -> Faults {
        self.lock_faults().clone()
    }

    /// Changes the faults that `change` sets, and returns all faults.
    pub fn change_faults(&self, change: &FaultChange) -> Faults {
        let mut faults = self.lock_faults();
        faults.apply(change);
        faults.clone()
    }

    fn lock_faults(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs `effect` on the state as a call from `zone`. Injected faults can delay the call, keep it from taking
    /// effect, or lose its response.
    fn call_with_faults<T>(
        &self,
        zone: &str,
        operation: &'static str,
        effect: impl FnOnce(&mut StandInState, u64) -> T,
    ) -> Result<T, PlatformError> {
        let faults = self.faults();
        if faults.slow_ms > 0 {
            thread::sleep(Duration::from_millis(faults.slow_ms));
        }
        if faults.down || faults.cut_zones.iter().any(|cut| &**cut == zone) {
            let reason = if faults.down { "down" } else { "cut off" };
            return Err(PlatformError::Unavailable { operation, reason: reason.to_owned() });
        }
        let now_us = self.now_us();
        let result = effect(&mut self.state(), now_us);
        if faults.lose_answers {
            return Err(PlatformError::ResponseLost { operation, reason: "answer dropped".to_owned() });
        }
        Ok(result)
    }
}

/// [`Platform`] that calls a stand-in in the same process, as a client in one zone.
#[derive(Debug, Clone)]
pub struct EmbeddedPlatform {
    standin: Arc<StandIn>,
    zone: Arc<str>,
}

impl EmbeddedPlatform {
    /// Creates a client in `zone` that calls `standin`.
    pub fn new(standin: Arc<StandIn>, zone: &str) -> EmbeddedPlatform {
        EmbeddedPlatform { standin, zone: zone.into() }
    }

    /// The stand-in that this client calls.
    pub fn standin(&self) -> &Arc<StandIn> {
        &self.standin
    }
}

impl Platform for EmbeddedPlatform {
    fn read(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        self.standin.call_with_faults(&self.zone, "read", |state, _| state.read(key))
    }

    fn scan(&self, prefix: &str) -> Result<Vec<Row>, PlatformError> {
        self.standin.call_with_faults(&self.zone, "scan", |state, _| state.scan(prefix))
    }

    fn commit(&self, transaction: &Transaction) -> Result<CommitOutcome, PlatformError> {
        self.standin.call_with_faults(&self.zone, "commit", |state, _| state.commit(transaction))
    }

    fn put_object(&self, key: &str, body: &[u8]) -> Result<(), PlatformError> {
        self.standin.call_with_faults(&self.zone, "put_object", |state, _| state.put_object(key, body))
    }

    fn get_object(&self, key: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        self.standin.call_with_faults(&self.zone, "get_object", |state, _| state.get_object(key))
    }

    fn delete_object(&self, key: &str) -> Result<(), PlatformError> {
        self.standin.call_with_faults(&self.zone, "delete_object", |state, _| state.delete_object(key))
    }

    fn host_changes(&self, cursor: u64) -> Result<HostChanges, PlatformError> {
        let lag_ms = self.standin.faults().list_lag_ms;
        self.standin.call_with_faults(&self.zone, "hosts", |state, now_us| state.host_changes(now_us, lag_ms, cursor))
    }
}
