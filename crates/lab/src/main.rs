//! `shaletack-lab`: experiments, selected by name, that write their results as tables and charts.
//!
//! Some run in virtual time from fixed seeds, with the program's own reducers ([`fleet`]) against model
//! endpoints ([`model`]). Others run in real time: on real sockets ([`hollow`]), or with one real process of
//! the program ([`slopes`]). They measure what external benchmarks cannot show. All decisions are made by the
//! program's own code; the experiments only supply its inputs.

mod fleet;
mod hollow;
mod model;
mod mutants;
mod restart;
mod scale;
mod slopes;
mod stubs;

use cap::Cap;
use lexopt::Arg::{Long, Short, Value};
use lexopt::ValueExt;
use std::alloc::System;
use std::path::PathBuf;
use std::process::ExitCode;

/// Counts the bytes that are allocated, for the memory figures of [`scale`].
#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

const USAGE: &str = "usage: shaletack-lab restart [--seeds N] [--out DIR], or shaletack-lab scale --help
       shaletack-lab hollow --program FILE [--initiators N] [--processes P] [--seconds T]
         [--volumes V] [--out DIR]
       shaletack-lab slopes --program FILE [--only PART] [--out DIR]
       shaletack-lab mutants [--only NAME] [--jobs N]
  restart   an initiator is killed and returns with a stale list, amid drains, failing and cold boxes
  slopes    one real process, by what it costs for each client, request, box and restart, in real time
  --program the program's binary
  --only    one of idle-http, idle-nbd, rate-http, rate-http-880, rate-nbd, rate-nbd-880, list, restart (all)
  --seeds   so many seeds, from 1 (20)
  hollow    initiators without clients on real sockets beside real processes of the program at FILE
  --initiators  so many without clients, 1 to 1000 (100)
  --processes   so many real ones, 9 to 20 (9)
  --seconds     so long is measured while nothing happens, 1 to 600 (30); the rest takes five minutes at most
  --volumes     then, for as long, so many of 1000 are used at each without clients, 0 to 1000 (0)
  --out     where tables and charts go (.)
  mutants   seeded faults of gossip and aggregation, each of which a test has to find; at the project's root
  --only    the mutant of that name alone
  --jobs    so many at once, in builds and tests, from 1 (2)";

fn run() -> Result<(), String> {
    let (mut name, mut seeds, mut out) = (None, 20u64, PathBuf::from("."));
    let mut hollow =
        hollow::Options { initiators: 100, processes: 9, program: PathBuf::new(), seconds: 30, volumes: 0 };
    let (mut only, mut jobs) = (None::<String>, 2usize);
    let mut args = lexopt::Parser::from_env();
    let usage_error = |e: lexopt::Error| format!("{e}\n{USAGE}");
    while let Some(arg) = args.next().map_err(usage_error)? {
        match arg {
            Long("seeds") => seeds = args.value().and_then(|v| v.parse()).map_err(usage_error)?,
            Long("out") => out = args.value().map_err(usage_error)?.into(),
            Long("initiators") => {
                hollow.initiators = args.value().and_then(|v| v.parse()).map_err(usage_error)?
            }
            Long("processes") => {
                hollow.processes = args.value().and_then(|v| v.parse()).map_err(usage_error)?
            }
            Long("seconds") => hollow.seconds = args.value().and_then(|v| v.parse()).map_err(usage_error)?,
            Long("volumes") => hollow.volumes = args.value().and_then(|v| v.parse()).map_err(usage_error)?,
            Long("program") => hollow.program = args.value().map_err(usage_error)?.into(),
            Long("only") => only = Some(args.value().and_then(|v| v.string()).map_err(usage_error)?),
            Long("jobs") => jobs = args.value().and_then(|v| v.parse()).map_err(usage_error)?,
            Long("help") | Short('h') => {
                println!("{USAGE}");
                return Ok(());
            }
            Value(argument) if name.is_none() && argument == "scale" => return scale::run(args),
            Value(argument) if name.is_none() => name = Some(argument.string().map_err(usage_error)?),
            other => return Err(usage_error(other.unexpected())),
        }
    }
    if name.as_deref() == Some("mutants") && jobs > 0 {
        return mutants::run(only.as_deref(), jobs);
    }
    std::fs::create_dir_all(&out).map_err(|e| format!("{}: {e}", out.display()))?;
    match name.as_deref() {
        Some("hollow") => hollow::run(&hollow, &out).map_err(|error| error.to_string()),
        Some("restart") if seeds > 0 => restart::run(seeds, &out),
        Some("slopes") if hollow.program.as_os_str().is_empty() => {
            Err(format!("slopes: --program is required\n{USAGE}"))
        }
        Some("slopes") => {
            slopes::run(&hollow.program, only.as_deref(), &out).map_err(|error| error.to_string())
        }
        _ => Err(USAGE.into()),
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("shaletack-lab: {error}");
            ExitCode::FAILURE
        }
    }
}
