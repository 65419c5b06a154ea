//! The core of an initiator: in which order, when and where the I/O requests of many volumes go to the disk
//! boxes that hold their data.
//!
//! It owns every decision ([`choice`]), the state of every request and box ([`broker`]), what each end of a
//! connection proves ([`ending`]) and the forms of what it is told ([`members`], [`settings`]).
//!
//! It never reads or writes, holds no socket and reads no clock: time comes with each input, and what is to be
//! done goes out as effects. That the crate has no runtime among its dependencies keeps it so.

pub mod asking;
pub mod broker;
pub mod choice;
pub mod ending;
pub mod hearsay;
pub mod interface;
pub mod json;
mod measure;
pub mod members;
pub mod memo;
pub mod notice;
pub mod settings;
pub mod starts;
mod state;
