//! The balancer's clock: monotonic seconds from a base fixed at start-up.
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Reading of the clock at start-up, in seconds. Far enough from zero that a replica which started
/// earlier still has a positive start time.
const BASE_SECONDS: f64 = 1e6;

/// Upper bound on the delay of a deadline, in seconds (one day), so that it can be represented.
const MAX_SPAN_SECONDS: f64 = 86_400.0;

/// Converts instants and Unix times to the balancer's time in seconds.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    /// Unix time at `start`, in seconds.
    unix_start: f64,
}

impl Clock {
    /// Creates a clock that starts now. The wall clock is only read here: if later steps of the wall
    /// clock had an effect, one start of a replica could appear as two, and the balancer would treat
    /// the replica as a new process.
    pub fn new() -> Self {
        let unix_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64();
        Clock { start: Instant::now(), unix_start }
    }

    /// Converts an instant to seconds; instants before the clock's start count as its start.
    pub fn at(&self, instant: Instant) -> f64 {
        BASE_SECONDS + instant.saturating_duration_since(self.start).as_secs_f64()
    }

    /// Converts a Unix time in milliseconds to seconds on this clock; `None` for 0, which stands
    /// for a time long ago.
    pub fn from_unix_ms(&self, unix_ms: u64) -> Option<f64> {
        (unix_ms > 0).then_some(BASE_SECONDS + unix_ms as f64 / 1000.0 - self.unix_start)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}

/// Returns the instant `seconds` after `from`, limited to between zero and one day later.
pub fn deadline_after(from: Instant, seconds: f64) -> Instant {
    from + Duration::try_from_secs_f64(seconds.clamp(0.0, MAX_SPAN_SECONDS)).unwrap_or_default()
}
