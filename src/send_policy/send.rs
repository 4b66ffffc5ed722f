//! Whether an attempt may be written, the first or a further one, and the timeout that is sent with it.
use std::time::{Duration, Instant};

use super::Violation;

/// Longest time from the permit to the last byte of the frame, with which the attempt starts at its data
/// node.
///
/// The rules allow a timeout 0.15 s above the client's remaining time, and a start 0.1 s after the client has
/// left.
pub const MAX_FRAME_WRITE_TIME: Duration = Duration::from_millis(100);

/// Longest time for which the process may be descheduled between reading the clock and acting on it.
pub const MAX_PROCESS_STALL: Duration = Duration::from_millis(150);

/// Why an attempt may not be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum SendDenied {
    /// No one waits for it: its query is finished, its client has disconnected, or another attempt was first.
    #[error("the request was cancelled")]
    Cancelled,
    /// Its deadline has passed, or would pass in transit.
    #[error("the deadline has passed")]
    DeadlineExceeded,
    /// Its data node is draining or removed, or runs as another process than the one that was selected.
    #[error("the replica is not ready")]
    ReplicaNotReady,
    /// It would repeat an attempt that may have run, and the retry window of its class has closed.
    #[error("the retry window has closed")]
    RetryWindowClosed,
}

/// All that decides whether an attempt may be written, at one moment.
#[derive(Clone, Copy, Debug)]
pub struct SendConditions {
    /// That moment.
    pub now: Instant,
    /// When the client stops waiting.
    pub deadline: Instant,
    /// Subtracted from the remaining time, for the way to the data node.
    pub transit_time: Duration,
    /// No one waits for the outcome any more.
    pub cancelled: bool,
    /// The data node accepts work, and is the process that was selected.
    pub replica_ready: bool,
    /// The attempt is a repeat, and no repeat is allowed any more.
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
    /// Permission to write the attempt now.
    ///
    /// # Errors
    ///
    /// The first reason against it, in the order of the variants of [`SendDenied`].
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
        if self.retry_window_closed {
            return Err(SendDenied::RetryWindowClosed);
        }
        Ok(SendPermit { granted_at: self.now, deadline: self.deadline, time_left })
    }
}

impl SendPermit {
    /// The time left to the attempt at its data node; above zero.
    pub fn time_left(&self) -> Duration {
        self.time_left
    }

    /// The timeout to send with the attempt: the [time left](Self::time_left) in whole milliseconds, rounded
    /// down.
    pub fn timeout_ms(&self) -> u128 {
        self.time_left.as_millis()
    }

    /// By when the last byte of the attempt must be written; past it the write is abandoned.
    pub fn write_deadline(&self) -> Instant {
        self.granted_at + MAX_FRAME_WRITE_TIME
    }

    /// Check an attempt whose last byte was written at `now`.
    ///
    /// # Errors
    ///
    /// [`Violation::StaleDeadline`] if that took longer than [`MAX_FRAME_WRITE_TIME`] and
    /// [`MAX_PROCESS_STALL`] together: the timeout that was sent exceeds the remaining time by more than the
    /// rules allow.
    pub fn check_written(&self, now: Instant) -> Result<(), Violation> {
        let write_time = now.saturating_duration_since(self.granted_at);
        if write_time <= MAX_FRAME_WRITE_TIME + MAX_PROCESS_STALL {
            return Ok(());
        }
        let time_left = self.deadline.saturating_duration_since(now);
        Err(Violation::StaleDeadline { write_time, time_left })
    }
}
