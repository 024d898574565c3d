//! Submits, shows and cancels jobs with the command-line program, against a daemon that uses the platform's stand-in.

use std::net::TcpListener;
use std::process::{Child, Command, Output, Stdio};

mod support;

use support::eventually;

struct Daemon {
    /// Address of the job API, which `sardineseam job` takes as `--front`.
    front_address: String,
    child: Child,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // Fails if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn start_daemon() -> Daemon {
    let front_address =
        TcpListener::bind("127.0.0.1:0").expect("a free port").local_addr().expect("an address").to_string();
    let child = Command::new(env!("CARGO_BIN_EXE_sardineseamd"))
        .args(["--control", "--stand-in", "--listen", &front_address])
        .stdout(Stdio::null())
        .spawn();
    let daemon = Daemon { front_address, child: child.expect("the daemon starts") };
    eventually("the daemon answers", || run_job_command(&daemon, &["list"]).status.success());
    daemon
}

fn run_job_command(daemon: &Daemon, args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sardineseam"));
    command.args(["job", "--front", &daemon.front_address]).args(args);
    command.output().expect("the command runs")
}

fn trimmed_text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).trim().to_owned()
}

#[test]
fn a_submitted_job_runs_and_is_shown_as_completed() {
    let daemon = start_daemon();

    let submitted = run_job_command(&daemon, &["submit", "--id", "00000000000000a1", "--tasks", "6", "--wait"]);
    let shown = run_job_command(&daemon, &["show", "00000000000000a1"]);
    let listed = run_job_command(&daemon, &["list"]);

    assert!(submitted.status.success(), "{}", trimmed_text(&submitted.stderr));
    assert_eq!(trimmed_text(&shown.stdout), "00000000000000a1 completed");
    assert_eq!(trimmed_text(&listed.stdout), "0 jobs wait");
}

#[test]
fn a_cancelled_job_stays_cancelled_and_an_unknown_one_is_an_error() {
    let daemon = start_daemon();
    let oversized = run_job_command(&daemon, &["submit", "--id", "00000000000000b2", "--cpu-milli", "900000"]);
    assert!(
        oversized.status.success(),
        "a job too large for every worker must be accepted and wait: {}",
        trimmed_text(&oversized.stderr)
    );

    let cancelled = run_job_command(&daemon, &["cancel", "00000000000000b2"]);
    // A cancellation is acknowledged once it is stored; the leader records the job as cancelled later.
    eventually("the job is shown as cancelled", || {
        trimmed_text(&run_job_command(&daemon, &["show", "00000000000000b2"]).stdout) == "00000000000000b2 cancelled"
    });
    let unknown = run_job_command(&daemon, &["cancel", "00000000000000ff"]);
    let invalid = run_job_command(&daemon, &["show", "b2"]);

    assert!(cancelled.status.success(), "{}", trimmed_text(&cancelled.stderr));
    assert_eq!(trimmed_text(&unknown.stderr), "sardineseam: there is no job 00000000000000ff in this queue");
    assert!(
        trimmed_text(&invalid.stderr).contains("must be 16 hexadecimal digits"),
        "{}",
        trimmed_text(&invalid.stderr)
    );
}
