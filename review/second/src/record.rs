//! The record of a script: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

struct Lines {
    file: File,
    broken: Vec<String>,
}

#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Lines>>,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let lines = Lines { file: File::create(path).expect("the record can be written"), broken: Vec::new() };
        Record { started: Instant::now(), lines: Arc::new(Mutex::new(lines)) }
    }

    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} s  {text}", self.seconds());
        println!("{line}");
        let _ = writeln!(self.lines.lock().expect("lock").file, "{line}");
    }

    /// Notes that a rule was broken.
    pub fn broken(&self, text: &str) {
        self.line(&format!("RULE BROKEN: {text}"));
        self.lines.lock().expect("lock").broken.push(text.to_owned());
    }

    pub fn broken_count(&self) -> usize {
        self.lines.lock().expect("lock").broken.len()
    }
}
