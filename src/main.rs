//! One real initiator. Bare, it serves; see the sub-commands below.

use lexopt::prelude::*;
use shaletack::broker::{Broker, Clock, Input};
use shaletack::config::{self, Config};
use shaletack::net::{boxes, front, host, watch};
use std::process::ExitCode;
use std::time::{Instant, SystemTime};
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};

const USAGE: &str = "\
usage: shaletack [serve] [--config FILE]    serve until SIGTERM (the default)
       shaletack check-config [FILE]        read a configuration, say what is wrong with it
       shaletack version                    print the version
The configuration's file is FILE, or else $ROUTER_CONFIG.";

/// Descriptors kept for what is neither a client's nor a box's connection.
const SPARE_SOCKETS: usize = 32;

enum Command {
    Serve(Option<String>),
    CheckConfig(Option<String>),
    Version,
    Help,
}

fn main() -> ExitCode {
    let done = match command(lexopt::Parser::from_env()) {
        Ok(Command::Serve(file)) => load(file).and_then(serve),
        Ok(Command::CheckConfig(file)) => load(file).map(|config| {
            let (boxes, plans) = (config.known.entries.len(), config.settings.plans.len());
            println!("configuration of {} is sound: {boxes} boxes known, {plans} plans", config.name);
        }),
        Ok(Command::Version) => {
            println!("shaletack {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Ok(Command::Help) => {
            println!("{USAGE}");
            Ok(())
        }
        Err(error) => Err(format!("{error}; see shaletack --help")),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("shaletack: {fault}");
            ExitCode::FAILURE
        }
    }
}

fn command(mut args: lexopt::Parser) -> Result<Command, lexopt::Error> {
    let (mut name, mut file) = (None, None);
    while let Some(arg) = args.next()? {
        match arg {
            Long("config") => file = Some(args.value()?.string()?),
            Long("help") | Short('h') => return Ok(Command::Help),
            Long("version") | Short('V') => return Ok(Command::Version),
            Value(word) if name.is_none() => name = Some(word.string()?),
            Value(word) if name.as_deref() == Some("check-config") => file = Some(word.string()?),
            other => return Err(other.unexpected()),
        }
    }
    match name.as_deref() {
        None | Some("serve") => Ok(Command::Serve(file)),
        Some("check-config") => Ok(Command::CheckConfig(file)),
        Some("version") => Ok(Command::Version),
        Some("help") => Ok(Command::Help),
        Some(other) => Err(format!("'{other}' is not a sub-command").into()),
    }
}

fn load(file: Option<String>) -> Result<Config, String> {
    let file = file.or_else(|| std::env::var("ROUTER_CONFIG").ok());
    let file = file.ok_or("no configuration: name a file, or set ROUTER_CONFIG")?;
    let mut text = std::fs::read(&file).map_err(|e| format!("{file}: {e}"))?;
    config::read(&mut text, |name| std::env::var(name).ok()).map_err(|fault| format!("{file}: {fault}"))
}

fn serve(config: Config) -> Result<(), String> {
    actix_rt::System::new().block_on(run(config))
}

async fn run(config: Config) -> Result<(), String> {
    let Config { name, listen, discovery, seed, sockets, known, settings } = config;
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("no signals: {e}"))?;
    let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let now = Instant::now();
    let broker = Broker::new(settings.clone(), seed, Clock::new(now, unix), now);
    let host = host::Host::start(broker);
    let revision = known.revision;
    host::log(&format!("{name} starts: {} boxes known of revision {revision}", known.entries.len()));
    host.feed(Input::List(known));
    actix_rt::spawn(watch::follow(host.clone(), discovery, revision));
    let listener = TcpListener::bind(listen).await.map_err(|e| format!("{listen}: {e}"))?;
    let rest = sockets.saturating_sub(SPARE_SOCKETS);
    let client = boxes::client(&settings, rest / 3);
    let front = front::Front { host, settings, client, most: rest - rest / 3 };
    front::serve(front, listener, async move {
        term.recv().await;
    })
    .await;
    Ok(())
}
