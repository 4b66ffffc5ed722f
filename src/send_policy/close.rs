//! Whether a client's connection may be ended behind an answer.

use super::Violation;

/// A connection whose answer is about to be written.
#[derive(Clone, Copy, Debug)]
pub struct Answered {
    /// Its client wants to go on.
    pub keep_alive: bool,
    /// It is not asked to make way, nothing is crowded, and the program does not stop.
    pub wanted: bool,
    /// Bytes of another request have been read.
    pub another_begun: bool,
}

impl Answered {
    /// Invariant: a request of which a byte was read is answered before its connection ends. Only its client may give
    /// that up, by asking for the end.
    pub fn may_end(&self) -> bool {
        !self.keep_alive || !(self.wanted || self.another_begun)
    }
}

/// Check the end of a connection whose client did not ask for it, with so many bytes read and not consumed.
pub fn end_of_connection(bytes: usize) -> Result<(), Violation> {
    match bytes {
        0 => Ok(()),
        bytes => Err(Violation::Unanswered { bytes }),
    }
}
