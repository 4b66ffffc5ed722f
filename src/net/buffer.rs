//! A buffer that a connection is read into; messages are ranges of its unread bytes.
//!
//! Owns the bytes of one connection. It never looks at them, and has no limit of its own: who reads decides
//! when too much is unread.
//!
//! Invariant: `start <= end <= bytes.len()`.
#![warn(missing_docs)]

use std::io;

use futures_lite::{AsyncRead, AsyncReadExt};

/// The least room for a read.
const READ_BYTES: usize = 4096;
/// The largest allocation that an empty buffer keeps.
const MAX_KEPT_BYTES: usize = 4 * READ_BYTES;

/// Received bytes of a connection, in the order in which they came.
#[derive(Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    start: usize,
    end: usize,
}

impl Buffer {
    /// What was read and not consumed.
    pub fn unread(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// Remove `length` bytes from the front, or all where there are fewer.
    pub fn consume(&mut self, length: usize) {
        self.start = self.start.saturating_add(length).min(self.end);
        if self.start == self.end {
            // Keeps one large message from taking its memory for the rest of the connection's life.
            if self.bytes.len() > MAX_KEPT_BYTES {
                self.bytes = Vec::new();
            }
            self.start = 0;
            self.end = 0;
        }
    }

    /// Read once, and return how many bytes came; 0 is the end of the stream. Cancel safe: a read that was
    /// not finished has taken nothing from the stream.
    ///
    /// # Errors
    ///
    /// Those of the stream; what is unread stays.
    pub async fn fill(&mut self, from: &mut (impl AsyncRead + Unpin)) -> io::Result<usize> {
        if self.bytes.len() - self.end < READ_BYTES {
            self.make_room();
        }
        let read = from.read(&mut self.bytes[self.end..]).await?;
        self.end += read;
        Ok(read)
    }

    /// Move the unread bytes to the front, and grow where that leaves too little room.
    fn make_room(&mut self) {
        self.bytes.copy_within(self.start..self.end, 0);
        self.end -= self.start;
        self.start = 0;
        let wanted = (self.end + READ_BYTES).max(2 * self.end);
        if self.bytes.len() < wanted {
            self.bytes.resize(wanted, 0);
        }
    }
}
