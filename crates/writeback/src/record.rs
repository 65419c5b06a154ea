//! The records of the log, in postcard's encoding. Their version is the log's.
//!
//! The encoding is by position: the order of variants and of fields must stay.

use crate::piece::{Piece, PieceId};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// One record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Record {
    /// A piece of a write.
    Write {
        /// Its number.
        id: PieceId,
        /// The volume that is written to.
        volume: u64,
        /// Where it begins in the export, in bytes.
        export_offset: u64,
        /// The shard that holds it.
        shard: u16,
        /// Where it begins on the shard's endpoint, in bytes.
        endpoint_offset: u64,
        /// The record was written again, and an intent stood before it.
        may_have_run: bool,
        /// What is written.
        data: Bytes,
    },
    /// The piece may be sent from now on.
    Intent(PieceId),
    /// The piece provably never ran: it may have another intent.
    NeverRan(PieceId),
    /// The piece is settled: it is at its endpoint, or not to be sent.
    Settled(PieceId),
}

impl Record {
    pub fn write(id: PieceId, volume: u64, piece: Piece, may_have_run: bool) -> Self {
        let Piece { export_offset, shard, endpoint_offset, data } = piece;
        Record::Write { id, volume, export_offset, shard, endpoint_offset, may_have_run, data }
    }

    pub fn encode(&self) -> Vec<u8> {
        // Only running out of memory keeps a record from being encoded, and that ends the process.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// `None`: the bytes are not exactly one record.
    pub fn decode(bytes: &[u8]) -> Option<Record> {
        match postcard::take_from_bytes(bytes) {
            Ok((record, [])) => Some(record),
            _ => None,
        }
    }
}
