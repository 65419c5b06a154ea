//! What all fronts share: the loop that carries out the core's effects, the accept loop with its graceful
//! shutdown, sockets, streamed JSON and the log.
//!
//! This module implements no protocol and makes no scheduling decisions. Fronts depend on it, never the other
//! way round.

pub mod host;
pub mod json_stream;
pub mod listener;
pub mod log;
pub mod memory;
pub mod memory_plan;
pub mod process_memory;
pub mod shutdown;
pub mod socket_memory;
pub mod sockets;
