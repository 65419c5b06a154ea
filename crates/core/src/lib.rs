//! The core of an initiator: in which order, when and where the I/O requests of many volumes go to the endpoints that hold
//! their data.
//!
//! It owns every decision ([`scheduler`]), the state of every request and endpoint ([`broker`]), what each end of a connection
//! proves ([`outcome`]), what peers report ([`gossip`]) and the forms of what it is told ([`endpoint_list`], [`settings`]).
//!
//! It never reads or writes, holds no socket and reads no clock: time comes with each input, and what is to be done goes out
//! as effects. That the crate has no runtime among its dependencies keeps it so.

pub mod broker;
pub mod counters;
pub mod endpoint_list;
pub mod endpoint_list_poll;
pub mod gossip;
pub mod interface;
pub mod json;
mod measure;
pub mod operator_event;
pub mod outcome;
pub mod scheduler;
pub mod settings;
pub mod start_times;
pub mod units_message;
