//! The endpoints' side: attempts of requests as HTTP/1.1 calls, over pooled connections.
//!
//! The HTTP library (awc) takes an interim response for the final one, and drops what it has read past the end of a
//! response, so that the rest of it would be read as the next request's response. [`connection`] stands between the library
//! and the socket and lets it read one response for each request and no more (RFC 9112, 6.3 and 9.2): [`response_head`] finds
//! where a response ends, [`chunked`] where a chunked body does.
//!
//! [`endpoint_clients`] is the pool, [`keep_alive`] says which idle connections may be used again. [`upstream_call`] is one
//! request with its attempts, [`request_body`] what it sends, [`response`] reads what comes back, [`response_body`] is a
//! large one that is streamed to its client, [`load_report`] the headers that endpoints report their load in.
//! [`attempt_context`] and [`expiry_header`] are what a connection knows of the attempt that uses it.

pub mod attempt_context;
pub mod chunked;
pub mod connection;
pub mod endpoint_clients;
pub mod expiry_header;
pub mod keep_alive;
pub mod limits;
pub mod load_report;
pub mod open_connections;
pub mod request_body;
pub mod response;
pub mod response_body;
pub mod response_head;
pub mod upstream_call;
