//! One real process of the program. Its log lines are turned into notices, and its resource usage is read
//! from `/proc`.

use super::error::HollowError;
use super::initiator::{Notice, NoticeKind};
use rustix::io::Errno;
use rustix::process::{kill_process, Pid, Signal};
use std::io::BufRead;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Instant;
use tokio::sync::mpsc::UnboundedSender;

/// A process that is killed when this value is dropped.
pub struct Process {
    child: Child,
    program: PathBuf,
    file: PathBuf,
    index: usize,
    notices: UnboundedSender<Notice>,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Resource usage of a process: processor time since its start, and resident memory.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time in seconds, user and system.
    pub cpu_seconds: f64,
    /// Resident memory in bytes.
    pub resident_bytes: u64,
}

impl Process {
    /// Starts a process with a configuration file; `index` is its number in the notices.
    pub fn start(
        program: &Path,
        file: &Path,
        index: usize,
        notices: UnboundedSender<Notice>,
    ) -> Result<Self, HollowError> {
        let mut child = Command::new(program)
            .args(["serve", "--operator"])
            .arg(file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(HollowError::file(program))?;
        let log = child.stderr.take().ok_or(HollowError::NoLog)?;
        let sender = notices.clone();
        std::thread::spawn(move || {
            let lines = std::io::BufReader::new(log).lines().map_while(Result::ok);
            lines
                .filter_map(|line| parse_log_line(&line))
                .try_for_each(|kind| sender.send(Notice { initiator: index, kind, at: Instant::now() }))
        });
        Ok(Process { child, program: program.into(), file: file.into(), index, notices })
    }

    /// Starts the process again; the earlier one is killed if it still runs.
    pub fn restart(&mut self) -> Result<(), HollowError> {
        let next = Self::start(&self.program, &self.file, self.index, self.notices.clone())?;
        *self = next;
        Ok(())
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal to the process, for example to stop or resume it.
    pub fn signal(&self, signal: Signal) -> Result<(), HollowError> {
        let failed = |why| HollowError::Signal { index: self.index, why };
        let id = Pid::from_raw(self.child.id() as i32).ok_or(failed(Errno::SRCH))?;
        kill_process(id, signal).map_err(failed)
    }

    /// Returns the resource usage of the process, or an error if it has exited.
    pub fn usage(&mut self) -> Result<Usage, HollowError> {
        if let Some(status) = self.child.try_wait().map_err(HollowError::State)? {
            return Err(HollowError::ProcessEnded { index: self.index, status });
        }
        let path = PathBuf::from(format!("/proc/{}/stat", self.child.id()));
        let text = std::fs::read_to_string(&path).map_err(HollowError::file(&path))?;
        // The command's name, which may contain spaces, ends with the last closing parenthesis; the state
        // follows.
        let fields: Vec<&str> =
            text.rsplit_once(") ").map(|(_, rest)| rest.split(' ').collect()).unwrap_or_default();
        let number = |at: usize| {
            let read = fields.get(at).and_then(|f| f.parse::<u64>().ok());
            read.ok_or_else(|| HollowError::StatField { path: path.clone(), field: at })
        };
        let cpu_seconds = (number(11)? + number(12)?) as f64 / rustix::param::clock_ticks_per_second() as f64;
        Ok(Usage { cpu_seconds, resident_bytes: number(21)? * rustix::param::page_size() as u64 })
    }
}

/// Returns the value of a field in a log line, without quotes.
fn log_field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let (_, rest) = line.split_once(&format!(" {name}="))?;
    rest.trim_start_matches('"').split(['"', ' ']).next()
}

/// Returns what a log line reports, or `None` if that is not measured.
fn parse_log_line(line: &str) -> Option<NoticeKind> {
    let of = |name| log_field(line, name).map(String::from);
    if line.contains(" WARN ") || line.contains(" ERROR ") {
        return Some(NoticeKind::Warning);
    }
    if line.contains(" advice on an endpoint ") && log_field(line, "stopped") == Some("true") {
        return of("id").map(NoticeKind::Avoided);
    }
    if line.contains(" endpoint listed ") && log_field(line, "readiness") == Some("Draining") {
        return of("id").map(NoticeKind::ListedDraining);
    }
    if line.contains(" a peer is up ") {
        return of("name").map(NoticeKind::MemberUp);
    }
    if line.contains(" a peer is down ") {
        return of("name").map(NoticeKind::MemberDown);
    }
    None
}
