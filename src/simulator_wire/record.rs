//! Access to the fields of fixed-size records by offset, and to slices of a batch's tail.
use super::WireError;
use crate::balancer::interface::ReplicaId;

/// A record or another sequence of fixed-size fields. Reading beyond its end yields zeros;
/// full-size records have no such fields.
pub(super) struct Record<'a>(pub(super) &'a [u8]);

impl Record<'_> {
    /// Returns the code of an event record.
    pub(super) fn code(&self) -> u8 {
        self.u8(0)
    }

    pub(super) fn u8(&self, offset: usize) -> u8 {
        self.bytes::<1>(offset)[0]
    }

    pub(super) fn u16(&self, offset: usize) -> u16 {
        u16::from_le_bytes(self.bytes(offset))
    }

    pub(super) fn u32(&self, offset: usize) -> u32 {
        u32::from_le_bytes(self.bytes(offset))
    }

    pub(super) fn u64(&self, offset: usize) -> u64 {
        u64::from_le_bytes(self.bytes(offset))
    }

    /// Reads a 32-bit float and widens it.
    pub(super) fn f32(&self, offset: usize) -> f64 {
        f64::from(f32::from_le_bytes(self.bytes(offset)))
    }

    pub(super) fn f64(&self, offset: usize) -> f64 {
        f64::from_le_bytes(self.bytes(offset))
    }

    /// Reads a replica id: 6 bytes, big-endian.
    pub(super) fn replica(&self, offset: usize) -> ReplicaId {
        let mut bytes = [0; 8];
        bytes[2..].copy_from_slice(&self.bytes::<6>(offset));
        ReplicaId(u64::from_be_bytes(bytes))
    }

    fn bytes<const N: usize>(&self, offset: usize) -> [u8; N] {
        let mut bytes = [0; N];
        if let Some(slice) = self.0.get(offset..offset + N) {
            bytes.copy_from_slice(slice);
        }
        bytes
    }
}

/// Returns `count` items of `size` bytes each from the tail of a batch, starting at `start`. `name`
/// is the field name for the error message.
pub(super) fn tail_slice<'a>(
    tail: &'a [u8],
    start: u32,
    count: u32,
    size: usize,
    name: &str,
) -> Result<&'a [u8], WireError> {
    let first = start as usize;
    let end = (count as usize).checked_mul(size).and_then(|length| length.checked_add(first));
    end.and_then(|end| tail.get(first..end)).ok_or_else(|| {
        let tail = tail.len();
        WireError(format!("{name} at {start}, length {count}, lies outside the tail of {tail} bytes"))
    })
}
