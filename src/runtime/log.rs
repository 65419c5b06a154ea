//! Lines for the operators, on standard error, bounded so that a flood can't fill what keeps the log.

use std::cell::Cell;
use std::io::Write;
use std::time::{Duration, Instant};

/// Lines written within one second; a flood would fill what keeps the log.
const LINES_MOST: u32 = 50;

thread_local! {
    static WRITTEN: Cell<(Option<Instant>, u32)> = const { Cell::new((None, 0)) };
}

/// One line for the operators, on standard error; where that is closed the line is lost, and no more.
pub fn log(line: &str) {
    let now = Instant::now();
    let (since, count) = WRITTEN.get();
    let fresh = since.is_some_and(|since| now < since + Duration::from_secs(1));
    if fresh && count >= LINES_MOST {
        return WRITTEN.set((since, count + 1));
    }
    let mut out = std::io::stderr().lock();
    if !fresh && count > LINES_MOST {
        let _ = writeln!(out, "{} lines left out", count - LINES_MOST);
    }
    WRITTEN.set(if fresh { (since, count + 1) } else { (Some(now), 1) });
    let _ = writeln!(out, "{line}");
}
