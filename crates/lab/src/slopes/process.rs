//! Starts, configures and ends one real process of the program, and reads its resource usage from `/proc`.

use super::client::EXPORTS;
use super::discovery::Discovery;
use super::endpoints::SHARD_BYTES;
use super::error::SlopesError;
use super::Front;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Time limit for the process to listen or to log a line.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two checks whether a new process listens.
const LISTEN_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// The example configuration of the deployment, whose scheduler settings are used with both fronts.
const EXAMPLE_CONFIG: &str = include_str!("../../../../deploy/operator.json");

/// Configuration of a process.
#[derive(Clone)]
pub struct Setup {
    /// The front that the process serves.
    pub front: Front,
    /// Address at which clients connect.
    pub listen: SocketAddr,
    /// Addresses of the endpoints by shard.
    pub endpoints: Vec<SocketAddr>,
    /// Descriptor limit in the configuration file.
    pub sockets: usize,
    /// Memory limit in MiB in the configuration file; used with the HTTP front only.
    pub memory_mb: u64,
    /// The shard whose endpoint the configuration file lists as draining.
    pub draining: Option<usize>,
}

impl Setup {
    /// Returns the text of the configuration file.
    pub fn config_text(&self, discovery: SocketAddr) -> Result<String, SlopesError> {
        let mut file: Value = serde_json::from_str(EXAMPLE_CONFIG)?;
        let endpoints: Vec<Value> = self
            .endpoints
            .iter()
            .enumerate()
            .map(|(shard, at)| {
                let phase = if self.draining == Some(shard) { "draining" } else { "up" };
                json!({"id": format!("s-{shard:08x}"), "host_port": at.to_string(), "locality": "room-1",
                "cell": shard, "phase": phase, "up_since_ms": 0})
            })
            .collect();
        if self.front == Front::Http {
            let mut settings = file["settings"].take();
            settings["plans"] =
                json!([{"name": "prioritario", "base-rate": 2000, "guaranteed": 2000, "shares": 3}]);
            let config = json!({
                "name": "n1", "listen": self.listen.to_string(), "discovery": discovery.to_string(),
                "seed": "1",
                "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
                "known": {"revision": 1, "complete": true, "members": endpoints}, "settings": settings
            });
            return Ok(config.to_string());
        }
        let extents = self.endpoints.len() / EXPORTS;
        let exports: Vec<Value> = (0..EXPORTS)
            .map(|e| {
                let on = |x| json!({"length": SHARD_BYTES, "shard": e * extents + x, "at": 0});
                json!({"name": format!("e{e}"), "team": "t", "plan": "p", "volume": format!("{:x}", e + 1),
                "hosts": 1,
                "size": SHARD_BYTES * extents as u64, "extents": (0..extents).map(on).collect::<Vec<_>>()})
            })
            .collect();
        file["listen"] = json!(self.listen.to_string());
        file["sockets"] = json!(self.sockets);
        file["teams"] = json!([{"name": "t", "contracts": [{"plan": "p", "reserve": 2000, "weight": 3}]}]);
        file["exports"] = json!(exports);
        file["boxes"] = json!(endpoints);
        Ok(file.to_string())
    }
}

/// A running process, which is killed when this value is dropped.
pub struct Process {
    child: Child,
    pid: Pid,
    lines: mpsc::UnboundedReceiver<(Instant, String)>,
    /// Address at which clients connect.
    pub address: SocketAddr,
    /// Time from just before the process was spawned to the first connection.
    pub ready_after: Duration,
    file: PathBuf,
}

