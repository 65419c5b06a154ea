//! The operator's file, which sets up the NBD front: teams, their contracts, exports, and the endpoints that
//! hold their data.
//!
//! A file is checked as a whole before any part of it takes effect. All errors are reported at once, each
//! with the path of its value, so that an operator need not correct a file error by error. [`records`]
//! defines the JSON Schema of the file; what a schema can't express, such as the consistency of its parts, is
//! checked after that.

mod check;
mod classes;
mod exports;
pub mod records;
mod validation_error;

use crate::endpoint_list::EndpointList;
use crate::interface::{Settings, VolumeId};
use records::OperatorFile;
use shaletack_writeback::InDoubtPolicy;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

pub use validation_error::{ValidationError, ValidationErrorKind, ValidationErrors};

/// A part of an export that one shard holds.
#[derive(Clone, Debug, PartialEq)]
pub struct Extent {
    /// The offset in the export, in bytes.
    pub export_offset: u64,
    /// The length, in bytes.
    pub length: u64,
    /// The shard that holds the extent.
    pub shard: u16,
    /// The offset at the shard's endpoint, in bytes.
    pub endpoint_offset: u64,
}

/// One volume as an NBD export.
#[derive(Clone, Debug, PartialEq)]
pub struct Export {
    /// The export name that clients request.
    pub name: String,
    /// The team that owns the volume.
    pub team: String,
    /// The volume.
    pub volume: VolumeId,
    /// The number of the plan in the settings.
    pub plan: u16,
    /// The number of initiators that send requests of this volume.
    pub initiators: f64,
    /// Whether writes go to the write-back cache.
    pub write_back: bool,
    /// The size, in bytes.
    pub size: u64,
    /// The extents that hold the data, in order and without gaps.
    pub extents: Vec<Extent>,
}

/// Where etcd holds the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Etcd {
    /// The address of etcd's JSON gateway.
    pub address: SocketAddr,
    /// The key prefix below which each endpoint has its entry.
    pub prefix: String,
}

/// The settings of gossip with the other initiators.
#[derive(Clone, Debug, PartialEq)]
pub struct Peers {
    /// The name of this initiator, unique among the initiators.
    pub name: String,
    /// The address at which peers reach this initiator, by both UDP and TCP.
    pub listen: SocketAddr,
    /// The addresses of peers to contact at startup.
    pub join: Vec<SocketAddr>,
    /// The region of this initiator; empty: all initiators are in one region.
    pub region: String,
    /// The zone within the region; empty: the region has one zone.
    pub zone: String,
}

/// The settings of the write-back cache.
#[derive(Clone, Debug, PartialEq)]
pub struct WriteBack {
    /// The directory of the log.
    pub folder: PathBuf,
    /// The sizes of the log.
    pub log: shaletack_wal::LogConfig,
    /// The longest time that an attempt may still run at an endpoint after its connection closed.
    pub attempt_lifetime: Duration,
    /// What happens to a write that is not at its endpoint after that time.
    pub in_doubt_policy: InDoubtPolicy,
    /// The most units per second that are sent to endpoints; 0: no limit.
    pub units_per_second: u64,
    /// The age from which a write is sent even while clients need its endpoint.
    pub max_age: Duration,
}

/// The request classes of NBD commands, by number in the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Classes {
    /// Reads and flushes.
    pub read: u16,
    /// Reads of more than `large_read_threshold` bytes.
    pub large_read: u16,
    /// Writes.
    pub write: u16,
}

/// The checked content of an operator's file.
#[derive(Clone, Debug)]
pub struct OperatorConfig {
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The scheduler's settings, with the contracts of all teams as plans.
    pub settings: Settings,
    /// The size of one unit, in bytes.
    pub unit_bytes: u32,
    /// Reads of more than this many bytes are large.
    pub large_read_threshold: u32,
    /// The name of the NBD export that the endpoints serve.
    pub endpoint_export: String,
    /// The exports.
    pub exports: Vec<Export>,
    /// The endpoints that are known at startup.
    pub endpoints: EndpointList,
    /// Where the endpoint list is watched in etcd; `None`: the list is `endpoints`.
    pub etcd: Option<Etcd>,
    /// The version of this configuration, if the file states one.
    pub version: Option<u64>,
    /// The settings of gossip with the other initiators; `None`: no gossip.
    pub peers: Option<Peers>,
    /// The settings of the write-back cache; `None`: writes are not buffered.
    pub write_back: Option<WriteBack>,
    /// The request classes of NBD commands.
    pub classes: Classes,
    /// The most file descriptors that the process may hold.
    pub max_descriptors: usize,
}

/// Returns the JSON Schema of the operator's file.
pub fn schema() -> serde_json::Value {
    schemars::schema_for!(OperatorFile).to_value()
}

/// Parses and checks the text of an operator's file, whose bytes are overwritten.
///
/// # Errors
/// The text is not valid JSON, or else all violations of the JSON Schema, or else all inconsistencies between
/// parts of the file.
pub fn read(text: &mut [u8]) -> Result<OperatorConfig, ValidationErrors> {
    let value: serde_json::Value =
        simd_json::serde::from_slice(text).map_err(ValidationErrorKind::NotJson)?;
    check_schema(&value)?;
    let file: OperatorFile = serde_json::from_value(value).map_err(ValidationErrorKind::Deserialize)?;
    check::check(file)
}

/// Checks a file against the JSON Schema and reports all violations.
fn check_schema(value: &serde_json::Value) -> Result<(), ValidationErrors> {
    let validator = jsonschema::validator_for(&schema())
        .map_err(|error| ValidationErrorKind::InvalidSchema(Box::new(error)))?;
    let mut errors = ValidationErrors::default();
    for error in validator.iter_errors(value) {
        let path = error.instance_path().as_str().to_owned();
        errors.add(path, ValidationErrorKind::SchemaViolation(Box::new(error.to_owned())));
    }
    if errors.is_empty() {
        Ok(())
    } else {
        Err(errors)
    }
}
