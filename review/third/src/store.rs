//! The platform's row store.

use std::collections::BTreeMap;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde_json::{json, Value};

use crate::http::Request;

const MAX_PAGE_ROWS: usize = 500;

type RowId = (String, String, String);

#[derive(Debug)]
struct Row {
    version: u64,
    /// Base64; `None` if the row was removed.
    value: Option<String>,
}

/// Rows by table, partition and key. Removed rows stay as tombstones.
#[derive(Debug, Default)]
pub struct Store {
    rows: BTreeMap<RowId, Row>,
    version: u64,
    /// Version since which changes are known.
    history_since: u64,
}

fn row_id(entry: &Value) -> RowId {
    let text = |name: &str| entry[name].as_str().unwrap_or("").to_owned();
    (text("table"), text("part"), text("key"))
}

fn row_body((table, part, key): &RowId, row: &Row) -> Value {
    match &row.value {
        Some(value) => json!({ "table": table, "part": part, "key": key, "ver": row.version, "value": value }),
        None => json!({ "table": table, "part": part, "key": key, "ver": row.version, "tombstone": true }),
    }
}

impl Store {
    /// Writes a row in the empty partition, as the operator and the executors do.
    pub fn put(&mut self, table: &str, key: &str, value: &Value) {
        self.version += 1;
        let value = Some(STANDARD.encode(value.to_string()));
        self.rows.insert((table.to_owned(), String::new(), key.to_owned()), Row { version: self.version, value });
    }

    pub fn remove(&mut self, table: &str, key: &str) {
        let id = (table.to_owned(), String::new(), key.to_owned());
        if self.rows.get(&id).is_some_and(|row| row.value.is_some()) {
            self.version += 1;
            self.rows.insert(id, Row { version: self.version, value: None });
        }
    }

    /// The decoded value of a row.
    pub fn get(&self, table: &str, part: &str, key: &str) -> Option<Vec<u8>> {
        let row = self.rows.get(&(table.to_owned(), part.to_owned(), key.to_owned()))?;
        STANDARD.decode(row.value.as_ref()?).ok()
    }

    fn version_of(&self, id: &RowId) -> u64 {
        self.rows.get(id).filter(|row| row.value.is_some()).map_or(0, |row| row.version)
    }

    fn list(body: &Value, name: &str) -> Vec<Value> {
        body[name].as_array().cloned().unwrap_or_default()
    }

    /// Applies a transaction, or answers with the rows that differ from what it expects.
    pub fn commit(&mut self, body: &Value) -> (u16, Value) {
        let mut conflicts = Vec::new();
        for expected in Self::list(body, "expectedRev") {
            let id = row_id(&expected);
            let version = self.version_of(&id);
            if version == expected["ver"].as_u64().unwrap_or(0) {
                continue;
            }
            conflicts.push(match self.rows.get(&id) {
                Some(row) if row.value.is_some() => row_body(&id, row),
                _ => json!({ "table": id.0, "part": id.1, "key": id.2, "ver": 0 }),
            });
        }
        if !conflicts.is_empty() {
            return (412, json!({ "rows": conflicts, "ver": self.version, "nowMs": 1 }));
        }
        self.version += 1;
        for entry in Self::list(body, "upserts") {
            let value = Some(entry["value"].as_str().unwrap_or("").to_owned());
            self.rows.insert(row_id(&entry), Row { version: self.version, value });
        }
        for entry in Self::list(body, "remove") {
            let id = row_id(&entry);
            if self.version_of(&id) > 0 {
                self.rows.insert(id, Row { version: self.version, value: None });
            }
        }
        (200, json!({ "ver": self.version, "nowMs": 1 }))
    }

    pub fn read(&self, request: &Request) -> (u16, Value) {
        let (table, part, from) = (request.text("table"), request.text("part"), request.text("from"));
        let target = request.query.get("target");
        let limit = match request.number("limit") {
            0 => MAX_PAGE_ROWS,
            limit => MAX_PAGE_ROWS.min(limit as usize),
        };
        let first = (table.to_owned(), part.to_owned(), from.to_owned());
        let mut rows = Vec::new();
        let mut more = false;
        for (id, row) in self.rows.range(first..) {
            if id.0 != table || id.1 != part || target.is_some_and(|target| id.2 >= *target) {
                break;
            }
            if row.value.is_none() {
                continue;
            }
            if rows.len() == limit {
                more = true;
                break;
            }
            rows.push(row_body(id, row));
        }
        (200, json!({ "rows": rows, "morePages": more, "ver": self.version, "nowMs": 1 }))
    }

    pub fn parts(&self, request: &Request) -> (u16, Value) {
        let after = request.text("after");
        let live = self.rows.iter().filter(|(_, row)| row.value.is_some());
        let parts = live.filter(|(id, _)| id.0 == request.text("table")).map(|(id, _)| id.1.clone());
        let mut parts: Vec<String> = parts.filter(|part| after.is_empty() || part.as_str() > after).collect();
        parts.dedup();
        (200, json!({ "parts": parts, "morePages": false }))
    }

    /// Forgets the history so far.
    pub fn drop_history(&mut self) {
        self.history_since = self.version;
    }

    pub fn has_history_since(&self, version: u64) -> bool {
        version >= self.history_since
    }

    /// Rows of a table that changed after a version, in the order of their changes.
    pub fn changes(&self, table: &str, after: u64) -> Option<(u16, Value)> {
        let changed = self.rows.iter().filter(|(id, row)| id.0 == table && row.version > after);
        let mut changed: Vec<(&RowId, &Row)> = changed.collect();
        if changed.is_empty() {
            return None;
        }
        changed.sort_by_key(|(_, row)| row.version);
        let rows: Vec<Value> = changed.into_iter().map(|(id, row)| row_body(id, row)).collect();
        Some((200, json!({ "rows": rows, "ver": self.version, "nowMs": 1 })))
    }

    pub fn version(&self) -> u64 {
        self.version
    }
}
