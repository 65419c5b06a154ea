//! What a span of time costs each initiator: bytes on the wire, and of real processes processor time and memory.

use super::error::HollowError;
use super::initiator::Ledger;
use super::observed::Observed;
use super::process::{Process, Usage};
use std::time::{Duration, Instant};

/// What a real process spends.
#[derive(Clone, Copy, Debug)]
pub struct ProcessLoad {
    /// Processor time, in per cent of one core.
    pub core_percent: f64,
    /// Resident, in 10^6 bytes.
    pub memory_megabytes: f64,
}

/// What a measuring window cost.
pub struct Window {
    /// Received and sent bytes a second, of all.
    pub bytes: Vec<[f64; 2]>,
    /// Of real ones.
    pub real: Vec<ProcessLoad>,
    /// Bytes a second of the loopback.
    pub carried: f64,
}

/// Lets `seconds` pass, and takes the difference of every figure over them.
pub async fn measure(
    observed: &mut Observed,
    ledger: &Ledger,
    processes: &mut [Process],
    seconds: u64,
) -> Result<Window, HollowError> {
    let mut usage =
        || -> Result<Vec<Usage>, HollowError> { processes.iter_mut().map(Process::usage).collect() };
    let (bytes, used, loop_bytes, since) = (ledger.now(), usage()?, loopback_bytes()?, Instant::now());
    observed.pass(Duration::from_secs(seconds)).await;
    let seconds = since.elapsed().as_secs_f64();
    let moved = ledger.now().into_iter().zip(bytes);
    let core = |now: &Usage, was: &Usage| (now.seconds - was.seconds) / seconds * 100.0;
    let load = |(now, was): (&Usage, &Usage)| ProcessLoad {
        core_percent: core(now, was),
        memory_megabytes: now.resident as f64 / 1e6,
    };
    let real = usage()?.iter().zip(&used).map(load).collect();
    Ok(Window {
        bytes: moved.map(|(now, was)| [0, 1].map(|way| (now[way] - was[way]) as f64 / seconds)).collect(),
        real,
        carried: (loopback_bytes()? - loop_bytes) as f64 / seconds,
    })
}

/// Bytes that the loopback interface has carried since the system started, whosever they are.
fn loopback_bytes() -> Result<u64, HollowError> {
    let path = "/proc/net/dev";
    let text = std::fs::read_to_string(path).map_err(HollowError::file(path))?;
    let line = text.lines().find_map(|line| line.trim().strip_prefix("lo:"));
    let bytes = line.and_then(|rest| rest.split_whitespace().next()?.parse().ok());
    bytes.ok_or_else(|| HollowError::NoLoopbackFigures(path.into()))
}
