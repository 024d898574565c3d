//! The daemon.

mod args;
mod config;

use std::process::ExitCode;

use sardineseam::{
    load_deployment_settings, run, run_control, start_logging, start_non_blocking_logging, BoundDaemon, LogFormat,
    PlatformStandIn, Result,
};

use args::Sardineseamd;

const STAND_IN_WORKERS: usize = 4;
/// How long each work item runs on the stand-in's workers.
const STAND_IN_RUN_TIME_MS: u64 = 500;
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
        Err(error @ (sardineseam::Error::Setting { .. } | sardineseam::Error::DeploymentSetting { .. })) => {
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
    if args.control {
        let metrics_port = config::metrics_port(args.metrics_port)?;
        start_non_blocking_logging(LogFormat::Json)?;
        if !args.stand_in {
            return run_control(load_deployment_settings()?, metrics_port);
        }
        let platform = PlatformStandIn::start(STAND_IN_WORKERS, STAND_IN_RUN_TIME_MS);
        return run_control(config::stand_in(&platform, args.listen)?, metrics_port);
    }
    let settings = config::settings(args, &|name| std::env::var(name).ok())?;
    start_logging(settings.log_format)?;
    run(BoundDaemon::bind(settings)?)
}
