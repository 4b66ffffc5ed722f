//! Rules for writing an attempt, whether first or repeated, and the timeout sent with it.
use std::time::{Duration, Instant};

use super::Violation;

/// Maximum time from the permit to the last byte of the frame, at which the attempt starts at its
/// data node.
///
/// The requirements allow the timeout to exceed the client's remaining time by 0.15 s, and an
/// attempt to start up to 0.1 s after its client has disconnected.
pub const MAX_FRAME_WRITE_TIME: Duration = Duration::from_millis(100);

/// Maximum time for which the process may be descheduled between reading the clock and acting on
/// it.
pub const MAX_PROCESS_STALL: Duration = Duration::from_millis(150);

/// Why an attempt may not be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum SendDenied {
    /// Nobody waits for the attempt: its query is finished, its client has disconnected, or another
    /// attempt was first.
    #[error("the request was cancelled")]
    Cancelled,
    /// The deadline has passed, or would pass in transit.
    #[error("the deadline has passed")]
    DeadlineExceeded,
    /// The data node is draining or removed, or is no longer the process that was selected.
    #[error("the replica is not ready")]
    ReplicaNotReady,
    /// The endpoint list may lack a drain that counts as notified.
    #[error("the endpoint list is not valid")]
    EndpointListInvalid,
    /// The attempt would repeat one that may have run, and its class's retry window has closed.
    #[error("the retry window has closed")]
    RetryWindowClosed,
}

/// The conditions, at one moment, under which an attempt is to be written.
#[derive(Clone, Copy, Debug)]
pub struct SendConditions {
    /// The moment at which the conditions were evaluated.
    pub now: Instant,
    /// When the client stops waiting.
    pub deadline: Instant,
    /// Subtracted from the remaining time to allow for the transit to the data node.
    pub transit_time: Duration,
    /// Whether nobody waits for the outcome any more.
    pub cancelled: bool,
    /// Whether the data node accepts work and is the process that was selected.
    pub replica_ready: bool,
    /// Whether the lease on the endpoint list is valid.
    pub endpoint_list_valid: bool,
    /// Whether the attempt is a repeat that is no longer allowed.
    pub retry_window_closed: bool,
}

/// Permission to write an attempt immediately.
#[derive(Clone, Copy, Debug)]
pub struct SendPermit {
    granted_at: Instant,
    deadline: Instant,
    time_left: Duration,
}

impl SendConditions {
    /// Returns the permission to write the attempt now.
    ///
    /// # Errors
    ///
    /// Returns the first reason against it, in the order of the variants of [`SendDenied`].
    pub fn permit(&self) -> Result<SendPermit, SendDenied> {
        if self.cancelled {
            return Err(SendDenied::Cancelled);
        }
        let time_left = self.deadline.saturating_duration_since(self.now + self.transit_time);
        if time_left.is_zero() {
            return Err(SendDenied::DeadlineExceeded);
        }
        if !self.replica_ready {
            return Err(SendDenied::ReplicaNotReady);
        }
        if !self.endpoint_list_valid {
            return Err(SendDenied::EndpointListInvalid);
        }
        if self.retry_window_closed {
            return Err(SendDenied::RetryWindowClosed);
        }
        Ok(SendPermit { granted_at: self.now, deadline: self.deadline, time_left })
    }
}

impl SendPermit {
    /// Returns the time that the attempt has left at its data node; always above zero.
    pub fn time_left(&self) -> Duration {
        self.time_left
    }

    /// Returns the timeout to send with the attempt: the [time left](Self::time_left) in whole
    /// milliseconds, rounded down.
    pub fn timeout_ms(&self) -> u128 {
        self.time_left.as_millis()
    }

    /// Returns when the last byte of the attempt must be written; after that, the write is
    /// abandoned.
    pub fn write_deadline(&self) -> Instant {
        self.granted_at + MAX_FRAME_WRITE_TIME
    }

    /// Checks an attempt whose last byte was written at `now`.
    ///
    /// # Errors
    ///
    /// Returns [`Violation::StaleDeadline`] if writing took longer than [`MAX_FRAME_WRITE_TIME`]
    /// and [`MAX_PROCESS_STALL`] together: the timeout sent then exceeds the remaining time by more
    /// than allowed.
    pub fn check_written(&self, now: Instant) -> Result<(), Violation> {
        let write_time = now.saturating_duration_since(self.granted_at);
        if write_time <= MAX_FRAME_WRITE_TIME + MAX_PROCESS_STALL {
            return Ok(());
        }
        let time_left = self.deadline.saturating_duration_since(now);
        Err(Violation::StaleDeadline { write_time, time_left })
    }
}
