//! The list of boxes from etcd, by the JSON gateway of its v3 API: a range, then a watch from there on.
//!
//! Each key below the prefix is a box's id, its value the box's entry in discovery's form.

use crate::broker::Input;
use crate::endpoint_list::{self, EndpointList, EndpointRecord, EntryError};
use crate::interface::{EndpointListKind, Readiness};
use crate::json::{self, JsonError, JsonField};
use crate::operator::Etcd;
use crate::runtime::host::Host;
use crate::runtime::json_stream::{JsonObjects, StreamEnd};
use crate::runtime::sockets::http_client;
use awc::Client;
use base64::engine::general_purpose::STANDARD;
use base64::{DecodeError, Engine};
use std::time::{Duration, Instant};
use thiserror::Error;
use tracing::warn;

/// A call may take so long, where the last one took its time,
const ANSWER: Duration = Duration::from_secs(3);
/// and so long where etcd answers soon: one that gets no answer is lost, and the next one still tells in time.
const ANSWER_SOON: Duration = Duration::from_secs(1);
const SOON: Duration = Duration::from_millis(500);
const FIRST_WAIT: Duration = Duration::from_millis(100);
/// A change counts as told 6 s after etcd had it and could be reached: a call that fails and the wait after it take less.
const LONGEST_WAIT: Duration = Duration::from_secs(2);
/// etcd says nothing while nothing changes; after so long the whole list tells whether a watch only seems to be open.
const SILENT: Duration = Duration::from_millis(4000);
const LIST_MOST: usize = 4 << 20;

/// Why a watch ended.
enum Over {
    /// It can go on from the last revision.
    Broken(String),
    /// The revisions that follow are gone: the whole list is needed.
    Compacted,
    /// Nothing came for so long that only the whole list tells whether nothing changed.
    Silent,
}

