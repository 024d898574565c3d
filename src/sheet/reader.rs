//! Parses a sheet from CSV and validates it. All problems are collected, not only the first one.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use csv::{ReaderBuilder, StringRecord};

use super::{Pool, Sheet, SheetProblem, SheetRejected, Wave};

/// Largest sheet accepted, in bytes.
pub const MAX_SHEET_BYTES: usize = 1 << 20;
const MAX_NAME_CHARS: usize = 63;
const MAX_POOL_HOSTS: u32 = 100_000;
/// Longer cell values are truncated in [`SheetProblem`]s.
const MAX_PROBLEM_VALUE_CHARS: usize = 60;

const KIND: &str = "kind";
const NAME: &str = "name";
const POOL: &str = "pool";
const SERVICE: &str = "service";
const ZONES: &str = "zones";
const HOSTS: &str = "hosts";
const SPARE: &str = "spare";
const MAX_UNAVAILABLE: &str = "max_unavailable";
const OPENS_AT: &str = "opens_at";
const CLOSES_AT: &str = "closes_at";
const MAX_CONCURRENT: &str = "max_concurrent";
const COLUMNS: [&str; 11] =
    [KIND, NAME, POOL, SERVICE, ZONES, HOSTS, SPARE, MAX_UNAVAILABLE, OPENS_AT, CLOSES_AT, MAX_CONCURRENT];
const POOL_COLUMNS: &[&str] = &[KIND, NAME, SERVICE, ZONES, HOSTS, SPARE];
const BUDGET_COLUMNS: &[&str] = &[KIND, POOL, MAX_UNAVAILABLE];
const WAVE_COLUMNS: &[&str] = &[KIND, NAME, POOL, OPENS_AT, CLOSES_AT, MAX_CONCURRENT];

/// Parses `body`; see [`Sheet::read`].
pub(super) fn read(body: &[u8]) -> Result<Sheet, SheetRejected> {
    let text = decode(body)?;
    let mut builder = SheetBuilder::default();
    let mut reader = ReaderBuilder::new()
        .delimiter(detect_delimiter(text))
        .flexible(true)
        .has_headers(false)
        .from_reader(text.as_bytes());
    let mut header: Option<Header> = None;
    for record in reader.records() {
        // The reader returns no errors: the input is valid UTF-8, and `flexible` allows rows of different lengths.
        let Ok(record) = record else { continue };
        if record.iter().all(|cell| cell.trim().is_empty()) {
            continue;
        }
        let line = record.position().map_or(0, csv::Position::line);
        match &header {
            None => header = Some(Header::parse(line, &record, &mut builder)),
            Some(header) => builder.add_row(&Row { line, record: &record, header }),
        }
    }
    if header.is_none() {
        builder.report(1, "", "", format!("the sheet is empty; its first line must be {}", COLUMNS.join(",")));
    }
    builder.finish()
}

/// Checks the size and the encoding, and removes the byte order mark.
fn decode(body: &[u8]) -> Result<&str, SheetRejected> {
    if body.len() > MAX_SHEET_BYTES {
        let fix = format!("a sheet holds at most {MAX_SHEET_BYTES} bytes; this one has {}", body.len());
        return Err(rejected(1, "", fix));
    }
    if body.starts_with(&[0xFF, 0xFE]) || body.starts_with(&[0xFE, 0xFF]) {
        return Err(rejected(1, "UTF-16", "export the sheet as \"CSV UTF-8\"".to_owned()));
    }
    let body = body.strip_prefix(&[0xEF, 0xBB, 0xBF]).unwrap_or(body);
    std::str::from_utf8(body).map_err(|error| {
        let valid = &body[..error.valid_up_to()];
        let line = 1 + valid.iter().filter(|byte| **byte == b'\n').count() as u64;
        rejected(line, "", "not UTF-8; export the sheet as \"CSV UTF-8\"".to_owned())
    })
}

/// Rejects a sheet because of a single problem.
fn rejected(line: u64, value: &str, fix: String) -> SheetRejected {
    SheetRejected { problems: vec![SheetProblem { line, column: String::new(), value: value.to_owned(), fix }] }
}

/// Detects the delimiter from the header. Spreadsheet programs separate cells by semicolons in locales with a
/// decimal comma.
fn detect_delimiter(text: &str) -> u8 {
    let header = text.lines().find(|line| !line.trim().is_empty()).unwrap_or("");
    let semicolons = header.matches(';').count();
    if semicolons > header.matches(',').count() {
        b';'
    } else {
        b','
    }
}

