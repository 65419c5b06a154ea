//! The settings of a buffer.

use shaletack_wal::LogConfig;
use std::time::Duration;

/// What becomes of a piece that is not at its endpoint once no old attempt can run any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DoubtPolicy {
    /// It is in doubt until an operator decides.
    AskOperator,
    /// It is sent again: the operator vouches that no attempt outlives the bound and nobody else writes there.
    Resend,
}

/// The settings of a buffer.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// How much the log may take.
    pub log: LogConfig,
    /// The longest that an attempt may still run at an endpoint after its connection closed or this process ended.
    pub attempt_lifetime: Duration,
    /// What follows then.
    pub doubt_policy: DoubtPolicy,
}
