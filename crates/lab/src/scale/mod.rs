//! Simulates many hollow initiators (initiators without sockets, client data or endpoints) in virtual time.
//!
//! The experiment measures, by the size of the fleet, what the control traffic costs each initiator and how
//! soon all initiators know what one has learnt. Each seed runs in a process of its own, so that its memory
//! can be measured.

mod faults;
mod fleet;
mod net;
mod options;
mod plans;
mod report;

use fleet::{Arm, Size};
use options::Options;
use plans::Recorder;
use report::Report;
use std::collections::BTreeMap;
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// One measured value of one plan: a line of `scale.csv`.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    arm: String,
    plan: String,
    initiators: usize,
    seed: u64,
    measure: String,
    value: f64,
}

impl Row {
    /// Formats the row as a line of CSV, in the order of the columns.
    fn to_csv_line(&self) -> String {
        let Row { arm, plan, initiators, seed, measure, value } = self;
        format!("{arm},{plan},{initiators},{seed},{measure},{value}")
    }

    /// Parses a line of CSV; `None` if it is not a row.
    fn parse(line: &str) -> Option<Row> {
        let [arm, plan, initiators, seed, measure, value] =
            line.split(',').collect::<Vec<_>>().try_into().ok()?;
        Some(Row {
            arm: arm.into(),
            plan: plan.into(),
            initiators: initiators.parse().ok()?,
            seed: seed.parse().ok()?,
            measure: measure.into(),
            value: value.parse().ok()?,
        })
    }
}

/// Runs one seed: all plans, with each arm and each size.
fn run_seed(options: &Options, seed: u64) -> Result<Vec<Row>, String> {
    let mut rows = Vec::new();
    let mut sizes = options.sizes.clone();
    sizes.push(options.size.initiators);
    sizes.sort_unstable();
    sizes.dedup();
    for (arm, name) in &options.arms {
        for initiators in &sizes {
            let zones = options.size.zones.min(*initiators);
            let regions = options.size.regions.min(zones);
            let size = Size { initiators: *initiators, zones, regions, ..options.size };
            for plan in &options.plans {
                let recorder = Recorder { rows: &mut rows, arm: name, plan, initiators: *initiators, seed };
                run_plan(size, *arm, size.initiators == options.size.initiators, recorder)?;
            }
        }
    }
    Ok(rows)
}

/// Runs one plan. `faults` and `sums` run only with the fleet size given by `--initiators`.
fn run_plan(size: Size, arm: Arm, full_size: bool, mut recorder: Recorder) -> Result<(), String> {
    let (seed, recorder) = (recorder.seed, &mut recorder);
    match recorder.plan {
        "faults" if !full_size => Ok(()),
        "faults" => faults::PLANS
            .iter()
            .try_for_each(|(name, plan)| faults::run(size, arm, name, *plan, seed, recorder)),
        "sums" if !full_size || arm == Arm::Before => Ok(()),
        "sums" => plans::sums(size, arm, seed, recorder),
        "spread" => plans::spread(size, arm, seed, recorder),
        plan => plans::cost(size, arm, plan == "busy", seed, recorder),
    }
}

/// Runs one seed in a worker process and returns the rows that it prints.
fn run_worker(seed: u64) -> Result<Vec<Row>, String> {
    let failed = |why: &dyn std::fmt::Display| format!("scale: seed {seed}: {why}");
    let program = std::env::current_exe().map_err(|e| failed(&e))?;
    let mut command = Command::new(program);
    command.args(std::env::args_os().skip(1)).args(["--worker", &seed.to_string()]).stderr(Stdio::inherit());
    let done = command.output().map_err(|e| failed(&e))?;
    if !done.status.success() {
        return Err(failed(&done.status));
    }
    let text = String::from_utf8_lossy(&done.stdout);
    text.lines()
        .map(|line| Row::parse(line).ok_or(failed(&format!("'{line}' is not a row of results"))))
        .collect()
}

/// Runs all seeds, writes the tables and the chart and prints the figures. In a worker process, runs one seed
/// and prints its rows.
pub fn run(args: lexopt::Parser) -> Result<(), String> {
    let Some(options) = Options::parse(args)? else { return Ok(()) };
    if let Some(seed) = options.worker_seed {
        run_seed(&options, seed)?.iter().for_each(|row| println!("{}", row.to_csv_line()));
        return Ok(());
    }
    let write_error = |what: &Path, why: &dyn std::fmt::Display| format!("scale: {}: {why}", what.display());
    std::fs::create_dir_all(&options.out).map_err(|e| write_error(&options.out, &e))?;
    let table = options.out.join("scale.csv");
    std::fs::write(&table, "").map_err(|e| write_error(&table, &e))?;
    let rows = all_seeds(&options)?;
    let mut text = String::from("arm,plan,initiators,seed,measure,value\n");
    rows.iter().for_each(|row| text += &(row.to_csv_line() + "\n"));
    std::fs::write(&table, text).map_err(|e| write_error(&table, &e))?;
    let report = Report { options: &options, rows: &rows };
    report.write(&write_error)?;
    options.max_growth.map_or(Ok(()), |max_growth| report.check_growth(max_growth))
}

/// Runs all seeds in worker processes, as many at a time as half of the processors, and returns their rows in
/// the order of the seeds.
fn all_seeds(options: &Options) -> Result<Vec<Row>, String> {
    let parallelism =
        std::thread::available_parallelism().map_or(1, |n| n.get() / 2).clamp(1, options.seeds as usize);
    let next = AtomicU64::new(1);
    let played: Mutex<BTreeMap<u64, Result<Vec<Row>, String>>> = Mutex::default();
    std::thread::scope(|scope| {
        for _ in 0..parallelism {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed > options.seeds {
                    return;
                }
                let rows = run_worker(seed);
                played.lock().unwrap_or_else(|e| e.into_inner()).insert(seed, rows);
            });
        }
    });
    let played = played.into_inner().unwrap_or_else(|e| e.into_inner());
    played.into_values().try_fold(Vec::new(), |mut all, rows| {
        all.extend(rows?);
        Ok(all)
    })
}
