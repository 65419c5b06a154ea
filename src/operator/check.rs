//! Checks how the parts of a file fit together, which its schema can't say, and makes the [`Operator`] of it.

use super::classes::find_classes;
use super::exports::{check_contracts, check_exports};
use super::fault::{Faults, Problem};
use super::records::{self, DiskBox, File, Phase, Unsettled};
use super::{Etcd, Operator, Peers, WriteBack};
use crate::endpoint_list::{EndpointList, EndpointRecord};
use crate::interface::{EndpointListKind, Readiness, Settings};
use shaletack_wal::LogConfig;
use shaletack_writeback::InDoubtPolicy;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Segments of the write-back log: this part of the log, and no larger than that, in bytes. One holds the largest write.
const LOG_SEGMENTS: u64 = 16;
const MAX_SEGMENT_BYTES: u64 = 64 << 20;
/// One part in so many of the log is kept for records that settle writes.
const LOG_RESERVE_DIVISOR: u64 = 4;

/// Checks a file and makes what the program uses of it.
///
/// # Errors
/// All that does not fit.
pub(super) fn check(file: File) -> Result<Operator, Faults> {
    let mut faults = Faults::default();
    let listen = check_address(&file.listen, "/listen", &mut faults);
    let follows_etcd = file.etcd.is_some();
    let etcd = file.etcd.and_then(|etcd| check_etcd(etcd, &mut faults));
    let peers = file.peers.and_then(|peers| check_peers(peers, &mut faults));
    check_buffered_exports(&file.exports, file.write_back.is_some(), &mut faults);
    let changes_data = file.settings.domain.changes_data.clone();
    let mut settings = Settings::from(file.settings);
    let classes = find_classes(&settings.classes, &changes_data, &mut faults);
    let contracts = check_contracts(&file.teams, &mut settings, &mut faults);
    let entries = check_endpoints(&file.boxes, &mut faults);
    // Of a list that is followed elsewhere it is not known here which shards it has.
    let shards: Option<BTreeSet<u16>> =
        (!follows_etcd).then(|| entries.iter().map(|entry| entry.shard).collect());
    let exports = check_exports(file.exports, &contracts, shards.as_ref(), &mut faults);
    let (Some(listen), Some(classes), true) = (listen, classes, faults.is_empty()) else {
        return Err(faults);
    };
    Ok(Operator {
        listen,
        unit_bytes: file.unit_bytes,
        large_read_threshold: file.large_from,
        endpoint_export: file.box_export,
        max_descriptors: file.sockets,
        version: file.version,
        exports,
        endpoints: EndpointList { revision: 0, kind: EndpointListKind::Cached, entries },
        etcd,
        peers,
        write_back: file.write_back.map(write_back),
        classes,
        settings,
    })
}

fn check_address(text: &str, path: &str, faults: &mut Faults) -> Option<SocketAddr> {
    match text.parse::<SocketAddr>() {
        Ok(address) if address.ip().is_loopback() => return Some(address),
        Ok(address) => faults.add(path, Problem::NotLoopback(address)),
        Err(_) => faults.add(path, Problem::NotAnAddress(text.to_owned())),
    }
    None
}

fn check_etcd(etcd: records::Etcd, faults: &mut Faults) -> Option<Etcd> {
    let address = check_address(&etcd.address, "/etcd/address", faults)?;
    Some(Etcd { address, prefix: etcd.prefix })
}

fn check_peers(peers: records::Peers, faults: &mut Faults) -> Option<Peers> {
    let listen = check_address(&peers.listen, "/peers/listen", faults);
    if listen.is_some_and(|address| address.port() == 0) {
        faults.add("/peers/listen", Problem::ChosenPort);
    }
    let mut join = Vec::new();
    for (index, text) in peers.join.iter().enumerate() {
        join.extend(check_address(text, &format!("/peers/join/{index}"), faults));
    }
    Some(Peers { name: peers.name, listen: listen?, join, region: peers.region, zone: peers.zone })
}

fn check_buffered_exports(exports: &[records::Export], has_write_back: bool, faults: &mut Faults) {
    for (index, export) in exports.iter().enumerate().filter(|(_, export)| export.write_back) {
        if !has_write_back {
            faults.add(format!("/exports/{index}/write_back"), Problem::NoWriteBack);
        }
        if export.hosts > 1.0 {
            faults.add(format!("/exports/{index}/hosts"), Problem::SharedWriteBack);
        }
    }
}

fn write_back(write_back: records::WriteBack) -> WriteBack {
    let max_bytes = write_back.most_mib << 20;
    WriteBack {
        folder: write_back.folder.into(),
        log: LogConfig {
            segment_bytes: (max_bytes / LOG_SEGMENTS).min(MAX_SEGMENT_BYTES),
            max_bytes,
            reserved_bytes: max_bytes / LOG_RESERVE_DIVISOR,
        },
        attempt_lifetime: Duration::from_millis(write_back.attempt_lives_ms),
        in_doubt_policy: match write_back.unsettled {
            Unsettled::Ask => InDoubtPolicy::AskOperator,
            Unsettled::Resend => InDoubtPolicy::Resend,
        },
        units_per_second: write_back.units,
        max_age: Duration::from_millis(write_back.age_ms),
    }
}

fn check_endpoints(boxes: &[DiskBox], faults: &mut Faults) -> Vec<EndpointRecord> {
    let mut ids = BTreeSet::new();
    let mut records = Vec::new();
    for (index, entry) in boxes.iter().enumerate() {
        let record = endpoint_record(entry);
        // A removed endpoint needs no address.
        let needs_address = !(entry.host_port.is_empty() && record.readiness == Readiness::Removed);
        if record.address.is_none() && needs_address {
            faults.add(format!("/boxes/{index}/host_port"), Problem::NotAnAddress(entry.host_port.clone()));
        }
        if !ids.insert(&entry.id) {
            faults.add(format!("/boxes/{index}/id"), Problem::Duplicate(entry.id.clone()));
        }
        records.push(record);
    }
    records
}

fn endpoint_record(entry: &DiskBox) -> EndpointRecord {
    EndpointRecord {
        id: entry.id.clone(),
        address: entry.host_port.parse().ok(),
        zone: entry.locality.clone(),
        shard: entry.cell,
        readiness: match entry.phase {
            Phase::Up => Readiness::Ready,
            Phase::Draining => Readiness::Draining,
            Phase::Removed => Readiness::Removed,
        },
        up_since: (entry.up_since_ms > 0).then(|| Duration::from_millis(entry.up_since_ms)),
    }
}
