//! Reads the platform's configuration and the operator's file at startup, and again at each SIGHUP.
//!
//! A transient failure, such as a lack of file descriptors or a disk error, must not fail a startup or a
//! reload, so the file is read again for a while. A file that is invalid is reported at once; after a failed
//! reload the previous configuration stays in force.

use super::error::Error;
use shaletack::config::{self, Config};
use shaletack::operator::{self, OperatorConfig};
use shaletack::runtime::sockets;
use std::time::{Duration, Instant};
use tokio::signal::unix::Signal;
use tracing::warn;

/// The time between attempts to read a file after a transient failure.
const READ_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// The time after which reading a file is given up. A reload may change the address of discovery, and that
/// change counts 4 s after SIGHUP.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// The error of a configuration file that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// Reading the file failed for a reason that may pass: the system is short of file descriptors, or the
    /// disk fails.
    #[error("{0}")]
    Transient(String),
    /// The file can't be opened or is invalid; the text has one line for each error.
    #[error("{0}")]
    Invalid(String),
}

impl From<ReadError> for Error {
    fn from(error: ReadError) -> Self {
        Error::Configuration(error.to_string())
    }
}

/// The platform's configuration and the path of its file.
pub struct LoadedConfig {
    /// The configuration.
    pub config: Config,
    /// The path of the file.
    pub file: String,
}

/// Reads the platform's configuration at startup, from `file` or else from the file in `ROUTER_CONFIG`.
/// Blocks while it retries after transient failures.
///
/// # Errors
/// No file is given, or the file can't be read or is invalid.
pub fn load(file: Option<String>) -> Result<LoadedConfig, Error> {
    let file = file.or_else(default_file).ok_or(Error::NoConfiguration)?;
    let config = read_with_retries(|| read_config(&file, |name| std::env::var(name).ok()))?;
    Ok(LoadedConfig { config, file })
}

/// Returns the path in `ROUTER_CONFIG`, if it is set.
pub fn default_file() -> Option<String> {
    std::env::var("ROUTER_CONFIG").ok()
}

/// Reads the operator's file at startup. Blocks while it retries after transient failures.
///
/// # Errors
/// The file can't be read or is invalid.
pub fn load_operator_config(file: &str) -> Result<OperatorConfig, Error> {
    Ok(read_with_retries(|| read_operator_config(file))?)
}

/// Reads the platform's configuration, with a single attempt. Variables that `env` returns take precedence
/// over the file.
///
/// # Errors
/// The file can't be read or is invalid.
pub fn read_config(file: &str, env: impl Fn(&str) -> Option<String>) -> Result<Config, ReadError> {
    let mut text = read_file(file)?;
    config::read(&mut text, env).map_err(|error| ReadError::Invalid(format!("{file}: {error}")))
}

/// Reads the operator's file, with a single attempt.
///
/// # Errors
/// The file can't be read or is invalid.
pub fn read_operator_config(file: &str) -> Result<OperatorConfig, ReadError> {
    let mut text = read_file(file)?;
    operator::read(&mut text).map_err(|errors| {
        let lines: Vec<String> = errors.lines().iter().map(|line| format!("{file}: {line}")).collect();
        ReadError::Invalid(lines.join("\n"))
    })
}

fn read_file(file: &str) -> Result<Vec<u8>, ReadError> {
    std::fs::read(file).map_err(|error| {
        let message = format!("{file}: {error}");
        if sockets::is_transient(&error) {
            ReadError::Transient(message)
        } else {
            ReadError::Invalid(message)
        }
    })
}

/// Calls `read` until it succeeds, fails for good, or [`READ_TIMEOUT`] is over. Blocks the thread.
fn read_with_retries<T>(read: impl Fn() -> Result<T, ReadError>) -> Result<T, ReadError> {
    let deadline = Instant::now() + READ_TIMEOUT;
    loop {
        match read() {
            Err(ReadError::Transient(_)) if Instant::now() < deadline => {
                std::thread::sleep(READ_RETRY_INTERVAL)
            }
            result => return result,
        }
    }
}

/// Like [`read_with_retries`], without blocking the thread that serves clients.
async fn read_with_retries_async<T>(read: impl Fn() -> Result<T, ReadError>) -> Result<T, ReadError> {
    let deadline = Instant::now() + READ_TIMEOUT;
    loop {
        match read() {
            Err(ReadError::Transient(_)) if Instant::now() < deadline => {
                tokio::time::sleep(READ_RETRY_INTERVAL).await;
            }
            result => return result,
        }
    }
}

/// Reads a file again at each SIGHUP and passes the result to `apply`. An error is logged, and the
/// configuration in force stays.
pub async fn reload_on_hangup<T>(
    mut hangup: Signal,
    read: impl Fn() -> Result<T, ReadError>,
    mut apply: impl FnMut(T),
) {
    while hangup.recv().await.is_some() {
        match read_with_retries_async(&read).await {
            Ok(new) => apply(new),
            Err(error) => {
                warn!(why = error.to_string().replace('\n', "; "), "the new configuration is not used");
            }
        }
    }
}
