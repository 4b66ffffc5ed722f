//! The clock of the decision module: seconds that only go forward, from a base fixed at the start.
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What the module's clock shows at our start, in seconds: far enough from zero that a replica which started before us
/// still has a positive time.
const BASE_SECONDS: f64 = 1e6;

/// The farthest deadline that is set for a span that no clock can hold: a day.
const MAX_SPAN_SECONDS: f64 = 86_400.0;

/// Converts instants and Unix times to the module's seconds.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    /// Unix time of `start`, in seconds.
    unix_start: f64,
}

impl Clock {
    /// A clock that starts now. The wall clock is read here only: a step of it later must not make one start of a
    /// replica look like two, since a replica with a new start is a new process to the module.
    pub fn new() -> Self {
        let unix_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64();
        Clock { start: Instant::now(), unix_start }
    }

    /// An instant on this clock, in seconds; those before its start count as its start.
    pub fn at(&self, instant: Instant) -> f64 {
        BASE_SECONDS + instant.saturating_duration_since(self.start).as_secs_f64()
    }

    /// A Unix time in milliseconds on this clock, in seconds; `None` for 0, which means long ago.
    pub fn from_unix_ms(&self, unix_ms: u64) -> Option<f64> {
        (unix_ms > 0).then_some(BASE_SECONDS + unix_ms as f64 / 1000.0 - self.unix_start)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}

/// So many seconds after `from`; no less than that, and a day at most.
pub fn deadline_after(from: Instant, seconds: f64) -> Instant {
    from + Duration::try_from_secs_f64(seconds.clamp(0.0, MAX_SPAN_SECONDS)).unwrap_or_default()
}
