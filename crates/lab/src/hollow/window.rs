//! Measures the cost of each initiator over a span of time: bytes on the wire, and for real processes also
//! processor time and memory.

use super::error::HollowError;
use super::initiator::SharedState;
use super::observed::Observed;
use super::process::{Process, Usage};
use std::time::{Duration, Instant};

/// Load of a real process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessLoad {
    /// Processor time, in percent of one core.
    pub core_percent: f64,
    /// Resident memory, in units of 10^6 bytes.
    pub memory_megabytes: f64,
}

/// Results of a measuring window.
pub struct Window {
    /// Received and sent bytes per second of each initiator.
    pub bytes: Vec<[f64; 2]>,
    /// Load of the real processes.
    pub real: Vec<ProcessLoad>,
    /// Bytes per second on the loopback interface.
    pub loopback_bytes_per_second: f64,
}

/// Waits for `seconds` and returns the change of every figure in that time.
pub async fn measure(
    observed: &mut Observed,
    shared: &SharedState,
    processes: &mut [Process],
    seconds: u64,
) -> Result<Window, HollowError> {
    let mut usage =
        || -> Result<Vec<Usage>, HollowError> { processes.iter_mut().map(Process::usage).collect() };
    let (bytes, used, loop_bytes, since) = (shared.snapshot(), usage()?, loopback_bytes()?, Instant::now());
    observed.wait(Duration::from_secs(seconds)).await;
    let seconds = since.elapsed().as_secs_f64();
    let transferred = shared.snapshot().into_iter().zip(bytes);
    let core = |now: &Usage, was: &Usage| (now.cpu_seconds - was.cpu_seconds) / seconds * 100.0;
    let load = |(now, was): (&Usage, &Usage)| ProcessLoad {
        core_percent: core(now, was),
        memory_megabytes: now.resident_bytes as f64 / 1e6,
    };
    let real = usage()?.iter().zip(&used).map(load).collect();
    Ok(Window {
        bytes: transferred
            .map(|(now, was)| [0, 1].map(|direction| (now[direction] - was[direction]) as f64 / seconds))
            .collect(),
        real,
        loopback_bytes_per_second: (loopback_bytes()? - loop_bytes) as f64 / seconds,
    })
}

/// Returns the bytes that the loopback interface has carried since the system started, including those of
/// other programs.
fn loopback_bytes() -> Result<u64, HollowError> {
    let path = "/proc/net/dev";
    let text = std::fs::read_to_string(path).map_err(HollowError::file(path))?;
    let line = text.lines().find_map(|line| line.trim().strip_prefix("lo:"));
    let bytes = line.and_then(|rest| rest.split_whitespace().next()?.parse().ok());
    bytes.ok_or_else(|| HollowError::NoLoopbackFigures(path.into()))
}
