//! What is being read from a connection to an endpoint, and how far.

use super::chunked::ChunkedBody;

/// What is being read from the connection.
#[derive(Debug, PartialEq)]
pub enum ReadState {
    /// No response is expected, so any bytes that arrive belong to no request.
    Idle,
    /// The head of a response.
    Head {
        /// The number of interim responses that preceded it.
        interim: u32,
    },
    /// A response of known length.
    Sized {
        /// Bytes of the head and the body that have not been received yet.
        remaining: u64,
    },
    /// A response with a chunked body.
    Chunked {
        /// Bytes of the head that have not been received yet.
        head_remaining: usize,
        /// The position in the body.
        body: ChunkedBody,
    },
    /// A response that ends with its connection.
    UntilClose,
    /// Nothing more is read, and the connection is not reused: it was closed or reset, has been idle for too
    /// long, or sent bytes that belong to no request or are malformed.
    Ended,
}

impl ReadState {
    /// Returns how many of `bytes` belong to the response, and counts them as received.
    pub fn advance(&mut self, bytes: &[u8]) -> usize {
        match self {
            ReadState::Sized { remaining } => {
                let count = bytes.len().min(usize::try_from(*remaining).unwrap_or(usize::MAX));
                *remaining -= count as u64;
                count
            }
            ReadState::Chunked { head_remaining, body } => {
                let head = bytes.len().min(*head_remaining);
                *head_remaining -= head;
                head + body.advance(&bytes[head..])
            }
            ReadState::UntilClose => bytes.len(),
            ReadState::Idle | ReadState::Head { .. } | ReadState::Ended => 0,
        }
    }

    /// Returns whether the whole response has been received.
    pub fn is_complete(&self) -> bool {
        match self {
            ReadState::Sized { remaining } => *remaining == 0,
            ReadState::Chunked { body, .. } => *body == ChunkedBody::Complete,
            _ => false,
        }
    }
}
