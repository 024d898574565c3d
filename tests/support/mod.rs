//! Processes of this package and scripted endpoints for integration tests.

#![allow(dead_code, reason = "each test program uses a part")]

pub mod endpoint;
pub mod group;
pub mod proxy;

use std::io::{BufRead, BufReader, Read};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// A condition that does not come true within this time never will.
const GIVE_UP: Duration = Duration::from_secs(60);

/// Checks again and again until `condition` holds. The time it takes decides nothing.
pub fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < GIVE_UP, "never came true: {what}");
        std::thread::yield_now();
    }
}

/// A process of this package, killed when dropped.
pub struct Process {
    child: Child,
    /// First line of its standard output.
    pub announced: String,
    log: Arc<Mutex<String>>,
    log_reader: Option<JoinHandle<()>>,
}

impl Process {
    /// Starts a program and waits for its first line of output.
    pub fn start(program: &str, args: &[&str], variables: &[(&str, &str)]) -> Process {
        let mut command = Command::new(program);
        command.args(args).envs(variables.iter().copied());
        command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
        let mut child = command.spawn().expect("the program starts");
        let mut announced = String::new();
        let stdout = child.stdout.take().expect("piped");
        BufReader::new(stdout).read_line(&mut announced).expect("a line of text");
        let log = Arc::new(Mutex::new(String::new()));
        let mut stderr = child.stderr.take().expect("piped");
        let sink = log.clone();
        let log_reader = std::thread::spawn(move || {
            let mut chunk = [0; 4096];
            while let Ok(count @ 1..) = stderr.read(&mut chunk) {
                sink.lock().expect("lock").push_str(&String::from_utf8_lossy(&chunk[..count]));
            }
        });
        let process = Process { child, announced, log, log_reader: Some(log_reader) };
        assert!(process.announced.contains('='), "{program} {args:?} did not start: {}", process.log());
        process
    }

    /// Value of `name=` in the announced line.
    pub fn address(&self, name: &str) -> String {
        let prefix = format!("{name}=");
        let found = self.announced.split_whitespace().find_map(|word| word.strip_prefix(&prefix));
        found.expect("an announced address").to_owned()
    }

    /// Standard error so far.
    pub fn log(&self) -> String {
        self.log.lock().expect("lock").clone()
    }

    /// Sends a signal by its number.
    pub fn signal(&self, number: i32) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([&format!("-{number}"), &pid]).status().expect("kill runs");
        assert!(status.success());
    }

    /// Waits for the process to end by itself.
    pub fn wait(mut self) -> (ExitStatus, String) {
        let status = self.child.wait().expect("waited");
        if let Some(reader) = self.log_reader.take() {
            reader.join().expect("read to the end");
        }
        (status, self.log())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Result of a command that ran to its end.
pub struct Output {
    pub status: i32,
    pub stdout: String,
    pub stderr: String,
}

/// Runs a program to its end.
pub fn run(program: &str, args: &[&str], variables: &[(&str, &str)]) -> Output {
    let mut command = Command::new(program);
    command.args(args).envs(variables.iter().copied()).stdin(Stdio::null());
    let output = command.output().expect("the program runs");
    Output {
        status: output.status.code().expect("an exit status"),
        stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
        stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

/// An HTTP answer, read whole.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn outcome(&self) -> &str {
        self.header("sardineseam-outcome")
    }
}

/// Sends one request on a connection of its own; `None` if no whole answer came.
pub fn try_http(method: &str, url: &str, headers: &[(&str, &str)], body: &[u8]) -> Option<Answer> {
    try_http_within(GIVE_UP, method, url, headers, body)
}

/// The same with a bound on the time it may take.
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
    let mut answer = agent.run(request.body(body).expect("a request")).ok()?;
    let headers = answer.headers().iter();
    let headers = headers.map(|(name, value)| (name.to_string(), value.to_str().unwrap_or("").to_owned())).collect();
    let status = answer.status().as_u16();
    let body = answer.body_mut().read_to_string().ok()?;
    Some(Answer { status, headers, body })
}

/// Sends one request and expects an answer.
pub fn http(method: &str, url: &str, headers: &[(&str, &str)], body: &[u8]) -> Answer {
    try_http(method, url, headers, body).unwrap_or_else(|| panic!("no answer from {url}"))
}
