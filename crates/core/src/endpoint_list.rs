//! The endpoint list and the parser for the JSON form in which discovery sends it.

use crate::interface::{EndpointListKind, Readiness};
use crate::json::{self, JsonError, JsonField};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// One entry of the endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// The endpoint's name, the same at every initiator.
    pub id: String,
    /// The address at which this initiator reaches the endpoint; a removed endpoint needs none.
    pub address: Option<SocketAddr>,
    /// The name of the endpoint's zone.
    pub zone: String,
    /// The shard that the endpoint holds.
    pub shard: u16,
    /// Whether the endpoint takes work.
    pub readiness: Readiness,
    /// When the endpoint last started, as Unix time; `None`: long ago.
    pub up_since: Option<Duration>,
}

/// A message about the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    /// The list's revision.
    pub revision: u64,
    /// Whether the entries are the complete list or only the changed part of it.
    pub kind: EndpointListKind,
    /// The entries.
    pub entries: Vec<EndpointRecord>,
}

/// A parsed list, and the errors of entries that were skipped or overridden.
#[derive(Debug)]
pub struct ParsedList {
    /// The list of valid entries.
    pub list: EndpointList,
    /// The errors of other entries.
    pub errors: Vec<EntryError>,
}

/// Why an entry of a list is skipped.
#[derive(Debug, Error)]
pub enum EntryError {
    /// The entry is not an object of the expected form.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// The entry has no name.
    #[error("member without an id")]
    NoId,
    /// A field of the entry is invalid.
    #[error("member {id}: {source}")]
    Field {
        /// The endpoint's name.
        id: String,
        /// The error of the field.
        source: FieldError,
    },
    /// Two entries have the same name; the earlier one is skipped.
    #[error("member {id} is listed twice; the last entry is used")]
    Duplicate {
        /// The endpoint's name.
        id: String,
    },
}

/// Why a field of an entry is invalid.
#[derive(Debug, Error)]
pub enum FieldError {
    /// The field has another type than expected.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// The phase is not one of "up", "draining" and "removed".
    #[error("unknown phase '{0}'")]
    UnknownPhase(String),
    /// The address cannot be parsed.
    #[error("'{0}' is not an address and port")]
    BadAddress(String),
}

/// Parses one message about the list; the text's bytes are overwritten.
pub fn read(text: &mut [u8]) -> Result<ParsedList, JsonError> {
    let value = json::parse(text)?;
    read_list(JsonField::object(&value, "the list")?)
}

/// Reads a list from a parsed JSON object.
///
/// An invalid entry is skipped and reported in [`ParsedList::errors`], so that it does not prevent the use of
/// the others. Of several entries with the same id the last is used.
pub fn read_list(object: JsonField) -> Result<ParsedList, JsonError> {
    let complete = object.field("complete").boolean()?;
    let kind = if complete { EndpointListKind::Full } else { EndpointListKind::Delta };
    let (mut entries, mut errors) = (BTreeMap::new(), Vec::new());
    for entry in object.field("members").list()? {
        match read_record(entry) {
            Err(error) => errors.push(error),
            Ok(record) => {
                let earlier = entries.insert(record.id.clone(), record);
                errors.extend(earlier.map(|record: EndpointRecord| EntryError::Duplicate { id: record.id }));
            }
        }
    }
    let revision = object.field("revision").integer()?;
    let list = EndpointList { revision, kind, entries: entries.into_values().collect() };
    Ok(ParsedList { list, errors })
}

/// Reads one entry. An error names the endpoint, where the entry has an id.
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
