//! What a log was made for. A log that was made for other exports would put its writes in the wrong place.

use crate::operator::{Export, Extent, OperatorConfig};
use shaletack_wal::format;

/// Hash of the exports that may be buffered, of where their bytes lie, and of the export on the endpoints.
///
/// Every stored log holds this hash, so the text that it is taken from must stay as it is, whatever the types are
/// called.
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
