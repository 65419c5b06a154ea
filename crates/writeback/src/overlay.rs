//! The overlay of unsettled writes over data that a read returns from an endpoint.

use bytes::Bytes;

/// A contiguous range of buffered bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OverlaySpan {
    /// Where the span begins in the export, in bytes.
    pub offset: u64,
    /// The buffered bytes.
    pub data: Bytes,
}

impl OverlaySpan {
    fn end(&self) -> u64 {
        self.offset + self.data.len() as u64
    }
}

/// The unsettled writes to a range of an export.
///
/// An overlay has to be taken before the read is sent to the endpoint: a write that is settled meanwhile may
/// be missing from the endpoint's reply.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Overlay {
    spans: Vec<OverlaySpan>,
}

impl Overlay {
    /// Creates an overlay from these spans. Where spans overlap, the later one wins.
    pub fn new(spans: Vec<OverlaySpan>) -> Self {
        Overlay { spans }
    }

    /// Returns the spans in their order.
    pub fn spans(&self) -> &[OverlaySpan] {
        &self.spans
    }

    /// Returns whether nothing is buffered in the range.
    pub fn is_empty(&self) -> bool {
        self.spans.is_empty()
    }

    /// Returns whether the spans cover `length` bytes from `offset` on, so that no endpoint has to be read.
    pub fn covers(&self, offset: u64, length: u32) -> bool {
        let mut ranges: Vec<(u64, u64)> = self.spans.iter().map(|span| (span.offset, span.end())).collect();
        ranges.sort_unstable();
        let reached =
            ranges.into_iter().fold(
                offset,
                |reached, (start, end)| if start <= reached { reached.max(end) } else { reached },
            );
        reached >= offset + u64::from(length)
    }

    /// Applies the spans to bytes that begin at `offset` in the export.
    pub fn apply(&self, offset: u64, mut bytes: Vec<u8>) -> Vec<u8> {
        let end = offset + bytes.len() as u64;
        for span in &self.spans {
            let first = span.offset.max(offset);
            let last = span.end().min(end);
            if first < last {
                let source = &span.data[(first - span.offset) as usize..(last - span.offset) as usize];
                bytes[(first - offset) as usize..(last - offset) as usize].copy_from_slice(source);
            }
        }
        bytes
    }
}
