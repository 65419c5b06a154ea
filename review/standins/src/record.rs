//! The record of one run: what was sent, answered and run, with the time since the start in milliseconds.

use std::fmt::Display;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record of one run. Clones share the same lines.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Record { started_at: Instant::now(), lines: Arc::default() }
    }

    /// Adds a line.
    pub fn note(&self, line: impl Display) {
        let at = self.started_at.elapsed().as_secs_f64() * 1e3;
        self.lines.lock().unwrap().push(format!("{at:10.1} {line}"));
    }

    /// Writes the record to a file and to standard output.
    pub fn write(&self, file: &Path) {
        let text = self.lines.lock().unwrap().join("\n") + "\n";
        print!("{text}");
        if let Err(why) = std::fs::write(file, text) {
            eprintln!("{}: {why}", file.display());
        }
    }
}
