//! A timer whose time a state machine sets anew with each step.

use std::cell::Cell;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// One pending time; setting another replaces it.
pub(super) struct ResettableTimer {
    origin: Instant,
    expires_at: Cell<Option<Duration>>,
    changed: Notify,
}

impl ResettableTimer {
    /// Not set. Times count from `origin`.
    pub(super) fn new(origin: Instant) -> Self {
        ResettableTimer { origin, expires_at: Cell::new(None), changed: Notify::new() }
    }

    /// Expires at this time and at no other.
    pub(super) fn set(&self, at: Duration) {
        if self.expires_at.replace(Some(at)) != Some(at) {
            self.changed.notify_one();
        }
    }

    /// Waits until the timer expires, however often it is set meanwhile; then it is not set. Dropping the future loses
    /// nothing.
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
