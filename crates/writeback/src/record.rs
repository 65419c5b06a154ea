//! The records of the log, encoded with postcard. They are versioned by the log's format version.
//!
//! The encoding is positional: the order of variants and of fields must not change.

use crate::piece::{Piece, PieceId};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A record of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Record {
    /// A piece of a write.
    Write {
        /// The piece's number.
        id: PieceId,
        /// The volume to write to.
        volume: u64,
        /// Where the piece begins in the export, in bytes.
        export_offset: u64,
        /// The shard to write to.
        shard: u16,
        /// Where the piece begins on the shard's endpoint, in bytes.
        endpoint_offset: u64,
        /// This record is a rewritten copy, and an intent without an outcome preceded the copy.
        may_have_run: bool,
        /// The data to write.
        data: Bytes,
    },
    /// The piece may be sent from now on, and may therefore have run.
    Intent(PieceId),
    /// The piece provably never ran, or was released to be sent again: another intent may follow.
    NeverRan(PieceId),
    /// The piece is settled: its data is at the endpoint, or must not be sent.
    Settled(PieceId),
}

impl Record {
    pub fn write(id: PieceId, volume: u64, piece: Piece, may_have_run: bool) -> Self {
        let Piece { export_offset, shard, endpoint_offset, data } = piece;
        Record::Write { id, volume, export_offset, shard, endpoint_offset, may_have_run, data }
    }

    pub fn encode(&self) -> Vec<u8> {
        // Encoding fails only when memory runs out, and that ends the process.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes a record. Returns `None` if the bytes are not exactly one record.
    pub fn decode(bytes: &[u8]) -> Option<Record> {
        match postcard::take_from_bytes(bytes) {
            Ok((record, [])) => Some(record),
            _ => None,
        }
    }
}
