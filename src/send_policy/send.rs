//! Whether an attempt may be written, first or further, and what time it tells its data node.
use std::time::{Duration, Instant};

use super::Violation;

/// How long a frame may take from the look that permits it to its last byte, with which the attempt begins. The rules
/// allow 0.15 s for what is told over what is left, and 0.1 s behind a client's leaving.
pub const FRAME_TIME: Duration = Duration::from_millis(100);
/// For how long the process may be held up between a look at the clock and what follows it.
pub const HELD_UP: Duration = Duration::from_millis(150);

/// Why an attempt may not be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Denied {
    /// Nobody waits for it: its query is over, its client has left, or another attempt was first.
    CalledOff,
    /// Its time is over, or would be on the way.
    OutOfTime,
    /// Its data node drains, is gone, or is another process than the one that it was meant for.
    ReplicaNotReady,
    /// It would repeat one that may have run, after its class's window.
    WindowOver,
}

/// All that decides it, as it is at one moment.
#[derive(Clone, Copy, Debug)]
pub struct SendConditions {
    pub now: Instant,
    /// When its time ends.
    pub deadline: Instant,
    /// What it is told less, for the time in transit to its data node.
    pub transit: Duration,
    pub called_off: bool,
    /// Its data node takes work, and is the process that it was meant for.
    pub replica_ready: bool,
    pub window_over: bool,
}

/// An attempt that may be written, right now.
#[derive(Clone, Copy, Debug)]
pub struct Permit {
    looked: Instant,
    deadline: Instant,
    left: Duration,
}

impl SendConditions {
    pub fn permit(&self) -> Result<Permit, Denied> {
        let left = self.deadline.saturating_duration_since(self.now + self.transit);
        let denied = [
            (self.called_off, Denied::CalledOff),
            (left.is_zero(), Denied::OutOfTime),
            (!self.replica_ready, Denied::ReplicaNotReady),
            (self.window_over, Denied::WindowOver),
        ];
        match denied.iter().find(|(holds, _)| *holds) {
            Some((_, denied)) => Err(*denied),
            None => Ok(Permit { looked: self.now, deadline: self.deadline, left }),
        }
    }
}

impl Permit {
    /// The time that is left to it.
    pub fn left(&self) -> Duration {
        self.left
    }

    /// The time that its data node is told, in whole milliseconds.
    pub fn told_ms(&self) -> u128 {
        self.left.as_millis()
    }

    /// By when its last byte has to be written.
    pub fn latest(&self) -> Instant {
        self.looked + FRAME_TIME
    }

    /// Its last byte is written. Invariant: that is within [`FRAME_TIME`] of the look, or what the process was held up
    /// by; else what was told is over what is left by more than the rules allow.
    pub fn written(&self, now: Instant) -> Result<(), Violation> {
        let took = now.saturating_duration_since(self.looked);
        let left = self.deadline.saturating_duration_since(now);
        match took <= FRAME_TIME + HELD_UP {
            true => Ok(()),
            false => Err(Violation::StaleDeadline { took, left }),
        }
    }
}
