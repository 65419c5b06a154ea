//! Heads of HTTP messages.

use super::Stream;
use std::io;
use tokio::io::AsyncBufReadExt;

/// The lines of a message's head, each with its end; empty where the connection ended.
pub async fn read_head(stream: &mut Stream) -> io::Result<Vec<String>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        match stream.read_line(&mut line).await? {
            0 => return Ok(Vec::new()),
            _ if line == "\r\n" => return Ok(lines),
            _ => lines.push(line),
        }
    }
}

/// Bytes of the body that the head announces, if it says so.
pub fn content_length(head: &[String]) -> Option<usize> {
    head.iter()
        .find_map(|line| line.to_ascii_lowercase().strip_prefix("content-length:")?.trim().parse().ok())
}
