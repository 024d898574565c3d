//! Runs one script of the review: `review-script CASE FOLDER RECORD`. Exits with 1 if the rule was broken, 0 if it held,
//! and 2 if the case could not run. With the environment variable `TROUBLE=0`, without the disruption.

mod crashing_item;
mod daemons;
mod draining;
mod http;
mod large_jobs;
mod late_release;
mod record;
mod starved;
mod store_proxy;
mod workers;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

use sardineseam::UsersPlatformStandIn;

use daemons::Daemon;
use record::Record;

/// What a case has found.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

/// What the cases share.
pub struct Script {
    pub record: Record,
    /// A temporary folder.
    pub folder: PathBuf,
    pub has_trouble: bool,
}

/// Host name of the queue of the stand-in.
pub const HOST: (&str, &str) = ("Host", "print.example");

impl Script {
    /// Starts daemons whose store is `platform`, and waits until one leads and all are ready.
    pub fn start_daemons(&self, count: u8, platform: &UsersPlatformStandIn) -> Result<Vec<Daemon>, String> {
        let mut daemons: Vec<Daemon> = (1..=count)
            .map(|number| Daemon::prepare(&self.folder, number, platform, platform.store_address, |_| {}))
            .collect();
        daemons.iter_mut().for_each(Daemon::start);
        self.wait_until_ready(&mut daemons, platform)?;
        Ok(daemons)
    }

    pub fn wait_until_ready(&self, daemons: &mut [Daemon], platform: &UsersPlatformStandIn) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            thread::sleep(Duration::from_millis(100));
            if daemons.iter_mut().any(Daemon::has_ended) {
                return Err("a daemon has ended".to_owned());
            }
            let is_ready = |daemon: &Daemon| {
                let answer = http::call(daemon.readiness, "GET", "/ready", &[], b"", Duration::from_secs(1));
                answer.is_some_and(|(status, _)| status == 200)
            };
            if platform.leader().is_some() && daemons.iter().all(is_ready) {
                return Ok(());
            }
        }
        Err("the daemons do not become ready".to_owned())
    }

    /// Submits a job to a daemon; returns the status of the answer.
    pub fn submit(&self, daemon: &Daemon, id: &str, body: &serde_json::Value) -> Option<u16> {
        let headers = [HOST, ("X-Deadline-Ms", "3000")];
        let text = body.to_string();
        let answer =
            http::call(daemon.front, "POST", &format!("/jobs/{id}"), &headers, text.as_bytes(), Duration::from_secs(3));
        let status = answer.map(|(status, _)| status);
        self.record.line(&format!("client: POST {id} to {} -> {status:?}", daemon.name));
        status
    }

    /// State of a job, as a daemon shows it.
    pub fn state(&self, daemon: &Daemon, id: &str) -> String {
        let headers = [HOST, ("X-Deadline-Ms", "3000")];
        let answer = http::call(daemon.front, "GET", &format!("/jobs/{id}"), &headers, b"", Duration::from_secs(3));
        match answer {
            Some((200, body)) => String::from_utf8_lossy(&body).into_owned(),
            Some((status, _)) => status.to_string(),
            None => "no answer".to_owned(),
        }
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, record] = arguments.as_slice() else {
        eprintln!("usage: review-script CASE FOLDER RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(Path::new(record)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!("case {case}, trouble {has_trouble}"));
    let script = Script { record, folder: PathBuf::from(folder), has_trouble };
    let verdict = match case.as_str() {
        "crashing-item" => crashing_item::run(&script),
        "draining" => draining::run(&script),
        "late-release" => late_release::run(&script),
        "starved" => starved::run(&script),
        "large-jobs" => large_jobs::run(&script),
        _ => Verdict::CouldNotRun("no such case".to_owned()),
    };
    match verdict {
        Verdict::Held => {
            script.record.line("verdict: the rule held");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            script.record.line("verdict: the rule was broken");
            ExitCode::from(1)
        }
        Verdict::CouldNotRun(reason) => {
            script.record.line(&format!("verdict: could not run: {reason}"));
            ExitCode::from(2)
        }
    }
}
