//! The platform's side: HTTP to clients and boxes, discovery, operators' calls and two versions at once. Nothing
//! is decided here.

pub mod ahead;
pub mod boxes;
pub mod client;
pub mod crowd;
pub mod front;
pub mod handover;
pub mod management;
pub mod stream;
pub mod watch;
