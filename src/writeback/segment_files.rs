//! Stores the segments of a log as files in one folder, which only one process has open at a time.

use super::error::{OpenError, OpenFailure};
use shaletack_wal::{
    format, recover, Commit, Identity, RecoveredLog, SegmentNumber, SegmentStore, StoredSegment,
};
use std::fs::{self, DirBuilder, File, OpenOptions, TryLockError};
use std::io;
use std::os::unix::fs::{DirBuilderExt, FileExt, OpenOptionsExt};
use std::path::{Path, PathBuf};

/// Name of the file that is locked by the process that has the log open.
const LOCK_FILE: &str = "lock";
/// Extension of segment files, whose names are the segment numbers in hexadecimal.
const SEGMENT_EXTENSION: &str = "log";
/// Only the user that runs the process may read what clients write.
const FOLDER_MODE: u32 = 0o700;
const FILE_MODE: u32 = 0o600;

/// A folder of segment files, locked until this is dropped.
#[derive(Debug)]
pub(super) struct SegmentFiles {
    folder: PathBuf,
    _lock: File,
    /// The segment that was written last.
    open_segment: Option<OpenSegment>,
}

#[derive(Debug)]
struct OpenSegment {
    number: SegmentNumber,
    file: File,
}

/// A log that this process has open.
pub(super) struct OpenedLog {
    pub files: SegmentFiles,
    pub identity: Identity,
    pub recovered: RecoveredLog,
}

impl SegmentFiles {
    /// Locks the folder, recovers the log, and truncates a torn tail. `new_log_id` becomes [`Identity::log`]
    /// if the folder holds no log yet.
    pub fn open(folder: &Path, new_log_id: u64, purpose: u64) -> Result<OpenedLog, OpenError> {
        Self::open_folder(folder, new_log_id, purpose).map_err(|failure| failure.in_folder(folder))
    }

    fn open_folder(folder: &Path, new_log_id: u64, purpose: u64) -> Result<OpenedLog, OpenFailure> {
        DirBuilder::new().recursive(true).mode(FOLDER_MODE).create(folder)?;
        let lock = lock_folder(folder)?;
        let mut files = SegmentFiles { folder: folder.into(), _lock: lock, open_segment: None };
        let segments = files.read_all()?;
        let stored = segments.iter().find_map(|segment| format::peek_identity(&segment.bytes));
        let identity = Identity { log: stored.map_or(new_log_id, |identity| identity.log), purpose };
        let recovered = recover(identity, &segments)?;
        if let Some(torn) = recovered.torn_tail {
            files.truncate(torn.segment, torn.offset)?;
        }
        Ok(OpenedLog { files, identity, recovered })
    }

    fn read_all(&mut self) -> io::Result<Vec<StoredSegment>> {
        let numbers = self.segments()?;
        let read = |number| Ok(StoredSegment { number, bytes: self.read(number)? });
        numbers.into_iter().map(read).collect()
    }

    fn path(&self, segment: SegmentNumber) -> PathBuf {
        self.folder.join(format!("{segment:016x}.{SEGMENT_EXTENSION}"))
    }

    /// Syncs the folder, which makes the names of new and removed files durable.
    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }

    fn write_and_sync(&mut self, commit: &Commit) -> io::Result<()> {
        let file = self.segment_file(commit.segment)?;
        file.write_all_at(&commit.bytes, commit.offset)?;
        file.sync_data()?;
        if commit.creates_segment {
            self.sync_folder()?;
        }
        Ok(())
    }

    fn segment_file(&mut self, number: SegmentNumber) -> io::Result<&File> {
        let open = match self.open_segment.take().filter(|open| open.number == number) {
            Some(open) => open,
            None => OpenSegment { number, file: create_file(&self.path(number))? },
        };
        Ok(&self.open_segment.insert(open).file)
    }
}

impl SegmentStore for SegmentFiles {
    fn segments(&mut self) -> io::Result<Vec<SegmentNumber>> {
        let mut numbers = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            numbers.extend(segment_number(&entry?.path()));
        }
        numbers.sort_unstable();
        Ok(numbers)
    }

    fn read(&mut self, segment: SegmentNumber) -> io::Result<Vec<u8>> {
        fs::read(self.path(segment))
    }

    fn commit(&mut self, commit: &Commit) -> io::Result<()> {
        let written = self.write_and_sync(commit);
        if written.is_err() {
            // The next attempt opens the file again, so that the result of its sync covers its own writes.
            self.open_segment = None;
        }
        written
    }

    fn truncate(&mut self, segment: SegmentNumber, length: u64) -> io::Result<()> {
        let file = OpenOptions::new().write(true).open(self.path(segment))?;
        file.set_len(length)?;
        file.sync_all()
    }

    fn remove(&mut self, segment: SegmentNumber) -> io::Result<()> {
        fs::remove_file(self.path(segment))?;
        self.sync_folder()
    }
}

fn lock_folder(folder: &Path) -> Result<File, OpenFailure> {
    let lock = create_file(&folder.join(LOCK_FILE))?;
    match lock.try_lock() {
        Ok(()) => Ok(lock),
        Err(TryLockError::WouldBlock) => Err(OpenFailure::Locked),
        Err(TryLockError::Error(error)) => Err(error.into()),
    }
}

fn create_file(path: &Path) -> io::Result<File> {
    OpenOptions::new().create(true).truncate(false).write(true).mode(FILE_MODE).open(path)
}

/// Returns the segment number in a file name, or `None` if the file is not a segment.
fn segment_number(path: &Path) -> Option<SegmentNumber> {
    if path.extension()? != SEGMENT_EXTENSION {
        return None;
    }
    u64::from_str_radix(path.file_stem()?.to_str()?, 16).ok()
}
