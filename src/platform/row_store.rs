//! Client of the row store of the users' platform. [`crate::row_store`] defines the types of its interface.

mod messages;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::stream::{FuturesUnordered, StreamExt};

use messages::{decode, decode_page, decode_row, encode_transaction, PartsBody, RowsBody};

use super::http_client::{path_with_query, HttpCall, HttpClient, HttpResponse};
use crate::boot_clock::BootClock;
use crate::call_progress::{CallDeadline, CallProgress};
use crate::clock::{Clock, US_PER_MS, US_PER_S};
use crate::endpoint_client::{timeout_at, CallOutcome};
use crate::row_store::repeated_call::{Overdue, RepeatedCall, StoreHealth, CALL_TIMEOUT_US};
use crate::row_store::{
    RowId, RowPage, RowStoreCommitOutcome, RowStoreError, RowStoreTransaction, StoredRow, ABSENT_ROW_VERSION,
};

const MAX_KEY_BYTES: usize = 200;
/// The only partition of the tables that operators and workers use.
const SHARED_PARTITION: &str = "";
/// Configuration and maintenance waves, written by operators.
const OPERATOR_TABLE: &str = "op";
/// Registrations, written by workers.
const WORKER_TABLE: &str = "servers";
/// Progress of maintenance waves, written for operators.
const STATUS_TABLE: &str = "status";
const CONFIG_KEY: &str = "config";
const WAVE_PREFIX: &str = "wave/";

/// Kind of a row in the operators' table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OperatorRowKind {
    Configuration,
    Wave,
    Other,
}

/// Client of the row store.
#[derive(Clone)]
pub(crate) struct RowStoreClient {
    http_client: Rc<HttpClient>,
    address: SocketAddr,
    clock: Clock,
    /// Tells how old an answer is, also after a suspension of the machine.
    boot_clock: BootClock,
    health: Rc<RefCell<StoreHealth>>,
    answered_us: Rc<Cell<u64>>,
}

impl RowStoreClient {
    /// Everything that is ordered or reported waits for the store first, so its connections are served before others.
    pub(crate) fn new(http_client: Rc<HttpClient>, address: SocketAddr, boot_clock: BootClock) -> RowStoreClient {
        http_client.prefer(address);
        let (health, answered_us) = (Rc::default(), Rc::default());
        RowStoreClient { http_client, address, clock: Clock::new(), boot_clock, health, answered_us }
    }

    /// Applies a transaction if every expected row has the expected version.
    pub(crate) async fn commit(
        &self,
        transaction: &RowStoreTransaction,
    ) -> Result<RowStoreCommitOutcome, RowStoreError> {
        let body = encode_transaction(transaction);
        let response = self.send("POST", "/rows-tx", body, 0).await?;
        let rows: RowsBody = decode(&response.body)?;
        match response.status {
            200 => Ok(RowStoreCommitOutcome::Applied { version: rows.ver }),
            412 => Ok(RowStoreCommitOutcome::Conflict { current: rows.rows.into_iter().map(decode_row).collect() }),
            status => Err(RowStoreError::Protocol(format!("HTTP status {status}"))),
        }
    }

    /// Reads up to `limit` rows of a partition whose keys are at least `from`, sorted by key.
    pub(crate) async fn read_page(
        &self,
        table: &str,
        partition: &str,
        from: &str,
        limit: u32,
    ) -> Result<RowPage, RowStoreError> {
        let limit = limit.to_string();
        let path =
            path_with_query("/rows-get", &[("table", table), ("part", partition), ("from", from), ("limit", &limit)]);
        let response = self.send("GET", &path, Bytes::new(), 0).await?;
        decode_page(&response)
    }

    /// Reads the store's newest version.
    pub(crate) async fn newest_version(&self) -> Result<u64, RowStoreError> {
        // Every read of rows tells it. The rows of this table are small.
        Ok(self.read_page(STATUS_TABLE, SHARED_PARTITION, "", 1).await?.version)
    }

    /// Reads all rows of a partition.
    pub(crate) async fn read_partition(&self, table: &str, partition: &str) -> Result<RowPage, RowStoreError> {
        const PAGE_ROWS: u32 = 500;
        let mut page = self.read_page(table, partition, "", PAGE_ROWS).await?;
        while page.has_more {
            let from = page.rows.last().map_or_else(String::new, |row| following_key(&row.id.key));
            let more = self.read_page(table, partition, &from, PAGE_ROWS).await?;
            append_page(&mut page, more)?;
        }
        Ok(page)
    }

