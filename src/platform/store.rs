//! Client of the platform's store of rows.

use std::net::SocketAddr;
use std::rc::Rc;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::http_client::{HttpClient, Reply};
use crate::endpoint_client::CallEnd;
use crate::store::{RowId, RowPage, StoreCommitOutcome, StoreError, StoreTransaction, StoredRow};

/// Time beyond the store's own waiting after which a call counts as unanswered.
const CALL_TIMEOUT_MS: u64 = 1_500;
/// Partition of the platform's own tables and of the operator's view.
const SHARED_PARTITION: &str = "";
const OPERATOR_TABLE: &str = "op";
const WORKER_TABLE: &str = "servers";
const STATUS_TABLE: &str = "status";
const CONFIG_KEY: &str = "config";
const WAVE_PREFIX: &str = "wave/";

#[derive(Serialize)]
struct ExpectedRow<'a> {
    table: &'a str,
    part: &'a str,
    key: &'a str,
    ver: u64,
}

#[derive(Serialize)]
struct NewRow<'a> {
    table: &'a str,
    part: &'a str,
    key: &'a str,
    value: String,
}

#[derive(Serialize)]
struct RemovedRow<'a> {
    table: &'a str,
    part: &'a str,
    key: &'a str,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct TransactionBody<'a> {
    expected_rev: Vec<ExpectedRow<'a>>,
    upserts: Vec<NewRow<'a>>,
    remove: Vec<RemovedRow<'a>>,
}

#[derive(Deserialize)]
struct WireRow {
    table: String,
    #[serde(default)]
    part: String,
    key: String,
    #[serde(default)]
    value: Option<String>,
    #[serde(default)]
    ver: u64,
    #[serde(default)]
    tombstone: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RowsBody {
    #[serde(default)]
    rows: Vec<WireRow>,
    #[serde(default)]
    more_pages: bool,
    #[serde(default)]
    ver: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct PartsBody {
    #[serde(default)]
    parts: Vec<String>,
    #[serde(default)]
    more_pages: bool,
}

/// What a row of the platform's own tables is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OperatorRowKind {
    Configuration,
    Wave,
    Other,
}

/// See the module.
#[derive(Clone)]
pub(crate) struct StoreClient {
    http_client: Rc<HttpClient>,
    address: SocketAddr,
}

impl StoreClient {
    pub(crate) fn new(http_client: Rc<HttpClient>, address: SocketAddr) -> StoreClient {
        StoreClient { http_client, address }
    }

    /// Applies a conditional transaction.
    pub(crate) async fn commit(&self, transaction: &StoreTransaction) -> Result<StoreCommitOutcome, StoreError> {
        let body = encode_transaction(transaction);
        let reply = self.call("POST", "/rows-tx", body, 0).await?;
        let rows: RowsBody = decode(&reply.body)?;
        match reply.status {
            200 => Ok(StoreCommitOutcome::Applied { version: rows.ver }),
            412 => Ok(StoreCommitOutcome::Conflict { current: rows.rows.into_iter().map(stored_row).collect() }),
            status => Err(StoreError::Protocol(format!("status {status}"))),
        }
    }

    /// Reads rows of one partition whose keys are at least `from`, in the order of keys.
    pub(crate) async fn read_page(
        &self,
        table: &str,
        partition: &str,
        from: &str,
        limit: u32,
    ) -> Result<RowPage, StoreError> {
        let path = format!("/rows-get?table={table}&part={partition}&from={from}&limit={limit}");
        let reply = self.call("GET", &path, Bytes::new(), 0).await?;
        page(&reply)
    }

    /// Reads all rows of a partition.
    pub(crate) async fn read_partition(&self, table: &str, partition: &str) -> Result<RowPage, StoreError> {
        const PAGE_ROWS: u32 = 500;
        let mut all = self.read_page(table, partition, "", PAGE_ROWS).await?;
        while all.has_more {
            // The smallest key after the last one read.
            let Some(last) = all.rows.last() else { break };
            let from = format!("{}%00", last.id.key);
            let more = self.read_page(table, partition, &from, PAGE_ROWS).await?;
            all.has_more = more.has_more;
            // Changes between two pages are seen again by whoever follows from the first page's version.
            all.rows.extend(more.rows);
        }
        Ok(all)
    }

    /// Waits up to `wait_ms` for rows of a table that changed after `after`.
    pub(crate) async fn wait_for_changes(&self, table: &str, after: u64, wait_ms: u64) -> Result<RowPage, StoreError> {
        let path = format!("/rows-feed?table={table}&after={after}&waitMs={wait_ms}");
        let reply = self.call("GET", &path, Bytes::new(), wait_ms).await?;
        page(&reply)
    }

