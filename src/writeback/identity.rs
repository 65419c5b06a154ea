//! The purpose of a log: the exports and extents that it was created for. Replaying the log for other exports
//! would write its data to the wrong place.

use crate::operator::{Export, Extent, OperatorConfig};
use shaletack_wal::format;

/// Hashes the buffered exports, the location of their bytes, and the name of the export on the endpoints.
///
/// Every stored log contains this hash, so the hashed text must never change, even when the types are
/// renamed.
pub(super) fn purpose(operator: &OperatorConfig) -> u64 {
    let buffered = operator.exports.iter().filter(|export| export.write_back);
    let exports: Vec<String> = buffered.map(describe_export).collect();
    let description = format!("[{}] {}", exports.join(", "), operator.endpoint_export);
    format::hash_purpose(description.as_bytes())
}

fn describe_export(export: &Export) -> String {
    let extents: Vec<String> = export.extents.iter().map(describe_extent).collect();
    format!("({}, {}, [{}])", export.volume, export.size, extents.join(", "))
}

fn describe_extent(extent: &Extent) -> String {
    let Extent { export_offset, length, shard, endpoint_offset } = extent;
    format!("Extent {{ from: {export_offset}, length: {length}, shard: {shard}, at: {endpoint_offset} }}")
}
