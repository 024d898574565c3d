//! The daemon.

mod args;
mod config;

use std::process::ExitCode;

use sardineseam::{
    load_deployment_settings, run, run_control, start_bounded_logging, start_logging, BoundDaemon, LogFormat, Result,
};

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
        start_bounded_logging(LogFormat::Json)?;
        return run_control(load_deployment_settings()?, metrics_port);
    }
    let settings = config::settings(args, &|name| std::env::var(name).ok())?;
    start_logging(settings.log_format)?;
    run(BoundDaemon::bind(settings)?)
}
