//! Finds where a client's requests begin and end (RFC 9112, sections 2 and 6), so that the HTTP library is given one
//! request at a time: it would parse all that it is given, and a parsed head takes far more memory than its bytes.
//!
//! The library itself decides what a head means. Here only the head's end is found, and once the library has parsed
//! it, the end of the body that it expects.

use crate::net::upstream::chunked::ChunkedBody;
use httparse::{Request, Status, EMPTY_HEADER};

/// The most fields that the library accepts in a head.
const MAX_FIELDS: usize = 96;

/// What the bytes that have arrived of a head are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadScan {
    /// The head's end has not arrived.
    Incomplete,
    /// The head is complete.
    Complete {
        /// Its length in bytes, with the empty line.
        length: usize,
        /// How many fields it has.
        fields: usize,
    },
    /// This is no valid head, however it goes on.
    Malformed,
}

impl HeadScan {
    /// Scans the bytes of a head that have arrived.
    pub fn of(bytes: &[u8]) -> Self {
        let mut fields = [EMPTY_HEADER; MAX_FIELDS];
        let mut request = Request::new(&mut fields);
        match request.parse(bytes) {
            Ok(Status::Complete(length)) => HeadScan::Complete { length, fields: request.headers.len() },
            Ok(Status::Partial) => HeadScan::Incomplete,
            Err(_) => HeadScan::Malformed,
        }
    }
}

/// Where the body of a request ends.
#[derive(Debug, PartialEq)]
pub enum BodyEnd {
    /// After this number of further bytes; 0: there is no body, or it is complete.
    After(u64),
    /// After the last chunk.
    LastChunk(ChunkedBody),
    /// When the connection closes.
    Close,
}

impl BodyEnd {
    /// Returns how many of `bytes` belong to the body, and counts them as given to the library.
    pub fn advance(&mut self, bytes: &[u8]) -> usize {
        match self {
            BodyEnd::After(remaining) => {
                let count = bytes.len().min(usize::try_from(*remaining).unwrap_or(usize::MAX));
                *remaining -= count as u64;
                count
            }
            BodyEnd::LastChunk(body) => body.advance(bytes),
            BodyEnd::Close => bytes.len(),
        }
    }

    /// Returns how many bytes may be read without reading beyond the body; `None`: that depends on the bytes.
    pub fn readable(&self) -> Option<usize> {
        match self {
            BodyEnd::After(remaining) => Some(usize::try_from(*remaining).unwrap_or(usize::MAX)),
            BodyEnd::LastChunk(_) => None,
            BodyEnd::Close => Some(usize::MAX),
        }
    }

    fn is_reached(&self) -> bool {
        match self {
            BodyEnd::After(remaining) => *remaining == 0,
            BodyEnd::LastChunk(body) => *body == ChunkedBody::Complete,
            BodyEnd::Close => false,
        }
    }
}

/// Which part of a request the library is given next.
#[derive(Debug, PartialEq)]
pub enum RequestPart {
    /// The head. Of one that is complete, this many bytes are still to be given.
    Head {
        /// 0: the next head is not complete.
        remaining: usize,
    },
    /// Nothing: the library has the head, and has not parsed it.
    ParsingHead,
    /// The body.
    Body(BodyEnd),
    /// Nothing: the library has the whole request, which is not answered.
    Complete,
}

/// The position in the requests of a connection.
#[derive(Debug)]
pub struct RequestFraming {
    part: RequestPart,
    /// Whether the request was answered although its body is not complete.
    is_answered: bool,
}

impl RequestFraming {
    /// Returns the position before the first request.
    pub fn new() -> Self {
        RequestFraming { part: RequestPart::Head { remaining: 0 }, is_answered: false }
    }

    /// Returns what the library is given next.
    pub fn part(&mut self) -> &mut RequestPart {
        &mut self.part
    }

    /// Records that the library has parsed the head, and expects this body.
    pub fn head_parsed(&mut self, body: BodyEnd) {
        (self.part, self.is_answered) = (RequestPart::Body(body), false);
        self.skip_finished_body();
    }

    /// Records that the request is answered. The next one follows once the body is complete.
    pub fn answered(&mut self) {
        self.is_answered = true;
        self.skip_finished_body();
        if self.part == RequestPart::Complete {
            self.part = RequestPart::Head { remaining: 0 };
        }
    }

    /// Returns how many of `bytes` belong to the body, and counts them as given to the library; 0 outside a body.
    pub fn advance_body(&mut self, bytes: &[u8]) -> usize {
        let RequestPart::Body(end) = &mut self.part else { return 0 };
        let count = end.advance(bytes);
        self.skip_finished_body();
        count
    }

    fn skip_finished_body(&mut self) {
        if matches!(&self.part, RequestPart::Body(end) if end.is_reached()) {
            self.part =
                if self.is_answered { RequestPart::Head { remaining: 0 } } else { RequestPart::Complete };
        }
    }
}

impl Default for RequestFraming {
    fn default() -> Self {
        RequestFraming::new()
    }
}
