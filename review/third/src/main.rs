//! Plays one case of the third review: `review-third CASE RECORD FOLDER`, in the repository's root. `TROUBLE=0` leaves the
//! disruption out. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

#![recursion_limit = "256"]

mod cases;
mod daemons;
mod http;
mod store;
mod world;

use std::path::PathBuf;
use std::process::exit;
use std::thread;
use std::time::Duration;

const TIME_LIMIT: Duration = Duration::from_secs(115);

/// What a case has found.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record, folder] = arguments.as_slice() else {
        eprintln!("usage: review-third CASE RECORD FOLDER");
        exit(2);
    };
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        daemons::kill_all();
        eprintln!("the case did not end in time");
        exit(2);
    });
    let has_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let verdict = cases::play(case, &PathBuf::from(record), &PathBuf::from(folder), has_trouble);
    exit(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::CouldNotRun(why) => {
            eprintln!("{why}");
            2
        }
    });
}
