//! What a client sends, and when it came in.
use std::future::{poll_fn, Future};
use std::io;
use std::pin::pin;
use std::time::Instant;

use crate::net::buffer::Buffer;
use crate::net::socket::Stream;

/// A connection's input. A request's time counts from when its last byte came, which is not when we read it: it may
/// have waited to be accepted, or behind another request on its connection.
pub(super) struct Input {
    pub(super) buffer: Buffer,
    /// When we last looked and found nothing: what is found at the next look came after that.
    looked: Instant,
    /// When the request at the front of the buffer came in, as far as it did. It may be earlier than its last byte came,
    /// and never is later.
    pub(super) arrived: Instant,
}

impl Input {
    /// Of a connection that may have waited since `unseen` for its first look.
    pub(super) fn new(unseen: Instant) -> Input {
        Input { buffer: Buffer::default(), looked: unseen, arrived: unseen }
    }

    /// Whether something has been read that is more than a line end behind a request's body.
    pub(super) fn begins_another(&self) -> bool {
        !self.buffer.unread().iter().all(|b| matches!(b, b'\r' | b'\n'))
    }

    /// Read more of the request at the front.
    pub(super) async fn fill(&mut self, stream: &Stream) -> io::Result<usize> {
        let (n, came) = self.read(stream).await?;
        self.arrived = came;
        Ok(n)
    }

    /// Read on behind the request of so many bytes at the front, which is being served.
    pub(super) async fn fill_ahead(&mut self, stream: &Stream, length: usize) -> io::Result<usize> {
        let first = self.buffer.unread().len() <= length;
        let (n, came) = self.read(stream).await?;
        if first {
            self.arrived = came;
        }
        Ok(n)
    }

    /// How many bytes came, and when.
    async fn read(&mut self, mut stream: &Stream) -> io::Result<(usize, Instant)> {
        let Input { buffer, looked, .. } = self;
        let mut waited = false;
        let mut filled = pin!(buffer.fill(&mut stream));
        let n = poll_fn(|cx| {
            let polled = filled.as_mut().poll(cx);
            if polled.is_pending() {
                (*looked, waited) = (Instant::now(), true);
            }
            polled
        })
        .await?;
        let now = Instant::now();
        // Waited for, it came just now.
        let came = if waited { now } else { *looked };
        *looked = now;
        Ok((n, came))
    }
}
