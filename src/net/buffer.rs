//! The receive buffer of a connection. Parsed messages are ranges of its unread bytes.
//!
//! The buffer never interprets the bytes and has no size limit of its own: the reader decides when too much
//! is unread. A buffer with a [`MemoryLease`] leases what it allocates beyond [`UNLEASED_BYTES`].
//!
//! Invariant: `start <= end <= bytes.len()`.
#![warn(missing_docs)]

use std::io::{self, ErrorKind};
use std::time::Instant;

use futures_lite::{AsyncRead, AsyncReadExt};

use super::memory_budget::{MemoryExhausted, MemoryLease, ReclaimNotice};

/// Size of the first allocation, in bytes.
const INITIAL_BYTES: usize = 1024;
/// Size up to which the allocation is not leased, in bytes. It holds a usual request.
pub const UNLEASED_BYTES: usize = 4096;
/// Minimum free space for a read, in bytes.
const MIN_FREE_BYTES: usize = 512;
/// Largest step by which a leased buffer grows, in bytes. Doubling would lease much more than a large message
/// needs.
const MAX_GROWTH_BYTES: usize = 16 * 1024;

/// The received bytes of a connection, in order of arrival.
#[derive(Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    start: usize,
    end: usize,
    lease: Option<MemoryLease>,
}

impl From<&[u8]> for Buffer {
    fn from(bytes: &[u8]) -> Buffer {
        Buffer { bytes: bytes.to_vec(), start: 0, end: bytes.len(), lease: None }
    }
}

impl Buffer {
    /// Creates an empty buffer whose memory is counted by `lease`.
    pub fn with_lease(lease: MemoryLease) -> Buffer {
        Buffer { lease: Some(lease), ..Buffer::default() }
    }

    /// Returns the bytes that have been read but not consumed.
    pub fn unread(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// Returns the bytes that have been read but not consumed.
    pub(super) fn unread_mut(&mut self) -> &mut [u8] {
        &mut self.bytes[self.start..self.end]
    }

    /// Drops the unread bytes after the first `length`.
    pub(super) fn truncate(&mut self, length: usize) {
        self.end = self.end.min(self.start + length);
    }

    /// Removes `length` bytes from the front, or all unread bytes if there are fewer.
    pub fn consume(&mut self, length: usize) {
        self.start = self.start.saturating_add(length).min(self.end);
        if self.start == self.end {
            // Otherwise one large message would occupy memory until the connection closes.
            if self.bytes.len() > UNLEASED_BYTES {
                self.release();
            }
            self.start = 0;
            self.end = 0;
        }
    }

    fn release(&mut self) {
        self.bytes = Vec::new();
        if let Some(lease) = &self.lease {
            // An empty lease always fits.
            let _ = lease.resize(0, Instant::now());
        }
    }

    /// Allows the memory of the buffer to be reclaimed. Its owner must wait for the notice, and consume all
    /// unread bytes when it arrives. Returns `None` if the buffer has no lease.
    pub fn set_reclaimable(&self, now: Instant) -> Option<ReclaimNotice> {
        self.lease.as_ref().map(|lease| {
            lease.set_reclaimable(now);
            lease.notice()
        })
    }

    /// Prevents the memory of the buffer from being reclaimed.
    pub fn retain(&self) {
        if let Some(lease) = &self.lease {
            lease.retain();
        }
    }

    /// Performs one read from `from` and returns the number of bytes read; 0 means end of stream.
    ///
    /// This method is cancel safe: if the future is dropped before it completes, no bytes have been taken
    /// from the stream.
    ///
    /// # Errors
    ///
    /// Returns an error of kind [`ErrorKind::OutOfMemory`] if the buffer is full and may not grow, and the
    /// error of the stream. The unread bytes remain in the buffer.
    pub async fn fill(&mut self, from: &mut (impl AsyncRead + Unpin)) -> io::Result<usize> {
        self.make_room(|lease, bytes| lease.resize(bytes, Instant::now()))?;
        self.read(from).await
    }

    /// Performs one read like [`Buffer::fill`], but does not grow while memory is scarce.
    ///
    /// # Errors
    ///
    /// See [`Buffer::fill`].
    pub async fn fill_if_spare(&mut self, from: &mut (impl AsyncRead + Unpin)) -> io::Result<usize> {
        self.make_room(MemoryLease::resize_if_spare)?;
        self.read(from).await
    }

    async fn read(&mut self, from: &mut (impl AsyncRead + Unpin)) -> io::Result<usize> {
        let read = from.read(&mut self.bytes[self.end..]).await?;
        self.end += read;
        Ok(read)
    }

    /// Makes room for a read. The unread bytes are moved to the front if that frees half of the buffer, or if
    /// the buffer may not grow; otherwise each read could move all of them for a few free bytes.
    fn make_room(
        &mut self,
        resize: impl FnOnce(&MemoryLease, usize) -> Result<(), MemoryExhausted>,
    ) -> io::Result<()> {
        let size = self.bytes.len();
        if size - self.end >= MIN_FREE_BYTES {
            return Ok(());
        }
        if size == 0 {
            self.bytes = vec![0; INITIAL_BYTES];
            return Ok(());
        }
        let can_compact = 2 * self.start >= size;
        let max_growth = if self.lease.is_some() { MAX_GROWTH_BYTES } else { usize::MAX };
        let wanted = size + size.min(max_growth);
        let resized = match &self.lease {
            _ if can_compact => Ok(false),
            None => Ok(true),
            Some(_) if wanted <= UNLEASED_BYTES => Ok(true),
            Some(lease) => resize(lease, wanted - UNLEASED_BYTES).map(|()| true),
        };
        match resized {
            Err(e) if self.start < MIN_FREE_BYTES => return Err(io::Error::new(ErrorKind::OutOfMemory, e)),
            Ok(true) => self.reallocate(wanted),
            Ok(false) | Err(_) => self.compact(),
        }
        Ok(())
    }

    fn compact(&mut self) {
        self.bytes.copy_within(self.start..self.end, 0);
        self.end -= self.start;
        self.start = 0;
    }

    /// Moves the unread bytes to an allocation of exactly `size` bytes.
    fn reallocate(&mut self, size: usize) {
        self.compact();
        self.bytes.truncate(self.end);
        self.bytes.reserve_exact(size - self.end);
        self.bytes.resize(size, 0);
    }
}
