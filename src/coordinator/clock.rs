//! The clock of the decision module: seconds that only go forward, from a base fixed at the start.
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What the module's clock shows at our start. Far enough from nought that a replica which started before us
/// still has a positive time.
const BASE: f64 = 1e6;

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix: f64,
}

impl Clock {
    /// The wall clock is read once. Guards against a stepped wall clock making one birth look like two: a
    /// replica with a new start is a new process to the module.
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64();
        Clock { start: Instant::now(), unix }
    }

    pub fn at(&self, instant: Instant) -> f64 {
        BASE + instant.saturating_duration_since(self.start).as_secs_f64()
    }

    /// A Unix time in milliseconds on this clock; 0 means long ago.
    pub fn from_unix_ms(&self, unix_ms: u64) -> Option<f64> {
        (unix_ms > 0).then_some(BASE + unix_ms as f64 / 1000.0 - self.unix)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}

/// So many seconds from `from`; what no clock can hold is cut to a day.
pub fn deadline_after(from: Instant, seconds: f64) -> Instant {
    from + Duration::try_from_secs_f64(seconds.clamp(0.0, 86_400.0)).unwrap_or_default()
}
