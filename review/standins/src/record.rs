//! The record of a run: what was sent, answered and run, with the time since the start of the run.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(path: &std::path::Path) -> Record {
        Record { start: Instant::now(), file: Mutex::new(File::create(path).expect("the record's file")) }
    }

    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3}  {text}", self.start.elapsed().as_secs_f64());
    }
}
