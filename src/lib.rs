//! shaletack is an initiator: it decides in which order, when and where the I/O requests of many volumes
//! go to the disk boxes that hold their data, and carries that out on sockets.
//!
//! The core, `shaletack-core`, does no I/O: [`runtime::host`] feeds [`broker::Broker`] with inputs and carries
//! out the effects it gets back. Every decision is in [`scheduler`]. This package is the program round it: fronts,
//! box clients, lists of boxes and the command line.

pub use shaletack_core::{
    broker, endpoint_list, endpoint_list_poll, gossip, interface, json, operator_event, outcome, scheduler,
    settings, units_message,
};

pub mod config;
pub mod etcd;
pub mod nbd;
pub mod net;
pub mod operator;
pub mod peers;
pub mod runtime;
pub mod simulator;
pub mod writeback;

#[doc = include_str!("../README.md")]
#[cfg(doctest)]
struct Readme;
