//! Writes the ends of claims in the background, and sweeps expired ones.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use super::claims::{close, close_group, sweep, Closing, MAX_GROUP};
use crate::daemon::Daemon;
use crate::error::Result;
use crate::platform::PlatformError;
use crate::plugin::{Plugin, Stage};
use crate::reactor::spawn;

const RETRY_MS: u64 = 1_000;
/// Time between looks for a claim's row that may be written late.
const LATE_LOOK_MS: u64 = 2_000;
/// Looks for such a row: a transaction that takes longer leaves its key unknown until the row expires.
pub(crate) const LATE_LOOKS: u32 = 60;
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
        daemon.closings_added.wait_until(|| daemon.closings.borrow().has_waiting()).await;
        let group = daemon.closings.borrow_mut().take_group();
        let written = group.clone();
        let result = daemon.platform.call("close", move |platform| write_group(platform, &written)).await;
        match result {
            Ok(not_found) => {
                daemon.closings.borrow_mut().written();
                for closing in not_found {
                    spawn(look_later(daemon.clone(), closing));
                }
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

/// A claim that was given up may still be written: looks for its row again after a while.
async fn look_later(daemon: Rc<Daemon>, closing: Closing) {
    daemon.sleep_ms(LATE_LOOK_MS).await;
    let looks_left = closing.looks_left - 1;
    daemon.closings.borrow_mut().push(Closing { looks_left, ..closing }, None);
    daemon.closings_added.notify();
}

/// Tries all at once, and one by one if some row is not as expected. Returns the claims to be looked for again.
pub(super) fn write_group(
    platform: &dyn crate::platform::Platform,
    group: &[(Closing, Option<u64>)],
) -> Result<Vec<Closing>, PlatformError> {
    let known: Option<Vec<(Closing, u64)>> =
        group.iter().map(|(closing, row_version)| Some((closing.clone(), (*row_version)?))).collect();
    if let Some(known) = known {
        match close_group(platform, &known) {
            Ok(()) => return Ok(Vec::new()),
            Err(error @ PlatformError::Unavailable { .. }) => return Err(error),
            Err(_) => {}
        }
    }
    let mut not_found = Vec::new();
    for (closing, _) in group {
        if !close(platform, closing)? && closing.looks_left > 0 {
            not_found.push(closing.clone());
        }
    }
    Ok(not_found)
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
