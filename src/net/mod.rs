//! The platform's side: HTTP to clients and boxes, discovery, operators' calls and two versions at once. Nothing
//! is decided here.

pub mod discovery;
pub mod downstream;
pub mod handover;
pub mod management;
pub mod upstream;
