//! The sub-commands that serve no clients: checking a configuration, showing and settling buffered writes, showing
//! peers, the schema, the version and the usage.

use super::command_line::{Settlement, Source};
use super::configuration::{load, load_operator};
use super::error::Error;
use shaletack::operator::{self, Operator};
use shaletack::peers;
use shaletack::writeback::offline;
use std::io::{ErrorKind, Write};

/// Reads a configuration and says that it can be used.
///
/// # Errors
/// It can't be.
pub fn check_config(source: Source) -> Result<(), Error> {
    match source {
        Source::Platform(file) => {
            let config = load(file)?.config;
            let (boxes, plans) = (config.known.entries.len(), config.settings.plans.len());
            println!("configuration of {} is sound: {boxes} boxes known, {plans} plans", config.name);
        }
        Source::Operator(file) => {
            let operator = load_operator(&file)?;
            let (exports, plans) = (operator.exports.len(), operator.settings.plans.len());
            let boxes = operator.endpoints.entries.len();
            println!("{file} is sound: {exports} exports, {plans} contracts, {boxes} boxes");
        }
    }
    Ok(())
}

/// Prints the writes that a stopped process left unsettled, one a line.
///
/// # Errors
/// The file or its log can't be read.
pub fn list_writes(file: &str) -> Result<(), Error> {
    let operator = load_operator(file)?;
    for write in offline::list(&operator)? {
        println!(
            "{} export={} from={} length={} shard={} at={} may_have_run={}",
            write.id,
            export_name(&operator, write.volume),
            write.export_offset,
            write.length,
            write.shard,
            write.endpoint_offset,
            write.may_have_run
        );
    }
    Ok(())
}

fn export_name(operator: &Operator, volume: u64) -> &str {
    let export = operator.exports.iter().find(|export| export.volume == volume);
    export.map_or("?", |export| export.name.as_str())
}

/// Settles a write that a stopped process left.
///
/// # Errors
/// The file or its log can't be read or written, or there is no such write to settle.
pub fn settle_write(file: &str, settlement: Settlement) -> Result<(), Error> {
    let operator = load_operator(file)?;
    offline::settle(&operator, settlement.id, settlement.decision)?;
    Ok(())
}

/// Prints what the running process of that file sees of its peers, as JSON.
///
/// # Errors
/// The file sets up no peers, or the process does not answer.
pub fn show_peers(file: String) -> Result<(), Error> {
    let Some(peers) = load_operator(&file)?.peers else { return Err(Error::NoPeers { file }) };
    let address = peers.listen;
    let status = actix_rt::System::new().block_on(peers::status(address));
    println!("{}", status.map_err(|why| Error::PeerStatus { address, source: why.into() })?);
    Ok(())
}

/// Prints the JSON Schema of the operator's file.
///
/// # Errors
/// Standard output can't be written; that its reader stops early is none.
pub fn print_schema() -> Result<(), Error> {
    match writeln!(std::io::stdout(), "{:#}", operator::schema()) {
        Err(why) if why.kind() != ErrorKind::BrokenPipe => Err(Error::Output(why)),
        _ => Ok(()),
    }
}

/// Prints the version.
pub fn print_version() {
    println!("shaletack {}", env!("CARGO_PKG_VERSION"));
}
