//! Received bytes of a client connection and their arrival times.
//!
//! This module owns the connection's buffer and the arrival time of the request at the front of that buffer.
//! It does not parse messages.
//!
//! Invariant: the arrival time of a request is never later than the time at which its last byte arrived.
#![warn(missing_docs)]

use std::future::{poll_fn, Future};
use std::io;
use std::pin::pin;
use std::time::Instant;

use crate::net::buffer::Buffer;
use crate::net::memory_budget::MemoryLease;
use crate::net::socket::Stream;

/// Whether the buffer may grow for a read.
#[derive(Clone, Copy)]
enum Growth {
    /// It may, and the memory of others may be reclaimed for it.
    Needed,
    /// It may while memory is not scarce.
    IfSpare,
}

/// Input of a connection.
///
/// The time limit of a request counts from the arrival of its last byte, which may be earlier than the time
/// at which the byte is read: the request may have waited for the connection to be accepted, or for an
/// earlier request on the same connection to be answered.
pub(super) struct Input {
    pub(super) buffer: Buffer,
    /// Time at which the socket was last known to be empty; the bytes of the next read arrived after it. A
    /// read that returns bytes without waiting does not update it, since such a read may be short and leave
    /// bytes in the socket.
    last_empty_at: Instant,
    /// Arrival time of the request at the front of the buffer, determined from the bytes received so far. It
    /// is never later than the arrival of the request's last byte.
    pub(super) arrived_at: Instant,
}

impl Input {
    /// Creates the input of a connection that may have waited to be accepted since `waiting_since`. `memory`
    /// counts what it holds.
    pub(super) fn new(waiting_since: Instant, memory: MemoryLease) -> Input {
        let buffer = Buffer::with_lease(memory);
        Input { buffer, last_empty_at: waiting_since, arrived_at: waiting_since }
    }

    /// Returns whether the buffer contains anything but line ends. Line ends after the body of a request do
    /// not start another request.
    pub(super) fn has_started_request(&self) -> bool {
        !self.buffer.unread().iter().all(|b| matches!(b, b'\r' | b'\n'))
    }

    /// Reads more of the request at the front of the buffer and returns the number of bytes read; 0 means
    /// end of stream. Cancel safe.
    ///
    /// # Errors
    ///
    /// Returns the socket's error if the connection has failed, and an error of kind
    /// [`io::ErrorKind::OutOfMemory`] if no memory is left for the request.
    pub(super) async fn fill(&mut self, stream: &Stream) -> io::Result<usize> {
        let (bytes, arrived_at) = self.read(stream, Growth::Needed).await?;
        self.arrived_at = arrived_at;
        Ok(bytes)
    }

    /// Reads data that follows the request that is being served, and returns the number of bytes read; 0
    /// means end of stream. The request takes up the first `length` bytes of the buffer. Cancel safe.
    ///
    /// # Errors
    ///
    /// Returns the socket's error if the connection has failed, and an error of kind
    /// [`io::ErrorKind::OutOfMemory`] if memory is too scarce to read ahead.
    pub(super) async fn fill_ahead(&mut self, stream: &Stream, length: usize) -> io::Result<usize> {
        let is_first = self.buffer.unread().len() <= length;
        let (bytes, arrived_at) = self.read(stream, Growth::IfSpare).await?;
        if is_first {
            self.arrived_at = arrived_at;
        }
        Ok(bytes)
    }

    /// Reads once and returns the number of bytes read and their arrival time.
    async fn read(&mut self, mut stream: &Stream, growth: Growth) -> io::Result<(usize, Instant)> {
        let Input { buffer, last_empty_at, .. } = self;
        // Otherwise a read that waits for its turn would pass for one that has found the socket empty.
        stream.read_allowed().await;
        let mut waited = false;
        let mut filled = pin!(async {
            match growth {
                Growth::Needed => buffer.fill(&mut stream).await,
                Growth::IfSpare => buffer.fill_if_spare(&mut stream).await,
            }
        });
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
            // The read found the socket empty and waited, so the bytes have only just arrived.
            *last_empty_at = Instant::now();
        }
        Ok((bytes, *last_empty_at))
    }
}
