//! The client side towards endpoints: sends attempts as HTTP/1.1 requests over pooled connections.
//!
//! The HTTP library (awc) takes an interim (1xx) response for the final one. It also discards the bytes that
//! it has read past the end of a response, so that the rest of them would be read as the response to the next
//! request. [`connection`] sits between the library and the socket and lets the library read exactly one
//! final response for each request (RFC 9112, 6.3 and 9.2); [`read_state`] is how far it has read. [`response_head`] finds where a response ends,
//! and [`chunked`] where a chunked body ends. [`repeated_responses`] recognises a response that may be a
//! second copy of the one before it, and [`repeat_evidence`] decides whether it is served.
//!
//! - [`endpoint_clients`] is the connection pool, [`open_connections`] counts its connections, and
//!   [`keep_alive`] decides which idle connections may be reused.
//! - [`upstream_call`] sends one client request, once for each attempt, with the body that [`request_body`]
//!   provides.
//! - [`response`] reads a response, [`response_body`] streams a large one to the client, and [`load_report`]
//!   parses the headers in which endpoints report their load. [`limits`] bounds the size and pauses of
//!   bodies.
//! - [`attempt_context`] and [`expiry_header`] hold what a connection needs to know of the attempt that uses
//!   it.

pub mod attempt_context;
pub mod chunked;
pub mod connection;
pub mod endpoint_clients;
pub mod expiry_header;
pub mod keep_alive;
pub mod limits;
pub mod load_report;
pub mod open_connections;
pub mod read_state;
pub mod repeat_evidence;
pub mod repeated_responses;
pub mod request_body;
pub mod response;
pub mod response_body;
pub mod response_head;
pub mod upstream_call;
