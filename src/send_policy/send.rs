//! Whether an attempt may be written, first or further, and what time it tells its data node.
use std::time::{Duration, Instant};

use super::Violation;

/// How long a frame may take from the look that permits it to its last byte, with which the attempt begins. The rules
/// allow 0.15 s for what is told over what is left, and 0.1 s behind a client's leaving.
pub const MAX_FRAME_WRITE_TIME: Duration = Duration::from_millis(100);
/// For how long the process may be held up between a look at the clock and what follows it.
pub const MAX_PROCESS_STALL: Duration = Duration::from_millis(150);

/// Why an attempt may not be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SendDenied {
    /// Nobody waits for it: its query is over, its client has left, or another attempt was first.
    Cancelled,
    /// Its time is over, or would be on the way.
    DeadlineExceeded,
    /// Its data node drains, is gone, or is another process than the one that it was meant for.
    ReplicaNotReady,
    /// It would repeat one that may have run, after its class's window.
    RetryWindowClosed,
}

/// All that decides it, as it is at one moment.
#[derive(Clone, Copy, Debug)]
pub struct SendConditions {
    pub now: Instant,
    /// When its time ends.
    pub deadline: Instant,
    /// What it is told less, for the time in transit to its data node.
    pub transit_time: Duration,
    pub cancelled: bool,
    /// Its data node takes work, and is the process that it was meant for.
    pub replica_ready: bool,
    pub retry_window_closed: bool,
}

/// An attempt that may be written, right now.
#[derive(Clone, Copy, Debug)]
pub struct SendPermit {
    granted_at: Instant,
    deadline: Instant,
    time_left: Duration,
}

impl SendConditions {
    pub fn permit(&self) -> Result<SendPermit, SendDenied> {
        let left = self.deadline.saturating_duration_since(self.now + self.transit_time);
        let denied = [
            (self.cancelled, SendDenied::Cancelled),
            (left.is_zero(), SendDenied::DeadlineExceeded),
            (!self.replica_ready, SendDenied::ReplicaNotReady),
            (self.retry_window_closed, SendDenied::RetryWindowClosed),
        ];
        match denied.iter().find(|(holds, _)| *holds) {
            Some((_, denied)) => Err(*denied),
            None => Ok(SendPermit { granted_at: self.now, deadline: self.deadline, time_left: left }),
        }
    }
}

impl SendPermit {
    /// The time that is left to it.
    pub fn time_left(&self) -> Duration {
        self.time_left
    }

    /// The time that its data node is told, in whole milliseconds.
    pub fn timeout_ms(&self) -> u128 {
        self.time_left.as_millis()
    }

    /// By when its last byte has to be written.
    pub fn write_deadline(&self) -> Instant {
        self.granted_at + MAX_FRAME_WRITE_TIME
    }

    /// Its last byte is written. Invariant: that is within [`FRAME_TIME`] of the look, or what the process was held up
    /// by; else what was told is over what is left by more than the rules allow.
    pub fn check_written(&self, now: Instant) -> Result<(), Violation> {
        let took = now.saturating_duration_since(self.granted_at);
        let left = self.deadline.saturating_duration_since(now);
        match took <= MAX_FRAME_WRITE_TIME + MAX_PROCESS_STALL {
            true => Ok(()),
            false => Err(Violation::StaleDeadline { write_time: took, time_left: left }),
        }
    }
}
