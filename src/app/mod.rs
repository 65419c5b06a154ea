//! The program: its command line, the files that set it up, and the two servers, put together from the library's parts.

mod command_line;
mod commands;
mod configuration;
mod error;
mod serve_nbd;
mod serve_platform;

use command_line::{Command, Source};
use error::Error;
use shaletack::broker::Clock;
use shaletack::runtime::log;
use std::time::{Instant, SystemTime};
use tokio::signal::unix::{signal, Signal, SignalKind};

/// Does what the command line says.
///
/// # Errors
/// See [`Error`]; each line of its text is a fault.
pub fn run(args: lexopt::Parser) -> Result<(), Error> {
    let (command, log_options) = command_line::parse(args)?;
    match command {
        Command::Serve(source) => {
            log::init(log_options.form, log_options.level);
            serve(source)
        }
        Command::CheckConfig(source) => commands::check_config(source),
        Command::ListWrites(file) => commands::list_writes(&file),
        Command::SettleWrite(file, settlement) => commands::settle_write(&file, settlement),
        Command::Peers(file) => commands::show_peers(file),
        Command::Schema => commands::print_schema(),
        Command::Version => {
            commands::print_version();
            Ok(())
        }
        Command::Help => {
            println!("{}", command_line::USAGE);
            Ok(())
        }
    }
}

fn serve(source: Source) -> Result<(), Error> {
    match source {
        Source::Platform(file) => {
            let held = serve_platform::held_socket()?;
            actix_rt::System::new().block_on(serve_platform::serve(file, held))
        }
        Source::Operator(file) => {
            let operator = configuration::load_operator(&file)?;
            actix_rt::System::new().block_on(serve_nbd::serve(operator, file))
        }
    }
}

/// The signals that the program is told by.
struct Signals {
    /// SIGTERM: a planned stop.
    terminate: Signal,
    /// SIGHUP: read the configuration again.
    hangup: Signal,
}

impl Signals {
    /// Takes both. That comes before anything is served: a signal that came earlier would end the process.
    fn take() -> Result<Self, Error> {
        let terminate = signal(SignalKind::terminate()).map_err(Error::Signals)?;
        let hangup = signal(SignalKind::hangup()).map_err(Error::Signals)?;
        Ok(Signals { terminate, hangup })
    }
}

/// The core's clock of a process without a predecessor. It may begin at any time; versions that hand nothing of their
/// clock over began at Unix time.
fn fresh_clock() -> Clock {
    let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    Clock::new(Instant::now(), unix)
}
