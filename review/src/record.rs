//! The record of a script: what was sent, answered and run, with the time since the script began.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record { began: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    pub fn seconds(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("lock");
        // The record is only for reading afterwards.
        let _ = writeln!(file, "{:8.3} {text}", self.seconds());
    }
}
