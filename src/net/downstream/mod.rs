//! The clients' side: HTTP/1.1 from connections to requests of the core, and its answers back.
//!
//! [`front`] serves requests; [`request_head`] reads what a head says; [`request_ids`] rejects a second request under one
//! id. Connections are bounded apart from the HTTP library, which has no clocks for bodies and later heads:
//! [`connection`] is the state of one, [`connection_registry`] ends those whose time is over, [`client_stream`] is what
//! the library reads from, and [`read_ahead`] holds what clients send ahead of answers.

pub mod client_stream;
pub mod connection;
pub mod connection_registry;
pub mod front;
pub mod read_ahead;
pub mod request_head;
pub mod request_ids;
