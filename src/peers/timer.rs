//! A timer that a state machine can reset with each step.

use std::cell::Cell;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// A timer with at most one pending expiry. Setting another expiry replaces the pending one.
pub(super) struct ResettableTimer {
    origin: Instant,
    expires_at: Cell<Option<Duration>>,
    changed: Notify,
}

impl ResettableTimer {
    /// Creates a timer that is not set. Expiry times are relative to `origin`.
    pub(super) fn new(origin: Instant) -> Self {
        ResettableTimer { origin, expires_at: Cell::new(None), changed: Notify::new() }
    }

    /// Sets the expiry, replacing any pending one.
    pub(super) fn set(&self, at: Duration) {
        if self.expires_at.replace(Some(at)) != Some(at) {
            self.changed.notify_one();
        }
    }

    /// Waits until the timer expires, and then leaves it unset. The timer may be set again while this method
    /// waits.
    ///
    /// This method is cancel safe: the timer stays set if the future is dropped.
    pub(super) async fn expired(&self) {
        loop {
            match self.expires_at.get() {
                None => self.changed.notified().await,
                Some(at) => tokio::select! {
                    () = self.changed.notified() => {}
                    () = tokio::time::sleep_until((self.origin + at).into()) => {
                        self.expires_at.set(None);
                        return;
                    }
                },
            }
        }
    }
}
