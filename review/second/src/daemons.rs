//! Daemon processes, started with the command of the deploy file.

use std::fs::File;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::json;

use crate::http::call;
use crate::record::Record;
use crate::store::Store;
use crate::world::{World, HOLD_MAX_MS};

pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    repository: PathBuf,
    child: Option<Child>,
}

/// The command of the deploy file's role.
fn command(repository: &Path) -> Vec<String> {
    let text = std::fs::read_to_string(repository.join("deploy/system.toml")).expect("the deploy file");
    let line = text.lines().find_map(|line| line.trim().strip_prefix("run = ")).expect("a role with a command");
    line.trim().trim_matches('"').split(' ').map(str::to_owned).collect()
}

/// A loopback address that this process alone uses; the command binds a fixed port for metrics on it.
fn loopback(number: u8) -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 100 + (high & 63), low, 10 + number)
}

fn free_address(ip: Ipv4Addr) -> SocketAddr {
    TcpListener::bind((ip, 0)).expect("a free port").local_addr().expect("an address")
}

impl Daemon {
    pub fn prepare(number: u8, (repository, folder): (&Path, &Path), store: &Store, world: &World) -> Daemon {
        let name = format!("front-hall-a-{number}");
        let ip = loopback(number);
        let (front, readiness, control) = (free_address(ip), free_address(ip), free_address(ip));
        let settings = json!({
            "node": name, "role": "control", "class": "front", "serves": ["front"], "ip": ip.to_string(), "zone": "hall-a",
            "region": "taoyuan", "zones": { "hall-a": "taoyuan" },
            "listen": { "front": front.to_string(), "readiness": readiness.to_string(), "control": control.to_string() },
            "portRange": [7060, 7075], "seeds": [], "bootstrap": true, "lossCounts": false,
            "limits": { "cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0 },
            "dataDir": null, "discovery": "platform", "entry": "vip", "heartbeatMs": 1500,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"],
            "faultTolerance": { "machines": 2, "zones": 1, "regions": 0 },
            "bounds": { "contactMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": 6, "configApplyMs": 2000,
                "holdMaxMs": HOLD_MAX_MS, "stopGraceMs": world.stop_grace_ms(), "gangTimeoutMs": 3000, "cancel_ms": 3000,
                "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "noticeMs": 4500, "moveS": 1.5,
                "upkeepS": 2, "requireFencing": false, "leaseMs": 3000, "thawMs": 300, "paceMs": 100, "harmMs": 4000 },
            "orders": "call", "advice": world.advice_address.to_string(),
            "platform": { "addr": store.listen(&name).to_string(), "form": "table", "writesPerS": 600, "readsPerS": 2000,
                "txMs": 5.0, "partWritesS": 200, "rowBytes": 65536, "across": false, "historyS": 20 },
            "cloudApi": { "addr": world.provider_address.to_string(), "ratePerS": 64.0, "duties": [], "dutyPerS": 64.0 },
        });
        let path = folder.join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string()).expect("the settings can be written");
        Daemon { name, front, readiness, settings: path, repository: repository.to_owned(), child: None }
    }

    pub fn start(&mut self) {
        let command = command(&self.repository);
        let log =
            File::options().create(true).append(true).open(self.settings.with_extension("log")).expect("a log file");
        let child = Command::new(self.repository.join(&command[0]))
            .args(&command[1..])
            .current_dir(&self.repository)
            .env("SARDINESEAM_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn();
        let child = child.expect("the daemon starts");
        // The script ends these processes if this one cannot.
        let pids = File::options().create(true).append(true).open(self.settings.with_file_name("pids"));
        let _ = writeln!(pids.expect("a list of processes"), "{}", child.id());
        self.child = Some(child);
    }

    pub fn signal(&self, name: &str) {
        let Some(child) = &self.child else { return };
        let _ = Command::new("kill").args([&format!("-{name}"), &child.id().to_string()]).status();
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the daemon says that it is ready.
    pub fn is_ready(&self) -> bool {
        let answer = call(self.readiness, ("GET", "/ready"), &[], "", Duration::from_millis(500));
        answer.is_some_and(|(status, _)| status == 200)
    }

    /// What clients need to call the daemon.
    pub fn caller(&self) -> Caller {
        Caller { name: self.name.clone(), front: self.front }
    }

    /// A client's request for a job; writes request and answer to the record.
    pub fn client(&self, record: &Record, request: (&str, &str), body: &str) -> Option<u16> {
        self.caller().send(record, request, body)
    }

    /// State of a job.
    pub fn state(&self, id: &str) -> String {
        self.state_at(&format!("/jobs/{id}"))
    }

    pub fn state_at(&self, path: &str) -> String {
        let headers = [("Host", "print.example"), ("X-Deadline-Ms", "1000")];
        let answer = call(self.front, ("GET", path), &headers, "", Duration::from_millis(1_000));
        answer.map_or("no answer".to_owned(), |(status, body)| format!("{status} {body}"))
    }
}

/// A client's view of a daemon.
pub struct Caller {
    name: String,
    front: SocketAddr,
}

impl Caller {
    pub fn send(&self, record: &Record, (method, id): (&str, &str), body: &str) -> Option<u16> {
        self.send_to(record, (method, &format!("/jobs/{id}")), body)
    }

    pub fn send_to(&self, record: &Record, (method, path): (&str, &str), body: &str) -> Option<u16> {
        let headers = [("Host", "print.example"), ("Content-Type", "application/json"), ("X-Deadline-Ms", "3000")];
        record.line(&format!("client sends {method} {path} to {} {body}", self.name));
        let answer = call(self.front, (method, path), &headers, body, Duration::from_millis(3_000));
        let text = answer.as_ref().map_or("no answer".to_owned(), |(status, body)| format!("{status} {body}"));
        record.line(&format!("client gets for {method} {path} from {}: {text}", self.name));
        answer.map(|(status, _)| status)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until a condition holds; `false` if it does not in time.
pub fn eventually(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + limit;
    while Instant::now() < deadline {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}
