//! What a front's connections are told of a shutdown, and of a shortage of descriptors.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// For this long after a shortage every place counts as taken.
const SHORTAGE_LASTS: Duration = Duration::from_millis(500);

#[derive(Default)]
struct Inner {
    closing: Cell<bool>,
    closing_began: Notify,
    shortage_at: Cell<Option<Instant>>,
}

/// Tells the connections of one front to close once they are idle. Clones share one state.
#[derive(Clone, Default)]
pub struct Shutdown(Rc<Inner>);

impl Shutdown {
    /// Waits until connections are to close.
    pub async fn closing(self) {
        let began = self.0.closing_began.notified();
        if !self.0.closing.get() {
            began.await;
        }
    }

    /// Whether connections are to close.
    pub fn is_closing(&self) -> bool {
        self.0.closing.get()
    }

    /// Whether connections wait for which there was no descriptor of late, however few are open here.
    pub fn is_short_of_descriptors(&self) -> bool {
        self.0.shortage_at.get().is_some_and(|at| at.elapsed() < SHORTAGE_LASTS)
    }

    pub(super) fn report_shortage(&self) {
        self.0.shortage_at.set(Some(Instant::now()));
    }

    pub(super) fn begin_closing(&self) {
        self.0.closing.set(true);
        self.0.closing_began.notify_waiters();
    }
}
