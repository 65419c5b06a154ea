//! The second front: NBD to clients and to boxes, on the same core under the same rules.

pub mod boxes;
pub mod codec;
pub mod front;
