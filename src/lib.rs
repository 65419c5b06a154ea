//! shaletack decides for a gateway in which order, when and where the I/O requests of many volumes
//! go to the nodes that hold their data.
//!
//! The library does no I/O: a host feeds [`choice::Scheduler`] with [`interface::Event`]s and carries
//! out the [`interface::Action`]s it gets back. Every decision is in [`choice`].

pub mod choice;
pub mod interface;
mod measure;
pub mod memo;
mod state;
pub mod wire;

#[doc = include_str!("../README.md")]
#[cfg(doctest)]
struct Readme;