    /// Returns the rows of a table that changed after version `after`. If there are none, waits up to `wait_ms` for a
    /// change, unless the latest call failed: a call that should be answered at once shows sooner whether the store is
    /// back.
    pub(crate) async fn wait_for_changes(
        &self,
        table: &str,
        after: u64,
        wait_ms: u64,
    ) -> Result<RowPage, RowStoreError> {
        let wait_ms = if self.health.borrow().is_failing() { 0 } else { wait_ms };
        let (after, wait) = (after.to_string(), wait_ms.to_string());
        let path = path_with_query("/rows-feed", &[("table", table), ("after", &after), ("waitMs", &wait)]);
        let response = self.send("GET", &path, Bytes::new(), wait_ms).await?;
        decode_page(&response)
    }

    /// Lists the partitions of a table.
    pub(crate) async fn list_partitions(&self, table: &str) -> Result<Vec<String>, RowStoreError> {
        let mut partitions: Vec<String> = Vec::new();
        loop {
            let path = match partitions.last() {
                Some(last) => path_with_query("/rows-parts", &[("table", table), ("after", last)]),
                None => path_with_query("/rows-parts", &[("table", table)]),
            };
            let response = self.send("GET", &path, Bytes::new(), 0).await?;
            let body: PartsBody = decode(&response.body)?;
            let has_more = body.more_pages;
            append_partitions(&mut partitions, body)?;
            if !has_more {
                return Ok(partitions);
            }
        }
    }

    /// Reads the rows that operators write: the configuration and the maintenance waves.
    pub(crate) async fn operator_rows(&self) -> Result<RowPage, RowStoreError> {
        self.read_partition(OPERATOR_TABLE, SHARED_PARTITION).await
    }

    /// Returns the changes to the operators' rows; see [`RowStoreClient::wait_for_changes`].
    pub(crate) async fn operator_changes(&self, after: u64, wait_ms: u64) -> Result<RowPage, RowStoreError> {
        self.wait_for_changes(OPERATOR_TABLE, after, wait_ms).await
    }

    /// Reads the rows with which workers register themselves.
    pub(crate) async fn worker_rows(&self) -> Result<RowPage, RowStoreError> {
        self.read_partition(WORKER_TABLE, SHARED_PARTITION).await
    }

    /// Returns the changes to the workers' rows; see [`RowStoreClient::wait_for_changes`].
    pub(crate) async fn worker_changes(&self, after: u64, wait_ms: u64) -> Result<RowPage, RowStoreError> {
        self.wait_for_changes(WORKER_TABLE, after, wait_ms).await
    }

    /// Writes the row that tells operators whether a maintenance wave is complete, unless it tells so already.
    pub(crate) async fn report_wave(
        &self,
        number: u64,
        complete: bool,
    ) -> Result<RowStoreCommitOutcome, RowStoreError> {
        let key = wave_status_key(number);
        let page = self.read_page(STATUS_TABLE, SHARED_PARTITION, &key, 1).await?;
        let current = page.rows.iter().find(|row| *row.id.key == *key);
        match wave_status_transaction(number, complete, current) {
            Some(transaction) => self.commit(&transaction).await,
            None => Ok(RowStoreCommitOutcome::Applied { version: page.version }),
        }
    }

    /// Whether the store can be expected to answer this daemon.
    pub(crate) fn is_reachable(&self) -> bool {
        self.health.borrow().is_reachable(self.clock.now_us())
    }

    /// When the latest answer, or a part of one, arrived, on the boot-time clock; 0 if there was none.
    pub(crate) fn answered_us(&self) -> u64 {
        self.answered_us.get()
    }

    fn record_answer(&self) {
        self.health.borrow_mut().record_answer();
        self.answered_us.set(self.boot_clock.now_us());
    }

    /// For how long calls have been failing without any answer.
    pub(crate) fn failing_ms(&self) -> u64 {
        self.health.borrow().failing_ms(self.clock.now_us())
    }

