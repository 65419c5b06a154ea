//! Signals that a front's listener gives to its connections: to close, and that file descriptors have run
//! out.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// For this long after accepting failed for lack of a file descriptor, the front counts as having no free
/// connection slot.
const SHORTAGE_DURATION: Duration = Duration::from_millis(500);

#[derive(Default)]
struct Inner {
    closing: Cell<bool>,
    closing_began: Notify,
    shortage_at: Cell<Option<Instant>>,
}

/// Tells the connections of one front to close once they are idle. Clones share the same state.
#[derive(Clone, Default)]
pub struct Shutdown(Rc<Inner>);

impl Shutdown {
    /// Waits until the front's connections are told to close.
    pub async fn closing(self) {
        let began = self.0.closing_began.notified();
        if !self.0.closing.get() {
            began.await;
        }
    }

    /// Returns whether the front's connections have been told to close.
    pub fn is_closing(&self) -> bool {
        self.0.closing.get()
    }

    /// Returns whether accepting recently failed for lack of a file descriptor. Clients then wait in the
    /// backlog, however few connections this front has open.
    pub fn is_short_of_descriptors(&self) -> bool {
        self.0.shortage_at.get().is_some_and(|at| at.elapsed() < SHORTAGE_DURATION)
    }

    /// Records that a connection could not be accepted for lack of a file descriptor.
    pub(super) fn report_shortage(&self) {
        self.0.shortage_at.set(Some(Instant::now()));
    }

    /// Tells the front's connections to close once they are idle.
    pub(super) fn begin_closing(&self) {
        self.0.closing.set(true);
        self.0.closing_began.notify_waiters();
    }
}
