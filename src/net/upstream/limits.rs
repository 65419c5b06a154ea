//! Bounds in bytes and time that hold for bodies in both directions.

use std::time::Duration;

/// The largest body that is buffered whole, and sent again where that is allowed, in bytes.
pub const MAX_BUFFERED_BODY: usize = 64 * 1024;

/// The largest body that is streamed, in either direction, in bytes. One that states more, or goes on past it, is malformed.
pub const MAX_STREAMED_BODY: u64 = 40 << 20;

/// The longest pause within a body that is streamed. Its reader has what came, and knows that there is more.
pub const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
