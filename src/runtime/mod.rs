//! What every front shares: the loop that carries the core's effects out, the accept loop and its graceful shutdown,
//! sockets, streamed JSON and the log. It owns no protocol and decides nothing; fronts depend on it, never the reverse.

pub mod host;
pub mod json_stream;
pub mod listener;
pub mod log;
pub mod shutdown;
pub mod sockets;
