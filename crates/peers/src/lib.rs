//! How initiators find each other and exchange what they know, without the sockets.
//!
//! It owns the form of what goes between two processes ([`frame`]) and who is alive ([`membership`], SWIM by the
//! `foca` crate). Both are state machines: bytes and moments come in, bytes and waits go out.
//!
//! It never opens a socket, reads a clock or draws a seed, and it does not weigh what peers say: that is
//! `shaletack-knowledge`'s. Whatever bytes come in, it answers with a reason or a value, never with a panic.

pub mod frame;
pub mod membership;
