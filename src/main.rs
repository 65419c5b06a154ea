//! The `shaletack` command. Without a sub-command it serves as an initiator; `shaletack --help` lists the
//! sub-commands.

mod app;

use cap::Cap;
use shaletack::runtime::process_memory;
use std::alloc::System;
use std::process::ExitCode;

/// Counts what is allocated.
#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

fn main() -> ExitCode {
    process_memory::set_allocated_bytes(|| ALLOCATOR.allocated() as u64);
    match app::run(lexopt::Parser::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            for fault in error.to_string().lines() {
                eprintln!("shaletack: {fault}");
            }
            ExitCode::FAILURE
        }
    }
}
