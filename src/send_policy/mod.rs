//! What may be sent, repeated, closed or taken for warm now. Each rule has one place here, without I/O or a clock; what
//! carries it out asks here last of all, just before the byte, and is checked here once it is done.
//!
//! What is denied, and what was broken, [`crate::net::invariants`] counts.
mod close;
mod send;
mod start;

pub use close::{check_close, CloseConditions};
pub use send::{SendConditions, SendDenied, SendPermit, MAX_FRAME_WRITE_TIME, MAX_PROCESS_STALL};
pub use start::{estimate_start, is_restart, StartObservation};

/// An invariant that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// An attempt tells more time than its client has left: its frame took so long from the look to its last byte.
    StaleDeadline { write_time: std::time::Duration, time_left: std::time::Duration },
    /// A connection ends with so many bytes of a request on it that were read, and will not be answered.
    UnansweredRequest { bytes: usize },
}
