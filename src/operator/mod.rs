//! The operator's file of the second front: teams, their contracts, exports and the boxes that hold them.
//! A file is checked whole: every fault is told at once, each with its path.

pub mod records;

use crate::endpoint_list::{EndpointList, EndpointRecord};
use crate::interface::{EndpointListKind, Idempotency, Plan, Readiness, RequestClass, Settings, VolumeId};
use records::{DiskBox, File, Phase};
use shaletack_writeback::DoubtPolicy;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// A part of an export that lies on one shard.
#[derive(Clone, Debug, PartialEq)]
pub struct Extent {
    /// Where it starts in the export, in bytes.
    pub from: u64,
    /// How many bytes it holds.
    pub length: u64,
    /// The shard that holds it.
    pub shard: u16,
    /// Where it starts on the shard's box.
    pub at: u64,
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
    pub hosts: f64,
    /// Its writes are buffered.
    pub write_back: bool,
    /// Its size in bytes.
    pub size: u64,
    /// Where its data lies, without gaps, in order.
    pub extents: Vec<Extent>,
}

/// Where the list of boxes is kept in etcd.
#[derive(Clone, Debug, PartialEq)]
pub struct Etcd {
    /// Its JSON gateway.
    pub address: SocketAddr,
    /// The keys below which each box has its entry.
    pub prefix: String,
}

/// The other initiators, where they talk to each other.
#[derive(Clone, Debug, PartialEq)]
pub struct Peers {
    /// This initiator's name, no other's.
    pub name: String,
    /// Where it hears its peers, by UDP and TCP.
    pub listen: SocketAddr,
    /// Peers that may be there.
    pub join: Vec<SocketAddr>,
    /// The region that this initiator stands in; empty: all are in one.
    pub region: String,
    /// Its zone within the region; empty: the region has one.
    pub zone: String,
}

/// The buffer for writes.
#[derive(Clone, Debug, PartialEq)]
pub struct WriteBack {
    /// Where its log lies.
    pub folder: PathBuf,
    /// The log's bounds.
    pub log: shaletack_wal::LogConfig,
    /// The longest that an attempt may still run at a box after its connection closed.
    pub attempt_lives: Duration,
    /// What becomes of a write that is not at its box after that.
    pub unsettled: DoubtPolicy,
    /// Units a second sent to boxes at most; 0: no bound.
    pub units: u64,
    /// A write that has waited so long is sent even while clients need its box.
    pub age_most: Duration,
}

/// The classes that reads and writes belong to, by number.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Classes {
    /// Reads and flushes.
    pub read: u16,
    /// Reads of more than `large_from` bytes.
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
    pub large_from: u32,
    /// The name of the export that the boxes give.
    pub box_export: String,
    /// The exports.
    pub exports: Vec<Export>,
    /// The boxes, as they are at the start.
    pub boxes: EndpointList,
    /// Where the boxes' list is followed, if anywhere.
    pub etcd: Option<Etcd>,
    /// The version of this configuration, where it names one.
    pub version: Option<u64>,
    /// The other initiators, if this one talks to them.
    pub peers: Option<Peers>,
    /// The buffer for writes, if there is one.
    pub write_back: Option<WriteBack>,
    /// Which classes commands belong to.
    pub classes: Classes,
    /// How many file descriptors the process may hold.
    pub sockets: usize,
}

/// One fault of a file, in a line.
pub type Fault = String;

/// All that is wrong with a file: for each fault the path to where it is, and what was expected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.join("; "))
    }
}

/// The JSON Schema of the file.
pub fn schema() -> serde_json::Value {
    schemars::schema_for!(File).to_value()
}

/// Reads and checks the file's text; the text is used as a workplace.
pub fn read(text: &mut [u8]) -> Result<Operator, Faults> {
    let one = |fault: String| Faults(vec![fault]);
    let value: serde_json::Value =
        simd_json::serde::from_slice(text).map_err(|e| one(format!("not JSON: {e}")))?;
    let schema = jsonschema::validator_for(&schema()).map_err(|e| one(format!("the schema: {e}")))?;
    let faults: Vec<Fault> = schema
        .iter_errors(&value)
        .map(|e| match e.instance_path().as_str() {
            "" => e.to_string(),
            path => format!("{path}: {e}"),
        })
        .collect();
    if !faults.is_empty() {
        return Err(Faults(faults));
    }
    // What the schema lets through that no record can hold, such as a whole number with a point.
    let file: File = serde_json::from_value(value).map_err(|e| one(e.to_string()))?;
    check(file)
}

