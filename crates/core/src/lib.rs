//! The decision core of an initiator: decides in which order, when and to which endpoint the I/O requests of
//! many volumes are sent.
//!
//! [`scheduler`] makes the decisions, [`broker`] holds the state of every request and endpoint, [`outcome`]
//! defines what each end of a connection proves about the attempt, [`gossip`] evaluates the reports of peers,
//! and [`endpoint_list`] and [`settings`] parse the inputs of those names.
//!
//! The crate performs no I/O, holds no socket and reads no clock: the time comes with each input, and the
//! work to do is returned as effects. The crate has no async runtime among its dependencies, which enforces
//! this.

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
