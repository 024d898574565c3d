//! The daemon.

mod args;
mod config;

use std::process::ExitCode;

use sardineseam::{run, start_logging, BoundDaemon, Result};

use args::Sardineseamd;

const FAILED: u8 = 1;
const USAGE: u8 = 2;

fn main() -> ExitCode {
    let args = match Sardineseamd::from_env() {
        Ok(args) => args,
        Err(help) if help.is_help() => {
            println!("{help}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("sardineseamd: {error}; see sardineseamd --help");
            return ExitCode::from(USAGE);
        }
    };
    match serve(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error @ sardineseam::Error::Setting { .. }) => {
            eprintln!("sardineseamd: {error}");
            ExitCode::from(USAGE)
        }
        Err(error) => {
            eprintln!("sardineseamd: {error}");
            ExitCode::from(FAILED)
        }
    }
}

fn serve(args: Sardineseamd) -> Result<()> {
    let settings = config::settings(args, &|name| std::env::var(name).ok())?;
    start_logging(settings.log_format)?;
    run(BoundDaemon::bind(settings)?)
}
