//! Reads the headers of HTTP/1.1 messages.

use super::Stream;
use std::io;
use tokio::io::AsyncBufReadExt;

/// Reads the start line and the header lines of a message, with their line endings. Returns no lines if the
/// connection was closed.
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

/// Returns the value of the `Content-Length` header, if there is one.
pub fn content_length(head: &[String]) -> Option<usize> {
    head.iter()
        .find_map(|line| line.to_ascii_lowercase().strip_prefix("content-length:")?.trim().parse().ok())
}
