//! shaletack is an initiator: it decides in which order, when and where the I/O requests of many volumes
//! go to the disk boxes that hold their data, and carries that out on sockets.
//!
//! The core does no I/O: a host feeds [`choice::Scheduler`] with [`interface::Event`]s and carries
//! out the [`interface::Action`]s it gets back. Every decision is in [`choice`].

pub mod broker;
pub mod choice;
pub mod config;
pub mod ending;
pub mod etcd;
pub mod interface;
pub mod json;
mod measure;
pub mod members;
pub mod memo;
pub mod nbd;
pub mod net;
pub mod operator;
pub mod runtime;
pub mod settings;
mod state;
pub mod wire;

#[doc = include_str!("../README.md")]
#[cfg(doctest)]
struct Readme;
