//! shaletack is a storage initiator. It schedules the I/O requests of many volumes onto the endpoints that
//! hold their data: it decides in which order, when and to which endpoint each request goes, and sends it
//! there.
//!
//! The core, `shaletack-core`, does no I/O: [`runtime::host`] feeds inputs to [`broker::Broker`] and carries
//! out the effects that it returns. All scheduling decisions are made in [`scheduler`]. This package is the
//! program around the core: the fronts that clients connect to, the clients for endpoints, the sources of the
//! endpoint list, and the command line.

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
