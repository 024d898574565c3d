//! The command line for operators. `sardineseam job` is parsed apart from the other commands, by [`job_args`].

mod admin_commands;
mod args;
mod client;
mod daemon_client;
mod daemon_commands;
mod daemon_output;
mod job_args;
mod job_commands;
mod output;

use std::ffi::OsString;
use std::process::ExitCode;

use args::Sardineseam;
use job_args::Job;

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let args: Vec<OsString> = std::env::args_os().skip(1).collect();
    let result = match args.first().is_some_and(|arg| arg == "job") {
        true => Job::from_vec(args[1..].to_vec()).map(job_commands::run),
        false => Sardineseam::from_vec(args).map(admin_commands::run),
    };
    match result {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(error)) => {
            eprintln!("sardineseam: {error}");
            ExitCode::from(EXIT_FAILED)
        }
        Err(help) if help.is_help() => {
            println!("{help}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("sardineseam: {error}; see sardineseam --help");
            ExitCode::from(EXIT_USAGE)
        }
    }
}
