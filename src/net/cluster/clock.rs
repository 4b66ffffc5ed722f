//! The local clocks, in the units used by the cluster's state machines. No other cluster network code reads
//! a clock.
#![warn(missing_docs)]

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::cluster::Micros;

/// A monotonic clock that is anchored to the wall clock once, at the start. Later steps of the wall clock
/// have no effect on it.
pub struct MachineClock {
    started: Instant,
    /// The wall clock time at the start, in microseconds since the Unix epoch; at least 1.
    pub started_unix_us: u64,
}

impl MachineClock {
    /// Creates a clock that starts now.
    pub fn start() -> MachineClock {
        let unix_us = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros();
        let started_unix_us = u64::try_from(unix_us).unwrap_or(u64::MAX).max(1);
        MachineClock { started: Instant::now(), started_unix_us }
    }

    /// Returns the monotonic time since the start, in microseconds.
    pub fn now(&self) -> Micros {
        u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// Returns the Unix time in milliseconds: the wall clock time at the start plus the monotonic time
    /// since then.
    pub fn unix_ms(&self) -> u64 {
        self.started_unix_us.saturating_add(self.now()) / 1000
    }

    /// Converts a time in microseconds since the start to an [`Instant`].
    pub fn instant_at(&self, at: Micros) -> Instant {
        self.started + Duration::from_micros(at)
    }
}
