//! Reading the platform's configuration and the operator's file: at the start, and again at each SIGHUP.
//!
//! A file that can't be opened for a moment, because the system has no descriptor or its disk fails, is read again for a
//! while: a start or a reload must not fail for that. A file whose text is wrong is reported, and what was read before
//! stays in force.

use super::error::Error;
use shaletack::config::{self, Config};
use shaletack::operator::{self, Operator};
use shaletack::runtime::sockets;
use std::time::{Duration, Instant};
use tokio::signal::unix::Signal;
use tracing::warn;

/// A file that can't be read just now is read again after this time,
const READ_INTERVAL: Duration = Duration::from_millis(20);
/// and no longer than this in all: discovery's move counts 4 s after SIGHUP.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// It can't be read just now: the system has no descriptor for it, or the disk fails.
    #[error("{0}")]
    Transient(String),
    /// It is not there, or what it says is wrong; each line is a fault.
    #[error("{0}")]
    Invalid(String),
}

impl From<ReadError> for Error {
    fn from(error: ReadError) -> Self {
        Error::Configuration(error.to_string())
    }
}

/// The platform's configuration, and the path that it was read from.
pub struct LoadedConfig {
    /// The configuration.
    pub config: Config,
    /// Its file.
    pub file: String,
}

/// Reads the platform's configuration at the start: the file named, or else that of `ROUTER_CONFIG`.
///
/// # Errors
/// No file is named, or it can't be read or used.
pub fn load(file: Option<String>) -> Result<LoadedConfig, Error> {
    let file = file.or_else(default_file).ok_or(Error::NoConfiguration)?;
    let config = read_at_start(|| read_config(&file, |name| std::env::var(name).ok()))?;
    Ok(LoadedConfig { config, file })
}

/// The file that the environment names.
pub fn default_file() -> Option<String> {
    std::env::var("ROUTER_CONFIG").ok()
}

/// Reads the operator's file at the start.
///
/// # Errors
/// It can't be read or used.
pub fn load_operator(file: &str) -> Result<Operator, Error> {
    Ok(read_at_start(|| read_operator(file))?)
}

/// Reads the platform's configuration once; what `env` knows goes before the file.
///
/// # Errors
/// It can't be read or used.
pub fn read_config(file: &str, env: impl Fn(&str) -> Option<String>) -> Result<Config, ReadError> {
    let mut text = read_file(file)?;
    config::read(&mut text, env).map_err(|fault| ReadError::Invalid(format!("{file}: {fault}")))
}

/// Reads the operator's file once.
///
/// # Errors
/// It can't be read or used.
pub fn read_operator(file: &str) -> Result<Operator, ReadError> {
    let mut text = read_file(file)?;
    operator::read(&mut text).map_err(|faults| {
        let lines: Vec<String> = faults.lines().iter().map(|fault| format!("{file}: {fault}")).collect();
        ReadError::Invalid(lines.join("\n"))
    })
}

fn read_file(file: &str) -> Result<Vec<u8>, ReadError> {
    std::fs::read(file).map_err(|error| {
        let why = format!("{file}: {error}");
        if sockets::is_transient(&error) {
            ReadError::Transient(why)
        } else {
            ReadError::Invalid(why)
        }
    })
}

/// Reads until that succeeds, fails for good, or takes too long; blocks meanwhile.
fn read_at_start<T>(read: impl Fn() -> Result<T, ReadError>) -> Result<T, ReadError> {
    let until = Instant::now() + READ_TIMEOUT;
    loop {
        match read() {
            Err(ReadError::Transient(_)) if Instant::now() < until => std::thread::sleep(READ_INTERVAL),
            done => return done,
        }
    }
}

/// The same, while clients are served.
async fn read_while_serving<T>(read: impl Fn() -> Result<T, ReadError>) -> Result<T, ReadError> {
    let until = Instant::now() + READ_TIMEOUT;
    loop {
        match read() {
            Err(ReadError::Transient(_)) if Instant::now() < until => {
                tokio::time::sleep(READ_INTERVAL).await;
            }
            done => return done,
        }
    }
}

/// Reads a file again at each SIGHUP and passes it to `apply`. One that can't be used is a line in the log; what was
/// read before stays in force.
pub async fn reload_at_each<T>(
    mut hangup: Signal,
    read: impl Fn() -> Result<T, ReadError>,
    mut apply: impl FnMut(T),
) {
    while hangup.recv().await.is_some() {
        match read_while_serving(&read).await {
            Ok(new) => apply(new),
            Err(faults) => {
                warn!(why = faults.to_string().replace('\n', "; "), "the new configuration is not used");
            }
        }
    }
}
