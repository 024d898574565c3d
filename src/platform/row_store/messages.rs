//! JSON messages of the row store.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::platform::http_client::HttpResponse;
use crate::row_store::{RowId, RowPage, RowStoreError, RowStoreTransaction, StoredRow};

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
pub(super) struct WireRow {
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

/// Answer to reads of rows and to transactions.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct RowsBody {
    #[serde(default)]
    pub(super) rows: Vec<WireRow>,
    #[serde(default)]
    pub(super) more_pages: bool,
    #[serde(default)]
    pub(super) ver: u64,
}

/// Answer to reads of a table's partitions.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct PartsBody {
    #[serde(default)]
    pub(super) parts: Vec<String>,
    #[serde(default)]
    pub(super) more_pages: bool,
}

pub(super) fn encode_transaction(transaction: &RowStoreTransaction) -> Bytes {
    let mut body = TransactionBody { expected_rev: Vec::new(), upserts: Vec::new(), remove: Vec::new() };
    for (id, version) in &transaction.expected {
        body.expected_rev.push(ExpectedRow { table: &id.table, part: &id.partition, key: &id.key, ver: *version });
    }
    for (id, value) in &transaction.writes {
        let value = STANDARD.encode(value);
        body.upserts.push(NewRow { table: &id.table, part: &id.partition, key: &id.key, value });
    }
    for id in &transaction.removals {
        body.remove.push(RemovedRow { table: &id.table, part: &id.partition, key: &id.key });
    }
    // Serializing a struct of strings and numbers cannot fail.
    serde_json::to_vec(&body).unwrap_or_default().into()
}

pub(super) fn decode<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, RowStoreError> {
    serde_json::from_slice(body).map_err(|error| RowStoreError::Protocol(error.to_string()))
}

pub(super) fn decode_page(response: &HttpResponse) -> Result<RowPage, RowStoreError> {
    let body: RowsBody = decode(&response.body)?;
    let rows = body.rows.into_iter().map(decode_row).collect();
    Ok(RowPage { rows, has_more: body.more_pages, version: body.ver })
}

pub(super) fn decode_row(row: WireRow) -> StoredRow {
    let value = match row.value {
        Some(text) if !row.tombstone => STANDARD.decode(text).ok(),
        _ => None,
    };
    StoredRow { id: RowId::new(&row.table, &row.part, &row.key), version: row.ver, value }
}
