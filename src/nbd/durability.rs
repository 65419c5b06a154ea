//! What a reply of an endpoint proves about the durability of data there.
//!
//! An endpoint may acknowledge a write that it keeps in memory only, and loses its memory when it ends. Its own
//! client would notice, because its connection breaks. A client of this process would not: its session
//! outlives every connection to an endpoint, and a later flush may reach a process that never saw the write.
//! Data in an endpoint's memory is therefore never taken for written: a write is acknowledged to a client only
//! once it is on stable storage.

use super::codec::transmission_flag;

/// What a read proves about the data that it returned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReadDurability {
    /// The data is on stable storage.
    Durable,
    /// The data may be in the endpoint's memory only.
    #[default]
    Unknown,
}

/// How a read finds out whether the data that it returned is durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadVerification {
    /// A flush that succeeds behind the read, on the same connection and so in the same process, proves that
    /// what was read is durable.
    FlushBehind,
    /// The endpoint has neither FUA nor FLUSH, so it holds nothing in memory only.
    WriteThrough,
    /// Nothing proves it: there is no flush, or a flush covers only what was written on its own connection.
    Impossible,
}

impl ReadVerification {
    /// Returns how reads are verified at an endpoint whose export has these transmission flags.
    pub fn of(transmission_flags: u16) -> Self {
        let supports = |flag| transmission_flags & flag != 0;
        match (supports(transmission_flag::FLUSH), supports(transmission_flag::MULTI_CONN)) {
            (true, true) => ReadVerification::FlushBehind,
            (false, _) if !supports(transmission_flag::FUA) => ReadVerification::WriteThrough,
            _ => ReadVerification::Impossible,
        }
    }

    /// Returns what a read proves whose verification succeeded.
    pub fn proves(self) -> ReadDurability {
        match self {
            ReadVerification::FlushBehind | ReadVerification::WriteThrough => ReadDurability::Durable,
            ReadVerification::Impossible => ReadDurability::Unknown,
        }
    }
}

/// How a write becomes durable at an endpoint before it is acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteDurability {
    /// The reply to a write with the flag FUA proves that the data is durable.
    ForceUnitAccess,
    /// The reply to a flush that follows the write on the same connection proves it.
    FlushBehind,
    /// The endpoint has neither FUA nor FLUSH, so it is taken to write to stable storage before it replies.
    WriteThrough,
}

impl WriteDurability {
    /// Returns how writes become durable at an endpoint whose export has these transmission flags.
    pub fn of(transmission_flags: u16) -> Self {
        let supports = |flag| transmission_flags & flag != 0;
        if supports(transmission_flag::FUA) {
            WriteDurability::ForceUnitAccess
        } else if supports(transmission_flag::FLUSH) {
            WriteDurability::FlushBehind
        } else {
            WriteDurability::WriteThrough
        }
    }
}
