//! Processes that a driver starts, all of which end with it.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::Mutex;
use std::time::Duration;

static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// A process that is killed when dropped.
pub struct Process {
    child: Child,
    stdin: Option<ChildStdin>,
    /// A shell that kills the program if the driver itself is killed.
    guard: Option<Child>,
}

impl Process {
    /// Starts a program whose standard error and output go to `log`.
    pub fn start(command: &mut Command, log: &Path) -> Self {
        let log = File::options().create(true).append(true).open(log).expect("a log file");
        let errors = log.try_clone().expect("a log file");
        let command = command.stdin(Stdio::piped()).stdout(log).stderr(errors);
        let mut child = command.spawn().expect("the program can be started");
        STARTED.lock().expect("the list of processes").push(child.id());
        let stdin = child.stdin.take();
        Process { child, stdin, guard: None }
    }

    /// Like [`Process::start`], for a program that doesn't end with its standard input.
    pub fn start_guarded(command: &mut Command, log: &Path) -> Self {
        let mut process = Process::start(command, log);
        let line = format!("read ended; kill -KILL {}", process.child.id());
        let mut shell = Command::new("/bin/sh");
        shell.args(["-c", &line]).stdin(Stdio::piped()).stdout(Stdio::null()).stderr(Stdio::null());
        process.guard = Some(shell.spawn().expect("a shell"));
        process
    }

    /// Writes a line to the program's standard input.
    pub fn tell(&mut self, line: &str) {
        if let Some(stdin) = &mut self.stdin {
            let _ = writeln!(stdin, "{line}");
            let _ = stdin.flush();
        }
    }

    /// Sends a signal by its name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let line = format!("kill -{name} {}", self.child.id());
        let _ = Command::new("/bin/sh").args(["-c", &line]).status();
    }

    /// Kills the process outright and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut guard) = self.guard.take() {
            let _ = guard.kill();
            let _ = guard.wait();
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        let id = self.child.id();
        STARTED.lock().expect("the list of processes").retain(|started| *started != id);
    }

    /// Waits for the end. Returns the exit code, or `None` if the process still runs after `timeout` or was
    /// killed.
    pub fn wait(&mut self, timeout: Duration) -> Option<i32> {
        let mut code = None;
        super::wait_until(timeout, || {
            code = self.child.try_wait().ok().flatten();
            code.is_some()
        });
        code.and_then(|status| status.code())
    }

    /// Returns whether the process runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Kills every process that was started and has not ended.
pub fn end_all() {
    let started = STARTED.lock().map(|mut list| std::mem::take(&mut *list)).unwrap_or_default();
    for id in started {
        let line = format!("kill -KILL {id} 2>/dev/null");
        let _ = Command::new("/bin/sh").args(["-c", &line]).status();
    }
}
