//! The real program as a process of its own.

use super::faults::Faults;
use std::io::BufRead;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use tokio::sync::mpsc;

/// An address for a process's peers, which its file has to name before it is there: free for TCP and UDP, and below the
/// ports that the system hands out by itself, so that no other test is given it in the meantime.
pub fn place_for_peers() -> SocketAddr {
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

/// Ends the process whatever becomes of the test.
pub struct Process(pub Child, mpsc::UnboundedReceiver<String>);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Process {
    /// Starts the program by an operator's file of this text.
    pub fn start(file: &str, text: &str) -> Self {
        Self::started(file, text, None)
    }

    /// The same, where system calls fail by a plan.
    pub fn start_under(faults: &Faults, file: &str, text: &str) -> Self {
        Self::started(file, text, Some(faults))
    }

    fn started(file: &str, text: &str, faults: Option<&Faults>) -> Self {
        let path =
            std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{file}", std::process::id()));
        std::fs::write(&path, text).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_shaletack"));
        command.args(["serve", "--operator"]).arg(path);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        if let Some(faults) = faults {
            faults.on(&mut command);
        }
        let mut child = command.spawn().unwrap();
        let (say, said) = mpsc::unbounded_channel();
        let lines = std::io::BufReader::new(child.stderr.take().unwrap()).lines();
        std::thread::spawn(move || lines.map_while(Result::ok).try_for_each(|l| say.send(l)));
        Process(child, said)
    }

    /// Its next line with this in it.
    pub async fn says(&mut self, what: &str) -> String {
        loop {
            let line = self.1.recv().await.expect("it goes on");
            if line.contains(what) {
                return line;
            }
        }
    }

    /// Where clients connect.
    pub async fn place(&mut self) -> SocketAddr {
        let line = self.says("listens for NBD").await;
        line.split(" at=").nth(1).unwrap().split(' ').next().unwrap().parse().unwrap()
    }
}
