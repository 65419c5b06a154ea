//! Group membership of the initiators and the format of their exchanges, without the sockets.
//!
//! The configuration lists the addresses of a few initiators. From these each initiator has to discover all
//! others, and has to notice within seconds when one of them fails, at a constant load per initiator.
//! [`Membership`] implements this with SWIM ("SWIM: Scalable Weakly-consistent Infection-style Process Group
//! Membership Protocol", Das, Gupta and Motivala, 2002) on the `foca` crate. [`frame`] is the format of an
//! exchange over TCP, in which a starting initiator asks another one what it knows.
//!
//! The crate performs no I/O: bytes and times are its input, bytes and timers its output. It opens no socket,
//! reads no clock and draws no random seed; callers pass these in. Input of any kind yields a value or an
//! error, never a panic. The meaning of the exchanged reports is defined in `shaletack-observations`.

mod datagram;
pub mod frame;
mod member;
mod membership;
mod swim_config;
mod timers;

pub use datagram::{DatagramError, DATAGRAM_VERSION, MAX_DATAGRAM_BYTES};
pub use member::Member;
pub use membership::{Effect, Input, Membership};
