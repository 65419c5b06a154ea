//! Parses the head of a response as far as needed to determine where the response ends (RFC 9112, 6.3).

use crate::outcome::TransportOutcome;
use httparse::{Header, Response, Status, EMPTY_HEADER};
use std::io;

/// The maximum number of headers in one response.
const MAX_HEADERS: usize = 96;

/// What the head of a response says about its end.
#[derive(Debug)]
pub struct ResponseHead {
    /// The status code, or 0 if there is none.
    pub status: u16,
    /// The length of the head in bytes, including the empty line.
    pub length: usize,
    /// Where the body ends according to the headers.
    pub framing: BodyFraming,
}

/// How the end of a response's body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// After this number of bytes (RFC 9112, 6.3, item 6).
    ContentLength(u64),
    /// After the last chunk (RFC 9112, 6.3, item 4).
    Chunked,
    /// When the connection closes (RFC 9112, 6.3, item 8).
    UntilClose,
}

/// Why the end of a response cannot be determined. The connection cannot be used any more.
#[derive(Debug, thiserror::Error)]
pub enum FramingError {
    /// The head is not valid HTTP.
    #[error("malformed response head: {0}")]
    Syntax(#[from] httparse::Error),
    /// `Content-Length` is not a decimal number.
    #[error("Content-Length is not a decimal number")]
    InvalidContentLength,
    /// There is more than one `Content-Length`.
    #[error("more than one Content-Length")]
    DuplicateContentLength,
    /// `Transfer-Encoding` is anything other than `chunked`.
    #[error("unsupported Transfer-Encoding")]
    UnknownTransferEncoding,
    /// There are both a `Content-Length` and a `Transfer-Encoding`, as in attempts at response splitting (RFC
    /// 9112, 6.3, item 3).
    #[error("both Content-Length and Transfer-Encoding")]
    ConflictingFraming,
    /// The head has not ended within the maximum size of a head.
    #[error("the response head is too large")]
    HeadTooLarge,
    /// There were more interim responses than may precede a final one.
    #[error("too many interim responses")]
    NoFinalResponse,
    /// The response may be a second copy of the one before it.
    #[error("the response is equal to the one before it and may be a second copy of that")]
    RepeatedResponse,
}

/// Uses the kind `InvalidData`, which distinguishes a malformed response from an error of the network.
impl From<FramingError> for io::Error {
    fn from(error: FramingError) -> Self {
        io::Error::new(io::ErrorKind::InvalidData, error)
    }
}

/// Returns the outcome of an attempt whose response could not be read because of `error`. An error of the
/// network has the outcome `lost`.
pub fn outcome_of_read_error(error: &io::Error, lost: TransportOutcome) -> TransportOutcome {
    if error.kind() != io::ErrorKind::InvalidData {
        return lost;
    }
    match error.get_ref().and_then(|error| error.downcast_ref()) {
        Some(FramingError::RepeatedResponse) => TransportOutcome::RepeatedResponse,
        _ => TransportOutcome::MalformedResponse,
    }
}

/// Parses the head at the start of `bytes`. Returns `None` if more bytes are needed.
///
/// # Errors
/// The head is malformed, or the end of the body is ambiguous.
pub fn parse(bytes: &[u8]) -> Result<Option<ResponseHead>, FramingError> {
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut response = Response::new(&mut headers);
    let Status::Complete(length) = response.parse(bytes)? else { return Ok(None) };
    let framing = body_framing(response.headers)?;
    Ok(Some(ResponseHead { status: response.code.unwrap_or(0), length, framing }))
}

fn body_framing(headers: &[Header]) -> Result<BodyFraming, FramingError> {
    match (content_length(headers)?, is_chunked(headers)?) {
        (Some(_), true) => Err(FramingError::ConflictingFraming),
        (Some(length), false) => Ok(BodyFraming::ContentLength(length)),
        (None, true) => Ok(BodyFraming::Chunked),
        (None, false) => Ok(BodyFraming::UntilClose),
    }
}

fn content_length(headers: &[Header]) -> Result<Option<u64>, FramingError> {
    match values(headers, "Content-Length")[..] {
        [] => Ok(None),
        [value] => parse_decimal(value).map(Some).ok_or(FramingError::InvalidContentLength),
        _ => Err(FramingError::DuplicateContentLength),
    }
}

/// Parses a number that consists of digits only. `str::parse` would also accept a sign, which RFC 9110, 8.6
/// does not allow.
fn parse_decimal(value: &[u8]) -> Option<u64> {
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