/// The header, which is the first line that is not empty.
struct Header {
    /// Position of each known column.
    index_of: HashMap<&'static str, usize>,
    /// Number of cells.
    width: usize,
}

impl Header {
    fn parse(line: u64, record: &StringRecord, builder: &mut SheetBuilder) -> Header {
        let mut index_of = HashMap::new();
        for (index, cell) in record.iter().enumerate() {
            let cell = cell.trim();
            if cell.is_empty() {
                continue;
            }
            let Some(known) = COLUMNS.into_iter().find(|name| name.eq_ignore_ascii_case(cell)) else {
                builder.report(line, cell, cell, format!("unknown column; the columns are {}", COLUMNS.join(",")));
                continue;
            };
            if index_of.insert(known, index).is_some() {
                builder.report(line, cell, cell, "this column stands twice; keep one".to_owned());
            }
        }
        for name in COLUMNS {
            if !index_of.contains_key(name) {
                builder.report(line, name, "", format!("column is missing; add {name:?} to the first line"));
            }
        }
        Header { index_of, width: record.len() }
    }
}

/// A line below the header.
struct Row<'a> {
    line: u64,
    record: &'a StringRecord,
    header: &'a Header,
}

impl<'a> Row<'a> {
    /// Content of a cell without surrounding white space, empty if the line or the sheet lacks the column.
    fn cell(&self, column: &str) -> &'a str {
        let index = self.header.index_of.get(column).copied();
        index.and_then(|index| self.record.get(index)).unwrap_or("").trim()
    }
}

/// The first pool marked as the spare pool.
struct SparePool {
    line: u64,
    name: Arc<str>,
}

/// A budget line, kept until all pools have been read.
struct Budget {
    line: u64,
    pool: Arc<str>,
    max_unavailable_hosts: u32,
}

/// The part of a sheet that has been read, and the problems found in it.
#[derive(Default)]
struct SheetBuilder {
    pools: Vec<Pool>,
    /// Line number of each entry of `pools`.
    pool_lines: Vec<u64>,
    /// Names of all pools, including those with problems, so that references to them are not reported as problems too.
    pool_names: HashSet<Arc<str>>,
    services: HashSet<Arc<str>>,
    wave_names: HashSet<Arc<str>>,
    spare: Option<SparePool>,
    budgets: Vec<Budget>,
    /// Names of all pools with a budget line, valid or not.
    pools_with_budget: HashSet<Arc<str>>,
    waves: Vec<Wave>,
    /// Line number of each entry of `waves`.
    wave_lines: Vec<u64>,
    problems: Vec<SheetProblem>,
}

impl SheetBuilder {
    fn report(&mut self, line: u64, column: &str, value: &str, fix: String) {
        let value = value.chars().take(MAX_PROBLEM_VALUE_CHARS).collect();
        self.problems.push(SheetProblem { line, column: column.to_owned(), value, fix });
    }

    /// Adds a line below the header.
    fn add_row(&mut self, row: &Row<'_>) {
        for index in row.header.width..row.record.len() {
            let cell = row.record.get(index).unwrap_or("").trim();
            if !cell.is_empty() {
                self.report(row.line, "", cell, format!("cell {} lies beyond the last column; remove it", index + 1));
            }
        }
        match row.cell(KIND).to_ascii_lowercase().as_str() {
            "pool" => self.add_pool(row),
            "budget" => self.add_budget(row),
            "wave" => self.add_wave(row),
            _ => self.report(row.line, KIND, row.cell(KIND), "must be pool, budget or wave".to_owned()),
        }
    }

    fn add_pool(&mut self, row: &Row<'_>) {
        self.check_unused_columns(row, POOL_COLUMNS);
        let name = self.parse_name(row, NAME);
        let service = self.parse_name(row, SERVICE);
        let zones = self.parse_zones(row);
        let host_count = self.parse_count(row, HOSTS, 1, MAX_POOL_HOSTS);
        let spare = self.parse_bool(row, SPARE);
        if let Some(name) = &name {
            if !self.pool_names.insert(name.clone()) {
                self.report(row.line, NAME, name, "a pool of this name stands above; rename one".to_owned());
            }
        }
        if let Some(service) = &service {
            if !self.services.insert(service.clone()) {
                let fix = "a pool above serves this service; give each service one pool".to_owned();
                self.report(row.line, SERVICE, service, fix);
            }
        }
        let (Some(name), Some(service), Some(zones), Some(host_count), Some(spare)) =
            (name, service, zones, host_count, spare)
        else {
            return;
        };
        if spare {
            self.set_spare_pool(row.line, &name);
        }
        self.pools.push(Pool { name, service, zones, host_count, spare, max_unavailable_hosts: 0 });
        self.pool_lines.push(row.line);
    }

