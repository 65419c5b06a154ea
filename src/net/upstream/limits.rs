//! Limits on the size of bodies and on pauses within them, for requests and responses.

use std::time::Duration;

/// The largest body that is buffered whole, in bytes. A buffered request body can be sent again where that is
/// allowed.
pub const MAX_BUFFERED_BODY: usize = 64 * 1024;

/// The largest body that is streamed, in either direction, in bytes. A body that states or reaches a greater
/// length is malformed.
pub const MAX_STREAMED_BODY: u64 = 40 << 20;

/// The longest pause within a body that is streamed. Its reader has received a part of the body and knows
/// that there is more.
pub const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
