//! The last check before anything irreversible: whether an attempt may be sent or repeated, whether a
//! client's connection may be closed, and since when a replica has been running.
//!
//! Each rule stands here once, without I/O or clock, and without state between calls but for what earlier
//! lists tell of starts. Whoever writes bytes asks here immediately before, and reports back when it is done. A denial is ordinary. A
//! [`Violation`] is a broken invariant; [`crate::net::invariants`] counts both.
//!
//! Invariants:
//! - no attempt is written for a cancelled request, after its deadline, to a replica that is not ready, or again once
//!   its retry window has closed;
//! - the timeout sent with an attempt exceeds the client's remaining time by no more than [`MAX_FRAME_WRITE_TIME`] and
//!   [`MAX_PROCESS_STALL`];
//! - a request of which a byte has been read is answered before its connection closes;
//! - a replica is never taken to have started earlier than it may have.
#![warn(missing_docs)]

mod connection_close;
mod replica_start;
mod send;

use std::time::Duration;

pub use connection_close::{check_close, CloseConditions};
pub use replica_start::{is_restart, ListedStart, StartEstimate, StartEstimator};
pub use send::{SendConditions, SendDenied, SendPermit, MAX_FRAME_WRITE_TIME, MAX_PROCESS_STALL};

/// A broken invariant of this module.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// An attempt was sent with a timeout that exceeds its client's remaining time, because its frame took
    /// too long.
    #[error("an attempt took {write_time:?} to write, with {time_left:?} left to its deadline")]
    StaleDeadline {
        /// From the permit to the last byte of the frame.
        write_time: Duration,
        /// What remained until the client's deadline when the last byte was written.
        time_left: Duration,
    },
    /// A connection was closed with part of a request read and not answered.
    #[error("a connection was closed with {bytes} bytes of a request read and not answered")]
    UnansweredRequest {
        /// Bytes that had been read and not consumed.
        bytes: usize,
    },
}
