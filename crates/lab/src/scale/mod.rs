//! Many hollow initiators in virtual time: what control costs each of them and how soon all know what one has
//! learnt, by the size of the fleet. Each seed is played by a process of its own, so that its memory can be
//! counted.

mod faults;
mod fleet;
mod net;
mod options;
mod plans;
mod report;

use fleet::{Arm, Size};
use options::Options;
use plans::Book;
use report::Report;
use std::collections::BTreeMap;
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// One figure of one plan.
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
    fn line(&self) -> String {
        let Row { arm, plan, initiators, seed, measure, value } = self;
        format!("{arm},{plan},{initiators},{seed},{measure},{value}")
    }

    fn read(line: &str) -> Option<Row> {
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

/// Plays one seed: each arm with each size.
fn play(options: &Options, seed: u64) -> Result<Vec<Row>, String> {
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
                let book = Book { rows: &mut rows, arm: name, plan, initiators: *initiators, seed };
                play_plan(size, *arm, size.initiators == options.size.initiators, book)?;
            }
        }
    }
    Ok(rows)
}

/// Plays one plan; some are played only by the fleet of the size that was asked for.
fn play_plan(size: Size, arm: Arm, full_size: bool, mut book: Book) -> Result<(), String> {
    let (seed, book) = (book.seed, &mut book);
    match book.plan {
        "faults" if !full_size => Ok(()),
        "faults" => {
            faults::PLANS.iter().try_for_each(|(name, plan)| faults::play(size, arm, name, *plan, seed, book))
        }
        "sums" if !full_size || arm == Arm::Before => Ok(()),
        "sums" => plans::sums(size, arm, seed, book),
        "spread" => plans::spread(size, arm, seed, book),
        plan => plans::cost(size, arm, plan == "busy", seed, book),
    }
}

/// What a process of its own played of a seed.
fn delegate(seed: u64) -> Result<Vec<Row>, String> {
    let failed = |why: &dyn std::fmt::Display| format!("scale: seed {seed}: {why}");
    let program = std::env::current_exe().map_err(|e| failed(&e))?;
    let mut command = Command::new(program);
    command.args(std::env::args_os().skip(1)).args(["--worker", &seed.to_string()]).stderr(Stdio::inherit());
    let done = command.output().map_err(|e| failed(&e))?;
    if !done.status.success() {
        return Err(failed(&done.status));
    }
    let text = String::from_utf8_lossy(&done.stdout);
    text.lines().map(|line| Row::read(line).ok_or(failed(&format!("'{line}' is no row")))).collect()
}

/// Plays all seeds, writes tables and a chart and prints the figures; as a worker plays one and prints its rows.
pub fn run(args: lexopt::Parser) -> Result<(), String> {
    let Some(options) = Options::parse(args)? else { return Ok(()) };
    if let Some(seed) = options.worker {
        play(&options, seed)?.iter().for_each(|row| println!("{}", row.line()));
        return Ok(());
    }
    let written = |what: &Path, why: &dyn std::fmt::Display| format!("scale: {}: {why}", what.display());
    std::fs::create_dir_all(&options.out).map_err(|e| written(&options.out, &e))?;
    let table = options.out.join("scale.csv");
    std::fs::write(&table, "").map_err(|e| written(&table, &e))?;
    let rows = all_seeds(&options)?;
    let mut text = String::from("arm,plan,initiators,seed,measure,value\n");
    rows.iter().for_each(|row| text += &(row.line() + "\n"));
    std::fs::write(&table, text).map_err(|e| written(&table, &e))?;
    let report = Report { options: &options, rows: &rows };
    report.write(&written)?;
    options.bend.map_or(Ok(()), |bend| report.bends(bend))
}

fn all_seeds(options: &Options) -> Result<Vec<Row>, String> {
    let at_a_time =
        std::thread::available_parallelism().map_or(1, |n| n.get() / 2).clamp(1, options.seeds as usize);
    let next = AtomicU64::new(1);
    let played: Mutex<BTreeMap<u64, Result<Vec<Row>, String>>> = Mutex::default();
    std::thread::scope(|scope| {
        for _ in 0..at_a_time {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed > options.seeds {
                    return;
                }
                let rows = delegate(seed);
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
