//! Jobs handed in by the command line to a daemon with the stand-in for the users' platform.

use std::net::TcpListener;
use std::process::{Child, Command, Output, Stdio};

mod support;

use support::eventually;

struct Daemon {
    front: String,
    child: Child,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn daemon() -> Daemon {
    let front = TcpListener::bind("127.0.0.1:0").expect("a free port").local_addr().expect("an address").to_string();
    let child = Command::new(env!("CARGO_BIN_EXE_sardineseamd"))
        .args(["--control", "--stand-in", "--listen", &front])
        .stdout(Stdio::null())
        .spawn();
    let daemon = Daemon { front, child: child.expect("the daemon starts") };
    eventually("the daemon serves", || job(&daemon, &["list"]).status.success());
    daemon
}

fn job(daemon: &Daemon, args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sardineseam"));
    command.args(["job", "--front", &daemon.front]).args(args);
    command.output().expect("the command runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).trim().to_owned()
}

#[test]
fn a_job_is_handed_in_run_and_shown() {
    let daemon = daemon();

    let submitted = job(&daemon, &["submit", "--id", "00000000000000a1", "--tasks", "6", "--wait"]);
    let shown = job(&daemon, &["show", "00000000000000a1"]);
    let waiting = job(&daemon, &["list"]);

    assert!(submitted.status.success(), "{}", text(&submitted.stderr));
    assert_eq!(text(&shown.stdout), "00000000000000a1 completed");
    assert_eq!(text(&waiting.stdout), "0 jobs wait");
}

#[test]
fn a_cancelled_job_stays_cancelled_and_an_unknown_one_is_an_error() {
    let daemon = daemon();
    let huge = job(&daemon, &["submit", "--id", "00000000000000b2", "--cpu-milli", "900000"]);
    assert!(huge.status.success(), "no worker is large enough, so it waits: {}", text(&huge.stderr));

    let cancelled = job(&daemon, &["cancel", "00000000000000b2"]);
    // A cancel is confirmed once it is stored; the leader's word on it follows.
    eventually("it is shown as cancelled", || {
        text(&job(&daemon, &["show", "00000000000000b2"]).stdout) == "00000000000000b2 cancelled"
    });
    let unknown = job(&daemon, &["cancel", "00000000000000ff"]);
    let bad = job(&daemon, &["show", "b2"]);

    assert!(cancelled.status.success(), "{}", text(&cancelled.stderr));
    assert_eq!(text(&unknown.stderr), "sardineseam: there is no job 00000000000000ff in this queue");
    assert!(text(&bad.stderr).contains("must be 16 hexadecimal digits"), "{}", text(&bad.stderr));
}
