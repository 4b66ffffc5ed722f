//! Memory of a call that its client has not sent completely: its headers, and the part of the request that has
//! arrived. The module does no I/O.
use std::cell::Cell;
use std::time::Instant;

use http::HeaderMap;

use crate::net::memory_budget::{MemoryExhausted, MemoryLease, ReclaimNotice};

/// The memory of a call besides its headers and its request, in bytes: its task, and the state of its stream.
const CALL_BYTES: usize = 4 * 1024;
/// The memory of a header field besides its name and value, in bytes.
const FIELD_BYTES: usize = 128;

/// The largest allocation for each byte of a request, since the buffer that collects it doubles when it is full.
const ALLOCATED_PER_BYTE: usize = 2;

/// The lease of a call.
pub(super) struct CallMemory {
    lease: MemoryLease,
    head_bytes: usize,
    request_bytes: Cell<usize>,
}

impl CallMemory {
    /// Creates the memory of a call with these headers, without leasing it yet.
    pub(super) fn new(lease: MemoryLease, headers: &HeaderMap) -> CallMemory {
        let field_bytes = headers.iter().map(|(name, value)| FIELD_BYTES + name.as_str().len() + value.len());
        let head_bytes = CALL_BYTES + field_bytes.sum::<usize>();
        CallMemory { lease, head_bytes, request_bytes: Cell::default() }
    }

    /// Leases the memory of the headers.
    pub(super) fn reserve_head(&self, now: Instant) -> Result<(), MemoryExhausted> {
        self.lease.resize(self.head_bytes, now)
    }

    /// Leases memory for `bytes` more of the request.
    pub(super) fn grow(&self, bytes: usize, now: Instant) -> Result<(), MemoryExhausted> {
        let request_bytes = self.request_bytes.get() + bytes;
        self.lease.resize(self.head_bytes + ALLOCATED_PER_BYTE * request_bytes, now)?;
        self.request_bytes.set(request_bytes);
        Ok(())
    }

    /// Allows the lease to be reclaimed until [`CallMemory::retain`], and returns the notice that tells the
    /// task of the call to end it. The task must wait for the notice.
    pub(super) fn set_reclaimable(&self, now: Instant) -> ReclaimNotice {
        self.lease.set_reclaimable(now);
        self.lease.notice()
    }

    /// Prevents the lease from being reclaimed, since the call is submitted.
    pub(super) fn retain(&self) {
        self.lease.retain();
    }
}
