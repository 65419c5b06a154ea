//! Reads the head of a response as far as needed to know where the response ends (RFC 9112, 6.3).

use httparse::{Header, Response, Status, EMPTY_HEADER};
use std::io;

/// The most headers of one response.
const MAX_HEADERS: usize = 96;

/// The head of a response.
#[derive(Debug)]
pub struct ResponseHead {
    /// Its status code; 0 where it has none.
    pub status: u16,
    /// Its length in bytes, with the empty line.
    pub length: usize,
    /// Where the body ends by the headers.
    pub framing: BodyFraming,
}

/// Where a response's body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// After so many bytes (RFC 9112, 6.3, item 6).
    ContentLength(u64),
    /// After its last chunk (item 4).
    Chunked,
    /// With its connection (item 8).
    UntilClose,
}

/// A response whose end can't be known, or that has none. The connection can't be used any more.
#[derive(Debug, thiserror::Error)]
pub enum FramingError {
    /// The head is no HTTP.
    #[error("{0}")]
    Syntax(#[from] httparse::Error),
    /// `Content-Length` is not a number.
    #[error("the content length is not a number")]
    InvalidContentLength,
    /// `Content-Length` stands there twice.
    #[error("more than one content length")]
    DuplicateContentLength,
    /// `Transfer-Encoding` is not `chunked` alone.
    #[error("an unknown transfer encoding")]
    UnknownTransferEncoding,
    /// Both are there, as in attempts at response splitting (RFC 9112, 6.3, item 3).
    #[error("a content length and a transfer encoding")]
    ConflictingFraming,
    /// More bytes than a head may have, and no end of it.
    #[error("the head is too large")]
    HeadTooLarge,
    /// More interim responses than may come before a final one.
    #[error("no final response")]
    NoFinalResponse,
}

/// The kind tells it from what the network does, which is not the endpoint's fault.
impl From<FramingError> for io::Error {
    fn from(error: FramingError) -> Self {
        io::Error::new(io::ErrorKind::InvalidData, error)
    }
}

/// The head that `bytes` begin with; `None` where more bytes are needed.
///
/// # Errors
/// It is malformed, or where its body ends is ambiguous.
pub fn parse(bytes: &[u8]) -> Result<Option<ResponseHead>, FramingError> {
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut response = Response::new(&mut headers);
    let Status::Complete(length) = response.parse(bytes)? else { return Ok(None) };
    let framing = body_framing(response.headers)?;
    Ok(Some(ResponseHead { status: response.code.unwrap_or(0), length, framing }))
}

fn body_framing(headers: &[Header]) -> Result<BodyFraming, FramingError> {
    let stated = content_length(headers)?;
    match (stated, is_chunked(headers)?) {
        (Some(_), true) => Err(FramingError::ConflictingFraming),
        (Some(length), false) => Ok(BodyFraming::ContentLength(length)),
        (None, true) => Ok(BodyFraming::Chunked),
        (None, false) => Ok(BodyFraming::UntilClose),
    }
}

fn content_length(headers: &[Header]) -> Result<Option<u64>, FramingError> {
    match values(headers, "Content-Length")[..] {
        [] => Ok(None),
        [value] => decimal(value).map(Some).ok_or(FramingError::InvalidContentLength),
        _ => Err(FramingError::DuplicateContentLength),
    }
}

/// Digits alone: a sign, which `parse` takes, is none (RFC 9110, 8.6).
fn decimal(value: &[u8]) -> Option<u64> {
    let digits = std::str::from_utf8(value).ok()?;
    digits.bytes().all(|byte| byte.is_ascii_digit()).then(|| digits.parse().ok())?
}

fn is_chunked(headers: &[Header]) -> Result<bool, FramingError> {
    match values(headers, "Transfer-Encoding")[..] {
        [] => Ok(false),
        [value] if value.trim_ascii().eq_ignore_ascii_case(b"chunked") => Ok(true),
        _ => Err(FramingError::UnknownTransferEncoding),
    }
}

fn values<'a>(headers: &[Header<'a>], name: &str) -> Vec<&'a [u8]> {
    let named = headers.iter().filter(|header| header.name.eq_ignore_ascii_case(name));
    named.map(|header| header.value).collect()
}
