//! The command line for operators.

mod app;
mod args;
mod client;
mod job_args;
mod jobs;
mod output;

use std::ffi::OsString;
use std::process::ExitCode;

use args::Sardineseam;
use job_args::Job;

const FAILED: u8 = 1;
const USAGE: u8 = 2;

fn main() -> ExitCode {
    let words: Vec<OsString> = std::env::args_os().skip(1).collect();
    let done = match words.first().is_some_and(|word| word == "job") {
        true => Job::from_vec(words[1..].to_vec()).map(jobs::run),
        false => Sardineseam::from_vec(words).map(app::run),
    };
    match done {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(error)) => {
            eprintln!("sardineseam: {error}");
            ExitCode::from(FAILED)
        }
        Err(help) if help.is_help() => {
            println!("{help}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("sardineseam: {error}; see sardineseam --help");
            ExitCode::from(USAGE)
        }
    }
}