/// What a schema can't say: how the parts of the file fit together.
fn check(file: File) -> Result<Operator, Faults> {
    let mut faults = Vec::new();
    let listen = address(&file.listen, "/listen", &mut faults);
    let etcd = file.etcd.map(|etcd| (address(&etcd.address, "/etcd/address", &mut faults), etcd.prefix));
    let peers = file.peers.map(|peers| {
        let listen = address(&peers.listen, "/peers/listen", &mut faults);
        if listen.is_some_and(|at| at.port() == 0) {
            faults.push("/peers/listen: peers can't know a port that is chosen at the start".into());
        }
        let join: Vec<_> = peers
            .join
            .iter()
            .enumerate()
            .filter_map(|(j, at)| address(at, &format!("/peers/join/{j}"), &mut faults))
            .collect();
        (peers.name, listen, join, peers.region, peers.zone)
    });
    let write_back = file.write_back.map(write_back);
    for (e, export) in file.exports.iter().enumerate().filter(|(_, e)| e.write_back) {
        if write_back.is_none() {
            faults.push(format!("/exports/{e}/write_back: the file has no 'write_back'"));
        }
        if export.hosts > 1.0 {
            faults.push(format!("/exports/{e}/hosts: a buffered export has one initiator, this one"));
        }
    }
    let writes = file.settings.domain.changes_data.clone();
    let mut settings = Settings::from(file.settings);
    let classes = classes(&settings.classes, writes, &mut faults);
    let contracts = contracts(&file.teams, &mut settings, &mut faults);
    let entries = boxes(&file.boxes, &mut faults);
    let shards: Option<BTreeSet<u16>> =
        etcd.is_none().then(|| entries.iter().map(|member| member.shard).collect());
    let exports = exports(file.exports, &contracts, shards.as_ref(), &mut faults);
    match (listen, classes, etcd) {
        (Some(listen), Some(classes), etcd) if faults.is_empty() => Ok(Operator {
            listen,
            unit_bytes: file.unit_bytes,
            large_from: file.large_from,
            box_export: file.box_export,
            sockets: file.sockets,
            version: file.version,
            exports,
            boxes: EndpointList { revision: 0, kind: EndpointListKind::Cached, entries },
            etcd: etcd.and_then(|(address, prefix)| Some(Etcd { address: address?, prefix })),
            peers: peers.and_then(|(name, listen, join, region, zone)| {
                Some(Peers { name, listen: listen?, join, region, zone })
            }),
            write_back,
            classes,
            settings,
        }),
        _ => Err(Faults(faults)),
    }
}

/// There are neither names nor secrets here, so only this machine is reached.
fn address(text: &str, path: &str, faults: &mut Vec<Fault>) -> Option<SocketAddr> {
    match text.parse::<SocketAddr>() {
        Ok(address) if address.ip().is_loopback() => return Some(address),
        Ok(address) => faults.push(format!("{path}: {address} is not a loopback address")),
        Err(_) => faults.push(format!("{path}: '{text}' is not an address and port")),
    }
    None
}

/// A segment holds the largest write; a quarter of the log is kept for what settles.
fn write_back(set: records::WriteBack) -> WriteBack {
    let most = set.most_mib << 20;
    WriteBack {
        folder: set.folder.into(),
        log: shaletack_wal::LogConfig {
            segment_bytes: (most / 16).min(64 << 20),
            max_bytes: most,
            reserved_bytes: most / 4,
        },
        attempt_lives: Duration::from_millis(set.attempt_lives_ms),
        unsettled: match set.unsettled {
            records::Unsettled::Ask => DoubtPolicy::AskOperator,
            records::Unsettled::Resend => DoubtPolicy::Resend,
        },
        units: set.units,
        age_most: Duration::from_millis(set.age_ms),
    }
}

/// Commands find their class by what the settings say of it, not by its name: NBD knows reads, large ones, and
/// writes.
fn classes(lanes: &[RequestClass], writes: Vec<bool>, faults: &mut Vec<Fault>) -> Option<Classes> {
    if !writes.is_empty() && writes.len() != lanes.len() {
        let counts = format!("{} entries for {} lanes", writes.len(), lanes.len());
        faults.push(format!("/settings/domain/changes-data: {counts}"));
        return None;
    }
    let changes =
        |at: &usize| writes.get(*at).copied().unwrap_or(lanes[*at].idempotency != Idempotency::Idempotent);
    let (writers, readers): (Vec<usize>, Vec<usize>) = (0..lanes.len()).partition(changes);
    let names =
        |of: &[usize]| of.iter().map(|at| format!("'{}'", lanes[*at].name)).collect::<Vec<_>>().join(", ");
    let write = match writers[..] {
        [write] => write,
        [] => {
            faults.push("/settings/lanes: no class writes".into());
            return None;
        }
        _ => {
            let more = format!("{} all write; NBD has one kind of write", names(&writers));
            faults.push(format!("/settings/lanes: {more}, say which in domain.changes-data"));
            return None;
        }
    };
    if lanes[write].idempotency == Idempotency::Keyed {
        let why = "NBD carries no key by which boxes could drop a repeat: 'at_most_once', or 'idempotent'";
        faults.push(format!("/settings/lanes/{write}/idempotency: {why}"));
    }
    let (Some(read), Some(large_read)) = (
        readers.iter().min_by_key(|at| lanes[**at].latency_objective),
        readers.iter().max_by_key(|at| lanes[**at].latency_objective),
    ) else {
        faults.push("/settings/lanes: no class reads".into());
        return None;
    };
    Some(Classes { read: *read as u16, large_read: *large_read as u16, write: write as u16 })
}

