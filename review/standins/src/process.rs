//! The project's program as a separate process, started with the command of the deploy file.

use crate::record::Record;
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// What this process has started and not ended yet: ids of processes, and temporary folders.
static STARTED: Mutex<(Vec<u32>, Vec<PathBuf>)> = Mutex::new((Vec::new(), Vec::new()));

/// Ends all processes that this one started, and removes its folders. For an end of this process that drops
/// nothing.
pub fn end_all() {
    let (processes, folders) = &*STARTED.lock().unwrap();
    for id in processes {
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -KILL {id}")).status();
    }
    folders.iter().for_each(|folder| drop(std::fs::remove_dir_all(folder)));
}

/// A folder that is removed when this is dropped.
pub struct TemporaryFolder(pub PathBuf);

impl TemporaryFolder {
    pub fn create() -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("shaletack-review-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        STARTED.lock().unwrap().1.push(path.clone());
        Ok(TemporaryFolder(path))
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Returns the value of a key of the deploy file.
fn deploy_command(root: &Path, key: &str) -> io::Result<String> {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml"))?;
    let line = text.lines().find_map(|line| line.strip_prefix(key)?.trim_start().strip_prefix('='));
    let value = line.and_then(|value| value.split('"').nth(1));
    value.map(String::from).ok_or_else(|| io::Error::other(format!("deploy/balancer.toml has no '{key}'")))
}

/// A process of the initiator. It is killed when this is dropped.
pub struct Initiator {
    child: Child,
    record: Record,
    log: PathBuf,
}

impl Initiator {
    /// Starts `run` of the deploy file with further arguments and these environment variables. Its log goes to
    /// a file in `folder`, which is its `TMPDIR` too.
    pub fn start(
        root: &Path,
        folder: &Path,
        arguments: &str,
        variables: &[(&str, String)],
        record: &Record,
    ) -> io::Result<Self> {
        let run = format!("{} {arguments}", deploy_command(root, "run")?);
        if !root.join("target/release/shaletack").is_file() {
            return Err(io::Error::other(
                "target/release/shaletack is missing: run `build` of the deploy file",
            ));
        }
        let log = folder.join("initiator.log");
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(run.trim())
            .current_dir(root)
            .env("TMPDIR", folder)
            .envs(variables.iter().map(|(name, value)| (*name, value)))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(&log)?)
            .spawn()?;
        STARTED.lock().unwrap().0.push(child.id());
        record.note(format!("initiator: started `{}` as process {}", run.trim(), child.id()));
        Ok(Initiator { child, record: record.clone(), log })
    }

    /// Sends a signal to this process.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let command = format!("kill -{name} {}", self.child.id());
        let status = Command::new("/bin/sh").arg("-c").arg(command).status()?;
        self.record.note(format!("initiator: SIG{name} sent"));
        if status.success() {
            Ok(())
        } else {
            Err(io::Error::other("the initiator could not be signalled"))
        }
    }

    /// Waits for the process to end by itself, for at most `timeout`.
    pub fn wait(&mut self, timeout: Duration) -> io::Result<Option<ExitStatus>> {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            if let Some(status) = self.child.try_wait()? {
                forget(self.child.id());
                self.record.note(format!("initiator: ended by itself with {status}"));
                return Ok(Some(status));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(None)
    }

    /// Returns the resident memory of the process, in KiB.
    pub fn memory(&self) -> io::Result<usize> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let value = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        value.ok_or_else(|| io::Error::other("the initiator has no memory: it has ended"))
    }

    /// Adds the lines of the initiator's log to the record.
    pub fn note_log(&self) {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        text.lines().for_each(|line| self.record.note(format!("log: {line}")));
    }
}

impl Drop for Initiator {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        forget(self.child.id());
    }
}

/// Forgets a process that has ended.
fn forget(id: u32) {
    STARTED.lock().unwrap().0.retain(|started| *started != id);
}
