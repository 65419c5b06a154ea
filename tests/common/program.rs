//! The program as its users start it, with blocking clients.

use super::faults::Faults;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};

/// The program with these arguments, and nothing of the environment's word.
pub fn shaletack(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_shaletack"));
    command.args(args).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    for variable in ["NAME", "LISTEN", "DISCOVERY", "CONFIG", "MANAGEMENT", "FD"] {
        command.env_remove(format!("ROUTER_{variable}"));
    }
    command
}

/// A file of this text, for the program to read; its path.
pub fn file(name: &str, text: &str) -> String {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path.to_str().unwrap().to_owned()
}

/// Ends the program whatever becomes of the test.
pub struct Running(pub Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A field of a line of the log, in its text form.
pub fn field(line: &str, name: &str) -> String {
    let (_, rest) = line.split_once(&format!(" {name}=")).expect(line);
    rest.split(' ').next().unwrap_or_default().trim_matches('"').to_owned()
}

impl Running {
    /// Starts the program, and waits until it listens.
    pub fn start(command: &mut Command) -> (Self, impl Iterator<Item = String>, String) {
        let mut child = Running(command.spawn().unwrap());
        let mut lines = BufReader::new(child.0.stderr.take().unwrap()).lines().map(|l| l.unwrap());
        let line = lines.find(|l| l.contains(" listens for ")).expect("it says where");
        let address = field(&line, "at");
        (child, lines, address)
    }

    /// Sends it a signal, by its name for `kill`.
    pub fn signal(&self, name: &str) {
        assert!(Command::new("kill").args([name, &self.0.id().to_string()]).status().unwrap().success());
    }
}

/// One exchange: status, and whether the connection is kept.
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

/// Starts a version of the program on a clients' socket that the test holds, as the platform does.
pub fn version(
    held: &TcpListener,
    folder: &std::path::Path,
    config: &str,
    faults: Option<&Faults>,
) -> (Running, impl Iterator<Item = String>, String) {
    // The shell hands its standard input on as the first descriptor beside the usual three.
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
    let mut told = Vec::new();
    while !told.last().is_some_and(|l: &String| l.contains(" accepting management calls ")) {
        told.push(lines.next().expect("it says where"));
    }
    let place = field(&told.pop().unwrap(), "at");
    (child, told.into_iter().chain(lines), place)
}