    /// Sends a call, and sends it again while no answer arrives; the first answer counts.
    async fn send(&self, method: &str, path: &str, body: Bytes, wait_ms: u64) -> Result<HttpResponse, RowStoreError> {
        let now_us = self.clock.now_us();
        let repeat_delay_us = self.health.borrow().repeat_delay_us();
        let mut call = RepeatedCall::new(now_us, wait_ms * US_PER_MS, repeat_delay_us);
        let mut attempts = FuturesUnordered::new();
        let mut attempts_progress = vec![CallProgress::default()];
        let first = attempts_progress[0].clone();
        attempts.push(self.attempt(method, path, body.clone(), wait_ms, CALL_TIMEOUT_US, first));
        loop {
            let next_attempt = self.clock.instant(call.next_attempt_us());
            match timeout_at(next_attempt, attempts.select_next_some()).await {
                Some(Ok(response)) => return Ok(response),
                Some(Err(RowStoreError::HistoryGone)) => return Err(RowStoreError::HistoryGone),
                Some(Err(error)) => {
                    if let Some(error) = call.fail_attempt(error) {
                        return Err(error);
                    }
                }
                None => {
                    let now_us = self.clock.now_us();
                    let progressed_us =
                        attempts_progress.iter().filter_map(|progress| self.progressed_us(progress)).max();
                    let overdue = call.on_overdue(now_us, progressed_us);
                    if overdue == Overdue::InProgress {
                        // A request that is still being sent says nothing about the store.
                        if attempts_progress.iter().any(|progress| progress.received_bytes() > 0) {
                            self.record_answer();
                        }
                        continue;
                    }
                    self.health.borrow_mut().record_failure(now_us);
                    let Overdue::Repeat { timeout_us } = overdue else { continue };
                    metrics::counter!("store_calls_repeated_total", "call" => call_name(path)).increment(1);
                    self.http_client.close_idle_to(self.address);
                    let progress = CallProgress::default();
                    attempts_progress.push(progress.clone());
                    attempts.push(self.attempt(method, path, body.clone(), 0, timeout_us, progress));
                }
            }
        }
    }

    /// When a call last made progress, on this client's clock.
    fn progressed_us(&self, progress: &CallProgress) -> Option<u64> {
        let elapsed_us = progress.latest()?.elapsed().as_micros() as u64;
        Some(self.clock.now_us().saturating_sub(elapsed_us))
    }

    /// Sends a call once, and records what it shows about the store. The response time of a call that waits for changes
    /// says nothing.
    async fn attempt(
        &self,
        method: &str,
        path: &str,
        body: Bytes,
        wait_ms: u64,
        timeout_us: u64,
        progress: CallProgress,
    ) -> Result<HttpResponse, RowStoreError> {
        let deadline = Instant::now() + Duration::from_millis(wait_ms) + Duration::from_micros(timeout_us);
        let deadline = CallDeadline::ExtendedByProgress(deadline);
        let sent_us = self.clock.now_us();
        let result = self.send_once(method, path, body, deadline, progress.clone()).await;
        let now_us = self.clock.now_us();
        let outcome = if result.is_ok() { "answered" } else { "failed" };
        let seconds = (now_us - sent_us) as f64 / US_PER_S as f64;
        metrics::histogram!("store_call_seconds", "call" => call_name(path), "outcome" => outcome).record(seconds);
        match &result {
            Ok(_) | Err(RowStoreError::HistoryGone | RowStoreError::Refused(_) | RowStoreError::Protocol(_)) => {
                self.record_answer();
                if let Some(response_us) = progress.response_us().filter(|_| wait_ms == 0) {
                    self.health.borrow_mut().record_latency(response_us);
                }
            }
            Err(RowStoreError::Unavailable(_) | RowStoreError::ResponseLost(_)) => {
                self.health.borrow_mut().record_failure(now_us);
            }
        }
        result
    }

