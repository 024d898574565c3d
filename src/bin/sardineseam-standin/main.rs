//! Runs [`sardineseam::standin`], the stand-in for the platform that daemons use to route requests, as a process of its
//! own.

mod args;

use std::net::{SocketAddr, TcpListener};
use std::process::ExitCode;

use sardineseam::standin::{StandIn, StandInServer};
use sardineseam::{add_sample_hosts, print_startup_line, Error, Result, Sheet};

use args::SardineseamStandin;

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;
const SERVER_THREADS: usize = 32;

fn main() -> ExitCode {
    let args = match SardineseamStandin::from_env() {
        Ok(args) => args,
        Err(help) if help.is_help() => {
            println!("{help}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("sardineseam-standin: {error}; see sardineseam-standin --help");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match run_server(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sardineseam-standin: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn run_server(args: &SardineseamStandin) -> Result<()> {
    let address = args.listen.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 7070)));
    let listener = TcpListener::bind(address).map_err(Error::io(format!("--listen {address}")))?;
    let standin = StandIn::new();
    if let Some(path) = &args.endpoints {
        let body = std::fs::read(path).map_err(Error::io(format!("--endpoints {}", path.display())))?;
        add_sample_hosts(&standin, &Sheet::read(&body)?)?;
    }
    let server = StandInServer::start(standin, listener, SERVER_THREADS)?;
    print_startup_line(&format!("standin={}", server.address()));
    loop {
        std::thread::park();
    }
}
