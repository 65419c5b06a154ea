//! Parses the command line into a [`Command`] and the log options, and holds the usage text.

use lexopt::prelude::*;
use shaletack::runtime::log::LogFormat;
use shaletack_writeback::OperatorDecision;
use tracing::level_filters::LevelFilter;

/// The text that `shaletack --help` prints.
pub const USAGE: &str = "\
usage: shaletack [serve] [--config FILE]    serve HTTP with the platform's configuration (default)
       shaletack serve --operator FILE      serve NBD with the operator's file
       shaletack check-config [FILE]        check the platform's configuration and print any error
       shaletack check-config --operator FILE
                                            check an operator's file and print all errors
       shaletack writeback list --operator FILE
                                            list the writes that a stopped process left unsettled
       shaletack writeback settle ID resend|drop --operator FILE
                                            settle one of those writes
       shaletack peers --operator FILE      print the peer status of the running process as JSON
       shaletack schema                     print the JSON Schema of the operator's file
       shaletack version                    print the version
       --log-form text|json                 log format on standard error (default: text)
       --log-level error|warn|info|debug    minimum level of logged events (default: info)
SIGTERM stops a serving process, SIGHUP reloads its file.
The platform's configuration is read from FILE, or else from $ROUTER_CONFIG.";

/// The configuration file, which also selects the front to serve.
pub enum Source {
    /// The platform's configuration, for the HTTP front; without a path, the file in `ROUTER_CONFIG`.
    Platform(Option<String>),
    /// The operator's file, for the NBD front.
    Operator(String),
}

/// An operator's decision on an unsettled write, made while the program is stopped.
pub struct Settlement {
    /// The id of the write, as `writeback list` prints it.
    pub id: u64,
    /// Whether the write is sent again or dropped.
    pub decision: OperatorDecision,
}

/// A sub-command with its arguments.
pub enum Command {
    /// Serves until SIGTERM.
    Serve(Source),
    /// Checks a configuration file and reports its errors.
    CheckConfig(Source),
    /// Lists the unsettled writes of the write-back log that this operator's file configures.
    ListWrites(String),
    /// Settles one of those writes.
    SettleWrite(String, Settlement),
    /// Prints the peer status of the process that runs with this operator's file.
    Peers(String),
    /// Prints the JSON Schema of the operator's file.
    Schema,
    /// Prints the version.
    Version,
    /// Prints the usage text.
    Help,
}

/// The format and the level of the log.
pub struct LogOptions {
    /// Text or JSON.
    pub form: LogFormat,
    /// The minimum level of logged events.
    pub level: LevelFilter,
}

/// The positional arguments and options of a command line, before they are checked against the sub-command.
#[derive(Default)]
struct Arguments {
    command: Option<String>,
    config: Option<String>,
    operator: Option<String>,
    /// The positional arguments after `writeback`.
    write_back: Vec<String>,
}

/// Parses the command line.
///
/// # Errors
/// The sub-command or an option is unknown, an option has an invalid value, or one that the sub-command
/// requires is missing.
pub fn parse(mut args: lexopt::Parser) -> Result<(Command, LogOptions), lexopt::Error> {
    let mut log = LogOptions { form: LogFormat::Text, level: LevelFilter::INFO };
    let mut arguments = Arguments::default();
    while let Some(arg) = args.next()? {
        match arg {
            Long("config") => arguments.config = Some(args.value()?.string()?),
            Long("operator") => arguments.operator = Some(args.value()?.string()?),
            Long("log-form") => log.form = args.value()?.parse()?,
            Long("log-level") => log.level = args.value()?.parse()?,
            Long("help") | Short('h') => return Ok((Command::Help, log)),
            Long("version") | Short('V') => return Ok((Command::Version, log)),
            Value(value) if arguments.command.is_none() => arguments.command = Some(value.string()?),
            Value(value) if arguments.command.as_deref() == Some("check-config") => {
                arguments.config = Some(value.string()?);
            }
            Value(value) if arguments.command.as_deref() == Some("writeback") => {
                arguments.write_back.push(value.string()?);
            }
            other => return Err(other.unexpected()),
        }
    }
    Ok((arguments.into_command()?, log))
}

impl Arguments {
    fn into_command(self) -> Result<Command, lexopt::Error> {
        if self.command.as_deref() == Some("writeback") {
            return self.into_write_back_command();
        }
        let source = self.operator.map_or(Source::Platform(self.config), Source::Operator);
        let command = match self.command.as_deref() {
            None | Some("serve") => Command::Serve(source),
            Some("check-config") => Command::CheckConfig(source),
            Some("peers") => match source {
                Source::Operator(file) => Command::Peers(file),
                Source::Platform(_) => return Err("peers: missing option --operator FILE".into()),
            },
            Some("schema") => Command::Schema,
            Some("version") => Command::Version,
            Some("help") => Command::Help,
            Some(other) => return Err(format!("unknown sub-command '{other}'").into()),
        };
        Ok(command)
    }

    fn into_write_back_command(self) -> Result<Command, lexopt::Error> {
        let file = self.operator.ok_or("writeback: missing option --operator FILE")?;
        let arguments: Vec<&str> = self.write_back.iter().map(String::as_str).collect();
        let (id, decision) = match arguments[..] {
            ["list"] => return Ok(Command::ListWrites(file)),
            ["settle", id, "resend"] => (id, OperatorDecision::Resend),
            ["settle", id, "drop"] => (id, OperatorDecision::Drop),
            _ => return Err("writeback: expected 'list', 'settle ID resend' or 'settle ID drop'".into()),
        };
        let id = id
            .parse()
            .map_err(|_| format!("writeback: '{id}' is not a write id, which is a whole number"))?;
        Ok(Command::SettleWrite(file, Settlement { id, decision }))
    }
}