    async fn send_once(
        &self,
        method: &str,
        path: &str,
        body: Bytes,
        deadline: CallDeadline,
        progress: CallProgress,
    ) -> Result<HttpResponse, RowStoreError> {
        let call = HttpCall { address: self.address, method, path, headers: &[], body, deadline, progress };
        let response = match self.http_client.send(call).await {
            Ok(response) => response,
            Err(CallOutcome::NotSent(reason)) => return Err(RowStoreError::Unavailable(reason)),
            Err(CallOutcome::Lost { reason, .. }) => return Err(RowStoreError::ResponseLost(reason)),
            Err(CallOutcome::Answered(_)) => return Err(RowStoreError::Protocol("response without a body".to_owned())),
        };
        match response.status {
            200 | 412 => Ok(response),
            410 => Err(RowStoreError::HistoryGone),
            429 | 503 => Err(RowStoreError::Unavailable(format!("HTTP status {}", response.status))),
            status => {
                let text = String::from_utf8_lossy(&response.body);
                let reason = format!("HTTP status {status}: {text}");
                match status {
                    400 | 413 => Err(RowStoreError::Refused(reason)),
                    _ => Err(RowStoreError::Protocol(reason)),
                }
            }
        }
    }
}

/// Name of a call in metrics.
fn call_name(path: &str) -> &'static str {
    match path.split('?').next() {
        Some("/rows-tx") => "commit",
        Some("/rows-get") => "read",
        Some("/rows-feed") => "wait_for_changes",
        _ => "list_partitions",
    }
}

fn wave_status_key(number: u64) -> String {
    format!("{WAVE_PREFIX}{number}")
}

/// Transaction that writes the status of a maintenance wave; `None` if the `current` row has it already, or says that
/// the wave is complete, which is final. The write is conditional on that row: the store may apply one whose answer was
/// lost seconds later, when a newer status has been written.
pub(super) fn wave_status_transaction(
    number: u64,
    complete: bool,
    current: Option<&StoredRow>,
) -> Option<RowStoreTransaction> {
    let status = |complete: bool| {
        let state = if complete { "completed" } else { "running" };
        serde_json::json!({ "wave": number, "state": state }).to_string().into_bytes()
    };
    let value = status(complete);
    let current_value = current.and_then(|row| row.value.as_ref());
    if current_value.is_some_and(|current| *current == value || *current == status(true)) {
        return None;
    }
    let id = RowId::new(STATUS_TABLE, SHARED_PARTITION, &wave_status_key(number));
    let version = current.map_or(ABSENT_ROW_VERSION, |row| row.version);
    Some(RowStoreTransaction { expected: vec![(id.clone(), version)], writes: vec![(id, value)], removals: Vec::new() })
}

/// The least key after this one. A key of the greatest length is returned as it is, since a longer one exceeds the store's
/// limit: its row is read again.
pub(super) fn following_key(key: &str) -> String {
    let mut following = key.to_owned();
    if key.len() < MAX_KEY_BYTES {
        following.push('\0');
    }
    following
}

/// Appends the page that follows, whose first row may be the last one read before.
///
/// # Errors
/// Fails if more pages follow, but this one has no row beyond those read before: it would be read again without end.
pub(super) fn append_page(page: &mut RowPage, more: RowPage) -> Result<(), RowStoreError> {
    let read_count = page.rows.len();
    let last = page.rows.last().map(|row| row.id.key.clone());
    // The result keeps the first page's version, so that waiting for changes since that version also returns the rows
    // that changed between two pages.
    page.rows.extend(more.rows.into_iter().filter(|row| last.as_ref().is_none_or(|last| row.id.key > *last)));
    page.has_more = more.has_more;
    if page.has_more && page.rows.len() == read_count {
        return Err(RowStoreError::Protocol(format!("the page from key {last:?} has no further row, but more follow")));
    }
    Ok(())
}

/// The same for a page of the names of a table's partitions.
fn append_partitions(partitions: &mut Vec<String>, more: PartsBody) -> Result<(), RowStoreError> {
    let read_count = partitions.len();
    let last = partitions.last().cloned();
    partitions.extend(more.parts.into_iter().filter(|name| last.as_ref().is_none_or(|last| name > last)));
    if more.more_pages && partitions.len() == read_count {
        return Err(RowStoreError::Protocol(format!("the page after partition {last:?} is empty, but more follow")));
    }
    Ok(())
}

/// Returns the kind of a row in the operators' table, which its key determines.
pub(crate) fn operator_row_kind(row: &StoredRow) -> OperatorRowKind {
    if &*row.id.key == CONFIG_KEY {
        return OperatorRowKind::Configuration;
    }
    if row.id.key.starts_with(WAVE_PREFIX) {
        return OperatorRowKind::Wave;
    }
    OperatorRowKind::Other
}