/// Why a message of etcd, or an entry in it, can't be read.
#[derive(Debug, Error)]
enum MessageError {
    /// It is not of the gateway's form.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// An endpoint's entry can't be read.
    #[error(transparent)]
    Entry(#[from] EntryError),
    /// A revision is no number.
    #[error("'{0}' is not a revision")]
    BadRevision(String),
    /// A key or value can't be decoded.
    #[error("{field}: {source}")]
    BadBase64 {
        /// Which.
        field: &'static str,
        /// What is wrong.
        source: DecodeError,
    },
    /// A key is not below the prefix.
    #[error("a key that names no box")]
    BadKey,
    /// A key and the entry below it disagree.
    #[error("key {key} holds the entry of {entry}")]
    WrongEntry {
        /// The name in the key.
        key: String,
        /// The name in the entry.
        entry: String,
    },
}

impl From<MessageError> for Over {
    fn from(why: MessageError) -> Self {
        Over::Broken(why.to_string())
    }
}

impl From<JsonError> for Over {
    fn from(why: JsonError) -> Self {
        Over::Broken(why.to_string())
    }
}

/// Follows the list; never ends.
pub async fn follow(host: Host, etcd: Etcd) {
    let client = http_client(ANSWER);
    let (mut revision, mut wait, mut patience) = (None, FIRST_WAIT, ANSWER_SOON);
    loop {
        let before = revision;
        let why = match revision {
            None => {
                let asked = Instant::now();
                let answer = range(&host, &client, &etcd, patience).await;
                patience = if asked.elapsed() < SOON { ANSWER_SOON } else { ANSWER };
                match answer {
                    Ok(at) => {
                        revision = Some(at);
                        continue;
                    }
                    Err(why) => why,
                }
            }
            Some(ref mut at) => match watch(&host, &client, &etcd, patience, at).await {
                Over::Broken(why) => why,
                Over::Compacted => {
                    revision = None;
                    "compacted".into()
                }
                Over::Silent => {
                    revision = None;
                    continue;
                }
            },
        };
        wait = if revision > before { FIRST_WAIT } else { (wait * 2).min(LONGEST_WAIT) };
        warn!(%why, revision, again_in_ms = wait.as_millis() as u64, "etcd: the list is asked for again");
        tokio::time::sleep(wait).await;
    }
}

/// The keys from the prefix on, up to the first that does not begin with it.
fn keys(prefix: &str) -> String {
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

async fn range(host: &Host, client: &Client, etcd: &Etcd, patience: Duration) -> Result<u64, String> {
    let url = format!("http://{}/v3/kv/range", etcd.address);
    let asked = async {
        let request = client.post(url).content_type("application/json");
        let mut response = request.send_body(format!("{{{}}}", keys(&etcd.prefix))).await;
        let response = response.as_mut().map_err(|e| format!("could not be asked: {e}"))?;
        if !response.status().is_success() {
            return Err(format!("answered {}", response.status()));
        }
        response.body().limit(LIST_MOST).await.map_err(|e| format!("broke: {e}"))
    };
    let body = tokio::time::timeout(patience, asked).await.map_err(|_| "no answer")??;
    let list = read_range(&mut body.to_vec(), etcd).map_err(|error| error.to_string())?;
    let revision = list.revision;
    host.feed(Input::EndpointList(list));
    Ok(revision)
}

/// The whole list, from the answer to a range.
fn read_range(text: &mut [u8], etcd: &Etcd) -> Result<EndpointList, MessageError> {
    let value = json::parse(text)?;
    let top = JsonField::object(&value, "the answer")?;
    let entries = top.field("kvs").list()?.into_iter().filter_map(|kv| entry(kv, etcd)).collect();
    let revision = number(top.field("header").field("revision"))?;
    Ok(EndpointList { revision, kind: EndpointListKind::Full, entries })
}

/// 64-bit numbers are texts in the gateway's JSON.
fn number(field: JsonField) -> Result<u64, MessageError> {
    match field.text() {
        Ok("") => Ok(0),
        Ok(digits) => digits.parse().map_err(|_| MessageError::BadRevision(digits.to_owned())),
        Err(_) => Ok(field.integer()?),
    }
}

/// A key's box; one that can't be read is passed over, for the others' sake.
fn entry(kv: JsonField, etcd: &Etcd) -> Option<EndpointRecord> {
    read_entry(kv, etcd).map_err(|error| warn!(why = %error, "etcd: an entry is passed over")).ok()
}

fn read_entry(kv: JsonField, etcd: &Etcd) -> Result<EndpointRecord, MessageError> {
    let (key, mut value) = (decode(kv, "key")?, decode(kv, "value")?);
    let id = id_of(&key, etcd)?;
    let entry = json::parse(&mut value)?;
    let record = endpoint_list::read_record(JsonField::object(&entry, "a box's entry")?)?;
    if record.id == id {
        Ok(record)
    } else {
        Err(MessageError::WrongEntry { key: id, entry: record.id })
    }
}

fn decode(kv: JsonField, field: &'static str) -> Result<Vec<u8>, MessageError> {
    let text = kv.field(field).text()?;
    STANDARD.decode(text).map_err(|source| MessageError::BadBase64 { field, source })
}

fn id_of(key: &[u8], etcd: &Etcd) -> Result<String, MessageError> {
    let id = std::str::from_utf8(key).ok().and_then(|key| key.strip_prefix(&etcd.prefix));
    id.filter(|id| !id.is_empty()).map(String::from).ok_or(MessageError::BadKey)
}

fn removed(kv: JsonField, etcd: &Etcd) -> Option<EndpointRecord> {
    let key = STANDARD.decode(kv.field("key").text().ok()?).ok()?;
    let (id, zone) = (id_of(&key, etcd).ok()?, String::new());
    Some(EndpointRecord { id, address: None, zone, shard: 0, readiness: Readiness::Removed, up_since: None })
}

async fn watch(host: &Host, client: &Client, etcd: &Etcd, patience: Duration, revision: &mut u64) -> Over {
    let url = format!("http://{}/v3/watch", etcd.address);
    let (keys, from) = (keys(&etcd.prefix), *revision + 1);
    let create =
        format!(r#"{{"create_request":{{{keys},"start_revision":"{from}","progress_notify":true}}}}"#);
    let sent = client.post(url).content_type("application/json").send_body(create);
    let response = match tokio::time::timeout(patience, sent).await {
        Ok(Ok(response)) if response.status().is_success() => response,
        Ok(Ok(response)) => return Over::Broken(format!("watch answered {}", response.status())),
        Ok(Err(error)) => return Over::Broken(format!("watch could not be asked: {error}")),
        Err(_) => return Over::Broken("no answer to a watch".into()),
    };
    let mut messages = JsonObjects::new(response);
    loop {
        // etcd sends nothing while nothing changes: whether the watch is dead only the whole list tells.
        let message = match messages.next(SILENT).await {
            Ok(None) => continue,
            Ok(Some(message)) => message,
            Err(StreamEnd::TimedOut) => return Over::Silent,
            Err(why) => return Over::Broken(format!("watch {why}")),
        };
        match news(message, etcd, revision) {
            Ok(Some(input)) => host.feed(input),
            Ok(None) => {}
            Err(over) => return over,
        }
    }
}

/// What one message of a watch brings.
fn news(mut line: Vec<u8>, etcd: &Etcd, revision: &mut u64) -> Result<Option<Input>, Over> {
    let value = json::parse(&mut line)?;
    let top = JsonField::object(&value, "a watch's message")?;
    let result = top.field("result");
    if !result.is_present() {
        return Err(Over::Broken("watch answered an error".into()));
    }
    if number(result.field("compact_revision"))? > 0 {
        return Err(Over::Compacted);
    }
    if result.field("canceled").boolean()? {
        let why = result.field("cancel_reason").text().unwrap_or_default();
        return Err(Over::Broken(format!("watch cancelled: {why}")));
    }
    // What tells of its creation alone bears a revision whose events may still come.
    let at = number(result.field("header").field("revision"))?;
    if result.field("created").boolean()? {
        return Ok((at == *revision).then_some(Input::EndpointListCurrent));
    }
    let events = result.field("events").list()?;
    let change = |event: JsonField| match event.field("type").text() {
        Ok("DELETE") => removed(event.field("kv"), etcd),
        _ => entry(event.field("kv"), etcd),
    };
    let entries: Vec<EndpointRecord> = events.into_iter().filter_map(change).collect();
    *revision = at.max(*revision);
    let members = EndpointList { revision: *revision, kind: EndpointListKind::Delta, entries };
    Ok(Some(if members.entries.is_empty() {
        Input::EndpointListCurrent
    } else {
        Input::EndpointList(members)
    }))
}
