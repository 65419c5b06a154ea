//! What is wrong with an operator's file. All faults are reported at once, each with its JSON pointer.

use std::fmt;
use std::net::SocketAddr;
use std::num::ParseIntError;
use thiserror::Error;

/// One fault of a file.
#[derive(Debug)]
pub struct Fault {
    /// The JSON pointer of the value that is at fault; empty: the whole file.
    pub path: String,
    /// What is wrong with it.
    pub problem: Problem,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        self.problem.fmt(f)
    }
}

/// What is wrong with a value.
#[derive(Debug, Error)]
pub enum Problem {
    /// The text can't be parsed.
    #[error("not JSON: {0}")]
    NotJson(simd_json::Error),
    /// The program's own schema is not one.
    #[error("the schema: {0}")]
    BadSchema(Box<jsonschema::ValidationError<'static>>),
    /// The schema does not allow the value.
    #[error("{0}")]
    AgainstSchema(Box<jsonschema::ValidationError<'static>>),
    /// The schema allows the value, and no record can hold it, such as a whole number with a point.
    #[error("{0}")]
    NotARecord(serde_json::Error),
    /// An address of another machine: there are neither names nor secrets here, so only this machine is reached.
    #[error("{0} is not a loopback address")]
    NotLoopback(SocketAddr),
    /// An address can't be parsed.
    #[error("'{0}' is not an address and port")]
    NotAnAddress(String),
    /// Peers are given port 0.
    #[error("peers can't know a port that is chosen at the start")]
    ChosenPort,
    /// An export wants write-back, and the file sets up none.
    #[error("the file has no 'write_back'")]
    NoWriteBack,
    /// An export with write-back has several initiators.
    #[error("a buffered export has one initiator, this one")]
    SharedWriteBack,
    /// `changes-data` has another length than `lanes`.
    #[error("{entries} entries for {classes} lanes")]
    WrongClassCount {
        /// Its length.
        entries: usize,
        /// The number of classes.
        classes: usize,
    },
    /// No class is for writes.
    #[error("no class writes")]
    NoWriteClass,
    /// Several classes are for writes.
    #[error("{names} all write; NBD has one kind of write, say which in domain.changes-data")]
    ManyWriteClasses {
        /// Their names.
        names: String,
    },
    /// Writes are declared to carry an idempotency key.
    #[error("NBD carries no key by which boxes could drop a repeat: 'at_most_once', or 'idempotent'")]
    KeyedWrites,
    /// No class is for reads.
    #[error("no class reads")]
    NoReadClass,
    /// A limit without a burst.
    #[error("a limit needs a burst above 0")]
    LimitWithoutBurst,
    /// More is reserved than the limit allows, in units a second.
    #[error("{reserve} is beyond the limit of {limit}")]
    ReserveBeyondLimit {
        /// The reserve.
        reserve: f64,
        /// The limit.
        limit: f64,
    },
    /// A name is used before.
    #[error("'{0}' stands twice")]
    Duplicate(String),
    /// An export's team is not listed.
    #[error("there is no team '{0}'")]
    UnknownTeam(String),
    /// An export's plan is none of its team's.
    #[error("{team} has no contract '{plan}'")]
    UnknownPlan {
        /// The team.
        team: String,
        /// The plan.
        plan: String,
    },
    /// No listed endpoint holds a shard.
    #[error("no box holds shard {0}")]
    UnknownShard(u16),
    /// An extent ends beyond the greatest offset.
    #[error("it ends beyond what an offset can name")]
    ExtentTooLong,
    /// The size of an export is not that of its extents, in bytes.
    #[error("it is {size}, its extents hold {extents} bytes")]
    WrongSize {
        /// The size.
        size: u64,
        /// That of its extents.
        extents: u64,
    },
    /// A volume is not a number in hex digits.
    #[error("{0}")]
    BadVolume(ParseIntError),
}

/// All that is wrong with a file.
#[derive(Debug, Default)]
pub struct Faults(Vec<Fault>);

impl Faults {
    pub(super) fn add(&mut self, path: impl Into<String>, problem: Problem) {
        self.0.push(Fault { path: path.into(), problem });
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Each fault as a line of text.
    pub fn lines(&self) -> Vec<String> {
        self.0.iter().map(Fault::to_string).collect()
    }
}

impl From<Problem> for Faults {
    fn from(problem: Problem) -> Self {
        Faults(vec![Fault { path: String::new(), problem }])
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.lines().join("; "))
    }
}

impl std::error::Error for Faults {}
