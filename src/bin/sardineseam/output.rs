//! Prints the results of commands, as text or as JSON.

use std::io::Write;

use sardineseam::{
    AppliedSheet, Error, HostEntry, IssuedToken, JobState, PoolView, Result, RevokedTokens, Sheet, SheetRejected,
    SheetSummary, StatusView, Wave,
};
use serde::Serialize;

/// Prints results in the format that the user asked for.
pub(crate) struct Output {
    json: bool,
}

/// The sheet in force, as printed with `--json`.
#[derive(Debug, Serialize)]
struct SheetJson<'a> {
    version: u64,
    #[serde(flatten)]
    sheet: &'a Sheet,
}

impl Output {
    pub(crate) fn new(json: bool) -> Output {
        Output { json }
    }

    /// Prints `value` as JSON, or the lines that `render_text` returns.
    pub(crate) fn print<T: Serialize + ?Sized>(&self, value: &T, render_text: impl FnOnce() -> String) -> Result<()> {
        let output = if self.json {
            let json = serde_json::to_string_pretty(value).map_err(std::io::Error::other);
            json.map_err(Error::io("encode the output as JSON"))?
        } else {
            render_text()
        };
        write_stdout(output.trim_end().as_bytes(), b"\n")
    }

    pub(crate) fn job(&self, id: &str, state: JobState) -> Result<()> {
        let output = serde_json::json!({ "id": id, "state": state });
        self.print(&output, || format!("{id} {}", state.as_str()))
    }

    pub(crate) fn pending_jobs(&self, count: u64) -> Result<()> {
        self.print(&serde_json::json!({ "waiting": count }), || format!("{count} jobs wait"))
    }

    pub(crate) fn status(&self, status: &StatusView) -> Result<()> {
        self.print(status, || {
            let peers: Vec<&str> = status.peers.iter().map(|peer| &*peer.name).collect();
            let mut lines = format_table(&[
                ["daemon".into(), status.name.to_string()],
                ["zone".into(), status.zone.to_string()],
                ["ready".into(), yes_no(status.ready)],
                ["sheet version".into(), status.sheet_version.to_string()],
                ["platform reachable".into(), yes_no(status.platform_reachable)],
                ["lease held".into(), yes_no(status.leased)],
                ["requests in progress".into(), status.requests.to_string()],
                ["peers".into(), peers.join(" ")],
            ]);
            if status.announced_version > status.sheet_version {
                lines.push_str(&format!("version {} is being fetched\n", status.announced_version));
            }
            lines
        })
    }

    pub(crate) fn pools(&self, pools: &[PoolView]) -> Result<()> {
        self.print(pools, || {
            let mut rows =
                vec![["POOL", "SERVICE", "HOSTS", "LIVE", "BUDGET", "SPARE", "RUNNING", "QUEUED"].map(str::to_owned)];
            for view in pools {
                rows.push([
                    view.pool.name.to_string(),
                    view.pool.service.to_string(),
                    view.pool.host_count.to_string(),
                    view.live_hosts.to_string(),
                    view.pool.max_unavailable_hosts.to_string(),
                    yes_no(view.pool.spare),
                    view.in_flight.to_string(),
                    view.queued.to_string(),
                ]);
            }
            format_table(&rows)
        })
    }

    pub(crate) fn hosts(&self, hosts: &[HostEntry]) -> Result<()> {
        self.print(hosts, || {
            let mut rows = vec![["HOST", "POOL", "ZONE", "STATE", "ADDRESS"].map(str::to_owned)];
            for host in hosts {
                rows.push([
                    host.name.to_string(),
                    host.pool.to_string(),
                    host.zone.to_string(),
                    format!("{:?}", host.state).to_lowercase(),
                    host.address.to_string(),
                ]);
            }
            format_table(&rows)
        })
    }

    pub(crate) fn waves(&self, waves: &[Wave]) -> Result<()> {
        self.print(waves, || {
            let mut rows = vec![["WAVE", "POOL", "OPENS", "CLOSES", "CONCURRENT"].map(str::to_owned)];
            for wave in waves {
                rows.push([
                    wave.name.to_string(),
                    wave.pool.to_string(),
                    format_time(wave.opens_at_s),
                    format_time(wave.closes_at_s),
                    wave.max_concurrent_hosts.to_string(),
                ]);
            }
            format_table(&rows)
        })
    }

    pub(crate) fn applied(&self, applied: &AppliedSheet) -> Result<()> {
        let record = &applied.accepted;
        self.print(applied, || format!("accepted as version {}", record.reference.version))
    }

    pub(crate) fn summary(&self, summary: &SheetSummary) -> Result<()> {
        self.print(summary, || format!("no problems: {} pools, {} waves", summary.pools, summary.waves))
    }

    /// Prints the problems as JSON. As text they are part of the error message, which `main` prints.
    pub(crate) fn problems(&self, rejected: &SheetRejected) -> Result<()> {
        if self.json {
            return self.print(rejected, String::new);
        }
        Ok(())
    }

    pub(crate) fn sheet(&self, version: u64, body: &[u8]) -> Result<()> {
        if self.json {
            let sheet = Sheet::read(body)?;
            return self.print(&SheetJson { version, sheet: &sheet }, String::new);
        }
        write_stdout(body, b"")
    }

    pub(crate) fn issued(&self, issued: &IssuedToken) -> Result<()> {
        self.print(issued, || issued.token.clone())
    }

    pub(crate) fn revoked(&self, revoked: &RevokedTokens) -> Result<()> {
        self.print(revoked, || format!("withdrawn: {}", revoked.count))
    }
}

fn write_stdout(text: &[u8], line_end: &[u8]) -> Result<()> {
    let mut out = std::io::stdout().lock();
    out.write_all(text).and_then(|()| out.write_all(line_end)).map_err(Error::io("write to standard output"))
}

pub(crate) fn yes_no(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}

/// RFC 3339, or the plain number of seconds if it is out of range.
fn format_time(at_s: i64) -> String {
    jiff::Timestamp::from_second(at_s).map_or_else(|_| at_s.to_string(), |time| time.to_string())
}

/// Pads each column to its longest cell.
pub(crate) fn format_table<const COLUMNS: usize>(rows: &[[String; COLUMNS]]) -> String {
    let mut text = String::new();
    for row in rows {
        for (column, cell) in row.iter().enumerate() {
            let width = rows.iter().map(|other| other[column].chars().count()).max().unwrap_or(0);
            text.push_str(&format!("{cell:width$}  "));
        }
        text.truncate(text.trim_end().len());
        text.push('\n');
    }
    text
}
