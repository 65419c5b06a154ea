//! Splits a command into parts: an export lies on several shards, while a request of the core goes to one
//! shard and has a maximum size.

use crate::nbd::codec::{cmd, Request};
use crate::operator::{Export, OperatorConfig};
use std::collections::BTreeSet;
use std::ops::Range;

/// A part of a command that lies on one shard and does not exceed the maximum size of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Part {
    /// The shard that holds the part.
    pub shard: u16,
    /// The offset of the part in the command's range, in bytes.
    pub range_offset: u32,
    /// The length of the part, in bytes.
    pub length: u32,
    /// The offset of the part in the endpoint's export, in bytes.
    pub endpoint_offset: u64,
}

impl Part {
    /// Returns the range of the part in the command's data.
    pub fn data_range(&self) -> Range<usize> {
        self.range_offset as usize..(self.range_offset + self.length) as usize
    }

    /// Returns the offset of the part in the export, in bytes.
    pub fn export_offset(&self, request: &Request) -> u64 {
        request.offset + u64::from(self.range_offset)
    }
}

/// Returns the parts of a command, by their offset in the export. A flush has one part for each shard of the
/// export.
pub(super) fn split_command(request: &Request, export: &Export, operator: &OperatorConfig) -> Vec<Part> {
    if request.command == cmd::FLUSH {
        return flush_parts(export);
    }
    let max_length = max_part_bytes(operator);
    let end = request.offset + u64::from(request.length);
    let mut at = request.offset;
    let mut parts = Vec::new();
    for extent in &export.extents {
        let extent_end = extent.export_offset + extent.length;
        while at < end && (extent.export_offset..extent_end).contains(&at) {
            let length = (end.min(extent_end) - at).min(max_length);
            parts.push(Part {
                shard: extent.shard,
                range_offset: (at - request.offset) as u32,
                length: length as u32,
                endpoint_offset: extent.endpoint_offset + (at - extent.export_offset),
            });
            at += length;
        }
    }
    parts
}

fn flush_parts(export: &Export) -> Vec<Part> {
    let shards: BTreeSet<u16> = export.extents.iter().map(|extent| extent.shard).collect();
    let part = |shard| Part { shard, range_offset: 0, length: 0, endpoint_offset: 0 };
    shards.into_iter().map(part).collect()
}

fn max_part_bytes(operator: &OperatorConfig) -> u64 {
    let max_units = operator.settings.max_request_units.max(1.0) as u64;
    max_units.saturating_mul(operator.unit_bytes.into())
}