    /// Records the spare pool, or a problem if there is one already.
    fn set_spare_pool(&mut self, line: u64, name: &Arc<str>) {
        let Some(first) = &self.spare else {
            self.spare = Some(SparePool { line, name: name.clone() });
            return;
        };
        let fix = format!("pool {:?} on line {} is the spare pool already; set one to no", first.name, first.line);
        self.report(line, SPARE, "yes", fix);
    }

    fn add_budget(&mut self, row: &Row<'_>) {
        self.check_unused_columns(row, BUDGET_COLUMNS);
        let pool = self.parse_name(row, POOL);
        let max_unavailable_hosts = self.parse_count(row, MAX_UNAVAILABLE, 0, MAX_POOL_HOSTS);
        let Some(pool) = pool else { return };
        if !self.pools_with_budget.insert(pool.clone()) {
            self.report(row.line, POOL, &pool, "a budget for this pool stands above; keep one".to_owned());
            return;
        }
        let Some(max_unavailable_hosts) = max_unavailable_hosts else { return };
        self.budgets.push(Budget { line: row.line, pool, max_unavailable_hosts });
    }

    fn add_wave(&mut self, row: &Row<'_>) {
        self.check_unused_columns(row, WAVE_COLUMNS);
        let name = self.parse_name(row, NAME);
        let pool = self.parse_name(row, POOL);
        let opens_at_s = self.parse_timestamp(row, OPENS_AT);
        let closes_at_s = self.parse_timestamp(row, CLOSES_AT);
        let max_concurrent_hosts = self.parse_count(row, MAX_CONCURRENT, 1, MAX_POOL_HOSTS);
        if let Some(name) = &name {
            if !self.wave_names.insert(name.clone()) {
                self.report(row.line, NAME, name, "a wave of this name stands above; rename one".to_owned());
            }
        }
        if let (Some(opens_at_s), Some(closes_at_s)) = (opens_at_s, closes_at_s) {
            if closes_at_s <= opens_at_s {
                let fix = "the window must close after it opens".to_owned();
                self.report(row.line, CLOSES_AT, row.cell(CLOSES_AT), fix);
            }
        }
        let (Some(name), Some(pool), Some(opens_at_s), Some(closes_at_s), Some(max_concurrent_hosts)) =
            (name, pool, opens_at_s, closes_at_s, max_concurrent_hosts)
        else {
            return;
        };
        self.waves.push(Wave { name, pool, opens_at_s, closes_at_s, max_concurrent_hosts });
        self.wave_lines.push(row.line);
    }

    /// Reports cells that are filled although lines of this kind do not use their columns.
    fn check_unused_columns(&mut self, row: &Row<'_>, used: &[&str]) {
        for column in COLUMNS {
            if used.contains(&column) || row.cell(column).is_empty() {
                continue;
            }
            let fix = format!("a {} line does not use this column; leave it empty", row.cell(KIND));
            self.report(row.line, column, row.cell(column), fix);
        }
    }

    fn parse_name(&mut self, row: &Row<'_>, column: &str) -> Option<Arc<str>> {
        let cell = row.cell(column);
        if is_valid_name(cell) {
            return Some(cell.into());
        }
        self.report(row.line, column, cell, name_rule());
        None
    }

    fn parse_zones(&mut self, row: &Row<'_>) -> Option<Vec<Arc<str>>> {
        let cell = row.cell(ZONES);
        let mut zones: Vec<Arc<str>> = Vec::new();
        for zone in cell.split_whitespace() {
            if !is_valid_name(zone) {
                self.report(row.line, ZONES, zone, name_rule());
                return None;
            }
            if zones.iter().any(|known| &**known == zone) {
                self.report(row.line, ZONES, zone, "this zone stands twice in the cell; keep one".to_owned());
                return None;
            }
            zones.push(zone.into());
        }
        if zones.is_empty() {
            self.report(row.line, ZONES, cell, "name at least one availability zone, separated by spaces".to_owned());
            return None;
        }
        Some(zones)
    }

