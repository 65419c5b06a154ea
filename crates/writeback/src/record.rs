//! What stands in the log. Its version is the log's.

use crate::PieceId;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// One record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Record {
    /// A piece of a write.
    Write {
        /// Its number.
        id: PieceId,
        /// The export, by its volume.
        export: u64,
        /// Where in the export.
        from: u64,
        /// The shard that holds it.
        shard: u16,
        /// Where on the shard's box.
        at: u64,
        /// An intent stood before this record, which was written anew.
        intended: bool,
        /// What is written.
        data: Bytes,
    },
    /// It may be sent from now on.
    Intent(PieceId),
    /// It provably never ran: it may have another intent.
    NeverRan(PieceId),
    /// It is done with.
    Settled(PieceId),
}

impl Record {
    pub(crate) fn bytes(&self) -> Vec<u8> {
        // Only running out of memory keeps it from being written, and that ends the process.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    pub(crate) fn read(bytes: &[u8]) -> Option<Record> {
        match postcard::take_from_bytes(bytes) {
            Ok((record, [])) => Some(record),
            _ => None,
        }
    }
}
