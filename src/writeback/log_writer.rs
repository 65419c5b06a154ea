//! Writes commits of the log until they are durable.
//!
//! A disk may fail writes for a while (ENOSPC, EIO). After a failed sync, the kernel may have dropped the
//! data written before it, and a second sync that succeeds proves nothing about that data. Each attempt
//! therefore writes the whole batch again before it syncs, and no other batch is written before this one is
//! durable.

use super::segment_files::SegmentFiles;
use shaletack_wal::{Commit, SegmentNumber, SegmentStore};
use std::cell::Cell;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tracing::{error, info, warn};

/// Backoff before a failed batch is written again. Doubles with each failure.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
/// Upper limit of the backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Writes to the segment files on blocking threads.
pub(super) struct LogWriter {
    files: Arc<Mutex<SegmentFiles>>,
    /// Whether the last attempt to write the current batch failed.
    is_failing: Cell<bool>,
}

impl LogWriter {
    pub fn new(files: SegmentFiles) -> Self {
        LogWriter { files: Arc::new(Mutex::new(files)), is_failing: Cell::new(false) }
    }

    /// Returns whether writes to the disk are failing at present.
    pub fn is_failing(&self) -> bool {
        self.is_failing.get()
    }

    /// Completes once the commit is on stable storage, however many attempts that takes.
    pub async fn write_until_durable(&self, commit: Commit) {
        let commit = Arc::new(commit);
        let mut backoff = MIN_BACKOFF;
        while let Err(error) = self.write(commit.clone()).await {
            error!(
                why = %error,
                "write-back: the log can't be written; retrying, and accepting no writes meanwhile"
            );
            self.is_failing.set(true);
            tokio::time::sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
        if self.is_failing.replace(false) {
            info!("write-back: the log can be written again");
        }
    }

    async fn write(&self, commit: Arc<Commit>) -> io::Result<()> {
        let files = self.files.clone();
        let written = actix_rt::task::spawn_blocking(move || {
            files.lock().unwrap_or_else(PoisonError::into_inner).commit(&commit)
        });
        written.await.unwrap_or_else(|error| Err(io::Error::other(error.to_string())))
    }

    /// Removes a segment that is no longer in use, in the background.
    pub fn remove(&self, segment: SegmentNumber) {
        let files = self.files.clone();
        actix_rt::task::spawn_blocking(move || {
            let removed = files.lock().unwrap_or_else(PoisonError::into_inner).remove(segment);
            if let Err(error) = removed {
                // A leftover segment takes up disk space and does no other harm. The next start finds it.
                warn!(
                    segment,
                    why = %error,
                    "write-back: a log segment that is no longer in use can't be removed"
                );
            }
        });
    }
}
