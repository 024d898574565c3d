//! Daemon processes, started with the command of `deploy/system.toml`.

use std::fs::File;
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use sardineseam::UsersPlatformStandIn;

pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
}

/// An address of this process on 127.0.0.0/8, one for each daemon.
fn daemon_ip(number: u8) -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 100 + number, high, low.clamp(1, 254))
}

fn free_address(ip: Ipv4Addr) -> SocketAddr {
    TcpListener::bind((ip, 0)).expect("a free port").local_addr().expect("an address")
}

impl Daemon {
    /// Writes the settings of a daemon that reaches the store at `store`. `change` may adapt them.
    pub fn prepare(
        folder: &Path,
        number: u8,
        platform: &UsersPlatformStandIn,
        store: SocketAddr,
        change: impl Fn(&mut serde_json::Value),
    ) -> Daemon {
        let name = format!("daemon-{number}");
        let ip = daemon_ip(number);
        let (front, readiness) = (free_address(ip), free_address(ip));
        let text = platform.settings(&name, front, readiness, store);
        let mut value: serde_json::Value = serde_json::from_str(&text).expect("settings");
        change(&mut value);
        let settings = folder.join(format!("{name}.json"));
        std::fs::write(&settings, value.to_string()).expect("the settings are written");
        Daemon { name, front, readiness, settings, folder: folder.to_owned(), child: None }
    }

    pub fn start(&mut self) {
        let path = self.folder.join(format!("{}.log", self.name));
        let log = File::options().create(true).append(true).open(path).expect("a log file");
        let child = Command::new("target/release/sardineseamd")
            .args(["--control", "--metrics-port", "9090"])
            .env("SARDINESEAM_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn()
            .expect("the daemon starts");
        // run.sh ends the processes of this list, whatever becomes of this one.
        let mut pids = File::options().create(true).append(true).open(self.folder.join("pids")).expect("a list");
        writeln!(pids, "{}", child.id()).expect("the list is written");
        self.child = Some(child);
    }

    pub fn signal(&self, name: &str) {
        let Some(child) = &self.child else { return };
        let _ = Command::new("kill").args([&format!("-{name}"), &child.id().to_string()]).status();
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Fails if the process has already ended.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn ip(&self) -> IpAddr {
        self.front.ip()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}
