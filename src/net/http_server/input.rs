//! The received bytes of a client connection, and when they came in.
//!
//! Owns the connection's buffer and the arrival time of the request at its front. It never parses a message.
//!
//! Invariant: the arrival time of a request is never later than the time at which its last byte came.
#![warn(missing_docs)]

use std::future::{poll_fn, Future};
use std::io;
use std::pin::pin;
use std::time::Instant;

use crate::net::buffer::Buffer;
use crate::net::socket::Stream;

/// A connection's input. A request's time counts from when its last byte came, which is not when it was read:
/// it may have waited for the connection to be accepted, or behind another request on the same connection.
pub(super) struct Input {
    pub(super) buffer: Buffer,
    /// When the socket was last found empty: bytes that the next read finds came after that. A read that gives
    /// bytes says nothing of what it left: it may be short.
    last_empty_at: Instant,
    /// When the request at the front of the buffer came in, as far as it did: at the latest when its last
    /// byte came.
    pub(super) arrived_at: Instant,
}

impl Input {
    /// The input of a connection that may have waited to be accepted since `waiting_since`.
    pub(super) fn new(waiting_since: Instant) -> Input {
        Input { buffer: Buffer::default(), last_empty_at: waiting_since, arrived_at: waiting_since }
    }

    /// Whether more than line ends is in the buffer: a line end behind a request's body starts no request.
    pub(super) fn has_started_request(&self) -> bool {
        !self.buffer.unread().iter().all(|b| matches!(b, b'\r' | b'\n'))
    }

    /// Read more of the request at the front of the buffer, and return how many bytes; 0 is the end of the
    /// stream. Cancel safe.
    ///
    /// # Errors
    ///
    /// Those of the socket: the connection is broken.
    pub(super) async fn fill(&mut self, stream: &Stream) -> io::Result<usize> {
        let (bytes, arrived_at) = self.read(stream).await?;
        self.arrived_at = arrived_at;
        Ok(bytes)
    }

    /// Read behind the request of `length` bytes at the front of the buffer, which is being served, and
    /// return how many bytes; 0 is the end of the stream. Cancel safe.
    ///
    /// # Errors
    ///
    /// Those of the socket: the connection is broken.
    pub(super) async fn fill_ahead(&mut self, stream: &Stream, length: usize) -> io::Result<usize> {
        let is_first = self.buffer.unread().len() <= length;
        let (bytes, arrived_at) = self.read(stream).await?;
        if is_first {
            self.arrived_at = arrived_at;
        }
        Ok(bytes)
    }

    /// Read once: how many bytes came, and when.
    async fn read(&mut self, mut stream: &Stream) -> io::Result<(usize, Instant)> {
        let Input { buffer, last_empty_at, .. } = self;
        let mut waited = false;
        let mut filled = pin!(buffer.fill(&mut stream));
        let bytes = poll_fn(|cx| {
            let polled = filled.as_mut().poll(cx);
            if polled.is_pending() {
                *last_empty_at = Instant::now();
                waited = true;
            }
            polled
        })
        .await?;
        if waited {
            // What was waited for came just now.
            *last_empty_at = Instant::now();
        }
        Ok((bytes, *last_empty_at))
    }
}
