//! What the drivers share: a record of what happened, processes that end with the driver, NBD as the client
//! speaks it, and the operator's file of a small deployment.

pub mod nbd;
pub mod operator;
pub mod platform;
pub mod process;
pub mod record;

use std::path::PathBuf;
use std::time::{Duration, Instant};

/// The result of a case, which is the exit code of its script.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The rule held.
    Held = 0,
    /// The rule was broken.
    Broken = 1,
    /// The case could not run.
    NotRun = 2,
}

/// Returns the value of `TROUBLE`; the disruption is on unless it is `0`.
pub fn trouble() -> String {
    std::env::var("TROUBLE").unwrap_or_else(|_| "1".into())
}

/// Returns a free port on loopback.
pub fn free_port() -> u16 {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("the port's number").port()
}

/// Calls `condition` until it is true or `timeout` is over. Returns whether it became true.
pub fn wait_until(timeout: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + timeout;
    loop {
        if condition() {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// A folder in the system's folder for temporary files, removed when dropped.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    /// Creates a new, empty folder.
    pub fn new(name: &str) -> Self {
        let nanos =
            std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map_or(0, |t| t.as_nanos());
        let path = std::env::temp_dir().join(format!("{name}-{}-{nanos}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a temporary folder");
        TempFolder(path)
    }

    /// Returns the path of a file in the folder.
    pub fn file(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Runs a case: the first argument names the folder that `record.txt` is written to. A case that panics or
/// takes over 115 s could not run.
pub fn run(case: impl FnOnce(&record::Record) -> Verdict + std::panic::UnwindSafe) -> ! {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".into()));
    let record = record::Record::create(&folder.join("record.txt"));
    std::thread::spawn({
        let record = record.clone();
        move || {
            std::thread::sleep(Duration::from_secs(115));
            record.say("the case took too long: not run");
            process::end_all();
            std::process::exit(Verdict::NotRun as i32);
        }
    });
    let result = {
        let record = std::panic::AssertUnwindSafe(record.clone());
        std::panic::catch_unwind(move || case(&record))
    };
    let verdict = result.unwrap_or(Verdict::NotRun);
    process::end_all();
    record.say(&format!("verdict: {verdict:?}"));
    std::process::exit(verdict as i32)
}
