//! The sub-commands that serve no clients: they check a configuration, list and settle buffered writes, and
//! print the peer status, the schema and the version.

use super::command_line::{Settlement, Source};
use super::configuration::{load, load_operator_config};
use super::error::Error;
use shaletack::operator::{self, OperatorConfig};
use shaletack::peers;
use shaletack::writeback::offline;
use std::io::{ErrorKind, Write};

/// Checks a configuration file and prints a summary if it is valid.
///
/// # Errors
/// The file can't be read or is invalid.
pub fn check_config(source: Source) -> Result<(), Error> {
    match source {
        Source::Platform(file) => {
            let config = load(file)?.config;
            let (endpoints, plans) = (config.cached_endpoints.entries.len(), config.settings.plans.len());
            println!(
                "configuration of {} is valid: {endpoints} cached endpoints, {plans} plans",
                config.name
            );
        }
        Source::Operator(file) => {
            let config = load_operator_config(&file)?;
            let (exports, plans) = (config.exports.len(), config.settings.plans.len());
            let endpoints = config.endpoints.entries.len();
            println!("{file} is valid: {exports} exports, {plans} contracts, {endpoints} endpoints");
        }
    }
    Ok(())
}

/// Prints the writes that a stopped process left unsettled, one per line.
///
/// # Errors
/// The operator's file or its write-back log can't be read.
pub fn list_writes(file: &str) -> Result<(), Error> {
    let config = load_operator_config(file)?;
    for write in offline::list(&config)? {
        println!(
            "{} export={} from={} length={} shard={} at={} may_have_run={}",
            write.id,
            export_name(&config, write.volume),
            write.export_offset,
            write.length,
            write.shard,
            write.endpoint_offset,
            write.may_have_run
        );
    }
    Ok(())
}

/// Returns the name of the export of a volume, or `?` if the file has none.
fn export_name(config: &OperatorConfig, volume: u64) -> &str {
    let export = config.exports.iter().find(|export| export.volume == volume);
    export.map_or("?", |export| export.name.as_str())
}

/// Settles a write that a stopped process left unsettled.
///
/// # Errors
/// The operator's file can't be read, its write-back log can't be read or written, or the write is unknown or
/// needs no decision.
pub fn settle_write(file: &str, settlement: Settlement) -> Result<(), Error> {
    let config = load_operator_config(file)?;
    offline::settle(&config, settlement.id, settlement.decision)?;
    Ok(())
}

/// Prints as JSON what the process that runs with this file knows of its peers.
///
/// # Errors
/// The file can't be read or does not configure peers, or the process does not answer.
pub fn show_peers(file: String) -> Result<(), Error> {
    let Some(peers) = load_operator_config(&file)?.peers else { return Err(Error::NoPeers { file }) };
    let address = peers.listen;
    let status = actix_rt::System::new().block_on(peers::status(address));
    println!("{}", status.map_err(|error| Error::PeerStatus { address, source: error.into() })?);
    Ok(())
}

/// Prints the JSON Schema of the operator's file.
///
/// # Errors
/// Writing to standard output fails, except with a broken pipe: a reader may stop early.
pub fn print_schema() -> Result<(), Error> {
    match writeln!(std::io::stdout(), "{:#}", operator::schema()) {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => Err(Error::Output(error)),
        _ => Ok(()),
    }
}

/// Prints the version.
pub fn print_version() {
    println!("shaletack {}", env!("CARGO_PKG_VERSION"));
}