    fn parse_count(&mut self, row: &Row<'_>, column: &str, min: u32, max: u32) -> Option<u32> {
        let cell = row.cell(column);
        match cell.parse::<u32>() {
            Ok(count) if (min..=max).contains(&count) => Some(count),
            _ => {
                self.report(row.line, column, cell, format!("must be a whole number from {min} to {max}"));
                None
            }
        }
    }

    fn parse_bool(&mut self, row: &Row<'_>, column: &str) -> Option<bool> {
        let cell = row.cell(column);
        match cell.to_ascii_lowercase().as_str() {
            "yes" | "true" => Some(true),
            "no" | "false" | "" => Some(false),
            _ => {
                self.report(row.line, column, cell, "must be yes or no".to_owned());
                None
            }
        }
    }

    fn parse_timestamp(&mut self, row: &Row<'_>, column: &str) -> Option<i64> {
        let cell = row.cell(column);
        match cell.parse::<jiff::Timestamp>() {
            Ok(timestamp) => Some(timestamp.as_second()),
            Err(_) => {
                let fix = "must be a time with its offset, such as 2026-12-04T02:00:00+08:00".to_owned();
                self.report(row.line, column, cell, fix);
                None
            }
        }
    }

    fn finish(mut self) -> Result<Sheet, SheetRejected> {
        self.apply_budgets();
        self.check_waves();
        if self.pool_names.is_empty() && self.problems.is_empty() {
            self.report(1, KIND, "", "the sheet has no pool; add at least one pool line".to_owned());
        }
        if !self.problems.is_empty() {
            self.problems.sort_by_key(|problem| problem.line);
            return Err(SheetRejected { problems: self.problems });
        }
        Ok(Sheet { pools: self.pools, waves: self.waves })
    }

    /// Sets the budget of each pool, and reports pools without one.
    fn apply_budgets(&mut self) {
        for budget in std::mem::take(&mut self.budgets) {
            if !self.pool_names.contains(&budget.pool) {
                let fix = "no pool of this name in the sheet; correct it or add the pool".to_owned();
                self.report(budget.line, POOL, &budget.pool, fix);
                continue;
            }
            let Some(pool) = self.pools.iter_mut().find(|pool| pool.name == budget.pool) else { continue };
            pool.max_unavailable_hosts = budget.max_unavailable_hosts;
            if budget.max_unavailable_hosts >= pool.host_count {
                let fix = format!("must be below the pool's {} hosts", pool.host_count);
                self.report(budget.line, MAX_UNAVAILABLE, &budget.max_unavailable_hosts.to_string(), fix);
            }
        }
        for index in 0..self.pools.len() {
            let name = self.pools[index].name.clone();
            if !self.pools_with_budget.contains(&name) {
                let fix = format!("the pool has no budget; add a line budget with pool {name}");
                self.report(self.pool_lines[index], NAME, &name, fix);
            }
        }
    }

    /// Reports waves of unknown pools and waves that exceed the budget of their pool.
    fn check_waves(&mut self) {
        for index in 0..self.waves.len() {
            let wave = self.waves[index].clone();
            let line = self.wave_lines[index];
            if !self.pool_names.contains(&wave.pool) {
                let fix = "no pool of this name in the sheet; correct it or add the pool".to_owned();
                self.report(line, POOL, &wave.pool, fix);
                continue;
            }
            let Some(pool) = self.pools.iter().find(|pool| pool.name == wave.pool) else { continue };
            let budget = pool.max_unavailable_hosts;
            if !self.pools_with_budget.contains(&wave.pool) || wave.max_concurrent_hosts <= budget {
                continue;
            }
            let fix = format!("the pool's budget allows {budget} unavailable hosts; lower this or raise the budget");
            self.report(line, MAX_CONCURRENT, &wave.max_concurrent_hosts.to_string(), fix);
        }
    }
}

fn is_valid_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    !text.is_empty() && text.len() <= MAX_NAME_CHARS && text.chars().all(allowed) && !text.starts_with('-')
}

fn name_rule() -> String {
    format!("must be 1 to {MAX_NAME_CHARS} of a-z, 0-9 and -, not starting with -")
}
