//! The stand-in's row store: rows in memory, with the limits of the users' platform on calls, rows and pages.

use std::collections::{BTreeMap, BTreeSet};

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde_json::{json, Value};

use super::Request;

/// Maximum number of entries in a transaction.
const MAX_ENTRIES: usize = 100;
/// Maximum length in bytes of the names of a table and a partition, and of a key.
const MAX_NAME_BYTES: usize = 200;

/// Table, partition and key.
type RowId = (String, String, String);

/// Limits that tests may lower.
#[derive(Debug, Clone, Copy)]
pub(super) struct Limits {
    /// Size of the body of a transaction.
    pub(super) call_bytes: usize,
    /// Size of a value.
    pub(super) row_bytes: usize,
    /// Number of rows in a page.
    pub(super) page_rows: usize,
    /// Size of the values in a page.
    pub(super) page_bytes: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { call_bytes: 1_000_000, row_bytes: 65_536, page_rows: 500, page_bytes: 1_000_000 }
    }
}

#[derive(Default)]
pub(super) struct RowStore {
    /// Version of the last change.
    version: u64,
    /// Version and value of each row; the value of a deleted row is `None`.
    rows: BTreeMap<RowId, (u64, Option<Vec<u8>>)>,
    /// Version since which changes are known.
    history_since: u64,
    pub(super) limits: Limits,
    /// Number of transactions that were refused because of a limit.
    pub(super) refused_calls: u64,
}

impl RowStore {
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Forgets all changes so far.
    pub(super) fn drop_history(&mut self) {
        self.history_since = self.version;
    }

    /// Whether all changes after a version are known.
    pub(super) fn has_history_since(&self, version: u64) -> bool {
        version >= self.history_since
    }

    /// Value of a row that exists.
    pub(super) fn value(&self, table: &str, partition: &str, key: &str) -> Option<Vec<u8>> {
        let id = (table.to_owned(), partition.to_owned(), key.to_owned());
        self.rows.get(&id)?.1.clone()
    }

    pub(super) fn put(&mut self, table: &str, key: &str, value: &Value) {
        self.put_bytes(table, key, value.to_string().as_bytes());
    }

    pub(super) fn put_bytes(&mut self, table: &str, key: &str, value: &[u8]) {
        self.version += 1;
        let id = (table.to_owned(), String::new(), key.to_owned());
        self.rows.insert(id, (self.version, Some(value.to_vec())));
    }

    /// Removes a row, if it exists.
    pub(super) fn remove(&mut self, table: &str, key: &str) {
        let id = (table.to_owned(), String::new(), key.to_owned());
        let Some(row) = self.rows.get_mut(&id).filter(|(_, value)| value.is_some()) else { return };
        self.version += 1;
        *row = (self.version, None);
    }

    /// Applies a transaction, unless it exceeds a limit or its condition does not hold.
    pub(super) fn commit(&mut self, request: &Request) -> (u16, Value) {
        let writes = match self.check(request) {
            Ok(writes) => writes,
            Err(reason) => {
                self.refused_calls += 1;
                return (400, json!({ "error": reason }));
            }
        };
        let mut current_rows = Vec::new();
        let mut has_conflict = false;
        for row in rows_in(&request.body, "expectedRev") {
            let id = id_of(row);
            let current = self.rows.get(&id).filter(|(_, value)| value.is_some());
            let (version, value) = current.cloned().unwrap_or_default();
            has_conflict |= version != row["ver"].as_u64().unwrap_or(0);
            current_rows.push(wire_row(&id, version, value.as_deref()));
        }
        if has_conflict {
            return (412, json!({ "rows": current_rows, "ver": self.version, "nowMs": 1 }));
        }
        self.version += 1;
        for (id, value) in writes {
            self.rows.insert(id, (self.version, Some(value)));
        }
        for row in rows_in(&request.body, "remove") {
            self.rows.insert(id_of(row), (self.version, None));
        }
        (200, json!({ "ver": self.version, "nowMs": 1 }))
    }

