//! A daemon process with the control role, whose connections to the row store pass through a proxy.

use std::collections::BTreeSet;
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::Duration;

use sardineseam::UsersPlatformStandIn;

use super::proxy::Proxy;
use super::{eventually, try_http_within};

/// Timeout of a caller's request.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

pub struct ControlDaemon {
    pub name: String,
    /// Address of the job API for callers.
    pub front_address: String,
    settings_path: PathBuf,
    pub proxy: Proxy,
    child: Option<Child>,
}

/// A loopback address that no other process uses: a port that is free now must still be free when a daemon starts, or its
/// callers would reach the daemon of another test.
fn loopback_ip() -> Ipv4Addr {
    let [_, second, third, fourth] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 + (second & 63), third, fourth)
}

/// An address at which nothing listens, and that no other test of this process has been given: its daemon may not have started
/// yet.
fn free_address() -> SocketAddr {
    static GIVEN_PORTS: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());
    loop {
        let listener = TcpListener::bind((loopback_ip(), 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        if GIVEN_PORTS.lock().expect("lock").insert(address.port()) {
            return address;
        }
    }
}

impl ControlDaemon {
    /// Writes the daemon's settings; `test` makes the names of its files unique.
    pub fn prepare(test: &str, number: usize, platform: &UsersPlatformStandIn) -> ControlDaemon {
        let proxy = Proxy::start(platform.store_address);
        let name = format!("daemon-{number}");
        let caller_address = free_address();
        let settings_path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{test}-{name}.json"));
        let text = platform.settings(&name, caller_address, free_address(), proxy.address);
        std::fs::write(&settings_path, text).expect("the settings file is written");
        File::create(settings_path.with_extension("log")).expect("a log file");
        ControlDaemon { name, front_address: caller_address.to_string(), settings_path, proxy, child: None }
    }

    /// Starts the process. The log of an earlier process is continued.
    pub fn start(&mut self) {
        let log = File::options().append(true).open(self.settings_path.with_extension("log")).expect("a log file");
        let child = Command::new(env!("CARGO_BIN_EXE_sardineseamd"))
            .arg("--control")
            .env("SARDINESEAM_BOOT", &self.settings_path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("the daemon starts"));
    }

    /// Starts this many daemons.
    pub fn start_all(test: &str, count: usize, platform: &UsersPlatformStandIn) -> Vec<ControlDaemon> {
        let mut daemons: Vec<ControlDaemon> =
            (1..=count).map(|number| ControlDaemon::prepare(test, number, platform)).collect();
        daemons.iter_mut().for_each(ControlDaemon::start);
        daemons
    }

    /// Sends a caller's request about a job; returns the status and the body of the answer, if any.
    pub fn call(&self, method: &str, id: &str, body: &str) -> Option<(u16, String)> {
        let deadline_ms = CALL_TIMEOUT.as_millis().to_string();
        let headers = [("host", "print.example"), ("x-deadline-ms", deadline_ms.as_str())];
        let url = format!("http://{}/jobs/{id}", self.front_address);
        let answer = try_http_within(CALL_TIMEOUT, method, &url, &headers, body.as_bytes())?;
        Some((answer.status, answer.body))
    }

    /// Submits a job until it is accepted.
    pub fn submit(&self, id: &str, body: &str) {
        eventually(&format!("job {id} is accepted"), || {
            self.call("POST", id, body).is_some_and(|(status, _)| status == 200)
        });
    }

    pub fn wait_for_state(&self, id: &str, state: &str) {
        eventually(&format!("job {id} is {state}"), || {
            self.call("GET", id, "").is_some_and(|(_, body)| body.contains(state))
        });
    }

    pub fn signal(&self, name: &str) {
        let Some(child) = &self.child else { return };
        let sent = Command::new("kill").args([&format!("-{name}"), &child.id().to_string()]).status();
        assert!(sent.expect("kill runs").success());
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Fails if the process has already exited.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for ControlDaemon {
    fn drop(&mut self) {
        self.kill();
    }
}
