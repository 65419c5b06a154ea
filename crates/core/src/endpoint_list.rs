//! The endpoint list: who the endpoints are, in the form that discovery gives it.

use crate::interface::{EndpointListKind, Readiness};
use crate::json::{self, JsonError, JsonField};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// One endpoint as listed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Its name, the same at every initiator.
    pub id: String,
    /// Where this initiator reaches it; a removed one needs none.
    pub address: Option<SocketAddr>,
    /// The name of its zone.
    pub zone: String,
    /// The shard it holds.
    pub shard: u16,
    /// What it is ready for.
    pub readiness: Readiness,
    /// When it last started, as Unix time; `None`: long ago.
    pub up_since: Option<Duration>,
}

/// A report on the list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    /// The list's revision.
    pub revision: u64,
    /// The whole list, or what changed.
    pub kind: EndpointListKind,
    /// The entries.
    pub entries: Vec<EndpointRecord>,
}

/// A list that was read, and what is wrong with the entries that were passed over.
#[derive(Debug)]
pub struct ReadList {
    /// The list.
    pub list: EndpointList,
    /// The faults of other entries.
    pub faults: Vec<EntryError>,
}

/// What is wrong with one entry of a list.
#[derive(Debug, Error)]
pub enum EntryError {
    /// It is not of the form of an entry.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// It has no name.
    #[error("a member of the list has no id")]
    NoId,
    /// A field of it can't be read.
    #[error("member {id}: {source}")]
    Field {
        /// Its name.
        id: String,
        /// What is wrong.
        source: FieldError,
    },
    /// An entry before it has the same name.
    #[error("member {id} is listed twice: the last counts")]
    Duplicate {
        /// The name.
        id: String,
    },
}

/// Why a field of an entry can't be read.
#[derive(Debug, Error)]
pub enum FieldError {
    /// It has another type than it should.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// The readiness is none of those known.
    #[error("'{0}' is not a phase")]
    UnknownPhase(String),
    /// The address can't be parsed.
    #[error("'{0}' is not an address and port")]
    BadAddress(String),
}

/// Reads one report; the text's bytes are overwritten.
pub fn read(text: &mut [u8]) -> Result<ReadList, JsonError> {
    let value = json::parse(text)?;
    read_list(JsonField::object(&value, "the list")?)
}

/// A report from an object already parsed. One bad entry must not keep the others from counting: it is passed over and
/// named. Of entries with the same id the last counts.
pub fn read_list(object: JsonField) -> Result<ReadList, JsonError> {
    let complete = object.field("complete").boolean()?;
    let kind = if complete { EndpointListKind::Full } else { EndpointListKind::Delta };
    let (mut entries, mut faults) = (BTreeMap::new(), Vec::new());
    for entry in object.field("members").list()? {
        match read_record(entry) {
            Err(fault) => faults.push(fault),
            Ok(record) => {
                let earlier = entries.insert(record.id.clone(), record);
                faults.extend(earlier.map(|record: EndpointRecord| EntryError::Duplicate { id: record.id }));
            }
        }
    }
    let revision = object.field("revision").integer()?;
    let list = EndpointList { revision, kind, entries: entries.into_values().collect() };
    Ok(ReadList { list, faults })
}

/// Reads one entry; an error names it.
pub fn read_record(entry: JsonField) -> Result<EndpointRecord, EntryError> {
    let id = entry.field("id").text()?;
    if id.is_empty() {
        return Err(EntryError::NoId);
    }
    read_fields(entry, id).map_err(|source| EntryError::Field { id: id.to_owned(), source })
}

fn read_fields(entry: JsonField, id: &str) -> Result<EndpointRecord, FieldError> {
    let readiness = match entry.field("phase").text()? {
        "up" => Readiness::Ready,
        "draining" => Readiness::Draining,
        "removed" => Readiness::Removed,
        other => return Err(FieldError::UnknownPhase(other.to_owned())),
    };
    let address = match entry.field("host_port").text()? {
        "" if readiness == Readiness::Removed => None,
        text => Some(text.parse().map_err(|_| FieldError::BadAddress(text.to_owned()))?),
    };
    let up_since_ms = entry.field("up_since_ms").integer()?;
    Ok(EndpointRecord {
        id: id.to_owned(),
        address,
        zone: entry.field("locality").text()?.to_owned(),
        shard: entry.field("cell").integer()? as u16,
        readiness,
        up_since: (up_since_ms > 0).then(|| Duration::from_millis(up_since_ms)),
    })
}
