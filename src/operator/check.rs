//! Checks what a JSON Schema can't express, above all that the parts of a file are consistent, and builds the
//! [`OperatorConfig`].

use super::classes::find_classes;
use super::exports::{check_contracts, check_exports};
use super::records::{self, OperatorFile, Phase, UnsettledPolicy};
use super::validation_error::{ValidationErrorKind, ValidationErrors};
use super::{Etcd, OperatorConfig, Peers, WriteBack};
use crate::endpoint_list::{EndpointList, EndpointRecord};
use crate::interface::{EndpointListKind, Readiness, Settings};
use shaletack_wal::LogConfig;
use shaletack_writeback::InDoubtPolicy;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// A segment of the write-back log takes one of this many parts of the log, up to [`MAX_SEGMENT_BYTES`].
const LOG_SEGMENTS: u64 = 16;
/// The maximum size of a segment, in bytes. One segment holds the largest write.
const MAX_SEGMENT_BYTES: u64 = 64 << 20;
/// One of this many parts of the log is reserved for records that settle writes.
const LOG_RESERVE_DIVISOR: u64 = 4;

/// Checks a file that matches the JSON Schema, and converts it to the types of the program.
///
/// # Errors
/// All errors found.
pub(super) fn check(file: OperatorFile) -> Result<OperatorConfig, ValidationErrors> {
    let mut errors = ValidationErrors::default();
    let listen = check_address(&file.listen, "/listen", &mut errors);
    let is_list_in_etcd = file.etcd.is_some();
    let etcd = file.etcd.and_then(|etcd| check_etcd(etcd, &mut errors));
    let peers = file.peers.and_then(|peers| check_peers(peers, &mut errors));
    check_buffered_exports(&file.exports, file.write_back.is_some(), &mut errors);
    let changes_data = file.settings.domain.changes_data.clone();
    let mut settings = Settings::from(file.settings);
    let classes = find_classes(&settings.classes, &changes_data, &mut errors);
    let plan_numbers = check_contracts(&file.teams, &mut settings, &mut errors);
    let entries = check_endpoints(&file.boxes, &mut errors);
    // The shards are unknown if etcd holds the endpoint list.
    let shards: Option<BTreeSet<u16>> =
        (!is_list_in_etcd).then(|| entries.iter().map(|entry| entry.shard).collect());
    let exports = check_exports(file.exports, &plan_numbers, shards.as_ref(), &mut errors);
    let (Some(listen), Some(classes), true) = (listen, classes, errors.is_empty()) else {
        return Err(errors);
    };
    Ok(OperatorConfig {
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
        write_back: file.write_back.map(write_back_settings),
        classes,
        settings,
    })
}

/// Parses an address, which must be a loopback address.
fn check_address(text: &str, path: &str, errors: &mut ValidationErrors) -> Option<SocketAddr> {
    match text.parse::<SocketAddr>() {
        Ok(address) if address.ip().is_loopback() => return Some(address),
        Ok(address) => errors.add(path, ValidationErrorKind::NotLoopback(address)),
        Err(_) => errors.add(path, ValidationErrorKind::NotAnAddress(text.to_owned())),
    }
    None
}

fn check_etcd(etcd: records::Etcd, errors: &mut ValidationErrors) -> Option<Etcd> {
    let address = check_address(&etcd.address, "/etcd/address", errors)?;
    Some(Etcd { address, prefix: etcd.prefix })
}

fn check_peers(peers: records::Peers, errors: &mut ValidationErrors) -> Option<Peers> {
    let listen = check_address(&peers.listen, "/peers/listen", errors);
    if listen.is_some_and(|address| address.port() == 0) {
        errors.add("/peers/listen", ValidationErrorKind::UnknownPeerPort);
    }
    let mut join = Vec::new();
    for (index, text) in peers.join.iter().enumerate() {
        join.extend(check_address(text, &format!("/peers/join/{index}"), errors));
    }
    Some(Peers { name: peers.name, listen: listen?, join, region: peers.region, zone: peers.zone })
}

/// Checks that exports with write-back have a write-back cache and a single initiator.
fn check_buffered_exports(exports: &[records::Export], has_write_back: bool, errors: &mut ValidationErrors) {
    for (index, export) in exports.iter().enumerate().filter(|(_, export)| export.write_back) {
        if !has_write_back {
            errors.add(format!("/exports/{index}/write_back"), ValidationErrorKind::MissingWriteBack);
        }
        if export.hosts > 1.0 {
            errors.add(format!("/exports/{index}/hosts"), ValidationErrorKind::SharedWriteBack);
        }
    }
}

fn write_back_settings(write_back: records::WriteBack) -> WriteBack {
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
            UnsettledPolicy::Ask => InDoubtPolicy::AskOperator,
            UnsettledPolicy::Resend => InDoubtPolicy::Resend,
        },
        units_per_second: write_back.units,
        max_age: Duration::from_millis(write_back.age_ms),
    }
}

fn check_endpoints(endpoints: &[records::Endpoint], errors: &mut ValidationErrors) -> Vec<EndpointRecord> {
    let mut ids = BTreeSet::new();
    let mut records = Vec::new();
    for (index, entry) in endpoints.iter().enumerate() {
        let record = endpoint_record(entry);
        // A removed endpoint needs no address.
        let needs_address = !(entry.host_port.is_empty() && record.readiness == Readiness::Removed);
        if record.address.is_none() && needs_address {
            errors.add(
                format!("/boxes/{index}/host_port"),
                ValidationErrorKind::NotAnAddress(entry.host_port.clone()),
            );
        }
        if !ids.insert(&entry.id) {
            errors.add(format!("/boxes/{index}/id"), ValidationErrorKind::Duplicate(entry.id.clone()));
        }
        records.push(record);
    }
    records
}

fn endpoint_record(entry: &records::Endpoint) -> EndpointRecord {
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
