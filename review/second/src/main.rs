//! Runs one case: `review-second CASE REPOSITORY FOLDER RECORD`. Exits with 1 if a rule was broken, 0 if it held, and 2 if
//! the case could not run. `TROUBLE=0` leaves the disruption out.

#![recursion_limit = "256"]

mod cases;
mod daemons;
mod http;
mod record;
mod store;
mod world;

use std::path::PathBuf;
use std::process::exit;

use record::Record;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, repository, folder, record] = arguments.as_slice() else {
        eprintln!("usage: review-second CASE REPOSITORY FOLDER RECORD");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(record);
    record.line(&format!("case {case}, trouble: {has_trouble}"));
    let setting = cases::Setting {
        repository: PathBuf::from(repository),
        folder: PathBuf::from(folder),
        record: record.clone(),
        has_trouble,
    };
    let has_run = match case.as_str() {
        "kind" => cases::kind::run(&setting),
        "wave" => cases::wave::run(&setting),
        "drain" => cases::drain::run(&setting),
        "advice" => cases::advice::run(&setting),
        "moves" => cases::moves::run(&setting),
        "ghost" => cases::ghost::run(&setting),
        "late" => cases::late::run(&setting),
        "beside" => cases::beside::run(&setting),
        "budget" => cases::budget::run(&setting),
        "explore" => cases::explore::run(&setting),
        "cancel" => cases::cancel::run(&setting),
        _ => Err(format!("no case {case}")),
    };
    let code = match has_run {
        Err(problem) => {
            record.line(&format!("could not run: {problem}"));
            2
        }
        Ok(()) if record.broken_count() > 0 => 1,
        Ok(()) => 0,
    };
    record.line(&format!("rules broken: {} times; exit code {code}", record.broken_count()));
    exit(code);
}