impl Process {
    /// Starts a process and waits until it listens.
    pub async fn start(
        program: &Path,
        directory: &Path,
        setup: &Setup,
        discovery: &Discovery,
    ) -> Result<Self, SlopesError> {
        let file = directory.join("config.json");
        write(&file, &setup.config_text(discovery.address)?)?;
        let mut command = Command::new(program);
        for variable in ["NAME", "LISTEN", "DISCOVERY", "CONFIG", "MANAGEMENT", "FD"] {
            command.env_remove(format!("ROUTER_{variable}"));
        }
        let option = if setup.front == Front::Http { "--config" } else { "--operator" };
        command.arg("serve").arg(option).arg(&file).env("TMPDIR", directory).stdin(Stdio::null());
        let started = Instant::now();
        let mut child = command
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .map_err(SlopesError::file(program))?;
        let stderr = child.stderr.take().ok_or(SlopesError::NoLog)?;
        let pid = child.id().and_then(|id| Pid::from_raw(id as i32)).ok_or(SlopesError::EndedAtOnce)?;
        let (sender, lines) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            let mut log_lines = BufReader::new(stderr).lines();
            while let Ok(Some(line)) = log_lines.next_line().await {
                if sender.send((Instant::now(), line)).is_err() {
                    return;
                }
            }
        });
        let (address, file) = (setup.listen, file);
        let mut process = Process { child, pid, lines, address, ready_after: Duration::ZERO, file };
        // With a long list, the rate limit of the log may suppress the line with the address; hence the
        // attempts to connect.
        while TcpStream::connect(address).await.is_err() {
            if started.elapsed() > WAIT_TIMEOUT || process.child.try_wait().is_ok_and(|ended| ended.is_some())
            {
                let last = process
                    .wait_for_line("shaletack: ")
                    .await
                    .map_or_else(|why| why.to_string(), |(_, line)| line);
                return Err(SlopesError::NotListening { address, last });
            }
            sleep(LISTEN_POLL_INTERVAL).await;
        }
        process.ready_after = started.elapsed();
        Ok(process)
    }

    /// Waits for the next log line that contains `what`, and returns the line and when it was read.
    pub async fn wait_for_line(&mut self, what: &str) -> Result<(Instant, String), SlopesError> {
        let mut last = String::new();
        let found = tokio::time::timeout(WAIT_TIMEOUT, async {
            while let Some((at, line)) = self.lines.recv().await {
                if line.contains(what) {
                    return Some((at, line));
                }
                last = line;
            }
            None
        });
        let found = found.await.ok().flatten();
        found.ok_or_else(|| SlopesError::LineMissing { what: what.to_owned(), last })
    }

    /// Discards the log lines that were read so far.
    pub fn discard_log(&mut self) {
        while self.lines.try_recv().is_ok() {}
    }

    /// Replaces the configuration file, sends SIGHUP and returns when it was sent.
    pub fn reload(&self, text: &str) -> Result<Instant, SlopesError> {
        write(&self.file, text)?;
        let at = Instant::now();
        kill_process(self.pid, Signal::HUP).map_err(SlopesError::Signal)?;
        Ok(at)
    }

    /// Kills the process without a chance to shut down.
    pub async fn kill(mut self) -> Result<(), SlopesError> {
        self.child.kill().await.map_err(SlopesError::Kill)
    }

    /// Returns the resident memory in bytes.
    pub fn resident_bytes(&self) -> Result<f64, SlopesError> {
        let text = self.read("statm")?;
        let pages: f64 = text.split(' ').nth(1).and_then(|n| n.parse().ok()).ok_or(SlopesError::Statm)?;
        Ok(pages * rustix::param::page_size() as f64)
    }

    /// Returns the processor time of all threads so far, user and system, in seconds.
    pub fn cpu_seconds(&self) -> Result<f64, SlopesError> {
        let mut nanos = 0.0;
        for task in list(&self.path("task"))? {
            let text = std::fs::read_to_string(task.join("schedstat")).map_err(SlopesError::Schedstat)?;
            nanos += text
                .split(' ')
                .next()
                .and_then(|n| n.parse::<f64>().ok())
                .ok_or(SlopesError::SchedstatEmpty)?;
        }
        Ok(nanos / 1e9)
    }

    /// Returns the number of open descriptors.
    pub fn open_descriptors(&self) -> Result<usize, SlopesError> {
        list(&self.path("fd")).map(|all| all.len())
    }

    fn path(&self, name: &str) -> PathBuf {
        PathBuf::from(format!("/proc/{}/{name}", self.pid.as_raw_nonzero()))
    }

    fn read(&self, name: &str) -> Result<String, SlopesError> {
        let path = self.path(name);
        std::fs::read_to_string(&path).map_err(SlopesError::file(path))
    }
}

fn list(directory: &Path) -> Result<Vec<PathBuf>, SlopesError> {
    let failed = |source| SlopesError::File { path: directory.into(), source };
    std::fs::read_dir(directory)
        .map_err(failed)?
        .map(|entry| entry.map(|e| e.path()).map_err(failed))
        .collect()
}

fn write(file: &Path, text: &str) -> Result<(), SlopesError> {
    std::fs::write(file, text).map_err(SlopesError::file(file))
}
