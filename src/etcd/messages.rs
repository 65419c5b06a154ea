//! The messages of etcd's JSON gateway: keys and values are base64, and 64-bit numbers are texts.

use super::error::MessageError;
use crate::endpoint_list::{self, EndpointList, EndpointRecord};
use crate::interface::{EndpointListKind, Readiness};
use crate::json::{self, JsonField};
use crate::operator::Etcd;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use tracing::warn;

/// What one message of a watch says.
pub(super) enum WatchMessage {
    /// It has no result.
    Error,
    /// The revisions that follow are gone.
    Compacted,
    /// etcd ends the watch.
    Cancelled {
        /// Its reason.
        reason: String,
    },
    /// The watch begins.
    Created {
        /// The latest revision.
        revision: u64,
    },
    /// Changes, or none: the list is as known.
    Events {
        /// The revision they lead to.
        revision: u64,
        /// The changed endpoints.
        entries: Vec<EndpointRecord>,
    },
}

/// The fields of a request for all keys that begin with the prefix: up to the first one after them.
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

/// A request for a watch from a revision on.
pub(super) fn watch_request(prefix: &str, start_revision: u64) -> String {
    let keys = key_range(prefix);
    let start = format!(r#""start_revision":"{start_revision}""#);
    format!(r#"{{"create_request":{{{keys},{start},"progress_notify":true}}}}"#)
}

/// The whole list, from the answer to a range.
pub(super) fn read_range(text: &mut [u8], etcd: &Etcd) -> Result<EndpointList, MessageError> {
    let value = json::parse(text)?;
    let top = JsonField::object(&value, "the answer")?;
    let key_values = top.field("kvs").list()?;
    let entries = key_values.into_iter().filter_map(|key_value| entry(key_value, etcd)).collect();
    let revision = number(top.field("header").field("revision"))?;
    Ok(EndpointList { revision, kind: EndpointListKind::Full, entries })
}

/// One message of a watch.
pub(super) fn read_watch_message(text: &mut [u8], etcd: &Etcd) -> Result<WatchMessage, MessageError> {
    let value = json::parse(text)?;
    let top = JsonField::object(&value, "a watch's message")?;
    let result = top.field("result");
    if !result.is_present() {
        return Ok(WatchMessage::Error);
    }
    if number(result.field("compact_revision"))? > 0 {
        return Ok(WatchMessage::Compacted);
    }
    if result.field("canceled").boolean()? {
        let reason = result.field("cancel_reason").text().unwrap_or_default().to_owned();
        return Ok(WatchMessage::Cancelled { reason });
    }
    let revision = number(result.field("header").field("revision"))?;
    if result.field("created").boolean()? {
        return Ok(WatchMessage::Created { revision });
    }
    let events = result.field("events").list()?;
    let entries = events.into_iter().filter_map(|event| changed_entry(event, etcd)).collect();
    Ok(WatchMessage::Events { revision, entries })
}

fn changed_entry(event: JsonField, etcd: &Etcd) -> Option<EndpointRecord> {
    match event.field("type").text() {
        Ok("DELETE") => removed_entry(event.field("kv"), etcd),
        _ => entry(event.field("kv"), etcd),
    }
}

fn number(field: JsonField) -> Result<u64, MessageError> {
    match field.text() {
        Ok("") => Ok(0),
        Ok(digits) => digits.parse().map_err(|_| MessageError::BadRevision(digits.to_owned())),
        Err(_) => Ok(field.integer()?),
    }
}

/// A key's endpoint; one that can't be read is left out, for the others' sake.
fn entry(key_value: JsonField, etcd: &Etcd) -> Option<EndpointRecord> {
    read_entry(key_value, etcd).map_err(|error| warn!(why = %error, "etcd: an entry is passed over")).ok()
}

fn read_entry(key_value: JsonField, etcd: &Etcd) -> Result<EndpointRecord, MessageError> {
    let (key, mut value) = (decode(key_value, "key")?, decode(key_value, "value")?);
    let id = id_of(&key, etcd)?;
    let entry = json::parse(&mut value)?;
    let record = endpoint_list::read_record(JsonField::object(&entry, "a box's entry")?)?;
    if record.id == id {
        Ok(record)
    } else {
        Err(MessageError::WrongEntry { key: id, entry: record.id })
    }
}

fn decode(key_value: JsonField, field: &'static str) -> Result<Vec<u8>, MessageError> {
    let text = key_value.field(field).text()?;
    STANDARD.decode(text).map_err(|source| MessageError::BadBase64 { field, source })
}

fn id_of(key: &[u8], etcd: &Etcd) -> Result<String, MessageError> {
    let id = std::str::from_utf8(key).ok().and_then(|key| key.strip_prefix(&etcd.prefix));
    id.filter(|id| !id.is_empty()).map(String::from).ok_or(MessageError::BadKey)
}

fn removed_entry(key_value: JsonField, etcd: &Etcd) -> Option<EndpointRecord> {
    let key = STANDARD.decode(key_value.field("key").text().ok()?).ok()?;
    let id = id_of(&key, etcd).ok()?;
    let zone = String::new();
    Some(EndpointRecord { id, address: None, zone, shard: 0, readiness: Readiness::Removed, up_since: None })
}
