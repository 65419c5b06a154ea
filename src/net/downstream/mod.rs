//! The HTTP/1.1 server for clients: turns their requests into requests to the core, and the core's answers
//! into responses.
//!
//! [`front`] serves requests, [`request_head`] parses their heads, and [`request_ids`] rejects a second
//! request with the same id.
//!
//! The HTTP library, actix-http, has no timeouts for bodies, or for the heads of later requests on a
//! connection. These modules limit connections instead: [`connection`] is the state of one connection,
//! [`connection_registry`] closes connections that have timed out, [`client_stream`] is the stream that the
//! library reads from, [`request_framing`] finds the ends of requests, [`read_ahead`] holds what is sent ahead, and `memory` counts what a connection holds.

pub mod client_stream;
pub mod connection;
pub mod connection_registry;
pub mod front;
pub mod memory;
mod memory_observer;
pub mod read_ahead;
pub mod request_framing;
pub mod request_head;
pub mod request_ids;
