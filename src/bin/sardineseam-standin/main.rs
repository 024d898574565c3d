//! The platform's stand-in as a process of its own.

mod args;

use std::net::{SocketAddr, TcpListener};
use std::process::ExitCode;

use sardineseam::standin::{StandIn, StandInServer};
use sardineseam::{announce, populate, Error, Result, Sheet};

use args::SardineseamStandin;

const FAILED: u8 = 1;
const USAGE: u8 = 2;
const WORKER_COUNT: usize = 32;

fn main() -> ExitCode {
    let args = match SardineseamStandin::from_env() {
        Ok(args) => args,
        Err(help) if help.is_help() => {
            println!("{help}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("sardineseam-standin: {error}; see sardineseam-standin --help");
            return ExitCode::from(USAGE);
        }
    };
    match serve(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sardineseam-standin: {error}");
            ExitCode::from(FAILED)
        }
    }
}

fn serve(args: &SardineseamStandin) -> Result<()> {
    let address = args.listen.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 7070)));
    let listener = TcpListener::bind(address).map_err(Error::io(format!("--listen {address}")))?;
    let standin = StandIn::new();
    if let Some(path) = &args.endpoints {
        let body = std::fs::read(path).map_err(Error::io(format!("--endpoints {}", path.display())))?;
        populate(&standin, &Sheet::read(&body)?)?;
    }
    let server = StandInServer::start(standin, listener, WORKER_COUNT)?;
    announce(&format!("standin={}", server.address()));
    loop {
        std::thread::park();
    }
}
