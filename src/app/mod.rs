//! The `shaletack` program: parses the command line, loads the configuration and runs one of the two servers
//! or a sub-command.

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

/// Parses the command line and runs its sub-command.
///
/// # Errors
/// See [`Error`]; its text has one line for each error found.
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
            let inherited = serve_platform::inherited_listener()?;
            actix_rt::System::new().block_on(serve_platform::serve(file, inherited))
        }
        Source::Operator(file) => {
            let config = configuration::load_operator_config(&file)?;
            actix_rt::System::new().block_on(serve_nbd::serve(config, file))
        }
    }
}

/// Streams of the signals that the program handles.
struct Signals {
    /// SIGTERM: shuts the program down gracefully.
    terminate: Signal,
    /// SIGHUP: reloads the configuration.
    hangup: Signal,
}

impl Signals {
    /// Installs the handlers of both signals. Call this before anything is served: a signal that arrives
    /// without a handler ends the process.
    fn install() -> Result<Self, Error> {
        let terminate = signal(SignalKind::terminate()).map_err(Error::Signals)?;
        let hangup = signal(SignalKind::hangup()).map_err(Error::Signals)?;
        Ok(Signals { terminate, hangup })
    }
}

/// Returns the core's clock for a process that inherits none from a predecessor. The clock may start at any
/// reading; it starts at Unix time because the clock of a predecessor whose version hands over no clock
/// started there.
fn fresh_clock() -> Clock {
    let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    Clock::new(Instant::now(), unix)
}
