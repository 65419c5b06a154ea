//! Finds the end of a chunked body (RFC 9112, 7.1). The HTTP library decodes the chunks, so only their end is
//! needed here.

/// The position in a chunked body.
#[derive(Debug, PartialEq)]
pub enum ChunkedBody {
    /// In the line of a chunk's size.
    Size {
        /// The size that the digits read so far give, in bytes.
        size: u64,
        /// Whether the digits have ended. Chunk extensions (RFC 9112, 7.1.1) or the end of the line follow.
        digits_ended: bool,
    },
    /// In the data of a chunk.
    Data {
        /// Bytes of the chunk's data that are still to be received.
        remaining: u64,
    },
    /// In the line end after a chunk's data.
    DataEnd,
    /// In the trailer section (RFC 9112, 7.1.2).
    Trailer {
        /// The number of bytes of the current line so far, without its end.
        line_length: usize,
    },
    /// After the empty line that ends the body.
    Complete,
}

impl ChunkedBody {
    /// Returns the position before the first chunk.
    pub fn new() -> Self {
        ChunkedBody::Size { size: 0, digits_ended: false }
    }

    /// Advances over `bytes`, and returns how many of them belong to the body.
    pub fn advance(&mut self, bytes: &[u8]) -> usize {
        let mut position = 0;
        while position < bytes.len() && *self != ChunkedBody::Complete {
            if let ChunkedBody::Data { remaining } = *self {
                let available = bytes.len() - position;
                let count = available.min(usize::try_from(remaining).unwrap_or(usize::MAX));
                *self = match remaining - count as u64 {
                    0 => ChunkedBody::DataEnd,
                    remaining => ChunkedBody::Data { remaining },
                };
                position += count;
            } else {
                *self = self.after_byte(bytes[position]);
                position += 1;
            }
        }
        position
    }

    /// Returns the position after one byte of the framing.
    fn after_byte(&self, byte: u8) -> Self {
        match (self, byte) {
            (ChunkedBody::Size { size: 0, .. }, b'\n') => ChunkedBody::Trailer { line_length: 0 },
            (ChunkedBody::Size { size, .. }, b'\n') => ChunkedBody::Data { remaining: *size },
            (ChunkedBody::Size { size, digits_ended }, _) => {
                match (byte as char).to_digit(16).filter(|_| !digits_ended) {
                    Some(digit) => ChunkedBody::Size {
                        size: size.saturating_mul(16).saturating_add(u64::from(digit)),
                        digits_ended: false,
                    },
                    None => ChunkedBody::Size { size: *size, digits_ended: true },
                }
            }
            (ChunkedBody::DataEnd, b'\n') => ChunkedBody::new(),
            (ChunkedBody::DataEnd, _) => ChunkedBody::DataEnd,
            (ChunkedBody::Trailer { line_length: 0 }, b'\n') => ChunkedBody::Complete,
            (ChunkedBody::Trailer { .. }, b'\n') => ChunkedBody::Trailer { line_length: 0 },
            (ChunkedBody::Trailer { line_length }, b'\r') => {
                ChunkedBody::Trailer { line_length: *line_length }
            }
            (ChunkedBody::Trailer { line_length }, _) => {
                ChunkedBody::Trailer { line_length: line_length + 1 }
            }
            (ChunkedBody::Data { remaining }, _) => ChunkedBody::Data { remaining: *remaining },
            (ChunkedBody::Complete, _) => ChunkedBody::Complete,
        }
    }
}

impl Default for ChunkedBody {
    fn default() -> Self {
        ChunkedBody::new()
    }
}
