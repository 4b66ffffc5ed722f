//! Whether the server may close a client's connection behind a response.

use super::Violation;

/// The state of a connection whose response is about to be written.
#[derive(Clone, Copy, Debug)]
pub struct CloseConditions {
    /// The client has asked for a persistent connection (RFC 9112 9.3).
    pub keep_alive: bool,
    /// The server has no reason to close: the connection is not being evicted, connections are not scarce and
    /// the process is not shutting down.
    pub server_keeps_alive: bool,
    /// Bytes of the next request have been read.
    pub next_request_started: bool,
}

impl CloseConditions {
    /// Whether the connection may close behind this response.
    ///
    /// A request of which a byte has been read is answered before its connection closes. Only the client may
    /// waive that, by asking for the close.
    pub fn may_close(&self) -> bool {
        let server_may_close = !self.server_keeps_alive && !self.next_request_started;
        !self.keep_alive || server_may_close
    }
}

/// Check a close that the client did not ask for, with `bytes` read from the connection and not consumed.
///
/// # Errors
///
/// [`Violation::UnansweredRequest`] if there are any.
pub fn check_close(bytes: usize) -> Result<(), Violation> {
    if bytes == 0 {
        Ok(())
    } else {
        Err(Violation::UnansweredRequest { bytes })
    }
}
