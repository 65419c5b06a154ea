//! Reading numbers from a record of a frame. What lies beyond its end reads as 0.

use super::WireError;
use std::time::Duration;

/// One record or entry of a frame.
#[derive(Clone, Copy)]
pub(super) struct RecordBytes<'a>(pub &'a [u8]);

impl<'a> RecordBytes<'a> {
    pub fn bytes<const N: usize>(self, at: usize) -> [u8; N] {
        let mut out = [0; N];
        if let Some(part) = self.0.get(at..at + N) {
            out.copy_from_slice(part);
        }
        out
    }
    pub fn u8(self, at: usize) -> u8 {
        self.bytes::<1>(at)[0]
    }
    pub fn u16(self, at: usize) -> u16 {
        u16::from_le_bytes(self.bytes(at))
    }
    pub fn u32(self, at: usize) -> u32 {
        u32::from_le_bytes(self.bytes(at))
    }
    pub fn u64(self, at: usize) -> u64 {
        u64::from_le_bytes(self.bytes(at))
    }
    pub fn duration(self, at: usize) -> Duration {
        Duration::from_nanos(self.u64(at))
    }
    pub fn f32(self, at: usize) -> f64 {
        f64::from(f32::from_le_bytes(self.bytes(at)))
    }
    /// The part of the tail that the field at `at` names, of `each` bytes an element.
    pub fn part(self, at: usize, tail: &'a [u8], each: usize) -> Result<&'a [u8], WireError> {
        let (from, count) = (self.u32(at) as usize, self.u32(at + 4) as usize);
        let end = count.checked_mul(each).and_then(|n| n.checked_add(from));
        match end.and_then(|end| tail.get(from..end)) {
            Some(part) => Ok(part),
            None if count == 0 => Ok(&[]),
            None => Err(WireError::OutsideTail),
        }
    }
}
