//! Counts the connections that are open to endpoints, idle ones included: descriptors are bounded.

use std::cell::Cell;
use std::rc::Rc;

/// How many connections are open.
#[derive(Clone, Debug, Default)]
pub struct OpenConnections {
    count: Rc<Cell<usize>>,
}

impl OpenConnections {
    /// How many there are now.
    pub fn count(&self) -> usize {
        self.count.get()
    }

    /// Counts one more until what is returned is dropped.
    pub fn register(&self) -> OpenConnection {
        self.count.set(self.count.get() + 1);
        OpenConnection { connections: self.clone() }
    }
}

/// One connection, counted while this exists.
#[derive(Debug)]
pub struct OpenConnection {
    connections: OpenConnections,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.count.set(self.connections.count.get() - 1);
    }
}
