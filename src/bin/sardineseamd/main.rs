//! Runs the daemon: routes requests, or with `--control` schedules jobs on the users' platform.

mod args;
mod config;

use std::process::ExitCode;

use sardineseam::{
    load_control_settings, run, run_control, start_logging, start_non_blocking_logging, BoundDaemon, LogFormat, Result,
    UsersPlatformStandIn,
};

use args::Sardineseamd;

const STAND_IN_WORKER_COUNT: usize = 4;
/// Duration of each run on the stand-in's workers.
const STAND_IN_RUN_TIME_MS: u64 = 500;
const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let args = match Sardineseamd::from_env() {
        Ok(args) => args,
        Err(help) if help.is_help() => {
            println!("{help}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("sardineseamd: {error}; see sardineseamd --help");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match run_daemon(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error @ (sardineseam::Error::Setting { .. } | sardineseam::Error::SettingsFile { .. })) => {
            eprintln!("sardineseamd: {error}");
            ExitCode::from(EXIT_USAGE)
        }
        Err(error) => {
            eprintln!("sardineseamd: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn run_daemon(args: Sardineseamd) -> Result<()> {
    if args.control {
        let metrics_port = config::parse_metrics_port(args.metrics_port)?;
        start_non_blocking_logging(LogFormat::Json)?;
        if !args.stand_in {
            return run_control(load_control_settings()?, metrics_port);
        }
        let platform = UsersPlatformStandIn::start(STAND_IN_WORKER_COUNT, STAND_IN_RUN_TIME_MS);
        return run_control(config::stand_in_settings(&platform, args.listen)?, metrics_port);
    }
    let settings = config::parse_settings(args, &|name| std::env::var(name).ok())?;
    start_logging(settings.log_format)?;
    run(BoundDaemon::bind(settings)?)
}
