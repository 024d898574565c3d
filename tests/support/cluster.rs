//! Runs the platform's stand-in and daemons that use it, as processes on loopback.

use std::time::Duration;

use super::{eventually, http, http_bytes, run, try_http, try_http_within, Answer, Output, Process};

pub const DAEMON: &str = env!("CARGO_BIN_EXE_sardineseamd");
pub const CLI: &str = env!("CARGO_BIN_EXE_sardineseam");
pub const STANDIN: &str = env!("CARGO_BIN_EXE_sardineseam-standin");
pub const BOOTSTRAP_TOKEN: &str = "bootstrap-for-tests";
pub const SMALL_SHEET: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/small.csv");
pub const CHANGED_SHEET: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/small_changed.csv");

/// Longest wait for each answer that goes into the description of a failure.
const DESCRIBE_TIMEOUT: Duration = Duration::from_secs(5);

/// A daemon's process, and the addresses that it listens on.
pub struct Daemon {
    pub process: Process,
    pub caller_address: String,
    pub admin_address: String,
    pub peer_address: String,
}

impl Daemon {
    pub fn start(name: &str, zone: &str, platform: &str, extra_args: &[&str]) -> Daemon {
        let mut args = vec!["--name", name, "--zone", zone, "--platform", platform];
        args.extend(["--listen", "127.0.0.1:0", "--admin-listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0"]);
        args.extend(extra_args);
        let process = Process::start(DAEMON, &args, &[("SARDINESEAM_BOOTSTRAP_TOKEN", BOOTSTRAP_TOKEN)]);
        let (caller_address, admin_address, peer_address) =
            (process.address("callers"), process.address("admin"), process.address("peers"));
        Daemon { process, caller_address, admin_address, peer_address }
    }

    /// Sends a request as a caller.
    pub fn call(&self, method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Answer {
        http(method, &format!("http://{}{path}", self.caller_address), headers, body)
    }

    /// Runs the command-line program against this daemon, with the bootstrap token.
    pub fn cli(&self, args: &[&str]) -> Output {
        run(CLI, args, &[("SARDINESEAM_ADMIN", &self.admin_address), ("SARDINESEAM_TOKEN", BOOTSTRAP_TOKEN)])
    }

    /// Version of the sheet in force at this daemon.
    pub fn sheet_version(&self) -> u64 {
        self.status()["sheet_version"].as_u64().expect("a sheet version")
    }

    pub fn status(&self) -> serde_json::Value {
        let url = format!("http://{}/v1/status", self.admin_address);
        let answer = http("GET", &url, &[("Authorization", &format!("Bearer {BOOTSTRAP_TOKEN}"))], b"");
        serde_json::from_str(&answer.body).expect("JSON")
    }

    /// Number of other daemons that this one counts as live; `None` if it does not report its status.
    pub fn peer_count(&self) -> Option<usize> {
        self.status()["peers"].as_array().map(Vec::len)
    }

    /// Whether a renewal of the daemon's lease had this result: `committed`, `conflict` or `failed`.
    pub fn has_counted_renewal(&self, result: &str) -> bool {
        let metrics = http("GET", &format!("http://{}/metrics", self.admin_address), &[], b"").body;
        metrics.contains(&format!("lease_renewals_total{{result=\"{result}\"}} "))
    }

    /// Status, metrics, process and log, for the message of a failure.
    pub fn describe(&self) -> String {
        let status = describe_answer(&format!("http://{}/v1/status", self.admin_address));
        let metrics = describe_answer(&format!("http://{}/metrics", self.admin_address));
        let is_value = |line: &&str| !line.is_empty() && !line.starts_with('#') && !line.contains("_bucket{");
        let values: Vec<&str> = metrics.lines().filter(is_value).collect();
        format!("status: {status}\nmetrics: {}\n{}", values.join(", "), self.process.describe())
    }

    /// Number of a pool's hosts that this daemon sends requests to.
    pub fn live_hosts(&self, pool: &str) -> u64 {
        let output = self.cli(&["--json", "pool", "list"]);
        let pools: serde_json::Value = serde_json::from_str(&output.stdout).unwrap_or_default();
        let pools = pools.as_array().cloned().unwrap_or_default();
        let found = pools.iter().find(|view| view["name"] == pool);
        found.and_then(|view| view["live_hosts"].as_u64()).unwrap_or(0)
    }

    pub fn is_ready(&self) -> bool {
        try_http("GET", &format!("http://{}/readyz", self.admin_address), &[], b"")
            .is_some_and(|answer| answer.status == 200)
    }
}

/// The process of the platform's stand-in.
pub struct StandIn {
    pub process: Process,
    pub url: String,
}

impl StandIn {
    /// Starts the stand-in, with a sample endpoint for each host of the sheet in the file `sheet`, if one is given.
    pub fn start(sheet: Option<&str>) -> StandIn {
        let mut args = vec!["--listen", "127.0.0.1:0"];
        args.extend(sheet.map(|file| ["--endpoints", file]).iter().flatten());
        let process = Process::start(STANDIN, &args, &[]);
        let url = format!("http://{}", process.address("standin"));
        StandIn { process, url }
    }

