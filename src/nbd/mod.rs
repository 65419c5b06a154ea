//! NBD (Network Block Device): the protocol over which clients mount exports and endpoints are accessed.
//!
//! [`front`] is the server that clients connect to; it submits the parts of each command to the core as
//! requests. [`endpoint_client`] carries out the attempts that the core starts. Both encode and decode
//! messages with [`codec`].

pub mod codec;
pub mod durability;
pub mod endpoint_client;
mod endpoint_connection;
pub mod front;
