//! The command line: sub-commands, their options, and the usage text.

use lexopt::prelude::*;
use shaletack::runtime::log::LogFormat;
use shaletack_writeback::OperatorDecision;
use tracing::level_filters::LevelFilter;

/// What `shaletack --help` prints.
pub const USAGE: &str = "\
usage: shaletack [serve] [--config FILE]    serve the platform until SIGTERM (the default)
       shaletack serve --operator FILE      serve NBD as the operator's file says
       shaletack check-config [FILE]        read a configuration and say what is wrong with it
       shaletack check-config --operator FILE
       shaletack writeback list --operator FILE
       shaletack writeback settle ID resend|drop --operator FILE
                                            what a stopped process left unsettled, and to settle it
       shaletack peers --operator FILE      what the running process of that file sees of its peers, as JSON
       shaletack schema                     print the JSON Schema of the operator's file
       shaletack version                    print the version
       --log-form text|json                 the form of the log on standard error (text)
       --log-level error|warn|info|debug    the least level that is written (info)
The configuration's file is FILE, or else $ROUTER_CONFIG.";

/// Which front, and the file that sets it up.
pub enum Source {
    /// The platform's configuration; without a path, that of `ROUTER_CONFIG`.
    Platform(Option<String>),
    /// The operator's file, which sets up NBD.
    Operator(String),
}

/// A write that an operator settles while the program is stopped.
pub struct Settlement {
    /// The write's number, as `writeback list` shows it.
    pub id: u64,
    /// What becomes of it.
    pub decision: OperatorDecision,
}

/// A sub-command.
pub enum Command {
    /// Serve until SIGTERM.
    Serve(Source),
    /// Read a configuration and say what is wrong with it.
    CheckConfig(Source),
    /// Show the unsettled writes of that operator's file.
    ListWrites(String),
    /// Settle a write of that operator's file.
    SettleWrite(String, Settlement),
    /// Show what the running process of that operator's file sees of its peers.
    Peers(String),
    /// Print the JSON Schema of the operator's file.
    Schema,
    /// Print the version.
    Version,
    /// Print the usage.
    Help,
}

/// How the log is written.
pub struct LogOptions {
    /// Text or JSON.
    pub form: LogFormat,
    /// The least level that is written.
    pub level: LevelFilter,
}

/// The words and options of a command line, before they are put together.
#[derive(Default)]
struct Words {
    command: Option<String>,
    config: Option<String>,
    operator: Option<String>,
    write_back: Vec<String>,
}

/// Reads the command line.
///
/// # Errors
/// It names no known sub-command or option, or lacks one that its sub-command needs.
pub fn parse(mut args: lexopt::Parser) -> Result<(Command, LogOptions), lexopt::Error> {
    let mut log = LogOptions { form: LogFormat::Text, level: LevelFilter::INFO };
    let mut words = Words::default();
    while let Some(arg) = args.next()? {
        match arg {
            Long("config") => words.config = Some(args.value()?.string()?),
            Long("operator") => words.operator = Some(args.value()?.string()?),
            Long("log-form") => log.form = args.value()?.parse()?,
            Long("log-level") => log.level = args.value()?.parse()?,
            Long("help") | Short('h') => return Ok((Command::Help, log)),
            Long("version") | Short('V') => return Ok((Command::Version, log)),
            Value(word) if words.command.is_none() => words.command = Some(word.string()?),
            Value(word) if words.command.as_deref() == Some("check-config") => {
                words.config = Some(word.string()?);
            }
            Value(word) if words.command.as_deref() == Some("writeback") => {
                words.write_back.push(word.string()?);
            }
            other => return Err(other.unexpected()),
        }
    }
    Ok((words.into_command()?, log))
}

impl Words {
    fn into_command(self) -> Result<Command, lexopt::Error> {
        if self.command.as_deref() == Some("writeback") {
            return self.into_write_back();
        }
        let source = self.operator.map_or(Source::Platform(self.config), Source::Operator);
        let command = match self.command.as_deref() {
            None | Some("serve") => Command::Serve(source),
            Some("check-config") => Command::CheckConfig(source),
            Some("peers") => match source {
                Source::Operator(file) => Command::Peers(file),
                Source::Platform(_) => return Err("peers: --operator FILE is needed".into()),
            },
            Some("schema") => Command::Schema,
            Some("version") => Command::Version,
            Some("help") => Command::Help,
            Some(other) => return Err(format!("'{other}' is not a sub-command").into()),
        };
        Ok(command)
    }

    fn into_write_back(self) -> Result<Command, lexopt::Error> {
        let file = self.operator.ok_or("writeback: --operator FILE is needed")?;
        let words: Vec<&str> = self.write_back.iter().map(String::as_str).collect();
        let (id, decision) = match words[..] {
            ["list"] => return Ok(Command::ListWrites(file)),
            ["settle", id, "resend"] => (id, OperatorDecision::Resend),
            ["settle", id, "drop"] => (id, OperatorDecision::Drop),
            _ => return Err("writeback: 'list', or 'settle' with a number and 'resend' or 'drop'".into()),
        };
        let id = id.parse().map_err(|_| format!("writeback: '{id}' is not a number"))?;
        Ok(Command::SettleWrite(file, Settlement { id, decision }))
    }
}
