//! `record.txt`: what was sent, answered and run, with the time since the start of the case.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record of one run. Clones write to the same file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    /// Creates the file, or empties it.
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Record { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    /// Writes a line, here and on standard output.
    pub fn say(&self, line: &str) {
        let line = format!("{:8.3} {line}", self.started.elapsed().as_secs_f64());
        println!("{line}");
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{line}");
        }
    }

    /// Appends the text of a file, each line behind `name`.
    pub fn attach(&self, name: &str, path: &Path, keep: impl Fn(&str) -> bool) {
        let text = std::fs::read_to_string(path).unwrap_or_default();
        if let Ok(mut file) = self.file.lock() {
            for line in text.lines().filter(|line| keep(line)) {
                let _ = writeln!(file, "{name}: {line}");
            }
        }
    }
}
