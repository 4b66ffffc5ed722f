//! Final checks before irreversible operations: whether an attempt may be sent or repeated, whether
//! a client's connection may be closed, how long an endpoint list is valid, and how long a replica has
//! been running.
//!
//! Each rule is implemented once, without I/O or clocks. The only state kept between calls is the
//! lease on the endpoint list, and what earlier lists revealed about start times. Code that writes bytes checks the rules
//! immediately before writing and reports back afterwards. A denial is normal operation; a
//! [`Violation`] is a broken invariant. [`crate::net::invariants`] counts both.
//!
//! Invariants:
//! - no attempt is written for a cancelled request, after its deadline, to a replica that is not
//!   ready, by an endpoint list whose lease has ended, or again once its retry window has closed;
//! - the timeout sent with an attempt exceeds the client's remaining time by no more than
//!   [`MAX_FRAME_WRITE_TIME`] and [`MAX_PROCESS_STALL`] together;
//! - a request of which a byte has been read is answered before its connection is closed;
//! - a replica is never considered to have started earlier than it may have.
#![warn(missing_docs)]

mod connection_close;
mod endpoint_lease;
mod replica_start;
mod send;

use std::time::Duration;

pub use connection_close::{check_close, CloseConditions};
pub use endpoint_lease::{EndpointLease, LeaseInvalid, LeaseTerms, NOTIFIED_WITHIN};
pub use replica_start::{is_restart, ListedStart, StartEstimate, StartEstimator};
pub use send::{SendConditions, SendDenied, SendPermit, MAX_FRAME_WRITE_TIME, MAX_PROCESS_STALL};

/// A broken invariant.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// An attempt was sent with a timeout beyond its client's remaining time, because writing its
    /// frame took too long.
    #[error("an attempt took {write_time:?} to write, with {time_left:?} left to its deadline")]
    StaleDeadline {
        /// Time from the permit to the last byte of the frame.
        write_time: Duration,
        /// Time left until the client's deadline when the last byte was written.
        time_left: Duration,
    },
    /// A connection was closed while part of a request had been read and not answered.
    #[error("a connection was closed with {bytes} bytes of a request read and not answered")]
    UnansweredRequest {
        /// Number of bytes read but not consumed.
        bytes: usize,
    },
}
