//! The operator's file for serving NBD: teams, their contracts, exports and the endpoints that hold them.
//!
//! A file is checked as a whole before anything of it counts, and all that is wrong is reported at once, each fault with its
//! path: an operator should not have to correct a file fault by fault. [`records`] is its form and its JSON Schema; what
//! a schema can't say, how the parts fit together, is checked after that.

mod check;
mod classes;
mod exports;
mod fault;
pub mod records;

use crate::endpoint_list::EndpointList;
use crate::interface::{Settings, VolumeId};
use records::File;
use shaletack_writeback::InDoubtPolicy;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

pub use fault::{Fault, Faults, Problem};

/// A part of an export that lies on one shard.
#[derive(Clone, Debug, PartialEq)]
pub struct Extent {
    /// Where it begins in the export, in bytes.
    pub export_offset: u64,
    /// How many bytes it holds.
    pub length: u64,
    /// The shard that holds it.
    pub shard: u16,
    /// Where it begins at the shard's endpoint, in bytes.
    pub endpoint_offset: u64,
}

/// One volume as clients see it.
#[derive(Clone, Debug, PartialEq)]
pub struct Export {
    /// The name that clients ask for.
    pub name: String,
    /// The team that it belongs to.
    pub team: String,
    /// Its volume.
    pub volume: VolumeId,
    /// Its plan, by number.
    pub plan: u16,
    /// Through how many initiators its requests come.
    pub initiators: f64,
    /// Its writes go to the write-back cache.
    pub write_back: bool,
    /// Its size in bytes.
    pub size: u64,
    /// Where its data lies, without gaps, in order.
    pub extents: Vec<Extent>,
}

/// Where the endpoint list is kept in etcd.
#[derive(Clone, Debug, PartialEq)]
pub struct Etcd {
    /// Its JSON gateway.
    pub address: SocketAddr,
    /// The prefix of the keys below which each endpoint has its entry.
    pub prefix: String,
}

/// How this initiator gossips with the others.
#[derive(Clone, Debug, PartialEq)]
pub struct Peers {
    /// This initiator's name, no other's.
    pub name: String,
    /// Where its peers reach it, by UDP and TCP.
    pub listen: SocketAddr,
    /// Peers that are tried at the start.
    pub join: Vec<SocketAddr>,
    /// The region of this initiator; empty: all are in one.
    pub region: String,
    /// Its zone within the region; empty: the region has one.
    pub zone: String,
}

/// The write-back cache.
#[derive(Clone, Debug, PartialEq)]
pub struct WriteBack {
    /// Where its log lies.
    pub folder: PathBuf,
    /// The log's sizes.
    pub log: shaletack_wal::LogConfig,
    /// The longest that an attempt may still run at an endpoint after its connection closed.
    pub attempt_lifetime: Duration,
    /// What becomes of a write that is not at its endpoint after that.
    pub in_doubt_policy: InDoubtPolicy,
    /// The most units a second that are sent to endpoints; 0: no limit.
    pub units_per_second: u64,
    /// A write that has waited so long is sent even while clients need its endpoint.
    pub max_age: Duration,
}

/// The classes that reads and writes belong to, by number.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Classes {
    /// Reads and flushes.
    pub read: u16,
    /// Reads of more than `large_read_threshold` bytes.
    pub large_read: u16,
    /// Writes.
    pub write: u16,
}

/// The whole file.
#[derive(Clone, Debug)]
pub struct Operator {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The scheduler's settings; their plans are the contracts of all teams.
    pub settings: Settings,
    /// How many bytes one unit stands for.
    pub unit_bytes: u32,
    /// Reads of more bytes than this are large.
    pub large_read_threshold: u32,
    /// The name of the export that the endpoints give.
    pub endpoint_export: String,
    /// The exports.
    pub exports: Vec<Export>,
    /// The endpoint list, as it is at the start.
    pub endpoints: EndpointList,
    /// Where the endpoint list is followed, if anywhere.
    pub etcd: Option<Etcd>,
    /// The version of this configuration, where it names one.
    pub version: Option<u64>,
    /// How this initiator gossips with others, if it does.
    pub peers: Option<Peers>,
    /// The write-back cache, if there is one.
    pub write_back: Option<WriteBack>,
    /// Which classes commands belong to.
    pub classes: Classes,
    /// How many file descriptors the process may hold.
    pub max_descriptors: usize,
}

/// The JSON Schema of the file.
pub fn schema() -> serde_json::Value {
    schemars::schema_for!(File).to_value()
}

/// Reads and checks the file's text; its bytes are overwritten.
///
/// # Errors
/// All that is wrong with it.
pub fn read(text: &mut [u8]) -> Result<Operator, Faults> {
    let value: serde_json::Value = simd_json::serde::from_slice(text).map_err(Problem::NotJson)?;
    check_schema(&value)?;
    let file: File = serde_json::from_value(value).map_err(Problem::NotARecord)?;
    check::check(file)
}

fn check_schema(value: &serde_json::Value) -> Result<(), Faults> {
    let validator =
        jsonschema::validator_for(&schema()).map_err(|error| Problem::BadSchema(Box::new(error)))?;
    let mut faults = Faults::default();
    for error in validator.iter_errors(value) {
        let path = error.instance_path().as_str().to_owned();
        faults.add(path, Problem::AgainstSchema(Box::new(error.to_owned())));
    }
    if faults.is_empty() {
        Ok(())
    } else {
        Err(faults)
    }
}
