//! Hollow initiators (the program's own membership, gossip and core, without clients) on real loopback sockets
//! beside real processes of the program. Measured: bytes and processor time of each while nothing happens and
//! while volumes are used; how soon all know of a drain that one was notified of; and how soon a stop, deaths and
//! a restart of processes are noticed.

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

/// Clients, each at a real process of its own, the last ones.
const CLIENTS: usize = 3;
/// Real processes: one that is notified of drains, one that is stopped, others that are killed, and those with
/// clients.
const PROCESSES: RangeInclusive<usize> = 9..=20;
const INITIATORS: RangeInclusive<usize> = 1..=1000;
const VOLUMES: RangeInclusive<usize> = 0..=1000;
const SECONDS: RangeInclusive<usize> = 1..=600;

/// What is asked for.
pub struct Options {
    /// Hollow initiators, and real processes.
    pub initiators: usize,
    pub processes: usize,
    /// The program's binary.
    pub program: PathBuf,
    /// How long the window lasts in which nothing happens, and that in which volumes are used.
    pub seconds: u64,
    /// Volumes that are used at each hollow initiator; 0: there is no such window.
    pub volumes: u64,
}

/// Plays all phases, writes the table into `out` and prints the figures.
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

async fn play(options: &Options, table: &Path) -> Result<(), HollowError> {
    let mut experiment = Experiment::start(options).await?;
    experiment.meet().await?;
    let windows = experiment.measure_windows(options.volumes, options.seconds).await?;
    experiment.start_clients();
    let delays = experiment.drain().await?;
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
