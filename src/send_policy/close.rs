//! Whether a client's connection may be ended behind an answer.

use super::Violation;

/// A connection whose answer is about to be written.
#[derive(Clone, Copy, Debug)]
pub struct CloseConditions {
    /// Its client wants to go on.
    pub keep_alive: bool,
    /// It is not asked to make way, nothing is crowded, and the program does not stop.
    pub server_keeps_alive: bool,
    /// Bytes of another request have been read.
    pub next_request_started: bool,
}

impl CloseConditions {
    /// Invariant: a request of which a byte was read is answered before its connection ends. Only its client may give
    /// that up, by asking for the end.
    pub fn may_close(&self) -> bool {
        !self.keep_alive || !(self.server_keeps_alive || self.next_request_started)
    }
}

/// Check the end of a connection whose client did not ask for it, with so many bytes read and not consumed.
pub fn check_close(bytes: usize) -> Result<(), Violation> {
    match bytes {
        0 => Ok(()),
        bytes => Err(Violation::UnansweredRequest { bytes }),
    }
}
