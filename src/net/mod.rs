//! The platform's side: HTTP to clients and boxes, discovery, and the loop that carries out what the
//! core asks for. Nothing is decided here.

pub mod boxes;
pub mod crowd;
pub mod front;
pub mod gate;
pub mod handover;
pub mod host;
pub mod lines;
pub mod management;
pub mod stream;
pub mod watch;
