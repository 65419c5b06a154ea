//! The log's segments as files of one folder, which one process holds at a time.

use shaletack_wal::{format, recover, Commit, Identity, RecoveredLog, SegmentStore, StoredSegment};
use std::fs::{self, DirBuilder, File, OpenOptions, TryLockError};
use std::io;
use std::os::unix::fs::{DirBuilderExt, FileExt, OpenOptionsExt};
use std::path::{Path, PathBuf};

/// What lies in the folder beside the segments.
const LOCK: &str = "lock";
const ENDING: &str = "log";

/// One folder of segments; dropping it lets another process have it.
#[derive(Debug)]
pub struct Files {
    folder: PathBuf,
    _lock: File,
    last: Option<(u64, File)>,
}

impl Files {
    /// Takes the folder, and reads what is there; what is torn is cut. `log` names the log if there is none yet.
    pub fn open(folder: &Path, log: u64, purpose: u64) -> Result<(Self, Identity, RecoveredLog), String> {
        let told = |e: &dyn std::fmt::Display| format!("{}: {e}", folder.display());
        DirBuilder::new().recursive(true).mode(0o700).create(folder).map_err(|e| told(&e))?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .mode(0o600)
            .open(folder.join(LOCK))
            .map_err(|e| told(&e))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(told(&"another process has this log")),
            Err(TryLockError::Error(e)) => return Err(told(&e)),
        }
        let mut files = Files { folder: folder.into(), _lock: lock, last: None };
        let mut segments = Vec::new();
        for number in files.segments().map_err(|e| told(&e))? {
            let bytes = files.read(number).map_err(|e| told(&e))?;
            segments.push(StoredSegment { number, bytes });
        }
        let named = segments.iter().find_map(|segment| format::peek_identity(&segment.bytes));
        let identity = Identity { log: named.map_or(log, |i| i.log), purpose };
        let found = recover(identity, &segments).map_err(|damage| told(&damage))?;
        if let Some(torn) = found.torn_tail {
            files.truncate(torn.segment, torn.offset).map_err(|e| told(&e))?;
        }
        Ok((files, identity, found))
    }

    fn path(&self, segment: u64) -> PathBuf {
        self.folder.join(format!("{segment:016x}.{ENDING}"))
    }

    /// Names are durable once their folder is.
    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }
}

impl SegmentStore for Files {
    fn segments(&mut self) -> io::Result<Vec<u64>> {
        let mut segments = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            let path = entry?.path();
            let stem = path.file_stem().and_then(|s| s.to_str());
            let number = stem.and_then(|s| u64::from_str_radix(s, 16).ok());
            segments.extend(number.filter(|_| path.extension().is_some_and(|e| e == ENDING)));
        }
        segments.sort_unstable();
        Ok(segments)
    }

    fn read(&mut self, segment: u64) -> io::Result<Vec<u8>> {
        fs::read(self.path(segment))
    }

    fn commit(&mut self, commit: &Commit) -> io::Result<()> {
        let written = self.write_and_sync(commit);
        if written.is_err() {
            // The next try opens the file anew, so that what it is told is about its own bytes.
            self.last = None;
        }
        written
    }

    fn truncate(&mut self, segment: u64, at: u64) -> io::Result<()> {
        let file = OpenOptions::new().write(true).open(self.path(segment))?;
        file.set_len(at)?;
        file.sync_all()
    }

    fn remove(&mut self, segment: u64) -> io::Result<()> {
        fs::remove_file(self.path(segment))?;
        self.sync_folder()
    }
}

impl Files {
    fn write_and_sync(&mut self, commit: &Commit) -> io::Result<()> {
        if self.last.as_ref().is_none_or(|(segment, _)| *segment != commit.segment) {
            let path = self.path(commit.segment);
            let file = OpenOptions::new().create(true).truncate(false).write(true).mode(0o600).open(path)?;
            self.last = Some((commit.segment, file));
        }
        let Some((_, file)) = &self.last else { return Err(io::ErrorKind::NotFound.into()) };
        file.write_all_at(&commit.bytes, commit.offset)?;
        file.sync_data()?;
        if commit.creates_segment {
            self.sync_folder()?;
        }
        Ok(())
    }
}
