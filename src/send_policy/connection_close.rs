//! Rules for closing a client connection after a response.

use super::Violation;

/// The state of a connection whose response is about to be written.
#[derive(Clone, Copy, Debug)]
pub struct CloseConditions {
    /// Whether the client asked for a persistent connection (RFC 9112, section 9.3).
    pub keep_alive: bool,
    /// Whether the server has no reason to close: the connection is not being evicted, connections
    /// are not scarce, and the process is not shutting down.
    pub server_keeps_alive: bool,
    /// Whether bytes of the next request have been read.
    pub next_request_started: bool,
}

impl CloseConditions {
    /// Returns whether the connection may be closed after this response.
    ///
    /// Once a byte of a request has been read, the request is answered before its connection is
    /// closed. Only the client may waive this, by asking for the close.
    pub fn may_close(&self) -> bool {
        let server_may_close = !self.server_keeps_alive && !self.next_request_started;
        !self.keep_alive || server_may_close
    }
}

/// Checks a close that the client did not ask for. `bytes` is the number of bytes that were read
/// from the connection but not consumed.
///
/// # Errors
///
/// Returns [`Violation::UnansweredRequest`] if `bytes` is not zero.
pub fn check_close(bytes: usize) -> Result<(), Violation> {
    if bytes == 0 {
        Ok(())
    } else {
        Err(Violation::UnansweredRequest { bytes })
    }
}
