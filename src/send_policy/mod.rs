//! What may be sent, repeated, closed or taken for warm now. Each rule has one place here, without I/O or a clock; what
//! carries it out asks here last of all, just before the byte, and is checked here once it is done.
//!
//! What is denied, and what was broken, [`crate::net::invariants`] counts.
mod close;
mod send;
mod start;

pub use close::{end_of_connection, Answered};
pub use send::{Denied, Permit, SendConditions, FRAME_TIME, HELD_UP};
pub use start::{is_another_start, started, StartNotice};

/// An invariant that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// An attempt tells more time than its client has left: its frame took so long from the look to its last byte.
    StaleDeadline { took: std::time::Duration, left: std::time::Duration },
    /// A connection ends with so many bytes of a request on it that were read, and will not be answered.
    Unanswered { bytes: usize },
}
