//! Runs the real program as its users start it, with blocking clients.

use super::faults::Faults;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};

/// Returns the command that runs the program with these arguments and without the environment variables it
/// reads.
pub fn shaletack(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_shaletack"));
    command.args(args).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    for variable in ["NAME", "LISTEN", "DISCOVERY", "CONFIG", "MANAGEMENT", "FD"] {
        command.env_remove(format!("ROUTER_{variable}"));
    }
    command
}

/// Writes a file with this text for the program to read, and returns its path.
pub fn file(name: &str, text: &str) -> String {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path.to_str().unwrap().to_owned()
}

/// A running program, which is killed when the test ends, also where the test fails.
pub struct Running(pub Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Returns the value of a field of a log line in text form.
pub fn field(line: &str, name: &str) -> String {
    let (_, rest) = line.split_once(&format!(" {name}=")).expect(line);
    rest.split(' ').next().unwrap_or_default().trim_matches('"').to_owned()
}

impl Running {
    /// Starts the program and waits until it listens. Returns the program, the following lines of its log,
    /// and the address that it listens on.
    pub fn start(command: &mut Command) -> (Self, impl Iterator<Item = String>, String) {
        let mut child = Running(command.spawn().unwrap());
        let mut lines = BufReader::new(child.0.stderr.take().unwrap()).lines().map(|l| l.unwrap());
        let line = lines.find(|l| l.contains(" listens for ")).expect("the program logs its address");
        let address = field(&line, "at");
        (child, lines, address)
    }

    /// Sends the program a signal, given as an option of `kill`, such as `-TERM`.
    pub fn signal(&self, name: &str) {
        assert!(Command::new("kill").args([name, &self.0.id().to_string()]).status().unwrap().success());
    }
}

/// Sends a request and reads the response. Returns its status, and whether the connection is kept open.
pub fn exchange(stream: &mut TcpStream, request: &str) -> (u16, bool) {
    stream.set_read_timeout(Some(std::time::Duration::from_secs(20))).unwrap();
    stream.write_all(format!("{request} HTTP/1.1\r\nHost: a\r\n\r\n").as_bytes()).unwrap();
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).unwrap();
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).unwrap().to_lowercase();
    let length = head
        .split_once("content-length: ")
        .map_or(0, |(_, v)| v.split("\r\n").next().unwrap().parse().unwrap());
    stream.read_exact(&mut vec![0; length]).unwrap();
    (head[9..12].parse().unwrap(), !head.contains("connection: close"))
}

/// Starts a version of the program with a listening socket that the test holds, as the platform does. Returns
/// the program, the lines of its log, and its management address.
pub fn start_version(
    held: &TcpListener,
    folder: &std::path::Path,
    config: &str,
    faults: Option<&Faults>,
) -> (Running, impl Iterator<Item = String>, String) {
    // The shell passes the socket, its standard input, on as descriptor 3.
    let mut command = Command::new("/bin/sh");
    let held: std::os::fd::OwnedFd = held.try_clone().unwrap().into();
    command.args([
        "-c",
        "exec 3<&0 </dev/null; exec \"$0\" \"$@\"",
        env!("CARGO_BIN_EXE_shaletack"),
        "--config",
    ]);
    command.arg(config).env("ROUTER_FD", "3").env("TMPDIR", folder).env("ROUTER_MANAGEMENT", "127.0.0.1:0");
    command.env("ROUTER_NAME", "n3").stdin(Stdio::from(held)).stdout(Stdio::null()).stderr(Stdio::piped());
    if let Some(faults) = faults {
        faults.on(&mut command);
    }
    let mut child = Running(command.spawn().unwrap());
    let mut lines = BufReader::new(child.0.stderr.take().unwrap()).lines().map(|l| l.unwrap());
    let mut log_lines = Vec::new();
    while !log_lines.last().is_some_and(|l: &String| l.contains(" accepting management calls ")) {
        log_lines.push(lines.next().expect("the program logs its address"));
    }
    let address = field(&log_lines.pop().unwrap(), "at");
    (child, log_lines.into_iter().chain(lines), address)
}
