//! The command line for operators.

mod app;
mod args;
mod client;
mod output;

use std::process::ExitCode;

use args::Sardineseam;

const FAILED: u8 = 1;
const USAGE: u8 = 2;

fn main() -> ExitCode {
    let args = match Sardineseam::from_env() {
        Ok(args) => args,
        Err(help) if help.is_help() => {
            println!("{help}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("sardineseam: {error}; see sardineseam --help");
            return ExitCode::from(USAGE);
        }
    };
    match app::run(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sardineseam: {error}");
            ExitCode::from(FAILED)
        }
    }
}
