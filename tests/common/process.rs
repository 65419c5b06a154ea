//! Runs the real program with an operator's file as a separate process.

use super::faults::Faults;
use std::io::BufRead;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use tokio::sync::mpsc;

/// Returns an address for a process to receive its peers on, which its file has to name before the process
/// starts. The port is free for TCP and UDP and below the ephemeral port range, so that the system gives it
/// to no other test in between.
pub fn free_peer_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    loop {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = 12_000 + (std::process::id() % 1_000) as u16 * 20 + number % 20;
        let at = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(at).is_ok() && UdpSocket::bind(at).is_ok() {
            return at;
        }
    }
}

/// A running process, which is killed when the test ends, also where the test fails. Holds the lines of its
/// log.
pub struct Process(pub Child, mpsc::UnboundedReceiver<String>);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Process {
    /// Starts the program with the given text as the operator's file.
    pub fn start(file: &str, text: &str) -> Self {
        Self::spawn(file, text, None)
    }

    /// Like [`Self::start`], with system calls that fail according to a plan.
    pub fn start_with_faults(faults: &Faults, file: &str, text: &str) -> Self {
        Self::spawn(file, text, Some(faults))
    }

    /// Writes another operator's file in place of that of the process, and lets the process read it.
    pub fn rewrite_file(&self, file: &str, text: &str) {
        std::fs::write(Self::path(file), text).unwrap();
        let pid = self.0.id().to_string();
        assert!(Command::new("kill").args(["-HUP", &pid]).status().unwrap().success());
    }

    fn path(file: &str) -> PathBuf {
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{file}", std::process::id()))
    }

    fn spawn(file: &str, text: &str, faults: Option<&Faults>) -> Self {
        let path = Self::path(file);
        std::fs::write(&path, text).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_shaletack"));
        command.args(["serve", "--operator"]).arg(path);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        if let Some(faults) = faults {
            faults.on(&mut command);
        }
        let mut child = command.spawn().unwrap();
        let (sender, log_lines) = mpsc::unbounded_channel();
        let lines = std::io::BufReader::new(child.stderr.take().unwrap()).lines();
        std::thread::spawn(move || lines.map_while(Result::ok).try_for_each(|l| sender.send(l)));
        Process(child, log_lines)
    }

    /// Waits for the next line of the log that contains the text, and returns the line.
    pub async fn wait_for_line(&mut self, what: &str) -> String {
        loop {
            let line = self.1.recv().await.expect("the process still runs");
            if line.contains(what) {
                return line;
            }
        }
    }

    /// Returns the address that clients connect to, from the log.
    pub async fn client_address(&mut self) -> SocketAddr {
        let line = self.wait_for_line("listens for NBD").await;
        line.split(" at=").nth(1).unwrap().split(' ').next().unwrap().parse().unwrap()
    }
}
