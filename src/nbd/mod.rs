//! NBD (network block device): clients mount exports over it, and endpoints are reached over it.
//!
//! [`front`] is the server that clients connect to: it turns each command into requests of the core. [`endpoint_client`]
//! carries out the attempts that the core decides on. Both use the message layouts of [`codec`].

pub mod codec;
pub mod endpoint_client;
mod endpoint_connection;
pub mod front;
