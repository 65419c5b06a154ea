//! The errors of an invalid operator's file. All errors are reported at once, each with a JSON pointer to its
//! value.

use std::fmt;
use std::net::SocketAddr;
use std::num::ParseIntError;
use thiserror::Error;

/// One error in a file.
#[derive(Debug)]
pub struct ValidationError {
    /// The JSON pointer of the invalid value (RFC 6901); empty: the whole file.
    pub path: String,
    /// The kind of the error.
    pub kind: ValidationErrorKind,
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        self.kind.fmt(f)
    }
}

/// The kinds of errors.
#[derive(Debug, Error)]
pub enum ValidationErrorKind {
    /// The text is not valid JSON.
    #[error("not JSON: {0}")]
    NotJson(simd_json::Error),
    /// The JSON Schema that the program generates is invalid.
    #[error("the program's own schema is invalid: {0}")]
    InvalidSchema(Box<jsonschema::ValidationError<'static>>),
    /// The JSON Schema does not allow the value.
    #[error("{0}")]
    SchemaViolation(Box<jsonschema::ValidationError<'static>>),
    /// The JSON Schema allows the value, but it can't be deserialized, such as a whole number with a decimal
    /// point.
    #[error("{0}")]
    Deserialize(serde_json::Error),
    /// An address is not on this machine. Connections carry neither identities nor secrets that could be
    /// checked, so only loopback addresses are allowed.
    #[error("{0} is not a loopback address")]
    NotLoopback(SocketAddr),
    /// An address can't be parsed.
    #[error("'{0}' is not an IP address with a port")]
    NotAnAddress(String),
    /// The address for peers has port 0, for which the system assigns a port at startup.
    #[error("port 0 is not allowed: peers can't know a port that is assigned at startup")]
    UnknownPeerPort,
    /// An export has write-back, but the file does not configure the write-back cache.
    #[error("write-back needs the key 'write_back' of the file")]
    MissingWriteBack,
    /// An export with write-back has several initiators.
    #[error("an export with write-back must have one initiator, this one")]
    SharedWriteBack,
    /// `changes-data` has another length than `lanes`.
    #[error("{entries} entries for {classes} lanes")]
    WrongClassCount {
        /// The length of `changes-data`.
        entries: usize,
        /// The number of classes.
        classes: usize,
    },
    /// No class is for writes.
    #[error("no class writes data")]
    NoWriteClass,
    /// Several classes are for writes.
    #[error("{names} all write data; NBD has one kind of write, select its class in domain.changes-data")]
    ManyWriteClasses {
        /// The names of the classes.
        names: String,
    },
    /// The class of writes is declared to carry an idempotency key.
    #[error(
        "NBD has no idempotency key for endpoints to drop repeats by: use 'at_most_once' or 'idempotent'"
    )]
    KeyedWrites,
    /// No class is for reads.
    #[error("no class reads data")]
    NoReadClass,
    /// A limit has no burst.
    #[error("a limit needs a burst above 0")]
    LimitWithoutBurst,
    /// A reserve exceeds the limit of its contract, both in units per second.
    #[error("the reserve of {reserve} exceeds the limit of {limit}")]
    ReserveBeyondLimit {
        /// The reserve.
        reserve: f64,
        /// The limit.
        limit: f64,
    },
    /// A name that must be unique is used more than once.
    #[error("'{0}' is used more than once")]
    Duplicate(String),
    /// The team of an export is not listed.
    #[error("unknown team '{0}'")]
    UnknownTeam(String),
    /// The team of an export has no contract for the plan of the export.
    #[error("team '{team}' has no contract for plan '{plan}'")]
    UnknownPlan {
        /// The team.
        team: String,
        /// The plan.
        plan: String,
    },
    /// No listed endpoint holds the shard.
    #[error("no endpoint holds shard {0}")]
    UnknownShard(u16),
    /// The end of an extent at its endpoint exceeds the largest offset.
    #[error("the end of the extent exceeds the largest 64-bit offset")]
    ExtentTooLong,
    /// The size of an export is not the sum of its extents.
    #[error("the size is {size} bytes, but the extents hold {extents} bytes")]
    WrongSize {
        /// The stated size, in bytes.
        size: u64,
        /// The size of all extents, in bytes.
        extents: u64,
    },
    /// A volume is not a hexadecimal number.
    #[error("{0}")]
    BadVolume(ParseIntError),
}

/// All errors in a file.
#[derive(Debug, Default)]
pub struct ValidationErrors(Vec<ValidationError>);

impl ValidationErrors {
    pub(super) fn add(&mut self, path: impl Into<String>, kind: ValidationErrorKind) {
        self.0.push(ValidationError { path: path.into(), kind });
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the text of each error.
    pub fn lines(&self) -> Vec<String> {
        self.0.iter().map(ValidationError::to_string).collect()
    }
}

impl From<ValidationErrorKind> for ValidationErrors {
    /// An error of the whole file.
    fn from(kind: ValidationErrorKind) -> Self {
        ValidationErrors(vec![ValidationError { path: String::new(), kind }])
    }
}

impl fmt::Display for ValidationErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.lines().join("; "))
    }
}

impl std::error::Error for ValidationErrors {}
