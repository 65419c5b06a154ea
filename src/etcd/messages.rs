//! The messages of etcd's JSON gateway, which encodes keys and values as base64 and 64-bit numbers as
//! strings.

use super::error::MessageError;
use crate::endpoint_list::{self, EndpointList, EndpointRecord};
use crate::interface::{EndpointListKind, Readiness};
use crate::json::{self, JsonField};
use crate::operator::Etcd;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use tracing::warn;

/// A message on a watch stream.
pub(super) enum WatchMessage {
    /// The message has no result: etcd reports an error.
    Error,
    /// The revisions from the start of the watch were compacted.
    Compacted,
    /// etcd cancels the watch.
    Cancelled {
        /// The reason that etcd gave; may be empty.
        reason: String,
    },
    /// The watch was created.
    Created {
        /// etcd's latest revision.
        revision: u64,
    },
    /// Changes of the list; without changes, a confirmation that the known list is current.
    Events {
        /// The revision of the list with these changes.
        revision: u64,
        /// The changed endpoints.
        entries: Vec<EndpointRecord>,
    },
}

/// Returns the fields of a request that select all keys with the prefix. The end of the range is exclusive:
/// the first key after those with the prefix, or a zero byte, which etcd takes as no end, if there is no
/// such key.
pub(super) fn key_range(prefix: &str) -> String {
    let mut end = prefix.as_bytes().to_vec();
    while end.last() == Some(&0xff) {
        end.pop();
    }
    match end.last_mut() {
        Some(last) => *last += 1,
        None => end.push(0),
    }
    format!(r#""key":"{}","range_end":"{}""#, STANDARD.encode(prefix), STANDARD.encode(end))
}

/// Returns a request to watch all keys with the prefix, beginning with the changes of `start_revision`.
pub(super) fn watch_request(prefix: &str, start_revision: u64) -> String {
    let keys = key_range(prefix);
    let start = format!(r#""start_revision":"{start_revision}""#);
    format!(r#"{{"create_request":{{{keys},{start},"progress_notify":true}}}}"#)
}

/// Reads the whole list from the response to a range request. Invalid entries are skipped.
///
/// # Errors
/// The response does not have the expected form.
pub(super) fn read_range(text: &mut [u8], etcd: &Etcd) -> Result<EndpointList, MessageError> {
    let value = json::parse(text)?;
    let top = JsonField::object(&value, "the range response")?;
    let key_values = top.field("kvs").list()?;
    let entries = key_values.into_iter().filter_map(|key_value| valid_entry(key_value, etcd)).collect();
    let revision = read_number(top.field("header").field("revision"))?;
    Ok(EndpointList { revision, kind: EndpointListKind::Full, entries })
}

/// Reads a message of a watch stream. Invalid entries are skipped.
///
/// # Errors
/// The message does not have the expected form.
pub(super) fn read_watch_message(text: &mut [u8], etcd: &Etcd) -> Result<WatchMessage, MessageError> {
    let value = json::parse(text)?;
    let top = JsonField::object(&value, "the watch message")?;
    let result = top.field("result");
    if !result.is_present() {
        return Ok(WatchMessage::Error);
    }
    if read_number(result.field("compact_revision"))? > 0 {
        return Ok(WatchMessage::Compacted);
    }
    if result.field("canceled").boolean()? {
        let reason = result.field("cancel_reason").text().unwrap_or_default().to_owned();
        return Ok(WatchMessage::Cancelled { reason });
    }
    let revision = read_number(result.field("header").field("revision"))?;
    if result.field("created").boolean()? {
        return Ok(WatchMessage::Created { revision });
    }
    let events = result.field("events").list()?;
    let entries = events.into_iter().filter_map(|event| changed_entry(event, etcd)).collect();
    Ok(WatchMessage::Events { revision, entries })
}

/// Returns the endpoint that an event changes or removes, or `None` if the event is invalid.
fn changed_entry(event: JsonField, etcd: &Etcd) -> Option<EndpointRecord> {
    match event.field("type").text() {
        Ok("DELETE") => removed_entry(event.field("kv"), etcd),
        _ => valid_entry(event.field("kv"), etcd),
    }
}

/// Reads a 64-bit number, which is a string of digits or a JSON number; 0 if it is absent.
fn read_number(field: JsonField) -> Result<u64, MessageError> {
    match field.text() {
        Ok("") => Ok(0),
        Ok(digits) => digits.parse().map_err(|_| MessageError::BadRevision(digits.to_owned())),
        Err(_) => Ok(field.integer()?),
    }
}

/// Reads the entry of a key. An invalid entry is logged and skipped, so that the others can still be used.
fn valid_entry(key_value: JsonField, etcd: &Etcd) -> Option<EndpointRecord> {
    read_entry(key_value, etcd).map_err(|error| warn!(why = %error, "etcd: skipped an invalid entry")).ok()
}

fn read_entry(key_value: JsonField, etcd: &Etcd) -> Result<EndpointRecord, MessageError> {
    let (key, mut value) = (decode(key_value, "key")?, decode(key_value, "value")?);
    let id = endpoint_id(&key, etcd)?;
    let entry = json::parse(&mut value)?;
    let record = endpoint_list::read_record(JsonField::object(&entry, "the endpoint's entry")?)?;
    if record.id == id {
        Ok(record)
    } else {
        Err(MessageError::WrongEntry { key: id, entry: record.id })
    }
}

/// Decodes the base64 of a field.
fn decode(key_value: JsonField, field: &'static str) -> Result<Vec<u8>, MessageError> {
    let text = key_value.field(field).text()?;
    STANDARD.decode(text).map_err(|source| MessageError::BadBase64 { field, source })
}

/// Returns the endpoint id in a key: what follows the prefix.
fn endpoint_id(key: &[u8], etcd: &Etcd) -> Result<String, MessageError> {
    let id = std::str::from_utf8(key).ok().and_then(|key| key.strip_prefix(&etcd.prefix));
    id.filter(|id| !id.is_empty()).map(String::from).ok_or(MessageError::BadKey)
}

/// Returns the record of a removed endpoint. A DELETE event only has the key.
fn removed_entry(key_value: JsonField, etcd: &Etcd) -> Option<EndpointRecord> {
    let key = STANDARD.decode(key_value.field("key").text().ok()?).ok()?;
    let id = endpoint_id(&key, etcd).ok()?;
    let zone = String::new();
    Some(EndpointRecord { id, address: None, zone, shard: 0, readiness: Readiness::Removed, up_since: None })
}