    /// Changes the faults named in the JSON object `change`; the others stay as they are.
    pub fn set_faults(&self, change: &str) {
        let answer = http("PUT", &format!("{}/faults", self.url), &[], change.as_bytes());
        assert_eq!(answer.status, 200, "{}", answer.body);
    }

    /// Adds a host in zone z1 to the host list, or replaces it.
    pub fn put_host(&self, name: &str, address: &str, pool: &str, state: &str) {
        let body = format!(r#"{{"address":"{address}","zone":"z1","pool":"{pool}","state":"{state}"}}"#);
        let answer = http("PUT", &format!("{}/hosts/{name}", self.url), &[], body.as_bytes());
        assert_eq!(answer.status, 200, "{}", answer.body);
    }

    /// Overwrites the object at one URL with the object at another.
    pub fn copy_object(&self, from_url: &str, to_url: &str) {
        let body = http_bytes(from_url);
        let answer = http("PUT", to_url, &[], &body);
        assert_eq!(answer.status, 200, "{}", answer.body);
    }

    /// Rows of the table whose keys start with `prefix`. Faults do not affect this request.
    pub fn rows(&self, prefix: &str) -> Vec<serde_json::Value> {
        let answer = http("GET", &format!("{}/table?prefix={prefix}", self.url), &[], b"");
        serde_json::from_str(&answer.body).expect("JSON rows")
    }
}

fn describe_answer(url: &str) -> String {
    let headers = [("Authorization", &*format!("Bearer {BOOTSTRAP_TOKEN}"))];
    let answer = try_http_within(DESCRIBE_TIMEOUT, "GET", url, &headers, b"");
    answer.map_or("no answer".to_owned(), |answer| format!("{} {}", answer.status, answer.body))
}

/// Describes the lease rows and all daemons, for the message of a failure.
pub fn describe_deployment(standin: &StandIn, daemons: &[Daemon]) -> String {
    let mut text = format!("lease rows: {}", describe_answer(&format!("{}/table?prefix=daemons/", standin.url)));
    for (index, daemon) in daemons.iter().enumerate() {
        text.push_str(&format!("\ndaemons[{index}]: {}", daemon.describe()));
    }
    text
}

/// Starts `count` daemons, alternately in zones z1 and z2.
pub fn start_daemons(standin: &StandIn, count: usize) -> Vec<Daemon> {
    let mut daemons = Vec::new();
    for number in 1..=count {
        let zone = if number % 2 == 1 { "z1" } else { "z2" };
        daemons.push(Daemon::start(&format!("d{number}"), zone, &standin.url, &[]));
    }
    daemons
}

/// Applies a sheet, which must succeed.
pub fn apply(daemon: &Daemon, sheet: &str) {
    let output = daemon.cli(&["sheet", "apply", sheet]);
    assert_eq!(output.status, 0, "{}", output.stderr);
}

/// Waits until all daemons have put this version of the sheet in force.
pub fn wait_for_version(daemons: &[Daemon], version: u64) {
    for daemon in daemons {
        eventually("the sheet is in force at the daemon", || daemon.sheet_version() == version);
    }
}
