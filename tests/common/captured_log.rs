//! Captures the log of the current thread, so that a test can read it.

use shaletack::runtime::log::{subscriber, LogFormat};
use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use tracing::level_filters::LevelFilter;

/// A buffer that holds what the current thread has logged.
#[derive(Clone, Default)]
pub struct CapturedLog(Arc<Mutex<Vec<u8>>>);

impl Write for CapturedLog {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl CapturedLog {
    /// Captures the thread's log in the given format, from the given level up, until the guard is dropped.
    pub fn start(format: LogFormat, level: LevelFilter) -> (Self, tracing::subscriber::DefaultGuard) {
        let captured = CapturedLog::default();
        let out = captured.clone();
        (captured, tracing::subscriber::set_default(subscriber(format, level, move || out.clone())))
    }

    /// Returns the captured lines that contain the given text.
    pub fn lines(&self, text: &str) -> Vec<String> {
        let log = String::from_utf8(self.0.lock().unwrap().clone()).unwrap();
        log.lines().filter(|l| l.contains(text)).map(String::from).collect()
    }
}
