//! Reads little-endian numbers from a record of a frame. A field that is not entirely within the record reads
//! as 0.

use super::WireError;
use std::time::Duration;

/// The bytes of one record or tail entry of a frame.
#[derive(Clone, Copy)]
pub(super) struct RecordBytes<'a>(pub &'a [u8]);

impl<'a> RecordBytes<'a> {
    pub fn bytes<const N: usize>(self, at: usize) -> [u8; N] {
        let mut out = [0; N];
        if let Some(field) = self.0.get(at..at + N) {
            out.copy_from_slice(field);
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
    /// Returns the slice of the tail that the field at `at` refers to. The field holds an offset and a count
    /// of elements of `element_bytes` each.
    ///
    /// # Errors
    ///
    /// Returns an error if the slice is not within the tail, unless it is empty.
    pub fn tail_slice(self, at: usize, tail: &'a [u8], element_bytes: usize) -> Result<&'a [u8], WireError> {
        let (start, count) = (self.u32(at) as usize, self.u32(at + 4) as usize);
        let end = count.checked_mul(element_bytes).and_then(|n| n.checked_add(start));
        match end.and_then(|end| tail.get(start..end)) {
            Some(slice) => Ok(slice),
            None if count == 0 => Ok(&[]),
            None => Err(WireError::OutsideTail),
        }
    }
}
