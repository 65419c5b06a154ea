//! How initiators find each other and exchange what they know, without the sockets.
//!
//! An installation lists a few addresses of its initiators; each initiator has to learn of all others, and to notice
//! within seconds when one is gone, at a constant load each. [`Membership`] does that by SWIM ("Scalable
//! Weakly-consistent Infection-style Process Group Membership Protocol", Das, Gupta and Motivala, 2002) on the `foca`
//! crate. [`frame`] is the format of an exchange over TCP, by which an initiator asks another at its start.
//!
//! Both are state machines: bytes and times come in, bytes and timers go out. The crate opens no socket, reads no clock and
//! draws no seed. What the exchanged reports mean is `shaletack-observations`' to say. Whatever bytes come in, the answer
//! is a value or an error, never a panic.

mod datagram;
pub mod frame;
mod member;
mod membership;
mod swim_config;
mod timers;

pub use datagram::{DatagramError, DATAGRAM_VERSION, MAX_DATAGRAM_BYTES};
pub use member::Member;
pub use membership::{Effect, Input, Membership};