    /// Checks a transaction against the limits and returns its writes, or the reason for its refusal.
    fn check(&self, request: &Request) -> Result<Vec<(RowId, Vec<u8>)>, String> {
        if request.body_bytes > self.limits.call_bytes {
            return Err(format!("a call of {} bytes", request.body_bytes));
        }
        let entries: Vec<&Value> =
            ["expectedRev", "upserts", "remove"].iter().flat_map(|name| rows_in(&request.body, name)).collect();
        if entries.len() > MAX_ENTRIES {
            return Err(format!("a call of {} entries", entries.len()));
        }
        for entry in &entries {
            let (table, partition, key) = id_of(entry);
            if [&table, &partition, &key].iter().any(|name| name.len() > MAX_NAME_BYTES) {
                return Err(format!("a name in {table}/{partition}/{key} is too long"));
            }
            if partition != id_of(entries[0]).1 {
                return Err("entries of several partitions".to_owned());
            }
        }
        let mut writes = Vec::new();
        for row in rows_in(&request.body, "upserts") {
            let id = id_of(row);
            let Some(value) = row["value"].as_str().and_then(|text| STANDARD.decode(text).ok()) else {
                return Err(format!("the value of {id:?} is not base64"));
            };
            if value.len() > self.limits.row_bytes {
                return Err(format!("a row of {} bytes", value.len()));
            }
            writes.push((id, value));
        }
        Ok(writes)
    }

    /// Answers a request for a page of a partition's rows.
    pub(super) fn read(&self, request: &Request) -> (u16, Value) {
        let limit = match request.number("limit") as usize {
            0 => self.limits.page_rows,
            limit => limit.min(self.limits.page_rows),
        };
        let name = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let from = (name("table"), name("part"), name("from"));
        let mut rows = Vec::new();
        let mut bytes = 0;
        let mut has_more = false;
        for (id, (version, value)) in self.rows.range(from.clone()..) {
            if (&id.0, &id.1) != (&from.0, &from.1) {
                break;
            }
            let Some(value) = value else { continue };
            bytes += value.len();
            has_more = rows.len() == limit || (bytes > self.limits.page_bytes && !rows.is_empty());
            if has_more {
                break;
            }
            rows.push(wire_row(id, *version, Some(value)));
        }
        (200, json!({ "rows": rows, "morePages": has_more, "ver": self.version, "nowMs": 1 }))
    }

    /// Rows of a table that changed after a version, in the order of their changes.
    pub(super) fn changes(&self, table: &str, after: u64) -> Vec<Value> {
        let mut changed: Vec<(u64, Value)> = Vec::new();
        for (id, (version, value)) in &self.rows {
            if id.0 == table && *version > after {
                changed.push((*version, wire_row(id, *version, value.as_deref())));
            }
        }
        changed.sort_by_key(|(version, _)| *version);
        changed.into_iter().map(|(_, row)| row).collect()
    }

    /// Answers a request for the names of a table's partitions.
    pub(super) fn list_partitions(&self, request: &Request) -> (u16, Value) {
        let table = &request.query["table"];
        let parts: BTreeSet<&String> = self.rows.keys().filter(|id| id.0 == *table).map(|id| &id.1).collect();
        (200, json!({ "parts": parts, "morePages": false }))
    }
}

fn rows_in<'a>(body: &'a Value, name: &str) -> impl Iterator<Item = &'a Value> {
    body[name].as_array().into_iter().flatten()
}

fn id_of(row: &Value) -> RowId {
    let text = |name: &str| row[name].as_str().unwrap_or("").to_owned();
    (text("table"), text("part"), text("key"))
}

fn wire_row(id: &RowId, version: u64, value: Option<&[u8]>) -> Value {
    let encoded = value.map(|value| STANDARD.encode(value));
    json!({ "table": id.0, "part": id.1, "key": id.2, "value": encoded, "ver": version, "tombstone": value.is_none() })
}
