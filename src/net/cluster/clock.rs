//! The machine's clocks, as the decisions of the fleet count time.
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::cluster::Micros;

/// Reads the machine's clocks; the started_unix_us clock only once, at the start.
pub struct MachineClock {
    started: Instant,
    /// Unix microseconds at the start.
    pub started_unix_us: u64,
}

impl MachineClock {
    pub fn start() -> MachineClock {
        let unix_us = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros();
        MachineClock {
            started: Instant::now(),
            started_unix_us: u64::try_from(unix_us).unwrap_or(u64::MAX).max(1),
        }
    }

    pub fn now(&self) -> Micros {
        u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    pub fn unix_ms(&self) -> u64 {
        self.started_unix_us.saturating_add(self.now()) / 1000
    }

    pub fn instant_at(&self, due: Micros) -> Instant {
        self.started + Duration::from_micros(due)
    }
}
