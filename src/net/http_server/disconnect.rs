//! Detection of clients that disconnect or send too much ahead while a request is executed.
#![warn(missing_docs)]

use std::future::Future;
use std::io;

use futures_lite::FutureExt;

use super::ClientConnection;
use crate::net::http::{self, HttpError};

/// Maximum number of bytes that a client may send after the current request before it has the response, which
/// is enough for one more request. A client that sends more is treated as flooding: since a disconnect is
/// only detected by reading to the end of the stream, unread data would hide it.
const MAX_READ_AHEAD_BYTES: usize = http::MAX_HEAD_BYTES + http::MAX_BODY_BYTES;

impl ClientConnection {
    /// Completes when the client disconnects or sends more than [`MAX_READ_AHEAD_BYTES`] beyond the request
    /// that is being served, which takes up the first `length` bytes of the buffer. Received data stays in
    /// the buffer. Cancel safe.
    async fn disconnected(&mut self, length: usize) -> HttpError {
        while self.input.buffer.unread().len() <= length + MAX_READ_AHEAD_BYTES {
            match self.input.fill_ahead(&self.stream, length).await {
                Ok(bytes) if bytes > 0 => {}
                Err(e) if e.kind() == io::ErrorKind::OutOfMemory => return HttpError::OutOfMemory,
                _ => return HttpError::ConnectionClosed,
            }
        }
        HttpError::TooLarge
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
