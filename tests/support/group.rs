//! A stand-in and daemons that share it.

use super::{http, run, try_http, Answer, Output, Process};

pub const DAEMON: &str = env!("CARGO_BIN_EXE_sardineseamd");
pub const CLI: &str = env!("CARGO_BIN_EXE_sardineseam");
pub const STANDIN: &str = env!("CARGO_BIN_EXE_sardineseam-standin");
pub const TOKEN: &str = "bootstrap-for-tests";
pub const SMALL_SHEET: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/small.csv");
pub const CHANGED_SHEET: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/small_changed.csv");

/// One daemon.
pub struct Daemon {
    pub process: Process,
    pub callers: String,
    pub admin: String,
    pub peers: String,
}

impl Daemon {
    pub fn start(name: &str, zone: &str, platform: &str, more: &[&str]) -> Daemon {
        let mut args = vec!["--name", name, "--zone", zone, "--platform", platform];
        args.extend(["--listen", "127.0.0.1:0", "--admin-listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0"]);
        args.extend(more);
        let process = Process::start(DAEMON, &args, &[("SARDINESEAM_BOOTSTRAP_TOKEN", TOKEN)]);
        let (callers, admin, peers) = (process.address("callers"), process.address("admin"), process.address("peers"));
        Daemon { process, callers, admin, peers }
    }

    /// Sends a caller's request.
    pub fn call(&self, method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Answer {
        http(method, &format!("http://{}{path}", self.callers), headers, body)
    }

    /// Runs the command line against this daemon.
    pub fn cli(&self, args: &[&str]) -> Output {
        run(CLI, args, &[("SARDINESEAM_ADMIN", &self.admin), ("SARDINESEAM_TOKEN", TOKEN)])
    }

    /// Version of the sheet in force.
    pub fn sheet_version(&self) -> u64 {
        self.status()["sheet_version"].as_u64().expect("a version")
    }

    pub fn status(&self) -> serde_json::Value {
        let url = format!("http://{}/v1/status", self.admin);
        let answer = http("GET", &url, &[("Authorization", &format!("Bearer {TOKEN}"))], b"");
        serde_json::from_str(&answer.body).expect("JSON")
    }

    /// Hosts of a pool that this daemon sends work to.
    pub fn live_hosts(&self, pool: &str) -> u64 {
        let output = self.cli(&["--json", "pool", "list"]);
        let pools: serde_json::Value = serde_json::from_str(&output.stdout).unwrap_or_default();
        let pools = pools.as_array().cloned().unwrap_or_default();
        let found = pools.iter().find(|view| view["name"] == pool);
        found.and_then(|view| view["live_hosts"].as_u64()).unwrap_or(0)
    }

    pub fn is_ready(&self) -> bool {
        try_http("GET", &format!("http://{}/readyz", self.admin), &[], b"").is_some_and(|answer| answer.status == 200)
    }
}

/// The stand-in's process.
pub struct StandIn {
    pub process: Process,
    pub url: String,
}

impl StandIn {
    /// Starts it, with sample endpoints for a sheet's hosts if one is named.
    pub fn start(endpoints: Option<&str>) -> StandIn {
        let mut args = vec!["--listen", "127.0.0.1:0"];
        args.extend(endpoints.map(|file| ["--endpoints", file]).iter().flatten());
        let process = Process::start(STANDIN, &args, &[]);
        let url = format!("http://{}", process.address("standin"));
        StandIn { process, url }
    }

    pub fn faults(&self, change: &str) {
        let answer = http("PUT", &format!("{}/faults", self.url), &[], change.as_bytes());
        assert_eq!(answer.status, 200, "{}", answer.body);
    }

    pub fn put_host(&self, name: &str, address: &str, pool: &str, state: &str) {
        let body = format!(r#"{{"address":"{address}","zone":"z1","pool":"{pool}","state":"{state}"}}"#);
        let answer = http("PUT", &format!("{}/hosts/{name}", self.url), &[], body.as_bytes());
        assert_eq!(answer.status, 200, "{}", answer.body);
    }

    /// Rows whose keys start with `prefix`, past all faults.
    pub fn rows(&self, prefix: &str) -> Vec<serde_json::Value> {
        let answer = http("GET", &format!("{}/table?prefix={prefix}", self.url), &[], b"");
        serde_json::from_str(&answer.body).expect("rows")
    }
}

/// Starts `count` daemons in zones z1 and z2 by turns.
pub fn start_daemons(standin: &StandIn, count: usize) -> Vec<Daemon> {
    let mut daemons = Vec::new();
    for number in 1..=count {
        let zone = if number % 2 == 1 { "z1" } else { "z2" };
        daemons.push(Daemon::start(&format!("d{number}"), zone, &standin.url, &[]));
    }
    daemons
}
