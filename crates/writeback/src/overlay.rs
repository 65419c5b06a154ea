//! What unsettled writes lay over what a read brings from an endpoint.

use bytes::Bytes;

/// A stretch of buffered bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OverlaySpan {
    /// Where it begins in the export, in bytes.
    pub offset: u64,
    /// Its bytes.
    pub data: Bytes,
}

impl OverlaySpan {
    fn end(&self) -> u64 {
        self.offset + self.data.len() as u64
    }
}

/// The unsettled writes to a range. It has to be taken before the endpoint is asked: what is settled meanwhile may
/// not be in the endpoint's answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Overlay {
    spans: Vec<OverlaySpan>,
}

impl Overlay {
    /// An overlay of these spans; where two overlap the later one counts.
    pub fn new(spans: Vec<OverlaySpan>) -> Self {
        Overlay { spans }
    }

    /// The spans in their order.
    pub fn spans(&self) -> &[OverlaySpan] {
        &self.spans
    }

    /// Whether nothing is buffered there.
    pub fn is_empty(&self) -> bool {
        self.spans.is_empty()
    }

    /// Whether it holds all of `length` bytes from `offset` on, so that no endpoint has to be asked.
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

    /// Lays the spans over bytes that begin at `offset` in the export.
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
