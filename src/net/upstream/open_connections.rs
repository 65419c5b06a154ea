//! Counts the open connections to endpoints, including idle ones, because file descriptors are limited.

use std::cell::Cell;
use std::rc::Rc;

/// Counts open connections. Clones share the same count.
#[derive(Clone, Debug, Default)]
pub struct OpenConnections {
    count: Rc<Cell<usize>>,
}

impl OpenConnections {
    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.count.get()
    }

    /// Counts one more connection until the returned guard is dropped.
    pub fn register(&self) -> OpenConnection {
        self.count.set(self.count.get() + 1);
        OpenConnection { connections: self.clone() }
    }
}

/// Counts one connection as open for as long as the guard exists.
#[derive(Debug)]
pub struct OpenConnection {
    connections: OpenConnections,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.count.set(self.connections.count.get() - 1);
    }
}
