//! Starts this package's programs for the benchmarks, generates load and computes statistics.

#![allow(dead_code, missing_docs, reason = "no benchmark uses every helper")]

pub mod load;

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};

pub const DAEMON: &str = env!("CARGO_BIN_EXE_sardineseamd");
pub const STANDIN: &str = env!("CARGO_BIN_EXE_sardineseam-standin");
pub const BOOTSTRAP_TOKEN: &str = "bootstrap-for-benches";

/// A process of this package, killed when dropped.
pub struct Process {
    child: Child,
    first_line: String,
}

impl Process {
    /// Starts a program and waits for its first line of output, which lists the addresses that it listens on.
    pub fn start(program: &str, args: &[&str]) -> Process {
        let mut command = Command::new(program);
        command.args(args).env("SARDINESEAM_BOOTSTRAP_TOKEN", BOOTSTRAP_TOKEN);
        command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::null());
        let mut child = command.spawn().expect("the program starts");
        let mut first_line = String::new();
        BufReader::new(child.stdout.take().expect("piped")).read_line(&mut first_line).expect("a first line of output");
        assert!(first_line.contains('='), "{program} {args:?} did not start");
        Process { child, first_line }
    }

    pub fn start_daemon(name: &str, zone: &str, platform: &str, extra_args: &[&str]) -> Process {
        let mut args = vec!["--name", name, "--zone", zone, "--platform", platform];
        args.extend(["--listen", "127.0.0.1:0", "--admin-listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0"]);
        args.extend(extra_args);
        Process::start(DAEMON, &args)
    }

    /// Address that the first line of output gives as `name=`.
    pub fn address(&self, name: &str) -> String {
        let prefix = format!("{name}=");
        let found = self.first_line.split_whitespace().find_map(|word| word.strip_prefix(&prefix));
        found.expect("an address of this name in the first line of output").to_owned()
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Processor time used so far, in clock ticks.
    pub fn cpu_ticks(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.id())).expect("the process's stat file");
        let after_name = stat.rsplit_once(')').expect("a program name in parentheses").1;
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        fields[11].parse::<u64>().expect("utime") + fields[12].parse::<u64>().expect("stime")
    }

    /// Resident memory, in KiB.
    pub fn resident_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id())).expect("the process's status file");
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("VmRSS");
        line.split_whitespace().nth(1).expect("a number").parse().expect("a number")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A daemon, and a platform stand-in with sample endpoints of one pool.
pub struct SinglePool {
    pub platform: String,
    pub daemon: Process,
    _standin: Process,
}

impl SinglePool {
    /// Starts both, with `hosts` endpoints in the pool, and waits until the daemon answers callers.
    pub fn start(hosts: usize) -> SinglePool {
        let sheet = format!(
            "kind,name,pool,service,zones,hosts,spare,max_unavailable,opens_at,closes_at,max_concurrent\n\
             pool,one,,one,z1,{hosts},no,,,,\nbudget,,one,,,,,0,,,\n"
        );
        let file = std::env::temp_dir().join(format!("sardineseam-bench-{}.csv", std::process::id()));
        std::fs::write(&file, &sheet).expect("the sheet is written");
        let standin = Process::start(STANDIN, &["--listen", "127.0.0.1:0", "--endpoints", &file.to_string_lossy()]);
        std::fs::remove_file(&file).expect("the sheet is removed");
        let platform = format!("http://{}", standin.address("standin"));
        let daemon = Process::start_daemon("d1", "z1", &platform, &[]);
        let (status, body) = http("PUT", &format!("http://{}/v1/sheet", daemon.address("admin")), sheet.as_bytes());
        assert_eq!(status, 200, "{body}");
        let url = format!("http://{}/one/", daemon.address("callers"));
        wait_until(|| http("GET", &url, b"").0 == 200);
        SinglePool { platform, daemon, _standin: standin }
    }
}

/// Sends one request to the admin API or to the stand-in; returns the status and the body, or 0 and the error.
pub fn http(method: &str, url: &str, body: &[u8]) -> (u16, String) {
    let config = ureq::Agent::config_builder().http_status_as_error(false).build();
    let agent: ureq::Agent = config.into();
    let request = ureq::http::Request::builder().method(method).uri(url);
    let request = request.header("Authorization", format!("Bearer {BOOTSTRAP_TOKEN}"));
    let mut answer = match agent.run(request.body(body).expect("a valid request")) {
        Ok(answer) => answer,
        Err(error) => return (0, error.to_string()),
    };
    (answer.status().as_u16(), answer.body_mut().read_to_string().unwrap_or_default())
}

/// Polls `condition` until it holds.
pub fn wait_until(mut condition: impl FnMut() -> bool) {
    while !condition() {
        std::thread::yield_now();
    }
}

/// The value below which `percent` of the `values` lie; sorts them.
pub fn percentile(values: &mut [f64], percent: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let index = (values.len() as f64 * percent / 100.0) as usize;
    values.get(index.min(values.len().saturating_sub(1))).copied().unwrap_or(f64::NAN)
}

pub fn median(values: &mut [f64]) -> f64 {
    percentile(values, 50.0)
}
