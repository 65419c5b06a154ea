//! What the log says.

use shaletack::runtime::log::{subscriber, LogFormat};
use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use tracing::level_filters::LevelFilter;

/// What a story's thread logs.
#[derive(Clone, Default)]
pub struct Kept(Arc<Mutex<Vec<u8>>>);

impl Write for Kept {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Kept {
    pub fn start(form: LogFormat, level: LevelFilter) -> (Self, tracing::subscriber::DefaultGuard) {
        let kept = Kept::default();
        let out = kept.clone();
        (kept, tracing::subscriber::set_default(subscriber(form, level, move || out.clone())))
    }

    pub fn lines(&self, with: &str) -> Vec<String> {
        let text = String::from_utf8(self.0.lock().unwrap().clone()).unwrap();
        text.lines().filter(|l| l.contains(with)).map(String::from).collect()
    }
}
