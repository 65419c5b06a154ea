//! Writes commits of the log until they are durable.
//!
//! A disk may refuse writes for a while (ENOSPC, EIO). A sync that failed may have dropped what was written before
//! it, and a second one that succeeds would prove nothing of that. So each attempt writes the whole batch again
//! before it syncs, and no other batch is written before this one is durable.

use super::segment_files::SegmentFiles;
use shaletack_wal::{Commit, SegmentNumber, SegmentStore};
use std::cell::Cell;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tracing::{error, info, warn};

/// The pause before a failed batch is written again. It doubles with each failure.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
/// The longest such pause.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

pub(super) struct LogWriter {
    files: Arc<Mutex<SegmentFiles>>,
    /// The disk refused the batch that is being written.
    is_failing: Cell<bool>,
}

impl LogWriter {
    pub fn new(files: SegmentFiles) -> Self {
        LogWriter { files: Arc::new(Mutex::new(files)), is_failing: Cell::new(false) }
    }

    /// Whether the disk refuses writes at present.
    pub fn is_failing(&self) -> bool {
        self.is_failing.get()
    }

    /// Ends once the commit is on stable storage.
    pub async fn write_until_durable(&self, commit: Commit) {
        let commit = Arc::new(commit);
        let mut backoff = MIN_BACKOFF;
        while let Err(why) = self.write(commit.clone()).await {
            error!(%why, "write-back: the log can't be written; it is tried again, and no write is taken");
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
        written.await.unwrap_or_else(|why| Err(io::Error::other(why.to_string())))
    }

    /// Removes a segment that is not in use any more, in the background.
    pub fn remove(&self, segment: SegmentNumber) {
        let files = self.files.clone();
        actix_rt::task::spawn_blocking(move || {
            let removed = files.lock().unwrap_or_else(PoisonError::into_inner).remove(segment);
            if let Err(why) = removed {
                // It takes up room and does no other harm: the next start finds it.
                warn!(segment, %why, "write-back: a segment that is not in use any more can't be removed");
            }
        });
    }
}
