//! A buffer that a connection is read into; messages are slices of it.
use std::io;

use futures_lite::{AsyncRead, AsyncReadExt};

const STEP: usize = 4096;

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

    pub fn consume(&mut self, n: usize) {
        self.start = self.start.saturating_add(n).min(self.end);
        if self.start == self.end {
            // Guards the memory limit: one large message must not keep its room for the connection's life.
            if self.bytes.len() > 4 * STEP {
                self.bytes = Vec::new();
            }
            (self.start, self.end) = (0, 0);
        }
    }

    /// Read once; 0 is the end of the stream.
    pub async fn fill(&mut self, from: &mut (impl AsyncRead + Unpin)) -> io::Result<usize> {
        if self.bytes.len() - self.end < STEP {
            self.bytes.copy_within(self.start..self.end, 0);
            (self.start, self.end) = (0, self.end - self.start);
            let wanted = (self.end + STEP).max(2 * self.end);
            if self.bytes.len() < wanted {
                self.bytes.resize(wanted, 0);
            }
        }
        let n = from.read(&mut self.bytes[self.end..]).await?;
        self.end += n;
        Ok(n)
    }
}
