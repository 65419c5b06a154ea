//! The configuration of a buffer.

use shaletack_wal::LogConfig;
use std::time::Duration;

/// How a piece is settled whose data is not at its endpoint once no earlier attempt can still run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InDoubtPolicy {
    /// The piece stays in doubt until an operator decides.
    AskOperator,
    /// The piece is sent again. The operator guarantees that no attempt outlives
    /// [`Config::attempt_lifetime`], and that nobody else writes to the same place.
    Resend,
}

/// The configuration of a buffer.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Size limits of the log.
    pub log: LogConfig,
    /// The longest time that an attempt may still run at an endpoint after its connection closed or this
    /// process ended.
    pub attempt_lifetime: Duration,
    /// How a piece is settled that is not at its endpoint after that time.
    pub in_doubt_policy: InDoubtPolicy,
}
