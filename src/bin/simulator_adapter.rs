//! Runs the simulator adapter on standard input and output. One process hosts many schedulers.

use std::io::{self, BufReader, BufWriter, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    match shaletack::simulator::serve(&mut input, &mut output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let _ = output.flush();
            eprintln!("shaletack-drill: {error}");
            ExitCode::FAILURE
        }
    }
}
