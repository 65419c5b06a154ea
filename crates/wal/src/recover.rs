//! What of a log that was cut off is whole. Only the end of the last segment may be torn: everything before it
//! was durable when what follows was written, and a flaw there is damage, told and never cut.

use crate::form::{self, Bad, BLOCK};
use crate::{Identity, Seq};
use std::fmt;

/// A log as found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// Each record with its number and the segment that it lies in.
    pub records: Vec<(Seq, u64, Vec<u8>)>,
    /// The segments, and how many bytes of each are in use.
    pub segments: Vec<(u64, u64)>,
    /// The number of the last record.
    pub last: Seq,
    /// Something was cut off behind the last whole batch, in this segment from this byte on. It was never
    /// reported durable, and is to be cut from the disk before anything is written.
    pub torn: Option<(u64, u64)>,
}

/// Why a log can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Damage {
    /// It was written by a version that this program does not read.
    Version(u16),
    /// It is another log, or was made for something else.
    Foreign(Identity),
    /// Bytes that were durable have changed or are gone.
    Flaw {
        /// In which segment.
        segment: u64,
        /// From where on.
        at: u64,
    },
    /// A segment between others is missing.
    Missing(u64),
}

impl fmt::Display for Damage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Damage::Version(theirs) => {
                write!(f, "the log is of version {theirs}; this program reads version {}", form::VERSION)
            }
            Damage::Foreign(_) => f.write_str("the log was made for other exports or boxes"),
            Damage::Flaw { segment, at } => {
                write!(
                    f,
                    "segment {segment} is damaged from byte {at} on, before data that was durable later"
                )
            }
            Damage::Missing(segment) => write!(f, "segment {segment} is missing"),
        }
    }
}

impl std::error::Error for Damage {}

/// Reads all segments of a log, given by number in rising order.
pub fn recover(identity: Identity, segments: &[(u64, Vec<u8>)]) -> Result<Recovered, Damage> {
    let mut found = Recovered::default();
    // A segment is removed only once a batch that does without it is durable.
    let mut oldest = u64::MAX;
    for (place, (number, bytes)) in segments.iter().enumerate() {
        let is_last = place + 1 == segments.len();
        if let Some((before, _)) = place.checked_sub(1).map(|p| &segments[p]) {
            if before + 1 != *number {
                return Err(Damage::Missing(before + 1));
            }
        }
        let flaw = |at: usize| Damage::Flaw { segment: *number, at: at as u64 };
        let mut at = 0;
        while at < bytes.len() {
            match form::read(&bytes[at..], identity, *number) {
                Ok((head, records, length)) => {
                    let expected =
                        if found.last == 0 && found.records.is_empty() { head.first } else { found.last + 1 };
                    if head.first != expected {
                        return Err(flaw(at));
                    }
                    oldest = head.oldest;
                    for (i, record) in records.into_iter().enumerate() {
                        found.records.push((head.first + i as u64, *number, record));
                    }
                    found.last = head.first + u64::from(head.count) - 1;
                    at += length;
                }
                Err(Bad::Version(theirs)) => return Err(Damage::Version(theirs)),
                Err(Bad::Foreign(theirs)) => return Err(Damage::Foreign(theirs)),
                Err(bad) => {
                    let later = (at + BLOCK..bytes.len())
                        .step_by(BLOCK)
                        .any(|p| form::read(&bytes[p..], identity, *number).is_ok());
                    // A batch that is whole behind this one was written after this one was durable.
                    if later || !is_last && (bad != Bad::Empty || at == 0) {
                        return Err(flaw(at));
                    }
                    if bytes[at..].iter().any(|b| *b != 0) {
                        found.torn = Some((*number, at as u64));
                    }
                    break;
                }
            }
        }
        found.segments.push((*number, at as u64));
    }
    match segments.first() {
        Some((lowest, _)) if *lowest > oldest => Err(Damage::Missing(oldest)),
        _ => Ok(found),
    }
}
