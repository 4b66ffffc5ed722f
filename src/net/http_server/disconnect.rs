//! Detection of clients that disconnect or send too much ahead, before and while a request is executed.
//!
//! Invariant: a request is executed only if everything that its client had sent until then has been read and
//! contained no close, as far as memory allows. Otherwise a close behind unread data would not be seen, and
//! the requests before it would be executed one after the other.
#![warn(missing_docs)]

use std::future::Future;
use std::io;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::{future, FutureExt};

use super::ClientConnection;
use crate::net::http::{self, HttpError};
use crate::net::socket::Stream;

/// Maximum number of bytes that a client may send after the current request before it has the response, which
/// is enough for one more request. A client that sends more is treated as flooding: since a disconnect is
/// only detected by reading to the end of the stream, unread data would hide it.
const MAX_READ_AHEAD_BYTES: usize = http::MAX_HEAD_BYTES + http::MAX_BODY_BYTES;

/// Interval at which a connection is checked for a disconnect while its input is not read. By the protocol, no
/// attempt may start more than 100 ms after the client has disconnected.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(40);

impl ClientConnection {
    /// Returns whether the client has disconnected, even if data that it sent before is still unread. A close
    /// behind more unread data than the operating system accepts is not seen.
    pub fn is_disconnected(&self) -> bool {
        self.stream.is_closed_by_peer()
    }

    /// Makes sure that the client has not disconnected before the request is executed, which takes up the first
    /// `length` bytes of the buffer. What the client sent after the request is read until nothing more has
    /// arrived. Otherwise a close behind unread data would not be seen, and the requests before it would be
    /// executed one after the other.
    ///
    /// This method is cancel safe: no received data is lost.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::ConnectionClosed`] if the client disconnected, [`HttpError::TooLarge`] if it sent
    /// more than one request ahead, and [`HttpError::OutOfMemory`] if memory is too scarce to read ahead.
    pub async fn ensure_connected(&mut self, length: usize) -> Result<(), HttpError> {
        loop {
            if self.is_disconnected() {
                return Err(HttpError::ConnectionClosed);
            }
            self.check_read_ahead(length)?;
            self.wait_for_turn().await?;
            match future::poll_once(self.input.fill_ahead(&self.stream, length)).await {
                None => return Ok(()),
                Some(Ok(bytes)) if bytes > 0 => {}
                Some(Err(e)) if e.kind() == io::ErrorKind::OutOfMemory => {
                    let unread = self.stream.has_unread_input();
                    return if unread { Err(HttpError::OutOfMemory) } else { Ok(()) };
                }
                Some(_) => return Err(HttpError::ConnectionClosed),
            }
        }
    }

    fn check_read_ahead(&self, length: usize) -> Result<(), HttpError> {
        let ahead = self.input.buffer.unread().len().saturating_sub(length);
        if ahead > MAX_READ_AHEAD_BYTES {
            return Err(HttpError::TooLarge);
        }
        Ok(())
    }

    /// Waits until the budget allows a read. While a read waits, a close is not seen by reading.
    async fn wait_for_turn(&self) -> Result<(), HttpError> {
        let allowed = async {
            self.stream.read_allowed().await;
            Ok(())
        };
        let closed = async {
            closed_by_peer(&self.stream).await;
            Err(HttpError::ConnectionClosed)
        };
        allowed.or(closed).await
    }

    /// Completes when the client disconnects or sends more than [`MAX_READ_AHEAD_BYTES`] beyond the request
    /// that is being served, which takes up the first `length` bytes of the buffer. Received data stays in
    /// the buffer. Cancel safe.
    async fn disconnected(&mut self, length: usize) -> HttpError {
        loop {
            if let Err(e) = self.check_read_ahead(length) {
                return e;
            }
            if let Err(e) = self.wait_for_turn().await {
                return e;
            }
            match self.input.fill_ahead(&self.stream, length).await {
                Ok(bytes) if bytes > 0 => {}
                Err(e) if e.kind() == io::ErrorKind::OutOfMemory => {
                    closed_by_peer(&self.stream).await;
                    return HttpError::ConnectionClosed;
                }
                _ => return HttpError::ConnectionClosed,
            }
        }
    }

    /// Runs `work` until it completes, or drops it if the client disconnects or sends too much data first.
    /// `length` is the length in bytes of the request that is being served.
    ///
    /// This method is cancel safe: no received data is lost. Dropping the future drops `work`.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::ConnectionClosed`] if the client disconnected, and [`HttpError::TooLarge`] if it
    /// sent more than one request ahead.
    pub async fn unless_disconnected<T>(
        &mut self,
        length: usize,
        work: impl Future<Output = T>,
    ) -> Result<T, HttpError> {
        let finished = async { Ok(work.await) };
        let disconnected = async { Err(self.disconnected(length).await) };
        finished.or(disconnected).await
    }
}

/// Completes when the peer has closed its side, at most [`DISCONNECT_CHECK_INTERVAL`] later, whether the data
/// before the close is read or not. Cancel safe.
async fn closed_by_peer(stream: &Stream) {
    while !stream.is_closed_by_peer() {
        Timer::at(Instant::now() + DISCONNECT_CHECK_INTERVAL).await;
    }
}
