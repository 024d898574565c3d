//! Starts this package's programs, scripted endpoints and a proxy for the integration tests, and sends HTTP requests.

#![allow(dead_code, reason = "no test program uses every helper")]

pub mod cluster;
pub mod control_daemon;
pub mod control_faults;
pub mod endpoint;
pub mod proxy;
pub mod recut_faults;
pub mod scripted_setup;

use std::io::{BufRead, BufReader, Read};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Longest wait for a condition or an HTTP answer before a test fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Polls `condition` until it holds. The test fails only if that takes longer than [`WAIT_TIMEOUT`].
pub fn eventually(what: &str, condition: impl FnMut() -> bool) {
    eventually_or_describe(what, condition, String::new);
}

/// Like [`eventually`]; the message of a failure ends with what `describe` returns then.
pub fn eventually_or_describe(what: &str, mut condition: impl FnMut() -> bool, describe: impl Fn() -> String) {
    let started = Instant::now();
    while !condition() {
        let timed_out = started.elapsed() >= WAIT_TIMEOUT;
        assert!(!timed_out, "timed out waiting for this condition: {what}\n{}", describe());
        std::thread::yield_now();
    }
}

/// A process of this package, killed when dropped.
pub struct Process {
    child: Child,
    /// First line of its standard output, which lists the addresses that it listens on.
    pub first_line: String,
    log: Arc<Mutex<String>>,
    log_reader: Option<JoinHandle<()>>,
}

impl Process {
    /// Starts a program and waits for its first line of output.
    pub fn start(program: &str, args: &[&str], env: &[(&str, &str)]) -> Process {
        let mut command = Command::new(program);
        command.args(args).envs(env.iter().copied());
        command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
        let mut child = command.spawn().expect("the program starts");
        let mut first_line = String::new();
        let stdout = child.stdout.take().expect("piped");
        BufReader::new(stdout).read_line(&mut first_line).expect("a first line of output");
        let log = Arc::new(Mutex::new(String::new()));
        let mut stderr = child.stderr.take().expect("piped");
        let log_writer = log.clone();
        let log_reader = std::thread::spawn(move || {
            let mut chunk = [0; 4096];
            while let Ok(count @ 1..) = stderr.read(&mut chunk) {
                log_writer.lock().expect("lock").push_str(&String::from_utf8_lossy(&chunk[..count]));
            }
        });
        let process = Process { child, first_line, log, log_reader: Some(log_reader) };
        assert!(process.first_line.contains('='), "{program} {args:?} did not start: {}", process.log());
        process
    }

    /// Address that the first line of output gives as `name=`.
    pub fn address(&self, name: &str) -> String {
        let prefix = format!("{name}=");
        let found = self.first_line.split_whitespace().find_map(|word| word.strip_prefix(&prefix));
        found.expect("an address of this name in the first line of output").to_owned()
    }

    /// Standard error output so far.
    pub fn log(&self) -> String {
        self.log.lock().expect("lock").clone()
    }

    /// State of the process and of each of its threads as the operating system reports it, and the log.
    pub fn describe(&self) -> String {
        let directory = format!("/proc/{}", self.child.id());
        let read = |path: String| std::fs::read_to_string(path).unwrap_or_else(|error| error.to_string());
        let status = read(format!("{directory}/status"));
        let fields = ["State:", "Threads:", "VmRSS:", "SigPnd:", "ShdPnd:"];
        let lines = status.lines().filter(|line| fields.iter().any(|field| line.starts_with(field)));
        let mut text = format!("process {}: {}\n", self.child.id(), lines.collect::<Vec<_>>().join(", "));
        for thread in std::fs::read_dir(format!("{directory}/task")).into_iter().flatten().flatten() {
            let path = thread.path().display().to_string();
            let (stat, waits_in) = (read(format!("{path}/stat")), read(format!("{path}/wchan")));
            let state = stat.rsplit(") ").next().and_then(|rest| rest.split(' ').next()).unwrap_or_default();
            text.push_str(&format!("thread state={state} waits_in={waits_in}\n"));
        }
        format!("{text}log:\n{}", self.log())
    }

    /// Sends a signal by its number.
    pub fn signal(&self, number: i32) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([&format!("-{number}"), &pid]).status().expect("kill runs");
        assert!(status.success());
    }

    /// Waits for the process to exit by itself; returns its exit status and its log.
    pub fn wait(mut self) -> (ExitStatus, String) {
        let status = self.child.wait().expect("the process exits");
        if let Some(reader) = self.log_reader.take() {
            reader.join().expect("the log reader ends");
        }
        (status, self.log())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Result of a program that has exited.
pub struct Output {
    pub status: i32,
    pub stdout: String,
    pub stderr: String,
}

/// Runs a program until it exits.
pub fn run(program: &str, args: &[&str], env: &[(&str, &str)]) -> Output {
    let mut command = Command::new(program);
    command.args(args).envs(env.iter().copied()).stdin(Stdio::null());
    let output = command.output().expect("the program runs");
    Output {
        status: output.status.code().expect("an exit status"),
        stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
        stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

/// A complete HTTP answer.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(found, _)| found.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn outcome(&self) -> &str {
        self.header("sardineseam-outcome")
    }
}

/// Sends one request on a new connection; `None` if no complete answer arrives within [`WAIT_TIMEOUT`].
pub fn try_http(method: &str, url: &str, headers: &[(&str, &str)], body: &[u8]) -> Option<Answer> {
    try_http_within(WAIT_TIMEOUT, method, url, headers, body)
}

/// Like [`try_http`], with a timeout of the test's choice.
pub fn try_http_within(
    timeout: Duration,
    method: &str,
    url: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Option<Answer> {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .allow_non_standard_methods(true)
        .max_idle_connections(0)
        .timeout_global(Some(timeout))
        .build();
    let agent: ureq::Agent = config.into();
    let mut request = ureq::http::Request::builder().method(method).uri(url);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let mut answer = agent.run(request.body(body).expect("a valid request")).ok()?;
    let headers = answer.headers().iter();
    let headers = headers.map(|(name, value)| (name.to_string(), value.to_str().unwrap_or("").to_owned())).collect();
    let status = answer.status().as_u16();
    let body = answer.body_mut().read_to_string().ok()?;
    Some(Answer { status, headers, body })
}

/// Body of the answer to a `GET`, which need not be text.
pub fn http_bytes(url: &str) -> Vec<u8> {
    let mut answer = ureq::get(url).call().expect("an answer");
    answer.body_mut().read_to_vec().expect("a complete answer")
}

/// Sends one request; panics if no complete answer arrives.
pub fn http(method: &str, url: &str, headers: &[(&str, &str)], body: &[u8]) -> Answer {
    try_http(method, url, headers, body).unwrap_or_else(|| panic!("no complete answer from {url}"))
}
