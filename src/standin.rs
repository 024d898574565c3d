//! Stand-in for the platform: table, object store, lagging host list and workers, with switchable faults.

mod api_server;
mod faults;
mod server;
mod store;
#[cfg(test)]
mod store_tests;
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
pub use store::{HostUpdate, Store, StoreStats};
pub use tasks::{Task, TaskState, TaskUpdate, Tasks};

/// The stand-in's state, shared by the embedded platform and the HTTP server.
#[derive(Debug)]
pub struct StandIn {
    clock: Clock,
    store: Mutex<Store>,
    faults: Mutex<Faults>,
}

impl StandIn {
    /// An empty platform without faults.
    pub fn new() -> Arc<StandIn> {
        Arc::new(StandIn {
            clock: Clock::new(),
            store: Mutex::new(Store::default()),
            faults: Mutex::new(Faults::default()),
        })
    }

    /// Microseconds on the stand-in's clock.
    pub fn now_us(&self) -> u64 {
        self.clock.now_us()
    }

    /// Direct access to the state, past all faults, for operators of the stand-in and for tests.
    pub fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The faults in force.
    pub fn faults(&self) -> Faults {
        self.lock_faults().clone()
    }

    /// Changes some of the faults and returns all.
    pub fn change_faults(&self, change: &FaultChange) -> Faults {
        let mut faults = self.lock_faults();
        faults.apply(change);
        faults.clone()
    }

    fn lock_faults(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs `effect` on the store as a call from `zone`, under the faults in force.
    fn call<T>(
        &self,
        zone: &str,
        operation: &'static str,
        effect: impl FnOnce(&mut Store, u64) -> T,
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
        let result = effect(&mut self.store(), now_us);
        if faults.lose_answers {
            return Err(PlatformError::AnswerLost { operation, reason: "answer dropped".to_owned() });
        }
        Ok(result)
    }
}

/// The stand-in inside the daemon's own process, seen from one zone.
#[derive(Debug, Clone)]
pub struct EmbeddedPlatform {
    standin: Arc<StandIn>,
    zone: Arc<str>,
}

impl EmbeddedPlatform {
    /// Access to `standin` from `zone`.
    pub fn new(standin: Arc<StandIn>, zone: &str) -> EmbeddedPlatform {
        EmbeddedPlatform { standin, zone: zone.into() }
    }

    /// The stand-in behind it.
    pub fn standin(&self) -> &Arc<StandIn> {
        &self.standin
    }
}

impl Platform for EmbeddedPlatform {
    fn read(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        self.standin.call(&self.zone, "read", |store, _| store.read(key))
    }

    fn scan(&self, prefix: &str) -> Result<Vec<Row>, PlatformError> {
        self.standin.call(&self.zone, "scan", |store, _| store.scan(prefix))
    }

    fn commit(&self, transaction: &Transaction) -> Result<CommitOutcome, PlatformError> {
        self.standin.call(&self.zone, "commit", |store, _| store.commit(transaction))
    }

    fn put_object(&self, key: &str, body: &[u8]) -> Result<(), PlatformError> {
        self.standin.call(&self.zone, "put_object", |store, _| store.put_object(key, body))
    }

    fn get_object(&self, key: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        self.standin.call(&self.zone, "get_object", |store, _| store.get_object(key))
    }

    fn host_changes(&self, cursor: u64) -> Result<HostChanges, PlatformError> {
        let lag_ms = self.standin.faults().list_lag_ms;
        self.standin.call(&self.zone, "hosts", |store, now_us| store.hosts(now_us, lag_ms, cursor))
    }
}
