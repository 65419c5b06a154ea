//! `shaletack-lab`: experiments by name, in virtual time and from fixed seeds, whose results are kept as a table
//! and a chart. It owns a fleet of the real reducers ([`fleet`]) and model boxes ([`model`]), and shows only
//! what the benches outside cannot. It decides nothing: what it plays is the program's own core.

mod fleet;
mod model;
mod restart;
mod scale;

use cap::Cap;
use lexopt::prelude::*;
use std::alloc::System;
use std::path::PathBuf;
use std::process::ExitCode;

/// Counts what is in use.
#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

const USAGE: &str = "usage: shaletack-lab restart [--seeds N] [--out DIR], or shaletack-lab scale --help
  restart   an initiator is killed and returns with a stale list, amid drains, failing and cold boxes
  --seeds   so many seeds, from 1 (20)
  --out     where table and chart go (.)";

fn run() -> Result<(), String> {
    let (mut name, mut seeds, mut out) = (None, 20u64, PathBuf::from("."));
    let mut args = lexopt::Parser::from_env();
    let told = |e: lexopt::Error| format!("{e}\n{USAGE}");
    while let Some(arg) = args.next().map_err(told)? {
        match arg {
            Long("seeds") => seeds = args.value().and_then(|v| v.parse()).map_err(told)?,
            Long("out") => out = args.value().map_err(told)?.into(),
            Long("help") | Short('h') => {
                println!("{USAGE}");
                return Ok(());
            }
            Value(word) if name.is_none() && word == "scale" => return scale::run(args),
            Value(word) if name.is_none() => name = Some(word.string().map_err(told)?),
            other => return Err(told(other.unexpected())),
        }
    }
    std::fs::create_dir_all(&out).map_err(|e| format!("{}: {e}", out.display()))?;
    match name.as_deref() {
        Some("restart") if seeds > 0 => restart::run(seeds, &out),
        _ => Err(USAGE.into()),
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("shaletack-lab: {why}");
            ExitCode::FAILURE
        }
    }
}
