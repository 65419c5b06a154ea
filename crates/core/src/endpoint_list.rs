//! The list of disk boxes in discovery's form.

use crate::interface::{EndpointListKind, Readiness};
use crate::json::{self, Fault, Look};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// One disk box as listed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Its name, alike at every initiator.
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
    /// The list's version.
    pub revision: u64,
    /// The whole list, or what changed.
    pub kind: EndpointListKind,
    /// The entries.
    pub entries: Vec<EndpointRecord>,
}

/// Reads one report, and what is wrong with entries that are passed over; the text is used as a workplace.
pub fn read(text: &mut [u8]) -> Result<(EndpointList, Vec<Fault>), Fault> {
    let value = json::parse(text)?;
    from(Look::object(&value, "the list")?)
}

/// A report from an object already read. One bad entry must not keep the others from counting: it is passed over
/// and named. Of entries with the same id the last counts.
pub fn from(list: Look) -> Result<(EndpointList, Vec<Fault>), Fault> {
    let kind = if list.at("complete").yes()? { EndpointListKind::Full } else { EndpointListKind::Delta };
    let (mut entries, mut faults): (BTreeMap<String, EndpointRecord>, _) = (BTreeMap::new(), Vec::new());
    for entry in list.at("members").list()? {
        match member(entry) {
            Err(fault) => faults.push(fault),
            Ok(member) => {
                let again = entries.insert(member.id.clone(), member);
                faults.extend(again.map(|m| format!("member {} is listed twice: the last counts", m.id)));
            }
        }
    }
    let entries = entries.into_values().collect();
    Ok((EndpointList { revision: list.at("revision").whole()?, kind, entries }, faults))
}

/// One entry; a fault names it.
pub fn member(entry: Look) -> Result<EndpointRecord, Fault> {
    let id = entry.at("id").text()?;
    if id.is_empty() {
        return Err("a member of the list has no id".into());
    }
    with_id(entry, id).map_err(|why| format!("member {id}: {why}"))
}

fn with_id(entry: Look, id: &str) -> Result<EndpointRecord, Fault> {
    let readiness = match entry.at("phase").text()? {
        "up" => Readiness::Ready,
        "draining" => Readiness::Draining,
        "removed" => Readiness::Removed,
        other => return Err(format!("'{other}' is not a phase")),
    };
    let address = match entry.at("host_port").text()? {
        "" if readiness == Readiness::Removed => None,
        text => Some(text.parse().map_err(|_| format!("'{text}' is not an address and port"))?),
    };
    let up_since = entry.at("up_since_ms").whole()?;
    Ok(EndpointRecord {
        id: id.into(),
        address,
        zone: entry.at("locality").text()?.into(),
        shard: entry.at("cell").whole()? as u16,
        readiness,
        up_since: (up_since > 0).then(|| Duration::from_millis(up_since)),
    })
}
