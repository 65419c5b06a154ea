//! What every front shares: the loop that carries effects out, the way in and out for connections, lines of
//! endless bodies, and the log. It owns no protocol and decides nothing; fronts depend on it, never the reverse.

pub mod gate;
pub mod host;
pub mod lines;
pub mod log;
