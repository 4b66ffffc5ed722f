//! The machine's clocks, in the units in which the cluster's decisions count time. Nothing else in the
//! cluster's network code reads a clock.
#![warn(missing_docs)]

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::cluster::Micros;

/// A monotonic clock, anchored to the wall clock once: steps of the wall clock after the start do not show.
pub struct MachineClock {
    started: Instant,
    /// The wall clock at the start, in microseconds since 1970; at least 1.
    pub started_unix_us: u64,
}

impl MachineClock {
    /// Reads both clocks.
    pub fn start() -> MachineClock {
        let unix_us = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros();
        let started_unix_us = u64::try_from(unix_us).unwrap_or(u64::MAX).max(1);
        MachineClock { started: Instant::now(), started_unix_us }
    }

    /// Microseconds since the start, monotonic.
    pub fn now(&self) -> Micros {
        u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// Milliseconds since 1970: the wall clock at the start, and the monotonic time since.
    pub fn unix_ms(&self) -> u64 {
        self.started_unix_us.saturating_add(self.now()) / 1000
    }

    /// The instant that is `at` microseconds after the start.
    pub fn instant_at(&self, at: Micros) -> Instant {
        self.started + Duration::from_micros(at)
    }
}
