//! One real process of the program: its log becomes news, its figures come from the system.

use super::error::HollowError;
use super::initiator::{News, What};
use rustix::io::Errno;
use rustix::process::{kill_process, Pid, Signal};
use std::io::BufRead;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Instant;
use tokio::sync::mpsc::UnboundedSender;

/// Ended with its value, whatever becomes of the run.
pub struct Process {
    child: Child,
    program: PathBuf,
    file: PathBuf,
    index: usize,
    news: UnboundedSender<News>,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Processor time in seconds, and resident bytes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    pub seconds: f64,
    pub resident: u64,
}

impl Process {
    pub fn start(
        program: &Path,
        file: &Path,
        index: usize,
        news: UnboundedSender<News>,
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
        let tell = news.clone();
        std::thread::spawn(move || {
            let lines = std::io::BufReader::new(log).lines().map_while(Result::ok);
            lines.filter_map(|line| read(&line)).try_for_each(|what| tell.send((index, what, Instant::now())))
        });
        Ok(Process { child, program: program.into(), file: file.into(), index, news })
    }

    /// It is killed and starts again.
    pub fn restart(&mut self) -> Result<(), HollowError> {
        let next = Self::start(&self.program, &self.file, self.index, self.news.clone())?;
        *self = next;
        Ok(())
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Stops it, or lets it go on.
    pub fn signal(&self, signal: Signal) -> Result<(), HollowError> {
        let failed = |why| HollowError::Signal { index: self.index, why };
        let id = Pid::from_raw(self.child.id() as i32).ok_or(failed(Errno::SRCH))?;
        kill_process(id, signal).map_err(failed)
    }

    /// An error where it has ended.
    pub fn usage(&mut self) -> Result<Usage, HollowError> {
        if let Some(status) = self.child.try_wait().map_err(HollowError::State)? {
            return Err(HollowError::ProcessEnded { index: self.index, status });
        }
        let path = PathBuf::from(format!("/proc/{}/stat", self.child.id()));
        let text = std::fs::read_to_string(&path).map_err(HollowError::file(&path))?;
        // The command's name, which may hold spaces, ends with the last bracket; the state follows.
        let fields: Vec<&str> =
            text.rsplit_once(") ").map(|(_, rest)| rest.split(' ').collect()).unwrap_or_default();
        let number = |at: usize| {
            let read = fields.get(at).and_then(|f| f.parse::<u64>().ok());
            read.ok_or_else(|| HollowError::StatField { path: path.clone(), field: at })
        };
        let seconds = (number(11)? + number(12)?) as f64 / rustix::param::clock_ticks_per_second() as f64;
        Ok(Usage { seconds, resident: number(21)? * rustix::param::page_size() as u64 })
    }
}

fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let (_, rest) = line.split_once(&format!(" {name}="))?;
    rest.trim_start_matches('"').split(['"', ' ']).next()
}

/// What a line of the log tells, if anything that is measured.
fn read(line: &str) -> Option<What> {
    let of = |name| field(line, name).map(String::from);
    if line.contains(" WARN ") || line.contains(" ERROR ") {
        return Some(What::Warned);
    }
    if line.contains(" advice on an endpoint ") && field(line, "stopped") == Some("true") {
        return of("id").map(What::Stopped);
    }
    if line.contains(" endpoint listed ") && field(line, "readiness") == Some("Draining") {
        return of("id").map(What::Listed);
    }
    if line.contains(" a peer is up ") {
        return of("name").map(What::Up);
    }
    if line.contains(" a peer is down ") {
        return of("name").map(What::Down);
    }
    None
}
