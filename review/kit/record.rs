//! The record of a case: what was sent, answered and run, and when.

use std::collections::HashSet;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines with the time since the start; clones write to the same file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
    /// The requests that a replica began to run.
    runs: Arc<Mutex<HashSet<String>>>,
}

impl Record {
    /// Creates `record.txt` in a folder.
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        let (file, runs) = (Arc::new(Mutex::new(file)), Arc::default());
        Ok(Self { file, started: Instant::now(), runs })
    }

    /// Seconds since the start.
    pub fn elapsed(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Notes that a replica began to run a request.
    pub fn note_run(&self, attempt: &str) {
        self.runs.lock().unwrap().insert(attempt.to_owned());
    }

    /// Whether a replica began to run a request.
    pub fn has_run(&self, attempt: &str) -> bool {
        self.runs.lock().unwrap().contains(attempt)
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let _ = writeln!(self.file.lock().unwrap(), "{:8.3} {text}", self.elapsed());
    }
}