/// The plans each team has contracted, by name; they become the settings' plans.
type Contracts = BTreeMap<String, BTreeMap<String, u16>>;

fn contracts(teams: &[records::Team], settings: &mut Settings, faults: &mut Vec<Fault>) -> Contracts {
    let mut all = Contracts::new();
    for (t, team) in teams.iter().enumerate() {
        let mut own = BTreeMap::new();
        for (c, contract) in team.contracts.iter().enumerate() {
            let path = format!("/teams/{t}/contracts/{c}");
            let records::Contract { plan, reserve, limit, burst, weight } = contract;
            if *limit > 0.0 && *burst <= 0.0 {
                faults.push(format!("{path}/burst: a limit needs a burst above 0"));
            }
            if *limit > 0.0 && reserve > limit {
                faults.push(format!("{path}/reserve: {reserve} is beyond the limit of {limit}"));
            }
            let number = settings.plans.len() as u16;
            settings.plans.push(Plan {
                name: format!("{}/{plan}", team.name),
                rate: if *limit > 0.0 { *limit } else { *reserve },
                reserve: *reserve,
                limit: *limit,
                burst: *burst,
                tolerance: if *limit > 0.0 { (burst * 0.1).max(settings.max_request_units) } else { 0.0 },
                weight: *weight,
                price: 1.0,
                retired: false,
            });
            if own.insert(plan.clone(), number).is_some() {
                faults.push(format!("{path}/plan: '{plan}' stands twice"));
            }
        }
        // What refers to a name that stands twice is no fault of its own.
        match all.entry(team.name.clone()) {
            Entry::Vacant(place) => drop(place.insert(own)),
            Entry::Occupied(_) => faults.push(format!("/teams/{t}/name: '{}' stands twice", team.name)),
        }
    }
    all
}

fn boxes(list: &[DiskBox], faults: &mut Vec<Fault>) -> Vec<EndpointRecord> {
    let mut names = BTreeSet::new();
    let mut members = Vec::new();
    for (b, entry) in list.iter().enumerate() {
        let readiness = match entry.phase {
            Phase::Up => Readiness::Ready,
            Phase::Draining => Readiness::Draining,
            Phase::Removed => Readiness::Removed,
        };
        let address = entry.host_port.parse().ok();
        if address.is_none() && !(entry.host_port.is_empty() && readiness == Readiness::Removed) {
            faults.push(format!("/boxes/{b}/host_port: '{}' is not an address and port", entry.host_port));
        }
        if !names.insert(&entry.id) {
            faults.push(format!("/boxes/{b}/id: '{}' stands twice", entry.id));
        }
        members.push(EndpointRecord {
            id: entry.id.clone(),
            address,
            zone: entry.locality.clone(),
            shard: entry.cell,
            readiness,
            up_since: (entry.up_since_ms > 0).then(|| Duration::from_millis(entry.up_since_ms)),
        });
    }
    members
}

fn exports(
    list: Vec<records::Export>,
    contracts: &Contracts,
    shards: Option<&BTreeSet<u16>>,
    faults: &mut Vec<Fault>,
) -> Vec<Export> {
    let mut names = BTreeSet::new();
    let mut exports = Vec::new();
    for (e, export) in list.into_iter().enumerate() {
        let path = format!("/exports/{e}");
        if !names.insert(export.name.clone()) {
            faults.push(format!("{path}/name: '{}' stands twice", export.name));
        }
        let plan = match contracts.get(&export.team) {
            None => Err(format!("{path}/team: there is no team '{}'", export.team)),
            Some(own) => own
                .get(&export.plan)
                .ok_or_else(|| format!("{path}/plan: {} has no contract '{}'", export.team, export.plan)),
        };
        let (mut extents, mut from) = (Vec::new(), 0u64);
        for (x, extent) in export.extents.iter().enumerate() {
            let records::Extent { length, shard, at } = *extent;
            if shards.is_some_and(|shards| !shards.contains(&shard)) {
                faults.push(format!("{path}/extents/{x}/shard: no box holds shard {shard}"));
            }
            if at.checked_add(length).is_none() {
                faults.push(format!("{path}/extents/{x}: it ends beyond what an offset can name"));
            }
            extents.push(Extent { from, length, shard, at });
            from = from.saturating_add(length);
        }
        if from != export.size {
            faults.push(format!("{path}/size: it is {}, its extents hold {from} bytes", export.size));
        }
        let volume = u64::from_str_radix(&export.volume, 16).map_err(|e| format!("{path}/volume: {e}"));
        match (plan, volume) {
            (Ok(plan), Ok(volume)) => exports.push(Export {
                name: export.name,
                team: export.team,
                volume,
                plan: *plan,
                hosts: export.hosts,
                write_back: export.write_back,
                size: export.size,
                extents,
            }),
            (plan, volume) => faults.extend(plan.err().into_iter().chain(volume.err())),
        }
    }
    exports
}
