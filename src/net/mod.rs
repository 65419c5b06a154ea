//! The platform's side: HTTP to clients and boxes, discovery, operators' calls and two versions at once. Nothing
//! is decided here.

pub mod boxes;
pub mod downstream;
pub mod handover;
pub mod management;
pub mod stream;
pub mod watch;
