//! One real initiator.

use std::process::ExitCode;

fn main() -> ExitCode {
    eprintln!("shaletack: serving is not built yet");
    ExitCode::FAILURE
}
