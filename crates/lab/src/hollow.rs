//! Runs hollow initiators (the program's own membership, gossip and core, without clients) on real loopback
//! sockets beside real processes of the program.
//!
//! The experiment measures the bytes and the processor time of each initiator while the fleet is idle and
//! while volumes are used; how soon all initiators know of a drain that one was notified of; and how soon
//! they notice that processes are stopped, killed and restarted.

mod config;
mod error;
mod etcd;
mod experiment;
mod initiator;
mod nbd;
mod observed;
mod phases;
mod process;
mod report;
mod window;

use error::HollowError;
use experiment::Experiment;
use report::Report;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use tokio::task::LocalSet;

/// Number of clients. Each uses one of the last real processes.
const CLIENTS: usize = 3;
/// Allowed numbers of real processes: one is notified of drains, one is stopped, others are killed, and the
/// last ones have clients.
const PROCESSES: RangeInclusive<usize> = 9..=20;
/// Allowed numbers of hollow initiators.
const INITIATORS: RangeInclusive<usize> = 1..=1000;
/// Allowed numbers of volumes in use at each hollow initiator.
const VOLUMES: RangeInclusive<usize> = 0..=1000;
/// Allowed lengths of a measuring window in seconds.
const SECONDS: RangeInclusive<usize> = 1..=600;

/// The arguments of the experiment.
pub struct Options {
    /// Number of hollow initiators.
    pub initiators: usize,
    /// Number of real processes.
    pub processes: usize,
    /// Path of the program's binary.
    pub program: PathBuf,
    /// Length of each measuring window: the idle one, and the one in which volumes are used.
    pub seconds: u64,
    /// Volumes in use at each hollow initiator during the second window; with 0, that window is omitted.
    pub volumes: u64,
}

/// Checks the options, runs all phases, writes the table into `out` and prints the figures.
pub fn run(options: &Options, out: &Path) -> Result<(), HollowError> {
    let check = |option, value: usize, range: &RangeInclusive<usize>| {
        let (least, most) = (*range.start(), *range.end());
        let error = HollowError::OutOfRange { option, value, least, most };
        range.contains(&value).then_some(()).ok_or(error)
    };
    check("initiators", options.initiators, &INITIATORS)?;
    check("processes", options.processes, &PROCESSES)?;
    check("volumes", options.volumes as usize, &VOLUMES)?;
    check("seconds", options.seconds as usize, &SECONDS)?;
    if !options.program.is_file() {
        return Err(HollowError::NoProgram(options.program.clone()));
    }
    let table = out.join(format!("hollow-{}-{}.csv", options.initiators, options.processes));
    std::fs::write(&table, "").map_err(HollowError::file(&table))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(HollowError::Runtime)?;
    LocalSet::new().block_on(&runtime, play(options, &table))
}

/// Runs all phases in order.
async fn play(options: &Options, table: &Path) -> Result<(), HollowError> {
    let mut experiment = Experiment::start(options).await?;
    experiment.wait_for_convergence().await?;
    let windows = experiment.measure_windows(options.volumes, options.seconds).await?;
    experiment.start_clients();
    let delays = experiment.measure_drains().await?;
    experiment.stop_process().await?;
    experiment.kill_processes().await;
    experiment.restart_process().await?;
    experiment.print_reads();
    experiment.stop_hollow()?;
    let report = Report { real: experiment.real, all: experiment.all, windows, delays };
    report.write(table)?;
    report.print();
    Ok(())
}
