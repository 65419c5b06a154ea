//! The `shaletack` command. Without a sub-command it serves as an initiator; `shaletack --help` lists the
//! sub-commands.

mod app;

use std::process::ExitCode;

fn main() -> ExitCode {
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