    /// Partitions of a table.
    pub(crate) async fn list_partitions(&self, table: &str) -> Result<Vec<String>, StoreError> {
        let mut all: Vec<String> = Vec::new();
        loop {
            let path = match all.last() {
                Some(last) => format!("/rows-parts?table={table}&after={last}"),
                None => format!("/rows-parts?table={table}"),
            };
            let reply = self.call("GET", &path, Bytes::new(), 0).await?;
            let body: PartsBody = decode(&reply.body)?;
            let more = body.more_pages && !body.parts.is_empty();
            all.extend(body.parts);
            if !more {
                return Ok(all);
            }
        }
    }

    /// Rows that operators write: the configuration and the waves.
    pub(crate) async fn operator_rows(&self) -> Result<RowPage, StoreError> {
        self.read_partition(OPERATOR_TABLE, SHARED_PARTITION).await
    }

    pub(crate) async fn operator_changes(&self, after: u64, wait_ms: u64) -> Result<RowPage, StoreError> {
        self.wait_for_changes(OPERATOR_TABLE, after, wait_ms).await
    }

    /// Rows in which workers register themselves.
    pub(crate) async fn worker_rows(&self) -> Result<RowPage, StoreError> {
        self.read_partition(WORKER_TABLE, SHARED_PARTITION).await
    }

    pub(crate) async fn worker_changes(&self, after: u64, wait_ms: u64) -> Result<RowPage, StoreError> {
        self.wait_for_changes(WORKER_TABLE, after, wait_ms).await
    }

    /// Tells operators whether a wave is complete.
    pub(crate) async fn report_wave(&self, number: u64, complete: bool) -> Result<StoreCommitOutcome, StoreError> {
        let state = if complete { "completed" } else { "running" };
        let value = serde_json::json!({ "wave": number, "state": state }).to_string();
        let at = RowId::new(STATUS_TABLE, SHARED_PARTITION, &format!("{WAVE_PREFIX}{number}"));
        let transaction = StoreTransaction { writes: vec![(at, value.into_bytes())], ..StoreTransaction::default() };
        self.commit(&transaction).await
    }

    async fn call(&self, method: &str, path: &str, body: Bytes, wait_ms: u64) -> Result<Reply, StoreError> {
        let reply = match self.http_client.call(self.address, method, path, &[], body, wait_ms + CALL_TIMEOUT_MS).await
        {
            Ok(reply) => reply,
            Err(CallEnd::NotSent(reason)) => return Err(StoreError::Unavailable(reason)),
            Err(CallEnd::Lost { reason, .. }) => return Err(StoreError::AnswerLost(reason)),
            Err(CallEnd::Answered(_)) => return Err(StoreError::Protocol("no body".to_owned())),
        };
        match reply.status {
            200 | 412 => Ok(reply),
            410 => Err(StoreError::HistoryGone),
            429 | 503 => Err(StoreError::Unavailable(format!("status {}", reply.status))),
            status => {
                let text = String::from_utf8_lossy(&reply.body);
                Err(StoreError::Protocol(format!("status {status}: {text}")))
            }
        }
    }
}

/// Tells what a row of the operators' table is about.
pub(crate) fn operator_row_kind(row: &StoredRow) -> OperatorRowKind {
    if &*row.id.key == CONFIG_KEY {
        return OperatorRowKind::Configuration;
    }
    if row.id.key.starts_with(WAVE_PREFIX) {
        return OperatorRowKind::Wave;
    }
    OperatorRowKind::Other
}

fn encode_transaction(transaction: &StoreTransaction) -> Bytes {
    let mut body = TransactionBody { expected_rev: Vec::new(), upserts: Vec::new(), remove: Vec::new() };
    for (at, ver) in &transaction.expected {
        body.expected_rev.push(ExpectedRow { table: &at.table, part: &at.partition, key: &at.key, ver: *ver });
    }
    for (at, value) in &transaction.writes {
        let value = STANDARD.encode(value);
        body.upserts.push(NewRow { table: &at.table, part: &at.partition, key: &at.key, value });
    }
    for at in &transaction.removals {
        body.remove.push(RemovedRow { table: &at.table, part: &at.partition, key: &at.key });
    }
    // Plain structs of texts and numbers always serialize.
    serde_json::to_vec(&body).unwrap_or_default().into()
}

fn decode<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|error| StoreError::Protocol(error.to_string()))
}

fn page(reply: &Reply) -> Result<RowPage, StoreError> {
    let body: RowsBody = decode(&reply.body)?;
    let rows = body.rows.into_iter().map(stored_row).collect();
    Ok(RowPage { rows, has_more: body.more_pages, version: body.ver })
}

fn stored_row(row: WireRow) -> StoredRow {
    let value = match row.value {
        Some(text) if !row.tombstone => STANDARD.decode(text).ok(),
        _ => None,
    };
    StoredRow { id: RowId::new(&row.table, &row.part, &row.key), version: row.ver, value }
}
