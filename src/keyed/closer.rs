//! Writes the ends of claims in the background, and sweeps expired ones.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use super::claims::{close, close_group, sweep, Closing, MAX_GROUP};
use crate::daemon::Daemon;
use crate::error::Result;
use crate::kernel::{Plugin, Stage};
use crate::platform::PlatformError;
use crate::reactor::spawn;

const RETRY_MS: u64 = 1_000;
const SWEEP_EVERY_MS: u64 = 60_000;
/// Claims are swept by the first byte of their digests, one value at a time.
const SWEEP_PARTS: usize = 256;
/// Ends beyond this number are not written; their rows say that the request may have run.
const MAX_WAITING: usize = 4_096;

inventory::submit! {
    Plugin { name: "keyed", stage: Stage::Membership, start }
}

fn start(daemon: &Rc<Daemon>) -> Result<()> {
    spawn(write_endings(daemon.clone()));
    spawn(sweep_expired(daemon.clone()));
    Ok(())
}

/// Ends that wait to be written, with the version of each claim's row, if it is known.
#[derive(Debug, Default)]
pub(crate) struct WaitingClosings {
    queue: VecDeque<(Closing, Option<u64>)>,
    /// Ends that are being written.
    writing: usize,
}

impl WaitingClosings {
    /// Adds one; `false` if there are too many.
    pub(crate) fn push(&mut self, closing: Closing, row_version: Option<u64>) -> bool {
        if self.queue.len() >= MAX_WAITING {
            return false;
        }
        self.queue.push_back((closing, row_version));
        true
    }

    /// Ends that are not known to be written.
    pub(crate) fn len(&self) -> usize {
        self.queue.len() + self.writing
    }

    fn has_waiting(&self) -> bool {
        !self.queue.is_empty()
    }

    fn take_group(&mut self) -> Vec<(Closing, Option<u64>)> {
        self.writing = self.queue.len().min(MAX_GROUP);
        self.queue.drain(..self.writing).collect()
    }

    fn written(&mut self) {
        self.writing = 0;
    }

    fn put_back(&mut self, group: Vec<(Closing, Option<u64>)>) {
        self.writing = 0;
        for entry in group.into_iter().rev() {
            self.queue.push_front(entry);
        }
    }
}

async fn write_endings(daemon: Rc<Daemon>) {
    loop {
        daemon.closings_added.until(|| daemon.closings.borrow().has_waiting()).await;
        let group = daemon.closings.borrow_mut().take_group();
        let written = group.clone();
        let result = daemon.platform.call("close", move |platform| write_group(platform, &written)).await;
        match result {
            Ok(()) => {
                daemon.closings.borrow_mut().written();
                let mut book = daemon.path.key_book();
                for (closing, _) in &group {
                    book.forget(&closing.claim.row_key);
                }
            }
            Err(_) => {
                metrics::counter!("claim_closings_retried_total").increment(group.len() as u64);
                daemon.closings.borrow_mut().put_back(group);
                daemon.sleep_ms(RETRY_MS).await;
            }
        }
    }
}

/// Tries all at once, and one by one if some row is not as expected.
fn write_group(
    platform: &dyn crate::platform::Platform,
    group: &[(Closing, Option<u64>)],
) -> Result<(), PlatformError> {
    let known: Option<Vec<(Closing, u64)>> =
        group.iter().map(|(closing, row_version)| Some((closing.clone(), (*row_version)?))).collect();
    if let Some(known) = known {
        match close_group(platform, &known) {
            Ok(()) => return Ok(()),
            Err(error @ PlatformError::Unavailable { .. }) => return Err(error),
            Err(_) => {}
        }
    }
    for (closing, _) in group {
        close(platform, closing)?;
    }
    Ok(())
}

async fn sweep_expired(daemon: Rc<Daemon>) {
    let mut part = 0;
    loop {
        daemon.sleep_ms(SWEEP_EVERY_MS).await;
        part = (part + 1) % SWEEP_PARTS;
        if !is_mine(&daemon, part) {
            continue;
        }
        let prefix = format!("{part:02x}");
        let swept = daemon.platform.call("sweep", move |platform| sweep(platform, &prefix, now_s())).await;
        metrics::counter!("claims_swept_total").increment(swept.unwrap_or(0) as u64);
    }
}

/// Daemons share the parts by their places in the order of names.
fn is_mine(daemon: &Daemon, part: usize) -> bool {
    let others = daemon.roster.borrow().live_others();
    let place = others.iter().filter(|other| other.name < daemon.settings.name).count();
    part % (others.len() + 1) == place
}

/// Seconds since the Unix epoch.
pub(crate) fn now_s() -> i64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    i64::try_from(since_epoch.as_secs()).unwrap_or(i64::MAX)
}
