//! The record of a run: what was sent, answered and run, with the time since the start in seconds.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines; clones share the same file.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Self { started: Instant::now(), file: Arc::new(Mutex::new(BufWriter::new(file))) }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let time = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("the record");
        let _ = writeln!(file, "{time:8.3} {}", text.as_ref());
        let _ = file.flush();
    }

    /// A line that is also printed.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}
